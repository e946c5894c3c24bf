// Package routing derives the immutable routing table from the configuration. The control goroutine
// builds a Table, and traffic goroutines read it without locks.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// Target is a back end of a pool.
type Target struct {
	UID        uint64
	Name       string
	Address    string
	DataCentre string
	// Leaving targets get no new requests.
	Leaving bool
	seed    uint64
}

// Pool is a pool with its targets in the order of their UIDs.
type Pool struct {
	Name    string
	Spec    resource.PoolSpec
	Targets []Target
	byUID   map[uint64]int32
}

// Team is a team with defaults filled in.
type Team struct {
	UID  uint64
	Name string
	Spec resource.TeamSpec
}

// Table is an immutable view of one configuration revision. It is safe for concurrent use.
type Table struct {
	Revision uint64
	pools    map[string]*Pool
	byModel  map[string]*Pool
	teams    map[string]Team
	// byTeamUID maps team UIDs, which peers send, to names.
	byTeamUID map[uint64]string
}

// Build derives a Table from a whole configuration. Resources must have been validated; a resource
// whose spec can't be decoded is left out.
func Build(revision uint64, resources []resource.Resource) *Table {
	emptyTable := &Table{
		pools:     make(map[string]*Pool),
		byModel:   make(map[string]*Pool),
		teams:     make(map[string]Team),
		byTeamUID: make(map[uint64]string),
	}
	return emptyTable.Apply(revision, resources)
}

// Apply returns the table that results from t and changed resources. t does not change. Unchanged
// pools and teams are shared with t, and only changed resources are decoded: with 31,000 teams,
// decoding everything for each change would take most of the control goroutine's CPU time.
func (t *Table) Apply(revision uint64, changed []resource.Resource) *Table {
	next := *t
	next.Revision = revision
	changedKinds := make(map[resource.Kind]bool)
	for _, r := range changed {
		changedKinds[r.Kind] = true
	}
	if changedKinds[resource.KindTeam] {
		next.teams, next.byTeamUID = maps.Clone(t.teams), maps.Clone(t.byTeamUID)
		next.applyTeams(changed)
	}
	if changedKinds[resource.KindPool] || changedKinds[resource.KindTarget] {
		next.pools = maps.Clone(t.pools)
		next.applyPools(changed)
	}
	return &next
}

func (t *Table) applyTeams(changed []resource.Resource) {
	for _, r := range changed {
		if r.Kind != resource.KindTeam {
			continue
		}
		delete(t.byTeamUID, t.teams[r.Metadata.Name].UID)
		delete(t.teams, r.Metadata.Name)
		var spec resource.TeamSpec
		if r.Deleted || resource.DecodeSpec(r.Spec, &spec) != nil {
			continue
		}
		if spec.Weight == 0 {
			spec.Weight = 1
		}
		t.teams[r.Metadata.Name] = Team{UID: r.Metadata.UID, Name: r.Metadata.Name, Spec: spec}
		t.byTeamUID[r.Metadata.UID] = r.Metadata.Name
	}
}

// applyPools applies changes of pools and targets. It copies each pool before it changes it, since
// traffic still reads the old one.
func (t *Table) applyPools(changed []resource.Resource) {
	copies := make(map[string]*Pool)
	for _, r := range changed {
		if r.Kind == resource.KindPool {
			t.putPool(r, copies)
		}
	}
	t.removeTargets(changed, copies)
	for _, r := range changed {
		if r.Kind == resource.KindTarget {
			t.putTarget(r, copies)
		}
	}
	for _, p := range copies {
		p.buildIndex()
	}
	t.byModel = make(map[string]*Pool)
	for _, p := range t.pools {
		if p.Spec.Protocol == resource.ProtocolModel {
			t.byModel[p.Spec.Model] = p
		}
	}
}

// writablePool returns this change's own copy of a pool, nil if there is no such pool.
func (t *Table) writablePool(name string, copies map[string]*Pool) *Pool {
	old, ok := t.pools[name]
	if !ok || copies[name] != nil {
		return copies[name]
	}
	p := &Pool{Name: old.Name, Spec: old.Spec, Targets: slices.Clone(old.Targets)}
	copies[name], t.pools[name] = p, p
	return p
}

