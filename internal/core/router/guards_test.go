package router_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// testCore is one core. The test plays its peers.
type testCore struct {
	*core.Core
	now time.Time
}

// Rendezvous hashing makes router 2 the owner of the pool.
const ownerID, followerID = 2, 1

// newOwner returns the core of the owner, configured with targets whose UIDs start at 100.
func newOwner(targets int) *testCore {
	s := core.DefaultSettings(ownerID, []uint32{ownerID, followerID})
	s.Incarnation = 7
	l := &testCore{Core: core.New(start, s), now: start}
	l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 1, Resources: baseResources(targets)}}})
	l.step(core.Tick{})
	return l
}

var start = time.Unix(1000, 0)

func (l *testCore) step(ev core.Event) []core.Action {
	return append([]core.Action(nil), l.Step(l.now, ev)...)
}

// findAction returns the first action of type A that matches.
func findAction[A core.Action](actions []core.Action, match func(A) bool) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok && match(found) {
			return found, true
		}
	}
	var none A
	return none, false
}

func sentMessage[M proto.Message](actions []core.Action) (M, bool) {
	a, ok := findAction(actions, func(a core.CallPeer) bool { _, is := a.Message.(M); return is })
	if !ok {
		var none M
		return none, false
	}
	return a.Message.(M), true
}

func matchAny[A core.Action](A) bool { return true }

func (l *testCore) sendRequest(id uint64) []core.Action {
	return l.step(core.RequestArrived{
		ID: id, Pool: poolName, Team: teamName, Chat: id, Priority: fairqueue.Normal, Deadline: l.now.Add(time.Minute),
	})
}

// addFollower makes the other router a follower that requests n tickets.
func (l *testCore) addFollower(n int) {
	req := &peerv1.ExchangeRequest{
		Protocol: ticket.ProtocolVersion, Pool: poolName, Router: followerID, Incarnation: 3, Sequence: 1, HasInventory: true,
	}
	for i := range n {
		req.Asks = append(req.Asks, &peerv1.Ask{Id: uint64(i + 1), Chat: uint64(i + 1), Priority: 2, DeadlineMillis: 60000})
	}
	l.step(core.CallReceived{Call: 1, Message: req})
}

func (l *testCore) totalTickets() int {
	total := 0
	for _, n := range l.TicketCounts(poolName) {
		total += n
	}
	return total
}

// newFollower returns a core that follows the other router as the pool's owner. Its first
// exchange is answered.
func newFollower() *testCore {
	s := core.DefaultSettings(followerID, []uint32{ownerID, followerID})
	s.Incarnation = 7
	l := &testCore{Core: core.New(start, s), now: start}
	actions := l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 1, Resources: baseResources(2)}}})
	actions = append(actions, l.step(core.Tick{})...)
	req, ok := sentMessage[*peerv1.ExchangeRequest](actions)
	Expect(ok).To(BeTrue(), "the core follows the owner")
	l.step(core.CallCompleted{To: ownerID, Request: req, Reply: &peerv1.ExchangeResponse{Sequence: req.GetSequence()}})
	return l
}

