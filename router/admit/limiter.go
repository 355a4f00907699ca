package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
)

// LimiterOptions configures a Limiter. Zero fields select the defaults.
type LimiterOptions struct {
	// Slots is the number of slots of the announced upstream, 0 if no upstream
	// is announced yet.
	Slots int
	Queue QueueOptions
	// Now defaults to time.Now.
	Now func() time.Time
}

// Limiter admits requests up to a Limit and queues the others in a Queue, which
// shares slot time fairly between tenants. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	limit    Limit
	queue    *Queue
	inFlight int
}

// NewLimiter returns a limiter for a cold upstream.
func NewLimiter(opts LimiterOptions) *Limiter {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Limiter{now: opts.Now, limit: NewLimit(opts.Slots), queue: NewQueue(opts.Queue)}
}

// waiter is the Data of a queued item.
type waiter struct {
	// decision receives at most one value: nil if the request got a slot, or the
	// error with which it is refused. It is buffered, so sends do not block.
	decision chan error
}

// Acquire waits for a slot. The returned function releases the slot and must be
// called; calls after the first have no effect. Errors have one of the kinds
// errkind.Overloaded, errkind.DeadlinePassed, errkind.CallerLeft and, while no
// upstream is announced, errkind.UpstreamDown. A zero deadline means no deadline.
func (l *Limiter) Acquire(ctx context.Context, tenant string, deadline time.Time) (func(Result), error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	l.mu.Lock()
	now := l.now()
	if l.limit.slots == 0 {
		l.mu.Unlock()
		return nil, errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	if !deadline.IsZero() && !deadline.After(now) {
		l.mu.Unlock()
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the request got a slot")
	}
	if l.queue.Len() == 0 && l.inFlight < l.limit.Allowed() {
		l.inFlight++
		l.mu.Unlock()
		return l.releaseFunc(tenant, now), nil
	}
	it, displaced, err := l.queue.Push(now, tenant, deadline, l.limit.Allowed())
	if err != nil {
		l.mu.Unlock()
		return nil, err
	}
	w := &waiter{decision: make(chan error, 1)}
	it.Data = w
	if displaced != nil {
		displaced.Data.(*waiter).decision <- overloaded(0, "the queue is full and the tenant is above its share")
	}
	l.dispatch(now)
	l.mu.Unlock()
	return l.wait(ctx, it, w, tenant, deadline)
}

// wait blocks until the queued item gets a slot, is refused, reaches its deadline
// or ctx ends.
func (l *Limiter) wait(ctx context.Context, it *Item, w *waiter, tenant string, deadline time.Time) (func(Result), error) {
	var expiry <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(deadline.Sub(l.now()))
		defer timer.Stop()
		expiry = timer.C
	}
	var err error
	select {
	case err = <-w.decision:
		if err != nil {
			return nil, err
		}
		return l.releaseFunc(tenant, l.now()), nil
	case <-expiry:
		err = errkind.New(errkind.DeadlinePassed, "the deadline passed while the request waited for a slot")
	case <-ctx.Done():
		err = contextError(ctx.Err())
	}
	l.abandon(it, w)
	return nil, err
}

// abandon removes the item of a request that stopped waiting. If the request was
// granted a slot concurrently, the slot goes to the next one.
func (l *Limiter) abandon(it *Item, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.Queued() {
		l.queue.Remove(it)
		return
	}
	if err := <-w.decision; err == nil {
		l.inFlight--
		l.dispatch(l.now())
	}
}

// releaseFunc returns the function that releases a slot acquired at start.
func (l *Limiter) releaseFunc(tenant string, start time.Time) func(Result) {
	var once sync.Once
	return func(r Result) {
		once.Do(func() { l.release(tenant, start, r) })
	}
}

func (l *Limiter) release(tenant string, start time.Time, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.limit.Observe(now, r, l.inFlight)
	if r == Completed {
		l.queue.Observe(now, tenant, now.Sub(start))
	}
	l.inFlight--
	l.dispatch(now)
}

// dispatch grants free slots to waiting requests. The caller holds l.mu.
func (l *Limiter) dispatch(now time.Time) {
	for l.inFlight < l.limit.Allowed() {
		it, expired := l.queue.Pop(now)
		refuseExpired(expired)
		if it == nil {
			return
		}
		l.inFlight++
		it.Data.(*waiter).decision <- nil
	}
}

// refuseExpired refuses items that can no longer finish before their deadline.
func refuseExpired(expired []*Item) {
	for _, e := range expired {
		e.Data.(*waiter).decision <- errkind.New(errkind.DeadlinePassed, "the deadline passed while the request waited for a slot")
	}
}

// Reset replaces the limit by that of a newly announced, cold upstream with the
// given slots. Requests in flight still count. With 0 slots, all waiting requests
// are refused with errkind.UpstreamDown.
func (l *Limiter) Reset(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = NewLimit(slots)
	l.refuseAllWithoutSlots()
	l.dispatch(l.now())
}

// refuseAllWithoutSlots refuses all waiting requests if the upstream has no slots,
// so that their senders can try the next owner before the deadline.
func (l *Limiter) refuseAllWithoutSlots() {
	if l.limit.slots > 0 {
		return
	}
	now := l.now()
	for {
		it, expired := l.queue.Pop(now)
		refuseExpired(expired)
		if it == nil {
			return
		}
		it.Data.(*waiter).decision <- errkind.New(errkind.UpstreamDown, "the upstream is no longer available")
	}
}

// SetQueueLimit sets the maximum number of waiting requests.
func (l *Limiter) SetQueueLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetLimit(n)
}

// Stats returns the current limit, the number of requests that hold a slot and
// the number of waiting requests.
func (l *Limiter) Stats() (allowed, inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed(), l.inFlight, l.queue.Len()
}

// contextError converts the error of a request context to one with a kind.
func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the request got a slot")
	}
	return errkind.New(errkind.CallerLeft, "the caller cancelled the request before it got a slot")
}
