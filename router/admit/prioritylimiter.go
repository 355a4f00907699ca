package admit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/slowstart"
)

// maxWaitingPerSlot bounds the number of waiting requests per slot. Requests in a
// longer queue would be refused in the end anyway.
const maxWaitingPerSlot = 4

// goalMargin multiplies the mean service time when the limiter estimates whether a
// response meets its goal. The mean alone is too short, because half of the
// requests take longer.
const goalMargin = 1.3

// Bounds on the wait of a request that is expected to miss its goal, in mean
// service times.
const (
	// lateWaitDivisor: it waits for at most 1/lateWaitDivisor of a mean service
	// time in general.
	lateWaitDivisor = 4
	// lateWaitFactor: it waits for at most lateWaitFactor mean service times if no
	// other host is left to try, or if it is promoted.
	lateWaitFactor = 2
)

// Short requests of a low priority are promoted to the highest one. They are mostly
// calls that running requests wait for: refusing one wastes the work of a request
// that runs elsewhere, and serving it costs long urgent requests little.
const (
	// shortDivisor: a class is short if its mean service time is at most
	// 1/shortDivisor of that of the longest class.
	shortDivisor = 2
	// promotedSlotsDivisor: promoted requests hold at most 1/promotedSlotsDivisor
	// of the slots.
	promotedSlotsDivisor = 2
)

// PriorityLimiter admits requests up to a Limit and a RateLimit and serves waiting
// requests by priority. Within a priority, calls of running requests come first, then
// requests that use a reservation, first attempts, and requests that returned early or
// without a reservation. Among these, requests that can still meet their goal come first,
// earliest goal first. Late requests come last, because after a burst they would make all
// others late as well. It is safe for concurrent use.
type PriorityLimiter struct {
	now func() time.Time

	mu       sync.Mutex
	limit    Limit
	inFlight int
	rate     RateLimit
	// cold bounds the requests while the upstream is cold.
	cold slowstart.Bucket
	// responded is true once the upstream has responded.
	responded bool
	// nextToken dispatches waiting requests when the next token of rate is due.
	nextToken *time.Timer
	// promoted is the number of promoted requests in flight.
	promoted    int
	calls       runCalls
	waiting     priorityHeap
	nextArrival uint64
	// meanService is the mean time that a request holds a slot at the usual pace,
	// meanByClass the same per class.
	meanService time.Duration
	meanByClass map[WorkClass]time.Duration
	// pace is the pace that the upstream reports, paceFactor its factor for the
	// decision in progress.
	pace       Pace
	paceFactor float64
	// reservations is nil if none are made.
	reservations *reservations
}

// WorkClass is a class of requests that are expected to hold their slots for about
// the same time.
type WorkClass struct {
	// Priority determines which requests are served first; 0 is the highest.
	Priority int
	// Repeatable is true for requests that may run more than once. The calls that
	// running requests depend on are repeatable and short, even those with the
	// priority of long requests.
	Repeatable bool
	// OfRun is true if the request is a call for which a running request waits. It has the
	// priority of that request, and its own service time.
	OfRun bool
}

// NewPriorityLimiter returns a limiter without slots. now defaults to time.Now.
func NewPriorityLimiter(now func() time.Time) *PriorityLimiter {
	if now == nil {
		now = time.Now
	}
	return &PriorityLimiter{now: now, meanByClass: map[WorkClass]time.Duration{}, paceFactor: 1}
}

// priorityItem is one request, waiting or in flight.
type priorityItem struct {
	class WorkClass
	// promoted is true if the item is served with the highest priority instead of
	// its own.
	promoted bool
	// turn orders returning requests.
	turn turn
	// late is true if the response is expected to miss its goal.
	late bool
	// expires is when the item is refused if it has no slot by then.
	expires time.Time
	// arrival is the sequence number of the request among those that waited.
	arrival uint64
	bounds  WaitBounds
	// index is the position in the heap, -1 once the item was removed.
	index int
	// decision receives at most one value: nil if the request got a slot, or the
	// error with which it is refused. It is buffered, so sends do not block.
	decision chan error
}

