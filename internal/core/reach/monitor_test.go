package reach_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the monitor of a router's own path", func() {
	var m *reach.Monitor
	BeforeEach(func() { m = reach.NewMonitor() })

	It("cuts a path if no witness accepts a connection, and restores it once one does", func() {
		Expect(m.RecordFailure(at(300), "pool", reach.NoConnection, at(0))).To(BeTrue())
		Expect(m.EndCheck(at(600), "pool", 3, 0)).To(BeTrue())
		Expect(m.IsCut("pool")).To(BeTrue())
		Expect(m.IsCut("other")).To(BeFalse())
		Expect(m.CutPools()).To(ConsistOf("pool"))
		Expect(m.BeginCheck(at(900), "pool")).To(BeTrue())
		Expect(m.EndCheck(at(910), "pool", 3, 1)).To(BeTrue())
		Expect(m.CutPools()).To(BeEmpty())
	})

	// Guards against a router that stops using its own path because one target exited.
	It("takes a failure for the target's if another target was seen since the attempt began", func() {
		m.RecordConnection(at(100), "pool")
		Expect(m.RecordFailure(at(300), "pool", reach.NoConnection, at(0))).To(BeFalse())
		m.RecordBytes(at(500), "pool")
		Expect(m.RecordFailure(at(600), "pool", reach.NoAnswer, at(400))).To(BeFalse())
		Expect(m.RecordFailure(at(900), "pool", reach.NoAnswer, at(600))).To(BeTrue())
		Expect(m.EndCheck(at(910), "pool", 3, 1)).To(BeFalse())
		Expect(m.IsCut("pool")).To(BeFalse())
	})

	// Guards against bytes on connections from before the cut that hide that new ones are refused.
	It("does not take arriving bytes for accepted connections", func() {
		m.RecordBytes(at(299), "pool")
		Expect(m.RecordFailure(at(300), "pool", reach.NoConnection, at(290))).To(BeTrue())
	})

	// Guards against a connection to several targets for each of many requests that fail at once.
	It("checks a path once at a time, and not at once again", func() {
		Expect(m.RecordFailure(at(300), "pool", reach.NoConnection, at(0))).To(BeTrue())
		Expect(m.RecordFailure(at(301), "pool", reach.NoConnection, at(0))).To(BeFalse())
		m.EndCheck(at(310), "pool", 3, 2)
		Expect(m.RecordFailure(at(400), "pool", reach.NoConnection, at(390))).To(BeFalse())
		Expect(m.RecordFailure(at(600), "pool", reach.NoConnection, at(590))).To(BeTrue())
	})

	It("learns nothing from a check without targets", func() {
		Expect(m.EndCheck(at(0), "pool", 0, 0)).To(BeFalse())
		Expect(m.IsCut("pool")).To(BeFalse())
	})
})
