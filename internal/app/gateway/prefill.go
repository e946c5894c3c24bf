package gateway

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/prefill"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	// claimTimeout bounds the call to a registrar. A call takes some milliseconds.
	claimTimeout = 25 * time.Millisecond
	// maxPrefillWaiting is how many requests wait at once. Each holds its body.
	maxPrefillWaiting = 64
)

// Results of claims, as metrics count them.
const (
	ClaimGranted    = "granted"    // the request's own target reads the prefix
	ClaimHeld       = "held"       // a target reads or holds it already
	ClaimUnanswered = "unanswered" // the registrar is silent, gone or of an older release
	ClaimInvalid    = "invalid"    // the answer makes no sense
)

// Ends of waits, as metrics count them.
const (
	WaitRead   = "read"   // the target has read the prefix
	WaitTime   = "time"   // the expected time has passed
	WaitCaller = "caller" // the caller left, or the request's deadline passed
)

// prefillState has the claims that this router has granted as a registrar, and its requests that wait
// for the reads of others. It is safe for concurrent use.
type prefillState struct {
	mu         sync.Mutex
	claims     prefill.Claims
	registrars *prefill.Registrars
	waiting    map[*prefillWait]struct{}
}

// prefillWait is the wait of one request for a prefix.
type prefillWait struct {
	prefix uint64
	read   chan struct{} // closed when the prefix has been read
}

func newPrefillState(self string) *prefillState {
	return &prefillState{registrars: prefill.NewRegistrars(self), waiting: make(map[*prefillWait]struct{})}
}

// setOthers sets the other routers that are alive and not about to stop.
func (s *prefillState) setOthers(now time.Time, routers []reach.Router) {
	addresses := make([]string, len(routers))
	for i, r := range routers {
		addresses[i] = r.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrars.SetOthers(now, addresses)
}

// count returns the number of claims and of waiting requests.
func (s *prefillState) count(now time.Time) (claims, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Len(now), len(s.waiting)
}

// registrarOf returns the registrar of a prefix, and whether that is this router. ok is false if it has
// failed to answer recently.
func (s *prefillState) registrarOf(now time.Time, k prefill.Key) (address string, self, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, self = s.registrars.Of(k)
	return address, self, self || s.registrars.MayAsk(now, address)
}

func (s *prefillState) recordSilence(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrars.RecordSilence(now, address)
}

func (s *prefillState) claim(now time.Time, k prefill.Key, target uint64, readTime time.Duration) prefill.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Claim(now, k, target, readTime)
}

// beginWait adds a wait for a prefix; false if too many requests wait already. endWait must follow.
func (s *prefillState) beginWait(prefix uint64) (*prefillWait, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxPrefillWaiting {
		return nil, false
	}
	w := &prefillWait{prefix: prefix, read: make(chan struct{})}
	s.waiting[w] = struct{}{}
	return w, true
}

func (s *prefillState) endWait(w *prefillWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, w)
}

// recordAnswer ends the waits for the prefixes of a prompt that a target of this router has read.
func (s *prefillState) recordAnswer(prefixes []placement.Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(prefixes) && len(s.waiting) > 0; i++ {
		s.endWaitsFor(prefixes[i].Hash)
	}
}

// recordReports ends the waits for prefixes that another router reported as read.
func (s *prefillState) recordReports(reads []placement.PrefixRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(reads) && len(s.waiting) > 0; i++ {
		s.endWaitsFor(reads[i].Prefix)
	}
}

func (s *prefillState) endWaitsFor(prefix uint64) {
	for w := range s.waiting {
		if w.prefix == prefix {
			close(w.read)
			delete(s.waiting, w)
		}
	}
}

// findUnreadPrefix returns the prefix of a request that no known target holds, see
// placement.Balancer.FindUnreadPrefix.
func (t *trafficState) findUnreadPrefix(now time.Time, request placement.Request) (placement.UnreadPrefix, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// In a shortage, a request with a claim may be refused, and others would wait for a read that never starts.
	if !t.balancer.IsScheduledByWork(request.Pool) || shedding.IsShortage(t.balancer.Utilization(now, request.Pool)) {
		return placement.UnreadPrefix{}, false
	}
	request.LoadsOutdated = t.poolGate(request.Pool).HasShortWork(t.maxLoadReportAge(now))
	return t.balancer.FindUnreadPrefix(now, request)
}

// prefixHolder returns a target that holds a prefix, as far as this router knows.
func (t *trafficState) prefixHolder(now time.Time, pool string, prefix uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.PrefixHolder(now, pool, prefix)
}

