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
	// routerIdleMargin is what idle connections of routers have beyond the time after which
	// their clients give them up: before that a request may be on its way.
	routerIdleMargin = 10 * time.Second
	// lingerTime is how long a refused client may read the response.
	lingerTime = 500 * time.Millisecond
	// defaultPoolTime is how long the sidecar keeps idle connections to other hosts.
	defaultPoolTime = 20 * time.Second
)

// Options configure a Budget. 0 means that there is no bound.
type Options struct {
	// MemoryBytes is the memory of the host.
	MemoryBytes int64
	// Files is the number of file descriptors that the process may open.
	Files int
	// PoolTime is how long the process keeps idle the connections that requests have used to
	// other hosts and to the upstream. 0 means 20 s.
	PoolTime time.Duration
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
	// poolTime is Options.PoolTime.
	poolTime time.Duration
	// active is the number of requests in progress, and peaks the largest numbers in the
	// current and the previous period of poolTime.
	active      [classes]int64
	peaks       [2][classes]int64
	periodSince time.Time
}

// New returns a budget without connections.
func New(o Options) *Budget {
	b := &Budget{memory: newResource(o.MemoryBytes / budgetDivisor), poolTime: defaultPoolTime}
	if o.PoolTime > 0 {
		b.poolTime = o.PoolTime
	}
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

// BodyStarted records that the body of the request is about to be read. Until BodyDone, the
// connection may be closed in favour of others.
func (b *Budget) BodyStarted(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase == Active {
		b.setPhase(now, c, Receiving)
	}
}

// BodyDone records that the body is complete: from then on the connection is not closed in
// favour of others. It returns false if the connection was closed.
func (b *Budget) BodyDone(now time.Time, c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.phase == Receiving {
		b.setPhase(now, c, Active)
	}
	return !c.closed
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
