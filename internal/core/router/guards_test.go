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

// lone is one core whose peers are played by the test.
type lone struct {
	*core.Core
	now time.Time
}

// Rendezvous hashing over the two names router 2 the owner of the pool.
const ownerID, followerID = 2, 1

// newOwner returns the core of the owner, configured with targets 100 and up.
func newOwner(targets int) *lone {
	s := core.DefaultSettings(ownerID, []uint32{ownerID, followerID})
	s.Incarnation = 7
	l := &lone{Core: core.New(start, s), now: start}
	l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 1, Resources: baseResources(targets)}}})
	l.step(core.Tick{})
	return l
}

var start = time.Unix(1000, 0)

func (l *lone) step(ev core.Event) []core.Action {
	return append([]core.Action(nil), l.Step(l.now, ev)...)
}

// find returns the first action of a kind that matches.
func find[A core.Action](actions []core.Action, match func(A) bool) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok && match(found) {
			return found, true
		}
	}
	var none A
	return none, false
}

func sent[M proto.Message](actions []core.Action) (M, bool) {
	a, ok := find(actions, func(a core.CallPeer) bool { _, is := a.Message.(M); return is })
	if !ok {
		var none M
		return none, false
	}
	return a.Message.(M), true
}

func anyOf[A core.Action](A) bool { return true }

func (l *lone) ask(id uint64) []core.Action {
	return l.step(core.RequestArrived{
		ID: id, Pool: poolName, Team: teamName, Chat: id, Priority: fairqueue.Normal, Deadline: l.now.Add(time.Minute),
	})
}

// followedBy makes the other router a follower that holds n tickets.
func (l *lone) followedBy(n int) {
	req := &peerv1.ExchangeRequest{
		Protocol: ticket.ProtocolVersion, Pool: poolName, Router: followerID, Incarnation: 3, Sequence: 1, HasInventory: true,
	}
	for i := range n {
		req.Asks = append(req.Asks, &peerv1.Ask{Id: uint64(i + 1), Chat: uint64(i + 1), Priority: 2, DeadlineMillis: 60000})
	}
	l.step(core.CallReceived{Call: 1, Message: req})
}

func (l *lone) heldInAll() int {
	total := 0
	for _, n := range l.TicketCounts(poolName) {
		total += n
	}
	return total
}

// asFollower returns a core whose pool the other router owns, and its first
// exchange answered.
func asFollower() *lone {
	s := core.DefaultSettings(followerID, []uint32{ownerID, followerID})
	s.Incarnation = 7
	l := &lone{Core: core.New(start, s), now: start}
	actions := l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 1, Resources: baseResources(2)}}})
	actions = append(actions, l.step(core.Tick{})...)
	req, ok := sent[*peerv1.ExchangeRequest](actions)
	Expect(ok).To(BeTrue(), "the core follows the owner")
	l.step(core.CallCompleted{To: ownerID, Request: req, Reply: &peerv1.ExchangeResponse{Sequence: req.GetSequence()}})
	return l
}

