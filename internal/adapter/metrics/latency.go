package metrics

import (
	"fmt"
	"io"
	"sort"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// latencyBounds are the upper bounds of the buckets in milliseconds. They are dense from 100 to
// 600 ms, where the objectives of routes lie.
var latencyBounds = [...]int64{10, 25, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000, 10000}

// latency is a histogram of latencies. The buckets of several routers can be added up, unlike
// quantiles.
type latency struct {
	buckets [len(latencyBounds) + 1]gometrics.Counter // the last bucket has no upper bound
	sum     gometrics.Counter                         // milliseconds
}

func newLatency() *latency {
	l := &latency{sum: gometrics.NewCounter()}
	for i := range l.buckets {
		l.buckets[i] = gometrics.NewCounter()
	}
	return l
}

func (l *latency) observe(d time.Duration) {
	ms := d.Milliseconds()
	bucket := sort.Search(len(latencyBounds), func(i int) bool { return ms <= latencyBounds[i] })
	l.buckets[bucket].Inc(1)
	l.sum.Inc(ms)
}

// write prints the histogram in the text format, in which the buckets are cumulative.
func (l *latency) write(w io.Writer, name, labels string) {
	total := int64(0)
	for i, c := range l.buckets {
		total += c.Count()
		bound := "+Inf"
		if i < len(latencyBounds) {
			bound = fmt.Sprint(latencyBounds[i])
		}
		fmt.Fprintf(w, "%s%s_bucket{%s,le=%q} %d\n", prefix, name, labels, bound, total)
	}
	fmt.Fprintf(w, "%s%s_sum{%s} %d\n", prefix, name, labels, l.sum.Count())
	fmt.Fprintf(w, "%s%s_count{%s} %d\n", prefix, name, labels, total)
}
