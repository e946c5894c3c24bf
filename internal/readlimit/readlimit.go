// Package readlimit bounds the bytes that a process takes from other processes, for each message and
// for all messages at once.
package readlimit

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// Errors of reads that go beyond a bound.
var (
	// ErrTooLarge means that a message is larger than its bound.
	ErrTooLarge = errors.New("message is larger than its bound")
	// ErrBudgetExhausted means that the messages that are read at once are larger than their bound.
	ErrBudgetExhausted = errors.New("messages at once are larger than their bound")
)

// Budget bounds the bytes of all messages that are held at once. It is safe for concurrent use.
type Budget struct {
	limit      int64
	held, peak atomic.Int64
	account    *memory.Account // nil if there is none
	copies     int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// CountIn counts the bytes of the requests of a Handler in an account as well, which may refuse them: each as often as it
// is copied until the request has been decoded.
func (b *Budget) CountIn(account *memory.Account, copies int64) *Budget {
	b.account, b.copies = account, copies
	return b
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 { return b.held.Load() }

// Peak returns the most bytes that were held at once.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// take adds n bytes and reports whether the budget has room for them. They are held in either case.
func (b *Budget) take(n int64) bool {
	held := b.held.Add(n)
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); peak = b.peak.Load() {
	}
	return held <= b.limit
}

// Body is the body of a message. Its bytes are held in a Budget until Release is called.
type Body struct {
	io.ReadCloser
	limit  int64
	left   int64
	held   atomic.Int64
	budget *Budget
	// counted are the bytes that count in the account of the budget; nil if there is none.
	counted *memory.Reservation
}

// NewBody returns a Body that fails with ErrTooLarge after limit bytes, and with ErrBudgetExhausted if
// the budget has no room. A nil budget has room for all.
func NewBody(body io.ReadCloser, limit int64, budget *Budget) *Body {
	return &Body{ReadCloser: body, limit: limit, left: limit, budget: budget}
}

// Read reads from the body.
func (b *Body) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1] // one byte more shows whether the message is too large
	}
	n, err := b.ReadCloser.Read(p)
	hasRoom := true
	if b.budget != nil {
		b.held.Add(int64(n))
		hasRoom = b.budget.take(int64(n))
	}
	if b.counted != nil && n > 0 {
		hasRoom = b.counted.TryGrow(b.budget.copies*int64(n)) && hasRoom
	}
	if b.left -= int64(n); b.left < 0 {
		b.left = 0
		return 0, ErrTooLarge
	}
	if !hasRoom {
		return 0, ErrBudgetExhausted
	}
	return n, err
}

// Release returns the bytes to the budget. The caller no longer holds the message then.
func (b *Body) Release() {
	if b.budget != nil {
		b.budget.held.Add(-b.held.Swap(0))
	}
}

// releasedOnClose is a Body that is released when it is closed.
type releasedOnClose struct{ *Body }

// Close closes the body.
func (b releasedOnClose) Close() error {
	defer b.Release()
	return b.Body.Close()
}

// Transport bounds the bodies of responses. A body counts until it is closed.
type Transport struct {
	Base   http.RoundTripper
	Limit  int64 // bytes of one body
	Budget *Budget
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = releasedOnClose{NewBody(resp.Body, t.Limit, t.Budget)}
	return resp, nil
}

// requestBody is the body of a request to a server. Its errors beyond a bound are an http.MaxBytesError,
// as those of http.MaxBytesReader.
type requestBody struct{ *Body }

// Read reads from the body.
func (b requestBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrBudgetExhausted) {
		return n, &http.MaxBytesError{Limit: b.limit}
	}
	return n, err
}

// Handler returns a handler that bounds the bodies of requests. A body counts until next returns.
func Handler(next http.Handler, limit int64, budget *Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := NewBody(r.Body, limit, budget)
		defer body.Release()
		if budget != nil && budget.account != nil {
			counted := budget.account.Reserve(memory.Request, "")
			defer counted.Release()
			body.counted = &counted
		}
		r.Body = requestBody{body}
		next.ServeHTTP(w, r)
	})
}