// before reports whether the item is served before another one.
func (it *priorityItem) before(other *priorityItem) bool {
	if it.effectivePriority() != other.effectivePriority() {
		return it.effectivePriority() < other.effectivePriority()
	}
	if it.class.OfRun != other.class.OfRun {
		return it.class.OfRun
	}
	if it.turn != other.turn {
		return it.turn < other.turn
	}
	if it.late != other.late {
		return other.late
	}
	if !it.late && !it.bounds.Goal.Equal(other.bounds.Goal) {
		return it.bounds.Goal.Before(other.bounds.Goal)
	}
	return it.arrival < other.arrival
}

// effectivePriority returns the priority with which the item is served.
func (it *priorityItem) effectivePriority() int {
	if it.promoted {
		return 0
	}
	return it.class.Priority
}

// WaitPolicy determines how long a request may wait for a slot. The values are sent
// between hosts.
type WaitPolicy int

// The wait policies.
const (
	// NoWait refuses a request if no slot is free.
	NoWait WaitPolicy = iota
	// UntilGoal lets a request wait while its response is expected to meet the
	// goal, and a late one for a short time.
	UntilGoal
	// UntilDeadline also lets a request wait whose response will miss the goal. It
	// then uses spare capacity only.
	UntilDeadline
)

// WaitBounds bounds the wait of a request.
type WaitBounds struct {
	Policy WaitPolicy
	// Goal is when the response should arrive to meet its latency objective.
	Goal time.Time
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Origin describes the attempt.
	Origin Origin
	// MakesCalls is true if the request is expected to make calls for which it waits.
	MakesCalls bool
}

// Acquire waits for a slot within the bounds. The returned function releases the
// slot and must be called exactly once. A request whose expected wait exceeds the
// bounds is refused immediately with errkind.Overloaded, so that its caller can try
// another host in time. Errors can also have the kinds errkind.UpstreamDown,
// errkind.DeadlinePassed and errkind.CallerLeft.
func (l *PriorityLimiter) Acquire(ctx context.Context, class WorkClass, bounds WaitBounds) (func(Result), error) {
	release, err := l.acquire(ctx, class, bounds)
	if err != nil {
		return nil, l.offerReturn(class, bounds, err)
	}
	return release, nil
}

// acquire is Acquire without the time at which a refused request should return.
func (l *PriorityLimiter) acquire(ctx context.Context, class WorkClass, bounds WaitBounds) (func(Result), error) {
	l.mu.Lock()
	now := l.now()
	l.paceFactor = l.pace.Factor(now)
	if l.limit.Allowed() == 0 {
		l.mu.Unlock()
		return nil, errNoUpstream()
	}
	it := &priorityItem{class: class, arrival: l.nextArrival, bounds: bounds, decision: make(chan error, 1)}
	l.claim(now, it)
	l.noteArrival(now, it)
	if l.mayStartAtOnce(now, it) {
		l.takeSlot(now, it)
		l.mu.Unlock()
		return l.releaseFunc(it, now), nil
	}
	l.classify(now, it)
	if err := l.enqueue(now, it); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	return l.await(ctx, it)
}

// enqueue adds the item to the waiting requests unless it would wait too long. In a
// full queue it displaces the last item if it precedes that one, or one of a host with more
// than its share of the queue. The caller holds l.mu.
func (l *PriorityLimiter) enqueue(now time.Time, it *priorityItem) error {
	wait, displaced, err := l.judge(now, it)
	if err != nil {
		return err
	}
	if displaced != nil {
		heap.Remove(&l.waiting, displaced.index)
		displaced.decision <- l.displacedError(wait, it, displaced)
	}
	l.nextArrival++
	heap.Push(&l.waiting, it)
	l.awaitToken(now)
	return nil
}

