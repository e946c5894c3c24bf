package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// register lists this router in the store if it is a reader, and looks for others
// there if it hears none: seeds may be out of date, and then a router that starts
// would take itself for the only one. Digests carry who runs from then on.
func (c *Control) register(ctx context.Context) {
	listed := false
	for pause(ctx, registerPause) {
		var reading, alone bool
		c.query(func(now time.Time) { reading, alone = c.core.Reading(), c.core.Alive(now) == 0 })
		if !alone && (listed || !reading) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := c.store.Register(call, c.settings.Address)
		cancel()
		if err != nil {
			c.log.Line(eventlog.ListFailed).Err(err).Msg("")
			continue
		}
		listed = true
		c.view.listed.Store(true)
		c.post(ctx, fleet.Found{Addresses: addresses(found)})
	}
}

// Unlist takes this router out of the store's list if it is there.
func (c *Control) Unlist(ctx context.Context) error {
	if !c.view.listed.Load() {
		return nil
	}
	return c.store.Unregister(ctx, c.settings.Address)
}

// pause waits for about d and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) * (0.5 + rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
