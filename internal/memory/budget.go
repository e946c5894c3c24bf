// Package memory bounds the memory that many open requests hold together.
package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FreeBytes is what each Reservation gets at once, whatever the others hold: small answers are never
// refused because of large ones.
const FreeBytes = 64 << 10

// ErrExhausted means that there is no memory, and that none became free in time.
var ErrExhausted = errors.New("memory for answers is used up")

// Budget bounds the bytes of all reservations. What exceeds FreeBytes in one of them is granted only
// while all of them together stay within the limit; those that ask for more wait in the order of their
// calls. One that has its share already does not wait but fails, so that reservations which grow step by
// step don't wait for each other, and answers without end give way. It is safe for concurrent use.
type Budget struct {
	limit   int64
	maxWait time.Duration

	mu   sync.Mutex
	held int64
	// large is the number of reservations of more than FreeBytes, and largeHeld what they hold.
	large, largeHeld int64
	waiting          []*waiter // in the order of the calls
}

// waiter is a call of Grow that waits.
type waiter struct {
	reservation *Reservation
	bytes       int64
	granted     chan struct{} // closed when the bytes are granted
}

// NewBudget returns a Budget of limit bytes. A call of Grow waits for maxWait at most.
func NewBudget(limit int64, maxWait time.Duration) *Budget {
	return &Budget{limit: limit, maxWait: maxWait}
}

// Limit returns the bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes of all reservations.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Reservation is the part of a Budget that one answer holds. Its methods must not be called concurrently.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty Reservation, which must be released in the end.
func (b *Budget) Reserve() Reservation { return Reservation{budget: b} }

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 { return r.bytes }

// TryGrow adds n bytes if they are available at once.
func (r *Reservation) TryGrow(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.bytes+n > FreeBytes && (len(b.waiting) > 0 || b.held+n > b.limit) {
		return false
	}
	r.add(n)
	return true
}

// add changes the size of the reservation by n bytes. The mutex of the budget must be held.
func (r *Reservation) add(n int64) {
	b := r.budget
	if r.isLarge() {
		b.large--
		b.largeHeld -= r.bytes
	}
	r.bytes += n
	b.held += n
	if r.isLarge() {
		b.large++
		b.largeHeld += r.bytes
	}
}

func (r *Reservation) isLarge() bool { return r.bytes > FreeBytes }

// hasShare reports whether there are other large reservations, and this one is at least as large as they are
// on average. The mutex of the budget must be held.
func (r *Reservation) hasShare() bool {
	return r.isLarge() && r.budget.large > 1 && r.bytes >= r.budget.largeHeld/r.budget.large
}

// Grow adds n bytes, and waits until they are available. It fails with ErrExhausted, at once if the
// reservation has its share of the budget or would exceed the budget by itself, or with the error of ctx.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	if r.TryGrow(n) {
		return nil
	}
	w := r.budget.enqueue(r, n)
	if w == nil {
		return ErrExhausted
	}
	return r.budget.wait(ctx, w)
}

// enqueue adds a call to those that wait. It returns nil if the call must not wait.
func (b *Budget) enqueue(r *Reservation, n int64) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.bytes+n > b.limit || r.hasShare() {
		return nil
	}
	w := &waiter{reservation: r, bytes: n, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.grant() // bytes may have become free since TryGrow
	return w
}

// wait waits until the bytes of a call are granted.
func (b *Budget) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(b.maxWait)
	defer timer.Stop()
	err := ErrExhausted
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return b.withdraw(w, err)
}

// withdraw ends the wait of a call with err, unless its bytes were granted meanwhile.
func (b *Budget) withdraw(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.grant() // those behind it may need less
	return err
}

// grant grants what fits to the calls that have waited longest. b.mu must be held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.held+b.waiting[0].bytes <= b.limit {
		w := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		w.reservation.add(w.bytes)
		close(w.granted)
	}
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int64) {
	if n == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.add(-n)
	b.grant()
}

// Release returns all bytes. The reservation is empty afterwards.
func (r *Reservation) Release() { r.Shrink(r.bytes) }

// Move returns a Reservation that holds the bytes of r, and leaves r empty.
func (r *Reservation) Move() Reservation {
	out := *r
	r.bytes = 0
	return out
}
