package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
)

// runs reports whether the target runs a software version; 0 stands for any.
func (t *target) runs(s lineage.Software) bool { return s == 0 || t.software == s }

// chooseByVersion chooses among the targets that run r.Software. Where other targets of the pool have
// room, it chooses none above the load bound: few targets may run the version, and the streams that
// are bound to it would overload them.
func (b *Balancer) chooseByVersion(now time.Time, p *pool, r Request, bound float64) (*target, Rule) {
	r.limited = r.Software != 0
	if t, rule := b.choose(now, p, r, bound); t != nil || !r.limited {
		return t, rule
	}
	anyVersion := r
	anyVersion.Software = 0
	if other, _ := b.choose(now, p, anyVersion, bound); other != nil {
		return nil, ""
	}
	r.limited = false
	return b.choose(now, p, r, bound)
}

// ServesSoftware reports whether a target of a pool that runs a software version may get requests at
// all.
func (b *Balancer) ServesSoftware(pool string, s lineage.Software) bool {
	p, ok := b.pools[pool]
	if !ok {
		return false
	}
	for _, t := range p.targets {
		if t.isActive() && t.runs(s) {
			return true
		}
	}
	return false
}
