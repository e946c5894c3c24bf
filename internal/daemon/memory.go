package daemon

import (
	"context"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// memoryPollInterval is the interval between checks of the process's memory. One connection can bring a small
// VM's memory within a second.
const memoryPollInterval = 100 * time.Millisecond

// memoryShares are the shares of the memory limit at which a line is logged, ascending. A process that is
// killed for its memory writes no line of its own, so the last of these must tell.
var memoryShares = []float64{0.6, 0.7, 0.8, 0.9}

// memoryReporter logs a line when the memory of the process passes one of memoryShares, and one when it is below
// all of them again.
type memoryReporter struct {
	limit   atomic.Int64 // bytes; 0 if unknown
	read    func() metrics.Memory
	holder  func() metrics.Holder
	reclaim func() // called at each check
	log     *eventlog.Log
	passed  int // number of memoryShares that the last line reported
}

func newMemoryReporter(limit int64, holder func() metrics.Holder, reclaim func(), log *eventlog.Log) *memoryReporter {
	r := &memoryReporter{read: metrics.ReadMemory, holder: holder, reclaim: reclaim, log: log}
	r.limit.Store(limit)
	return r
}

// run checks the memory every memoryPollInterval until ctx ends.
func (r *memoryReporter) run(ctx context.Context) {
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reclaim()
			r.check()
		}
	}
}

func (r *memoryReporter) check() {
	limit := r.limit.Load()
	if limit <= 0 {
		return
	}
	m := r.read()
	share, passed := float64(m.Total)/float64(limit), 0
	for passed < len(memoryShares) && share >= memoryShares[passed] {
		passed++
	}
	if passed <= r.passed && (passed > 0 || r.passed == 0) {
		return
	}
	r.passed = passed
	held := r.holder()
	r.log.Line(eventlog.MemoryShare).Float64("share", share).Int64("bytes", m.Total).Int64("limit", limit).Int64("heap", m.Heap).Int64("stacks", m.Stacks).
		Int("goroutines", runtime.NumGoroutine()).Int64("open", held.OpenRequests).Int64("bodies", held.BodyBytes).Msg("")
}

// callerLoad counts the open requests of callers and the bytes of their bodies.
type callerLoad struct {
	open   atomic.Int64
	bodies *readlimit.Budget
}

// countedBodyLimit is above the size of any body: the handler bounds bodies by the desired state.
const countedBodyLimit = 1 << 60

func newCallerLoad() *callerLoad { return &callerLoad{bodies: readlimit.NewBudget(countedBodyLimit)} }

// count returns a handler that counts the requests of next.
func (l *callerLoad) count(next http.Handler) http.Handler {
	return readlimit.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.open.Add(1)
		defer l.open.Add(-1)
		next.ServeHTTP(w, r)
	}), countedBodyLimit, l.bodies)
}

func (l *callerLoad) holder() metrics.Holder {
	return metrics.Holder{OpenRequests: l.open.Load(), BodyBytes: l.bodies.Held()}
}