// awaitPrefixRead waits while another target reads the beginning of the prompt for another request. It
// returns the target to send the request to, or 0 if placement chooses. The request is not counted as
// open meanwhile. The wait ends early when the target is reported to have read the prefix, and when the
// caller leaves.
func (r *openRequest) awaitPrefixRead(now time.Time) (preferred uint64) {
	p, call := r.proxy, r.match.call
	if len(call.PromptPrefixes) == 0 || call.PromptTokens <= 0 {
		return 0
	}
	unread, ok := p.traffic.findUnreadPrefix(now, placement.Request{
		Pool: r.match.pool, ChatHash: call.ChatHash, PromptPrefixes: call.PromptPrefixes, PromptTokens: call.PromptTokens,
		Objective: r.match.route.Objective, Software: r.stream.software,
	})
	if !ok {
		return 0
	}
	answer, ok := p.claimRead(r.ctx, now, r.match.pool, unread)
	if !ok {
		return 0
	}
	patience := prefill.Patience{Target: unread.Target, ReadTime: unread.ReadTime, Objective: r.match.route.Objective, Remaining: r.deadline.Sub(p.now())}
	wait := answer.Wait(patience)
	if wait == 0 {
		return 0
	}
	w, ok := p.traffic.prefill.beginWait(unread.Prefix.Hash)
	if !ok {
		return 0
	}
	defer p.traffic.prefill.endWait(w)
	startedAt := p.now()
	ended := WaitRead
	if _, held := p.traffic.prefixHolder(startedAt, r.match.pool, unread.Prefix.Hash); !held {
		ended = w.await(r.ctx, wait)
	}
	p.observer.CountPrefillWait(ended)
	r.logLine(eventlog.PrefillWait).Str("target", p.traffic.targetID(answer.Target)).Dur("waited", p.now().Sub(startedAt)).
		Str("ended", ended).Int("tokens", unread.Prefix.Tokens).Msg("")
	if ended == WaitTime {
		return answer.Target
	}
	return 0
}

// await waits until the prefix has been read, for at most d, and returns what ended the wait.
func (w *prefillWait) await(ctx context.Context, d time.Duration) string {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.read:
		return WaitRead
	case <-timer.C:
		return WaitTime
	case <-ctx.Done():
		return WaitCaller
	}
}

// claimRead asks the registrar of a prefix whether the chosen target shall read it. ok is false if there
// is no valid answer.
func (p *Proxy) claimRead(ctx context.Context, now time.Time, pool string, unread placement.UnreadPrefix) (answer prefill.Answer, ok bool) {
	state, key := p.traffic.prefill, prefill.KeyOf(pool, unread.Prefix.Hash)
	address, self, ok := state.registrarOf(now, key)
	switch {
	case !ok:
		p.observer.CountPrefillClaim(ClaimUnanswered)
		return prefill.Answer{}, false
	case self:
		answer = state.claim(now, key, unread.Target, unread.ReadTime)
	default:
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		resp, err := p.peers.ClaimRead(callCtx, address, &peerv1.ClaimReadRequest{
			Protocol: fleet.Protocol, Pool: pool, Prefix: unread.Prefix.Hash, Tokens: uint32(unread.Prefix.Tokens),
			Target: unread.Target, ReadMillis: uint32(max(unread.ReadTime.Milliseconds(), 1)),
		})
		if err != nil {
			if ctx.Err() == nil { // the caller did not end the call
				state.recordSilence(p.now(), address)
			}
			p.observer.CountPrefillClaim(ClaimUnanswered)
			return prefill.Answer{}, false
		}
		answer = prefill.Answer{
			Granted: resp.GetReadyMillis() == 0, Target: resp.GetTarget(), Ready: time.Duration(resp.GetReadyMillis()) * time.Millisecond,
		}
	}
	switch {
	case answer.Target == 0:
		p.observer.CountPrefillClaim(ClaimInvalid)
		return prefill.Answer{}, false
	case answer.Granted:
		p.observer.CountPrefillClaim(ClaimGranted)
	default:
		p.observer.CountPrefillClaim(ClaimHeld)
	}
	return answer, true
}

// ServeClaim answers another router's claim as the registrar of a prefix. If this router knows a target
// that holds the prefix, the other router will soon learn of it, too.
func (c *Control) ServeClaim(req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
	if req.GetProtocol() != fleet.Protocol || req.GetPool() == "" || req.GetTarget() == 0 || req.GetTokens() < prefill.MinTokens {
		return nil, code.New(code.BadProtocol, "protocol %d, target %d, %d tokens", req.GetProtocol(), req.GetTarget(), req.GetTokens())
	}
	now := c.now()
	if holder, ok := c.traffic.prefixHolder(now, req.GetPool(), req.GetPrefix()); ok {
		return &peerv1.ClaimReadResponse{Target: holder, ReadyMillis: 1}, nil
	}
	readTime := time.Duration(req.GetReadMillis()) * time.Millisecond
	answer := c.traffic.prefill.claim(now, prefill.KeyOf(req.GetPool(), req.GetPrefix()), req.GetTarget(), readTime)
	return &peerv1.ClaimReadResponse{Target: answer.Target, ReadyMillis: uint32((answer.Ready + time.Millisecond - 1) / time.Millisecond)}, nil
}
