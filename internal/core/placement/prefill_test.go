package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// newWorkBalancer returns a Balancer whose pools are scheduled by work.
func newWorkBalancer(list ...placement.Target) *placement.Balancer {
	s := placement.DefaultSettings("a")
	s.ScheduleByWork = true
	b := placement.New(s, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(start, map[string][]placement.Target{pool: list})
	return b
}

func longRequest(chat uint64) placement.Request {
	r := newRequest(root, chat)
	r.PromptTokens = 8500
	return r
}

var _ = Describe("a prefix that no target holds", func() {
	It("is found with the target that placement would choose, and nothing is counted", func() {
		b := newWorkBalancer(targets(12)...)
		unread, ok := b.FindUnreadPrefix(start, longRequest(4))
		Expect(ok).To(BeTrue())
		Expect(unread.Prefix).To(Equal(placement.Prefix{Hash: 4, Tokens: 8000}))
		Expect(unread.ReadTime).To(BeNumerically("~", 335*time.Millisecond, 5*time.Millisecond), "before any answer")
		Expect(b.OwnLoads(start)).To(BeEmpty(), "a request that waits is open at no target")
		c, ok := b.Place(start, longRequest(4))
		Expect(ok).To(BeTrue())
		Expect(c.Target.UID).To(Equal(unread.Target))
	})

	// Guards against waits that end before a read does, since its target reads other prompts first or is
	// slow, and against the prefix being read twice then.
	It("is expected to be read after the prompts that its target has yet to read, at the pace that the target reports", func() {
		b := newWorkBalancer(targets(12)...)
		unread, _ := b.FindUnreadPrefix(start, longRequest(4))
		b.ReceiveReport(start, 1, []placement.Load{{Target: unread.Target, Open: 1, Unread: 10_000}}, nil)
		busy, _ := b.FindUnreadPrefix(start, longRequest(4))
		Expect(busy.Target).To(Equal(unread.Target))
		Expect(busy.ReadTime - unread.ReadTime).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
		Expect(b.RecordTargetLoad(start, unread.Target, targetload.Report{Running: 1, Slots: 64, Pace: 2})).To(BeEmpty())
		slow, _ := b.FindUnreadPrefix(start, longRequest(4))
		Expect(slow.ReadTime).To(BeNumerically("~", 2*busy.ReadTime, time.Millisecond))
	})

	// Guards against questions, and waits, for prefixes that a target has already read.
	It("is not found once a target is known to have read it, here or elsewhere", func() {
		b, other := newWorkBalancer(targets(12)...), newWorkBalancer(targets(12)...)
		serve(b, start, longRequest(4))
		_, ok := b.FindUnreadPrefix(start, longRequest(4))
		Expect(ok).To(BeFalse())
		_, ok = other.FindUnreadPrefix(start, longRequest(4))
		Expect(ok).To(BeTrue())
		other.ReceivePrefixReads(start, b.TakePrefixReads(10))
		_, ok = other.FindUnreadPrefix(start, longRequest(4))
		Expect(ok).To(BeFalse())
		_, ok = other.FindUnreadPrefix(start.Add(2*time.Minute), longRequest(4))
		Expect(ok).To(BeTrue(), "it has probably been dropped since")
	})

	// Guards against prefixes that nobody reads again after the only target that held them is gone.
	It("is found again if the target that held it is gone", func() {
		b := newWorkBalancer(targets(12)...)
		c := serve(b, start, longRequest(4))
		var rest []placement.Target
		for _, t := range targets(12) {
			if t.UID != c.Target.UID {
				rest = append(rest, t)
			}
		}
		b.SetTargets(start, map[string][]placement.Target{pool: rest})
		_, ok := b.FindUnreadPrefix(start, longRequest(4))
		Expect(ok).To(BeTrue())
		_, ok = b.PrefixHolder(start, pool, 4)
		Expect(ok).To(BeFalse())
	})

	// Guards against a call and a wait for a turn of a chat whose earlier turns a target holds.
	It("is not found if a target holds all but some hundred tokens of it", func() {
		b := newWorkBalancer(targets(12)...)
		serve(b, start, longRequest(4))
		r := longRequest(4)
		r.PromptPrefixes = append(r.PromptPrefixes, placement.Prefix{Hash: 5, Tokens: 9000})
		r.PromptTokens = 9500
		_, ok := b.FindUnreadPrefix(start, r)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("is not looked for", func(change func(r *placement.Request), scheduledByWork bool) {
		b := newBalancer(targets(12)...)
		if scheduledByWork {
			b = newWorkBalancer(targets(12)...)
		}
		r := longRequest(4)
		change(&r)
		_, ok := b.FindUnreadPrefix(start, r)
		Expect(ok).To(BeFalse())
	},
		Entry("in a pool that is not scheduled by work", func(*placement.Request) {}, false),
		Entry("in an unknown pool", func(r *placement.Request) { r.Pool = "other" }, true),
		Entry("without a prompt", func(r *placement.Request) { r.PromptTokens = 0 }, true),
		Entry("without prefixes", func(r *placement.Request) { r.PromptPrefixes = nil }, true),
		Entry("if it is short", func(r *placement.Request) { r.PromptPrefixes = r.PromptPrefixes[:1] }, true),
	)
})

var _ = Describe("a preferred target", func() {
	var b *placement.Balancer
	var preferred placement.Target
	var r placement.Request
	BeforeEach(func() {
		b = newWorkBalancer(targets(12)...)
		home := serve(b, start, longRequest(4)).Target.UID
		r = longRequest(4)
		for _, t := range targets(12) {
			if t.UID != home {
				preferred = t
			}
		}
		r.PreferredTarget = preferred.UID
	})
	chosen := func() placement.Choice {
		c, ok := b.Place(start, r)
		Expect(ok).To(BeTrue())
		return c
	}

	It("is chosen instead of the home", func() {
		c := chosen()
		Expect(c.Target.UID).To(Equal(preferred.UID))
		Expect(c.Rule).To(Equal(placement.RuleReader))
	})

	// Guards against requests to targets that must get none, whatever another router answered.
	DescribeTable("is ignored", func(change func()) {
		change()
		c := chosen()
		Expect(c.Target.UID).NotTo(Equal(preferred.UID))
		Expect(c.Rule).NotTo(Equal(placement.RuleReader))
	},
		Entry("if it is leaving", func() { b.MarkLeaving(start, preferred.UID) }),
		Entry("if it is paused", func() { b.MarkPaused(start, preferred.UID, time.Second) }),
		Entry("if it is suspended", func() { recordFailures(b, start, preferred.UID, 20) }),
		Entry("if it is excluded", func() { r.Excluded = []uint64{preferred.UID} }),
		Entry("if it is unknown", func() { r.PreferredTarget = 12345 }),
		Entry("if it is at the load bound", func() {
			b.ReceiveReport(start, 7, []placement.Load{{Target: preferred.UID, Open: 60}}, nil)
		}),
	)

	// Guards against a stream that goes on at another software version than the one that began it.
	It("is ignored if it runs another software version than the request needs", func() {
		b = newWorkBalancer(versionedTargets(12, 6)...)
		r.Software, r.PreferredTarget = lineage.SoftwareOf(pool, "v1"), targets(12)[8].UID
		Expect(chosen().Target.SoftwareVersion).To(Equal("v1"))
		r.PreferredTarget = targets(12)[3].UID
		Expect(chosen().Target.UID).To(Equal(r.PreferredTarget))
	})
})
