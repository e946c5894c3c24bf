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

// holder is one process. The read and the subsequent write are separate steps, so that the
// process can stall between them.
type holder struct {
	lease  *lease.Lease
	action lease.Action
}

func (h *holder) read(now time.Time, s *stored) { h.action = h.lease.ObserveRow(now, s.row, s.version) }

// write carries out the write that followed from the last read. reply reports whether the reply
// arrives.
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

func newHolders(n int, takeoverDelay time.Duration) []*holder {
	var out []*holder
	for i := range n {
		out = append(out, &holder{lease: lease.New(lease.Settings{Holder: fmt.Sprint(i), Duration: duration, TakeoverDelay: takeoverDelay})})
	}
	return out
}

var _ = Describe("leases", func() {
	// Guards against conflicting orders of two controllers that both hold the lease, under any
	// mix of stalls, lost replies and races.
	It("are held by at most one process, with increasing fencing tokens", func() {
		testkit.Check("2000", func(t *rapid.T) {
			now := start
			s := &stored{}
			holders := newHolders(3, 0)
			lastToken := uint64(0)
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				h := holders[rapid.IntRange(0, 2).Draw(t, "process")]
				if rapid.Bool().Draw(t, "reads") {
					h.read(now, s)
				} else {
					h.write(now, s, rapid.IntRange(0, 4).Draw(t, "reply") > 0)
				}
				holderCount := 0
				for _, h := range holders {
					if token, ok := h.lease.HeldFencingToken(now); ok {
						holderCount++
						if token < lastToken {
							t.Fatalf("fencing token %d after %d", token, lastToken)
						}
						lastToken = token
					}
				}
				if holderCount > 1 {
					t.Fatalf("%d processes hold the lease", holderCount)
				}
			}
		})
	})

	acquire := func(h *holder, now time.Time, s *stored) {
		h.read(now, s)
		h.write(now, s, true)
	}

	// Guards against an order of a stalled holder that takes effect after an order of its
	// successor: the process is stopped, its lease expires, the successor sends an order, and
	// the process continues.
	It("are not held any more by a process that stalled until they expired", func() {
		s := &stored{}
		h := newHolders(2, 0)
		acquire(h[0], start, s)
		_, ok := h[0].lease.HeldFencingToken(start.Add(9 * time.Second))
		Expect(ok).To(BeTrue())
		h[1].read(start.Add(time.Second), s)
		acquire(h[1], start.Add(12*time.Second), s)
		_, ok = h[0].lease.HeldFencingToken(start.Add(12 * time.Second))
		Expect(ok).To(BeFalse())
		token, ok := h[1].lease.HeldFencingToken(start.Add(12 * time.Second))
		Expect(ok).To(BeTrue())
		Expect(token).To(Equal(uint64(2)))
	})

	// Guards against orders of two holders at a target that ignores fencing tokens: the old
	// holder's last order may still be in transit, so the new holder has to wait for the
	// takeover delay.
	It("are taken over after an additional delay if targets ignore fencing tokens", func() {
		s := &stored{}
		h := newHolders(2, 2*time.Second)
		acquire(h[0], start, s)
		h[1].read(start, s)
		acquire(h[1], start.Add(11*time.Second), s)
		_, ok := h[1].lease.HeldFencingToken(start.Add(11 * time.Second))
		Expect(ok).To(BeFalse())
		acquire(h[1], start.Add(12*time.Second+1), s)
		_, ok = h[1].lease.HeldFencingToken(start.Add(12*time.Second + 1))
		Expect(ok).To(BeTrue())
	})

	It("are renewed by their holder before they expire", func() {
		s := &stored{}
		h := newHolders(1, 0)
		acquire(h[0], start, s)
		h[0].read(start.Add(time.Second), s)
		Expect(h[0].action.Kind).To(Equal(lease.KeepLease))
		acquire(h[0], start.Add(4*time.Second), s)
		Expect(h[0].lease.RemainingTime(start.Add(4 * time.Second))).To(Equal(duration))
	})
})
