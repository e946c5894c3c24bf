package poison_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

var _ = Describe("a fingerprint", func() {
	body := []byte("list")
	of := func(caller, method, host, path string, body []byte) poison.Fingerprint {
		return poison.FingerprintOf(caller, method, host, path, body)
	}
	It("is the same for the same content, and differs if any part differs", func() {
		one := of("team", "POST", "h", "/a", body)
		Expect(of("team", "POST", "h", "/a", []byte("list"))).To(Equal(one))
		for _, other := range []poison.Fingerprint{
			of("teams", "POST", "h", "/a", body), of("team", "PUT", "h", "/a", body), of("team", "POST", "g", "/a", body),
			of("team", "POST", "h", "/b", body), of("team", "POST", "h", "/a", []byte("lists")), of("team", "POST", "h", "/a", nil),
			of("team", "POST", "h/", "a", body), of("teamP", "OST", "h", "/a", body), of("team", "POST", "h", "/al", []byte("ist")),
		} {
			Expect(other).NotTo(Equal(one))
		}
	})
})

// BenchmarkFingerprint hashes a body of 8 KB, about a prompt of 2,000 tokens.
func BenchmarkFingerprint(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 8<<10)
	b.ReportAllocs()
	for range b.N {
		poison.FingerprintOf("team", "POST", "host.example", "/path/", body)
	}
}