var _ = Describe("a router that follows an owner", func() {
	// Symptom: new work at a target that is drained. Sequence: the owner has an older
	// configuration and grants the target. Cause: the grant is taken as it comes.
	It("gives a ticket for a leaving target back and asks again without it", func() {
		l := asFollower()
		l.step(core.StoreReadCompleted{Changes: []resource.Change{{Revision: 2, Resources: []resource.Resource{targetResource(100, true)}}}})
		req, ok := sent[*peerv1.ExchangeRequest](l.ask(1))
		Expect(ok).To(BeTrue())
		actions := l.step(core.CallCompleted{To: ownerID, Request: req, Reply: &peerv1.ExchangeResponse{
			Sequence: req.GetSequence(), Grants: []*peerv1.Grant{{Id: 1, Target: 100}},
		}})
		_, granted := find(actions, anyOf[core.GrantTarget])
		Expect(granted).To(BeFalse())
		again, ok := sent[*peerv1.ExchangeRequest](actions)
		Expect(ok).To(BeTrue())
		Expect(again.GetReleases()).To(HaveLen(1))
		Expect(again.GetAsks()[0].GetExcluded()).To(ContainElement(uint64(100)))
	})

	// Symptom: a new process dispatches a request that its old process asked for.
	// Sequence: the owner's late grant arrives after a restart.
	It("refuses grants meant for an earlier process", func() {
		l := asFollower()
		l.ask(1)
		deliver := &peerv1.DeliverRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Owner: ownerID, Incarnation: 6,
			Grants: []*peerv1.Grant{{Id: 1, Target: 100}},
		}
		actions := l.step(core.CallReceived{Call: 1, Message: deliver})
		_, granted := find(actions, anyOf[core.GrantTarget])
		Expect(granted).To(BeFalse())
		r, ok := find(actions, anyOf[core.AnswerCall])
		Expect(ok).To(BeTrue())
		Expect(r.Err).To(BeAssignableToTypeOf(&code.Error{}))
		deliver.Incarnation = 7
		_, granted = find(l.step(core.CallReceived{Call: 2, Message: deliver}), anyOf[core.GrantTarget])
		Expect(granted).To(BeTrue())
	})

	It("refuses peers of another protocol version", func() {
		l := asFollower()
		for _, m := range []proto.Message{
			&peerv1.ExchangeRequest{Protocol: 9}, &peerv1.GossipRequest{}, &peerv1.PushRequest{Protocol: 2},
		} {
			r, ok := find(l.step(core.CallReceived{Call: 1, Message: m}), anyOf[core.AnswerCall])
			Expect(ok).To(BeTrue())
			Expect(r.Err).To(MatchError(ContainSubstring("7001")))
		}
	})

	// Symptom: heartbeats or tickets of a process that is no router of the fleet.
	It("refuses routers that are not listed", func() {
		l := asFollower()
		for _, m := range []proto.Message{
			&peerv1.ExchangeRequest{Protocol: ticket.ProtocolVersion, Router: 99, HasInventory: true},
			&peerv1.GossipRequest{Protocol: ticket.ProtocolVersion, Router: 99},
		} {
			r, _ := find(l.step(core.CallReceived{Call: 1, Message: m}), anyOf[core.AnswerCall])
			Expect(r.Err).To(MatchError(ContainSubstring("7002")))
		}
	})
})

var _ = Describe("a router that owns a pool", func() {
	full := func() (*lone, *peerv1.DeliverRequest) {
		l := newOwner(1)
		l.followedBy(maxPerTarget + 2) // two more than there are places
		Expect(l.heldInAll()).To(BeNumerically(">", 0))
		actions := l.step(core.CallReceived{Call: 2, Message: &peerv1.ExchangeRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Router: followerID, Incarnation: 3, Sequence: 2,
			Releases: []*peerv1.Release{{Id: 1}},
		}})
		r, ok := find(actions, anyOf[core.AnswerCall])
		Expect(ok).To(BeTrue())
		resp := r.Message.(*peerv1.ExchangeResponse)
		Expect(resp.GetGrants()).NotTo(BeEmpty())
		return l, &peerv1.DeliverRequest{
			Protocol: ticket.ProtocolVersion, Pool: poolName, Owner: ownerID, Incarnation: 3, Grants: resp.GetGrants(),
		}
	}

	// Symptom: a request waits until its deadline although its place is counted.
	// Sequence: the message with its late grant is lost.
	It("sends late grants again until they arrive, but not at once", func() {
		l, deliver := full()
		actions := l.step(core.CallCompleted{To: followerID, Request: deliver})
		_, again := sent[*peerv1.DeliverRequest](actions)
		Expect(again).To(BeFalse(), "a refused connection would be tried thousands of times")
		l.now = l.now.Add(400 * time.Millisecond)
		_, again = sent[*peerv1.DeliverRequest](l.step(core.Tick{}))
		Expect(again).To(BeTrue())
	})

	// Symptom: a dead router's places are lost for good. Sequence: it dies and never
	// returns. Cause: nobody takes its tickets back.
	It("gives the places of a silent router back in the end", func() {
		l, _ := full()
		for range 400 {
			l.now = l.now.Add(50 * time.Millisecond)
			l.step(core.Tick{})
		}
		Expect(l.heldInAll()).To(BeZero())
	})
})
