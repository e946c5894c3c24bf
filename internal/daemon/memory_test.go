package daemon

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

var _ = Describe("the memory of a router", func() {
	// Guards against a kill for memory that the last lines of a router don't tell of.
	It("is logged when it passes a share of its limit, with what holds it", func() {
		var logged bytes.Buffer
		var memory metrics.Memory
		r := newMemoryReporter(1000, func() metrics.Holder { return metrics.Holder{OpenRequests: 3, BodyBytes: 400} }, func() {}, eventlog.New(zerolog.New(&logged), time.Now))
		r.read = func() metrics.Memory { return memory }
		lines := func(total int64) int {
			logged.Reset()
			memory = metrics.Memory{Total: total, Heap: total - 100, Stacks: 20}
			r.check()
			return strings.Count(logged.String(), `"event":"memory"`)
		}
		Expect(lines(599)).To(BeZero())
		Expect(lines(720)).To(Equal(1))
		Expect(logged.String()).To(MatchRegexp(`"share":0.72,"bytes":720,"limit":1000,"heap":620,"stacks":20,"goroutines":\d+,"open":3,"bodies":400`))
		Expect(lines(790)).To(BeZero())
		Expect(lines(650)).To(BeZero())
		Expect(lines(810)).To(Equal(1))
		Expect(lines(950)).To(Equal(1))
		Expect(lines(500)).To(Equal(1), "it is below all shares again")
		Expect(lines(400)).To(BeZero())
		Expect(lines(600)).To(Equal(1))
	})

	It("is a gauge, as are the open requests of callers and the bytes of their bodies", func() {
		load, m := newCallerLoad(), metrics.NewGateway(time.Now)
		m.SetMemory(func() int64 { return 184 << 20 }, load.holder)
		page := func() string {
			w := httptest.NewRecorder()
			m.Handler(func() gateway.Status { return gateway.Status{} }).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return w.Body.String()
		}
		load.count(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(page()).To(And(ContainSubstring("hemlockdyke_caller_requests 1\n"), ContainSubstring("hemlockdyke_caller_body_bytes 5\n")))
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345")))
		Expect(page()).To(And(
			ContainSubstring("hemlockdyke_caller_requests 0\n"), ContainSubstring("hemlockdyke_caller_body_bytes 0\n"),
			ContainSubstring("hemlockdyke_memory_limit_bytes 192937984\n"), MatchRegexp(`hemlockdyke_memory_bytes [1-9]\d{6,}\n`), MatchRegexp(`hemlockdyke_memory_heap_bytes [1-9]\d+\n`)))
	})
})
