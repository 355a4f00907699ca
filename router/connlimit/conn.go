package connlimit

import "time"

// Class is the class of a listener.
type Class int

// The classes.
const (
	// Caller is the class of the callers of the host.
	Caller Class = iota
	// Router is the class of other routers.
	Router
	// Control is the class of the upstream's heartbeats.
	Control
	// Probe is the class of readiness checks and metrics.
	Probe
	classes
)

// String returns the name of the class, as it stands in log lines and labels.
func (c Class) String() string {
	return [...]string{"caller", "router", "control", "probe"}[c]
}

// forwards reports whether requests of the class may need a connection to another host or to
// the upstream.
func (c Class) forwards() bool {
	return c == Caller || c == Router
}

// Phase is what a connection is being used for.
type Phase int

// The phases.
const (
	// Fresh: no byte has arrived yet.
	Fresh Phase = iota
	// Reading: a request head is arriving.
	Reading
	// Active: a request is in progress.
	Active
	// Receiving: the body of a request is arriving, and no upstream has the request.
	Receiving
	// Idle: the last request has ended.
	Idle
	// Lingering: the client was refused and is given time to read the response.
	Lingering
	phases
)

// Conn is an open connection and what is charged to it. Its fields are guarded by the
// Budget.
type Conn struct {
	// Owner belongs to the caller of Open.
	Owner any

	class   Class
	phase   Phase
	since   time.Time // when the phase began
	charged int64     // bytes beyond connCost that the current request takes
	ahead   int64     // bytes that later requests of the connection take
	// inProgress is true while a request counts as one in progress.
	inProgress bool
	closed     bool

	prev, next *Conn
}

// Class returns the class of the connection.
func (c *Conn) Class() Class {
	return c.class
}

// queue is a list of connections in the order in which their phases began.
type queue struct {
	first, last *Conn
	length      int64
}

func (q *queue) push(c *Conn) {
	q.length++
	c.prev, c.next = q.last, nil
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
}

func (q *queue) remove(c *Conn) {
	q.length--
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		q.last = c.prev
	}
	c.prev, c.next = nil, nil
}

// oldest returns the connection that has been in the phase for the longest time and has no
// later request in progress, or nil.
func (q *queue) oldest() *Conn {
	c := q.first
	for c != nil && c.ahead > 0 {
		c = c.next
	}
	return c
}
