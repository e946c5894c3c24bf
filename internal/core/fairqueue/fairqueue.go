// Package fairqueue orders waiting requests: urgent before normal before bulk,
// and within a class by weighted fair queueing over teams, so that a team with a
// long backlog delays only itself.
package fairqueue

import "time"

// Priority is a request's class.
type Priority int

// The classes, lowest first.
const (
	Bulk Priority = iota
	Normal
	Urgent
	classes
)

// Item is one waiting request.
type Item struct {
	Router    uint32
	ID        uint64
	Team      uint64
	Weight    int
	Priority  Priority
	Chat      uint64
	ArrivedAt time.Time
	Deadline  time.Time
	Excluded  []uint64
}

// backlog is one team's first-in-first-out queue within a class.
type backlog struct {
	items []Item
	// finish is the virtual time at which the team's last served item ends.
	finish float64
}

type class struct {
	teams map[uint64]*backlog
	order []uint64 // teams with items, in order of arrival
	// virtual is the virtual start time of the last served item.
	virtual float64
	length  int
}

// itemKey identifies a waiting request.
type itemKey struct {
	router uint32
	id     uint64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	class  [classes]class
	queued map[itemKey]bool
}

// New returns an empty Queue.
func New() *Queue {
	q := &Queue{queued: make(map[itemKey]bool)}
	for i := range q.class {
		q.class[i].teams = make(map[uint64]*backlog)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.queued)
}

// Contains reports whether a request of a router is waiting.
func (q *Queue) Contains(router uint32, id uint64) bool {
	return q.queued[itemKey{router, id}]
}

// HasWaiting reports whether requests of class p or a higher one are waiting.
func (q *Queue) HasWaiting(p Priority) bool {
	for i := p; i < classes; i++ {
		if q.class[i].length > 0 {
			return true
		}
	}
	return false
}

// CountAhead returns how many waiting requests would be served before a new one of
// the team and class: all of higher classes, and in its own class the team's own
// backlog, stretched by the number of teams that share the class.
func (q *Queue) CountAhead(team uint64, p Priority) int {
	n := 0
	for i := p + 1; i < classes; i++ {
		n += q.class[i].length
	}
	c := &q.class[p]
	own := 0
	if b, ok := c.teams[team]; ok {
		own = len(b.items)
	}
	others := 0
	for id, b := range c.teams {
		if id != team {
			others += min(len(b.items), own+1)
		}
	}
	return n + own + others
}

// Push appends an item.
func (q *Queue) Push(it Item) {
	c := &q.class[it.Priority]
	b, ok := c.teams[it.Team]
	if !ok {
		// A team that returns after being idle starts at the present virtual
		// time: credit saved up while idle would let it starve the others.
		b = &backlog{finish: c.virtual}
		c.teams[it.Team] = b
		c.order = append(c.order, it.Team)
	}
	b.items = append(b.items, it)
	c.length++
	q.queued[itemKey{it.Router, it.ID}] = true
}

// PopNext removes and returns the first item that take accepts, offering the head
// of each team's backlog by class and virtual time. It stops a class at the first
// item that take rejects with Stop.
func (q *Queue) PopNext(take func(Item) Decision) (Item, bool) {
	for p := classes - 1; p >= 0; p-- {
		if it, ok := q.class[p].next(take); ok {
			delete(q.queued, itemKey{it.Router, it.ID})
			return it, true
		}
	}
	return Item{}, false
}

// Decision is the answer to an offered item.
type Decision int

const (
	// Accept: serve the item now.
	Accept Decision = iota
	// SkipTeam: not this team now; offer another team's head.
	SkipTeam
	// StopClass: no item of this class can be served now.
	StopClass
)

func (c *class) next(take func(Item) Decision) (Item, bool) {
	skipped := make(map[uint64]bool)
	for {
		id, ok := c.earliest(skipped)
		if !ok {
			return Item{}, false
		}
		head := c.teams[id].items[0]
		switch take(head) {
		case Accept:
			c.serve(id)
			return head, true
		case SkipTeam:
			skipped[id] = true
		default:
			return Item{}, false
		}
	}
}

func (c *class) earliest(skipped map[uint64]bool) (uint64, bool) {
	var best uint64
	found := false
	for _, id := range c.order {
		if skipped[id] {
			continue
		}
		if !found || c.teams[id].finish < c.teams[best].finish {
			best, found = id, true
		}
	}
	return best, found
}

func (c *class) serve(id uint64) {
	b := c.teams[id]
	start := max(b.finish, c.virtual)
	c.virtual = start
	b.finish = start + 1/float64(max(b.items[0].Weight, 1))
	b.items = b.items[1:]
	c.length--
	if len(b.items) == 0 {
		c.drop(id)
	}
}

func (c *class) drop(id uint64) {
	delete(c.teams, id)
	for i, other := range c.order {
		if other == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// Remove takes out every item for which gone is true and returns them.
func (q *Queue) Remove(gone func(Item) bool) []Item {
	var removed []Item
	for i := range q.class {
		removed = append(removed, q.class[i].remove(gone)...)
	}
	for _, it := range removed {
		delete(q.queued, itemKey{it.Router, it.ID})
	}
	return removed
}

func (c *class) remove(gone func(Item) bool) []Item {
	var removed []Item
	for _, id := range append([]uint64(nil), c.order...) {
		b := c.teams[id]
		kept := b.items[:0:0]
		for _, it := range b.items {
			if gone(it) {
				removed = append(removed, it)
				c.length--
			} else {
				kept = append(kept, it)
			}
		}
		b.items = kept
		if len(kept) == 0 {
			c.drop(id)
		}
	}
	return removed
}
