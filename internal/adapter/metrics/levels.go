package metrics

import (
	"fmt"
	"io"

	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
)

// The metrics from which hemlockctl computes the burn report of the fleet. Both have the labels
// pool and team. ServiceLevelRequests also has the labels window and outcome (OutcomeGood,
// OutcomeBad).
const (
	ServiceLevelRequests  = prefix + "service_level_requests"
	ServiceLevelFirstByte = prefix + "service_level_first_byte_ms"
	OutcomeGood           = "good"
	OutcomeBad            = "bad"
)

// writeServiceLevels prints, for each pool and team, how many requests met their service level in
// each window, and the histogram of their first-byte times since the router's start.
func writeServiceLevels(w io.Writer, samples []burn.Sample) {
	for _, s := range samples {
		for i, window := range burn.Windows() {
			for _, count := range []struct {
				outcome string
				n       uint64
			}{{OutcomeGood, s.Counts[i].Good}, {OutcomeBad, s.Counts[i].Bad}} {
				fmt.Fprintf(w, "%s{pool=%q,team=%q,window=%q,outcome=%q} %d\n",
					ServiceLevelRequests, s.Key.Pool, s.Key.Team, window, count.outcome, count.n)
			}
		}
	}
	fmt.Fprintf(w, "# TYPE %s histogram\n", ServiceLevelFirstByte)
	for _, s := range samples {
		writeFirstByte(w, s)
	}
}

// writeFirstByte prints the non-empty buckets of the first-byte histogram of a sample.
func writeFirstByte(w io.Writer, s burn.Sample) {
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
