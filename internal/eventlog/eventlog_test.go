package eventlog_test

import (
	"bytes"
	"fmt"
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

func TestSuite(t *testing.T) { testkit.Run(t, "eventlog") }

// stalling is a writer that stands still until it is released.
type stalling struct {
	release chan bool
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalling) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// recording keeps each write.
type recording struct{ writes []string }

func (r *recording) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

var _ = Describe("the event log", func() {
	It("bounds the lines of a kind and second, and counts what it leaves out", func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		log := eventlog.New(zerolog.New(&out), func() time.Time { return now })
		for range eventlog.Placed.MaxPerSecond + 7 {
			log.Line(eventlog.Placed).Str("request", "r").Msg("")
		}
		log.Line(eventlog.Failed).Str("request", "r").Msg("")
		Expect(strings.Count(out.String(), `"event":"placed"`)).To(Equal(eventlog.Placed.MaxPerSecond))
		Expect(out.String()).To(ContainSubstring(`"event":"failed"`), "a flood of others takes no room of failures")
		now = now.Add(time.Second)
		log.Line(eventlog.Placed).Msg("")
		Expect(out.String()).To(ContainSubstring(`"event":"left_out","kind":"placed","count":7`))
	})

	// Symptom: every request stands still. Sequence: whoever reads standard output stops
	// reading; the pipe fills up. Cause: a line was written by the request itself.
	It("never blocks on a writer that stalls, and tells what was dropped", func() {
		out := &stalling{release: make(chan bool)}
		w := eventlog.NewWriter(out)
		log := zerolog.New(w)
		began := time.Now()
		for i := range 5000 {
			log.Info().Int("i", i).Msg("")
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(out.release)
		w.Close()
		Expect(out.buf.String()).To(MatchRegexp(`"event":"left_out","kind":"any","count":\d{4}`))
	})

	// Symptom: a router that stops gracefully ends with a panic, "send on closed channel". Sequence: a call to
	// another router fails after the log was closed, and its goroutine logs that. Cause: a line
	// after Close was taken for a mistake of the caller's.
	It("takes lines while it is closed and after, and writes all that came before", func() {
		for range 50 {
			out := &recording{}
			w := eventlog.NewWriter(out)
			_, err := w.Write([]byte("before\n"))
			Expect(err).NotTo(HaveOccurred())
			var late sync.WaitGroup
			for range 4 {
				late.Go(func() {
					for range 50 {
						_, _ = w.Write([]byte("late\n")) // lost or not, it must not end the process
					}
				})
			}
			w.Close()
			late.Wait()
			_, err = w.Write([]byte("after\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Join(out.writes, "")).To(HavePrefix("before\n"))
		}
	})

	// Symptom: the line that ends a request is missing although the router wrote it.
	// Sequence: a crash ends many requests at once. Cause: all lines went in one write, of
	// which a reader of the pipe took a part.
	It("writes whole lines, not more at once than a pipe takes whole", func() {
		out := &recording{}
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

	It("is described by docs/LOGS.md, line by line", func() {
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
