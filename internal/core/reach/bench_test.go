package reach_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
)

// BenchmarkChoose measures the choice of a forwarder among the routers of a large fleet.
func BenchmarkChoose(b *testing.B) {
	f := newForwarders(339)
	for i := range 100 {
		f.Record(at(0), "pool", routers(339)[i].Address, reach.Forwarded)
	}
	query := reach.Query{Pool: "pool", Near: []string{"dc0", "dc1"}}
	for i := 0; b.Loop(); i++ {
		address, _ := f.Choose(at(i%4000), query)
		f.Record(at(i%4000), "pool", address, reach.Forwarded)
	}
}
