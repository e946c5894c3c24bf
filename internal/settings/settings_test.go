package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const validSettings = `id: 1
dataCentre: am1
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", admin: "127.0.0.1:3"}
platform: {url: "http://127.0.0.1:4"}
peers:
  - {id: 1, address: "127.0.0.1:2", dataCentre: am1}
limits:
  maxQueued: 5
`

func load(text string) error {
	s := settings.DefaultRouter()
	return settings.Load([]byte(text), &s)
}

var _ = Describe("router settings", func() {
	It("override the defaults", func() {
		s := settings.DefaultRouter()
		Expect(settings.Load([]byte(validSettings), &s)).To(Succeed())
		Expect(s.Limits.MaxQueuedRequests).To(Equal(5))
		Expect(s.Limits.MaxBodyBytes).To(Equal(int64(4 << 20)))
	})

	It("can be loaded again after they are printed", func() {
		s := settings.DefaultRouter()
		Expect(settings.Load([]byte(validSettings), &s)).To(Succeed())
		var out strings.Builder
		Expect(settings.Print(&out, s)).To(Succeed())
		reloaded := settings.DefaultRouter()
		Expect(settings.Load([]byte(out.String()), &reloaded)).To(Succeed())
		Expect(reloaded).To(Equal(s))
	})

	DescribeTable("are refused with the line of the mistake",
		func(text string, want ...string) {
			err := load(text)
			Expect(err).To(HaveOccurred())
			Expect(err.Error()).To(HavePrefix("6001 "))
			for _, w := range want {
				Expect(err.Error()).To(ContainSubstring(w))
			}
		},
		Entry("unknown key", validSettings+"colour: red\n", "line 9", "colour"),
		Entry("duplicate key", validSettings+"id: 2\n", "line 9", "already defined"),
		Entry("out of range", strings.Replace(validSettings, "maxQueued: 5", "maxQueued: -5", 1), "line 8", "limits.maxQueued"),
		Entry("duration without a unit", validSettings+"control: {gossipInterval: 5}\n", "line 9", "unit"),
		Entry("invalid address", strings.Replace(validSettings, `callers: "127.0.0.1:1"`, `callers: "localhost"`, 1), "line 3", "listen.callers"),
		Entry("router not listed in peers", strings.Replace(validSettings, "id: 1\n", "id: 7\n", 1), "line 1", "not listed"),
		Entry("two documents", validSettings+"---\nid: 2\n", "more than one"),
		Entry("not YAML", "id: [", "6001"),
		Entry("empty", "", "id"),
	)
})

func FuzzRouterSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("peers: [{id: 1}]\nlimits: {readTimeout: 1h}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := settings.DefaultRouter()
		_ = settings.Load(data, &s)
	})
}
