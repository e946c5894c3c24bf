package config_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/config"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func newTeam(name string, revision uint64, deleted bool) resource.Resource {
	return resource.Resource{
		Kind: resource.KindTeam, Deleted: deleted, Spec: fmt.Appendf(nil, `{"weight":%d}`, revision%100),
		Metadata: resource.Metadata{Name: name, ResourceVersion: revision},
	}
}

// newHistory returns n consecutive changes and the configuration after each of them, starting
// with the empty one.
func newHistory(t *rapid.T, n int) ([]resource.Change, [][]resource.Resource) {
	s := config.New()
	var changes []resource.Change
	states := [][]resource.Resource{nil}
	for i := range n {
		revision := uint64(i + 1)
		name := fmt.Sprintf("team-%d", rapid.IntRange(0, 4).Draw(t, "team"))
		change := resource.Change{Revision: revision, Resources: []resource.Resource{
			newTeam(name, revision, rapid.IntRange(0, 3).Draw(t, "delete") == 0),
		}}
		s.Apply(change)
		changes = append(changes, change)
		states = append(states, s.Resources())
	}
	return changes, states
}

var _ = Describe("the configuration of a router", func() {
	// Guards against new requests at a drained target: changes arrive late, twice and out of
	// order, with snapshots of any age in between, and an older state must not replace a newer
	// one.
	It("never reverts and is complete at every revision, in 10,000 random schedules", func() {
		testkit.Check("10000", func(t *rapid.T) {
			const n = 12
			changes, states := newHistory(t, n)
			s := config.New()
			for range 20 {
				before := s.Revision()
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
					s.LoadSnapshot(uint64(i), states[i])
				} else {
					s.Apply(changes[i])
				}
				if s.Revision() < before {
					t.Fatalf("revision %d after %d", s.Revision(), before)
				}
				if got, want := fmt.Sprint(s.Resources()), fmt.Sprint(append([]resource.Resource{}, states[s.Revision()]...)); got != want {
					t.Fatalf("at revision %d: %s, want %s", s.Revision(), got, want)
				}
			}
		})
	})

	It("refuses a change completely if one resource is invalid", func() {
		s := config.New()
		bad := resource.Change{Revision: 1, Resources: []resource.Resource{newTeam("good", 1, false), newTeam("BAD", 1, false)}}
		Expect(s.Apply(bad)).To(Equal(config.Invalid))
		Expect(s.Resources()).To(BeEmpty())
		Expect(s.Revision()).To(BeZero())
	})

	It("returns the changes that a peer is missing while it keeps them", func() {
		s := config.New()
		for i := range 1500 {
			s.Apply(resource.Change{Revision: uint64(i + 1), Resources: []resource.Resource{newTeam("a", uint64(i+1), false)}})
		}
		missing, kept := s.ChangesSince(1490)
		Expect(kept).To(BeTrue())
		Expect(missing).To(HaveLen(10))
		Expect(missing[0].Revision).To(Equal(uint64(1491)))
		_, kept = s.ChangesSince(3)
		Expect(kept).To(BeFalse())
	})
})
