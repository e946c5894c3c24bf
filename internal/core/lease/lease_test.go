package lease_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lease"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const duration = 10 * time.Second

var start = time.Unix(1000, 0)

// stored is the lease's row in the table.
type stored struct {
	row     lease.Row
	version uint64
}

// holder is one process. A read and the write that follows are separate steps, so
// that it can be paused in between.
type holder struct {
	lease  *lease.Lease
	action lease.Action
}

func (h *holder) read(now time.Time, s *stored) { h.action = h.lease.ObserveRow(now, s.row, s.version) }

// write applies the write of the last read. reply says whether the reply arrives.
func (h *holder) write(now time.Time, s *stored, reply bool) {
	if h.action.Kind != lease.WriteRow {
		return
	}
	a := h.action
	h.action = lease.Action{Kind: lease.Wait}
	if a.Version != s.version {
		h.lease.RecordLoss()
		return
	}
	s.row = a.Row
	s.version++
	if reply {
		h.lease.RecordWrite(now, a.Row)
	}
}

func newHolders(n int, extra time.Duration) []*holder {
	var out []*holder
	for i := range n {
		out = append(out, &holder{lease: lease.New(lease.Settings{Holder: fmt.Sprint(i), Duration: duration, TakeoverDelay: extra})})
	}
	return out
}

var _ = Describe("leases", func() {
	// Symptom: two controllers give a target conflicting orders. Sequence: any mix
	// of pauses, lost replies and races. Cause: two processes hold the lease at once.
	It("are held by at most one process, with rising fencing numbers", func() {
		testkit.Check("2000", func(t *rapid.T) {
			now := start
			s := &stored{}
			all := newHolders(3, 0)
			last := uint64(0)
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				h := all[rapid.IntRange(0, 2).Draw(t, "process")]
				if rapid.Bool().Draw(t, "reads") {
					h.read(now, s)
				} else {
					h.write(now, s, rapid.IntRange(0, 4).Draw(t, "reply") > 0)
				}
				held := 0
				for _, h := range all {
					if fencing, ok := h.lease.HeldFencingToken(now); ok {
						held++
						if fencing < last {
							t.Fatalf("fencing number %d after %d", fencing, last)
						}
						last = fencing
					}
				}
				if held > 1 {
					t.Fatalf("%d processes hold the lease", held)
				}
			}
		})
	})

	take := func(h *holder, now time.Time, s *stored) {
		h.read(now, s)
		h.write(now, s, true)
	}

	// Symptom: an order of a holder that was paused past its lease takes effect after
	// its successor's. Sequence: SIGSTOP, lease runs out, successor orders, SIGCONT.
	It("are no longer held by a process that was paused past them", func() {
		s := &stored{}
		h := newHolders(2, 0)
		take(h[0], start, s)
		_, ok := h[0].lease.HeldFencingToken(start.Add(9 * time.Second))
		Expect(ok).To(BeTrue())
		h[1].read(start.Add(time.Second), s)
		take(h[1], start.Add(12*time.Second), s)
		_, ok = h[0].lease.HeldFencingToken(start.Add(12 * time.Second))
		Expect(ok).To(BeFalse())
		fencing, ok := h[1].lease.HeldFencingToken(start.Add(12 * time.Second))
		Expect(ok).To(BeTrue())
		Expect(fencing).To(Equal(uint64(2)))
	})

	// Symptom: a target that ignores fencing numbers gets two holders' orders.
	// Sequence: the old holder's last order is still under way. Cause: no wait.
	It("are taken over later where targets ignore fencing numbers", func() {
		s := &stored{}
		h := newHolders(2, 2*time.Second)
		take(h[0], start, s)
		h[1].read(start, s)
		take(h[1], start.Add(11*time.Second), s)
		_, ok := h[1].lease.HeldFencingToken(start.Add(11 * time.Second))
		Expect(ok).To(BeFalse())
		take(h[1], start.Add(12*time.Second+1), s)
		_, ok = h[1].lease.HeldFencingToken(start.Add(12*time.Second + 1))
		Expect(ok).To(BeTrue())
	})

	It("are renewed by their holder before they run out", func() {
		s := &stored{}
		h := newHolders(1, 0)
		take(h[0], start, s)
		h[0].read(start.Add(time.Second), s)
		Expect(h[0].action.Kind).To(Equal(lease.KeepLease))
		take(h[0], start.Add(4*time.Second), s)
		Expect(h[0].lease.RemainingTime(start.Add(4 * time.Second))).To(Equal(duration))
	})
})
