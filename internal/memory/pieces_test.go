package memory_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// bodyLimit is the largest message in these tests, and largestAnswer the largest that a router buffers.
	bodyLimit     = 1 << 20
	largestAnswer = 16 << 20
	// largeLevel is the part of the account that large answers may fill.
	largeLevel = 2 * bodyLimit
)

// endlessReader counts the bytes that are read.
type endlessReader struct{ taken int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.taken += len(p)
	return len(p), nil
}

// message is the content of an answer or a body, and the length that it declares; -1 if it declares none.
type message struct {
	content  io.Reader
	declared int64
}

func newAnswer(content io.Reader, declared int64) message { return message{content, declared} }

// readWithin reads a message with the memory of a reservation.
func readWithin(r *memory.Reservation, m message) ([][]byte, error) {
	b := memory.PieceReader{Reserve: func(n int64) error { return r.Grow(context.Background(), n) }, Limit: bodyLimit}
	return b.Read(m.content, m.declared)
}

func lengthOf(pieces [][]byte) (n int) {
	for _, p := range pieces {
		n += len(p)
	}
	return n
}

var _ = Describe("the reader of a buffered answer or body", func() {
	var budget *memory.Account
	BeforeEach(func() { budget = memory.NewAccount(4*bodyLimit, 0, time.Now) })

	// Guards against targets that declare much and are silent, and hold the memory of sound answers.
	It("holds little for an answer that has sent nothing", func() {
		body, send := io.Pipe()
		r, ended := budget.Reserve(memory.Answer, ""), make(chan error, 1)
		go func() {
			_, err := readWithin(&r, newAnswer(body, bodyLimit))
			ended <- err
		}()
		Consistently(budget.Held, "50ms").Should(BeNumerically("<=", memory.SmallBytes))
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
			r := budget.Reserve(memory.Answer, "")
			defer r.Release()
			pieces, err := readWithin(&r, newAnswer(source, declared))
			if err != nil || !bytes.Equal(bytes.Join(pieces, nil), body) {
				t.Fatalf("%v, %d bytes of %d", err, lengthOf(pieces), len(body))
			}
			taken := int64(0)
			for _, piece := range pieces {
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
		b := memory.PieceReader{Reserve: func(int64) error { return nil }, Limit: largestAnswer}
		_, err := b.Read(source, -1)
		Expect(err).To(MatchError(memory.ErrTooLarge))
		Expect(source.taken).To(BeNumerically("<=", largestAnswer+memory.SmallBytes))
		source.taken = 0
		r := budget.Reserve(memory.Answer, "")
		defer r.Release()
		_, err = readWithin(&r, newAnswer(source, bodyLimit+1))
		Expect(err).To(MatchError(memory.ErrTooLarge))
		Expect(source.taken).To(BeZero())
	})

	// Guards against truncated answers that count as complete, and against an error that is lost.
	It("fails with the error of a truncated answer", func() {
		for _, declared := range []int64{-1, 10} {
			r := budget.Reserve(memory.Answer, "")
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
		for _, length := range []int64{2 * memory.SmallBytes, 0} {
			other, r := budget.Reserve(memory.Answer, ""), budget.Reserve(memory.Answer, "")
			Expect(other.Grow(context.Background(), largeLevel-length)).To(Succeed())
			pieces, err := readWithin(&r, newAnswer(bytes.NewReader(make([]byte, length)), length))
			Expect(err).NotTo(HaveOccurred())
			Expect(lengthOf(pieces)).To(BeEquivalentTo(length))
			r.Release()
			_, err = readWithin(&r, newAnswer(bytes.NewReader(make([]byte, length+1)), length))
			Expect(err).To(MatchError(memory.ErrLengthMismatch))
			r.Release()
			other.Release()
		}
	})

	// Guards against a router whose memory is taken by many answers without end, and that refuses small ones.
	It("fails without memory, and small answers don't", func() {
		large := budget.Reserve(memory.Answer, "")
		defer large.Release()
		Expect(large.Grow(context.Background(), largeLevel)).To(Succeed())
		r := budget.Reserve(memory.Answer, "")
		defer r.Release()
		source := &endlessReader{}
		_, err := readWithin(&r, newAnswer(source, -1))
		Expect(err).To(MatchError(memory.ErrExhausted))
		Expect(source.taken).To(BeNumerically("<=", memory.SmallBytes))
		for _, declared := range []int64{-1, 30000} {
			small := budget.Reserve(memory.Answer, "")
			pieces, err := readWithin(&small, newAnswer(bytes.NewReader(make([]byte, 30000)), declared))
			Expect(err).NotTo(HaveOccurred())
			Expect(lengthOf(pieces)).To(Equal(30000))
			small.Release()
		}
	})
})

// BenchmarkReadBody reads a usual answer: as the router does, and by io.ReadAll.
func BenchmarkReadBody(b *testing.B) {
	body := make([]byte, 1200)
	budget := memory.NewAccount(bodyLimit, 0, time.Now)
	read := func(b *testing.B, f func(message) error) {
		b.ReportAllocs()
		for b.Loop() {
			if err := f(newAnswer(iotest.DataErrReader(bytes.NewReader(body)), int64(len(body)))); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("pieces", func(b *testing.B) {
		read(b, func(m message) error {
			r := budget.Reserve(memory.Answer, "")
			defer r.Release()
			_, err := readWithin(&r, m)
			return err
		})
	})
	b.Run("ReadAll", func(b *testing.B) {
		read(b, func(m message) error {
			_, err := io.ReadAll(io.LimitReader(m.content, bodyLimit+1))
			return err
		})
	})
}
