// Package route holds an operator's desired state of the plain HTTP interface and
// the immutable table that traffic matches requests against.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Kind says what may be repeated.
type Kind int

// The kinds. The zero value is the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent: they may run again after any failure.
	Safe
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is Resumable.
	Stream
)

// WeightedPool is one pool's part of a route's traffic.
type WeightedPool struct {
	Pool   string
	Weight int // relative to the sum of the route's weights
}

// Route sends the requests of one host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	Split  []WeightedPool

	// Timeout is the longest a request may be kept waiting; 0 means no limit.
	Timeout time.Duration
	// Objective is the time to the answer, of a stream to its first event.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream.
	GapObjective time.Duration
	// MaxAttempts is how many targets one request may be sent to; at least 1.
	MaxAttempts int
	// Priority is the request's rank; 0 is the most urgent.
	Priority int

	Public    bool // needs no key
	Resumable bool // streams may go on at another target
}

// AllowsRetry reports whether a request of the route may run more than once.
func (r *Route) AllowsRetry() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Pool is a service that requests are sent to.
type Pool struct {
	Name string
	// MaxConnections is what one target accepts from all routers together; 0 if unknown.
	MaxConnections int
	// ColdRequestsPerSecond is how many requests a second a target bears that is cold, 0 if that is not bounded, and ColdFor how long one
	// is cold that has started.
	ColdRequestsPerSecond float64
	WarmUpTime            time.Duration
}

// Team is whoever a request is charged to.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if set.
	Priority *int
}

// DesiredState is one whole desired state.
type DesiredState struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	// MaxBodyBytes is the largest request body; 0 means unset.
	MaxBodyBytes int64
}

// Table is an immutable view of one State. It is safe for concurrent use.
type Table struct {
	Version      uint64
	MaxBodyBytes int64
	byHost       map[string][]*Route // longest prefix first
	pools        map[string]Pool
	named        map[string]bool // pools that the state defines or a route sends to
	byKey        map[string]*Team
}

// Build derives a Table from a State.
func Build(s *DesiredState) *Table {
	t := &Table{
		Version: s.Version, MaxBodyBytes: s.MaxBodyBytes,
		byHost: make(map[string][]*Route), pools: make(map[string]Pool),
		named: make(map[string]bool), byKey: make(map[string]*Team),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := hostName(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		for _, share := range r.Split {
			t.named[share.Pool] = true
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range s.Pools {
		t.pools[p.Name] = p
		t.named[p.Name] = true
	}
	for i := range s.Teams {
		for _, key := range s.Teams[i].Keys {
			t.byKey[key] = &s.Teams[i]
		}
	}
	return t
}

// Match returns the route of a host with the longest prefix that begins the path.
// Hosts are compared as names are: without a port, in either case.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// ReferencesPool reports whether the state names a pool at all.
func (t *Table) ReferencesPool(name string) bool { return t.named[name] }

// Pools returns the pools that the state defines, by name. It is not to be changed.
func (t *Table) Pools() map[string]Pool { return t.pools }

// hostName returns the host of a Host header as routes are found by it.
func hostName(host string) string {
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		host = name
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether requests need a key at all.
func (t *Table) RequiresKey() bool { return len(t.byKey) > 0 }

// TeamByKey returns the team that holds a key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.byKey[key]
	return team, ok
}

// ChoosePool returns the pool for a request with a hash: the same hash gets the same
// pool while the weights stay, so a returning chat finds its cache.
func (r *Route) ChoosePool(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(rendezvous.Mix(hash, rendezvous.Hash(r.Name)) % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return ""
}
