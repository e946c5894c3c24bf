// Package prefill keeps targets from reading the same prompt prefix at the same time. Each prefix has
// a registrar among the routers, which knows which target reads it. A router asks the registrar before
// it sends a request whose prefix no target holds, and the request waits if a target reads it already.
package prefill

import (
	"container/heap"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	// MinTokens is how many tokens of a prefix no target may hold for a claim. Fewer are read within
	// some tens of milliseconds, which is not worth a call and a wait.
	MinTokens = 2048
	// MaxClaims bounds the claims of a registrar, at about 100 bytes each. Further prefixes are granted
	// without a record, so they may be read twice.
	MaxClaims = 4096
	// MaxWaiters bounds the requests of all routers that wait for one read. They are sent within a moment of
	// each other when it ends, before the routers see each other's requests, and would exceed the load
	// bound of the target. Further claims are granted, as without a registrar.
	MaxWaiters = 8
	// maxClaimTTL bounds a claim whose read takes long or whose router is gone.
	maxClaimTTL = 3 * time.Second
	// minReadTime is the shortest time that a read is expected to take, and the shortest wait that an
	// answer states: on the wire, 0 means that a claim is granted.
	minReadTime = time.Millisecond
)

// Key identifies a prefix in a pool.
type Key uint64

// KeyOf returns the key of a prefix.
func KeyOf(pool string, prefix uint64) Key {
	return Key(rendezvous.Mix(prefix, rendezvous.Hash(pool)))
}

// Answer is a registrar's answer to a claim.
type Answer struct {
	// Granted is true if the target of the claim shall read the prefix.
	Granted bool
	// Target reads the prefix. It will have read it after Ready, which is 0 if the claim is granted.
	Target uint64
	Ready  time.Duration
}

// Claims are the claims that a registrar has granted. The zero value has none.
type Claims struct {
	byKey    map[Key]*claim
	byExpiry expiryHeap
}

type claim struct {
	key       Key
	target    uint64
	waiters   int // answers that named the target
	readyAt   time.Time
	expiresAt time.Time
}

// Claim grants the reading of a prefix to a target, or returns the target that reads it already.
// readTime is how long the read is expected to take.
func (c *Claims) Claim(now time.Time, k Key, target uint64, readTime time.Duration) Answer {
	c.expire(now)
	held, ok := c.byKey[k]
	if ok && held.waiters < MaxWaiters {
		held.waiters++
		return Answer{Target: held.target, Ready: held.remaining(now)}
	}
	if !ok && len(c.byKey) < MaxClaims {
		readTime = min(max(readTime, minReadTime), maxClaimTTL)
		added := &claim{key: k, target: target, readyAt: now.Add(readTime), expiresAt: now.Add(min(2*readTime, maxClaimTTL))}
		if c.byKey == nil {
			c.byKey = make(map[Key]*claim)
		}
		c.byKey[k] = added
		heap.Push(&c.byExpiry, added)
	}
	return Answer{Granted: true, Target: target}
}

// Len returns the number of claims that have not expired.
func (c *Claims) Len(now time.Time) int {
	c.expire(now)
	return len(c.byKey)
}

func (c *Claims) expire(now time.Time) {
	for len(c.byExpiry) > 0 && !now.Before(c.byExpiry[0].expiresAt) {
		delete(c.byKey, heap.Pop(&c.byExpiry).(*claim).key)
	}
}

// remaining returns how much longer the read takes. An overdue read is expected to take as long again as
// it is overdue, since the time by which it will exceed its estimate is unknown.
func (c *claim) remaining(now time.Time) time.Duration {
	d := c.readyAt.Sub(now)
	if d < 0 {
		d = -d
	}
	return max(min(d, c.expiresAt.Sub(now)), minReadTime)
}

// expiryHeap orders claims by the time at which they expire.
type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*claim)) }

// Pop removes the last claim.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	out := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return out
}
