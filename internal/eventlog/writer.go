package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// queued is how many lines wait for a slow writer: about two seconds of a busy
	// router, some 300 KB.
	queued = 1024
	// batch is the most that is written at once, but for a longer single line. Pipes take
	// that much whole; of more, a reader may get a part and lose the rest of a line.
	batch = 4 << 10
)

// Writer passes lines on to a slow writer without ever blocking: while that one
// stalls, lines are dropped and counted. A pipe whose reader has stopped would
// otherwise stop every request at its next line.
type Writer struct {
	out   io.Writer
	lines chan []byte // never closed: calls that end late write lines after the last one
	// ending is closed when no more lines are taken, closed when all that were are written.
	ending  chan struct{}
	closed  chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queued), ending: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It keeps no reference to p.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is queued and ends the Writer; it is called once. Lines that come later are lost.
func (w *Writer) Close() {
	close(w.ending)
	<-w.closed
}

func (w *Writer) run() {
	defer close(w.closed)
	buffer := make([]byte, 0, batch)
	for {
		select {
		case line := <-w.lines:
			buffer = w.writeQueued(w.append(buffer, line))
		case <-w.ending:
			w.writeQueued(buffer)
			return
		}
	}
}

// writeQueued writes the buffer and what is queued at this moment.
func (w *Writer) writeQueued(buffer []byte) []byte {
	for waiting := len(w.lines); waiting > 0; waiting-- {
		buffer = w.append(buffer, <-w.lines) // nobody else takes lines
	}
	if n := w.dropped.Swap(0); n > 0 {
		buffer = w.append(buffer, fmt.Appendf(nil, "{\"level\":\"warn\",\"event\":%q,\"kind\":\"any\",\"count\":%d}\n", LinesDropped.Name, n))
	}
	return w.flush(buffer)
}

// append adds a line to the buffer, which is written first if it has no room.
func (w *Writer) append(buffer, line []byte) []byte {
	if len(buffer) > 0 && len(buffer)+len(line) > batch {
		buffer = w.flush(buffer)
	}
	return append(buffer, line...)
}

func (w *Writer) flush(buffer []byte) []byte {
	if len(buffer) == 0 {
		return buffer
	}
	// A log that can't be written has nowhere to be reported.
	_, _ = w.out.Write(buffer)
	return buffer[:0]
}
