package fleet_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// reportedWork returns the sum of the reports of the other routers on a team.
func (x *node) reportedWork(team uint64) (sum time.Duration) {
	for _, r := range x.reports {
		for _, w := range r.teams {
			if w.Team == team {
				sum += w.Work
			}
		}
	}
	return sum
}

var _ = Describe("reports of the work of teams", func() {
	// Guards against routers that know only their own part of a team's work, or count it twice.
	DescribeTable("reach every router", func(routers, centres int) {
		n := newFleetIn(centres, routers, targetCount)
		total := time.Duration(0)
		for i := range routers {
			own := time.Duration(i%4) * 300 * time.Millisecond
			n.nodes[address(i)].teams = []shedding.TeamWork{{Team: 7, Work: own}, {Team: uint64(100 + i%3), Work: 100 * time.Millisecond}}
			total += own
		}
		n.run(3 * time.Second)
		for i := range routers {
			x := n.nodes[address(i)]
			Expect(x.reportedWork(7)).To(Equal(total-x.teams[0].Work), "%s", x.address)
		}
	},
		Entry("of 9 in three data centres", 9, 3),
		Entry("of 24 in five data centres", 24, 5),
	)

	// Guards against digests that grow with the number of teams.
	It("name the eight teams with the most work only", func() {
		n := newFleetIn(3, 9, targetCount)
		for i := range 9 {
			x := n.nodes[address(i)]
			for team := range uint64(20) {
				x.teams = append(x.teams, shedding.TeamWork{Team: team, Work: time.Duration(team+1) * 100 * time.Millisecond})
			}
		}
		n.run(3 * time.Second)
		for i := range 9 {
			for _, r := range n.nodes[address(i)].reports {
				Expect(len(r.teams)).To(BeNumerically("<=", shedding.MaxReportedTeams))
			}
			Expect(n.nodes[address(i)].reportedWork(19)).To(Equal(8 * 20 * 100 * time.Millisecond))
			Expect(n.nodes[address(i)].reportedWork(3)).To(BeZero())
		}
	})

	// Guards against garbage of another router that becomes part of the sums.
	It("are dropped one by one if they are invalid", func() {
		c := fleet.New(start, fleet.Settings{Self: address(2), Incarnation: 1, Seed: 1, DataCentre: "dc0", MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second})
		report := func(sequence uint64, r *peerv1.Report) (out []shedding.TeamWork) {
			d := &peerv1.Digest{Protocol: fleet.Protocol, Incarnation: 9, Sequence: sequence, Versions: []uint64{0, 0}, DataCentre: "dc0", Report: r}
			for _, a := range c.Step(start, fleet.DigestReceived{From: address(1), Digest: d}) {
				if a, ok := a.(fleet.ReportReceived); ok {
					out = append(out, a.Teams...)
				}
			}
			return out
		}
		c.Step(start, fleet.Tick{Loads: []placement.Load{}})
		report(1, &peerv1.Report{})
		c.Step(start, fleet.Tick{})
		Expect(report(2, &peerv1.Report{Team: []uint64{1, 2, 3, 4}, TeamWork: []uint32{5, math.MaxUint32, 0}})).
			To(Equal([]shedding.TeamWork{{Team: 1, Work: 500 * time.Millisecond}}))
	})
})
