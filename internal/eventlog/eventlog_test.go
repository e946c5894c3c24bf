package eventlog_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) {
	if os.Getenv(panicEnv) != "" {
		panicAsOwner()
	}
	testkit.Run(t, "eventlog")
}

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan bool
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// recordingWriter records each write.
type recordingWriter struct{ writes []string }

func (r *recordingWriter) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

var _ = Describe("the event log", func() {
	It("limits the lines per kind and second and counts the dropped ones", func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		log := eventlog.New(zerolog.New(&out), func() time.Time { return now })
		for range eventlog.Placed.MaxPerSecond + 7 {
			log.Line(eventlog.Placed).Str("request", "r").Msg("")
		}
		log.Line(eventlog.Failed).Str("request", "r").Msg("")
		Expect(strings.Count(out.String(), `"event":"placed"`)).To(Equal(eventlog.Placed.MaxPerSecond))
		Expect(out.String()).To(ContainSubstring(`"event":"failed"`), "a flood of other lines must not use up the limit for failures")
		now = now.Add(time.Second)
		log.Line(eventlog.Placed).Msg("")
		Expect(out.String()).To(ContainSubstring(`"event":"left_out","kind":"placed","count":7`))
	})

	// Guards against requests that block on a log line, when the reader of standard output stops
	// reading and the pipe fills up.
	It("never blocks on a stalled writer and reports the number of dropped lines", func() {
		out := &stalledWriter{release: make(chan bool)}
		w := eventlog.NewWriter(out)
		log := zerolog.New(w)
		startedAt := time.Now()
		for i := range 5000 {
			log.Info().Int("i", i).Msg("")
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
		close(out.release)
		w.Close()
		Expect(out.buf.String()).To(MatchRegexp(`"event":"left_out","kind":"any","count":\d{4}`))
	})

	// Guards against a panic at the end of a graceful shutdown ("send on closed channel"), when a
	// call to another router fails and its goroutine logs that after the log was closed.
	It("accepts lines during and after Close and writes all lines from before", func() {
		for range 50 {
			out := &recordingWriter{}
			w := eventlog.NewWriter(out)
			_, err := w.Write([]byte("before\n"))
			Expect(err).NotTo(HaveOccurred())
			var lateWriters sync.WaitGroup
			for range 4 {
				lateWriters.Go(func() {
					for range 50 {
						_, _ = w.Write([]byte("late\n")) // may be dropped, but must not panic
					}
				})
			}
			w.Close()
			lateWriters.Wait()
			_, err = w.Write([]byte("after\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Join(out.writes, "")).To(HavePrefix("before\n"))
		}
	})

	// Guards against lines that are lost although the router wrote them. When a target exits,
	// many requests end at the same time. If their lines went into one write, the reader of the
	// pipe could get a part.
	It("writes complete lines, and at most as many bytes at once as a pipe accepts atomically", func() {
		out := &recordingWriter{}
		w := eventlog.NewWriter(out)
		for i := range 300 {
			fmt.Fprintf(w, "{\"i\":%d,\"text\":%q}\n", i, strings.Repeat("x", 150))
		}
		w.Close()
		lines := 0
		for _, p := range out.writes {
			Expect(len(p)).To(BeNumerically("<=", 4096))
			Expect(p).To(HaveSuffix("\n"))
			lines += strings.Count(p, "\n")
		}
		Expect(lines).To(Equal(300))
	})

	// Guards against errors of HTTP servers that no log line of ours shows, as http.Server has a logger of its own.
	It("takes the messages of HTTP servers, bounded", func() {
		var out bytes.Buffer
		log := eventlog.New(zerolog.New(&out), time.Now)
		server := &http.Server{ErrorLog: eventlog.NewServerLog(log, "callers")}
		server.ErrorLog.Printf("http: panic serving %s: %s", "127.0.0.1:1", strings.Repeat("x", 1<<20))
		Expect(out.String()).To(HavePrefix(`{"level":"warn","event":"server_error","port":"callers","message":"http: panic serving 127.0.0.1:1: xxx`))
		Expect(out.Len()).To(BeNumerically("<", 4096))
	})

	// Guards against the loss of a process's last line, which is written in the background.
	It("waits in Flush until all lines are written, but not for a reader that has stopped", func() {
		out := &recordingWriter{}
		w := eventlog.NewWriter(out)
		_, _ = w.Write([]byte("last\n"))
		w.Flush()
		Expect(strings.Join(out.writes, "")).To(Equal("last\n"))
		stalled := &stalledWriter{release: make(chan bool)}
		w = eventlog.NewWriter(stalled)
		_, _ = w.Write([]byte("last\n"))
		startedAt := time.Now()
		w.Flush()
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
		close(stalled.release)
		w.Close()
		w.Flush()
	})

	It("has each kind described in docs/LOGS.md", func() {
		page, err := os.ReadFile("../../docs/LOGS.md")
		Expect(err).NotTo(HaveOccurred())
		listed := 0
		for _, k := range eventlog.Kinds() {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("| `%s` | %s | %d | %s |", k.Name, k.Level, k.MaxPerSecond, k.Meaning)))
			listed++
		}
		Expect(regexp.MustCompile("(?m)^\\| `[a-z_]+` \\| (info|warn|error) ").FindAllString(string(page), -1)).To(HaveLen(listed))
	})
})
