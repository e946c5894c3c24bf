package gateway

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	// returnPeriod is the time in which callers come back for a stream. It is added to the longest stream.
	returnPeriod = 15 * time.Second
	// maxStreamRetention bounds how long streams are remembered, however long a route lets them last.
	maxStreamRetention = 10 * time.Minute
	// lookupBatchDelay gathers lookups: when a router is lost, all of its callers come back at once.
	lookupBatchDelay = 2 * time.Millisecond
	// lookupCallTimeout bounds one call to a router, lookupTimeout a whole lookup. A record is at the
	// relays within a tick, so a stream that all of them lack is looked up once more after lookupRetryDelay.
	lookupCallTimeout = 150 * time.Millisecond
	lookupRetryDelay  = fleet.TickInterval + 50*time.Millisecond
	lookupTimeout     = 450 * time.Millisecond
	// maxLookups bounds the callers that wait for a lookup, maxStreamsPerLookup the streams in a call.
	maxLookups          = 4096
	maxStreamsPerLookup = 1024
)

// streamRegistry knows at which software versions streams began. It is safe for concurrent use.
type streamRegistry struct {
	peers Peers
	log   *eventlog.Log
	now   func() time.Time

	mu        sync.Mutex
	registry  *lineage.Registry
	near, far []string // other routers that keep records, see fleet.Core.StreamKeepers
	waiting   map[lineage.Stream][]chan<- lineage.Software
	queued    []lineage.Stream // streams of waiting that no lookup has taken yet
	gathering bool             // a lookup is about to take the queued streams
}

func newStreamRegistry(peers Peers, log *eventlog.Log, now func() time.Time) *streamRegistry {
	return &streamRegistry{
		peers: peers, log: log, now: now, registry: lineage.NewRegistry(now(), defaultTimeout+returnPeriod),
		waiting: make(map[lineage.Stream][]chan<- lineage.Software),
	}
}

// setLongestStream sets how long streams last at most.
func (s *streamRegistry) setLongestStream(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.SetRetention(min(d+returnPeriod, maxStreamRetention))
}

// setKeepers sets the other routers that keep records.
func (s *streamRegistry) setKeepers(near, far []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.near, s.far = near, far
}

func (s *streamRegistry) begin(rec lineage.Record, target uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Begin(s.now(), rec, target)
}

func (s *streamRegistry) receive(records []lineage.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Receive(s.now(), records)
}

func (s *streamRegistry) revoke(target uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Revoke(s.now(), target)
}

func (s *streamRegistry) reportAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.ReportAgain(s.now())
}

// maxReportedStreams is how many records a tick takes: more than a digest holds, since a router that
// restarts makes the others report all of theirs again.
const maxReportedStreams = 1024

func (s *streamRegistry) takeUnreported() []lineage.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.TakeUnreported(maxReportedStreams)
}

// known returns what this router knows of a stream; 0 if nothing.
func (s *streamRegistry) known(stream lineage.Stream) lineage.Software {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Find(s.now(), stream)
}

// count returns how many streams this router knows.
func (s *streamRegistry) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len()
}

// find returns the software version at which a stream began: 0 if nobody knows it. asked is true if
// other routers had to be asked.
func (s *streamRegistry) find(ctx context.Context, stream lineage.Stream) (software lineage.Software, asked bool) {
	answer, software := s.enqueue(stream)
	if answer == nil {
		return software, false
	}
	select {
	case software = <-answer:
	case <-ctx.Done():
	}
	return software, true
}

// enqueue returns what this router knows of a stream, or a channel for the answer of others.
func (s *streamRegistry) enqueue(stream lineage.Stream) (<-chan lineage.Software, lineage.Software) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if software := s.registry.Find(s.now(), stream); software != 0 || len(s.waiting) >= maxLookups {
		return nil, software
	}
	answer := make(chan lineage.Software, 1)
	if len(s.waiting[stream]) == 0 {
		s.queued = append(s.queued, stream)
	}
	s.waiting[stream] = append(s.waiting[stream], answer)
	if !s.gathering {
		s.gathering = true
		time.AfterFunc(lookupBatchDelay, func() { s.log.Guard(whereStreamLookup, s.lookUpQueued) })
	}
	return answer, 0
}

