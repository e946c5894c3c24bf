package shedding

import "time"

const (
	// smallestFactor and percentileSlope make the share of a request depend on its work.
	smallestFactor  = 1.4
	percentileSlope = 0.8
	// maxDebt bounds how many requests returning callers may take ahead of others of their rank.
	maxDebt = 4.0
)

// rankKey orders the requests of a pool: excess ones come after others of the same urgency.
type rankKey struct {
	urgency Urgency
	excess  bool
}

func (k rankKey) isBefore(o rankKey) bool {
	if c := k.urgency.Compare(o.urgency); c != 0 {
		return c < 0
	}
	return !k.excess && o.excess
}

// rank is what is known of the requests of one rank. Each request adds its share to credit, and takes
// one if it is admitted, so that the admitted ones are spread evenly.
type rank struct {
	key             rankKey
	lastRequestAt   time.Time
	offered         float64 // slot time of its recent requests in seconds, decaying
	credit          float64
	returningCredit float64
	floorCredit     float64
}

func (c *Cut) rank(key rankKey) *rank {
	k, ok := c.ranks[key]
	if !ok {
		k = &rank{key: key, credit: 0.5, returningCredit: 0.5}
		c.ranks[key] = k
	}
	return k
}

// takeFloor reports whether a request is admitted as one of the least share of its rank.
func (k *rank) takeFloor(share, floor float64) bool {
	if k.floorCredit += floor; k.floorCredit < 1 {
		return false
	}
	k.floorCredit--
	k.credit = max(k.credit+share-1, -maxDebt) // it is one of the rank's share
	return true
}

// take reports whether a request is in the share of its rank. A returning caller takes from the credit
// of the others, so that it goes first and the rank gets about its share.
func (k *rank) take(share, returningShare float64, r *Request, returning bool) bool {
	factor := smallestFactor - percentileSlope*r.WorkPercentile
	effective := share
	if share < 1 {
		effective = min(share*factor, 1)
	}
	if returning {
		k.credit = min(k.credit+effective, 1)
		if returningShare < 1 {
			returningShare = min(returningShare*max(factor, 1), 1)
		}
		if k.returningCredit += returningShare; k.returningCredit < 1 {
			return false
		}
		k.returningCredit--
		k.credit = max(k.credit-1, -maxDebt)
		return true
	}
	if effective >= 1 {
		k.credit = min(k.credit+(1-k.credit)*0.1, 1) // a debt does not outlast the shortage
		return true
	}
	if k.credit += effective; k.credit < 1 {
		return false
	}
	k.credit--
	return true
}
