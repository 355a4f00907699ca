package admit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
)

// waitingPerSlot bounds the requests that wait for each slot. Longer queues only
// hold requests that are refused in the end.
const waitingPerSlot = 4

// goalMargin is the factor on the mean service time with which an answer is
// expected to meet its goal: half of the requests take longer than the mean.
const goalMargin = 1.3

// A late request may wait for one lateWaitShare of a mean service time, or for
// lateWaitLast service times when no other host is left.
const (
	lateWaitShare = 4
	lateWaitLast  = 2
)

// Work is short when it takes at most the shortShare-th part of the time of the
// longest kind of work. Short work of a low rank is served with the highest rank while it holds at
// most the shortSlots-th part of the slots: it is mostly calls that running requests
// wait for. Each of them that is refused loses a run elsewhere, and serving it costs
// urgent long work little.
const (
	shortShare = 2
	shortSlots = 2
)

// PriorityLimiter admits requests up to a limit and serves waiting requests by
// rank. Within a rank it serves those first whose answer can still meet its
// goal, the earliest goal first: short calls that running requests wait for
// have near goals. Late ones come last: after a burst they would make all others
// late as well.
type PriorityLimiter struct {
	now func() time.Time

	mu       sync.Mutex
	limit    Limit
	inFlight int
	// promoted counts the requests in flight that were served before their rank.
	promoted int
	waiting  rankedHeap
	arrivals uint64
	// service is the mean time that a request holds a slot, byWork that of one
	// kind of work.
	service time.Duration
	byWork  map[WorkClass]time.Duration
}

// WorkClass is a kind of request. Requests of one kind are expected to hold their
// slots for about the same time.
type WorkClass struct {
	// Priority says which requests are served first; 0 is the highest.
	Priority int
	// Repeatable work may run more than once. The calls that running requests
	// depend on are repeatable and short, also where they have the rank of long
	// requests.
	Repeatable bool
}

// NewPriorityLimiter returns a limiter without slots. A nil now means time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, byWork: map[WorkClass]time.Duration{}}
}

type rankedItem struct {
	work WorkClass
	// promoted tells that the item is served before its rank.
	promoted bool
	// late tells that the answer is expected to miss its goal.
	late bool
	// expires is the time at which the item is refused if it has no slot.
	expires time.Time
	arrival uint64
	bounds  WaitBounds
	index   int
	verdict chan error
}

// before reports whether the item is served before another one.
func (it *rankedItem) before(other *rankedItem) bool {
	if it.rank() != other.rank() {
		return it.rank() < other.rank()
	}
	if it.late != other.late {
		return other.late
	}
	if !it.late && !it.bounds.Goal.Equal(other.bounds.Goal) {
		return it.bounds.Goal.Before(other.bounds.Goal)
	}
	return it.arrival < other.arrival
}

// rank is that with which the item is served.
func (it *rankedItem) rank() int {
	if it.promoted {
		return 0
	}
	return it.work.Priority
}

// WaitPolicy says how long a request may wait for a slot.
type WaitPolicy int

// The kinds of patience.
const (
	// NoWait refuses a request when no slot is free.
	NoWait WaitPolicy = iota
	// UntilGoal lets a request wait while its answer is expected to meet the
	// goal, and a late one for a short time.
	UntilGoal
	// UntilDeadline also lets a request wait whose answer will miss the goal, in
	// spare capacity.
	UntilDeadline
)

// WaitBounds bounds the wait of a request.
type WaitBounds struct {
	Policy   WaitPolicy
	Goal     time.Time
	Deadline time.Time
}

