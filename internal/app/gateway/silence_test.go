package gateway

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silenceTimeoutOfTest is long enough for a timer not to expire before a test makes it expire.
const silenceTimeoutOfTest = time.Hour

// fakeSilenceTimer is a silenceTimer whose clock and expiries a test controls.
type fakeSilenceTimer struct {
	*silenceTimer
	clock    atomic.Int64 // nanoseconds since startedAt
	silences atomic.Int32
}

var silenceTestStart = time.Unix(1000, 0)

func newFakeSilenceTimer() *fakeSilenceTimer {
	f := &fakeSilenceTimer{}
	f.silenceTimer = newSilenceTimer(f.read, func() { f.silences.Add(1) })
	return f
}

func (f *fakeSilenceTimer) read() time.Time {
	return silenceTestStart.Add(time.Duration(f.clock.Load()))
}

var _ = Describe("the timer for silent targets", func() {
	// Guards against a router that exits with all its requests because its process stalled between
	// the start of a timer and the moment at which the attempt knew it.
	It("may expire before the call that starts it returns", func() {
		f := newFakeSilenceTimer()
		panics := make(chan any, 10)
		f.afterFunc = func(d time.Duration, expire func()) *time.Timer {
			timer := time.AfterFunc(0, func() {
				defer func() { panics <- recover() }()
				expire()
			})
			time.Sleep(300 * time.Millisecond) // the stall
			return timer
		}
		f.clock.Store(int64(5 * time.Second))
		f.start(silenceTestStart, time.Second) // late by 4 s, as after a stall: it is started again
		Eventually(panics, 5*time.Second).Should(Receive(BeNil()))
		f.clock.Add(int64(minSilenceTimeout))
		Eventually(f.hasExpired, 5*time.Second).Should(BeTrue())
	})

	// Guards against a silence that is counted against a target after its attempt has ended: an
	// expiry that was running then started the timer again.
	It("does not expire after it was stopped, even if an expiry was running", func() {
		f := newFakeSilenceTimer()
		entered, resume := make(chan struct{}), make(chan struct{})
		var held atomic.Bool
		f.now = func() time.Time {
			if held.CompareAndSwap(false, true) {
				close(entered)
				<-resume
			}
			return f.read()
		}
		f.start(silenceTestStart, silenceTimeoutOfTest)
		f.clock.Store(int64(2 * silenceTimeoutOfTest)) // late, as after a stall
		go f.expire()
		<-entered
		stopped := make(chan struct{})
		go func() { f.stop(); close(stopped) }()
		select { // stop may wait for the expiry
		case <-stopped:
		case <-time.After(300 * time.Millisecond):
		}
		close(resume)
		Eventually(stopped, 5*time.Second).Should(BeClosed())
		f.clock.Add(int64(minSilenceTimeout))
		Consistently(f.silences.Load, 2*minSilenceTimeout).Should(BeZero())
		f.expire()
		Expect(f.silences.Load()).To(BeZero())
	})

	// Guards against a target that counts as silent too early: an expiry of the timer's previous
	// start shortened the new one.
	It("keeps the whole time of a new start if an earlier expiry runs after it", func() {
		f := newFakeSilenceTimer()
		f.start(silenceTestStart, silenceTimeoutOfTest)
		f.start(silenceTestStart, 2*silenceTimeoutOfTest)
		f.clock.Store(int64(silenceTimeoutOfTest))
		f.expire()
		f.clock.Store(int64(silenceTimeoutOfTest + minSilenceTimeout))
		f.expire()
		Expect(f.silences.Load()).To(BeZero())
		f.clock.Store(int64(2 * silenceTimeoutOfTest))
		f.expire()
		Expect(f.silences.Load()).To(BeEquivalentTo(1))
	})
})
