package experiment

import (
	"fmt"
	"io"
	"sort"
	"time"

	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
)

// Policy names a policy and builds it.
type Policy struct {
	Name  string
	build func(s *simulation, seed uint64) policy
}

func base(name string, c choose, reads bool) Policy {
	return Policy{Name: name, build: func(s *simulation, _ uint64) policy { return newBaseline(s, c, reads) }}
}

func ours(name string, tweak func(*core.Settings)) Policy {
	return Policy{Name: name, build: func(s *simulation, seed uint64) policy { return newFleet(s, seed, tweak) }}
}

// Policies returns every policy that is compared.
func Policies() []Policy {
	return []Policy{
		base("random", chooseRandom, false),
		base("round-robin", chooseRoundRobin, false),
		base("least-loaded", chooseLeastLoaded, true),
		base("two-choices", chooseTwo, true),
		base("rendezvous", chooseRendezvous, false),
		base("bounded-rendezvous", chooseBoundedRendezvous, true),
		ours("hemlockdyke", func(*core.Settings) {}),
		ours("hemlockdyke-no-patience", func(s *core.Settings) { s.Ledger.CacheWaitTimeout = 0 }),
		ours("hemlockdyke-patience-1s", func(s *core.Settings) { s.Ledger.CacheWaitTimeout = time.Second }),
		ours("hemlockdyke-no-memory", func(s *core.Settings) { s.Ledger.ChatHistorySize = 0 }),
		ours("hemlockdyke-no-margin", func(s *core.Settings) { s.Ledger.MeanMargin = 0 }),
		ours("hemlockdyke-hold-250ms", func(s *core.Settings) { s.ReleaseDelay = 250 * time.Millisecond }),
		{Name: "hemlockdyke-partition", build: func(s *simulation, seed uint64) policy { return newPartition(s, seed) }},
	}
}

// Run runs one scenario under one policy with one seed.
func Run(s Scenario, p Policy, seed uint64) Result {
	sim := newSimulation(s, seed)
	sim.run(p.build(sim, seed))
	return sim.measure.result(p.Name, seed)
}

// Print writes one result line.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "scenario=%s policy=%s seed=%d reuse=%.3f skew_p99=%.2f skew_max=%.2f bound_violations=%d overshoot=%d grants=%d control_bytes_per_router_s=%.0f urgent_p99_ms=%.0f urgent_calm_p99_ms=%.0f first_token_p95_ms=%.0f shed=%d failed=%d offered=%d sent_per_offered=%.2f\n",
		r.Scenario, r.Policy, r.Seed, r.CacheReuse, r.SkewP99, r.SkewMax, r.BoundViolations, r.MaxOvershoot, r.Grants,
		r.ControlBytesPerRouterSecond, r.UrgentInSurgeP99, r.UrgentOutsideSurgeP99, r.NormalFirstTokenP95, r.Shed, r.Failed, r.Offered, float64(r.Grants)/float64(r.Offered))
}

// Summary holds the median and range of a figure over the seeds.
type Summary struct{ Min, Median, Max float64 }

// Summarise returns the summary of a figure of results.
func Summarise(results []Result, figure func(Result) float64) Summary {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = figure(r)
	}
	sort.Float64s(values)
	return Summary{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}

// PrintSummary writes the medians and ranges of one policy in one scenario.
func PrintSummary(w io.Writer, results []Result) {
	show := func(format string, figure func(Result) float64) string {
		s := Summarise(results, figure)
		return fmt.Sprintf(format+"["+format+","+format+"]", s.Median, s.Min, s.Max)
	}
	fmt.Fprintf(w, "summary scenario=%s policy=%s seeds=%d reuse=%s skew_p99=%s bound_violations=%s overshoot=%s control_bytes_per_router_s=%s urgent_p99_ms=%s urgent_calm_p99_ms=%s first_token_p95_ms=%s shed=%s failed=%s sent_per_offered=%s\n",
		results[0].Scenario, results[0].Policy, len(results),
		show("%.3f", func(r Result) float64 { return r.CacheReuse }),
		show("%.2f", func(r Result) float64 { return r.SkewP99 }),
		show("%.0f", func(r Result) float64 { return float64(r.BoundViolations) }),
		show("%.0f", func(r Result) float64 { return float64(r.MaxOvershoot) }),
		show("%.0f", func(r Result) float64 { return r.ControlBytesPerRouterSecond }),
		show("%.0f", func(r Result) float64 { return r.UrgentInSurgeP99 }),
		show("%.0f", func(r Result) float64 { return r.UrgentOutsideSurgeP99 }),
		show("%.0f", func(r Result) float64 { return r.NormalFirstTokenP95 }),
		show("%.0f", func(r Result) float64 { return float64(r.Shed) }),
		show("%.0f", func(r Result) float64 { return float64(r.Failed) }),
		show("%.2f", func(r Result) float64 { return float64(r.Grants) / float64(r.Offered) }))
}
