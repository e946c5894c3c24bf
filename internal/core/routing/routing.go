// Package routing derives the immutable routing table from the configuration.
// The control goroutine builds a Table; traffic goroutines read it lock-free.
package routing

import (
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

// Build derives a Table. Resources have been validated before; one whose spec
// does not decode is left out.
func Build(revision uint64, resources []resource.Resource) *Table {
	t := &Table{
		Revision: revision,
		pools:    make(map[string]*Pool),
		byModel:  make(map[string]*Pool),
		teams:    make(map[string]Team),

		byTeamUID: make(map[uint64]string),
	}
	for _, r := range resources {
		switch r.Kind {
		case resource.KindPool:
			t.addPool(r)
		case resource.KindTeam:
			t.addTeam(r)
		}
	}
	for _, r := range resources {
		if r.Kind == resource.KindTarget {
			t.addTarget(r)
		}
	}
	for _, p := range t.pools {
		p.index()
	}
	return t
}

func (t *Table) addPool(r resource.Resource) {
	var spec resource.PoolSpec
	if resource.Decode(r.Spec, &spec) != nil {
		return
	}
	if spec.BoundMultiple == 0 {
		spec.BoundMultiple = resource.DefaultBoundMultiple
	}
	if spec.Model == "" {
		spec.Model = r.Metadata.Name
	}
	p := &Pool{Name: r.Metadata.Name, Spec: spec}
	t.pools[p.Name] = p
	if spec.Protocol == resource.ProtocolModel {
		t.byModel[spec.Model] = p
	}
}

func (t *Table) addTeam(r resource.Resource) {
	var spec resource.TeamSpec
	if resource.Decode(r.Spec, &spec) != nil {
		return
	}
	if spec.Weight == 0 {
		spec.Weight = 1
	}
	t.teams[r.Metadata.Name] = Team{UID: r.Metadata.UID, Name: r.Metadata.Name, Spec: spec}
	t.byTeamUID[r.Metadata.UID] = r.Metadata.Name
}

func (t *Table) addTarget(r resource.Resource) {
	var spec resource.TargetSpec
	if resource.Decode(r.Spec, &spec) != nil {
		return
	}
	p, ok := t.pools[spec.Pool]
	if !ok {
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

func (p *Pool) index() {
	sort.Slice(p.Targets, func(i, j int) bool { return p.Targets[i].UID < p.Targets[j].UID })
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
		top.Offer(int32(i), rendezvous.Mix(chat, p.Targets[i].seed), limit)
	}
}