func (t *Table) putPool(r resource.Resource, copies map[string]*Pool) {
	name := r.Metadata.Name
	var spec resource.PoolSpec
	if r.Deleted || resource.DecodeSpec(r.Spec, &spec) != nil {
		delete(t.pools, name)
		delete(copies, name)
		return
	}
	if spec.BoundMultiple == 0 {
		spec.BoundMultiple = resource.DefaultBoundMultiple
	}
	if spec.Model == "" {
		spec.Model = name
	}
	p := t.writablePool(name, copies)
	if p == nil {
		p = &Pool{Name: name}
		copies[name], t.pools[name] = p, p
	}
	p.Spec = spec
}

func (t *Table) putTarget(r resource.Resource, copies map[string]*Pool) {
	var spec resource.TargetSpec
	if resource.DecodeSpec(r.Spec, &spec) != nil {
		return
	}
	p := t.writablePool(spec.Pool, copies)
	if r.Deleted || p == nil {
		return
	}
	p.Targets = append(p.Targets, Target{
		UID:        r.Metadata.UID,
		Name:       r.Metadata.Name,
		Address:    spec.Address,
		DataCentre: spec.DataCentre,
		Leaving:    spec.Leaving,
		seed:       rendezvous.Hash(r.Metadata.Name),
	})
}

// removeTargets removes changed targets from their current pools, which may differ from the pools
// in their new specs. It searches all pools once for all targets, as a whole configuration changes
// thousands of them.
func (t *Table) removeTargets(changed []resource.Resource, copies map[string]*Pool) {
	uids := make(map[uint64]bool, len(changed))
	for _, r := range changed {
		if r.Kind == resource.KindTarget {
			uids[r.Metadata.UID] = true
		}
	}
	isChanged := func(x Target) bool { return uids[x.UID] }
	for name, old := range t.pools {
		if slices.ContainsFunc(old.Targets, isChanged) {
			p := t.writablePool(name, copies)
			p.Targets = slices.DeleteFunc(p.Targets, isChanged)
		}
	}
}

func (p *Pool) buildIndex() {
	slices.SortFunc(p.Targets, func(a, b Target) int { return cmp.Compare(a.UID, b.UID) })
	p.byUID = make(map[uint64]int32, len(p.Targets))
	for i := range p.Targets {
		p.byUID[p.Targets[i].UID] = int32(i)
	}
}

// Pool returns a pool by its name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// PoolNames returns the names of all pools in alphabetical order.
func (t *Table) PoolNames() []string {
	names := make([]string, 0, len(t.pools))
	for name := range t.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// PoolForModel returns the pool that serves a model.
func (t *Table) PoolForModel(model string) (*Pool, bool) {
	p, ok := t.byModel[model]
	return p, ok
}

// Team returns a team by its name.
func (t *Table) Team(name string) (Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

// TeamLimits returns a team's weight and its fleet-wide limit of open requests, 0 for no limit. A
// team that is not in the table has weight 1 and no limit.
func (t *Table) TeamLimits(uid uint64) (weight, maxOutstanding int) {
	team, ok := t.teams[t.byTeamUID[uid]]
	if !ok {
		return 1, 0
	}
	return team.Spec.Weight, team.Spec.MaxOutstanding
}

// TeamCount returns the number of teams.
func (t *Table) TeamCount() int { return len(t.teams) }

// TargetIndex returns the index of a target in p.Targets.
func (p *Pool) TargetIndex(uid uint64) (int32, bool) {
	i, ok := p.byUID[uid]
	return i, ok
}

// RankTargets fills top with the first targets in the chat's rendezvous order, at most limit, and
// leaves out leaving targets. It does not allocate.
func (p *Pool) RankTargets(chat uint64, top *rendezvous.Top, limit int) {
	top.Reset()
	for i := range p.Targets {
		if p.Targets[i].Leaving {
			continue
		}
		top.Insert(int32(i), rendezvous.Mix(chat, p.Targets[i].seed), limit)
	}
}
