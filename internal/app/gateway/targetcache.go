package gateway

import (
	"maps"
	"slices"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// targetCache holds the decoded rows of the target list. Usually few rows change at a time;
// decoding or copying the whole list for each change takes milliseconds per thousand targets. It is
// not safe for concurrent use.
type targetCache struct {
	decoder Decoder
	rows    map[string]*cachedRow // by row key
	sizes   map[string]int        // number of valid rows by pool
}

type cachedRow struct {
	version  uint64
	pool     string
	target   placement.Target
	rejected *RejectedEntry // set if the row has no valid target
}

func newTargetCache(d Decoder) *targetCache {
	return &targetCache{decoder: d, rows: make(map[string]*cachedRow), sizes: make(map[string]int)}
}

// update replaces the rows, of which it decodes the changed ones, and returns their content.
func (l *targetCache) update(rows []replica.Row) (pools map[string][]placement.Target, rejected []RejectedEntry) {
	var changed []replica.Row
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
		if known, ok := l.rows[r.Key]; !ok || known.version != r.Version {
			changed = append(changed, r)
		}
	}
	for key := range l.rows {
		if !listed[key] {
			l.drop(key)
		}
	}
	l.decode(changed)
	pools = make(map[string][]placement.Target, len(l.sizes))
	for _, r := range l.rows {
		if r.rejected != nil {
			rejected = append(rejected, *r.rejected)
		} else {
			pools[r.pool] = append(pools[r.pool], r.target)
		}
	}
	return pools, rejected
}

// apply applies changed rows in order. It returns the content of those that remain, and the keys of
// those that were removed.
func (l *targetCache) apply(changes []replica.Row) (pools map[string][]placement.Target, removed []string, rejected []RejectedEntry) {
	latest := make(map[string]replica.Row, len(changes))
	for _, r := range changes {
		latest[r.Key] = r
	}
	var changed []replica.Row
	for key, r := range latest {
		if !r.Removed {
			changed = append(changed, r)
			continue
		}
		l.drop(key)
		removed = append(removed, key)
	}
	pools, rejected = l.decode(changed)
	return pools, removed, rejected
}

// pools returns the names of the pools that have targets.
func (l *targetCache) pools() []string { return slices.Collect(maps.Keys(l.sizes)) }

// decode decodes rows and replaces their earlier content.
func (l *targetCache) decode(changed []replica.Row) (pools map[string][]placement.Target, rejected []RejectedEntry) {
	pools, rejected = l.decoder.Targets(changed)
	versions := make(map[string]uint64, len(changed))
	for _, r := range changed {
		versions[r.Key] = r.Version
		l.drop(r.Key)
	}
	for pool, targets := range pools {
		for _, t := range targets {
			l.rows[t.ID] = &cachedRow{version: versions[t.ID], pool: pool, target: t}
			l.sizes[pool]++
		}
	}
	for _, e := range rejected {
		l.rows[e.Key] = &cachedRow{version: e.RowVersion, rejected: &e}
	}
	return pools, rejected
}

func (l *targetCache) drop(key string) {
	r, ok := l.rows[key]
	if !ok {
		return
	}
	delete(l.rows, key)
	if r.rejected != nil {
		return
	}
	if l.sizes[r.pool]--; l.sizes[r.pool] == 0 {
		delete(l.sizes, r.pool)
	}
}
