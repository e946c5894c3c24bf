package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// greyDay is a played load: nine routers, twelve targets, some of which fail a share of
// what they get for ten of fifteen seconds.
type greyDay struct {
	failing int               // targets; one if 0
	share   float64           // of its requests that it fails
	as      placement.Outcome // how
	others  float64           // share that every target fails, as its own failure
	alone   bool              // routers don't tell each other
}

// play returns how many requests the failing targets spoiled, and how many were kept away
// from targets that fail no more than all.
func (g greyDay) play() (spoiled, misplaced int) {
	const routers, perSecond = 9, 130
	rnd := rand.New(rand.NewPCG(5, 6))
	boards := make([]*placement.Balancer, routers)
	for i := range boards {
		boards[i] = board(targets(12)...)
	}
	grey := map[uint64]bool{}
	for _, t := range targets(12)[:max(g.failing, 1)] {
		grey[t.UID] = true
	}
	for i := range 15 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		if i%(perSecond/10) == 0 && !g.alone {
			for from := range boards {
				for to := range boards {
					if from != to {
						boards[to].ReceiveReport(now, uint32(from), boards[from].OwnLoads(), boards[from].OutcomesToReport(now))
					}
				}
			}
		}
		b := boards[rnd.IntN(routers)]
		chat := rnd.Uint64N(500) + 1
		c := place(b, now, chat)
		if c.Rule != placement.RuleHome {
			misplaced++
		}
		failing := grey[c.Target.UID] && now.Sub(start) > 2*time.Second && now.Sub(start) < 12*time.Second
		outcome := placement.Answered
		switch {
		case failing && rnd.Float64() < g.share:
			outcome = g.as
			spoiled++
		case rnd.Float64() < g.others:
			outcome = placement.Errored
		}
		b.FinishRequest(now, c.Target.UID, outcome)
	}
	return spoiled, misplaced
}

var _ = Describe("the detection of outliers by the whole fleet", func() {
	// Symptom: for as long as a target loses the answers of a third of what it runs, owners
	// who write to its chats wait for eight seconds and get nothing; such requests may not be
	// repeated. Sequence: its liveness checks pass; each router sees one request a second go
	// there and two in three succeed. Cause: a router ejectedBy by what it saw alone.
	It("finds in a second or two one that loses answers, where each router sees a sliver", func() {
		alone, _ := greyDay{share: 0.3, as: placement.Failed, alone: true}.play()
		together, _ := greyDay{share: 0.3, as: placement.Failed}.play()
		Expect(together).To(BeNumerically("<", alone/2), "%d spoiled by the fleet's outcomes, %d by each router's own", together, alone)
	})

	It("finds one that fails half of what it gets", func() {
		alone, _ := greyDay{share: 0.5, as: placement.Errored, alone: true}.play()
		together, _ := greyDay{share: 0.5, as: placement.Errored}.play()
		Expect(together).To(BeNumerically("<", alone/2), "%d spoiled by the fleet's outcomes, %d by each router's own", together, alone)
	})

	It("leaves chats at home while all targets fail some, as some services always do", func() {
		_, misplaced := greyDay{others: 0.14}.play()
		Expect(misplaced).To(BeNumerically("<", 60), "of 1,950")
	})

	It("leaves chats at home while all targets fail half of what they get", func() {
		_, misplaced := greyDay{others: 0.45}.play()
		Expect(misplaced).To(BeNumerically("<", 120), "of 1,950")
	})

	It("finds seven of twelve that lose answers", func() {
		alone, _ := greyDay{failing: 7, share: 0.3, as: placement.Failed, alone: true}.play()
		together, _ := greyDay{failing: 7, share: 0.3, as: placement.Failed}.play()
		Expect(together).To(BeNumerically("<", alone*2/3), "%d spoiled by the fleet's outcomes, %d by each router's own", together, alone)
	})

	It("leaves chats at home where one answer in twenty is lost", func() {
		_, misplaced := greyDay{share: 0.05, as: placement.Failed}.play()
		Expect(misplaced).To(BeNumerically("<", 40), "of 1,950")
	})

	// Symptom: a target stays out of work for ever. Sequence: it is ejected, and the others go on
	// telling what they saw before. Cause would be old outcomes that end in a new ejection.
	It("gives a target that has recovered its work back", func() {
		one, other := board(targets(6)...), board(targets(6)...)
		home := place(one, start, 7).Target.UID
		for range 11 {
			other.FinishRequest(start, home, placement.Errored)
			one.FinishRequest(start, home, placement.Neutral)
		}
		one.FinishRequest(start, home, placement.Errored)
		told := other.OutcomesToReport(start)
		Expect(told).To(HaveLen(1))
		Expect(one.ReceiveReport(start, 2, nil, told)).To(HaveLen(1), "ejected by what it heard")
		Expect(place(one, start, 7).Target.UID).NotTo(Equal(home))
		for i := range 100 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			one.ReceiveReport(now, 2, nil, other.OutcomesToReport(now))
		}
		now := start.Add(10 * time.Second)
		Expect(place(one, now, 7).Target.UID).To(Equal(home))
	})

	It("ejects a target for longer if it fails again soon after", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		until := func(now time.Time) time.Duration {
			for range 20 {
				b.FinishRequest(now, home, placement.Errored)
			}
			ejected := time.Duration(0)
			for place(b, now.Add(ejected), 7).Target.UID != home {
				ejected += 100 * time.Millisecond
			}
			return ejected
		}
		first := until(start)
		Expect(until(start.Add(2 * time.Second))).To(Equal(2 * first))
		Expect(until(start.Add(time.Minute))).To(Equal(first))
	})

	It("tells nothing of targets that fail nothing", func() {
		b := board(targets(6)...)
		for range 50 {
			b.FinishRequest(start, place(b, start, 7).Target.UID, placement.Answered)
		}
		Expect(b.OutcomesToReport(start)).To(BeEmpty())
	})

	// Symptom: a target is ejected that fails three in a hundred. Sequence: the one router that saw
	// the failures tells of them; those that saw successes only are silent. Cause would be
	// failures that are counted over fewer ends than there were.
	It("is told with its successes by all once one router tells of a failure", func() {
		one, other := board(targets(6)...), board(targets(6)...)
		uid := targets(6)[0].UID
		one.FinishRequest(start, uid, placement.Errored)
		for range 30 {
			other.FinishRequest(start, uid, placement.Answered)
		}
		Expect(other.OutcomesToReport(start)).To(BeEmpty())
		other.ReceiveReport(start, 1, nil, one.OutcomesToReport(start))
		Expect(other.OutcomesToReport(start)).To(Equal([]placement.TargetOutcomes{{Target: uid, Ended: 30}}))
	})
})
