package upstream

// SetMaxConnections bounds the connections that are open at once; 0 means no limit. Those beyond a lower bound stay open
// until their requests end.
func (c *Client) SetMaxConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = n
}

// acquireConnection reports whether another connection may be opened. It closes the idle connection that is unusable
// first if there are too many.
func (c *Client) acquireConnection() bool {
	c.mu.Lock()
	var discarded *conn
	if c.maxOpen > 0 && c.open >= c.maxOpen {
		if discarded = c.removeOldestIdle(); discarded == nil {
			c.mu.Unlock()
			return false
		}
	}
	c.open++
	c.mu.Unlock()
	if discarded != nil {
		_ = discarded.Close()
	}
	return true
}

// removeOldestIdle removes the idle connection that is unusable first; nil if none is idle. c.mu must be held.
func (c *Client) removeOldestIdle() *conn {
	var oldest *conn
	var target uint64
	for uid, conns := range c.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].usableUntil.Before(oldest.usableUntil)) {
			oldest, target = conns[0], uid
		}
	}
	if oldest != nil {
		c.idle[target] = c.idle[target][1:]
	}
	return oldest
}

func (c *Client) releaseConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *Client) popIdle(target uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[target]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[target] = conns[:len(conns)-1]
	return last
}

func (c *Client) pushIdle(target uint64, cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[target]) >= c.settings.MaxIdlePerTarget {
		return false
	}
	c.idle[target] = append(c.idle[target], cn)
	return true
}

// Prune closes idle connections whose idle timeout has passed, and those to lifetimes for which
// isUsed returns false.
func (c *Client) Prune(isUsed func(uid uint64) bool) {
	for _, cn := range c.removeUnusable(isUsed) {
		_ = cn.Close()
	}
}

func (c *Client) removeUnusable(isUsed func(uid uint64) bool) (unusable []*conn) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for uid, conns := range c.idle {
		usable := conns[:0]
		for _, cn := range conns {
			if isUsed(uid) && now.Before(cn.usableUntil) {
				usable = append(usable, cn)
			} else {
				unusable = append(unusable, cn)
			}
		}
		c.idle[uid] = usable
		if len(usable) == 0 {
			delete(c.idle, uid)
		}
	}
	return unusable
}
