package prefill_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/prefill"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	ms = time.Millisecond
	// maxTTL is the longest that a claim may block others from reading a prefix.
	maxTTL = 3 * time.Second
)

var start = time.Unix(1000, 0)

var _ = Describe("the claims of a registrar", func() {
	var c prefill.Claims
	key := prefill.KeyOf("pool", 7)
	BeforeEach(func() { c = prefill.Claims{} })

	// Guards against a prefix that several targets read, or one target twice, at the same time.
	It("grant the first claim only, and tell the others when the read ends, also for the same target", func() {
		Expect(c.Claim(start, key, 1, 400*ms)).To(Equal(prefill.Answer{Granted: true, Target: 1}))
		for _, target := range []uint64{2, 1} {
			Expect(c.Claim(start.Add(100*ms), key, target, 90*ms)).To(Equal(prefill.Answer{Target: 1, Ready: 300 * ms}))
		}
	})

	It("are kept by pool and prefix", func() {
		c.Claim(start, key, 1, 400*ms)
		Expect(c.Claim(start, prefill.KeyOf("other", 7), 2, 400*ms).Granted).To(BeTrue())
		Expect(c.Claim(start, prefill.KeyOf("pool", 8), 2, 400*ms).Granted).To(BeTrue())
	})

	// Guards against a prefix that nobody reads since the claiming request failed or its router was killed.
	It("expire after twice the expected time", func() {
		c.Claim(start, key, 1, 400*ms)
		Expect(c.Claim(start.Add(799*ms), key, 2, 400*ms).Target).To(Equal(uint64(1)))
		Expect(c.Claim(start.Add(800*ms), key, 2, 400*ms)).To(Equal(prefill.Answer{Granted: true, Target: 2}))
	})

	// Guards against waits of 0, which mean a granted claim, while a read takes longer than expected.
	It("state a remaining time also for a read that is overdue", func() {
		c.Claim(start, key, 1, 400*ms)
		Expect(c.Claim(start.Add(400*ms), key, 2, 400*ms)).To(Equal(prefill.Answer{Target: 1, Ready: ms}))
		Expect(c.Claim(start.Add(500*ms), key, 2, 400*ms)).To(Equal(prefill.Answer{Target: 1, Ready: 100 * ms}))
		Expect(c.Claim(start.Add(750*ms), key, 2, 400*ms)).To(Equal(prefill.Answer{Target: 1, Ready: 50 * ms}))
	})

	// Guards against a claim that blocks a prefix for 50 days because of a false figure in a message, and
	// against durations that overflow.
	It("with absurd figures expire after three seconds", func() {
		for i, readTime := range []time.Duration{math.MaxUint32 * ms, math.MaxInt64, 10 * time.Second} {
			k := prefill.KeyOf("pool", uint64(100+i))
			Expect(c.Claim(start, k, 1, readTime).Granted).To(BeTrue())
			Expect(c.Claim(start.Add(maxTTL-1), k, 2, ms).Ready).To(BeNumerically("<=", maxTTL))
			Expect(c.Claim(start.Add(maxTTL), k, 2, ms).Granted).To(BeTrue())
		}
		for i, readTime := range []time.Duration{0, -1, math.MinInt64} {
			k := prefill.KeyOf("pool", uint64(200+i))
			Expect(c.Claim(start, k, 1, readTime).Granted).To(BeTrue())
			Expect(c.Claim(start.Add(10*ms), k, 2, ms).Granted).To(BeTrue())
		}
	})

	// Guards against unbounded memory when callers send thousands of different prefixes, and against
	// refused reads: a registrar without room grants all.
	It("are bounded; beyond that all are granted without a record", func() {
		for i := range uint64(3 * prefill.MaxClaims) {
			Expect(c.Claim(start, prefill.KeyOf("pool", i), i+1, time.Second).Granted).To(BeTrue())
		}
		Expect(c.Len(start)).To(Equal(prefill.MaxClaims))
		Expect(c.Claim(start, prefill.KeyOf("pool", 1), 9, time.Second)).To(Equal(prefill.Answer{Target: 2, Ready: time.Second}))
		Expect(c.Claim(start, prefill.KeyOf("pool", 2*prefill.MaxClaims), 9, time.Second).Granted).To(BeTrue())
		Expect(c.Len(start.Add(2 * time.Second))).To(BeZero())
		c.Claim(start.Add(2*time.Second), key, 1, time.Second)
		Expect(c.Claim(start.Add(2*time.Second), key, 2, time.Second).Granted).To(BeFalse(), "there is room again")
	})

	// Guards against a target far above its load bound after a read, when the requests of all routers that
	// waited for it are sent before the routers see each other's.
	It("name a target to a bounded number of requests, and grant the others", func() {
		c.Claim(start, key, 1, 400*ms)
		for range prefill.MaxWaiters {
			Expect(c.Claim(start, key, 2, 400*ms).Granted).To(BeFalse())
		}
		for range 3 {
			Expect(c.Claim(start, key, 2, 400*ms)).To(Equal(prefill.Answer{Granted: true, Target: 2}))
		}
		Expect(c.Len(start)).To(Equal(1))
	})

	// Compares the claims with a plain list. Guards against two grants within a claim's lifetime, claims
	// that outlive it, and a lost claim when others expire.
	It("agree with a list of all grants in any order of events", func() {
		testkit.Check("300", func(t *rapid.T) {
			type grant struct {
				target             uint64
				waiters            int
				readyAt, expiresAt time.Time
			}
			var c prefill.Claims
			granted := make(map[uint64]*grant)
			now := start
			for range rapid.IntRange(1, 80).Draw(t, "claims") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * ms)
				prefix := rapid.Uint64Range(1, 3).Draw(t, "prefix")
				target := rapid.Uint64Range(1, 4).Draw(t, "target")
				readTime := time.Duration(rapid.IntRange(1, 5000).Draw(t, "read time")) * ms
				got := c.Claim(now, prefill.KeyOf("p", prefix), target, readTime)
				g, ok := granted[prefix]
				ok = ok && now.Before(g.expiresAt)
				if ok && g.waiters < prefill.MaxWaiters {
					g.waiters++
					Expect(got.Granted).To(BeFalse())
					Expect(got.Target).To(Equal(g.target))
					Expect(got.Ready).To(And(BeNumerically(">=", ms), BeNumerically("<=", maxTTL)))
					if now.Before(g.readyAt) {
						Expect(got.Ready).To(Equal(max(g.readyAt.Sub(now), ms)))
					}
					continue
				}
				Expect(got).To(Equal(prefill.Answer{Granted: true, Target: target}))
				if !ok {
					granted[prefix] = &grant{target, 0, now.Add(min(readTime, maxTTL)), now.Add(min(2*readTime, maxTTL))}
				}
			}
			live := 0
			for _, g := range granted {
				if now.Before(g.expiresAt) {
					live++
				}
			}
			Expect(c.Len(now)).To(Equal(live))
		})
	})
})

