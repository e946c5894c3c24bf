package metrics

import (
	"fmt"
	"io"

	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
)

// The metrics from which the service-level burn of the fleet is reported, with labels
// pool and team. ServiceLevelRequests has window and outcome (OutcomeGood, OutcomeBad) as well.
const (
	ServiceLevelRequests  = prefix + "service_level_requests"
	ServiceLevelFirstByte = prefix + "service_level_first_byte_ms"
	OutcomeGood           = "good"
	OutcomeBad            = "bad"
)

// writeLevels prints how many requests of each pool and team met their service level in
// each window, and how long their first bytes took since the start.
func writeLevels(w io.Writer, samples []burn.Sample) {
	for _, s := range samples {
		for i, window := range burn.Windows() {
			for _, one := range []struct {
				outcome string
				n       uint64
			}{{OutcomeGood, s.Counts[i].Good}, {OutcomeBad, s.Counts[i].Bad}} {
				fmt.Fprintf(w, "%s{pool=%q,team=%q,window=%q,outcome=%q} %d\n",
					ServiceLevelRequests, s.Key.Pool, s.Key.Team, window, one.outcome, one.n)
			}
		}
	}
	fmt.Fprintf(w, "# TYPE %s histogram\n", ServiceLevelFirstByte)
	for _, s := range samples {
		writeFirst(w, s)
	}
}

// writeFirst prints the histogram of a sample with its non-empty buckets only.
func writeFirst(w io.Writer, s burn.Sample) {
	total := int64(0)
	for _, bar := range s.Histogram.Distribution() {
		if bar.Count == 0 {
			continue
		}
		total += bar.Count
		fmt.Fprintf(w, "%s_bucket{pool=%q,team=%q,le=\"%d\"} %d\n", ServiceLevelFirstByte, s.Key.Pool, s.Key.Team, bar.To, total)
	}
	fmt.Fprintf(w, "%s_bucket{pool=%q,team=%q,le=\"+Inf\"} %d\n", ServiceLevelFirstByte, s.Key.Pool, s.Key.Team, total)
	fmt.Fprintf(w, "%s_count{pool=%q,team=%q} %d\n", ServiceLevelFirstByte, s.Key.Pool, s.Key.Team, total)
}
