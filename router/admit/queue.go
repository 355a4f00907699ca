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
	// tenantIdleTimeout is how long the unused queue of a tenant is kept.
	tenantIdleTimeout = time.Minute
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight = 0.1
	// maxCostRatio bounds the ratio of a tenant's cost to the mean cost in both
	// directions, so that every tenant is served after at most that many rounds.
	maxCostRatio = 8
	// deviationFactor is the number of mean deviations above the mean service time
	// that must fit before the deadline. Slots spent on requests that end after
	// their deadline are wasted: with the mean alone, goodput at twice the capacity
	// was 66% for exponentially distributed service times.
	deviationFactor = 3
)

// Item is one waiting request.
type Item struct {
	// Data belongs to the caller of Push.
	Data     any
	deadline time.Time
	// queue is the queue that holds the item, nil once it was removed.
	queue *tenantQueue
	prev  *Item
	next  *Item
}

// Queued reports whether the item is still in the queue.
func (it *Item) Queued() bool {
	return it.queue != nil
}

// tenantQueue is the FIFO queue of one tenant, or the shared one of all tenants
// beyond QueueOptions.MaxTenants.
type tenantQueue struct {
	tenant     string
	head, tail *Item
	length     int
	// deficit is the slot time that the queue may still use in this round.
	deficit time.Duration
	// meanService is the mean time that a request of the queue holds a slot.
	meanService time.Duration
	// meanDeviation is the mean absolute deviation from meanService.
	meanDeviation time.Duration
	lastUsed      time.Time
	// inRing is true while the queue is in Queue.ring.
	inRing bool
}

// longServiceTime returns a service time that few requests of the queue exceed.
func (tq *tenantQueue) longServiceTime() time.Duration {
	return tq.meanService + deviationFactor*tq.meanDeviation
}

// QueueOptions bounds a Queue. Zero fields select the defaults.
type QueueOptions struct {
	// Limit is the maximum number of items.
	Limit int
	// MaxTenants is the maximum number of tenants with a queue of their own.
	MaxTenants int
}