var _ = Describe("the registrar of a prefix", func() {
	addresses := func(n int) []string {
		out := make([]string, n)
		for i := range out {
			out[i] = fmt.Sprintf("10.0.0.%d:7340", i)
		}
		return out
	}
	without := func(list []string, i int) []string {
		return append(append([]string(nil), list[:i]...), list[i+1:]...)
	}

	// Guards against two registrars of a prefix, which would both grant a claim.
	It("is the same at all routers with the same view, and only prefixes of a lost router move", func() {
		all := addresses(70)
		byRouter := make([]*prefill.Registrars, len(all))
		for i, a := range all {
			byRouter[i] = prefill.NewRegistrars(a)
			byRouter[i].SetOthers(start, without(all, i))
		}
		reduced := prefill.NewRegistrars(all[0])
		reduced.SetOthers(start, without(all, 5)[1:])
		counts := make(map[string]int)
		for i := range uint64(2000) {
			k := prefill.KeyOf("p", i)
			want, _ := byRouter[0].Of(k)
			counts[want]++
			for j, r := range byRouter {
				got, self := r.Of(k)
				Expect(got).To(Equal(want))
				Expect(self).To(Equal(got == all[j]))
			}
			if got, _ := reduced.Of(k); want != all[5] {
				Expect(got).To(Equal(want))
			} else {
				Expect(got).NotTo(Equal(want))
			}
		}
		Expect(len(counts)).To(BeNumerically(">=", 65), "the prefixes are spread over the routers")
	})

	It("is the router itself while it knows no other", func() {
		r := prefill.NewRegistrars("10.0.0.1:1")
		address, self := r.Of(prefill.KeyOf("p", 1))
		Expect(address).To(Equal("10.0.0.1:1"))
		Expect(self).To(BeTrue())
		r.SetOthers(start, addresses(3))
		r.SetOthers(start, nil)
		_, self = r.Of(prefill.KeyOf("p", 1))
		Expect(self).To(BeTrue())
	})

	// Guards against requests that each wait for the timeout of a call to a router that is gone.
	It("is not asked for a second after it failed to answer", func() {
		r := prefill.NewRegistrars("10.0.0.1:1")
		r.RecordSilence(start, "10.0.0.2:1")
		Expect(r.MayAsk(start.Add(999*ms), "10.0.0.2:1")).To(BeFalse())
		Expect(r.MayAsk(start, "10.0.0.3:1")).To(BeTrue())
		r.SetOthers(start.Add(500*ms), []string{"10.0.0.2:1"})
		Expect(r.MayAsk(start.Add(999*ms), "10.0.0.2:1")).To(BeFalse())
		Expect(r.MayAsk(start.Add(time.Second), "10.0.0.2:1")).To(BeTrue())
	})
})

