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

// BenchmarkFindUnreadPrefix measures the search for a prefix that no target holds, by the number of
// targets, if one holds it and if none does.
func BenchmarkFindUnreadPrefix(b *testing.B) {
	for _, n := range []int{12, 120, 3000} {
		for _, held := range []bool{true, false} {
			b.Run(fmt.Sprint(n, " targets, held ", held), func(b *testing.B) {
				balancer := newWorkBalancer(targets(n)...)
				if c, ok := balancer.Place(start, longRequest(4)); ok {
					balancer.RecordFirstEvent(start, c, held)
					balancer.FinishRequest(start, c.Target.UID, placement.Answered)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					if _, ok := balancer.FindUnreadPrefix(start, longRequest(4)); ok == held {
						b.Fatal("wrong answer")
					}
				}
			})
		}
	}
}
