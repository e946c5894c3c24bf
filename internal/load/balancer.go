package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two rounds of health checks; checkTimeout limits each
	// check.
	checkInterval = 50 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// balancer simulates the platform's load balancer: it polls /readyz of each router and sends new
// requests to ready routers only. Like the real one it sees a change late, by up to one
// checkInterval plus the time that the checks take.
type balancer struct {
	routers []string
	ready   []atomic.Bool
	client  *http.Client
}

// newBalancer returns a balancer that takes every router for ready until its first check.
func newBalancer(routers []string) *balancer {
	b := &balancer{routers: routers, ready: make([]atomic.Bool, len(routers)), client: &http.Client{Timeout: checkTimeout}}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// runHealthChecks checks the routers until ctx ends.
func (b *balancer) runHealthChecks(ctx context.Context) {
	for ctx.Err() == nil {
		for i, url := range b.routers {
			resp, err := b.client.Get(url + "/readyz")
			if err == nil {
				resp.Body.Close()
			}
			b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
		}
		sleep(ctx, checkInterval)
	}
}

// pickRouter returns the first ready router at or after a position. If no router is ready, it
// returns the router at the position.
func (b *balancer) pickRouter(position int) string {
	for n := range b.routers {
		if i := (position + n) % len(b.routers); b.ready[i].Load() {
			return b.routers[i]
		}
	}
	return b.routers[position%len(b.routers)]
}
