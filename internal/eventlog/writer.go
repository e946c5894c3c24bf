package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow writer. A busy router writes that many
	// in about two seconds. They take about 300 KB.
	maxQueuedLines = 1024
	// maxBatchBytes bounds one write, except for a longer single line. Pipes accept up to this
	// size atomically. The reader of a pipe may get only a part of a larger write and lose the
	// rest of a line.
	maxBatchBytes = 4 << 10
)

// Writer writes lines to an underlying writer in the background. It never blocks: while its queue
// is full, lines are dropped and counted. Otherwise a pipe whose reader has stopped would block
// every request at its next log line. Writer is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte          // never closed, since late goroutines may write lines after Close
	flushes chan chan<- struct{} // Flush sends a channel that is closed when the lines are written
	closing chan struct{}        // closed when Close is called
	done    chan struct{}        // closed when all queued lines have been written
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan<- struct{}), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails and does not retain p.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// flushTimeout bounds Flush, as the reader of a pipe may have stopped.
const flushTimeout = time.Second

// Flush waits until the queued lines are written, at most for flushTimeout.
func (w *Writer) Flush() {
	timeout := time.After(flushTimeout)
	flushed := make(chan struct{})
	select {
	case w.flushes <- flushed:
	case <-w.done:
		return
	case <-timeout:
		return
	}
	select {
	case <-flushed:
	case <-timeout:
	}
}

// Close writes the queued lines and stops the Writer. It must be called only once. Lines that
// are written afterwards are dropped without being counted.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	buffer := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case line := <-w.lines:
			buffer = w.writeQueued(w.append(buffer, line))
		case flushed := <-w.flushes:
			buffer = w.writeQueued(buffer)
			close(flushed)
		case <-w.closing:
			w.writeQueued(buffer)
			return
		}
	}
}

// writeQueued writes the buffer, the lines that are queued at the time of the call, and the
// number of dropped lines. It returns the emptied buffer.
func (w *Writer) writeQueued(buffer []byte) []byte {
	for remaining := len(w.lines); remaining > 0; remaining-- {
		buffer = w.append(buffer, <-w.lines) // does not block: only this goroutine receives
	}
	if n := w.dropped.Swap(0); n > 0 {
		buffer = w.append(buffer, fmt.Appendf(nil, "{\"level\":\"warn\",\"event\":%q,\"kind\":\"any\",\"count\":%d}\n", LinesDropped.Name, n))
	}
	return w.flush(buffer)
}

// append adds a line to the buffer. It writes the buffer first if the line does not fit.
func (w *Writer) append(buffer, line []byte) []byte {
	if len(buffer) > 0 && len(buffer)+len(line) > maxBatchBytes {
		buffer = w.flush(buffer)
	}
	return append(buffer, line...)
}

// flush writes the buffer and returns it empty.
func (w *Writer) flush(buffer []byte) []byte {
	if len(buffer) == 0 {
		return buffer
	}
	// There is nowhere to report a log that can't be written.
	_, _ = w.out.Write(buffer)
	return buffer[:0]
}