var _ = Describe("the wait of a request", func() {
	held := func(ready time.Duration) prefill.Answer { return prefill.Answer{Target: 1, Ready: ready} }
	patience := prefill.Patience{ReadTime: 400 * ms, Objective: 2 * time.Second, Remaining: 10 * time.Second}

	It("lasts until the read ends", func() {
		Expect(held(300 * ms).Wait(patience)).To(Equal(300 * ms))
		Expect(held(ms).Wait(patience)).To(Equal(ms))
	})

	// Guards against a burst of which each router's slightly different estimate makes the requests read the
	// same prefix.
	It("is allowed for a read that ends a little after the limit", func() {
		Expect(held(450 * ms).Wait(patience)).To(Equal(400 * ms))
	})

	// Guards against waits that cost more than they save, or the objective.
	// Guards against a prefix that one target reads twice since the first read takes longer than expected.
	It("lasts for half of the objective if the request's own target reads the prefix", func() {
		p := prefill.Patience{Target: 1, ReadTime: 100 * ms, Objective: time.Second, Remaining: 10 * time.Second}
		Expect(held(150*ms).Wait(p)).To(Equal(350*ms), "twice its time longer than expected")
		p.ReadTime = 300 * ms
		Expect(held(150*ms).Wait(p)).To(Equal(500*ms), "half of the objective")
		p.ReadTime = 100 * ms
		p.Target = 2
		Expect(held(110*ms).Wait(p)).To(Equal(100*ms), "its own target reads it sooner")
	})

	DescribeTable("is not begun if it is useless", func(a prefill.Answer, p prefill.Patience) {
		Expect(a.Wait(p)).To(BeZero())
	},
		Entry("the claim is granted", prefill.Answer{Granted: true, Target: 1}, patience),
		Entry("the read ends much later than an own one would", held(600*ms), patience),
		Entry("half of the objective passes before", held(300*ms), prefill.Patience{ReadTime: 400 * ms, Objective: 400 * ms, Remaining: 10 * time.Second}),
		Entry("half of the objective passes before, at the same target", held(300*ms), prefill.Patience{Target: 1, ReadTime: 400 * ms, Objective: 400 * ms, Remaining: 10 * time.Second}),
		Entry("little time remains", held(300*ms), prefill.Patience{ReadTime: 400 * ms, Remaining: 500 * ms}),
		Entry("the deadline has passed", held(ms), prefill.Patience{ReadTime: 400 * ms, Remaining: -time.Second}),
		Entry("the answer is garbage: no target", prefill.Answer{Ready: 10 * ms}, patience),
		Entry("the answer is garbage: ready in 50 days", held(math.MaxUint32*ms), patience),
		Entry("the answer is garbage: a negative time", held(-ms), patience),
	)

	It("never exceeds its bounds", func() {
		testkit.Check("500", func(t *rapid.T) {
			duration := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
			p := prefill.Patience{ReadTime: duration("read"), Objective: duration("objective"), Remaining: duration("remaining")}
			w := prefill.Answer{Target: rapid.Uint64().Draw(t, "target"), Ready: duration("ready")}.Wait(p)
			Expect(w).To(BeNumerically(">=", 0))
			if w > 0 {
				Expect(w).To(And(BeNumerically("<=", p.ReadTime), BeNumerically("<=", p.Remaining/4)))
				if p.Objective > 0 {
					Expect(w).To(BeNumerically("<=", p.Objective/4))
				}
			}
		})
	})

	It("pays for prefixes of which no target holds all but 2,048 tokens", func() {
		Expect(prefill.IsWorthClaiming(2048, 0)).To(BeTrue())
		Expect(prefill.IsWorthClaiming(2047, 0)).To(BeFalse())
		Expect(prefill.IsWorthClaiming(10512, 10000)).To(BeFalse())
		Expect(prefill.IsWorthClaiming(-5, 0)).To(BeFalse())
	})
})
