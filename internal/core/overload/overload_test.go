package overload_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/overload"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "overload") }

// processor does the work of accepted connections one after the other.
type processor struct {
	gate     overload.Gate
	random   *rand.Rand
	now      time.Duration
	freeAt   time.Duration
	work     time.Duration // of one connection
	open     []time.Duration
	waits    []time.Duration // that began in this period
	accepted int
	closed   int
	late     int // accepted, begun after patience
}

// patience is how long the callers of the model wait.
const patience = time.Second

// run offers connections at a rate for a time.
func (p *processor) run(perSecond float64, d time.Duration) {
	p.accepted, p.closed, p.late = 0, 0, 0
	for end := p.now + d; p.now < end; {
		periodEnd := p.now + overload.Period
		p.waits = p.waits[:0]
		for at := p.next(p.now, perSecond); at < periodEnd; at = p.next(at, perSecond) {
			if !p.gate.Accept() {
				p.closed++
				continue
			}
			p.accepted++
			p.open = append(p.open, at)
		}
		p.serveUntil(periodEnd)
		p.now = periodEnd
		p.gate.Observe(p.medianWait(), len(p.waits), 8)
	}
}

func (p *processor) next(at time.Duration, perSecond float64) time.Duration {
	return at + time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second))
}

func (p *processor) serveUntil(end time.Duration) {
	for len(p.open) > 0 && max(p.freeAt, p.open[0]) < end {
		startsAt := max(p.freeAt, p.open[0])
		wait := startsAt - p.open[0]
		p.waits = append(p.waits, wait)
		if wait > patience {
			p.late++
		}
		p.freeAt, p.open = startsAt+p.work, p.open[1:]
	}
}

func (p *processor) medianWait() time.Duration {
	if len(p.waits) == 0 {
		return 0
	}
	slices.Sort(p.waits)
	return p.waits[len(p.waits)/2]
}

func newProcessor(capacity float64) *processor {
	return &processor{random: rand.New(rand.NewPCG(1, 1)), work: time.Duration(float64(time.Second) / capacity)}
}

var _ = Describe("a router that gets more connections than its processor can serve", func() {
	const capacity = 300.0
	// Guards against accepting all: the queue grows, and nothing is served in time, new or open.
	DescribeTable("serves those that it reads, and about as many as it can", func(times float64) {
		p := newProcessor(capacity)
		p.run(0.3*capacity, 10*time.Second)
		Expect(p.closed).To(BeZero())
		p.run(times*capacity, 3*time.Second) // the platform's StabilityWindowMs
		p.run(times*capacity, 10*time.Second)
		served := float64(p.accepted - p.late)
		Expect(served).To(BeNumerically(">=", 0.75*float64(p.accepted)), "of those read, as the platform asks")
		Expect(served).To(BeNumerically(">=", 0.6*capacity*10))
		p.run(0.3*capacity, 3*time.Second)
		p.run(0.3*capacity, 5*time.Second)
		Expect(p.closed).To(BeZero(), "over")
	}, Entry("1.3 times", 1.3), Entry("twice", 2.0), Entry("five times", 5.0), Entry("nine times", 9.0))

	It("closes none below its capacity, nor after a short pause", func() {
		p := newProcessor(capacity)
		for range 20 {
			p.run(0.7*capacity, 3*time.Second)
			Expect(p.closed).To(BeZero())
			p.freeAt = p.now + 250*time.Millisecond
		}
	})

	It("closes none if there is no other router", func() {
		var g overload.Gate
		for range 50 {
			g.Observe(time.Second, 1, 0)
			Expect(g.Accept()).To(BeTrue())
			Expect(g.Accept()).To(BeTrue())
		}
	})
})
