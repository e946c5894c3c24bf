package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

// follower is a router whose three relays have ever newer target lists.
type follower struct {
	core     *fleet.Core
	sequence uint64
	list     uint64 // version of the relays' target list
	copies   int    // copies of the target list that it asked for
	digests  int    // digests that it sent
}

func newFollower(routers int) *follower {
	f := &follower{core: fleet.New(start, fleet.Settings{Self: address(routers - 1), Incarnation: 1, Seed: 1, DataCentre: "a", MaxApplyDelay: 5 * time.Second, MaxDepartureDelay: 5 * time.Second})}
	var others []fleet.Address
	for i := range routers - 1 {
		others = append(others, address(i))
	}
	f.step(start, fleet.AddressesDiscovered{Addresses: others})
	return f
}

// step passes an event to the router and answers its copy requests.
func (f *follower) step(now time.Time, ev fleet.Event) {
	for _, a := range append([]fleet.Action(nil), f.core.Step(now, ev)...) {
		switch a := a.(type) {
		case fleet.SendDigest:
			f.digests += len(a.To)
		case fleet.RequestCopy:
			f.copies++
			rows := []*peerv1.Row{{Key: "t", Version: f.list}}
			f.step(now, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Response: &peerv1.CopyResponse{Version: f.list, Whole: a.After == 0, Rows: rows}})
		}
	}
}

// runWithChangingList runs the router while its relays have a newer list at each tick.
func (f *follower) runWithChangingList(d time.Duration) {
	for now := start; now.Sub(start) < d; {
		now = now.Add(fleet.TickInterval)
		f.list++
		for relay := range 3 {
			f.sequence++
			f.step(now, fleet.DigestReceived{From: address(relay), Digest: &peerv1.Digest{
				Protocol: fleet.Protocol, Incarnation: uint64(relay + 7), Sequence: f.sequence, DataCentre: "a", Strength: 9, Relay: true, Readers: 3,
				Versions: []uint64{0, f.list}, Scope: peerv1.Scope_SCOPE_FLEET, Report: &peerv1.Report{}, Yours: &peerv1.Report{},
			}})
		}
		f.step(now, fleet.Tick{})
	}
}

var _ = Describe("a target list that changes all the time", func() {
	// Guards against fleets that spend their processor on copies and digests: a copy and some digests
	// of each router for each change.
	DescribeTable("is copied 1,000 times a second by all routers, or once a second by each", func(routers int) {
		const seconds, relays, heartbeatsPerSecond, searchDigests = 10, 3, 4, 40
		f := newFollower(routers)
		f.runWithChangingList(seconds * time.Second)
		Expect(f.core.TableVersion(fleet.TargetsTable)).To(BeNumerically(">", f.list-11), "it lags by a second at most")
		Expect(f.copies).To(BeNumerically("<=", 1+max(1000*seconds/routers, seconds)))
		Expect(f.digests).To(BeNumerically("<=", searchDigests+relays*(f.copies+heartbeatsPerSecond*seconds)))
	},
		Entry("with 100 routers", 100),
		Entry("with 985 routers", 985),
		Entry("with 1,970 routers", 1970),
	)
})
