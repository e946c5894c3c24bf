// Package routing derives the immutable routing table from the configuration.
// The control goroutine builds a Table; traffic goroutines read it lock-free.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// Target is one back end of a pool.
type Target struct {
	UID        uint64
	Name       string
	Address    string
	DataCentre string
	// Leaving targets receive no new work.
	Leaving bool
	seed    uint64
}

// Pool is one routing pool with its targets in UID order.
type Pool struct {
	Name    string
	Spec    resource.PoolSpec
	Targets []Target
	byUID   map[uint64]int32
}

// Team is one team with defaults filled in.
type Team struct {
	UID  uint64
	Name string
	Spec resource.TeamSpec
}

// Table is an immutable view of one configuration revision. It is safe for
// concurrent use.
type Table struct {
	Revision uint64
	pools    map[string]*Pool
	byModel  map[string]*Pool
	teams    map[string]Team
	// byTeamUID finds the team that a peer names.
	byTeamUID map[uint64]string
}

// Build derives a Table from a whole configuration. Resources have been validated
// before; one whose spec does not decode is left out.
func Build(revision uint64, resources []resource.Resource) *Table {
	empty := &Table{
		pools:     make(map[string]*Pool),
		byModel:   make(map[string]*Pool),
		teams:     make(map[string]Team),
		byTeamUID: make(map[uint64]string),
	}
	return empty.Apply(revision, resources)
}

// Apply returns the table that follows from t and changed resources; t stays as
// it is. What has not changed is shared, and only what has is decoded: with
// 31,000 teams decoding everything for each change would take most of the
// processor time that control may use.
func (t *Table) Apply(revision uint64, changed []resource.Resource) *Table {
	next := *t
	next.Revision = revision
	touched := make(map[resource.Kind]bool)
	for _, r := range changed {
		touched[r.Kind] = true
	}
	if touched[resource.KindTeam] {
		next.teams, next.byTeamUID = maps.Clone(t.teams), maps.Clone(t.byTeamUID)
		next.applyTeams(changed)
	}
	if touched[resource.KindPool] || touched[resource.KindTarget] {
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
		if r.Deleted || resource.Decode(r.Spec, &spec) != nil {
			continue
		}
		if spec.Weight == 0 {
			spec.Weight = 1
		}
		t.teams[r.Metadata.Name] = Team{UID: r.Metadata.UID, Name: r.Metadata.Name, Spec: spec}
		t.byTeamUID[r.Metadata.UID] = r.Metadata.Name
	}
}

// applyPools copies the pools that changes touch before it changes them, since
// traffic still reads the old ones.
func (t *Table) applyPools(changed []resource.Resource) {
	own := make(map[string]*Pool)
	for _, r := range changed {
		if r.Kind == resource.KindPool {
			t.putPool(r, own)
		}
	}
	t.dropTargets(changed, own)
	for _, r := range changed {
		if r.Kind == resource.KindTarget {
			t.putTarget(r, own)
		}
	}
	for _, p := range own {
		p.index()
	}
	t.byModel = make(map[string]*Pool)
	for _, p := range t.pools {
		if p.Spec.Protocol == resource.ProtocolModel {
			t.byModel[p.Spec.Model] = p
		}
	}
}

// writable returns a pool that this change may alter, nil if there is none.
func (t *Table) writable(name string, own map[string]*Pool) *Pool {
	old, ok := t.pools[name]
	if !ok || own[name] != nil {
		return own[name]
	}
	p := &Pool{Name: old.Name, Spec: old.Spec, Targets: slices.Clone(old.Targets)}
	own[name], t.pools[name] = p, p
	return p
}

func (t *Table) putPool(r resource.Resource, own map[string]*Pool) {
	name := r.Metadata.Name
	var spec resource.PoolSpec
	if r.Deleted || resource.Decode(r.Spec, &spec) != nil {
		delete(t.pools, name)
		delete(own, name)
		return
	}
	if spec.BoundMultiple == 0 {
		spec.BoundMultiple = resource.DefaultBoundMultiple
	}
	if spec.Model == "" {
		spec.Model = name
	}
	p := t.writable(name, own)
	if p == nil {
		p = &Pool{Name: name}
		own[name], t.pools[name] = p, p
	}
	p.Spec = spec
}

func (t *Table) putTarget(r resource.Resource, own map[string]*Pool) {
	var spec resource.TargetSpec
	if resource.Decode(r.Spec, &spec) != nil {
		return
	}
	p := t.writable(spec.Pool, own)
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

// dropTargets removes changed targets from the pools that they are in, which need
// not be those that their new specs name. It looks through the pools once for all
// of them: a whole configuration changes thousands.
func (t *Table) dropTargets(changed []resource.Resource, own map[string]*Pool) {
	uids := make(map[uint64]bool, len(changed))
	for _, r := range changed {
		if r.Kind == resource.KindTarget {
			uids[r.Metadata.UID] = true
		}
	}
	isChanged := func(x Target) bool { return uids[x.UID] }
	for name, old := range t.pools {
		if slices.ContainsFunc(old.Targets, isChanged) {
			p := t.writable(name, own)
			p.Targets = slices.DeleteFunc(p.Targets, isChanged)
		}
	}
}

func (p *Pool) index() {
	slices.SortFunc(p.Targets, func(a, b Target) int { return cmp.Compare(a.UID, b.UID) })
	p.byUID = make(map[uint64]int32, len(p.Targets))
	for i := range p.Targets {
		p.byUID[p.Targets[i].UID] = int32(i)
	}
}

// Pool returns the pool with a name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns the pool names in order.
func (t *Table) Pools() []string {
	names := make([]string, 0, len(t.pools))
	for name := range t.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// PoolForModel returns the pool that serves a model name.
func (t *Table) PoolForModel(model string) (*Pool, bool) {
	p, ok := t.byModel[model]
	return p, ok
}

// Team returns the team with a name.
func (t *Table) Team(name string) (Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

// TeamLimits returns a team's weight and fleet-wide limit. A team that is not
// known yet, or no longer, has weight 1 and no limit.
func (t *Table) TeamLimits(uid uint64) (weight, maxOutstanding int) {
	team, ok := t.teams[t.byTeamUID[uid]]
	if !ok {
		return 1, 0
	}
	return team.Spec.Weight, team.Spec.MaxOutstanding
}

// Teams returns the number of teams.
func (t *Table) Teams() int { return len(t.teams) }

// Index returns the position of a target in p.Targets.
func (p *Pool) Index(uid uint64) (int32, bool) {
	i, ok := p.byUID[uid]
	return i, ok
}

// Rank fills top with the best limit targets for a chat, leaving ones left out.
// It allocates nothing.
func (p *Pool) Rank(chat uint64, top *rendezvous.Top, limit int) {
	top.Reset()
	for i := range p.Targets {
		if p.Targets[i].Leaving {
			continue
		}
		top.Insert(int32(i), rendezvous.Mix(chat, p.Targets[i].seed), limit)
	}
}
