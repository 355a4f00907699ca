package admit

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// Defaults of QueueOptions.
const (
	DefaultQueueLimit = 256
	DefaultMaxTenants = 64
)

const (
	// tenantIdle is how long an unused class is kept for its tenant.
	tenantIdle = time.Minute
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.1
	// costRange bounds a class's cost relative to the mean, so that one pass
	// over the classes serves at least one entry after few rounds.
	costRange = 8
	// spreads is the number of mean deviations above the mean that a run is
	// allowed for. Slots spent on requests that end after their deadline are
	// lost: with the mean alone, goodput at twice the capacity was 66% when run
	// times were exponentially distributed.
	spreads = 3
)

// Item is one waiting entry.
type Item struct {
	// Data belongs to the caller of Push.
	Data     any
	deadline time.Time
	class    *class
	prev     *Item
	next     *Item
}

// Queued reports whether the item is still in the queue.
func (it *Item) Queued() bool {
	return it.class != nil
}

// class is the queue of one tenant, or of all tenants beyond the bound.
type class struct {
	tenant     string
	head, tail *Item
	length     int
	// deficit is the slot time that the class may still use in this round.
	deficit time.Duration
	// service is the mean time that a request of the class holds a slot.
	service time.Duration
	// spread is the mean deviation from service.
	spread   time.Duration
	lastUsed time.Time
	active   bool
}

// longRun is a run time that few requests of the class exceed.
func (c *class) longRun() time.Duration {
	return c.service + spreads*c.spread
}

// QueueOptions bound a queue; zero fields mean the defaults.
type QueueOptions struct {
	// Limit is the number of entries.
	Limit int
	// MaxTenants is the number of tenants with a class of their own.
	MaxTenants int
}

