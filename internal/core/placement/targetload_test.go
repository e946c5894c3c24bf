package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// newScheduledBalancer returns a Balancer whose settings ask for scheduling by work.
func newScheduledBalancer(list ...placement.Target) *placement.Balancer {
	s := placement.DefaultSettings("a")
	s.ScheduleByWork = true
	b := placement.New(s, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(start, map[string][]placement.Target{pool: list})
	return b
}

func report(running, waiting int, pace float64) targetload.Report {
	return targetload.Report{Running: running, Waiting: waiting, Slots: 24, Pace: pace}
}

var _ = Describe("the load that targets report", func() {
	var (
		list []placement.Target
		uid  uint64
		b    *placement.Balancer
	)
	BeforeEach(func() {
		list = targets(3)
		uid = list[0].UID
		b = newBalancer(list...)
	})
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

	// Guards against garbage figures that switch scheduling by work on, or move requests.
	It("changes nothing if its figures are garbage", func() {
		for _, r := range []targetload.Report{report(-1, 0, 2), report(0, 2_000_000, 2), report(1, 1, 1000), {Running: 1, Pace: 2}} {
			Expect(b.RecordTargetLoad(start, uid, r)).NotTo(BeEmpty())
		}
		Expect(b.IsScheduledByWork(pool)).To(BeFalse())
		Expect(b.Pace(start, uid)).To(BeNumerically("==", 1))
		Expect(b.ScheduledOpen(start, uid)).To(BeZero())
		Expect(b.TargetLoads(start)).To(BeEmpty())
	})

	// Guards against state that carries over from one lifetime of a target to the next, and against late
	// answers of a lifetime that has ended.
	It("counts for the lifetime that reported it only", func() {
		Expect(b.RecordTargetLoad(start, uid, report(20, 5, 4))).To(BeEmpty())
		next := list[0]
		next.UID, next.StartedAtMs = uid+1, 7
		b.SetTargets(ms(10), map[string][]placement.Target{pool: {next, list[1], list[2]}})
		Expect(b.Pace(ms(20), next.UID)).To(BeNumerically("==", 1))
		Expect(b.ScheduledOpen(ms(20), next.UID)).To(BeZero())
		Expect(b.RecordTargetLoad(ms(20), uid, report(20, 5, 4))).To(Equal(targetload.FaultLifetime))
		Expect(b.TargetLoads(ms(20))).To(BeEmpty())
		Expect(b.RecordTargetLoad(ms(20), 12345, report(1, 1, 1))).To(Equal(targetload.FaultLifetime))
	})

	// Guards against a removed target with open requests whose late answers switch scheduling by work on.
	It("is ignored if its target was removed while requests were open there", func() {
		c := place(b, start, 7)
		b.SetTargets(ms(1), map[string][]placement.Target{pool: slices.DeleteFunc(slices.Clone(list), func(t placement.Target) bool { return t.UID == c.Target.UID })})
		Expect(b.RecordTargetLoad(ms(2), c.Target.UID, report(1, 1, 2))).To(Equal(targetload.FaultLifetime))
		Expect(b.IsScheduledByWork(pool)).To(BeFalse())
	})

	// Guards against a pool that changes between two ways of scheduling, when all its targets are replaced.
	It("switches scheduling by work on with the first pace, for as long as the process runs", func() {
		Expect(b.RecordTargetLoad(start, uid, report(1, 0, 0))).To(BeEmpty())
		Expect(b.IsScheduledByWork(pool)).To(BeFalse(), "a report without a pace")
		Expect(b.RecordTargetLoad(start, uid, report(1, 0, 1))).To(BeEmpty())
		Expect(b.IsScheduledByWork(pool)).To(BeTrue())
		b.SetTargets(ms(1), nil)
		Expect(b.IsScheduledByWork(pool)).To(BeFalse(), "there is no such pool")
		b.SetTargets(ms(2), map[string][]placement.Target{pool: list})
		Expect(b.IsScheduledByWork(pool)).To(BeTrue())
	})

	// Guards against one router that switches another one's pools to scheduling by work.
	It("does not switch scheduling by work on by the reports of other routers", func() {
		b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Unread: 512, Memory: 4096, Pace: 2}}, nil)
		Expect(b.IsScheduledByWork(pool)).To(BeFalse())
	})

	// Guards against an old pace of 1 that hides that a target has become slow or fast since.
	It("is never overridden by an older pace of 1", func() {
		for _, pace := range []float64{4, 0.5} {
			b = newBalancer(list...)
			b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Pace: 1}}, nil)
			Expect(b.RecordTargetLoad(ms(700), uid, report(1, 0, pace))).To(BeEmpty())
			Expect(b.Pace(ms(710), uid)).To(BeNumerically("==", pace), "its own")

			b = newBalancer(list...)
			Expect(b.RecordTargetLoad(start, uid, report(1, 0, 1))).To(BeEmpty())
			b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Pace: 1}}, nil)
			b.ReceiveReport(ms(700), 2, []placement.Load{{Target: uid, Open: 1, Pace: pace}}, nil)
			Expect(b.Pace(ms(710), uid)).To(BeNumerically("==", pace), "another router's")
		}
	})

	It("is the largest of the paces that fresh sources report", func() {
		b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Pace: 2}}, nil)
		b.ReceiveReport(start, 2, []placement.Load{{Target: uid, Open: 1, Pace: 3}}, nil)
		Expect(b.Pace(ms(100), uid)).To(BeNumerically("==", 3))
		b.ReceiveReport(ms(100), 2, []placement.Load{{Target: uid, Open: 1, Pace: 1.5}}, nil)
		Expect(b.Pace(ms(100), uid)).To(BeNumerically("==", 2))
	})

	// Guards against a target that stays avoided, or becomes usual at once, when digests are lost.
	It("decays towards 1 when digests are lost", func() {
		b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Pace: 3, Memory: 4096, Unread: 512}}, nil)
		Expect(b.Pace(ms(300), uid)).To(BeNumerically("~", 3, 1e-9))
		Expect(b.Pace(ms(900), uid)).To(BeNumerically("~", 2, 1e-9))
		b.ExpireReports(ms(1501))
		Expect(b.Pace(ms(1501), uid)).To(BeNumerically("==", 1))
		Expect(b.MemoryOpen(uid)).To(BeZero())
		Expect(b.UnreadBacklog(uid)).To(BeZero())
	})

	// Guards against a pace that is forgotten at once when the only router that got it has no newer one.
	It("decays when its source no longer has a fresh pace", func() {
		b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 1, Pace: 3}}, nil)
		b.ReceiveReport(ms(100), 1, []placement.Load{{Target: uid, Open: 1}}, nil)
		Expect(b.Pace(ms(900), uid)).To(BeNumerically("~", 2, 1e-9))
	})

	// Guards against new requests to a target that is full with those of a killed router: its reports expire
	// after 1.5 s, while the target still executes the requests.
	It("raises the count of open requests by those of a killed router", func() {
		b.ReceiveReport(start, 1, []placement.Load{{Target: uid, Open: 20}}, nil)
		Expect(b.ScheduledOpen(ms(100), uid)).To(Equal(20))
		b.ExpireReports(ms(1600))
		Expect(b.ScheduledOpen(ms(1600), uid)).To(BeZero())
		Expect(b.RecordTargetLoad(ms(1600), uid, report(18, 2, 1))).To(BeEmpty())
		Expect(b.ScheduledOpen(ms(1900), uid)).To(Equal(20))
		Expect(b.ScheduledOpen(ms(1901), uid)).To(BeZero(), "the report is old")
		Expect(b.OpenByTarget()[list[0].ID]).To(BeZero(), "the fleet's count stays as it is")
	})

	// Guards against memory and unread tokens that stay counted after requests have ended.
	It("counts the memory and the unread tokens of open requests until they end", func() {
		b = newScheduledBalancer(list...)
		c, ok := b.Place(start, placement.Request{Pool: pool, ChatHash: 7, PromptTokens: 1000, MemoryTokens: 1500})
		Expect(ok).To(BeTrue())
		Expect(b.OwnLoads(start)).To(Equal([]placement.Load{{Target: c.Target.UID, Open: 1, Unread: 1000, Memory: 1500}}))
		b.ReceiveReport(start, 1, []placement.Load{{Target: c.Target.UID, Open: 2, Unread: 512, Memory: 8192}}, nil)
		Expect(b.UnreadBacklog(c.Target.UID)).To(Equal(1512))
		Expect(b.MemoryOpen(c.Target.UID)).To(Equal(9692))
		b.RecordFirstEvent(ms(10), c, true)
		Expect(b.UnreadBacklog(c.Target.UID)).To(Equal(512))
		Expect(b.MemoryOpen(c.Target.UID)).To(Equal(9692))
		b.RecordFirstEvent(ms(10), c, false)
		b.FinishPlacement(ms(20), c, placement.Answered)
		Expect(b.UnreadBacklog(c.Target.UID)).To(Equal(512))
		Expect(b.MemoryOpen(c.Target.UID)).To(Equal(8192))
	})

	// Guards against larger digests in deployments without scheduling by work.
	It("is not part of load reports for pools that are not scheduled by work", func() {
		c, ok := b.Place(start, placement.Request{Pool: pool, ChatHash: 7, PromptTokens: 1000, MemoryTokens: 1500})
		Expect(ok).To(BeTrue())
		Expect(b.RecordTargetLoad(start, c.Target.UID, report(1, 0, 0))).To(BeEmpty())
		Expect(b.OwnLoads(start)).To(Equal([]placement.Load{{Target: c.Target.UID, Open: 1}}))
	})

	// Guards against an old pace that other routers take for new, since digests carry no ages.
	It("is part of load reports while it is fresh", func() {
		c := place(b, start, 7)
		Expect(b.RecordTargetLoad(start, c.Target.UID, report(1, 0, 2.47))).To(BeEmpty())
		Expect(b.OwnLoads(ms(300))[0].Pace).To(BeNumerically("~", 2.5, 1e-9))
		Expect(b.OwnLoads(ms(301))[0].Pace).To(BeZero())
	})

	// Guards against sums that drift or become negative when sources report in any order, expire, are forgotten,
	// and targets come and go: requests would avoid a target for ever, or flood it.
	It("has the sums of the sources that are known now, and none is negative", func() {
		testkit.Check("200", func(t *rapid.T) {
			list := targets(4)
			b := newScheduledBalancer(list...)
			now := start
			reports := map[uint32][]placement.Load{}
			receivedAt := map[uint32]time.Time{}
			own := map[uint64]placement.Load{}
			var open []placement.Choice
			memory := map[int]int{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				source := uint32(rapid.IntRange(1, 4).Draw(t, "source"))
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0, 1:
					var loads []placement.Load
					for range rapid.IntRange(0, 5).Draw(t, "loads") {
						loads = append(loads, placement.Load{
							Target: list[rapid.IntRange(0, 3).Draw(t, "target")].UID, Open: rapid.IntRange(0, 9).Draw(t, "open"),
							Unread: 512 * rapid.IntRange(0, 1<<20).Draw(t, "unread"), Memory: 4096 * rapid.IntRange(0, 1<<20).Draw(t, "memory"),
							Pace: float64(rapid.IntRange(0, 30).Draw(t, "pace")) / 10,
						})
					}
					reports[source], receivedAt[source] = loads, now
					b.ReceiveReport(now, source, loads, nil)
				case 2:
					delete(reports, source)
					b.ForgetSource(source)
				case 3:
					for s := range reports {
						if now.Sub(receivedAt[s]) > 1500*time.Millisecond {
							delete(reports, s)
						}
					}
					b.ExpireReports(now)
				case 4:
					tokens := rapid.IntRange(-5, 5000).Draw(t, "tokens")
					if c, ok := b.Place(now, placement.Request{Pool: pool, ChatHash: uint64(source), PromptTokens: 700, MemoryTokens: tokens}); ok {
						memory[len(open)] = max(tokens, 0)
						open = append(open, c)
						l := own[c.Target.UID]
						l.Unread, l.Memory = l.Unread+700, l.Memory+max(tokens, 0)
						own[c.Target.UID] = l
					}
				case 5:
					if n := len(open) - 1; n >= 0 {
						c := open[n]
						open = open[:n]
						b.RecordFirstEvent(now, c, false)
						b.FinishPlacement(now, c, placement.Neutral)
						l := own[c.Target.UID]
						l.Unread, l.Memory = l.Unread-700, l.Memory-memory[n]
						own[c.Target.UID] = l
					}
				}
				if rapid.IntRange(0, 9).Draw(t, "relist") == 0 {
					b.SetTargets(now, map[string][]placement.Target{pool: list[:3]})
					b.SetTargets(now, map[string][]placement.Target{pool: list})
				}
				for _, target := range list {
					want := placement.Load{Target: target.UID}
					for _, loads := range reports {
						for _, l := range loads {
							if l.Target == target.UID {
								want.Open, want.Unread, want.Memory, want.Pace = want.Open+l.Open, want.Unread+l.Unread, want.Memory+l.Memory, max(want.Pace, l.Pace)
							}
						}
					}
					if got := b.PeerSums(target.UID); got != want {
						t.Fatalf("sums of %s are %+v, want %+v", target.ID, got, want)
					}
					l := own[target.UID]
					if u, m := b.UnreadBacklog(target.UID), b.MemoryOpen(target.UID); u != want.Unread+l.Unread || m != want.Memory+l.Memory || min(u, m) < 0 {
						t.Fatalf("unread %d and memory %d of %s, want %+v and %+v", u, m, target.ID, want, l)
					}
					if p := b.Pace(now, target.UID); p < 0.1-1e-9 || p > 3+1e-9 {
						t.Fatalf("pace %g", p)
					}
				}
			}
		})
	})
})
