package metrics

import (
	"fmt"
	"io"
	"sort"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// latencyBounds are the upper bounds of the buckets in milliseconds. They are close
// together where routes have their objectives, from 100 to 600 ms.
var latencyBounds = [...]int64{10, 25, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000, 10000}

// latency is a histogram whose buckets can be added up over routers, unlike quantiles.
type latency struct {
	buckets [len(latencyBounds) + 1]gometrics.Counter // the last one has no bound
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
	at := sort.Search(len(latencyBounds), func(i int) bool { return ms <= latencyBounds[i] })
	l.buckets[at].Inc(1)
	l.sum.Inc(ms)
}

// write prints the histogram as scrapers read it: each bucket counts all below it too.
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
