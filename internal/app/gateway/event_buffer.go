package gateway

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is the largest event of a stream. An event is held back until it is complete.
	maxEventBytes = 1 << 20
	// keptEventBytes is the capacity that an empty buffer keeps for the next events.
	keptEventBytes = 2 * streamReadSize
)

// errEventTooLarge means that an event of a stream has more than maxEventBytes.
var errEventTooLarge = errors.New("event of the stream is too large")

// lineEnds are the bytes that end a line of a text/event-stream: LF, CR, or both in the order CR LF.
const lineEnds = "\r\n"

// maxEventEndBytes is the length of the longest end of an event: two ends of lines.
const maxEventEndBytes = 4

// eventBuffer splits the bytes of a stream into events. It looks for the end of an event only in bytes
// that are new: events may come in many small pieces.
type eventBuffer struct {
	data []byte
	// complete is the length of the events at the beginning of data that add returned last.
	complete int
}

// add adds bytes of the stream. It returns the events that are complete now and how many they are; the
// events are valid until the next call. It fails with errEventTooLarge if the incomplete event after them
// is too large.
func (b *eventBuffer) add(p []byte) (events []byte, count int, err error) {
	b.discardComplete()
	// The end of an event may begin with the last bytes that were there before.
	scanned := max(len(b.data)-(maxEventEndBytes-1), 0)
	b.data = append(b.data, p...)
	for {
		n := findEventEnd(b.data[scanned:])
		if n < 0 {
			break
		}
		scanned += n
		b.complete = scanned
		count++
	}
	if len(b.data)-b.complete > maxEventBytes {
		err = errEventTooLarge
	}
	return b.data[:b.complete], count, err
}

// findEventEnd returns the length of the first event and what precedes it, -1 if no event ends: it ends with an empty line.
// A CR is not held back for an LF that may follow: the LF then comes before the next event, where it has no meaning.
func findEventEnd(p []byte) int {
	for i := 0; ; {
		n := bytes.IndexAny(p[i:], lineEnds)
		if n < 0 {
			return -1
		}
		i += n + lineEndBytes(p[i+n:])
		if n := lineEndBytes(p[i:]); n > 0 {
			return i + n
		}
	}
}

// lineEndBytes returns the length of the end of a line with which p begins; 0 if it does not.
func lineEndBytes(p []byte) int {
	switch {
	case len(p) == 0 || (p[0] != '\r' && p[0] != '\n'):
		return 0
	case p[0] == '\r' && len(p) > 1 && p[1] == '\n':
		return 2
	}
	return 1
}

// rest returns the beginning of an event that is not complete yet, until the next call of add.
func (b *eventBuffer) rest() []byte { return b.data[b.complete:] }

// size returns how many bytes of memory the buffer takes.
func (b *eventBuffer) size() int64 { return int64(cap(b.data)) }

// discardComplete removes the events that were returned, and the memory that a large one took.
func (b *eventBuffer) discardComplete() {
	if b.complete == 0 {
		return
	}
	rest := b.rest()
	if cap(b.data) > keptEventBytes && len(rest) <= streamReadSize {
		b.data = append(make([]byte, 0, keptEventBytes), rest...)
	} else {
		b.data = append(b.data[:0], rest...)
	}
	b.complete = 0
}