// Acquire waits for a slot within the bounds. The returned function gives the
// slot back and must be called once. A request whose expected wait exceeds the
// bounds is refused at once with errkind.Overloaded, so that its caller can turn
// elsewhere in time.
func (l *PriorityLimiter) Acquire(ctx context.Context, work WorkClass, bounds WaitBounds) (func(Result), error) {
	l.mu.Lock()
	now := l.now()
	if l.limit.Allowed() == 0 {
		l.mu.Unlock()
		return nil, errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	it := &rankedItem{work: work, arrival: l.arrivals, bounds: bounds, verdict: make(chan error, 1)}
	if l.inFlight < l.limit.Allowed() && len(l.waiting) == 0 {
		l.begin(it)
		l.mu.Unlock()
		return l.releaser(it, now), nil
	}
	it.promoted = l.short(work) && l.promoted < l.limit.Allowed()/shortSlots
	it.late = l.late(now, it)
	if err := l.enqueue(now, it); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	return l.await(ctx, it)
}

// enqueue lets a request wait, unless it would wait too long. In a full queue
// it takes the place of the last one if it is served before that.
func (l *PriorityLimiter) enqueue(now time.Time, it *rankedItem) error {
	wait := l.expectedWait(it)
	slots := max(l.limit.Allowed(), 1)
	if it.bounds.Policy == NoWait {
		return overloaded(wait, "%d of %d slots are used", l.inFlight, slots)
	}
	if it.bounds.Policy == UntilDeadline && it.bounds.Goal.Sub(now)-wait < l.inTime(it) {
		it.late = true
		wait = l.expectedWait(it)
	}
	longest := l.longestWait(now, it)
	if wait > longest {
		return overloaded(wait, "the expected wait of %v is too long", wait)
	}
	it.expires = now.Add(longest + l.serviceOf(it.work)/2)
	if len(l.waiting) >= slots*waitingPerSlot {
		last := l.waiting.last()
		if !it.before(last) {
			return overloaded(wait, "%d requests wait already", len(l.waiting))
		}
		heap.Remove(&l.waiting, last.index)
		last.verdict <- overloaded(wait, "more urgent requests fill the queue of %d", len(l.waiting)+1)
	}
	l.arrivals++
	heap.Push(&l.waiting, it)
	return nil
}

// MeanServiceTime is the mean time for which a request of the kind holds a slot; 0
// while no request has ended.
func (l *PriorityLimiter) MeanServiceTime(work WorkClass) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serviceOf(work)
}

// serviceOf is the mean service time of a kind of work, or of all requests while
// none of the kind has ended.
func (l *PriorityLimiter) serviceOf(work WorkClass) time.Duration {
	if d, ok := l.byWork[work]; ok {
		return d
	}
	return l.service
}

// expectedWait is the time until a slot is free for the request: that of the
// requests before it and of the next one that ends.
func (l *PriorityLimiter) expectedWait(it *rankedItem) time.Duration {
	before := l.service
	for _, w := range l.waiting {
		if w.before(it) {
			before += l.serviceOf(w.work)
		}
	}
	return before / time.Duration(max(l.limit.Allowed(), 1))
}

// late reports whether the answer is expected to miss its goal if the request
// gets a slot now.
func (l *PriorityLimiter) late(now time.Time, it *rankedItem) bool {
	return it.bounds.Goal.Sub(now) < l.inTime(it)
}

// inTime is the time before the goal at which a request must get a slot.
func (l *PriorityLimiter) inTime(it *rankedItem) time.Duration {
	return time.Duration(goalMargin * float64(l.serviceOf(it.work)))
}

// longestWait is how long a request may wait. Late requests wait for a short
// time only: while there are requests in time they get no slot, and their
// callers had better come back later. The caller holds the lock.
func (l *PriorityLimiter) longestWait(now time.Time, it *rankedItem) time.Duration {
	service := l.serviceOf(it.work)
	toDeadline := it.bounds.Deadline.Sub(now) - l.inTime(it)
	switch {
	case it.late && it.bounds.Policy == UntilDeadline:
		return min(lateWaitLast*service, toDeadline)
	case it.late && it.promoted:
		return min(lateWaitLast*service, toDeadline)
	case it.late:
		return min(service/lateWaitShare, toDeadline)
	case it.bounds.Policy == UntilDeadline:
		return toDeadline
	}
	return min(it.bounds.Goal.Sub(now)-l.inTime(it), toDeadline)
}

