package memory_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// body is a caller's body, which releases its memory when it has to give way.
type body struct {
	memory.Reservation
	*memory.Transfer
	hasEnded atomic.Bool
}

var _ = Describe("a shortage of memory", func() {
	const mb = 1 << 20
	ctx := context.Background()
	var a *memory.Account
	var clock *testkit.Clock
	BeforeEach(func() {
		clock = testkit.NewClock()
		a = memory.NewAccount(limit, time.Second, clock.Now)
	})
	// begin begins a body of total bytes that has n of them and 10 s left.
	begin := func(team string, n, total int64) *body {
		GinkgoHelper()
		b := &body{Reservation: a.Reserve(memory.Body, team)}
		Expect(b.TryGrow(n)).To(BeTrue())
		b.Transfer = b.Begin(total, clock.Now().Add(10*time.Second), func() {
			b.hasEnded.Store(true)
			b.Release()
		})
		b.Moved(n)
		return b
	}
	reserve := func(k memory.Kind, team string) *memory.Reservation {
		r := a.Reserve(k, team)
		return &r
	}

	// Guards against callers that stop short of the end of their bodies, and keep those out that send theirs.
	It("ends bodies that don't arrive for one that does, those first that are silent for longest", func() {
		silent, slow := begin("a", mb, 2*mb), begin("b", mb, 2*mb)
		clock.Advance(300 * time.Millisecond)
		arriving := begin("c", mb, 2*mb)
		for range 3 {
			clock.Advance(200 * time.Millisecond)
			slow.Moved(10) // would take hours
			arriving.Moved(1 << 17)
		}
		Expect(reserve(memory.Body, "d").Grow(ctx, mb)).To(Succeed())
		Expect(silent.hasEnded.Load()).To(BeTrue())
		Expect(slow.hasEnded.Load()).To(BeFalse(), "enough is free")
		Expect(reserve(memory.Body, "e").Grow(ctx, mb)).To(Succeed())
		Expect(slow.hasEnded.Load()).To(BeTrue())
		Expect(arriving.hasEnded.Load()).To(BeFalse())
	})

	// Guards against callers on slow links, or whose router makes them wait, that are taken for ones that don't send.
	It("ends no body that will be complete in time, nor one that waits for memory itself", func() {
		steady, paused, chunked := begin("a", mb/2, mb), begin("b", mb/2, mb), begin("c", mb/2, -1)
		paused.Pause()
		for range 5 {
			clock.Advance(200 * time.Millisecond)
			steady.Moved(16 << 10) // 6.5 s for the rest
			chunked.Moved(16 << 10)
		}
		filler := reserve(memory.Request, "")
		Expect(filler.TryGrow(bodyLevel - mb*3/2)).To(BeTrue())
		soon, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		Expect(reserve(memory.Body, "d").Grow(soon, mb)).To(MatchError(context.DeadlineExceeded))
		for _, b := range []*body{steady, paused, chunked} {
			Expect(b.hasEnded.Load()).To(BeFalse())
		}
	})

	// Guards against bodies that are ended for the time for which they themselves had to wait.
	It("does not count the time for which a body waited against its pace", func() {
		waited := begin("a", memory.SmallBytes, 2*mb)
		waited.Pause()
		clock.Advance(4 * time.Second)
		waited.Resume()
		for range 3 {
			clock.Advance(100 * time.Millisecond)
			waited.Moved(64 << 10) // 3 s for the rest, 5.7 s are left
		}
		Expect(reserve(memory.Request, "").TryGrow(requestLevel - memory.SmallBytes)).To(BeTrue())
		Expect(reserve(memory.Request, "").Grow(ctx, 1000)).To(MatchError(memory.ErrExhausted))
		Expect(waited.hasEnded.Load()).To(BeFalse())
	})

	// Guards against transfers that are ended without need.
	It("is not there while memory is left", func() {
		silent := begin("a", mb, 2*mb)
		clock.Advance(5 * time.Second)
		Expect(reserve(memory.Body, "b").Grow(ctx, mb)).To(Succeed())
		a.Reclaim()
		Consistently(silent.hasEnded.Load, "50ms").Should(BeFalse())
	})

	// Guards against a team whose bodies take all memory, so that other teams' bodies are refused.
	It("leaves each team a share, however many bodies one of them sends", func() {
		const size = mb / 2
		for range 2 * bodyLevel / size {
			reserve(memory.Body, "greedy").TryGrow(size)
		}
		Expect(a.Held()).To(BeNumerically(">=", bodyLevel/2))
		for _, team := range []string{"second", "third"} {
			Expect(reserve(memory.Body, team).TryGrow(size)).To(BeTrue(), team)
		}
	})

	// Guards against a team that waits for its own share and keeps those of other teams waiting behind it.
	It("lets bodies of other teams pass those of a team that has its share", func() {
		var greedy []*memory.Reservation
		for b := reserve(memory.Body, "greedy"); b.TryGrow(mb); b = reserve(memory.Body, "greedy") {
			greedy = append(greedy, b)
		}
		waited := make(chan error, 1)
		go func() { waited <- reserve(memory.Body, "greedy").Grow(ctx, mb) }()
		time.Sleep(20 * time.Millisecond)
		Expect(reserve(memory.Body, "other").Grow(ctx, mb)).To(Succeed())
		Expect(waited).NotTo(Receive())
		greedy[0].Release()
		greedy[1].Release()
		Eventually(waited).Should(Receive(BeNil()))
	})

	// Guards against a limit that a single caller meets: the largest body that an operator allows.
	It("is none for a single body that takes nearly all of it", func() {
		Expect(reserve(memory.Body, "a").Grow(ctx, limit*7/8)).To(Succeed())
	})

	// Guards against answers that are lost after their requests were executed, for bodies that no target has yet.
	It("ends bodies that arrive in time for answers, and bodies that are complete for nothing", func() {
		complete := reserve(memory.Body, "a")
		Expect(complete.TryGrow(2 * mb)).To(BeTrue())
		arriving := begin("b", mb, 2*mb)
		Expect(reserve(memory.Answer, "").Grow(ctx, 2*mb)).To(Succeed())
		Expect(arriving.hasEnded.Load()).To(BeTrue())
		Expect(complete.Bytes()).To(BeEquivalentTo(2 * mb))
	})

	// Guards against ordinary requests that are refused for bodies that don't arrive, and against ones that wait for nothing.
	It("ends bodies that don't arrive for a request, which is refused at once if there are none", func() {
		silent := begin("a", mb, 2*mb)
		Expect(reserve(memory.Request, "").TryGrow(requestLevel - mb)).To(BeTrue())
		startedAt := time.Now()
		Expect(reserve(memory.Request, "").Grow(ctx, 1000)).To(MatchError(memory.ErrExhausted))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
		clock.Advance(time.Second)
		Expect(reserve(memory.Request, "").Grow(ctx, 1000)).To(Succeed())
		Expect(silent.hasEnded.Load()).To(BeTrue())
	})

	// Guards against callers that take nothing of their answers, for which the kernel holds more than is counted.
	It("counts what is unread of an answer while its caller takes nothing, and ends it when nothing else helps", func() {
		r := reserve(memory.Request, "")
		Expect(r.TryGrow(mb)).To(BeTrue())
		var hasEnded atomic.Bool
		answer := r.BeginAnswer(mb, func() { hasEnded.Store(true) })
		Expect(a.Held()).To(BeEquivalentTo(2 * mb))
		answer.Pause()
		Expect(a.Held()).To(BeEquivalentTo(mb))
		answer.Resume()
		Expect(reserve(memory.Request, "").TryGrow(requestLevel - 2*mb)).To(BeTrue())
		clock.Advance(900 * time.Millisecond)
		Expect(reserve(memory.Request, "").Grow(ctx, 1000)).To(MatchError(memory.ErrExhausted))
		clock.Advance(200 * time.Millisecond)
		Expect(a.EndLagging(3)).To(Equal(1))
		Eventually(hasEnded.Load).Should(BeTrue())
		answer.Done()
		r.Release()
		Expect(a.Held()).To(BeEquivalentTo(requestLevel - 2*mb))
	})

	// Guards against a changed limit that holds only after a restart.
	It("follows a changed limit", func() {
		r := reserve(memory.Request, "")
		Expect(r.TryGrow(requestLevel)).To(BeTrue())
		a.SetLimit(2 * limit)
		Expect(r.TryGrow(requestLevel)).To(BeTrue())
		a.SetLimit(limit)
		Expect(reserve(memory.Request, "").TryGrow(1)).To(BeFalse())
	})
})
