// Package experiment compares routing policies on the same simulated traffic, and measures how fast
// configuration changes spread in a simulated fleet. The policies of this project run router cores
// on the simulated clock and network of package fakenet.
package experiment

import (
	"fmt"
	"io"
	"sort"
	"time"

	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
)

// Policy is a named routing policy that can be run in a scenario.
type Policy struct {
	Name  string
	build func(s *simulation, seed uint64) policy
}

// baselinePolicy returns a policy in which each router chooses engines by itself.
func baselinePolicy(name string, chooser chooseFunc, usesReports bool) Policy {
	return Policy{Name: name, build: func(s *simulation, _ uint64) policy { return newBaseline(s, chooser, usesReports) }}
}

// fleetPolicy returns the policy of this project, with settings changed by configure.
func fleetPolicy(name string, configure func(*core.Settings)) Policy {
	return Policy{Name: name, build: func(s *simulation, seed uint64) policy { return newFleet(s, seed, configure) }}
}

// Policies returns all policies that an experiment compares. In the names of the variants, patience
// is the CacheWaitTimeout, memory the ChatHistorySize, margin the BaseReleaseMargin and hold the
// ReleaseDelay.
func Policies() []Policy {
	return []Policy{
		baselinePolicy("random", chooseRandom, false),
		baselinePolicy("round-robin", chooseRoundRobin, false),
		baselinePolicy("least-loaded", chooseLeastLoaded, true),
		baselinePolicy("two-choices", chooseLessLoadedOfTwo, true),
		baselinePolicy("rendezvous", chooseRendezvous, false),
		baselinePolicy("bounded-rendezvous", chooseBoundedRendezvous, true),
		fleetPolicy("hemlockdyke", func(*core.Settings) {}),
		fleetPolicy("hemlockdyke-no-patience", func(s *core.Settings) { s.Ledger.CacheWaitTimeout = 0 }),
		fleetPolicy("hemlockdyke-patience-1s", func(s *core.Settings) { s.Ledger.CacheWaitTimeout = time.Second }),
		fleetPolicy("hemlockdyke-no-memory", func(s *core.Settings) { s.Ledger.ChatHistorySize = 0 }),
		fleetPolicy("hemlockdyke-no-margin", func(s *core.Settings) { s.Ledger.BaseReleaseMargin = 0 }),
		fleetPolicy("hemlockdyke-hold-250ms", func(s *core.Settings) { s.ReleaseDelay = 250 * time.Millisecond }),
		{Name: "hemlockdyke-partition", build: func(s *simulation, seed uint64) policy { return newPartitionedFleet(s, seed) }},
	}
}

// Run runs a scenario under a policy. It gives the same result for the same seed.
func Run(s Scenario, p Policy, seed uint64) Result {
	sim := newSimulation(s, seed)
	sim.run(p.build(sim, seed))
	return sim.recorder.result(p.Name, seed)
}

// Print writes the result as one line.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "scenario=%s policy=%s seed=%d reuse=%.3f skew_p99=%.2f skew_max=%.2f bound_violations=%d overshoot=%d grants=%d control_bytes_per_router_s=%.0f urgent_p99_ms=%.0f urgent_calm_p99_ms=%.0f first_token_p95_ms=%.0f shed=%d failed=%d offered=%d sent_per_offered=%.2f\n",
		r.Scenario, r.Policy, r.Seed, r.CacheReuse, r.SkewP99, r.SkewMax, r.BoundViolations, r.MaxOvershoot, r.Grants,
		r.ControlBytesPerRouterSecond, r.UrgentInSurgeP99, r.UrgentOutsideSurgeP99, r.NormalFirstTokenP95, r.Shed, r.Failed, r.Offered, float64(r.Grants)/float64(r.Offered))
}

// Summary holds the range and the median of a figure over the seeds.
type Summary struct{ Min, Median, Max float64 }

// Summarise returns the summary of a figure of results, which must not be empty.
func Summarise(results []Result, figure func(Result) float64) Summary {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = figure(r)
	}
	sort.Float64s(values)
	return Summary{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}

// PrintSummary writes medians and ranges of the results of one policy in one scenario, as one line.
func PrintSummary(w io.Writer, results []Result) {
	formatSummary := func(format string, figure func(Result) float64) string {
		s := Summarise(results, figure)
		return fmt.Sprintf(format+"["+format+","+format+"]", s.Median, s.Min, s.Max)
	}
	fmt.Fprintf(w, "summary scenario=%s policy=%s seeds=%d reuse=%s skew_p99=%s bound_violations=%s overshoot=%s control_bytes_per_router_s=%s urgent_p99_ms=%s urgent_calm_p99_ms=%s first_token_p95_ms=%s shed=%s failed=%s sent_per_offered=%s\n",
		results[0].Scenario, results[0].Policy, len(results),
		formatSummary("%.3f", func(r Result) float64 { return r.CacheReuse }),
		formatSummary("%.2f", func(r Result) float64 { return r.SkewP99 }),
		formatSummary("%.0f", func(r Result) float64 { return float64(r.BoundViolations) }),
		formatSummary("%.0f", func(r Result) float64 { return float64(r.MaxOvershoot) }),
		formatSummary("%.0f", func(r Result) float64 { return r.ControlBytesPerRouterSecond }),
		formatSummary("%.0f", func(r Result) float64 { return r.UrgentInSurgeP99 }),
		formatSummary("%.0f", func(r Result) float64 { return r.UrgentOutsideSurgeP99 }),
		formatSummary("%.0f", func(r Result) float64 { return r.NormalFirstTokenP95 }),
		formatSummary("%.0f", func(r Result) float64 { return float64(r.Shed) }),
		formatSummary("%.0f", func(r Result) float64 { return float64(r.Failed) }),
		formatSummary("%.2f", func(r Result) float64 { return float64(r.Grants) / float64(r.Offered) }))
}
