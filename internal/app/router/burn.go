package router

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxBurnSeries is the largest number of pairs of team and pool that one router measures
// separately.
const maxBurnSeries = 2000

// BurnRecorder measures the service level of a router's requests and reports it to the controllers.
// It is safe for concurrent use.
type BurnRecorder struct {
	mu      sync.Mutex
	tracker *burn.Tracker
	control *Control
	self    uint32
	log     *eventlog.Log
	now     func() time.Time
}

// NewBurnRecorder returns a BurnRecorder without counts.
func NewBurnRecorder(control *Control, self uint32, log *eventlog.Log, now func() time.Time) *BurnRecorder {
	return &BurnRecorder{tracker: burn.NewTracker(now(), maxBurnSeries), control: control, self: self, log: log, now: now}
}

// RecordResult counts the result of a request. It ignores requests whose caller disconnected, as
// they don't show the service level.
func (b *BurnRecorder) RecordResult(req Request, result Result) {
	if result.Code == code.CallerGone {
		return
	}
	var objective time.Duration
	if team, ok := b.control.Table().Team(req.Team); ok {
		objective = time.Duration(team.Spec.FirstTokenMillis) * time.Millisecond
	}
	good := burn.MetServiceLevel(result.Code == code.OK, result.FirstPartLatency, objective)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker.RecordRequest(b.now(), burn.Key{Pool: req.Pool.Name, Team: req.Team}, good, result.FirstPartLatency)
}

// Handle replies to a BurnRequest with the counts and passes all other messages to the Control.
func (b *BurnRecorder) Handle(ctx context.Context, m proto.Message) (proto.Message, error) {
	if _, ok := m.(*peerv1.BurnRequest); !ok {
		return b.control.Handle(ctx, m)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	resp := &peerv1.BurnResponse{Router: b.self}
	for _, s := range b.tracker.Samples(b.now()) {
		resp.Series = append(resp.Series, b.encodeSeries(s))
	}
	return resp, nil
}

// encodeSeries encodes the sample of one team and pool. If its histogram can't be encoded, the
// series has the counts only.
func (b *BurnRecorder) encodeSeries(s burn.Sample) *peerv1.BurnSeries {
	encoded, err := s.Histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		b.log.Line(eventlog.BurnIncomplete).Str("pool", s.Key.Pool).Str("team", s.Key.Team).Err(err).Msg("")
	}
	out := &peerv1.BurnSeries{Pool: s.Key.Pool, Team: s.Key.Team, Histogram: encoded}
	for _, c := range s.Counts {
		out.Good = append(out.Good, c.Good)
		out.Bad = append(out.Bad, c.Bad)
	}
	return out
}
