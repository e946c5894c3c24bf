package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Errors of PieceReader.Read.
var (
	// ErrTooLarge means that a message is larger than its limit, or declares to be.
	ErrTooLarge = errors.New("message is too large")
	// ErrLengthMismatch means that a message is longer than it declares.
	ErrLengthMismatch = errors.New("message is longer than it declares")
)

const (
	// minPieceBytes and maxPieceBytes are the sizes of the pieces in which a message of unknown length is
	// read. Each is twice as large as the one before it.
	minPieceBytes = 2 << 10
	maxPieceBytes = SmallBytes
)

// PieceReader reads a message into pieces, so that no byte is copied as the message grows.
type PieceReader struct {
	// Reserve reserves memory, and may wait for it.
	Reserve func(n int64) error
	Limit   int64 // bytes

	pieces   [][]byte
	length   int64
	reserved int64 // bytes that are reserved and not in pieces yet
}

// Length returns the bytes that were read.
func (b *PieceReader) Length() int64 { return b.length }

// Read reads a message of a declared length, -1 if it declares none, to its end. It fails with ErrTooLarge if the
// message is, or declares to be, larger than the limit, with ErrLengthMismatch if it is longer than it
// declares, and with the error of Reserve or of the source otherwise.
func (b *PieceReader) Read(source io.Reader, declared int64) ([][]byte, error) {
	if declared > b.Limit {
		return nil, ErrTooLarge
	}
	size := int64(minPieceBytes)
	for {
		if b.length == declared {
			return b.pieces, readEnd(source)
		}
		// All of a known length is reserved once its first piece has arrived: messages that have a part of their
		// memory each would wait for each other, and one that is silent after its header would hold the memory of
		// others.
		if b.length > 0 {
			if err := b.reserveMore(declared - b.length); err != nil {
				return nil, err
			}
		}
		if declared > 0 {
			size = declared - b.length
		}
		piece, err := b.addPiece(min(size, maxPieceBytes))
		if err != nil {
			return nil, err
		}
		n, err := fill(source, *piece)
		*piece = (*piece)[:n]
		b.length += int64(n)
		switch {
		case b.length > b.Limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b.pieces, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxPieceBytes)
	}
}

// readEnd reads the end of a message of which all declared bytes have been read.
func readEnd(r io.Reader) error {
	switch n, err := fill(r, make([]byte, 1)); {
	case n > 0:
		return ErrLengthMismatch
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own error, which tells a
// complete message from a truncated one.
func fill(r io.Reader, p []byte) (int, error) {
	for n := 0; ; {
		read, err := r.Read(p[n:])
		if n += read; n == len(p) || err != nil {
			return n, err
		}
	}
}

func (b *PieceReader) reserveMore(n int64) error {
	if n <= b.reserved {
		return nil
	}
	if err := b.Reserve(n - b.reserved); err != nil {
		return err
	}
	b.reserved = n
	return nil
}

// addPiece adds a piece of a size to the message.
func (b *PieceReader) addPiece(size int64) (*[]byte, error) {
	if err := b.reserveMore(size); err != nil {
		return nil, err
	}
	b.reserved -= size
	b.pieces = append(b.pieces, make([]byte, size))
	return &b.pieces[len(b.pieces)-1], nil
}
