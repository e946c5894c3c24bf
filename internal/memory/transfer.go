package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// observationTime is how long a transfer is observed before its pace counts.
	observationTime = 250 * time.Millisecond
	// takeTime is how long a caller may take nothing of its answer before the answer gives way to others.
	takeTime = time.Second
)

// Transfer is a body that a caller sends, or an answer that it takes. While memory is short, transfers are ended that
// would not be complete by their deadlines at their pace, bodies before answers, and those first whose callers
// have done nothing for longest. A shortage of memory for answers also ends bodies that arrive in time: no target has
// them yet. It is safe for concurrent use.
type Transfer struct {
	reservation *Reservation
	deadline    time.Time
	end         func()

	// Guarded by Account.mu.
	total     int64     // bytes in all; -1 if unknown
	moved     int64     // bytes so far
	isPaused  bool      // the caller is not waited for
	unread    int64     // bytes of an answer that the kernel may hold while the caller is waited for
	hasEnded  bool      // end was called
	startedAt time.Time // when the observation began
	lastAt    time.Time // when bytes last moved
	recent    [2]mark   // the newest and the one before
}

// mark is how many bytes had moved at a time.
type mark struct {
	at    time.Time
	moved int64
}

// Begin registers a transfer of total bytes, -1 if unknown, whose memory is r. end is called at most once, on a
// goroutine of its own, if the transfer has to give way; it must cause r to be released. Done must follow.
func (r *Reservation) Begin(total int64, deadline time.Time, end func()) *Transfer {
	a := r.account
	now := a.now()
	t := &Transfer{reservation: r, total: total, deadline: deadline, end: end}
	t.observeFrom(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.transfers[t] = struct{}{}
	return t
}

// BeginAnswer is Begin for an answer that the caller takes. As long as it is not paused, the kernel may hold unread bytes
// of the target's connection besides what r holds: they are counted even beyond the limit.
func (r *Reservation) BeginAnswer(unread int64, end func()) *Transfer {
	t := r.Begin(-1, time.Time{}, end)
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	t.unread = unread
	a.held += unread
	return t
}

// Moved records that n bytes arrived or were taken.
func (t *Transfer) Moved(n int64) {
	a := t.reservation.account
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.moved += n
	t.lastAt = now
	if now.Sub(t.recent[0].at) >= observationTime {
		t.recent[1], t.recent[0] = t.recent[0], mark{at: now, moved: t.moved}
	}
}

// Pause records that the process does not wait for the caller, until Resume is called. A paused transfer is not ended.
func (t *Transfer) Pause() { t.setPaused(true) }

// Resume is the end of Pause. The pace of the transfer is observed anew.
func (t *Transfer) Resume() { t.setPaused(false) }

func (t *Transfer) setPaused(paused bool) {
	a := t.reservation.account
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.holdUnread(!paused)
	t.isPaused = paused
	t.observeFrom(now)
}

// observeFrom begins the observation of the transfer's pace. Account.mu must be held.
func (t *Transfer) observeFrom(now time.Time) {
	start := mark{at: now, moved: t.moved}
	t.startedAt, t.lastAt, t.recent = now, now, [2]mark{start, start}
}

// holdUnread counts the unread bytes of an answer, or no longer. They count unless the transfer is paused. Account.mu must
// be held.
func (t *Transfer) holdUnread(hold bool) {
	a, isHeld := t.reservation.account, !t.isPaused
	switch {
	case hold == isHeld:
	case hold:
		a.held += t.unread
	default:
		a.held -= t.unread
		a.grant()
	}
}

// HasEnded reports whether the transfer had to give way.
func (t *Transfer) HasEnded() bool {
	a := t.reservation.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.hasEnded
}

// Done unregisters the transfer.
func (t *Transfer) Done() {
	a := t.reservation.account
	a.mu.Lock()
	defer a.mu.Unlock()
	t.holdUnread(false)
	t.isPaused = true
	delete(a.transfers, t)
}

// lags reports whether the transfer would not be complete by its deadline at the pace of the last moments.
func (t *Transfer) lags(now time.Time) bool {
	switch {
	case t.isPaused || t.hasEnded:
		return false
	case t.unread > 0:
		return now.Sub(t.lastAt) >= takeTime
	case now.Sub(t.startedAt) < observationTime:
		return false
	case now.Sub(t.lastAt) >= observationTime:
		return true
	}
	since := t.recent[1]
	left := t.total - t.moved
	if t.total < 0 {
		left = max(t.moved, SmallBytes) // as much again
	}
	moved := max(t.moved-since.moved, 1)
	needed := time.Duration(float64(now.Sub(since.at)) * float64(left) / float64(moved))
	return needed > t.deadline.Sub(now)
}

// reclaim ends transfers that have to give way to n bytes more for r. It reports whether enough will be free.
// a.mu must be held.
func (a *Account) reclaim(r *Reservation, n int64) bool {
	missing := a.missing(r, n) - a.ending
	return missing <= 0 || a.endTransfers(a.transfersToEnd(r, a.now()), missing)
}

// endTransfers ends transfers in their order until n bytes will be free, and reports whether there were enough. a.mu must
// be held.
func (a *Account) endTransfers(transfers []*Transfer, n int64) bool {
	for _, t := range transfers {
		a.endTransfer(t)
		if n -= t.reservation.bytes; n <= 0 {
			return true
		}
	}
	return false
}

// Reclaim ends transfers that lag if the account is filled beyond the level of requests.
func (a *Account) Reclaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if missing := a.held - a.level(requestLevel) - a.ending; missing > 0 {
		a.endTransfers(a.transfersToEnd(&Reservation{kind: Request}, a.now()), missing)
	}
}

// missing returns how many bytes have to become free for n bytes more for r. a.mu must be held.
func (a *Account) missing(r *Reservation, n int64) int64 {
	after := a.held + r.charge(n)
	level := a.levelOf(r, n)
	switch a.check(r, n) {
	case levelFull:
		return after - level
	case teamFull:
		return a.bodies[r.team] + n - (level - after)
	}
	return 0
}

// transfersToEnd returns the transfers that give way to r, in order. a.mu must be held.
func (a *Account) transfersToEnd(r *Reservation, now time.Time) []*Transfer {
	var out []*Transfer
	lagging := make(map[*Transfer]bool)
	for t := range a.transfers {
		if t.reservation == r || t.hasEnded {
			continue
		}
		isLagging := t.lags(now)
		if isLagging || r.kind == Answer && t.reservation.kind == Body {
			out = append(out, t)
			lagging[t] = isLagging
		}
	}
	slices.SortFunc(out, func(x, y *Transfer) int {
		return cmp.Or(
			compareBools(lagging[y], lagging[x]),
			cmp.Compare(x.reservation.kind, y.reservation.kind),
			x.lastAt.Compare(y.lastAt),
		)
	})
	return out
}

// EndLagging ends transfers that lag, at most n, and returns how many it ended. Their connections are needed for others.
func (a *Account) EndLagging(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	lagging := a.transfersToEnd(&Reservation{kind: Request}, a.now())
	lagging = lagging[:min(n, len(lagging))]
	for _, t := range lagging {
		a.endTransfer(t)
	}
	return len(lagging)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// endTransfer makes a transfer give way. a.mu must be held.
func (a *Account) endTransfer(t *Transfer) {
	t.hasEnded = true
	t.reservation.ending += t.reservation.bytes
	a.ending += t.reservation.bytes
	go t.end()
}
