package memory_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	limit   = 8 << 20
	maxWait = 50 * time.Millisecond
	// The parts of the account that large bodies, requests and large answers may fill.
	bodyLevel    = limit * 4 / 8
	answerLevel  = limit * 4 / 8
	requestLevel = limit * 6 / 8
)

var _ = Describe("the memory of many answers", func() {
	var b *memory.Account
	ctx := context.Background()
	BeforeEach(func() { b = memory.NewAccount(limit, maxWait, time.Now) })
	reserve := func() memory.Reservation { return b.Reserve(memory.Answer, "") }

	// Guards against small answers that are refused or wait because large ones took all there is, and against
	// small ones that together take more than there is.
	It("is granted to small answers at once while large ones hold all that they may, up to the limit", func() {
		large := reserve()
		Expect(large.Grow(ctx, answerLevel)).To(Succeed())
		for range (limit - answerLevel) / memory.SmallBytes {
			small := reserve()
			Expect(small.TryGrow(memory.SmallBytes)).To(BeTrue())
			defer small.Release()
		}
		Expect(b.Held()).To(BeEquivalentTo(limit))
		small := reserve()
		Expect(small.TryGrow(1)).To(BeFalse())
	})

	// Guards against large sound answers that fail although memory is free a moment later.
	It("is granted to a large answer once another one has ended", func() {
		first, second := reserve(), reserve()
		Expect(first.Grow(ctx, answerLevel/2+1)).To(Succeed())
		time.AfterFunc(maxWait/5, first.Release)
		Expect(second.Grow(ctx, answerLevel/2)).To(Succeed())
		second.Release()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against the only large answer failing at once for what small answers are about to return.
	It("is granted to the only large answer once small ones have ended", func() {
		large, small := reserve(), make([]memory.Reservation, answerLevel/memory.SmallBytes-2)
		for i := range small {
			small[i] = reserve()
			Expect(small[i].TryGrow(memory.SmallBytes)).To(BeTrue())
		}
		Expect(large.Grow(ctx, 2*memory.SmallBytes)).To(Succeed())
		time.AfterFunc(maxWait/5, small[0].Release)
		Expect(large.Grow(ctx, memory.SmallBytes)).To(Succeed())
	})

	// Guards against requests and connections that are refused because targets send without end.
	It("leaves room for requests however many large answers there are", func() {
		for range 20 {
			large := reserve()
			for large.TryGrow(memory.SmallBytes) {
			}
		}
		r := b.Reserve(memory.Request, "")
		Expect(r.TryGrow(requestLevel - answerLevel - 20*memory.SmallBytes)).To(BeTrue())
	})

	// Guards against large answers that are lost after their requests were executed, because many others are open.
	It("is left for large answers however many requests are open", func() {
		r := b.Reserve(memory.Request, "")
		Expect(r.TryGrow(requestLevel)).To(BeTrue())
		large := reserve()
		Expect(large.Grow(ctx, limit/8)).To(Succeed())
		Expect(large.Grow(ctx, 1)).To(MatchError(memory.ErrExhausted))
	})

	// Guards against large bodies that are refused because many small requests are open.
	It("is left for a large body however many requests are open", func() {
		r := b.Reserve(memory.Request, "")
		Expect(r.TryGrow(requestLevel)).To(BeTrue())
		first, second := b.Reserve(memory.Body, "a"), b.Reserve(memory.Body, "b")
		Expect(first.TryGrow(limit / 8)).To(BeTrue())
		Expect(second.TryGrow(limit / 8)).To(BeFalse())
		first.Release()
		Expect(second.TryGrow(limit / 8)).To(BeTrue())
	})

	// Guards against requests that wait for ever.
	It("is refused after a bounded wait, or with the end of the request, or if it can't be granted", func() {
		first, second := reserve(), reserve()
		Expect(first.Grow(ctx, answerLevel)).To(Succeed())
		Expect(first.Grow(ctx, 1)).To(MatchError(memory.ErrExhausted))
		startedAt := time.Now()
		Expect(second.Grow(ctx, answerLevel+1)).To(MatchError(memory.ErrExhausted))
		Expect(time.Since(startedAt)).To(BeNumerically("<", maxWait/2))
		Expect(second.Grow(ctx, answerLevel)).To(MatchError(memory.ErrExhausted))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", maxWait))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(second.Grow(ended, answerLevel)).To(MatchError(context.Canceled))
		Expect(second.Bytes()).To(BeZero())
		first.Release()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against answers that wait for each other until the end of their time, each with a part of the
	// memory that it needs.
	It("is refused at once to those that hold most, and granted to the others", func() {
		b = memory.NewAccount(limit, time.Minute, time.Now)
		var refused, whole atomic.Int64
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				r := reserve()
				defer r.Release()
				for r.Bytes() < answerLevel && (i > 0 || r.Bytes() < answerLevel/2) {
					if r.Grow(ctx, memory.SmallBytes/2) != nil {
						refused.Add(1)
						return
					}
					time.Sleep(100 * time.Microsecond)
				}
				whole.Add(1)
			})
		}
		startedAt := time.Now()
		all.Wait()
		Expect(time.Since(startedAt)).To(BeNumerically("<", 5*time.Second))
		Expect(refused.Load()).To(BeNumerically("<=", 9))
		Expect(whole.Load()).To(BeNumerically(">=", 1))
		Expect(b.Held()).To(BeZero())
	})

	// Guards against a small need that waits behind a large one that has been given up.
	It("is granted to those behind a call that gave up", func() {
		first := reserve()
		Expect(first.Grow(ctx, answerLevel/2)).To(Succeed())
		var all sync.WaitGroup
		all.Go(func() {
			defer GinkgoRecover()
			large := reserve()
			Expect(large.Grow(ctx, answerLevel)).To(MatchError(memory.ErrExhausted))
		})
		time.Sleep(maxWait / 2)
		behind := reserve()
		Expect(behind.Grow(ctx, answerLevel/4)).To(Succeed())
		all.Wait()
	})

	// Guards against memory beyond the limit, calls that are stuck and bytes that are not returned.
	It("stays within the limit, and is returned, whatever requests, bodies and answers do at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := memory.NewAccount(limit, time.Millisecond, time.Now)
			plans := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64Range(-limit/2, limit*3/4), 1, 6), 1, 8).Draw(t, "plans")
			kinds := rapid.SliceOfN(rapid.SampledFrom([]memory.Kind{memory.Body, memory.Request, memory.Answer}), len(plans), len(plans)).Draw(t, "kinds")
			teams := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), len(plans), len(plans)).Draw(t, "teams")
			var tooMuch atomic.Int64
			var all sync.WaitGroup
			for i, plan := range plans {
				all.Go(func() {
					r := b.Reserve(kinds[i], teams[i])
					defer r.Release()
					for _, n := range plan {
						if n < 0 {
							r.Shrink(min(-n, r.Bytes()))
						} else if r.Grow(ctx, n) == nil && b.Held() > limit {
							tooMuch.Add(1)
						}
					}
				})
			}
			done := make(chan struct{})
			go func() { all.Wait(); close(done) }()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatalf("stuck with %d bytes held", b.Held())
			}
			if b.Held() != 0 || tooMuch.Load() > 0 {
				t.Fatalf("%d bytes held, %d times above the limit", b.Held(), tooMuch.Load())
			}
		})
	})
})
