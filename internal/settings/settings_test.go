package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const good = `id: 1
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
	It("are read over the defaults", func() {
		s := settings.DefaultRouter()
		Expect(settings.Load([]byte(good), &s)).To(Succeed())
		Expect(s.Limits.MaxQueued).To(Equal(5))
		Expect(s.Limits.MaxBodyBytes).To(Equal(int64(4 << 20)))
	})

	It("print as settings that can be read again", func() {
		s := settings.DefaultRouter()
		Expect(settings.Load([]byte(good), &s)).To(Succeed())
		var out strings.Builder
		Expect(settings.Print(&out, s)).To(Succeed())
		again := settings.DefaultRouter()
		Expect(settings.Load([]byte(out.String()), &again)).To(Succeed())
		Expect(again).To(Equal(s))
	})

	DescribeTable("refuse what an operator gets wrong, with the line",
		func(text string, want ...string) {
			err := load(text)
			Expect(err).To(HaveOccurred())
			Expect(err.Error()).To(HavePrefix("6001 "))
			for _, w := range want {
				Expect(err.Error()).To(ContainSubstring(w))
			}
		},
		Entry("unknown key", good+"colour: red\n", "line 9", "colour"),
		Entry("duplicate key", good+"id: 2\n", "line 9", "already defined"),
		Entry("out of range", strings.Replace(good, "maxQueued: 5", "maxQueued: -5", 1), "line 8", "limits.maxQueued"),
		Entry("no unit", good+"control: {gossipInterval: 5}\n", "line 9", "unit"),
		Entry("no address", strings.Replace(good, `callers: "127.0.0.1:1"`, `callers: "localhost"`, 1), "line 3", "listen.callers"),
		Entry("not listed", strings.Replace(good, "id: 1\n", "id: 7\n", 1), "line 1", "not listed"),
		Entry("two documents", good+"---\nid: 2\n", "more than one"),
		Entry("not YAML", "id: [", "6001"),
		Entry("empty", "", "id"),
	)
})

func FuzzRouterSettings(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("peers: [{id: 1}]\nlimits: {readTimeout: 1h}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := settings.DefaultRouter()
		_ = settings.Load(data, &s)
	})
}
