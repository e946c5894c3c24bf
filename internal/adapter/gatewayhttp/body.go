package gatewayhttp

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// defaultMaxBodyBytes applies if the desired state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// requestBytes is what an open request takes besides its header and its body: the stacks and buffers of its
	// goroutines and of its connection to a target, gateway.AnswerBytes of its answer, and the bytes that the
	// kernel may hold for its caller.
	requestBytes = 32<<10 + gateway.AnswerBytes + callerReceiveBytes
	// headerLineBytes is what a header line takes besides its text.
	headerLineBytes = 128
)

// headerMemory returns the bytes that a header takes.
func headerMemory(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name) + headerLineBytes
		for _, v := range values {
			n += len(v) + headerLineBytes/4
		}
	}
	return int64(n)
}

// receiveBody reads the body of a request, whose memory is held. It refuses a body that can't be complete before the
// request's deadline, one that is too large, and one for which there is no memory.
func (s *Server) receiveBody(r *http.Request, match *gateway.MatchedRequest, held *memory.Reservation, out *responder) ([][]byte, code.Code) {
	limit := match.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	deadline := match.Deadline
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil, code.OK
	case r.ContentLength > limit:
		return nil, code.BodyTooLarge
	case !s.canArrive(r.ContentLength, deadline):
		return nil, code.RequestTooSlow
	}
	conn := trackedConnection(r)
	conn.beginBody(deadline)
	defer conn.endBody()
	if isStopping(r) { // after beginBody: InterruptBodies follows the end of the request's context
		return nil, code.ShuttingDown
	}
	transfer := held.Begin(r.ContentLength, deadline, conn.interruptBody)
	defer transfer.Done()
	source := &bodySource{body: r.Body, transfer: transfer, conn: conn, meter: &s.framing, deadline: deadline, now: s.now, isChunked: r.ContentLength < 0}
	defer source.close()
	reader := memory.PieceReader{Limit: limit, Reserve: func(n int64) error {
		if held.TryGrow(n) {
			return nil
		}
		transfer.Pause()
		defer transfer.Resume()
		err := s.awaitMemory(r.Context(), held, n, deadline)
		out.hasWaited = err != nil
		return err
	}}
	pieces, err := reader.Read(source, r.ContentLength)
	if err != nil && isStopping(r) {
		return nil, code.ShuttingDown
	}
	return pieces, bodyCode(err, transfer.HasEnded())
}

// isStopping reports whether open requests must be answered because the router stops.
func isStopping(r *http.Request) bool {
	return errors.Is(context.Cause(r.Context()), shutdown.ErrStopping)
}

// waitShare is the part of the time until its deadline for which a body waits for memory. The rest is for its arrival and
// for the target.
const waitShare = 0.5

// awaitMemory waits for n bytes more for a body.
func (s *Server) awaitMemory(ctx context.Context, held *memory.Reservation, n int64, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitShare*float64(deadline.Sub(s.now()))))
	defer cancel()
	err := held.Grow(ctx, n)
	if errors.Is(err, context.DeadlineExceeded) {
		return memory.ErrExhausted
	}
	return err
}

// canArrive reports whether the link can bring n bytes until a deadline.
func (s *Server) canArrive(n int64, deadline time.Time) bool {
	if n < 0 || s.linkBytesPerSecond == 0 {
		return true
	}
	needed := time.Duration(float64(n) / float64(s.linkBytesPerSecond) * float64(time.Second))
	return !s.now().Add(needed).After(deadline)
}

// bodyCode returns the result code of a body whose reading ended with err. hasEnded tells whether it had to give way.
func bodyCode(err error, hasEnded bool) code.Code {
	switch {
	case err == nil:
		return code.OK
	case hasEnded, errors.Is(err, memory.ErrExhausted):
		return code.NoMemory
	case errors.Is(err, memory.ErrTooLarge):
		return code.BodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.RequestTooSlow
	}
	return code.BadBody
}

// bodySource reads a caller's body, and records what arrives.
type bodySource struct {
	body      io.Reader
	transfer  *memory.Transfer
	conn      *connection // nil if it is not tracked
	meter     *framingMeter
	deadline  time.Time
	now       func() time.Time
	isChunked bool

	received  int64 // bytes of the body, without its framing
	paid      int64 // bytes of framing that the meter has counted
	isMetered bool
}

// Read reads a part of the body.
func (b *bodySource) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.transfer.Moved(int64(n))
	b.received += int64(n)
	if err == nil && b.isChunked {
		err = b.payForFraming()
	}
	return n, err
}
