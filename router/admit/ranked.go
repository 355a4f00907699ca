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

// RankedLimiter admits requests up to a limit and serves waiting requests by
// rank, and in order of arrival within a rank.
type RankedLimiter struct {
	now func() time.Time

	mu       sync.Mutex
	limit    Limit
	inFlight int
	waiting  rankedHeap
	arrivals uint64
	// service is the mean time that a request holds a slot.
	service time.Duration
}

// NewRankedLimiter returns a limiter without slots. A nil now means time.Now.
func NewRankedLimiter(now func() time.Time) *RankedLimiter {
	if now == nil {
		now = time.Now
	}
	return &RankedLimiter{now: now}
}

type rankedItem struct {
	rank    int
	arrival uint64
	index   int
	verdict chan error
}

// Patience says how long a request may wait for a slot.
type Patience int

// The kinds of patience.
const (
	// NoWait refuses a request when no slot is free.
	NoWait Patience = iota
	// UntilGoal lets a request wait while its answer is expected to meet the
	// goal. One that has missed its goal may wait for one mean service time: a
	// queue of late requests would make all others late as well.
	UntilGoal
	// UntilDeadline lets a request wait while its answer is expected before the
	// deadline.
	UntilDeadline
)

// Wait bounds the wait of a request.
type Wait struct {
	Patience Patience
	Goal     time.Time
	Deadline time.Time
}

// Acquire waits for a slot within the bounds. The returned function gives the
// slot back and must be called once. A request whose expected wait exceeds the
// bounds is refused at once with errkind.Overloaded, so that its caller can turn
// elsewhere in time. Rank 0 is served first.
func (l *RankedLimiter) Acquire(ctx context.Context, rank int, bounds Wait) (func(Result), error) {
	l.mu.Lock()
	now := l.now()
	if l.limit.Allowed() == 0 {
		l.mu.Unlock()
		return nil, errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	if l.inFlight < l.limit.Allowed() && len(l.waiting) == 0 {
		l.inFlight++
		l.mu.Unlock()
		return l.releaser(now), nil
	}
	if err := l.refusal(now, rank, bounds); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	it := &rankedItem{rank: rank, arrival: l.arrivals, verdict: make(chan error, 1)}
	l.arrivals++
	heap.Push(&l.waiting, it)
	l.mu.Unlock()
	return l.await(ctx, it, bounds.Deadline)
}

// refusal decides whether a request may wait.
func (l *RankedLimiter) refusal(now time.Time, rank int, bounds Wait) error {
	slots := max(l.limit.Allowed(), 1)
	ahead := 0
	for _, w := range l.waiting {
		if w.rank <= rank {
			ahead++
		}
	}
	wait := time.Duration(ahead+1) * l.service / time.Duration(slots)
	switch {
	case bounds.Patience == NoWait:
		return overloaded(wait, "%d of %d slots are used", l.inFlight, slots)
	case len(l.waiting) >= slots*waitingPerSlot:
		return overloaded(wait, "%d requests wait already", len(l.waiting))
	case wait > l.longestWait(now, bounds):
		return overloaded(wait, "the expected wait of %v is too long", wait)
	}
	return nil
}

// longestWait is how long a request may wait. The caller holds the lock.
func (l *RankedLimiter) longestWait(now time.Time, bounds Wait) time.Duration {
	toDeadline := bounds.Deadline.Sub(now) - l.service
	if bounds.Patience == UntilDeadline {
		return toDeadline
	}
	toGoal := bounds.Goal.Sub(now) - l.service
	if toGoal < 0 {
		return min(l.service, toDeadline)
	}
	return min(toGoal, toDeadline)
}

func (l *RankedLimiter) await(ctx context.Context, it *rankedItem, deadline time.Time) (func(Result), error) {
	timer := time.NewTimer(deadline.Sub(l.now()))
	defer timer.Stop()
	select {
	case err := <-it.verdict:
		if err != nil {
			return nil, err
		}
		return l.releaser(l.now()), nil
	case <-ctx.Done():
		l.abandon(it)
		return nil, contextError(ctx.Err())
	case <-timer.C:
		l.abandon(it)
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed while the request waited for a slot")
	}
}

// abandon removes a request that no longer waits. A slot that it was given at
// the same moment goes to the next one.
func (l *RankedLimiter) abandon(it *rankedItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.index >= 0 {
		heap.Remove(&l.waiting, it.index)
		return
	}
	if err := <-it.verdict; err == nil {
		l.inFlight--
		l.dispatch()
	}
}

func (l *RankedLimiter) releaser(start time.Time) func(Result) {
	return func(r Result) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		l.limit.Observe(now, r, l.inFlight)
		l.inFlight--
		if r == Completed {
			l.service = average(l.service, now.Sub(start))
		}
		l.dispatch()
	}
}

func (l *RankedLimiter) dispatch() {
	for l.inFlight < l.limit.Allowed() && len(l.waiting) > 0 {
		it := heap.Pop(&l.waiting).(*rankedItem)
		l.inFlight++
		it.verdict <- nil
	}
}

// SetSlots sets the slots of the upstream. Waiting requests are refused when
// there are none any more.
func (l *RankedLimiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.limit.slots {
		return
	}
	l.limit = NewFullLimit(slots)
	for slots == 0 && len(l.waiting) > 0 {
		it := heap.Pop(&l.waiting).(*rankedItem)
		it.verdict <- errkind.New(errkind.UpstreamDown, "the upstream is gone")
	}
	l.dispatch()
}

// Stats returns the present limit, the requests that hold a slot and those that
// wait.
func (l *RankedLimiter) Stats() (allowed, inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed(), l.inFlight, len(l.waiting)
}

// rankedHeap orders waiting requests by rank and arrival.
type rankedHeap []*rankedItem

func (h rankedHeap) Len() int { return len(h) }

func (h rankedHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].arrival < h[j].arrival
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
