package metrics

import (
	"fmt"
	"io"
	"math"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
)

// writeWorkAccuracies prints how far estimates of work were off, as ratios of actual to estimated
// figures.
func writeWorkAccuracies(w io.Writer, accuracies []gateway.WorkAccuracy) {
	for _, figure := range []struct {
		name   string
		ratios func(*workload.Accuracy) *workload.Ratios
	}{
		{"work_slot_time_ratio", func(a *workload.Accuracy) *workload.Ratios { return &a.SlotTime }},
		{"work_output_tokens_ratio", func(a *workload.Accuracy) *workload.Ratios { return &a.OutputTokens }},
	} {
		if len(accuracies) > 0 {
			fmt.Fprintf(w, "# TYPE %s%s histogram\n", prefix, figure.name)
		}
		for i := range accuracies {
			writeRatios(w, figure.name, workLabels(&accuracies[i]), figure.ratios(&accuracies[i].Accuracy))
		}
		for i := range accuracies {
			for _, q := range []float64{0.5, 0.9} {
				fmt.Fprintf(w, "%s%s_quantile{%s,quantile=\"%g\"} %g\n", prefix, figure.name, workLabels(&accuracies[i]), q, figure.ratios(&accuracies[i].Accuracy).Quantile(q))
			}
		}
	}
}

func workLabels(a *gateway.WorkAccuracy) string {
	route := a.Route
	if route == workload.OtherRoutes {
		route = "other"
	}
	return fmt.Sprintf("pool=%q,route=%q", a.Pool, route)
}

// writeRatios prints a histogram in the text format, in which the buckets are cumulative.
func writeRatios(w io.Writer, name, labels string, r *workload.Ratios) {
	total := uint64(0)
	for i, n := range r.Buckets {
		total += n
		bound := "+Inf"
		if b := r.Bound(i); !math.IsInf(b, 1) {
			bound = fmt.Sprint(b)
		}
		fmt.Fprintf(w, "%s%s_bucket{%s,le=%q} %d\n", prefix, name, labels, bound, total)
	}
	fmt.Fprintf(w, "%s%s_sum{%s} %g\n", prefix, name, labels, r.Sum)
	fmt.Fprintf(w, "%s%s_count{%s} %d\n", prefix, name, labels, total)
}
