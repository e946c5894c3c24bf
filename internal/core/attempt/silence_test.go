package attempt_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
)

var _ = Describe("the watch for silent targets", func() {
	// Guards against a router that sends every stream again and suspends all targets after its
	// process was stalled for seconds: all its timers fire before it reads the answers that have
	// arrived.
	It("does not take a stall of its own process for a target's silence", func() {
		start := time.Unix(1000, 0)
		var w attempt.SilenceWatch
		Expect(w.IsSilent(start)).To(BeFalse())
		w.SetDeadline(start.Add(time.Second))
		Expect(w.IsSilent(start.Add(900 * time.Millisecond))).To(BeFalse())
		Expect(w.IsSilent(start.Add(1010 * time.Millisecond))).To(BeTrue())
		Expect(w.IsSilent(start.Add(5 * time.Second))).To(BeFalse())
	})
})