var _ = Describe("a router that follows an owner", func() {
	// Guards against new requests at a drained target: the owner has an older configuration and
	// grants a target that this router knows to be leaving.
	It("releases a ticket for a leaving target and requests another one that excludes the target", func() {
		l := newFollower()
		l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 2, Resources: []resource.Resource{targetResource(100, true)}}}})
		req, ok := sentMessage[*peerv1.ExchangeRequest](l.sendRequest(1))
		Expect(ok).To(BeTrue())
		actions := l.step(core.CallCompleted{To: ownerID, Request: req, Reply: &peerv1.ExchangeResponse{
			Sequence: req.GetSequence(), Grants: []*peerv1.Grant{{Id: 1, Target: 100}},
		}})
		_, granted := findAction(actions, matchAny[core.GrantTarget])
		Expect(granted).To(BeFalse())
		resent, ok := sentMessage[*peerv1.ExchangeRequest](actions)
		Expect(ok).To(BeTrue())
		Expect(resent.GetReleases()).To(HaveLen(1))
		Expect(resent.GetAsks()[0].GetExcluded()).To(ContainElement(uint64(100)))
	})

	// Guards against a new process that dispatches a request of its old process: the owner's
	// delayed grant arrives after a restart.
	It("refuses grants that are addressed to an earlier process", func() {
		l := newFollower()
		l.sendRequest(1)
		deliver := &peerv1.DeliverRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Owner: ownerID, Incarnation: 6,
			Grants: []*peerv1.Grant{{Id: 1, Target: 100}},
		}
		actions := l.step(core.CallReceived{Call: 1, Message: deliver})
		_, granted := findAction(actions, matchAny[core.GrantTarget])
		Expect(granted).To(BeFalse())
		r, ok := findAction(actions, matchAny[core.ReplyToCall])
		Expect(ok).To(BeTrue())
		Expect(r.Err).To(BeAssignableToTypeOf(&code.Error{}))
		deliver.Incarnation = 7
		_, granted = findAction(l.step(core.CallReceived{Call: 2, Message: deliver}), matchAny[core.GrantTarget])
		Expect(granted).To(BeTrue())
	})

	It("refuses peers of another protocol version", func() {
		l := newFollower()
		for _, m := range []proto.Message{
			&peerv1.ExchangeRequest{Protocol: 9}, &peerv1.GossipRequest{}, &peerv1.PushRequest{Protocol: 2},
		} {
			r, ok := findAction(l.step(core.CallReceived{Call: 1, Message: m}), matchAny[core.ReplyToCall])
			Expect(ok).To(BeTrue())
			Expect(r.Err).To(MatchError(ContainSubstring("7001")))
		}
	})

	// Guards against heartbeats and tickets of a process that is not a router of the fleet.
	It("refuses routers that are not listed", func() {
		l := newFollower()
		for _, m := range []proto.Message{
			&peerv1.ExchangeRequest{Protocol: ticket.ProtocolVersion, Router: 99, HasInventory: true},
			&peerv1.GossipRequest{Protocol: ticket.ProtocolVersion, Router: 99},
		} {
			r, _ := findAction(l.step(core.CallReceived{Call: 1, Message: m}), matchAny[core.ReplyToCall])
			Expect(r.Err).To(MatchError(ContainSubstring("7002")))
		}
	})
})

var _ = Describe("a router that owns a pool", func() {
	newFullOwner := func() (*testCore, *peerv1.DeliverRequest) {
		l := newOwner(1)
		l.addFollower(maxPerTarget + 2) // two more than there are slots
		Expect(l.totalTickets()).To(BeNumerically(">", 0))
		actions := l.step(core.CallReceived{Call: 2, Message: &peerv1.ExchangeRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Router: followerID, Incarnation: 3, Sequence: 2,
			Releases: []*peerv1.Release{{Id: 1}},
		}})
		r, ok := findAction(actions, matchAny[core.ReplyToCall])
		Expect(ok).To(BeTrue())
		resp := r.Message.(*peerv1.ExchangeResponse)
		Expect(resp.GetGrants()).NotTo(BeEmpty())
		return l, &peerv1.DeliverRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Owner: ownerID, Incarnation: 3, Grants: resp.GetGrants(),
		}
	}

	// Guards against a request that waits until its deadline although its ticket is counted: the
	// message with its delayed grant was lost.
	It("resends the grants of queued requests until they arrive, after a delay", func() {
		l, deliver := newFullOwner()
		actions := l.step(core.CallCompleted{To: followerID, Request: deliver})
		_, resent := sentMessage[*peerv1.DeliverRequest](actions)
		Expect(resent).To(BeFalse(), "without a delay, a refused connection would be retried thousands of times")
		l.now = l.now.Add(400 * time.Millisecond)
		_, resent = sentMessage[*peerv1.DeliverRequest](l.step(core.Tick{}))
		Expect(resent).To(BeTrue())
	})

	// Guards against losing the slots of a router that dies and never returns.
	It("frees the slots of a silent router after a timeout", func() {
		l, _ := newFullOwner()
		for range 400 {
			l.now = l.now.Add(50 * time.Millisecond)
			l.step(core.Tick{})
		}
		Expect(l.totalTickets()).To(BeZero())
	})
})
