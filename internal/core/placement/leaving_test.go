package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("a target's announcement of its shutdown", func() {
	var (
		b   *placement.Balancer
		now time.Time
	)
	setEntry := func(row uint64, leaving bool) {
		b.SetTargets(now, map[string][]placement.Target{"p": {
			{UID: 1, ID: "i-1", RowVersion: row, Leaving: leaving, Slots: 8}, {UID: 2, ID: "i-2", RowVersion: 1, Slots: 8},
		}})
	}
	isUsed := func() bool {
		for range 20 {
			c, ok := b.Place(now, placement.Request{Pool: "p", Excluded: []uint64{2}})
			if ok {
				b.FinishRequest(now, c.Target.UID, placement.Answered)
				return true
			}
		}
		return false
	}

	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		b = placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 1)))
		setEntry(1, false)
		Expect(isUsed()).To(BeTrue())
	})

	It("counts at once, and is new only once", func() {
		Expect(b.MarkLeaving(now, 1)).To(BeTrue())
		Expect(isUsed()).To(BeFalse())
		Expect(b.MarkLeaving(now, 1)).To(BeFalse())
	})

	It("counts although the list does not show it, also in a later entry", func() {
		b.MarkLeaving(now, 1)
		setEntry(1, false)
		Expect(isUsed()).To(BeFalse())
		setEntry(2, false) // written before the notice, delivered after it
		Expect(isUsed()).To(BeFalse())
		now = now.Add(30 * time.Second)
		b.ExpireReports(now)
		Expect(isUsed()).To(BeFalse())
	})

	It("counts if the list shows it already", func() {
		setEntry(2, true)
		Expect(b.MarkLeaving(now, 1)).To(BeFalse())
		setEntry(2, true)
		Expect(isUsed()).To(BeFalse())
	})

	// An operator may cancel a shutdown. Only the target's entry can show that: the target gets no
	// requests, so it can't say so in an answer.
	It("no longer counts once later entries have contradicted it for a minute", func() {
		b.MarkLeaving(now, 1)
		setEntry(2, false)
		now = now.Add(61 * time.Second)
		b.ExpireReports(now)
		Expect(isUsed()).To(BeTrue())
		setEntry(3, false)
		Expect(isUsed()).To(BeTrue())
	})

	It("does not count for another lifetime", func() {
		b.MarkLeaving(now, 1)
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 3, ID: "i-1", RowVersion: 2, Slots: 8}, {UID: 2, ID: "i-2", RowVersion: 1, Slots: 8}}})
		Expect(isUsed()).To(BeTrue())
	})

	It("counts for a target that is not listed yet", func() {
		b.MarkLeaving(now, 3)
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 3, ID: "i-3", RowVersion: 2, Slots: 8}}})
		Expect(isUsed()).To(BeFalse())
	})
})