// judge decides whether the item may wait. It returns the expected wait, and the waiting
// item whose place it takes, or nil. It changes the item and, for a call of a run, the start
// of a burst of calls. The caller holds l.mu.
func (l *PriorityLimiter) judge(now time.Time, it *priorityItem) (wait time.Duration, displaced *priorityItem, err error) {
	wait = l.expectedWait(now, it)
	slots := max(l.limit.Allowed(), 1)
	if it.bounds.Policy == NoWait && it.turn != turnReserved {
		if l.mayStart(now) {
			return wait, nil, overloaded(wait, "the free slots are kept for calls of running requests")
		}
		return wait, nil, overloaded(wait, "%d of %d slots are used, and %.0f requests per second are allowed (0: any)", l.inFlight, slots, l.allowedPerSecond(now))
	}
	if it.bounds.Policy == UntilDeadline && it.bounds.Goal.Sub(now)-wait < l.leadTime(it) {
		it.late = true
		wait = l.expectedWait(now, it)
	}
	longest := l.maxWait(now, it)
	if wait > longest {
		if displaced = l.displacedFor(it, wait-longest); displaced == nil {
			return wait, nil, overloaded(wait, "the expected wait of %v is too long", wait)
		}
	}
	it.expires = now.Add(longest + l.meanServiceOf(it.class)/2)
	if displaced == nil && len(l.waiting) >= slots*maxWaitingPerSlot {
		displaced = l.waiting.last()
		if !it.before(displaced) {
			displaced = l.displacedFor(it, 0)
		}
		if displaced == nil {
			return wait, nil, overloaded(wait, "%d requests wait already", len(l.waiting))
		}
	}
	return wait, displaced, nil
}

// MeanServiceTime returns the mean time for which a request of the class holds a
// slot, 0 while no request has completed.
func (l *PriorityLimiter) MeanServiceTime(class WorkClass) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paceFactor = l.pace.Factor(l.now())
	return l.meanServiceOf(class)
}

// meanServiceOf returns the mean service time of a class, or of all requests while
// none of the class has completed.
func (l *PriorityLimiter) meanServiceOf(class WorkClass) time.Duration {
	if d, ok := l.meanByClass[class]; ok {
		return l.atPace(d)
	}
	return l.atPace(l.meanService)
}

// expectedWait returns the expected time until the item gets a slot: the service
// times of the items before it and of one request in flight, divided by the slots, or
// the time until the bounds on the rate let it through if that is longer.
func (l *PriorityLimiter) expectedWait(now time.Time, it *priorityItem) time.Duration {
	before, ahead := l.atPace(l.meanService), 0
	for _, w := range l.waiting {
		if w.before(it) {
			before += l.meanServiceOf(w.class)
			ahead++
		}
	}
	wait := before / time.Duration(max(l.limit.Allowed(), 1))
	wait += l.reservedWait(now, it, wait)
	return max(wait, l.tokenWait(now, ahead+1), l.waitBesideCalls(now, it))
}

// wouldMissGoal reports whether the response is expected to miss its goal if the
// request gets a slot now.
func (l *PriorityLimiter) wouldMissGoal(now time.Time, it *priorityItem) bool {
	return it.bounds.Goal.Sub(now) < l.leadTime(it)
}

// leadTime returns how long before its goal a request must get a slot.
func (l *PriorityLimiter) leadTime(it *priorityItem) time.Duration {
	return time.Duration(goalMargin * float64(l.meanServiceOf(it.class)))
}

// maxWait returns how long the item may wait. Late requests wait only briefly: they
// get no slot while others can meet their goals, so their callers should retry
// later. The caller holds l.mu.
func (l *PriorityLimiter) maxWait(now time.Time, it *priorityItem) time.Duration {
	if it.class.OfRun {
		return l.maxCallWait(now, it)
	}
	service := l.meanServiceOf(it.class)
	toDeadline := it.bounds.Deadline.Sub(now) - l.leadTime(it)
	switch {
	case it.turn == turnReserved:
		return toDeadline
	case it.late && it.bounds.Policy == UntilDeadline:
		return min(lateWaitFactor*service, toDeadline)
	case it.late && it.promoted:
		return min(lateWaitFactor*service, toDeadline)
	case it.late:
		return min(service/lateWaitDivisor, toDeadline)
	case it.bounds.Policy == UntilDeadline:
		return toDeadline
	}
	return min(it.bounds.Goal.Sub(now)-l.leadTime(it), toDeadline)
}

