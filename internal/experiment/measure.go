package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/stats"
)

// measure sees the whole fleet, which no router does.
type measure struct {
	sim        *simulation
	open       map[uint64]int // granted and not ended, by engine
	grants     int
	violations int
	overshoot  int // the most by which a grant exceeded the bound
	offered    int
	shed       int
	failed     int
	reusable   int
	reused     int
	skews      []float64
	urgent     []float64 // first token, ms
	calm       []float64 // the same outside the surge
	normal     []float64 // first token of normal requests, ms
	control    float64   // bytes on the wire
}

func newMeasure(s *simulation) *measure {
	return &measure{sim: s, open: make(map[uint64]int)}
}

// granted counts a grant and compares it with the bound at this instant. The
// mean is over the engines that take new work.
func (m *measure) granted(uid uint64) {
	m.grants++
	m.open[uid]++
	active, open := 0, 0
	for _, e := range m.sim.listed {
		if m.takesWork(e) {
			active++
			open += m.open[e.uid]
		}
	}
	if over := m.open[uid] - bound(open, active); over > 0 && m.sim.engines[uid].up {
		m.violations++
		m.overshoot = max(m.overshoot, over)
	}
}

// takesWork reports whether an engine counts for the mean: it is up, not leaving,
// and the configuration that adds it has had the time to reach a router. Until
// then no policy could send it anything.
func (m *measure) takesWork(e engineState) bool {
	known := m.sim.clock.Now().Sub(e.added) > m.sim.scenario.RemoteDelay || e.added.IsZero()
	return known && !e.leaving && m.sim.engines[e.uid].up
}

func (m *measure) ended(uid uint64) { m.open[uid]-- }

func (m *measure) prompt(r *request, reused int) {
	m.reusable += r.chat.built
	m.reused += reused
}

func (m *measure) firstToken(r *request) {
	ms := float64(m.sim.clock.Now().Sub(r.arrived).Microseconds()) / 1000
	switch r.priority {
	case fairqueue.Normal:
		m.normal = append(m.normal, ms)
		return
	case fairqueue.Bulk:
		return
	}
	inSurge := m.sim.clock.Elapsed() >= m.sim.scenario.SurgeStart && m.sim.clock.Elapsed() <= m.sim.scenario.SurgeEnd+surgeTail
	if inSurge {
		m.urgent = append(m.urgent, ms)
	} else {
		m.calm = append(m.calm, ms)
	}
}

// surgeTail is how long the backlog of a surge is still counted as surge.
const surgeTail = 10 * time.Second

const sampleEvery = 100 * time.Millisecond

// sample records the skew of the engines that take new work.
func (m *measure) sample() {
	m.sim.clock.AfterFunc(sampleEvery, func() {
		total, highest, active := 0, 0, 0
		for _, e := range m.sim.listed {
			if !m.takesWork(e) {
				continue
			}
			active++
			total += m.open[e.uid]
			highest = max(highest, m.open[e.uid])
		}
		if mean := float64(total) / float64(active); mean >= 2 {
			m.skews = append(m.skews, float64(highest)/mean)
		}
		m.sample()
	})
}

// Result is one line of an experiment.
type Result struct {
	Scenario, Policy            string
	Seed                        uint64
	CacheReuse                  float64
	SkewP99, SkewMax            float64
	BoundViolations             int
	MaxOvershoot                int
	Grants                      int
	ControlBytesPerRouterSecond float64 // per router and second
	UrgentInSurgeP99            float64 // ms, during the surge
	UrgentOutsideSurgeP99       float64 // ms, outside it
	NormalFirstTokenP95         float64 // ms, normal requests
	Shed                        int
	Failed                      int
	Offered                     int
}

func (m *measure) result(policyName string, seed uint64) Result {
	seconds := m.sim.scenario.Duration.Seconds()
	return Result{
		Scenario: m.sim.scenario.Name, Policy: policyName, Seed: seed,
		CacheReuse: float64(m.reused) / float64(max(m.reusable, 1)),
		SkewP99:    stats.Quantile(m.skews, 0.99), SkewMax: stats.Quantile(m.skews, 1),
		BoundViolations: m.violations, MaxOvershoot: m.overshoot, Grants: m.grants,
		ControlBytesPerRouterSecond: m.control / seconds / float64(m.sim.scenario.Routers),
		UrgentInSurgeP99:            stats.Quantile(m.urgent, 0.99), UrgentOutsideSurgeP99: stats.Quantile(m.calm, 0.99),
		NormalFirstTokenP95: stats.Quantile(m.normal, 0.95), Shed: m.shed, Failed: m.failed, Offered: m.offered,
	}
}
