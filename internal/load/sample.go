package load

import (
	"context"
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
)

// sampleEvery is the time between two looks at the engines.
const sampleEvery = 50 * time.Millisecond

// sample looks at the engines' open requests until ctx ends.
func (d *driver) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open, err := d.open(ctx)
		if err == nil {
			d.count(func(r *Report) { r.addSample(open) })
		}
	}
}

// open returns the open requests of the engines that have not been drained.
func (d *driver) open(ctx context.Context) ([]int, error) {
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

// addSample compares a sample with the default bound. Samples see the mean after
// it has fallen, so some lie above the bound although no grant did.
func (r *Report) addSample(open []int) {
	total, highest := 0, 0
	for _, n := range open {
		total += n
		highest = max(highest, n)
	}
	if total < 2*len(open) {
		return // with fewer requests the ratio says nothing
	}
	mean := float64(total) / float64(len(open))
	r.Samples++
	r.SkewMax = max(r.SkewMax, float64(highest)/mean)
	if float64(highest) > math.Ceil(resource.DefaultBoundMultiple*mean) {
		r.SamplesOverBound++
	}
}

// cached returns the prompt tokens that the engines have served from cache.
func (d *driver) cached(ctx context.Context) (int, error) {
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
