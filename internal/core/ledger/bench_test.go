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

// BenchmarkRank measures ordering the candidates of a chat.
func BenchmarkRank(b *testing.B) {
	for _, targets := range []int{12, 373} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			p, _ := table(targets, model).Pool("p")
			var top rendezvous.Top
			b.ReportAllocs()
			for i := range b.N {
				p.RankTargets(uint64(i)*7919, &top, 8)
			}
		})
	}
}

// BenchmarkGrant measures one grant and its release at the owner, with the
// messages that carry them, at a mean of six open requests per target.
func BenchmarkGrant(b *testing.B) {
	for _, targets := range []int{12, 373} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			tab := table(targets, model)
			p, _ := tab.Pool("p")
			l := ledger.New(start, ledger.DefaultSettings(1), p, tab, rand.New(rand.NewPCG(1, 1)))
			sequence := uint64(0)
			step := func(ask, release uint64) {
				sequence++
				req := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: sequence, HasInventory: sequence == 1}
				if ask != 0 {
					req.Asks = []*peerv1.Ask{{Id: ask, Chat: ask % 5000, Team: hot, Priority: normal, DeadlineMillis: 60000}}
				}
				if release != 0 {
					req.Releases = []*peerv1.Release{{Id: release}}
				}
				_, _, _ = l.HandleExchange(start.Add(time.Duration(sequence)*10*time.Millisecond), req)
			}
			step(0, 0)
			warm := uint64(6 * targets)
			for id := range warm {
				step(id+1, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				step(warm+uint64(i)+1, uint64(i)+1)
			}
		})
	}
}