// lookUpQueued looks up the queued streams.
func (s *streamRegistry) lookUpQueued() {
	s.mu.Lock()
	streams := s.queued
	s.queued, s.gathering = nil, false
	s.mu.Unlock()
	for len(streams) > 0 {
		n := min(len(streams), maxStreamsPerLookup)
		batch := streams[:n:n]
		go func() {
			if s.log.Try(whereStreamLookup, func() error { s.lookUp(batch); return nil }) != nil {
				s.answer(batch, true) // later callers would wait for this lookup
			}
		}()
		streams = streams[n:]
	}
}

// lookUp asks the routers of this data centre, then the others, and all once more, until all streams are
// known. What is still unknown then is answered as such.
func (s *streamRegistry) lookUp(streams []lineage.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	for round := range 2 {
		if round > 0 {
			select {
			case <-time.After(lookupRetryDelay):
			case <-ctx.Done():
			}
			streams = s.answer(streams, false)
		}
		s.mu.Lock()
		near, far := s.near, s.far
		s.mu.Unlock()
		streams = s.ask(ctx, near, streams)
		streams = s.ask(ctx, far, streams)
		if len(streams) == 0 {
			return
		}
	}
	s.answer(streams, true)
}

// ask asks routers for streams, all at once, and returns the streams that none of them knew.
func (s *streamRegistry) ask(ctx context.Context, addresses []string, streams []lineage.Stream) (unknown []lineage.Stream) {
	if len(streams) == 0 || len(addresses) == 0 {
		return streams
	}
	ctx, cancel := context.WithTimeout(ctx, lookupCallTimeout)
	defer cancel()
	req := &peerv1.FindStreamsRequest{Protocol: fleet.Protocol, Stream: make([]uint64, len(streams))}
	for i, stream := range streams {
		req.Stream[i] = uint64(stream)
	}
	replies := make(chan *peerv1.FindStreamsResponse, len(addresses))
	for _, a := range addresses {
		go func() {
			var resp *peerv1.FindStreamsResponse
			err := s.log.Try(whereStreamLookup, func() (err error) {
				resp, err = s.peers.FindStreams(ctx, a, req)
				return err
			})
			if err != nil {
				resp = nil // as good as a router that knows nothing
			}
			replies <- resp // in any case: the caller waits for each reply
		}()
	}
	for range addresses {
		resp := <-replies
		if len(resp.GetSoftware()) != len(req.GetStream()) {
			continue
		}
		records := make([]lineage.Record, len(req.GetStream()))
		for i, software := range resp.GetSoftware() {
			records[i] = lineage.Record{Stream: lineage.Stream(req.GetStream()[i]), Software: lineage.Software(software)}
		}
		s.receive(records)
		if streams = s.answer(streams, false); len(streams) == 0 {
			return nil
		}
	}
	return streams
}

// answer answers the callers that wait for streams which are known by now, or for all of them, and
// returns the others.
func (s *streamRegistry) answer(streams []lineage.Stream, all bool) (unknown []lineage.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range streams {
		software := s.registry.Find(s.now(), stream)
		if software == 0 && !all {
			unknown = append(unknown, stream)
			continue
		}
		for _, c := range s.waiting[stream] {
			c <- software
		}
		delete(s.waiting, stream)
	}
	return unknown
}

// ServeStreams answers another router's question for streams.
func (c *Control) ServeStreams(req *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error) {
	if req.GetProtocol() != fleet.Protocol || len(req.GetStream()) > maxStreamsPerLookup {
		return nil, code.New(code.BadProtocol, "protocol %d, %d streams", req.GetProtocol(), len(req.GetStream()))
	}
	out := &peerv1.FindStreamsResponse{Software: make([]uint64, len(req.GetStream()))}
	for i, stream := range req.GetStream() {
		out.Software[i] = uint64(c.traffic.streams.known(lineage.Stream(stream)))
	}
	return out, nil
}
