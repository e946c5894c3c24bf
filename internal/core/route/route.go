// Package route holds the desired state of an operator's plain HTTP services, and the immutable
// table that requests are matched against.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Kind says whether a request may be executed more than once.
type Kind int

// The kinds of request. The zero value is the strictest.
const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent: they may be executed again after any failure.
	Safe
	// Stream requests are answered by a stream of events. They are executed at most once unless the
	// route is Resumable.
	Stream
)

// WeightedPool is a pool that gets a part of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight int // relative to the sum of the route's weights
}

// Route maps the requests of one host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	Split  []WeightedPool

	// Timeout is the longest time that a request may take; 0 means no limit by the route.
	Timeout time.Duration
	// Objective is the desired time to the answer, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest desired gap between two events of a stream.
	GapObjective time.Duration
	// MaxAttempts is the largest number of targets that one request is sent to; at least 1.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int

	Public    bool // requests need no key
	Resumable bool // a stream may be resumed at another target
}

// AllowsRetry reports whether a request of the route may be executed more than once.
func (r *Route) AllowsRetry() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Pool is a service that requests are sent to.
type Pool struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from all routers
	// together; 0 if unknown.
	MaxConnections int
	// ColdPerSecond is the rate of requests that a cold target can serve, 0 if not limited.
	// ColdDuration is how long a target is cold after its start.
	ColdPerSecond float64
	ColdDuration  time.Duration
	// MemoryTokens is how many tokens the memory of one target holds, and TokensPerEvent how many of
	// them an event of a stream has; 0 if unknown.
	MemoryTokens   int
	TokensPerEvent int
}

// Team is the customer that a request is charged to.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if it is set.
	Priority *int
}

// DesiredState is one version of the whole desired state.
type DesiredState struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	// Teams are those that may send requests; nil if requests need no key. An empty list lets no request of a route
	// that is not public pass.
	Teams []Team
	// MaxBodyBytes is the largest size of a request body; 0 means unset.
	MaxBodyBytes int64
	Connections  ConnectionLimits
}

// ConnectionLimits bound what callers may do on a connection. A field that is not positive means that it is unset.
type ConnectionLimits struct {
	MaxHeaderBytes int64
	// HeaderTimeout is the longest time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time between two requests.
	IdleTimeout time.Duration
}

// Table is an immutable view of one DesiredState. It is safe for concurrent use.
type Table struct {
	Version      uint64
	MaxBodyBytes int64
	Connections  ConnectionLimits
	byHost       map[string][]*Route // routes of each host, the longest prefix first
	pools        map[string]Pool
	referenced   map[string]bool // pools that the state defines or a route refers to
	byKey        map[string]*Team
	requiresKey  bool
}

// Build derives a Table from a DesiredState.
func Build(s *DesiredState) *Table {
	t := &Table{
		Version: s.Version, MaxBodyBytes: s.MaxBodyBytes, Connections: s.Connections,
		byHost: make(map[string][]*Route), pools: make(map[string]Pool),
		referenced: make(map[string]bool), byKey: make(map[string]*Team), requiresKey: s.Teams != nil,
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := normaliseHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		for _, weighted := range r.Split {
			t.referenced[weighted.Pool] = true
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range s.Pools {
		t.pools[p.Name] = p
		t.referenced[p.Name] = true
	}
	for i := range s.Teams {
		for _, key := range s.Teams[i].Keys {
			if key != "" { // that of a request without a key
				t.byKey[key] = &s.Teams[i]
			}
		}
	}
	return t
}

// Match returns the route of a host with the longest prefix of the path. The port and the case of
// the host are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// LongestStream returns the longest timeout of the routes whose streams may be resumed; fallback stands
// for a route without one.
func (t *Table) LongestStream(fallback time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Kind != Stream || !r.Resumable {
				continue
			}
			timeout := r.Timeout
			if timeout <= 0 {
				timeout = fallback
			}
			longest = max(longest, timeout)
		}
	}
	return longest
}

// ReferencesPool reports whether the state defines a pool or a route refers to it.
func (t *Table) ReferencesPool(name string) bool { return t.referenced[name] }

// Pools returns the pools that the state defines, by name. The caller must not change the map.
func (t *Table) Pools() map[string]Pool { return t.pools }

// normaliseHost returns the value of a Host header without its port and in lower case.
func normaliseHost(host string) string {
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		host = name
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether requests need a key. They need one even if no team has any.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// TeamByKey returns the team that a key belongs to.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.byKey[key]
	return team, ok
}

// ChoosePool returns the pool for a request with a hash. The same hash gets the same pool while the
// weights stay the same, so that a returning chat finds its cache.
func (r *Route) ChoosePool(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	position := int(rendezvous.Mix(hash, rendezvous.Hash(r.Name)) % uint64(total))
	for _, s := range r.Split {
		if position < s.Weight {
			return s.Pool
		}
		position -= s.Weight
	}
	return ""
}
