package engine

import "container/list"

// prefixCache holds the prompt prefixes of chats, least recently used out first.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List // front is the most recently used
	entries  map[string]*list.Element
}

type cached struct {
	chat   string
	tokens int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), entries: make(map[string]*list.Element)}
}

// use returns how many tokens of the chat were cached and then holds the given number.
func (c *prefixCache) use(chat string, tokens int) int {
	if chat == "" {
		return 0
	}
	before := 0
	if e, ok := c.entries[chat]; ok {
		before = e.Value.(*cached).tokens
		c.used -= before
		c.order.Remove(e)
	}
	c.entries[chat] = c.order.PushFront(&cached{chat: chat, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		c.evict()
	}
	return before
}

func (c *prefixCache) evict() {
	e := c.order.Back()
	old := e.Value.(*cached)
	c.order.Remove(e)
	delete(c.entries, old.chat)
	c.used -= old.tokens
}