// Queue is a bounded queue that shares slot time between tenants by deficit
// round robin: the cost of an entry is the mean time that requests of its
// tenant hold a slot. It has no clock; times are passed in and must not go
// back.
type Queue struct {
	limit      int
	maxTenants int
	length     int
	classes    map[string]*class
	shared     class
	// ring holds the classes with entries in the order of service.
	ring []*class
	turn int
	// service is the mean slot time over all classes.
	service time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(opts QueueOptions) *Queue {
	q := &Queue{limit: opts.Limit, maxTenants: opts.MaxTenants, classes: map[string]*class{}}
	if q.limit <= 0 {
		q.limit = DefaultQueueLimit
	}
	if q.maxTenants <= 0 {
		q.maxTenants = DefaultMaxTenants
	}
	return q
}

// Len returns the number of entries.
func (q *Queue) Len() int {
	return q.length
}

// SetLimit changes the bound for new entries.
func (q *Queue) SetLimit(n int) {
	if n > 0 {
		q.limit = n
	}
}

// Observe records how long a request of the tenant held a slot.
func (q *Queue) Observe(now time.Time, tenant string, took time.Duration) {
	c := q.classOf(now, tenant)
	if c.service > 0 {
		c.spread += time.Duration(serviceWeight * float64((took-c.service).Abs()-c.spread))
	}
	c.service = average(c.service, took)
	q.service = average(q.service, took)
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(serviceWeight*float64(sample-mean))
}

// Push adds an entry. slots is the number of requests that run at once; it
// decides how fast the queue moves. When the queue is full and the tenant is
// below its share, the newest entry of the longest class is removed in its
// favour and returned as displaced. Push refuses with errkind.DeadlinePassed or
// errkind.Overloaded. A zero deadline means none.
func (q *Queue) Push(now time.Time, tenant string, deadline time.Time, slots int) (it, displaced *Item, err error) {
	if !deadline.IsZero() && !deadline.After(now) {
		return nil, nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the request could wait for a slot")
	}
	c := q.classOf(now, tenant)
	wait := q.expectedWait(c, slots)
	if !deadline.IsZero() && deadline.Sub(now) < wait+c.longRun() {
		return nil, nil, overloaded(wait, "the expected wait of %v exceeds the remaining time", wait)
	}
	if q.length >= q.limit {
		if displaced = q.displace(c); displaced == nil {
			return nil, nil, overloaded(wait, "%d requests wait already", q.length)
		}
	}
	it = &Item{deadline: deadline, class: c}
	q.link(it)
	return it, displaced, nil
}

func overloaded(wait time.Duration, format string, args ...any) error {
	err := errkind.New(errkind.Overloaded, format, args...)
	err.RetryAfter = wait
	return err
}

// expectedWait is the time until a new entry of the class gets a slot: the slot
// time that is used before its turn, divided by the slots. Until its turn every
// other class uses at most as much slot time as the class itself.
func (q *Queue) expectedWait(c *class, slots int) time.Duration {
	own := time.Duration(c.length) * q.cost(c)
	ahead := own + q.service
	turn := own + q.cost(c)
	for _, o := range q.ring {
		if o != c {
			ahead += min(time.Duration(o.length)*q.cost(o), turn)
		}
	}
	return ahead / time.Duration(max(slots, 1))
}

// displace removes the newest entry of the longest class when the class c has
// at least two entries less, so that a tenant's burst cannot keep others out
// and two classes do not displace each other in turn.
func (q *Queue) displace(c *class) *Item {
	var longest *class
	for _, o := range q.ring {
		if longest == nil || o.length > longest.length {
			longest = o
		}
	}
	if longest == nil || longest.length < c.length+2 {
		return nil
	}
	it := longest.tail
	q.Remove(it)
	return it
}

// Pop removes the entry whose turn it is. Entries that can no longer finish
// before their deadline, by the mean run time of their tenant, are removed as
// well and returned as expired. It returns nil when no entry is left.
func (q *Queue) Pop(now time.Time) (it *Item, expired []*Item) {
	for len(q.ring) > 0 {
		if q.turn >= len(q.ring) {
			q.turn = 0
		}
		c := q.ring[q.turn]
		head := c.head
		if !head.deadline.IsZero() && !head.deadline.After(now.Add(c.service)) {
			q.Remove(head)
			expired = append(expired, head)
			continue
		}
		cost := q.cost(c)
		if c.deficit < cost {
			c.deficit += q.quantum()
			q.turn++
			continue
		}
		c.deficit -= cost
		q.Remove(head)
		return head, expired
	}
	return nil, expired
}

// Remove takes an entry out of the queue. It has no effect on an entry that is
// no longer queued.
func (q *Queue) Remove(it *Item) {
	c := it.class
	if c == nil {
		return
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		c.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		c.tail = it.prev
	}
	it.prev, it.next, it.class = nil, nil, nil
	c.length--
	q.length--
	if c.length == 0 {
		q.deactivate(c)
	}
}

func (q *Queue) link(it *Item) {
	c := it.class
	it.prev = c.tail
	if c.tail != nil {
		c.tail.next = it
	} else {
		c.head = it
	}
	c.tail = it
	c.length++
	q.length++
	if !c.active {
		c.active = true
		c.deficit = 0
		q.ring = append(q.ring, c)
	}
}

// deactivate takes an empty class out of the ring. The turn stays with the
// class that follows.
func (q *Queue) deactivate(c *class) {
	c.active = false
	for i, o := range q.ring {
		if o != c {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if q.turn > i {
			q.turn--
		}
		return
	}
}

// quantum is the slot time that a class is given per round.
func (q *Queue) quantum() time.Duration {
	return max(q.service, costRange)
}

// cost is the slot time that one entry of the class is charged.
func (q *Queue) cost(c *class) time.Duration {
	quantum := q.quantum()
	if c.service == 0 {
		return quantum
	}
	return min(max(c.service, quantum/costRange), quantum*costRange)
}

// classOf returns the class of a tenant. Requests without a tenant and tenants
// beyond the bound share one class.
func (q *Queue) classOf(now time.Time, tenant string) *class {
	if tenant == "" {
		return &q.shared
	}
	c := q.classes[tenant]
	if c == nil {
		if len(q.classes) >= q.maxTenants && !q.dropIdle(now) {
			return &q.shared
		}
		c = &class{tenant: tenant}
		q.classes[tenant] = c
	}
	c.lastUsed = now
	return c
}

// dropIdle frees the place of one unused class.
func (q *Queue) dropIdle(now time.Time) bool {
	for tenant, c := range q.classes {
		if c.length == 0 && now.Sub(c.lastUsed) >= tenantIdle {
			delete(q.classes, tenant)
			return true
		}
	}
	return false
}
