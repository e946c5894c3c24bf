package placement_test

import (
	"testing"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// benchmarkTargets is the number of targets of the largest fleet.
const benchmarkTargets = 3000

// BenchmarkOwnLoads measures the collection of the loads for a digest with a request open at each target.
// Scheduling by work may add a fifth at most.
func BenchmarkOwnLoads(b *testing.B) {
	run := func(b *testing.B, balancer *placement.Balancer, pace float64) {
		list := targets(benchmarkTargets)
		for i := range benchmarkTargets {
			if _, ok := balancer.Place(start, placement.Request{Pool: pool, ChatHash: uint64(i + 1), PromptTokens: 1000, MemoryTokens: 1200}); !ok {
				b.Fatal("no target")
			}
			balancer.RecordTargetLoad(start, list[i].UID, report(1, 0, pace))
		}
		b.ResetTimer()
		for range b.N {
			balancer.OwnLoads(start.Add(200 * time.Millisecond))
		}
	}
	b.Run("as before", func(b *testing.B) { run(b, newBalancer(targets(benchmarkTargets)...), 0) })
	b.Run("scheduled by work", func(b *testing.B) { run(b, newScheduledBalancer(targets(benchmarkTargets)...), 2) })
}

// BenchmarkReceiveReport measures the receipt of the loads of the rest of the fleet at all targets.
// Scheduling by work may add a fifth at most.
func BenchmarkReceiveReport(b *testing.B) {
	run := func(b *testing.B, l placement.Load) {
		list := targets(benchmarkTargets)
		balancer := newBalancer(list...)
		loads := make([]placement.Load, len(list))
		for i, t := range list {
			loads[i] = l
			loads[i].Target, loads[i].Open = t.UID, 1+i%20
		}
		b.ResetTimer()
		for range b.N {
			balancer.ReceiveReport(start, 1, loads, nil)
		}
	}
	b.Run("as before", func(b *testing.B) { run(b, placement.Load{}) })
	b.Run("scheduled by work", func(b *testing.B) { run(b, placement.Load{Unread: 2048, Memory: 65536, Pace: 1.5}) })
}
