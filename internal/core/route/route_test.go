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
		Entry("the longer one", "a.example", "/x/y/2f", "long"),
		Entry("the shorter one", "a.example", "/x/z", "short"),
		Entry("a prefix ends with a slash", "a.example", "/x/yy", "short"),
		Entry("no part of a segment", "a.example", "/xy/", ""),
		Entry("another host", "b.example", "/x/y/2f", "other"),
		Entry("a host with a port", "a.example:8080", "/x/z", "short"),
		Entry("a host in capitals", "A.Example", "/x/z", "short"),
		Entry("no host", "c.example", "/x/", ""),
	)

	It("finds teams by any of their keys", func() {
		team, ok := table().TeamByKey("k2")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("dealers"))
		_, ok = table().TeamByKey("")
		Expect(ok).To(BeFalse())
	})

	It("splits by weight and sends the same hash to the same pool", func() {
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

	It("allows repeats by kind alone", func() {
		Expect((&route.Route{Kind: route.Safe}).AllowsRetry()).To(BeTrue())
		Expect((&route.Route{Kind: route.Unsafe, Resumable: true}).AllowsRetry()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream}).AllowsRetry()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream, Resumable: true}).AllowsRetry()).To(BeTrue())
	})
})
