package load

import (
	"context"
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
)

// sampleInterval is the time between two samples of the open requests of the engines.
const sampleInterval = 50 * time.Millisecond

// sampleEngines samples the open requests of the engines until ctx ends.
func (d *driver) sampleEngines(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		openRequests, err := d.openRequests(ctx)
		if err == nil {
			d.updateReport(func(r *Report) { r.addSample(openRequests) })
		}
	}
}

// openRequests returns the number of open requests of each engine that is not drained.
func (d *driver) openRequests(ctx context.Context) ([]int, error) {
	var out []int
	for _, url := range d.settings.EngineURLs {
		var status engine.Status
		if err := d.getJSON(ctx, url+"/status", &status); err != nil {
			return nil, err
		}
		if _, drained := status.State["drain"]; !drained {
			out = append(out, status.OpenRequests)
		}
	}
	return out, nil
}

// addSample compares the open requests of the engines with the default load bound. A grant is
// checked against the mean at the time of the grant, and the mean can fall afterwards. So some
// samples exceed the bound although no grant did.
func (r *Report) addSample(openRequests []int) {
	total, highest := 0, 0
	for _, n := range openRequests {
		total += n
		highest = max(highest, n)
	}
	if total < 2*len(openRequests) {
		return // below a mean of 2 the ratio is dominated by rounding
	}
	mean := float64(total) / float64(len(openRequests))
	r.Samples++
	r.SkewMax = max(r.SkewMax, float64(highest)/mean)
	if float64(highest) > math.Ceil(resource.DefaultBoundMultiple*mean) {
		r.SamplesOverBound++
	}
}

// cachedTokens returns the total number of prompt tokens that the engines served from cache.
func (d *driver) cachedTokens(ctx context.Context) (int, error) {
	total := 0
	for _, url := range d.settings.EngineURLs {
		var status engine.Status
		if err := d.getJSON(ctx, url+"/status", &status); err != nil {
			return 0, err
		}
		total += status.CachedTokens
	}
	return total, nil
}
