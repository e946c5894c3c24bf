package lineage_test

import (
	"testing"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
)

// BenchmarkBegin measures the record of a stream at its router, with the report to the others.
func BenchmarkBegin(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	r := lineage.NewRegistry(now, retention)
	for n := 0; b.Loop(); n++ {
		now = now.Add(8 * time.Millisecond)
		r.Begin(now, lineage.Record{Stream: lineage.Stream(n) * 0x9E3779B97F4A7C15, Software: 1}, uint64(n%12))
		if n%12 == 0 {
			r.TakeUnreported(1024)
		}
	}
}

// BenchmarkReceive measures a record from another router at a relay that gets 3,700 a second.
func BenchmarkReceive(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	r := lineage.NewRegistry(now, retention)
	for n := 0; b.Loop(); n++ {
		now = now.Add(270 * time.Microsecond)
		r.Receive(now, []lineage.Record{{Stream: lineage.Stream(n) * 0x9E3779B97F4A7C15, Software: 1}})
	}
}
