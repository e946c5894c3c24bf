package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/stats"
)

// recorder collects the figures of a run. It knows the state of the whole fleet at every instant,
// which no router does.
type recorder struct {
	sim                *simulation
	openRequests       map[uint64]int // granted requests that have not ended, by engine
	grants             int
	boundViolations    int
	maxOvershoot       int // largest excess of a grant over the load bound
	offered            int
	shed               int
	failed             int
	reusableTokens     int       // prompt tokens that earlier turns of the same chat had sent
	reusedTokens       int       // of these, tokens served from cache
	skews              []float64 // ratios of the highest to the mean number of open requests
	urgentInSurge      []float64 // first token during a surge, ms
	urgentOutsideSurge []float64 // first token outside a surge, ms
	normalFirstTokens  []float64 // first token of normal requests, ms
	controlBytes       float64   // bytes of control traffic on the wire
}

func newRecorder(s *simulation) *recorder {
	return &recorder{sim: s, openRequests: make(map[uint64]int)}
}

// recordGrant counts a grant and compares it with the load bound at this instant. The mean covers
// the eligible engines.
func (m *recorder) recordGrant(uid uint64) {
	m.grants++
	m.openRequests[uid]++
	eligibleCount, openRequests := 0, 0
	for _, e := range m.sim.configuredEngines {
		if m.isEligible(e) {
			eligibleCount++
			openRequests += m.openRequests[e.uid]
		}
	}
	if excess := m.openRequests[uid] - loadBound(openRequests, eligibleCount); excess > 0 && m.sim.engines[uid].isUp {
		m.boundViolations++
		m.maxOvershoot = max(m.maxOvershoot, excess)
	}
}

// isEligible reports whether an engine counts for the mean: it is up, not leaving, and its addition
// to the configuration has had time to reach a router. Before that no policy can use the engine.
func (m *recorder) isEligible(e engineEntry) bool {
	isKnown := m.sim.clock.Now().Sub(e.addedAt) > m.sim.scenario.RemoteDelay || e.addedAt.IsZero()
	return isKnown && !e.leaving && m.sim.engines[e.uid].isUp
}

// recordEnd counts the end of a granted request.
func (m *recorder) recordEnd(uid uint64) { m.openRequests[uid]-- }

// recordPrompt counts the prompt tokens of a request that could be and that were served from cache.
func (m *recorder) recordPrompt(r *request, reusedTokens int) {
	m.reusableTokens += r.chat.longestPromptSize
	m.reusedTokens += reusedTokens
}

// recordFirstToken records the time to first token of an urgent or normal request.
func (m *recorder) recordFirstToken(r *request) {
	ms := float64(m.sim.clock.Now().Sub(r.arrivedAt).Microseconds()) / 1000
	switch r.priority {
	case fairqueue.Normal:
		m.normalFirstTokens = append(m.normalFirstTokens, ms)
		return
	case fairqueue.Bulk:
		return
	}
	isInSurge := m.sim.clock.Elapsed() >= m.sim.scenario.SurgeStart && m.sim.clock.Elapsed() <= m.sim.scenario.SurgeEnd+surgeTail
	if isInSurge {
		m.urgentInSurge = append(m.urgentInSurge, ms)
	} else {
		m.urgentOutsideSurge = append(m.urgentOutsideSurge, ms)
	}
}

// surgeTail is the time after a surge during which its backlog still counts as part of it.
const surgeTail = 10 * time.Second

// sampleInterval is the time between two samples of the skew.
const sampleInterval = 100 * time.Millisecond

// sampleSkew records the skew of the eligible engines at sampleInterval. Samples with a mean below
// 2 are left out, as rounding dominates their ratio.
func (m *recorder) sampleSkew() {
	m.sim.clock.AfterFunc(sampleInterval, func() {
		total, highest, eligibleCount := 0, 0, 0
		for _, e := range m.sim.configuredEngines {
			if !m.isEligible(e) {
				continue
			}
			eligibleCount++
			total += m.openRequests[e.uid]
			highest = max(highest, m.openRequests[e.uid])
		}
		if mean := float64(total) / float64(eligibleCount); mean >= 2 {
			m.skews = append(m.skews, float64(highest)/mean)
		}
		m.sampleSkew()
	})
}

// Result holds the figures of one run.
type Result struct {
	Scenario, Policy            string
	Seed                        uint64
	CacheReuse                  float64
	SkewP99, SkewMax            float64
	BoundViolations             int
	MaxOvershoot                int
	Grants                      int
	ControlBytesPerRouterSecond float64 // bytes on the wire
	UrgentInSurgeP99            float64 // first token during a surge, ms
	UrgentOutsideSurgeP99       float64 // first token outside a surge, ms
	NormalFirstTokenP95         float64 // first token of normal requests, ms
	Shed                        int
	Failed                      int
	Offered                     int
}

func (m *recorder) result(policyName string, seed uint64) Result {
	seconds := m.sim.scenario.Duration.Seconds()
	return Result{
		Scenario: m.sim.scenario.Name, Policy: policyName, Seed: seed,
		CacheReuse: float64(m.reusedTokens) / float64(max(m.reusableTokens, 1)),
		SkewP99:    stats.Quantile(m.skews, 0.99), SkewMax: stats.Quantile(m.skews, 1),
		BoundViolations: m.boundViolations, MaxOvershoot: m.maxOvershoot, Grants: m.grants,
		ControlBytesPerRouterSecond: m.controlBytes / seconds / float64(m.sim.scenario.Routers),
		UrgentInSurgeP99:            stats.Quantile(m.urgentInSurge, 0.99), UrgentOutsideSurgeP99: stats.Quantile(m.urgentOutsideSurge, 0.99),
		NormalFirstTokenP95: stats.Quantile(m.normalFirstTokens, 0.95), Shed: m.shed, Failed: m.failed, Offered: m.offered,
	}
}
