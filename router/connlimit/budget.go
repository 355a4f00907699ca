// Package connlimit decides how much memory and how many file descriptors the connections of
// a process may take, and which request or connection is refused or closed when they run
// short. It takes the time as an argument and does no input or output.
package connlimit

import (
	"sync"
	"time"
)

const (
	// connCost is the memory of a connection: two buffers of 4 KiB, the stacks of two
	// goroutines and the bookkeeping of the server.
	connCost = 12 << 10
	// largeBytes is the charge above which a connection is large. An ordinary request of 1 KiB
	// and 20 lines is charged 25 KiB, and a response of 20 KB has to fit as well.
	largeBytes = 48 << 10
	// largePercent is the part of the memory budget up to which large connections may grow.
	// Idle connections do not count.
	largePercent = 60
	// budgetDivisor is the divisor of the memory of the host that gives the budget. The rest is
	// for the process itself, and for garbage: a Go heap grows to twice the live bytes.
	budgetDivisor = 5
	// reservedFiles is the number of descriptors that are kept for files.
	reservedFiles = 200
	// minIdleTime is the time for which a connection is not closed in a phase: the server may
	// not have processed yet what it has read.
	minIdleTime = 250 * time.Millisecond
	// routerIdleTime is that time for idle connections of routers. Their clients give them up
	// after 20 s; before that a request may be on its way.
	routerIdleTime = 30 * time.Second
	// lingerTime is how long a refused client may read the response.
	lingerTime = 500 * time.Millisecond
	// poolTime is how long the connections that a request has used to other hosts may stay
	// open.
	poolTime = 20 * time.Second
)

// Options configure a Budget. 0 means that there is no bound.
type Options struct {
	// MemoryBytes is the memory of the host.
	MemoryBytes int64
	// Files is the number of file descriptors that the process may open.
	Files int
}

// Timeouts bound the phases of the connections of a class.
type Timeouts struct {
	// Fresh, Head and Idle are the longest times until the first byte, for a head, and
	// between two requests. They are above 0.
	Fresh, Head, Idle time.Duration
}

// Budget holds the connections of a process. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	memory resource
	files  resource
	queues [classes][phases]queue
	// active is the number of requests in progress, and peaks the largest numbers in the
	// current and the previous period of poolTime.
	active      [classes]int64
	peaks       [2][classes]int64
	periodSince time.Time
}

// New returns a budget without connections.
func New(o Options) *Budget {
	b := &Budget{memory: newResource(o.MemoryBytes / budgetDivisor)}
	if o.Files > 0 {
		b.files = newResource(max(int64(o.Files-reservedFiles), 1))
	}
	return b
}

// Open adds a new connection. evicted are connections that the caller has to close. If ok is
// false, the new connection does not fit and has to be closed as well.
func (b *Budget) Open(now time.Time, class Class, owner any) (c *Conn, evicted []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotatePeaks(now)
	evicted, ok = b.fitMemory(now, class, nil, connCost)
	for ok && !b.files.fits(class, 1) {
		evicted, ok = b.evict(b.victim(now, class, &b.files), evicted)
	}
	if !ok {
		return nil, evicted, false
	}
	c = &Conn{Owner: owner, class: class, since: now}
	b.memory.used[class] += connCost
	b.files.used[class]++
	b.queues[class][Fresh].push(c)
	return c, evicted, true
}

// victim returns the connection to close in favour of one of the class that is short of the
// resource, or nil.
func (b *Budget) victim(now time.Time, class Class, short *resource) *Conn {
	candidates := [classes]Class{class, Caller, Probe, Control} // Router connections last, only for Router
	for _, p := range []Phase{Lingering, Fresh, Idle, Reading, Receiving} {
		for i, of := range candidates {
			if i > 0 && (of == class || !short.exceedsReserve(of)) {
				continue
			}
			if i > 0 && of != Caller && p != Lingering {
				continue
			}
			if c := b.queues[of][p].oldest(); c != nil && now.Sub(c.since) >= minAge(of, p) {
				return c
			}
		}
	}
	return nil
}

// minAge returns the time for which a connection in the phase is not closed.
func minAge(of Class, p Phase) time.Duration {
	switch {
	case p == Lingering:
		return 0
	case of == Router && p == Idle:
		return routerIdleTime
	}
	return minIdleTime
}

// ReadStarted records that bytes of a request have arrived. It returns false if the
// connection was closed.
func (b *Budget) ReadStarted(now time.Time, c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && (c.phase == Fresh || c.phase == Idle) {
		b.setPhase(now, c, Reading)
	}
	return !c.closed
}

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

// RefundAhead releases n of the bytes of ChargeAhead.
func (b *Budget) RefundAhead(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, c.ahead)
	c.ahead -= n
	b.memory.used[c.class] -= n
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

