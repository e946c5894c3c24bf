package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ledger"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// BenchmarkRank measures ranking the targets of a pool for a chat.
func BenchmarkRank(b *testing.B) {
	for _, targets := range []int{12, 373} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			pool, _ := newTable(targets, modelPool).Pool("p")
			var top rendezvous.Top
			b.ReportAllocs()
			for i := range b.N {
				pool.RankTargets(uint64(i)*7919, &top, 8)
			}
		})
	}
}

// BenchmarkGrant measures one grant and one release at the owner, with the messages that carry
// them, at a mean of six open requests per target.
func BenchmarkGrant(b *testing.B) {
	for _, targets := range []int{12, 373} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			table := newTable(targets, modelPool)
			pool, _ := table.Pool("p")
			l := ledger.New(start, ledger.DefaultSettings(1), pool, table, rand.New(rand.NewPCG(1, 1)))
			lastSequence := uint64(0)
			step := func(requestID, releaseID uint64) {
				lastSequence++
				req := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: lastSequence, HasInventory: lastSequence == 1}
				if requestID != 0 {
					req.Asks = []*peerv1.Ask{{Id: requestID, Chat: requestID % 5000, Team: busyTeam, Priority: normal, DeadlineMillis: 60000}}
				}
				if releaseID != 0 {
					req.Releases = []*peerv1.Release{{Id: releaseID}}
				}
				_, _, _ = l.HandleExchange(start.Add(time.Duration(lastSequence)*10*time.Millisecond), req)
			}
			step(0, 0)
			filled := uint64(6 * targets)
			for id := range filled {
				step(id+1, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				step(filled+uint64(i)+1, uint64(i)+1)
			}
		})
	}
}
