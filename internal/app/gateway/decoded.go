package gateway

import (
	"maps"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// decodedList keeps what the rows of the list of targets say. A change is of one row mostly; to decode all of them for it, or to
// copy what they say, takes a router milliseconds for each thousand targets. It is not safe for concurrent use.
type decodedList struct {
	decoder Decoder
	rows    map[string]*decodedRow // by key
	updates uint64
}

type decodedRow struct {
	version  uint64
	pool     string
	target   placement.Target
	rejected *RejectedEntry // instead of a target
	listed   uint64         // the update that had the row last
}

func newDecodedList(d Decoder) *decodedList {
	return &decodedList{decoder: d, rows: make(map[string]*decodedRow)}
}

// update decodes the rows that have changed, and returns what all of them say.
func (l *decodedList) update(rows []replica.Row) (pools map[string][]placement.Target, rejected []RejectedEntry) {
	var changed []replica.Row
	for _, r := range rows {
		if known, ok := l.rows[r.Key]; !ok || known.version != r.Version {
			changed = append(changed, r)
		}
	}
	l.decode(changed)
	l.updates++
	pools = make(map[string][]placement.Target)
	for _, r := range rows {
		d, ok := l.rows[r.Key]
		if !ok {
			continue
		}
		d.listed = l.updates
		if d.rejected != nil {
			rejected = append(rejected, *d.rejected)
		} else {
			pools[d.pool] = append(pools[d.pool], d.target)
		}
	}
	maps.DeleteFunc(l.rows, func(_ string, d *decodedRow) bool { return d.listed != l.updates })
	return pools, rejected
}

// has reports whether the list has an entry.
func (l *decodedList) has(key string) bool {
	_, ok := l.rows[key]
	return ok
}

func (l *decodedList) decode(changed []replica.Row) {
	pools, rejected := l.decoder.Targets(changed)
	versions := make(map[string]uint64, len(changed))
	for _, r := range changed {
		versions[r.Key] = r.Version
		delete(l.rows, r.Key)
	}
	for pool, targets := range pools {
		for _, t := range targets {
			l.rows[t.ID] = &decodedRow{version: versions[t.ID], pool: pool, target: t}
		}
	}
	for _, e := range rejected {
		l.rows[e.Key] = &decodedRow{version: e.RowVersion, rejected: &e}
	}
}
