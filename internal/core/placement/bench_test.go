package placement_test

import (
	"fmt"
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// BenchmarkPlace measures a placement and its end by the number of targets.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 120} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			board := board(targets(n)...)
			for i := range b.N {
				c, ok := board.Place(start, placement.Request{Pool: pool, Chat: uint64(i + 1)})
				if !ok {
					b.Fatal("no target")
				}
				board.RecordFirstEvent(start, c, true)
				board.FinishRequest(start, c.Target.UID, placement.Answered)
			}
		})
	}
}
