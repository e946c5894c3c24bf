package route_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
)

func table() *route.Table {
	return route.Build(&route.DesiredState{
		Version: 3,
		Routes: []route.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Teams: []route.Team{{Name: "dealers", Keys: []string{"k1", "k2"}}},
	})
}

var _ = Describe("the routing table", func() {
	DescribeTable("matches the longest prefix of a host",
		func(host, path, want string) {
			r, ok := table().Match(host, path)
			if want == "" {
				Expect(ok).To(BeFalse())
				return
			}
			Expect(ok).To(BeTrue())
			Expect(r.Name).To(Equal(want))
		},
		Entry("the longer prefix", "a.example", "/x/y/2f", "long"),
		Entry("the shorter prefix", "a.example", "/x/z", "short"),
		Entry("a prefix with a slash at its end", "a.example", "/x/yy", "short"),
		Entry("no match of a part of a segment", "a.example", "/xy/", ""),
		Entry("another host", "b.example", "/x/y/2f", "other"),
		Entry("a host with a port", "a.example:8080", "/x/z", "short"),
		Entry("a host in capitals", "A.Example", "/x/z", "short"),
		Entry("an unknown host", "c.example", "/x/", ""),
	)

	It("finds a team by any of its keys", func() {
		team, ok := table().TeamByKey("k2")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("dealers"))
		_, ok = table().TeamByKey("")
		Expect(ok).To(BeFalse())
	})

	// Guards against requests without a key that run as the team whose key is the empty text.
	It("takes the empty text for no key", func() {
		t := route.Build(&route.DesiredState{Teams: []route.Team{{Name: "t", Keys: []string{"", "k"}}}})
		_, ok := t.TeamByKey("")
		Expect(ok).To(BeFalse())
		_, ok = t.TeamByKey("k")
		Expect(ok).To(BeTrue())
	})

	// Guards against routes that are open to anybody once the last key is revoked.
	DescribeTable("requires a key if it has teams, whether or not they have keys",
		func(state route.DesiredState, required bool) {
			Expect(route.Build(&state).RequiresKey()).To(Equal(required))
		},
		Entry("a team with a key", route.DesiredState{Teams: []route.Team{{Name: "t", Keys: []string{"k"}}}}, true),
		Entry("a team without a key", route.DesiredState{Teams: []route.Team{{Name: "t"}}}, true),
		Entry("a team with a key beside one without", route.DesiredState{Teams: []route.Team{{Name: "t"}, {Name: "u", Keys: []string{"k"}}}}, true),
		Entry("an empty list of teams", route.DesiredState{Teams: []route.Team{}}, true),
		Entry("no list of teams", route.DesiredState{}, false),
	)

	It("splits requests by weight and sends the same hash to the same pool", func() {
		r := route.Route{Name: "r", Split: []route.WeightedPool{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}}
		count := map[string]int{}
		for i := range uint64(10_000) {
			pool := r.ChoosePool(i)
			Expect(r.ChoosePool(i)).To(Equal(pool))
			count[pool]++
		}
		Expect(count["q"]).To(BeNumerically("~", 1000, 150), fmt.Sprint(count))
		Expect((&route.Route{}).ChoosePool(1)).To(BeEmpty())
	})

	It("allows retries by the kind of the route, of streams only if they are resumable", func() {
		Expect((&route.Route{Kind: route.Safe}).AllowsRetry()).To(BeTrue())
		Expect((&route.Route{Kind: route.Unsafe, Resumable: true}).AllowsRetry()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream}).AllowsRetry()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream, Resumable: true}).AllowsRetry()).To(BeTrue())
	})
})
