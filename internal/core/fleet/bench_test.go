package fleet_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
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