// Queue is a bounded queue that shares slot time between tenants by deficit
// round robin: the cost of an item is the mean time that requests of its tenant
// hold a slot. It has no clock; times are passed in and must not decrease. It is
// not safe for concurrent use.
type Queue struct {
	limit      int
	maxTenants int
	length     int
	tenants    map[string]*tenantQueue
	// shared holds the requests without a tenant and those of the tenants that
	// have no queue of their own.
	shared tenantQueue
	// ring holds the queues with items in round-robin order; ringPos is the
	// index of the next one.
	ring    []*tenantQueue
	ringPos int
	// meanService is the mean service time over all tenants.
	meanService time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(opts QueueOptions) *Queue {
	q := &Queue{limit: opts.Limit, maxTenants: opts.MaxTenants, tenants: map[string]*tenantQueue{}}
	if q.limit <= 0 {
		q.limit = DefaultQueueLimit
	}
	if q.maxTenants <= 0 {
		q.maxTenants = DefaultMaxTenants
	}
	return q
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return q.length
}

// SetLimit sets the maximum number of items. Items above a lowered limit stay. It
// has no effect if n is below 1.
func (q *Queue) SetLimit(n int) {
	if n > 0 {
		q.limit = n
	}
}

// Observe records how long a request of the tenant held a slot.
func (q *Queue) Observe(now time.Time, tenant string, took time.Duration) {
	tq := q.queueOf(now, tenant)
	if tq.meanService > 0 {
		tq.meanDeviation += time.Duration(ewmaWeight * float64((took-tq.meanService).Abs()-tq.meanDeviation))
	}
	tq.meanService = ewma(tq.meanService, took)
	q.meanService = ewma(q.meanService, took)
}

// ewma returns the exponentially weighted moving average after a new sample. A
// mean of 0 means that there was no sample yet.
func ewma(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(ewmaWeight*float64(sample-mean))
}

// Push adds an item. slots is the number of requests that run at once, from which
// the expected wait is computed. If the queue is full and the tenant is below its
// share, the newest item of the longest tenant queue is removed and returned as
// displaced. Errors have the kind errkind.DeadlinePassed or errkind.Overloaded. A
// zero deadline means no deadline.
func (q *Queue) Push(now time.Time, tenant string, deadline time.Time, slots int) (it, displaced *Item, err error) {
	if !deadline.IsZero() && !deadline.After(now) {
		return nil, nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the request could wait for a slot")
	}
	tq := q.queueOf(now, tenant)
	wait := q.expectedWait(tq, slots)
	if !deadline.IsZero() && deadline.Sub(now) < wait+tq.longServiceTime() {
		return nil, nil, overloaded(wait, "the expected wait of %v exceeds the remaining time", wait)
	}
	if q.length >= q.limit {
		if displaced = q.displace(tq); displaced == nil {
			return nil, nil, overloaded(wait, "%d requests wait already", q.length)
		}
	}
	it = &Item{deadline: deadline, queue: tq}
	q.insert(it)
	return it, displaced, nil
}

// overloaded returns an errkind.Overloaded error that asks the caller to retry
// after the expected wait.
func overloaded(wait time.Duration, format string, args ...any) error {
	err := errkind.New(errkind.Overloaded, format, args...)
	err.RetryAfter = wait
	return err
}

// expectedWait returns the time until a new item of the queue tq gets a slot: the
// slot time that is used before its turn, divided by the number of slots. Until
// its turn, every other queue uses at most as much slot time as tq itself.
func (q *Queue) expectedWait(tq *tenantQueue, slots int) time.Duration {
	own := time.Duration(tq.length) * q.cost(tq)
	ahead := own + q.meanService
	turn := own + q.cost(tq)
	for _, o := range q.ring {
		if o != tq {
			ahead += min(time.Duration(o.length)*q.cost(o), turn)
		}
	}
	return ahead / time.Duration(max(slots, 1))
}

// displace removes and returns the newest item of the longest queue if tq has at
// least two items less, so that a tenant's burst cannot keep others out and two
// queues do not displace each other's items alternately. Otherwise it returns nil.
func (q *Queue) displace(tq *tenantQueue) *Item {
	var longest *tenantQueue
	for _, o := range q.ring {
		if longest == nil || o.length > longest.length {
			longest = o
		}
	}
	if longest == nil || longest.length < tq.length+2 {
		return nil
	}
	it := longest.tail
	q.Remove(it)
	return it
}

// Pop removes and returns the next item in round-robin order, or nil if the queue
// is empty. Items that it reaches and that can no longer finish before their deadline,
// by the mean service time of their tenant, are removed and returned as expired.
func (q *Queue) Pop(now time.Time) (it *Item, expired []*Item) {
	for len(q.ring) > 0 {
		if q.ringPos >= len(q.ring) {
			q.ringPos = 0
		}
		tq := q.ring[q.ringPos]
		head := tq.head
		if !head.deadline.IsZero() && !head.deadline.After(now.Add(tq.meanService)) {
			q.Remove(head)
			expired = append(expired, head)
			continue
		}
		cost := q.cost(tq)
		if tq.deficit < cost {
			tq.deficit += q.quantum()
			q.ringPos++
			continue
		}
		tq.deficit -= cost
		q.Remove(head)
		return head, expired
	}
	return nil, expired
}

// Remove removes an item. It has no effect if the item is no longer queued.
func (q *Queue) Remove(it *Item) {
	tq := it.queue
	if tq == nil {
		return
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		tq.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		tq.tail = it.prev
	}
	it.prev, it.next, it.queue = nil, nil, nil
	tq.length--
	q.length--
	if tq.length == 0 {
		q.leaveRing(tq)
	}
}

// insert appends the item to its tenant queue, and an empty queue to the ring.
func (q *Queue) insert(it *Item) {
	tq := it.queue
	it.prev = tq.tail
	if tq.tail != nil {
		tq.tail.next = it
	} else {
		tq.head = it
	}
	tq.tail = it
	tq.length++
	q.length++
	if !tq.inRing {
		tq.inRing = true
		tq.deficit = 0
		q.ring = append(q.ring, tq)
	}
}

// leaveRing removes an empty queue from the ring. The next turn stays with the
// same queue as before, or passes to the queue that followed tq.
func (q *Queue) leaveRing(tq *tenantQueue) {
	tq.inRing = false
	for i, o := range q.ring {
		if o != tq {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if q.ringPos > i {
			q.ringPos--
		}
		return
	}
}

// quantum returns the slot time that is added to each queue's deficit per round.
func (q *Queue) quantum() time.Duration {
	return max(q.meanService, maxCostRatio)
}

// cost returns the slot time that is charged for one item of the queue.
func (q *Queue) cost(tq *tenantQueue) time.Duration {
	quantum := q.quantum()
	if tq.meanService == 0 {
		return quantum
	}
	return min(max(tq.meanService, quantum/maxCostRatio), quantum*maxCostRatio)
}

// queueOf returns the queue of a tenant and creates it if needed. Requests without
// a tenant and tenants beyond maxTenants share one queue.
func (q *Queue) queueOf(now time.Time, tenant string) *tenantQueue {
	if tenant == "" {
		return &q.shared
	}
	tq := q.tenants[tenant]
	if tq == nil {
		if len(q.tenants) >= q.maxTenants && !q.evictIdle(now) {
			return &q.shared
		}
		tq = &tenantQueue{tenant: tenant}
		q.tenants[tenant] = tq
	}
	tq.lastUsed = now
	return tq
}

// evictIdle removes one queue that is empty and was not used within
// tenantIdleTimeout. It reports whether it found one.
func (q *Queue) evictIdle(now time.Time) bool {
	for tenant, tq := range q.tenants {
		if tq.length == 0 && now.Sub(tq.lastUsed) >= tenantIdleTimeout {
			delete(q.tenants, tenant)
			return true
		}
	}
	return false
}
