package gateway

import (
	"maps"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// targetCache holds the decoded rows of the target list. Usually one row changes at a time;
// decoding or copying the whole list for each change takes milliseconds per thousand targets. It is
// not safe for concurrent use.
type targetCache struct {
	decoder     Decoder
	rows        map[string]*cachedRow // by row key
	updateCount uint64
	pools       placement.PoolLists // returned by update
}

type cachedRow struct {
	version    uint64
	pool       string
	target     placement.Target
	rejected   *RejectedEntry // set if the row has no valid target
	lastUpdate uint64         // last update that contained the row
}

func newTargetCache(d Decoder) *targetCache {
	return &targetCache{decoder: d, rows: make(map[string]*cachedRow), pools: make(placement.PoolLists)}
}

// update decodes the changed rows and returns the content of all rows. pools is valid until the
// next update.
func (l *targetCache) update(rows []replica.Row) (pools map[string][]placement.Target, rejected []RejectedEntry) {
	var changed []replica.Row
	for _, r := range rows {
		if known, ok := l.rows[r.Key]; !ok || known.version != r.Version {
			changed = append(changed, r)
		}
	}
	l.decode(changed)
	l.updateCount++
	l.pools.Refill(func(add func(string, placement.Target)) {
		for _, r := range rows {
			d, ok := l.rows[r.Key]
			if !ok {
				continue
			}
			d.lastUpdate = l.updateCount
			if d.rejected != nil {
				rejected = append(rejected, *d.rejected)
			} else {
				add(d.pool, d.target)
			}
		}
	})
	maps.DeleteFunc(l.rows, func(_ string, d *cachedRow) bool { return d.lastUpdate != l.updateCount })
	return l.pools, rejected
}

// has reports whether the target list contains a row with a key, even if the row is invalid.
func (l *targetCache) has(key string) bool {
	_, ok := l.rows[key]
	return ok
}

func (l *targetCache) decode(changed []replica.Row) {
	pools, rejected := l.decoder.Targets(changed)
	versions := make(map[string]uint64, len(changed))
	for _, r := range changed {
		versions[r.Key] = r.Version
		delete(l.rows, r.Key)
	}
	for pool, targets := range pools {
		for _, t := range targets {
			l.rows[t.ID] = &cachedRow{version: versions[t.ID], pool: pool, target: t}
		}
	}
	for _, e := range rejected {
		l.rows[e.Key] = &cachedRow{version: e.RowVersion, rejected: &e}
	}
}
