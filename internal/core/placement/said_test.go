package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("a target's own word that it leaves", func() {
	var (
		b   *placement.Balancer
		now time.Time
	)
	list := func(row uint64, leaving bool) {
		b.SetTargets(now, map[string][]placement.Target{"p": {
			{UID: 1, ID: "i-1", RowVersion: row, Leaving: leaving, Slots: 8}, {UID: 2, ID: "i-2", RowVersion: 1, Slots: 8},
		}})
	}
	used := func() bool {
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
		list(1, false)
		Expect(used()).To(BeTrue())
	})

	It("counts at once, and is news once", func() {
		Expect(b.MarkLeaving(now, 1)).To(BeTrue())
		Expect(used()).To(BeFalse())
		Expect(b.MarkLeaving(now, 1)).To(BeFalse())
	})

	It("counts although the list says that it stays, later as well", func() {
		b.MarkLeaving(now, 1)
		list(1, false)
		Expect(used()).To(BeFalse())
		list(2, false) // written before the word, and late
		Expect(used()).To(BeFalse())
		now = now.Add(30 * time.Second)
		b.Expire(now)
		Expect(used()).To(BeFalse())
	})

	It("counts if the list had said so before, and after it", func() {
		list(2, true)
		Expect(b.MarkLeaving(now, 1)).To(BeFalse())
		list(2, true)
		Expect(used()).To(BeFalse())
	})

	// An operator may take a target back. Nobody sends it anything that it could answer, so its entry has to tell.
	It("counts no more once a later entry has told for long that it stays", func() {
		b.MarkLeaving(now, 1)
		list(2, false)
		now = now.Add(61 * time.Second)
		b.Expire(now)
		Expect(used()).To(BeTrue())
		list(3, false)
		Expect(used()).To(BeTrue())
	})

	It("is not believed of another lifetime", func() {
		b.MarkLeaving(now, 1)
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 3, ID: "i-1", RowVersion: 2, Slots: 8}, {UID: 2, ID: "i-2", RowVersion: 1, Slots: 8}}})
		Expect(used()).To(BeTrue())
	})

	It("counts of a target that the list does not know yet", func() {
		b.MarkLeaving(now, 3)
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 3, ID: "i-3", RowVersion: 2, Slots: 8}}})
		Expect(used()).To(BeFalse())
	})
})
