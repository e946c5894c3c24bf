package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// jsonDecoder decodes JSON rows in the format of the platform's targets.
type jsonDecoder struct{}

func (jsonDecoder) EvacuatedDataCentres([]replica.Row) []string { return nil }

func (jsonDecoder) DesiredState([]replica.Row) (*route.DesiredState, error) { return nil, nil }

func (jsonDecoder) Targets(rows []replica.Row) (map[string][]placement.Target, []RejectedEntry) {
	out := make(map[string][]placement.Target)
	for _, r := range rows {
		var fields map[string]json.RawMessage
		if json.Unmarshal(r.Value, &fields) == nil {
			out["p"] = append(out["p"], placement.Target{UID: placement.UID(r.Key, 0, ""), ID: r.Key, RowVersion: r.Version, Slots: 16, DataCentre: r.Key[len(r.Key)-1:]})
		}
	}
	return out, nil
}

// silentStore never answers.
type silentStore struct{ Store }

func (silentStore) ReadTable(ctx context.Context, _ fleet.Table, _ int) (uint64, []replica.Row, error) {
	<-ctx.Done()
	return 0, nil, ctx.Err()
}

func (silentStore) AwaitChanges(ctx context.Context, _ fleet.Table, _ uint64, _ time.Duration) (uint64, []replica.Row, error) {
	<-ctx.Done()
	return 0, nil, ctx.Err()
}

type unreachablePeers struct{}

func (unreachablePeers) SendDigest([]string, *peerv1.Digest, []*peerv1.Report) {}
func (unreachablePeers) RequestCopy(context.Context, string, *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	return nil, context.Canceled
}

func (unreachablePeers) FindStreams(context.Context, string, *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error) {
	return nil, ErrNotForwarded
}
func (unreachablePeers) ClaimRead(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
	return nil, context.Canceled
}
func (unreachablePeers) Forward(context.Context, string, *peerv1.ForwardRequest) (ForwardStream, error) {
	return nil, ErrNotForwarded
}

type unreachableTargets struct{}

func (unreachableTargets) Do(context.Context, upstream.Request) (*upstream.Answer, error) {
	return nil, upstream.ErrNotSent
}
func (unreachableTargets) Probe(context.Context, string) error { return nil }
func (unreachableTargets) Prune(func(uint64) bool)             {}

func targetRow(i int, version uint64) replica.Row {
	value := fmt.Sprintf(`{"Service":"p","Address":"10.1.%d.%d:80","Zone":"a","Version":"v1","Slots":16,"State":"ready","ColdRemainingMs":0,"Seq":%d}`, i/250, i%250, version)
	return replica.Row{Key: fmt.Sprintf("i-%07d", i), Value: []byte(value), Version: version}
}

// newControlWithTargets returns a Control that has a list of n targets.
func newControlWithTargets(n int) (*Control, time.Time) {
	now := time.Now()
	c := NewControl(Settings{Name: "r", Address: "10.0.0.1:1", FirstStart: true, MaxApplyDelay: 2 * time.Second, MaxDepartureDelay: 2 * time.Second, LoadMultiple: 2, RetrySpan: 10 * time.Second},
		silentStore{}, jsonDecoder{}, unreachablePeers{}, unreachableTargets{}, eventlog.Nop(), time.Now)
	for t := range c.readCtx {
		c.readCtx[t], c.cancelRead[t] = context.WithCancel(context.Background())
	}
	rows := make([]replica.Row, n)
	for i := range rows {
		rows[i] = targetRow(i, uint64(i+1))
	}
	c.core.Step(now, fleet.TableRead{Table: fleet.TargetsTable, Position: uint64(n), Rows: rows})
	c.applyTable(now, fleet.TableChanged{Table: fleet.TargetsTable, Version: uint64(n), Source: "store", Whole: true})
	return c, now
}

// BenchmarkIdleTick measures a tick without requests by the number of targets. There are ten ticks
// a second.
func BenchmarkIdleTick(b *testing.B) {
	for _, n := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			c, now := newControlWithTargets(n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(fleet.TickInterval)
				c.tick(context.Background(), now)
			}
		})
	}
}

// BenchmarkTargetChanged measures the update of one target entry by the number of targets.
func BenchmarkTargetChanged(b *testing.B) {
	for _, n := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			c, now := newControlWithTargets(n)
			version := uint64(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				version++
				c.changeEntry(now, i%n, version)
			}
		})
	}
}

// BenchmarkReportReceived measures the processing of a report without departures, and the check of a
// connection's lifetime that follows it, by the number of targets.
func BenchmarkReportReceived(b *testing.B) {
	for _, n := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			c, now := newControlWithTargets(n)
			var loads []placement.Load
			for i := range n / 10 {
				loads = append(loads, placement.Load{Target: placement.UID(fmt.Sprintf("i-%07d", i), 0, ""), Open: 1})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(fleet.TickInterval)
				c.applyReport(now, fleet.ReportReceived{Source: 7, Loads: loads})
				c.targetSet.HasLifetime(loads[0].Target)
			}
		})
	}
}
