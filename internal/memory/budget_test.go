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
	limit   = 1 << 20
	maxWait = 50 * time.Millisecond
)

var _ = Describe("the memory of many answers", func() {
	var b *memory.Budget
	ctx := context.Background()
	BeforeEach(func() { b = memory.NewBudget(limit, maxWait) })

	// Guards against small answers that are refused or wait because large ones took all there is.
	It("is granted to small answers at once while large ones hold all of it", func() {
		large := b.Reserve()
		Expect(large.Grow(ctx, limit)).To(Succeed())
		for range 100 {
			small := b.Reserve()
			Expect(small.TryGrow(memory.FreeBytes)).To(BeTrue())
			defer small.Release()
		}
		Expect(b.Held()).To(BeEquivalentTo(limit + 100*memory.FreeBytes))
	})

	// Guards against large sound answers that fail although memory is free a moment later.
	It("is granted to a large answer once another one has ended", func() {
		first, second := b.Reserve(), b.Reserve()
		Expect(first.Grow(ctx, limit/2+1)).To(Succeed())
		time.AfterFunc(maxWait/5, first.Release)
		Expect(second.Grow(ctx, limit/2)).To(Succeed())
		second.Release()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against the only large answer failing at once for what small answers are about to return.
	It("is granted to the only large answer once small ones have ended", func() {
		large, small := b.Reserve(), make([]memory.Reservation, limit/memory.FreeBytes-2)
		for i := range small {
			small[i] = b.Reserve()
			Expect(small[i].TryGrow(memory.FreeBytes)).To(BeTrue())
		}
		Expect(large.Grow(ctx, 2*memory.FreeBytes)).To(Succeed())
		time.AfterFunc(maxWait/5, small[0].Release)
		Expect(large.Grow(ctx, memory.FreeBytes)).To(Succeed())
	})

	// Guards against requests that wait for ever.
	It("is refused after a bounded wait, or with the end of the request, or if it can't be granted", func() {
		first, second := b.Reserve(), b.Reserve()
		Expect(first.Grow(ctx, limit)).To(Succeed())
		Expect(first.Grow(ctx, 1)).To(MatchError(memory.ErrExhausted))
		startedAt := time.Now()
		Expect(second.Grow(ctx, limit+1)).To(MatchError(memory.ErrExhausted))
		Expect(time.Since(startedAt)).To(BeNumerically("<", maxWait/2))
		Expect(second.Grow(ctx, limit)).To(MatchError(memory.ErrExhausted))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", maxWait))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(second.Grow(ended, limit)).To(MatchError(context.Canceled))
		Expect(second.Bytes()).To(BeZero())
		first.Release()
		Expect(b.Held()).To(BeZero())
	})

	// Guards against answers that wait for each other until the end of their time, each with a part of the
	// memory that it needs.
	It("is refused at once to those that hold most, and granted to the others", func() {
		b = memory.NewBudget(limit, time.Minute)
		var refused, whole atomic.Int64
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				r := b.Reserve()
				defer r.Release()
				for r.Bytes() < limit && (i > 0 || r.Bytes() < limit/2) {
					if r.Grow(ctx, memory.FreeBytes/2) != nil {
						refused.Add(1)
						return
					}
					time.Sleep(time.Millisecond)
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
		first := b.Reserve()
		Expect(first.Grow(ctx, limit/2)).To(Succeed())
		var all sync.WaitGroup
		all.Go(func() {
			defer GinkgoRecover()
			large := b.Reserve()
			Expect(large.Grow(ctx, limit)).To(MatchError(memory.ErrExhausted))
		})
		time.Sleep(maxWait / 2)
		behind := b.Reserve()
		Expect(behind.Grow(ctx, limit/4)).To(Succeed())
		all.Wait()
	})

	// Guards against memory beyond the limit, calls that are stuck and bytes that are not returned.
	It("stays within the limit but for small answers, and is returned, whatever answers do at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := memory.NewBudget(limit, time.Millisecond)
			plans := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64Range(-limit/2, limit*3/4), 1, 6), 1, 8).Draw(t, "plans")
			var large, tooMuch atomic.Int64
			var all sync.WaitGroup
			for _, plan := range plans {
				all.Go(func() {
					r := b.Reserve()
					defer r.Release()
					for _, n := range plan {
						before := max(r.Bytes()-memory.FreeBytes, 0)
						if n < 0 {
							n = max(n, -r.Bytes())
							large.Add(max(r.Bytes()+n-memory.FreeBytes, 0) - before)
							r.Shrink(-n)
						} else if r.Grow(ctx, n) == nil && large.Add(max(r.Bytes()-memory.FreeBytes, 0)-before) > limit {
							tooMuch.Add(1)
						}
					}
					large.Add(-max(r.Bytes()-memory.FreeBytes, 0))
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
