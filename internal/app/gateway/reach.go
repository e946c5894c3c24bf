package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// pathState is what request goroutines know of this router's path to the targets, and of the routers
// that send its requests while the path is cut. It is safe for concurrent use.
type pathState struct {
	// forwarding is the number of attempts that this router sends for others.
	forwarding atomic.Int64

	mu         sync.Mutex
	monitor    *reach.Monitor
	forwarders *reach.Forwarders
}

func newPathState(rnd *rand.Rand) *pathState {
	return &pathState{monitor: reach.NewMonitor(), forwarders: reach.NewForwarders(rnd)}
}

func (s *pathState) recordBytes(now time.Time, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.RecordBytes(now, pool)
}

func (s *pathState) recordConnection(now time.Time, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.RecordConnection(now, pool)
}

// recordFailure reports whether the path must be checked, see reach.Monitor.
func (s *pathState) recordFailure(now time.Time, pool string, f reach.Failure, startedAt time.Time) (mustCheck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.RecordFailure(now, pool, f, startedAt)
}

func (s *pathState) beginCheck(now time.Time, pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.BeginCheck(now, pool)
}

func (s *pathState) endCheck(now time.Time, pool string, tried, accepted int) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.EndCheck(now, pool, tried, accepted)
}

func (s *pathState) isCut(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.IsCut(pool)
}

func (s *pathState) cutPools() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.CutPools()
}

func (s *pathState) setRouters(others []reach.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarders.SetRouters(others)
}

func (s *pathState) chooseForwarder(now time.Time, q reach.Query) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarders.Choose(now, q)
}

func (s *pathState) recordForwarder(now time.Time, pool, address string, result reach.Result, named []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarders.Record(now, pool, address, result)
	s.forwarders.RecordNamed(now, pool, named)
}

func (s *pathState) provenForwarders(now time.Time, pool string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarders.Proven(now, pool)
}

// logLastSeen adds to a line how long ago this router last saw any target of a pool.
func (s *pathState) logLastSeen(line *zerolog.Event, now time.Time, pool string) *zerolog.Event {
	s.mu.Lock()
	heardAt, connectedAt := s.monitor.LastSeen(pool)
	s.mu.Unlock()
	if !heardAt.IsZero() {
		line = line.Dur("heard", now.Sub(heardAt))
	}
	if !connectedAt.IsZero() {
		line = line.Dur("connected", now.Sub(connectedAt))
	}
	return line
}

// pathChecker checks this router's path to the targets of a pool.
type pathChecker struct {
	dataCentre string
	traffic    *trafficState
	upstream   Upstream
	log        *eventlog.Log
	now        func() time.Time
}

// reachesAnother reports whether this router reaches a target of a pool other than the one with the
// given UID. Without that, the failure of a target may be one of this router's path. It is true if the
// pool has no other target.
func (c *pathChecker) reachesAnother(pool string, uid uint64) bool {
	tried, accepted := c.connectToWitnesses(pool, uid)
	if accepted > 0 {
		c.traffic.path.recordConnection(c.now(), pool)
	}
	return tried == 0 || accepted > 0
}

// connectToWitnesses opens a connection to several targets of a pool at the same time, except the one
// with the given UID. It returns when one has accepted or all have failed.
func (c *pathChecker) connectToWitnesses(pool string, except uint64) (tried, accepted int) {
	targets := c.traffic.takeWitnesses(c.now(), pool, except, reach.Witnesses)
	results := make(chan bool, len(targets))
	for _, t := range targets {
		go func() {
			err := c.log.Try(whereProbe, func() error { return c.upstream.Probe(context.Background(), t.Address) })
			results <- err == nil // in any case: the caller waits for each result
		}()
	}
	for range targets {
		if <-results {
			accepted++
			break
		}
	}
	return len(targets), accepted
}

// check checks the path to a pool's targets, after beginCheck or recordFailure has begun it.
func (c *pathChecker) check(pool string) {
	tried, accepted := 0, 0
	c.log.Guard(wherePathCheck, func() { tried, accepted = c.connectToWitnesses(pool, 0) })
	if !c.traffic.path.endCheck(c.now(), pool, tried, accepted) {
		return
	}
	cut := accepted == 0
	c.log.Line(eventlog.PathChanged).Str("pool", pool).Bool("cut", cut).Int("tried", tried).Int("accepted", accepted).Msg("")
	if cut {
		c.traffic.forgetFailures(pool)
		c.checkOtherPools(pool)
	}
}

// checkOtherPools checks the paths to the other pools: what cuts one path often cuts all.
func (c *pathChecker) checkOtherPools(pool string) {
	for _, other := range c.traffic.poolNames() {
		if other != pool && !c.traffic.path.isCut(other) && c.traffic.path.beginCheck(c.now(), other) {
			c.log.Go(wherePathCheck, func() { c.check(other) })
		}
	}
}

// suspectPath checks the path after an attempt over it that may have failed because of it.
func (t *targetAttempt) suspectPath() {
	switch {
	case t.isForwarded():
	case t.outcome == placement.Unreachable:
		t.checkPathAfter(reach.NoConnection)
	case t.failure == "broken", t.failure == "stream_cut", t.failure == "truncated":
		t.checkPathAfter(reach.NoAnswer)
	}
}

func (t *targetAttempt) checkPathAfter(f reach.Failure) {
	p, pool := t.request.proxy, t.request.match.pool
	if p.traffic.path.recordFailure(p.now(), pool, f, t.startedAt) {
		p.log.Go(wherePathCheck, func() { p.paths.check(pool) })
	}
}

// tickPath checks the paths that are cut again, and keeps the list of possible forwarders while some
// may be needed.
func (c *Control) tickPath(now time.Time) {
	pools := c.traffic.path.cutPools()
	if len(pools) == 0 && !c.traffic.hasBrittlePool() {
		return
	}
	c.traffic.path.setRouters(c.core.AliveRouters(now))
	for _, pool := range pools {
		if c.traffic.path.beginCheck(now, pool) {
			c.log.Go(wherePathCheck, func() { c.paths.check(pool) })
		}
	}
}

// takeWitnesses returns targets that show whether this router reaches a pool.
func (t *trafficState) takeWitnesses(now time.Time, pool string, except uint64, n int) []placement.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.TakeWitnesses(now, pool, except, n)
}

// forgetFailures forgets this router's failures at the targets of a pool.
func (t *trafficState) forgetFailures(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.ForgetFailures(pool)
}

// poolNames returns the names of all pools with targets.
func (t *trafficState) poolNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.PoolNames()
}

// mayForward returns the target of another router's attempt if it may get requests now.
func (t *trafficState) mayForward(now time.Time, uid uint64) (placement.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.MayForward(now, uid)
}