// await waits for the verdict on an item until it expires.
func (l *PriorityLimiter) await(ctx context.Context, it *rankedItem) (func(Result), error) {
	timer := time.NewTimer(it.expires.Sub(l.now()))
	defer timer.Stop()
	select {
	case err := <-it.verdict:
		if err != nil {
			return nil, err
		}
		return l.releaser(it, l.now()), nil
	case <-ctx.Done():
		l.abandon(it)
		return nil, contextError(ctx.Err())
	case <-timer.C:
		l.abandon(it)
		return nil, overloaded(0, "no slot was free in time")
	}
}

// abandon removes a request that no longer waits. A slot that it was given at
// the same moment goes to the next one.
func (l *PriorityLimiter) abandon(it *rankedItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.index >= 0 {
		heap.Remove(&l.waiting, it.index)
		return
	}
	if err := <-it.verdict; err == nil {
		l.end(it)
		l.dispatch()
	}
}

// begin gives a slot to a request, end takes it back.
func (l *PriorityLimiter) begin(it *rankedItem) {
	l.inFlight++
	if it.promoted {
		l.promoted++
	}
}

func (l *PriorityLimiter) end(it *rankedItem) {
	l.inFlight--
	if it.promoted {
		l.promoted--
	}
}

// short reports whether work of the kind is short.
func (l *PriorityLimiter) short(work WorkClass) bool {
	own, known := l.byWork[work]
	if !known {
		return false
	}
	for _, other := range l.byWork {
		if own*shortShare <= other {
			return true
		}
	}
	return false
}

// observe takes the time for which a request held a slot.
func (l *PriorityLimiter) observe(work WorkClass, took time.Duration) {
	l.service = average(l.service, took)
	l.byWork[work] = average(l.byWork[work], took)
}

func (l *PriorityLimiter) releaser(it *rankedItem, start time.Time) func(Result) {
	return func(r Result) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		l.limit.Observe(now, r, l.inFlight)
		l.end(it)
		if r == Completed {
			l.observe(it.work, now.Sub(start))
		}
		l.dispatch()
	}
}

// dispatch gives free slots to waiting requests. One that can no longer meet its
// goal goes back behind the others of its rank, and one that cannot end before
// its deadline is refused.
func (l *PriorityLimiter) dispatch() {
	now := l.now()
	for l.inFlight < l.limit.Allowed() && len(l.waiting) > 0 {
		it := heap.Pop(&l.waiting).(*rankedItem)
		switch {
		case it.bounds.Deadline.Sub(now) < l.inTime(it):
			it.verdict <- overloaded(0, "no slot was free in time")
		case !it.late && l.late(now, it):
			it.late = true
			heap.Push(&l.waiting, it)
		default:
			l.begin(it)
			it.verdict <- nil
		}
	}
}

// SetSlots sets the slots of the upstream. Waiting requests are refused when
// there are none any more.
func (l *PriorityLimiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.limit.slots {
		return
	}
	l.limit = NewWarmLimit(slots)
	for slots == 0 && len(l.waiting) > 0 {
		it := heap.Pop(&l.waiting).(*rankedItem)
		it.verdict <- errkind.New(errkind.UpstreamDown, "the upstream is gone")
	}
	l.dispatch()
}

// Stats returns the present limit, the requests that hold a slot and those that
// wait.
func (l *PriorityLimiter) Stats() (allowed, inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed(), l.inFlight, len(l.waiting)
}

// rankedHeap orders waiting requests as they are served.
type rankedHeap []*rankedItem

func (h rankedHeap) Len() int { return len(h) }

func (h rankedHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// last returns the item that is served after all others.
func (h rankedHeap) last() *rankedItem {
	last := h[0]
	for _, it := range h {
		if last.before(it) {
			last = it
		}
	}
	return last
}

func (h rankedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *rankedHeap) Push(x any) {
	it := x.(*rankedItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *rankedHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
