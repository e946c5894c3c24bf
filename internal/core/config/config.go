// Package config holds the configuration that one process has applied. The configuration only
// moves to higher revisions and applies each change completely or not at all.
package config

import (
	"sort"

	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// ApplyResult is the result of applying a change or loading a snapshot.
type ApplyResult int

const (
	// Applied: the change was the next revision and is applied now.
	Applied ApplyResult = iota
	// AlreadyApplied: this or a higher revision is applied already; nothing changed.
	AlreadyApplied
	// Gap: changes between the current revision and this one are missing; nothing changed.
	Gap
	// Invalid: a resource does not pass validation; nothing changed.
	Invalid
)

// maxRecentChanges is the maximum number of recent changes that are kept for peers that lag. When
// there are more, the older half is dropped. At 11,000 changes a day, 1,024 changes cover more than
// two hours, and the half that always remains more than one.
const maxRecentChanges = 1024

// State is the applied configuration. It is not safe for concurrent use.
type State struct {
	revision      uint64
	resources     map[resource.Key]resource.Resource
	recentChanges []resource.Change // consecutive changes, the last one at revision
}

// New returns an empty State at revision 0.
func New() *State {
	return &State{resources: make(map[resource.Key]resource.Resource)}
}

// Revision returns the revision that is applied.
func (s *State) Revision() uint64 { return s.revision }

// Apply applies the change with the next revision. A delayed or duplicate change is reported as
// AlreadyApplied and can't revert a newer one.
func (s *State) Apply(c resource.Change) ApplyResult {
	if c.Revision <= s.revision {
		return AlreadyApplied
	}
	if c.Revision != s.revision+1 {
		return Gap
	}
	for _, r := range c.Resources {
		if !r.Deleted && resource.Validate(r) != nil {
			return Invalid
		}
	}
	for _, r := range c.Resources {
		s.applyResource(r)
	}
	s.revision = c.Revision
	s.recentChanges = append(s.recentChanges, c)
	if len(s.recentChanges) > maxRecentChanges {
		s.recentChanges = append([]resource.Change(nil), s.recentChanges[len(s.recentChanges)-maxRecentChanges/2:]...)
	}
	return Applied
}

func (s *State) applyResource(r resource.Resource) {
	if r.Deleted {
		delete(s.resources, r.Key())
		return
	}
	s.resources[r.Key()] = r
}

// LoadSnapshot replaces the configuration with a snapshot of a higher revision.
func (s *State) LoadSnapshot(revision uint64, resources []resource.Resource) ApplyResult {
	if revision <= s.revision {
		return AlreadyApplied
	}
	next := make(map[resource.Key]resource.Resource, len(resources))
	for _, r := range resources {
		if resource.Validate(r) != nil {
			return Invalid
		}
		next[r.Key()] = r
	}
	s.resources = next
	s.revision = revision
	s.recentChanges = nil
	return Applied
}

// ChangesSince returns the changes after a revision, or false if the state no longer keeps all
// of them.
func (s *State) ChangesSince(after uint64) ([]resource.Change, bool) {
	if after >= s.revision {
		return nil, true
	}
	missing := s.revision - after
	if missing > uint64(len(s.recentChanges)) {
		return nil, false
	}
	return s.recentChanges[uint64(len(s.recentChanges))-missing:], true
}

// Resources returns every resource ordered by kind and name.
func (s *State) Resources() []resource.Resource {
	out := make([]resource.Resource, 0, len(s.resources))
	for _, r := range s.resources {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Metadata.Name < out[j].Metadata.Name
	})
	return out
}

// Get returns one resource, and whether it exists.
func (s *State) Get(k resource.Key) (resource.Resource, bool) {
	r, ok := s.resources[k]
	return r, ok
}
