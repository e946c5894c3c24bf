package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// checkEvery and checkTimeout pace the health checks.
	checkEvery   = 50 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
)

// balancer plays the platform's balancer: it checks each router's /readyz and
// sends new requests to ready ones only. Like the real one it learns of a change
// late, up to a check's interval.
type balancer struct {
	routers []string
	ready   []atomic.Bool
	client  *http.Client
}

func newBalancer(routers []string) *balancer {
	b := &balancer{routers: routers, ready: make([]atomic.Bool, len(routers)), client: &http.Client{Timeout: checkTimeout}}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// watch checks the routers until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, url := range b.routers {
			resp, err := b.client.Get(url + "/readyz")
			if err == nil {
				resp.Body.Close()
			}
			b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
		}
		pause(ctx, checkEvery)
	}
}

// pick returns the first ready router from a position on, or the one at the
// position if none is.
func (b *balancer) pick(position int) string {
	for n := range b.routers {
		if i := (position + n) % len(b.routers); b.ready[i].Load() {
			return b.routers[i]
		}
	}
	return b.routers[position%len(b.routers)]
}