// await blocks until the item gets a slot, is refused or expires, or ctx ends.
func (l *PriorityLimiter) await(ctx context.Context, it *priorityItem) (func(Result), error) {
	timer := time.NewTimer(it.expires.Sub(l.now()))
	defer timer.Stop()
	select {
	case err := <-it.decision:
		if err != nil {
			return nil, err
		}
		return l.releaseFunc(it, l.now()), nil
	case <-ctx.Done():
		l.abandon(it)
		return nil, contextError(ctx.Err())
	case <-timer.C:
		l.abandon(it)
		return nil, overloaded(0, "no slot was free in time")
	}
}

// abandon removes the item of a request that stopped waiting. If the request was
// granted a slot concurrently, the slot goes to the next one.
func (l *PriorityLimiter) abandon(it *priorityItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.index >= 0 {
		heap.Remove(&l.waiting, it.index)
		return
	}
	if err := <-it.decision; err == nil {
		l.freeSlot(it)
		l.dispatch()
	}
}

// takeSlot counts the request as in flight and against the bounds on the rate. The caller
// holds l.mu.
func (l *PriorityLimiter) takeSlot(now time.Time, it *priorityItem) {
	l.rate.Take(now)
	l.cold.Sent(now)
	l.inFlight++
	l.served(now, it.class)
	if it.promoted {
		l.promoted++
	}
	l.countStart(now, it)
}

// freeSlot frees the slot of the request; its token stays used. The caller holds l.mu.
func (l *PriorityLimiter) freeSlot(it *priorityItem) {
	l.inFlight--
	if it.promoted {
		l.promoted--
	}
	l.countEnd(it)
}

// isShort reports whether requests of the class are short, see shortDivisor.
func (l *PriorityLimiter) isShort(class WorkClass) bool {
	own, known := l.meanByClass[class]
	if !known {
		return false
	}
	for _, other := range l.meanByClass {
		if own*shortDivisor <= other {
			return true
		}
	}
	return false
}

// observe records how long a request of the class held a slot.
func (l *PriorityLimiter) observe(class WorkClass, took time.Duration) {
	took = l.usual(took)
	l.meanService = ewma(l.meanService, took)
	l.meanByClass[class] = ewma(l.meanByClass[class], took)
}

// releaseFunc returns the function that releases a slot acquired at start.
func (l *PriorityLimiter) releaseFunc(it *priorityItem, start time.Time) func(Result) {
	return func(r Result) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		l.paceFactor = l.pace.Factor(now)
		l.limit.Observe(now, r, l.inFlight)
		l.freeSlot(it)
		l.responded = l.responded || r != Failed
		if r == Completed {
			l.observe(it.class, now.Sub(start))
		}
		l.dispatch()
	}
}

// dispatch grants free slots to waiting requests. A request that can no longer meet
// its goal is queued again behind the others of its priority, and one that cannot
// end before its deadline is refused. The caller holds l.mu.
func (l *PriorityLimiter) dispatch() {
	now := l.now()
	l.paceFactor = l.pace.Factor(now)
	for it := l.next(now); it != nil; it = l.next(now) {
		switch {
		case it.bounds.Deadline.Sub(now) < l.leadTime(it):
			it.decision <- overloaded(0, "no slot was free in time")
		case !it.late && l.wouldMissGoal(now, it):
			it.late = true
			heap.Push(&l.waiting, it)
		default:
			l.takeSlot(now, it)
			it.decision <- nil
		}
	}
	l.awaitToken(now)
}

// SetSlots sets the number of slots of the upstream. With 0 slots, all waiting
// requests are refused with errkind.UpstreamDown.
func (l *PriorityLimiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.limit.slots {
		return
	}
	l.limit = NewWarmLimit(slots)
	for slots == 0 && len(l.waiting) > 0 {
		it := heap.Pop(&l.waiting).(*priorityItem)
		it.decision <- errkind.New(errkind.UpstreamDown, "the upstream is no longer available")
	}
	l.dispatch()
}

// Stats returns the current limit, the number of requests that hold a slot and
// the number of waiting requests.
func (l *PriorityLimiter) Stats() (allowed, inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed(), l.inFlight, len(l.waiting)
}
