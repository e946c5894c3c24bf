package placement_test

import (
	"fmt"
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// BenchmarkPlace measures the placement and the end of a request, by the number of targets.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 120} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			balancer := newBalancer(targets(n)...)
			for i := range b.N {
				c, ok := balancer.Place(start, placement.Request{Pool: pool, ChatHash: uint64(i + 1)})
				if !ok {
					b.Fatal("no target")
				}
				balancer.RecordFirstEvent(start, c, true)
				balancer.FinishRequest(start, c.Target.UID, placement.Answered)
			}
		})
	}
}
