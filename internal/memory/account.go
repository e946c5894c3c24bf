// Package memory bounds the memory that callers make a process hold. One Account counts all of it: connections and
// open requests with what the kernel may hold for them, bodies that arrive or wait for a target, copies of them,
// and answers that are not taken yet.
package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that there is no memory, and that none became free in time.
var ErrExhausted = errors.New("memory for callers is used up")

// Kind is what a Reservation is for. It decides up to which level of the account memory is granted, so that large
// messages leave room for requests, and those for answers that targets have made.
type Kind int

// The kinds of reservations.
const (
	Body    Kind = iota // the body of a caller's request
	Request             // a connection, or an open request besides its body
	Answer              // an answer of a target
	kindCount
)

// SmallBytes is the size up to which a body counts as an open request, and an answer may take all there is: small
// messages are not kept out by large ones.
const SmallBytes = 64 << 10

// The levels of the account up to which memory is granted, in eighths of its limit. A small answer may fill it. Beyond
// largeLevel, large bodies and large answers may hold ownEighths each, which requests can't take from them, and a
// single body may be larger.
const (
	levels       = 8
	largeLevel   = 4
	requestLevel = 6
	ownBodyLevel = 7
	ownEighths   = 1
)

// Account bounds the bytes of all reservations. Beyond SmallBytes, the bodies of one team together may hold at most as
// much as is left for bodies, so that each further team finds memory, unless no other large body is there. Those
// that ask for more than there is wait, bodies and answers in the order of their calls; one that has its
// share already does not wait but fails, so that messages which grow step by step don't wait for each
// other. Meanwhile those whose callers keep the process waiting are ended, see Transfer. It is safe for concurrent
// use.
type Account struct {
	maxWait time.Duration
	now     func() time.Time

	mu    sync.Mutex
	limit int64
	held  int64
	// byKind are the bytes of the reservations of each kind, prepaid ones included.
	byKind [kindCount]int64
	// large is the number of reservations of more than SmallBytes by kind, and largeHeld what they hold.
	large, largeHeld [kindCount]int64
	bodies           map[string]int64 // bytes of large bodies beyond SmallBytes, by team
	allBodies        int64            // sum of bodies
	waiting          [kindCount][]*waiter
	transfers        map[*Transfer]struct{}
	// ending is the sum of the bytes of reservations whose transfers were ended and that are not released yet.
	ending int64
}

// NewAccount returns an Account of limit bytes. A call of Reservation.Grow waits for maxWait at most, but for bodies.
func NewAccount(limit int64, maxWait time.Duration, now func() time.Time) *Account {
	return &Account{limit: limit, maxWait: maxWait, now: now, bodies: make(map[string]int64), transfers: make(map[*Transfer]struct{})}
}

// SetLimit changes the limit. What is held beyond a lower one stays until it is released.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
	a.grant()
}

// Limit returns the bytes of the account.
func (a *Account) Limit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// Held returns the bytes of all reservations.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// HeldBy returns the bytes of the reservations of a kind, whether or not another one holds them.
func (a *Account) HeldBy(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[k]
}

func (a *Account) level(eighths int64) int64 { return a.limit * eighths / levels }

// fit is whether memory can be granted.
type fit int

const (
	fits      fit = iota
	teamFull      // the team has its share of the memory for bodies
	levelFull     // the account is filled up to the level of the reservation
)

// check returns whether n bytes more can be granted to r. a.mu must be held.
func (a *Account) check(r *Reservation, n int64) fit {
	charge := r.charge(n)
	after := a.held + charge
	switch level := a.levelOf(r, n); {
	case charge == 0:
		return fits
	case after > level:
		return levelFull
	case r.kind == Body && r.bytes+n > SmallBytes && !a.isOnlyBody(r) && a.bodies[r.team]+largePart(r.bytes+n)-largePart(r.bytes) > level-after:
		return teamFull
	}
	return fits
}

// levelOf returns the bytes up to which the account may be filled by n bytes more for r. a.mu must be held.
func (a *Account) levelOf(r *Reservation, n int64) int64 {
	isLarge := r.bytes+n > SmallBytes
	switch {
	case r.kind == Answer && !isLarge:
		return a.limit
	case r.kind == Answer && a.largeWith(r, n) <= a.level(ownEighths):
		return a.limit
	case r.kind == Body && isLarge && (a.isOnlyBody(r) || a.largeWith(r, n) <= a.level(ownEighths)):
		return a.level(ownBodyLevel)
	case r.kind != Request && isLarge:
		return a.level(largeLevel)
	}
	return a.level(requestLevel)
}

// largeWith returns what the large reservations of its kind hold with n bytes more for r. a.mu must be held.
func (a *Account) largeWith(r *Reservation, n int64) int64 {
	others := a.largeHeld[r.kind]
	if r.isLarge() {
		others -= r.bytes
	}
	return others + r.bytes + n
}

// isOnlyBody reports whether no other body is large. a.mu must be held.
func (a *Account) isOnlyBody(r *Reservation) bool { return a.allBodies == largePart(r.bytes) }

// isPossible reports whether n bytes more could be granted to r if nothing else were held. a.mu must be held.
func (a *Account) isPossible(r *Reservation, n int64) bool {
	switch r.kind {
	case Request:
		return r.bytes+n <= a.level(requestLevel)
	case Body:
		return r.bytes+n <= a.level(ownBodyLevel)
	}
	return r.bytes+n <= a.level(largeLevel)
}

// largePart returns the bytes beyond SmallBytes.
func largePart(bytes int64) int64 { return max(bytes-SmallBytes, 0) }

// add changes the size of r by n bytes. a.mu must be held.
func (a *Account) add(r *Reservation, n int64) {
	a.held += r.charge(n)
	if r.isLarge() {
		a.large[r.kind]--
		a.largeHeld[r.kind] -= r.bytes
	}
	if r.kind == Body {
		a.addBody(r.team, largePart(r.bytes+n)-largePart(r.bytes))
	}
	r.bytes += n
	a.byKind[r.kind] += n
	if r.isLarge() {
		a.large[r.kind]++
		a.largeHeld[r.kind] += r.bytes
	}
}

func (a *Account) addBody(team string, n int64) {
	a.allBodies += n
	a.bodies[team] += n
	if a.bodies[team] == 0 {
		delete(a.bodies, team)
	}
}

// hasShare reports whether there are other large reservations of its kind, and r is at least as large as they are on
// average. a.mu must be held.
func (a *Account) hasShare(r *Reservation) bool {
	return r.isLarge() && a.large[r.kind] > 1 && r.bytes >= a.largeHeld[r.kind]/a.large[r.kind]
}

// grant grants what fits to the calls that have waited longest. Those behind a call pass it if it waits for its team's
// share, or if they hold memory already: they return it once they are complete. a.mu must be held.
func (a *Account) grant() {
	for _, kind := range [...]Kind{Answer, Request, Body} {
		still := a.waiting[kind][:0]
		isBlocked := false
		for _, w := range a.waiting[kind] {
			result := levelFull
			if !isBlocked || w.reservation.isLarge() {
				result = a.check(w.reservation, w.bytes)
			}
			if result == fits {
				a.add(w.reservation, w.bytes)
				close(w.granted)
				continue
			}
			isBlocked = isBlocked || result == levelFull
			still = append(still, w)
		}
		clear(a.waiting[kind][len(still):])
		a.waiting[kind] = still
	}
}
