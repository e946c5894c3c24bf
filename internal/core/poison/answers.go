package poison

import "time"

// answerHistory records which fingerprints were carried by requests that were answered lately. It
// consists of a newer and an older half; what is in neither was answered longer ago, or never.
type answerHistory struct {
	newer, older map[Fingerprint]struct{}
	newerSince   time.Time // start of the newer half
}

const (
	// historyHalf is the time that one half covers. What was answered within it before a target exited
	// does not make every target exit. A new release of the targets may change that, which is noticed
	// after two halves.
	historyHalf = 30 * time.Second
	// maxHistoryHalf bounds each half: 120 requests a second for historyHalf fill a quarter of it.
	maxHistoryHalf = 1 << 14
)

func (h *answerHistory) add(now time.Time, f Fingerprint) {
	if h.newer == nil || now.Sub(h.newerSince) >= historyHalf || len(h.newer) >= maxHistoryHalf {
		h.older, h.newer, h.newerSince = h.newer, make(map[Fingerprint]struct{}), now
	}
	h.newer[f] = struct{}{}
}

func (h *answerHistory) has(now time.Time, f Fingerprint) bool {
	age := now.Sub(h.newerSince)
	if _, ok := h.newer[f]; ok && age < 2*historyHalf {
		return true
	}
	_, ok := h.older[f]
	return ok && age < historyHalf
}
