package engine

import "container/list"

// prefixCache holds the number of cached prompt tokens of each chat and evicts the least recently
// used chat first.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List // front is the most recently used
	entries  map[string]*list.Element
}

// cacheEntry is the cached prompt of one chat.
type cacheEntry struct {
	chat   string
	tokens int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), entries: make(map[string]*list.Element)}
}

// getAndPut returns how many tokens of the chat were cached and then caches the given number.
func (c *prefixCache) getAndPut(chat string, tokens int) int {
	if chat == "" {
		return 0
	}
	before := 0
	if e, ok := c.entries[chat]; ok {
		before = e.Value.(*cacheEntry).tokens
		c.used -= before
		c.order.Remove(e)
	}
	c.entries[chat] = c.order.PushFront(&cacheEntry{chat: chat, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		c.evict()
	}
	return before
}

// evict removes the least recently used chat.
func (c *prefixCache) evict() {
	e := c.order.Back()
	old := e.Value.(*cacheEntry)
	c.order.Remove(e)
	delete(c.entries, old.chat)
	c.used -= old.tokens
}
