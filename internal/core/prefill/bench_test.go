package prefill_test

import (
	"fmt"
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/core/prefill"
)

// BenchmarkClaim measures the choice of the registrar, its answer and the decision to wait by the number
// of routers, with as many claims as a registrar holds.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{10, 70, 300} {
		b.Run(fmt.Sprint(n, " routers"), func(b *testing.B) {
			r := prefill.NewRegistrars("10.0.0.1:1")
			others := make([]string, n-1)
			for i := range others {
				others[i] = fmt.Sprintf("10.1.%d.%d:1", i/250, i%250)
			}
			r.SetOthers(start, others)
			var c prefill.Claims
			patience := prefill.Patience{ReadTime: 400 * ms, Remaining: 10 * maxTTL}
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(ms / 5)
				k := prefill.KeyOf("pool", uint64(i%(2*prefill.MaxClaims)))
				if address, _ := r.Of(k); !r.MayAsk(now, address) {
					b.Fatal("no router is silent")
				}
				c.Claim(now, k, 1, 400*ms).Wait(patience)
			}
		})
	}
}
