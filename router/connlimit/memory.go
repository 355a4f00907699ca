package connlimit

import "time"

// Charge charges n bytes to a connection before they are allocated. If ok is false, they do
// not fit or the connection was closed. evicted are connections that the caller has to close.
func (b *Budget) Charge(now time.Time, c *Conn, n int64) (evicted []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return nil, false
	}
	if evicted, ok = b.fit(now, c, n); ok {
		b.add(c, n)
	}
	return evicted, ok
}

// ChargeAhead is like Charge for what is read behind the current request. RefundAhead or
// Close releases it, and not the end of the current request.
func (b *Budget) ChargeAhead(now time.Time, c *Conn, n int64) (evicted []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return nil, false
	}
	if evicted, ok = b.fit(now, c, n); ok {
		c.ahead += n
		b.memory.used[c.class] += n
	}
	return evicted, ok
}

// ChargeAheadResponse is like ChargeResponse for a request behind the current one.
func (b *Budget) ChargeAheadResponse(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed {
		c.ahead += n
		b.memory.used[c.class] += n
	}
}

// ChargeResponse charges n bytes that must not be refused, because the request has run. It
// has no effect while the connection is idle: the response to an attempt that was given up
// may come after the end of the request, and nothing would release its charge then.
func (b *Budget) ChargeResponse(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase != Idle {
		b.add(c, n)
	}
}

// Refund releases n of the bytes that were charged to the connection. It has no effect once
// all of them were released.
func (b *Budget) Refund(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, -min(n, c.charged))
}

// RefundAhead releases n of the bytes of ChargeAhead.
func (b *Budget) RefundAhead(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, c.ahead)
	c.ahead -= n
	b.memory.used[c.class] -= n
}

func (b *Budget) add(c *Conn, n int64) {
	c.charged += n
	b.memory.used[c.class] += n
}

// fit makes room for n bytes of the connection. Large connections have no claim to more than
// a part of the budget, or to the reserve of their class.
func (b *Budget) fit(now time.Time, c *Conn, n int64) (evicted []*Conn, ok bool) {
	if c.charged+c.ahead+n <= largeBytes {
		return b.fitMemory(now, c.class, c, n)
	}
	m := &b.memory
	inReserve := m.used[c.class]+n <= m.reserve[c.class]
	return nil, m.total == 0 || inReserve || (m.fits(c.class, n) && m.sum()-b.idleBytes()+n <= m.total*largePercent/100)
}

// fitMemory makes room for n bytes of an ordinary connection of the class, which is nil if it
// is new.
func (b *Budget) fitMemory(now time.Time, class Class, requester *Conn, n int64) (evicted []*Conn, ok bool) {
	for ok = true; ok && !b.memory.fits(class, n); {
		victim := b.largestHead(class, requester)
		if victim == nil {
			victim = b.victim(now, class, &b.memory)
		}
		if victim == requester {
			victim = nil
		}
		evicted, ok = b.evict(victim, evicted)
	}
	return evicted, ok
}

// idleBytes returns the memory of idle connections, which give way to ordinary requests.
func (b *Budget) idleBytes() int64 {
	var n int64
	for class := range classes {
		n += b.queues[class][Idle].length * connCost
	}
	return n
}

// largestHead returns the large connection with the largest charge whose head or body is
// still arriving, or nil.
func (b *Budget) largestHead(class Class, requester *Conn) *Conn {
	var largest *Conn
	for of := range classes {
		if of != class && !b.memory.exceedsReserve(of) {
			continue
		}
		for _, p := range []Phase{Reading, Receiving} {
			for c := b.queues[of][p].first; c != nil; c = c.next {
				if c != requester && c.ahead == 0 && c.charged > largeBytes && (largest == nil || c.charged > largest.charged) {
					largest = c
				}
			}
		}
	}
	return largest
}
