package routing_test

import (
	"fmt"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/config"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// randomChange returns a change of one or two resources with a few possible names.
func randomChange(t *rapid.T, revision uint64) resource.Change {
	change := resource.Change{Revision: revision}
	for range rapid.IntRange(1, 2).Draw(t, "resources") {
		n := rapid.IntRange(0, 2).Draw(t, "name")
		pool := rapid.IntRange(0, 2).Draw(t, "pool")
		kind := rapid.SampledFrom([]resource.Kind{resource.KindPool, resource.KindTeam, resource.KindTarget}).Draw(t, "kind")
		spec := map[resource.Kind]string{
			resource.KindPool:   fmt.Sprintf(`{"protocol":"model","model":"m%d"}`, pool),
			resource.KindTeam:   fmt.Sprintf(`{"weight":%d}`, pool),
			resource.KindTarget: fmt.Sprintf(`{"pool":"Pool-%d","address":"127.0.0.1:%d"}`, pool, pool),
		}[kind]
		change.Resources = append(change.Resources, resource.Resource{
			Kind: kind, Spec: []byte(spec), Deleted: kind != resource.KindPool && rapid.IntRange(0, 3).Draw(t, "delete") == 0,
			Metadata: resource.Metadata{Name: fmt.Sprintf("%s-%d", kind, n), UID: uint64(len(kind)*10 + n)},
		})
	}
	return change
}

// snapshot returns all that traffic reads from a table.
func snapshot(t *routing.Table) map[string]any {
	out := make(map[string]any)
	for _, name := range t.PoolNames() {
		p, _ := t.Pool(name)
		out["pool "+name] = fmt.Sprint(p.Spec, p.Targets)
		for _, target := range p.Targets {
			i, ok := p.TargetIndex(target.UID)
			out[fmt.Sprintf("index %s %d", name, target.UID)] = fmt.Sprint(i, ok)
		}
	}
	for n := range 3 {
		team, ok := t.Team(fmt.Sprintf("Team-%d", n))
		out[fmt.Sprintf("team %d", n)] = fmt.Sprint(team, ok)
		weight, limit := t.TeamLimits(team.UID)
		out[fmt.Sprintf("limits %d", n)] = fmt.Sprint(weight, limit)
	}
	return out
}

var _ = Describe("the routing table", func() {
	// Guards against routers that route differently at the same revision. One router applied every
	// change, another started from the whole configuration; both must have the same table, and a
	// new table must not alter an old one.
	It("is the same after single changes as from the whole configuration, and old tables stay unchanged", func() {
		testkit.Check("2000", func(t *rapid.T) {
			conf := config.New()
			table := routing.Build(0, nil)
			for revision := uint64(1); revision <= 12; revision++ {
				change := randomChange(t, revision)
				change.Resources = uniqueResources(change.Resources)
				old, before := table, snapshot(table)
				// A target whose pool does not exist is refused before it reaches the table.
				if !hasValidReferences(conf, change) || conf.Apply(change) != config.Applied {
					return
				}
				table = table.Apply(revision, change.Resources)
				if got, want := snapshot(table), snapshot(routing.Build(revision, conf.Resources())); !reflect.DeepEqual(got, want) {
					t.Fatalf("revision %d:\n%v\nwant\n%v", revision, got, want)
				}
				if !reflect.DeepEqual(snapshot(old), before) {
					t.Fatal("an old table changed")
				}
			}
		})
	})

	It("moves only the chats of a leaving target", func() {
		resources := []resource.Resource{{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p", UID: 1}, Spec: []byte(`{"protocol":"model"}`)}}
		for i := range 8 {
			resources = append(resources, resource.Resource{
				Kind: resource.KindTarget, Metadata: resource.Metadata{Name: fmt.Sprintf("t%d", i), UID: uint64(10 + i)},
				Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`),
			})
		}
		before, _ := routing.Build(1, resources).Pool("p")
		resources[3].Spec = []byte(`{"pool":"p","address":"127.0.0.1:1","leaving":true}`)
		after, _ := routing.Build(2, resources).Pool("p")
		var a, b rendezvous.Top
		for chat := range uint64(500) {
			before.RankTargets(chat*7919, &a, 1)
			after.RankTargets(chat*7919, &b, 1)
			home := before.Targets[a.Index[0]].UID
			if home != resources[3].Metadata.UID {
				Expect(after.Targets[b.Index[0]].UID).To(Equal(home))
			}
		}
	})
})

func uniqueResources(in []resource.Resource) []resource.Resource {
	if len(in) == 2 && in[0].Key() == in[1].Key() {
		return in[:1]
	}
	return in
}

func hasValidReferences(conf *config.State, change resource.Change) bool {
	for _, r := range change.Resources {
		err := resource.CheckReferences(r, func(k resource.Key) bool {
			for _, other := range change.Resources {
				if other.Key() == k {
					return true
				}
			}
			_, ok := conf.Get(k)
			return ok
		})
		if err != nil {
			return false
		}
	}
	return true
}
