// Package stats summarises samples.
package stats

import "slices"

// Quantile returns the value below which the share q of values lies, 0 for none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
