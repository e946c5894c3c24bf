package memory

import (
	"context"
	"slices"
	"time"
)

// Reservation is the part of an Account that one message, request or connection holds. Its methods must not be
// called concurrently.
type Reservation struct {
	account *Account
	kind    Kind
	team    string
	prepaid int64 // bytes that another reservation holds for this one
	bytes   int64
	ending  int64 // what counts in Account.ending
}

// Reserve returns an empty Reservation, which must be released in the end. team is that of a body.
func (a *Account) Reserve(kind Kind, team string) Reservation {
	return Reservation{account: a, kind: kind, team: team}
}

// ReservePrepaid returns an empty Reservation whose first bytes another reservation holds.
func (a *Account) ReservePrepaid(kind Kind, prepaid int64) Reservation {
	return Reservation{account: a, kind: kind, prepaid: prepaid}
}

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 { return r.bytes }

// charge returns by how much the account changes if the reservation changes by n bytes.
func (r *Reservation) charge(n int64) int64 {
	return max(r.bytes+n-r.prepaid, 0) - max(r.bytes-r.prepaid, 0)
}

func (r *Reservation) isLarge() bool { return r.bytes > SmallBytes }

// TryGrow adds n bytes if they are available at once. Requests and large messages that hold little yet don't overtake those
// that wait.
func (r *Reservation) TryGrow(n int64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	mustQueue := !r.isLarge() && (r.kind == Request || r.bytes+n > SmallBytes)
	if mustQueue && len(a.waiting[r.kind]) > 0 && r.charge(n) > 0 || a.check(r, n) != fits {
		return false
	}
	a.add(r, n)
	return true
}

// waiter is a call of Grow that waits.
type waiter struct {
	reservation *Reservation
	bytes       int64
	granted     chan struct{} // closed when the bytes are granted
}

// Grow adds n bytes, and waits until they are available. It fails with ErrExhausted, at once if the reservation has
// its share of the account or would exceed it by itself, or with the error of ctx. For a Request, it waits only for
// the memory of transfers that are ended in its favour. A Body waits until ctx ends.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	if r.TryGrow(n) {
		return nil
	}
	w := r.account.enqueue(r, n)
	if w == nil {
		return ErrExhausted
	}
	return r.account.wait(ctx, w)
}

// enqueue adds a call to those that wait. It returns nil if the call must not wait.
func (a *Account) enqueue(r *Reservation, n int64) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isPossible(r, n) {
		return nil
	}
	if willBeFree := a.reclaim(r, n); !willBeFree && (r.kind == Request || a.hasShare(r)) {
		return nil
	}
	w := &waiter{reservation: r, bytes: n, granted: make(chan struct{})}
	a.waiting[r.kind] = append(a.waiting[r.kind], w)
	a.grant() // bytes may have become free since TryGrow
	return w
}

// reclaimInterval is the time between two looks for transfers to end while a call waits.
const reclaimInterval = 50 * time.Millisecond

// wait waits until the bytes of a call are granted.
func (a *Account) wait(ctx context.Context, w *waiter) error {
	var expired <-chan time.Time // never, for a body
	if w.reservation.kind != Body {
		timer := time.NewTimer(a.maxWait)
		defer timer.Stop()
		expired = timer.C
	}
	again := time.NewTicker(reclaimInterval)
	defer again.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-expired:
			return a.withdraw(w, ErrExhausted)
		case <-ctx.Done():
			return a.withdraw(w, ctx.Err())
		case <-again.C:
			a.reclaimFor(w)
		}
	}
}

func (a *Account) reclaimFor(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Contains(a.waiting[w.reservation.kind], w) {
		a.reclaim(w.reservation, w.bytes)
	}
}

// withdraw ends the wait of a call with err, unless its bytes were granted meanwhile.
func (a *Account) withdraw(w *waiter, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := w.reservation.kind
	i := slices.Index(a.waiting[kind], w)
	if i < 0 {
		return nil
	}
	a.waiting[kind] = slices.Delete(a.waiting[kind], i, i+1)
	a.grant() // those behind it may need less
	return err
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int64) {
	if n == 0 {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(r, -n)
	if r.bytes == 0 {
		a.ending -= r.ending
		r.ending = 0
	}
	a.grant()
}

// Release returns all bytes. The reservation is empty afterwards.
func (r *Reservation) Release() { r.Shrink(r.bytes) }

// Move returns a Reservation that holds the bytes of r, and leaves r empty. There must be no Transfer of r.
func (r *Reservation) Move() Reservation {
	out := *r
	r.bytes, r.ending = 0, 0
	return out
}