// idleBytes returns the memory of idle connections, which give way to ordinary requests.
func (b *Budget) idleBytes() int64 {
	var n int64
	for class := range classes {
		n += b.queues[class][Idle].length * connCost
	}
	return n
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

// evict closes the connection and adds it to those that were evicted. It returns false if
// there is none.
func (b *Budget) evict(victim *Conn, evicted []*Conn) ([]*Conn, bool) {
	if victim == nil {
		return evicted, false
	}
	b.close(victim)
	return append(evicted, victim), true
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

// ChargeResponse charges n bytes that must not be refused, because the request has run.
func (b *Budget) ChargeResponse(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed {
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

func (b *Budget) add(c *Conn, n int64) {
	c.charged += n
	b.memory.used[c.class] += n
}

// RequestStarted records that the head of a request was read. If ok is false, there is no
// descriptor for the connection that the request may need, or the connection was closed.
func (b *Budget) RequestStarted(now time.Time, c *Conn) (evicted []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed || c.phase == Lingering {
		return nil, false // the server reports a request also for a head that was refused
	}
	b.rotatePeaks(now)
	if c.phase == Active {
		return nil, true
	}
	b.setPhase(now, c, Active)
	c.inProgress = true
	b.active[c.class]++
	needed := b.active[c.class] - max(b.peaks[0][c.class], b.peaks[1][c.class])
	if c.class > Router || needed <= 0 {
		return nil, true
	}
	for ok = true; ok && !b.files.fits(c.class, needed); {
		evicted, ok = b.evict(b.victim(now, c.class, &b.files), evicted)
	}
	if !ok {
		return evicted, false
	}
	b.peaks[0][c.class] = b.active[c.class]
	b.files.used[c.class] += needed
	return evicted, true
}

// BodyStarted records that the body of the request is about to be read, and BodyDone that it
// is complete: from then on the connection is not closed in favour of others. BodyDone returns
// false if the connection was closed.
func (b *Budget) BodyStarted(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase == Active {
		b.setPhase(now, c, Receiving)
	}
}

// BodyDone is described at BodyStarted.
func (b *Budget) BodyDone(now time.Time, c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase == Receiving {
		b.setPhase(now, c, Active)
	}
	return !c.closed
}

// rotatePeaks begins a new period once the current one is over. Descriptors of the largest
// number of requests in the period before the last are released.
func (b *Budget) rotatePeaks(now time.Time) {
	if now.Sub(b.periodSince) < poolTime {
		return
	}
	b.periodSince = now
	for class := range classes {
		before := max(b.peaks[0][class], b.peaks[1][class])
		b.peaks[1][class], b.peaks[0][class] = b.peaks[0][class], min(b.active[class], before)
		b.files.used[class] -= before - max(b.peaks[0][class], b.peaks[1][class])
	}
}

// RequestDone records that the request has ended, and releases what was charged for it.
func (b *Budget) RequestDone(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase != Lingering {
		b.release(c)
		b.setPhase(now, c, Idle)
	}
}

// Linger records that the client was refused and may read the response for a while. What was
// charged is released.
func (b *Budget) Linger(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed {
		b.release(c)
		b.setPhase(now, c, Lingering)
	}
}

// Close releases the connection and what was charged to it. A second call has no effect.
func (b *Budget) Close(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.close(c)
}

func (b *Budget) close(c *Conn) {
	if c.closed {
		return
	}
	b.release(c)
	b.memory.used[c.class] -= c.ahead
	c.ahead, c.closed = 0, true
	b.queues[c.class][c.phase].remove(c)
	b.memory.used[c.class] -= connCost
	b.files.used[c.class]--
}

// release releases what was charged for a request.
func (b *Budget) release(c *Conn) {
	b.add(c, -c.charged)
	if c.inProgress {
		c.inProgress = false
		b.active[c.class]--
	}
}

func (b *Budget) setPhase(now time.Time, c *Conn, p Phase) {
	b.queues[c.class][c.phase].remove(c)
	c.phase, c.since = p, now
	b.queues[c.class][p].push(c)
}

// Expired removes the connections whose phase has lasted too long. The caller has to close
// them.
func (b *Budget) Expired(now time.Time, timeouts func(Class) Timeouts) (expired []*Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for class := range classes {
		t := timeouts(class)
		for p, longest := range [phases]time.Duration{Fresh: t.Fresh, Reading: t.Head, Idle: t.Idle, Lingering: lingerTime} {
			if p := Phase(p); p == Active || p == Receiving {
				continue
			}
			for c := b.queues[class][p].first; c != nil && now.Sub(c.since) >= longest; c = b.queues[class][p].first {
				b.close(c)
				expired = append(expired, c)
			}
		}
	}
	return expired
}

// Busy returns the connections with requests in progress.
func (b *Budget) Busy() (busy []*Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for class := range classes {
		for c := b.queues[class][Active].first; c != nil; c = c.next {
			busy = append(busy, c)
		}
	}
	return busy
}

// Yield removes the connection that has to make room for a new one of the class, because the
// process got no descriptor. It returns nil if there is none.
func (b *Budget) Yield(now time.Time, class Class) *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.victim(now, class, &b.files)
	if victim != nil {
		b.close(victim)
	}
	return victim
}

// Stats are the amounts in use.
type Stats struct {
	MemoryBytes, Files int64
}

// Stats returns the amounts in use, by class.
func (b *Budget) Stats() (stats [classes]Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for class := range classes {
		stats[class] = Stats{MemoryBytes: b.memory.used[class], Files: b.files.used[class]}
	}
	return stats
}
