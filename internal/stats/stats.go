// Package stats computes statistics of samples.
package stats

import "slices"

// Quantile returns the q-quantile of values (q between 0 and 1), or 0 if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
