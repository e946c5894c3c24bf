package shutdown

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "shutdown") }

var _ = Describe("the schedule of a graceful shutdown", func() {
	// Guards against delays of one path that add up to more than the grace period, so that requests are cut by the kill.
	It("leaves each part its time, at every grace period", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			grace := time.Duration(rapid.Int64Range(int64(MinGracePeriod), int64(time.Minute)).Draw(t, "grace"))
			s := NewSchedule(grace)
			if s.AcceptAll <= 0 || s.AcceptAll+minServingTime > s.LastDeadline {
				t.Fatalf("no time to serve in %+v", s)
			}
			if s.LastDeadline+AnswerGrace+TickInterval > s.AnswerOpen {
				t.Fatalf("an accepted request may still be open at AnswerOpen in %+v", s)
			}
			if s.AnswerOpen+WriteTime > s.Close || s.Close+exitTime > grace {
				t.Fatalf("no time for the last answers in %+v", s)
			}
		})
	})

	// Guards against a router that refuses requests which the balancer sends it before it has noticed the shutdown.
	It("accepts all requests until the balancer has noticed, from 3 s on", func() {
		for _, grace := range []time.Duration{3 * time.Second, 4 * time.Second, 8 * time.Second, time.Hour} {
			Expect(NewSchedule(grace).AcceptAll).To(Equal(balancerLag))
			Expect(NewSchedule(grace).LastDeadline).To(Equal(grace - 500*time.Millisecond))
		}
	})

	// Guards against a shortest grace period at which nothing would be served.
	It("serves for a while at the shortest grace period", func() {
		s := NewSchedule(MinGracePeriod)
		Expect(s.LastDeadline).To(BeNumerically(">=", minServingTime))
		Expect(s.AcceptAll).To(BeNumerically(">", TickInterval))
	})
})
