package targetload_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var start = time.Unix(1000, 0)

var _ = Describe("a target's load report", func() {
	// Guards against garbage figures that change where requests go.
	DescribeTable("is ignored if its figures are garbage", func(value string, want targetload.Fault) {
		r, fault := targetload.Parse(value)
		Expect(fault).To(Equal(want))
		if want != "" {
			var s targetload.State
			Expect(s.Record(start, targetload.Report{Running: 1, Slots: 2, Pace: 3})).To(BeEmpty())
			before := s
			if r != (targetload.Report{}) { // a value without figures has no report to record
				Expect(s.Record(start.Add(time.Second), r)).To(Equal(want))
			}
			Expect(s).To(Equal(before))
		}
	},
		Entry("valid", "3,0,8", targetload.Fault("")),
		Entry("valid with pace", " 3, 0,8 ,100", targetload.Fault("")),
		Entry("empty", "", targetload.FaultMalformed),
		Entry("two figures", "3,8", targetload.FaultMalformed),
		Entry("five figures", "3,0,8,100,1", targetload.FaultMalformed),
		Entry("no number", "3,x,8", targetload.FaultMalformed),
		Entry("a fraction", "3,0.5,8", targetload.FaultMalformed),
		Entry("beyond the range of integers", "99999999999999999999,0,8", targetload.FaultMalformed),
		Entry("very long", "3,0,"+strings.Repeat("0", 1000)+"8", targetload.FaultMalformed),
		Entry("negative", "-1,0,8", targetload.FaultNegative),
		Entry("absurd", "3,1000001,8", targetload.FaultTooLarge),
		Entry("no slots", "3,0,0", targetload.FaultNoSlots),
		Entry("pace 0", "3,0,8,0", targetload.FaultPace),
		Entry("negative pace", "3,0,8,-100", targetload.FaultPace),
		Entry("pace too small", "3,0,8,4", targetload.FaultPace),
		Entry("pace too large", "3,0,8,10001", targetload.FaultPace),
	)

	// Guards against a panic, or figures outside the limits, for a value that nobody thought of.
	It("has figures within the limits, whatever the value", func() {
		testkit.Check("2000", func(t *rapid.T) {
			value := rapid.OneOf(rapid.String(), rapid.StringMatching(`-?[0-9]{0,8}(, ?-?[0-9]{0,9}){1,4}`)).Draw(t, "value")
			r, fault := targetload.Parse(value)
			if fault == "" && (r.Running < 0 || r.Waiting < 0 || r.Slots < 1 || max(r.Running, r.Waiting, r.Slots) > 1_000_000 || (r.Pace != 0 && (r.Pace < 0.05 || r.Pace > 100))) {
				t.Fatalf("%q gives %+v", value, r)
			}
		})
	})

	It("is ignored if its pace is not a number", func() {
		for _, pace := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
			Expect(targetload.Report{Slots: 1, Pace: pace}.Validate()).To(Equal(targetload.FaultPace))
		}
	})

	// Guards against old figures that replace newer ones, when two answers are read at the same time.
	It("is ignored if it is older than the newest one", func() {
		var s targetload.State
		Expect(s.Record(start, targetload.Report{Running: 5, Slots: 8, Pace: 2})).To(BeEmpty())
		Expect(s.Record(start.Add(-time.Millisecond), targetload.Report{Running: 1, Slots: 8, Pace: 1})).To(Equal(targetload.FaultOutdated))
		r, _ := s.Newest()
		Expect(r).To(Equal(targetload.Report{Running: 5, Slots: 8, Pace: 2}))
	})

	// Guards against a target that is avoided for long because it was slow once.
	It("counts with its pace in full for 300 ms, and not at all from 1.5 s on", func() {
		p := targetload.Pace{Value: 3, At: start}
		Expect(p.Decayed(start.Add(300 * time.Millisecond))).To(BeNumerically("~", 3, 1e-9))
		Expect(p.Decayed(start.Add(900 * time.Millisecond))).To(BeNumerically("~", 2, 1e-9))
		Expect(p.Decayed(start.Add(1500 * time.Millisecond))).To(BeNumerically("~", 1, 1e-9))
		Expect(p.Decayed(start.Add(time.Hour))).To(BeNumerically("~", 1, 1e-9))
		Expect(targetload.Pace{}.Decayed(start)).To(BeNumerically("~", 1, 1e-9))
	})

	// Guards against a newer report without a pace that hides the pace of the one before.
	It("keeps the pace of the last report that has one", func() {
		var s targetload.State
		Expect(s.Record(start, targetload.Report{Slots: 8, Pace: 2})).To(BeEmpty())
		Expect(s.Record(start.Add(time.Second), targetload.Report{Slots: 8})).To(BeEmpty())
		Expect(s.Pace()).To(Equal(targetload.Pace{Value: 2, At: start}))
	})

	// Guards against more requests than fit: a report lacks those that are on their way to the target.
	It("raises a count of open requests while it is fresh, and never lowers it", func() {
		var s targetload.State
		Expect(s.RaiseOpen(start, 3)).To(Equal(3))
		Expect(s.Record(start, targetload.Report{Running: 4, Waiting: 2, Slots: 4})).To(BeEmpty())
		Expect(s.RaiseOpen(start.Add(300*time.Millisecond), 3)).To(Equal(6))
		Expect(s.RaiseOpen(start.Add(300*time.Millisecond), 7)).To(Equal(7))
		Expect(s.RaiseOpen(start.Add(301*time.Millisecond), 3)).To(Equal(3))
	})
})
