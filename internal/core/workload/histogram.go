package workload

import "math"

const (
	// workBuckets is the number of buckets of a workHistogram. A bucket covers a factor of 2^(1/4); the
	// middle of the histogram is the route's mean.
	workBuckets         = 32
	workBucketsPerTwice = 4
	// maxWorkWeight is the weight at which a workHistogram is halved: it covers about the last 200
	// requests.
	maxWorkWeight = 200
	// priorWeight pulls the percentile towards a half while few requests are known.
	priorWeight = 2
)

// workHistogram is a decaying histogram of work, as multiples of the route's mean.
type workHistogram struct {
	weights [workBuckets]float32
	total   float32
}

func workBucket(relative float64) int {
	return int(clamp(math.Floor(workBucketsPerTwice*math.Log2(relative)+0.5)+workBuckets/2, 0, workBuckets-1))
}

func (h *workHistogram) add(relative float64) {
	h.weights[workBucket(relative)]++
	h.total++
	if h.total < maxWorkWeight {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= 2
		h.total += h.weights[i]
	}
}

// percentile returns the share of the requests below relative. Those in the same bucket count half.
func (h *workHistogram) percentile(relative float64) float64 {
	bucket := workBucket(relative)
	below := h.weights[bucket] / 2
	for _, w := range h.weights[:bucket] {
		below += w
	}
	return clamp(float64(below+priorWeight/2)/float64(h.total+priorWeight), 0, 1)
}

// minRatioExponent is the exponent of 2 that bounds the first bucket of Ratios.
const minRatioExponent = -5

// Ratios is a histogram of actual / estimated figures since the start, in powers of two. Bucket i
// holds the ratios up to Bound(i); the last one has no upper bound.
type Ratios struct {
	Buckets [12]uint64
	Sum     float64 // of the ratios, each at most twice the last bound
}

// Bound returns the upper bound of a bucket.
func (r *Ratios) Bound(bucket int) float64 {
	if bucket >= len(r.Buckets)-1 {
		return math.Inf(1)
	}
	return math.Ldexp(1, bucket+minRatioExponent)
}

func (r *Ratios) maxRatio() float64 { return math.Ldexp(1, len(r.Buckets)-1+minRatioExponent) }

func (r *Ratios) add(ratio float64) {
	bucket := int(clamp(math.Ceil(math.Log2(ratio))-minRatioExponent, 0, float64(len(r.Buckets)-1)))
	r.Buckets[bucket]++
	r.Sum += min(ratio, r.maxRatio())
}

// Count returns the number of ratios.
func (r *Ratios) Count() uint64 {
	total := uint64(0)
	for _, n := range r.Buckets {
		total += n
	}
	return total
}

// Quantile returns the ratio that the share q of the ratios does not exceed, interpolated within its
// bucket; 0 if there are none.
func (r *Ratios) Quantile(q float64) float64 {
	rank, below := q*float64(r.Count()), 0.0
	for i, n := range r.Buckets {
		if n == 0 {
			continue
		}
		if below+float64(n) >= rank {
			exponent := float64(i+minRatioExponent) - 1 + (rank-below)/float64(n)
			return math.Exp2(exponent)
		}
		below += float64(n)
	}
	return 0
}

// Accuracy shows how far the estimates of a route were off.
type Accuracy struct {
	SlotTime, OutputTokens Ratios
}

// OtherRoutes is the name under which Accuracies reports the routes beyond the bound. No route has an
// empty name.
const OtherRoutes = ""

// Accuracies returns the accuracy of the estimates of each route that has answers.
func (e *Estimator) Accuracies() map[string]Accuracy {
	out := make(map[string]Accuracy, len(e.routes)+1)
	for name, s := range e.routes {
		out[name] = s.accuracy
	}
	if e.shared.output.count > 0 {
		out[OtherRoutes] = e.shared.accuracy
	}
	return out
}
