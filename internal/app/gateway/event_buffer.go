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

// eventEnd is the separator that ends an event in a text/event-stream.
var eventEnd = []byte("\n\n")

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
	// The end of an event may begin with the last byte that was there before.
	scanned := max(len(b.data)-1, 0)
	b.data = append(b.data, p...)
	for {
		n := bytes.Index(b.data[scanned:], eventEnd)
		if n < 0 {
			break
		}
		scanned += n + len(eventEnd)
		b.complete = scanned
		count++
	}
	if len(b.data)-b.complete > maxEventBytes {
		err = errEventTooLarge
	}
	return b.data[:b.complete], count, err
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
