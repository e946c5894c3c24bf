package upstream

import (
	"io"
	"math"
)

// limitedReader reads from a connection, and fails with ErrHeadTooLarge after a number of bytes. The
// limit is below the connection's buffer, since http.ReadResponse keeps a whole line in memory before it
// returns it.
type limitedReader struct {
	reader    io.Reader
	remaining int64 // bytes until the limit
}

// unlimited lets a limitedReader read all there is.
const unlimited = math.MaxInt64

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.reader.Read(p)
	if r.remaining != unlimited {
		r.remaining -= int64(n)
	}
	return n, err
}
