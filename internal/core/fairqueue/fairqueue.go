// Package fairqueue orders waiting requests: urgent before normal before bulk, and within a
// priority class by weighted fair queueing over teams. A team with a long backlog therefore
// delays only its own requests.
package fairqueue

import "time"

// Priority is the priority class of a request.
type Priority int

// The priority classes, lowest first.
const (
	Bulk Priority = iota
	Normal
	Urgent
	numClasses
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
	// finishTime is the virtual finish time of the team's last served item.
	finishTime float64
}

// class holds the waiting requests of one priority class.
type class struct {
	teams map[uint64]*backlog
	order []uint64 // teams with items, in order of arrival
	// virtualTime is the virtual start time of the last served item.
	virtualTime float64
	length      int
}

// itemKey identifies a waiting request.
type itemKey struct {
	router uint32
	id     uint64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	class  [numClasses]class
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
	for i := p; i < numClasses; i++ {
		if q.class[i].length > 0 {
			return true
		}
	}
	return false
}

// CountAhead estimates how many waiting requests would be served before a new request of the
// team and class: all requests of higher classes, the team's own backlog in the class, and of
// each other team in the class at most as many as the team would then have.
func (q *Queue) CountAhead(team uint64, p Priority) int {
	n := 0
	for i := p + 1; i < numClasses; i++ {
		n += q.class[i].length
	}
	c := &q.class[p]
	ownItems := 0
	if b, ok := c.teams[team]; ok {
		ownItems = len(b.items)
	}
	otherItems := 0
	for id, b := range c.teams {
		if id != team {
			otherItems += min(len(b.items), ownItems+1)
		}
	}
	return n + ownItems + otherItems
}

// Push appends an item.
func (q *Queue) Push(it Item) {
	c := &q.class[it.Priority]
	b, ok := c.teams[it.Team]
	if !ok {
		// A team that returns after being idle starts at the current virtual time. If it kept
		// credit for its idle time, it could starve the other teams.
		b = &backlog{finishTime: c.virtualTime}
		c.teams[it.Team] = b
		c.order = append(c.order, it.Team)
	}
	b.items = append(b.items, it)
	c.length++
	q.queued[itemKey{it.Router, it.ID}] = true
}

// PopNext removes and returns the first item that decide accepts. It calls decide for the head of
// each team's backlog, in the order of the classes and of virtual finish times. SkipTeam skips a
// team, StopClass skips the rest of a class.
func (q *Queue) PopNext(decide func(Item) Decision) (Item, bool) {
	for p := numClasses - 1; p >= 0; p-- {
		if it, ok := q.class[p].popNext(decide); ok {
			delete(q.queued, itemKey{it.Router, it.ID})
			return it, true
		}
	}
	return Item{}, false
}

// Decision is the result of the function that PopNext calls for an item.
type Decision int

const (
	// Accept removes the item from the queue and returns it.
	Accept Decision = iota
	// SkipTeam skips the team of the item.
	SkipTeam
	// StopClass skips the rest of the class.
	StopClass
)

func (c *class) popNext(decide func(Item) Decision) (Item, bool) {
	skipped := make(map[uint64]bool)
	for {
		id, ok := c.earliestTeam(skipped)
		if !ok {
			return Item{}, false
		}
		head := c.teams[id].items[0]
		switch decide(head) {
		case Accept:
			c.popHead(id)
			return head, true
		case SkipTeam:
			skipped[id] = true
		default:
			return Item{}, false
		}
	}
}

// earliestTeam returns the team with the lowest virtual finish time, except the skipped teams.
func (c *class) earliestTeam(skipped map[uint64]bool) (uint64, bool) {
	var best uint64
	found := false
	for _, id := range c.order {
		if skipped[id] {
			continue
		}
		if !found || c.teams[id].finishTime < c.teams[best].finishTime {
			best, found = id, true
		}
	}
	return best, found
}

// popHead removes the first item of a team and advances the virtual time.
func (c *class) popHead(id uint64) {
	b := c.teams[id]
	start := max(b.finishTime, c.virtualTime)
	c.virtualTime = start
	b.finishTime = start + 1/float64(max(b.items[0].Weight, 1))
	b.items = b.items[1:]
	c.length--
	if len(b.items) == 0 {
		c.removeTeam(id)
	}
}

// removeTeam removes a team without items.
func (c *class) removeTeam(id uint64) {
	delete(c.teams, id)
	for i, other := range c.order {
		if other == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// Remove removes every item that matches and returns the removed items.
func (q *Queue) Remove(match func(Item) bool) []Item {
	var removed []Item
	for i := range q.class {
		removed = append(removed, q.class[i].remove(match)...)
	}
	for _, it := range removed {
		delete(q.queued, itemKey{it.Router, it.ID})
	}
	return removed
}

func (c *class) remove(match func(Item) bool) []Item {
	var removed []Item
	for _, id := range append([]uint64(nil), c.order...) {
		b := c.teams[id]
		kept := b.items[:0:0]
		for _, it := range b.items {
			if match(it) {
				removed = append(removed, it)
				c.length--
			} else {
				kept = append(kept, it)
			}
		}
		b.items = kept
		if len(kept) == 0 {
			c.removeTeam(id)
		}
	}
	return removed
}
