package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// answerMemoryShare is the share of the VM's memory for the answers that a router holds. The rest is
	// for its tables, its connections and the garbage that the collector has not found yet.
	answerMemoryShare = 0.25
	// defaultAnswerMemory applies if the VM's memory is unknown.
	defaultAnswerMemory = 64 << 20
	// maxMemoryWait is how long a large answer waits for memory. Its connection is not read meanwhile.
	maxMemoryWait = time.Second
	// maxBufferedBody is the largest answer, in bytes, that is buffered before it is sent. An answer may
	// not take more than half of the memory for answers either.
	maxBufferedBody = 16 << 20
	// minPieceBytes and maxPieceBytes are the sizes of the pieces in which an answer of unknown length is
	// buffered. Each is twice as large as the one before it.
	minPieceBytes = 2 << 10
	maxPieceBytes = memory.FreeBytes
)

// errLengthMismatch means that an answer is longer than its header declares.
var errLengthMismatch = errors.New("answer is longer than it declares")

// errBodyTooLarge means that an answer has more bytes than are buffered.
var errBodyTooLarge = errors.New("answer is too large")

func newAnswerMemory(vmBytes int64) *memory.Budget {
	limit := int64(defaultAnswerMemory)
	if vmBytes > 0 {
		limit = int64(answerMemoryShare * float64(vmBytes))
	}
	return memory.NewBudget(limit, maxMemoryWait)
}

// bodyReader reads an answer into pieces, so that no byte is copied as the answer grows.
type bodyReader struct {
	// reserve reserves memory, and may wait for it.
	reserve  func(n int64) error
	limit    int64
	pieces   [][]byte
	length   int64
	reserved int64 // bytes that are reserved and not in pieces yet
}

// read reads an answer to its end. It fails with errBodyTooLarge if the answer is, or declares to be,
// larger than the limit, and with the error of reserve or of the answer otherwise.
func (b *bodyReader) read(answer *upstream.Answer) error {
	declared := answer.Length
	if declared > b.limit {
		return errBodyTooLarge
	}
	size := int64(minPieceBytes)
	for {
		if b.length == declared {
			return readEnd(answer)
		}
		// All of a known length is reserved once its first piece has arrived: answers that have a part of their
		// memory each would wait for each other, and a target that is silent after the header would hold the
		// memory of others.
		if b.length > 0 {
			if err := b.reserveMore(declared - b.length); err != nil {
				return err
			}
		}
		if declared > 0 {
			size = declared - b.length
		}
		piece, err := b.addPiece(min(size, maxPieceBytes))
		if err != nil {
			return err
		}
		n, err := fill(answer, *piece)
		*piece = (*piece)[:n]
		b.length += int64(n)
		switch {
		case b.length > b.limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		size = min(2*size, maxPieceBytes)
	}
}

// readEnd reads the end of an answer of which all declared bytes have been read.
func readEnd(r io.Reader) error {
	switch n, err := fill(r, make([]byte, 1)); {
	case n > 0:
		return errLengthMismatch
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own error, which tells a
// complete answer from a truncated one.
func fill(r io.Reader, p []byte) (int, error) {
	for n := 0; ; {
		read, err := r.Read(p[n:])
		if n += read; n == len(p) || err != nil {
			return n, err
		}
	}
}

func (b *bodyReader) reserveMore(n int64) error {
	if n <= b.reserved {
		return nil
	}
	if err := b.reserve(n - b.reserved); err != nil {
		return err
	}
	b.reserved = n
	return nil
}

// addPiece adds a piece of a size to the answer.
func (b *bodyReader) addPiece(size int64) (*[]byte, error) {
	if err := b.reserveMore(size); err != nil {
		return nil, err
	}
	b.reserved -= size
	b.pieces = append(b.pieces, make([]byte, size))
	return &b.pieces[len(b.pieces)-1], nil
}
