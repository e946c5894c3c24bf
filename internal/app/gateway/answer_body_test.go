package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// bodyLimit is the largest answer in these tests.
const bodyLimit = 1 << 20

// endlessReader counts the bytes that are read.
type endlessReader struct{ taken int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.taken += len(p)
	return len(p), nil
}

// newAnswer returns an answer of a declared length, -1 if it declares none.
func newAnswer(body io.Reader, declared int64) *upstream.Answer {
	a := upstream.NewForwardedAnswer(http.StatusOK, http.Header{}, true, io.NopCloser(body))
	a.Length = declared
	return a
}

// readWithin reads an answer with the memory of a reservation.
func readWithin(r *memory.Reservation, a *upstream.Answer) (bodyReader, error) {
	b := bodyReader{reserve: func(n int64) error { return r.Grow(context.Background(), n) }, limit: bodyLimit}
	err := b.read(a)
	return b, err
}

var _ = Describe("the reader of a buffered answer", func() {
	var budget *memory.Budget
	BeforeEach(func() { budget = memory.NewBudget(2*bodyLimit, 0) })

	// Guards against targets that declare much and are silent, and hold the memory of sound answers.
	It("holds little for an answer that has sent nothing", func() {
		body, send := io.Pipe()
		r, ended := budget.Reserve(), make(chan error, 1)
		go func() {
			_, err := readWithin(&r, newAnswer(body, bodyLimit))
			ended <- err
		}()
		Consistently(budget.Held, "50ms").Should(BeNumerically("<=", memory.FreeBytes))
		_, err := send.Write(make([]byte, bodyLimit))
		Expect(err).NotTo(HaveOccurred())
		Expect(send.Close()).To(Succeed())
		Eventually(ended).Should(Receive(BeNil()))
		Expect(r.Bytes()).To(BeEquivalentTo(bodyLimit))
	})

	// Guards against sound answers that are changed, cut or refused, and against memory that is not counted.
	It("returns the whole body, however it arrives, and has its memory reserved", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			body := make([]byte, rapid.OneOf(rapid.IntRange(0, 5000), rapid.IntRange(0, bodyLimit)).Draw(t, "length"))
			for i := range body {
				body[i] = byte(rand.Uint32())
			}
			declared := int64(-1)
			if rapid.Bool().Draw(t, "declared") {
				declared = int64(len(body))
			}
			var source io.Reader = bytes.NewReader(body)
			if rapid.Bool().Draw(t, "end with last bytes") {
				source = iotest.DataErrReader(source)
			}
			if rapid.Bool().Draw(t, "halves") {
				source = iotest.HalfReader(source)
			}
			r := budget.Reserve()
			defer r.Release()
			b, err := readWithin(&r, newAnswer(source, declared))
			if err != nil || !bytes.Equal(bytes.Join(b.pieces, nil), body) {
				t.Fatalf("%v, %d bytes of %d", err, b.length, len(body))
			}
			taken := int64(0)
			for _, piece := range b.pieces {
				taken += int64(cap(piece))
			}
			if taken > r.Bytes() {
				t.Fatalf("%d bytes taken, %d reserved", taken, r.Bytes())
			}
		})
	})

	// Guards against answers without end, and against a start on answers that declare too much.
	It("refuses an answer that is too large", func() {
		source := &endlessReader{}
		b := bodyReader{reserve: func(int64) error { return nil }, limit: maxBufferedBody}
		Expect(b.read(newAnswer(source, -1))).To(MatchError(errBodyTooLarge))
		Expect(source.taken).To(BeNumerically("<=", maxBufferedBody+maxPieceBytes))
		source.taken = 0
		r := budget.Reserve()
		defer r.Release()
		_, err := readWithin(&r, newAnswer(source, bodyLimit+1))
		Expect(err).To(MatchError(errBodyTooLarge))
		Expect(source.taken).To(BeZero())
	})

	// Guards against truncated answers that count as complete, and against an error that is lost.
	It("fails with the error of a truncated answer", func() {
		for _, declared := range []int64{-1, 10} {
			r := budget.Reserve()
			broken := errors.New("connection reset")
			_, err := readWithin(&r, newAnswer(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(broken)), declared))
			Expect(err).To(MatchError(broken))
			_, err = readWithin(&r, newAnswer(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF)), declared))
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			r.Release()
		}
	})

	// Guards against whole answers that fail as their last read brings only their end, while no memory is
	// left.
	It("needs no memory for the end of an answer of known length", func() {
		for _, length := range []int64{2 * memory.FreeBytes, 0} {
			other, r := budget.Reserve(), budget.Reserve()
			Expect(other.Grow(context.Background(), 2*bodyLimit-length)).To(Succeed())
			b, err := readWithin(&r, newAnswer(bytes.NewReader(make([]byte, length)), length))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.length).To(Equal(length))
			r.Release()
			_, err = readWithin(&r, newAnswer(bytes.NewReader(make([]byte, length+1)), length))
			Expect(err).To(MatchError(errLengthMismatch))
			r.Release()
			other.Release()
		}
	})

	// Guards against a router whose memory is taken by many answers without end, and that refuses small ones.
	It("fails without memory, and small answers don't", func() {
		large := budget.Reserve()
		defer large.Release()
		Expect(large.Grow(context.Background(), 2*bodyLimit)).To(Succeed())
		r := budget.Reserve()
		defer r.Release()
		source := &endlessReader{}
		_, err := readWithin(&r, newAnswer(source, -1))
		Expect(err).To(MatchError(memory.ErrExhausted))
		Expect(source.taken).To(BeNumerically("<=", memory.FreeBytes))
		for _, declared := range []int64{-1, 30000} {
			small := budget.Reserve()
			b, err := readWithin(&small, newAnswer(bytes.NewReader(make([]byte, 30000)), declared))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.length).To(BeEquivalentTo(30000))
			small.Release()
		}
	})
})

// BenchmarkReadBody reads a usual answer: as the router does, and by io.ReadAll.
func BenchmarkReadBody(b *testing.B) {
	body := make([]byte, 1200)
	budget := memory.NewBudget(bodyLimit, 0)
	read := func(b *testing.B, f func(*upstream.Answer) error) {
		b.ReportAllocs()
		for b.Loop() {
			if err := f(newAnswer(iotest.DataErrReader(bytes.NewReader(body)), int64(len(body)))); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("pieces", func(b *testing.B) {
		read(b, func(a *upstream.Answer) error {
			r := budget.Reserve()
			defer r.Release()
			_, err := readWithin(&r, a)
			return err
		})
	})
	b.Run("ReadAll", func(b *testing.B) {
		read(b, func(a *upstream.Answer) error {
			_, err := io.ReadAll(io.LimitReader(a, bodyLimit+1))
			return err
		})
	})
}
