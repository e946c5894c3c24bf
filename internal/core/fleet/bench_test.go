package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// BenchmarkDigestReceived measures the processing of a digest. The digests come in turn from 80
// routers of a data centre, with one tick per round.
func BenchmarkDigestReceived(b *testing.B) {
	c := fleet.New(start, fleet.Settings{Self: address(200), Incarnation: 1, Seed: 1, MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second})
	data := make([][]byte, 80)
	ds := make([]*peerv1.Digest, 80)
	for i := range ds {
		d := &peerv1.Digest{Protocol: fleet.Protocol, Incarnation: uint64(i)*7919 + 1, Versions: []uint64{1, 2}, Reading: i < 3, Report: &peerv1.Report{}}
		for k := range 3 {
			d.Report.LoadTarget = append(d.Report.LoadTarget, uint64(k+i)*0x9E3779B97F4A7C15)
			d.Report.LoadOpen = append(d.Report.LoadOpen, 1)
		}
		ds[i] = d
		data[i], _ = proto.Marshal(d)
	}
	now := start
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		i := n % 80
		now = now.Add(time.Millisecond * 100 / 80)
		m := &peerv1.Digest{}
		_ = proto.Unmarshal(data[i], m)
		m.Sequence = uint64(n + 1)
		c.Step(now, fleet.DigestReceived{From: address(i), Digest: m})
		if n%80 == 0 {
			c.Step(now, fleet.Tick{})
		}
	}
}

// BenchmarkFollowerSecond measures a second of a router that is no relay, by the number of routers
// in five data centres and of targets with open requests: ten ticks, and ten digests of its feeder,
// of which five list all routers. Its own requests change at each tick.
func BenchmarkFollowerSecond(b *testing.B) {
	for _, n := range []int{195, 985, 1970} {
		b.Run(fmt.Sprint(n, " routers"), func(b *testing.B) {
			c := fleet.New(start, fleet.Settings{Self: address(n), Incarnation: 1, Seed: 1, DataCentre: "dc-0", MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second})
			d := &peerv1.Digest{Protocol: fleet.Protocol, Incarnation: 7, Versions: []uint64{0, 0}, DataCentre: "dc-0", Strength: 9, Relay: true, Readers: 3, Scope: peerv1.Scope_SCOPE_FLEET, Report: &peerv1.Report{}, Yours: &peerv1.Report{}}
			for i := range n / 2 {
				d.Report.LoadTarget = append(d.Report.LoadTarget, uint64(i+1)*0x9E3779B97F4A7C15)
				d.Report.LoadOpen = append(d.Report.LoadOpen, 1)
			}
			plain, _ := proto.Marshal(d)
			d.Vouches = true
			for i := range 5 {
				d.Centres = append(d.Centres, fmt.Sprint("dc-", i))
			}
			for i := range n {
				encoded, _ := netip.MustParseAddrPort(string(address(i))).MarshalBinary()
				d.Known, d.KnownCentre, d.KnownStrength = append(d.Known, encoded), append(d.KnownCentre, uint32(i%5)), append(d.KnownStrength, uint32(1+(i/250)%2))
			}
			withList, _ := proto.Marshal(d)
			now, sequence := start, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				for i := range 10 {
					now, sequence = now.Add(fleet.TickInterval), sequence+1
					m := &peerv1.Digest{}
					data := plain
					if i%4 == 0 {
						data = withList
					}
					_ = proto.Unmarshal(data, m)
					m.Sequence = sequence
					c.Step(now, fleet.DigestReceived{From: address(0), Digest: m})
					c.Step(now, fleet.Tick{Loads: []placement.Load{{Target: 1, Open: 1 + i%2}}})
				}
			}
		})
	}
}
