package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
)

// LimiterOptions configure a Limiter; zero fields mean the defaults.
type LimiterOptions struct {
	// Slots are those of the announced upstream; 0 means that none is
	// announced yet.
	Slots int
	Queue QueueOptions
	// Now defaults to time.Now.
	Now func() time.Time
}

// Limiter admits requests under a Limit and lets the others wait in a Queue.
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

// waiter is the Data of a queued item. Its channel has room for one verdict.
type waiter struct {
	verdict chan error
}

// Acquire waits for a slot. The returned function gives the slot back and must
// be called; only its first call has an effect. Acquire refuses with
// errkind.Overloaded, errkind.DeadlinePassed, errkind.CallerLeft or, while no
// upstream is announced, errkind.UpstreamDown. A zero deadline means none.
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
		return l.releaser(tenant, now), nil
	}
	it, displaced, err := l.queue.Push(now, tenant, deadline, l.limit.Allowed())
	if err != nil {
		l.mu.Unlock()
		return nil, err
	}
	w := &waiter{verdict: make(chan error, 1)}
	it.Data = w
	if displaced != nil {
		displaced.Data.(*waiter).verdict <- overloaded(0, "the queue is full and the tenant is above its share")
	}
	l.dispatch(now)
	l.mu.Unlock()
	return l.wait(ctx, it, w, tenant, deadline)
}

func (l *Limiter) wait(ctx context.Context, it *Item, w *waiter, tenant string, deadline time.Time) (func(Result), error) {
	var expiry <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(deadline.Sub(l.now()))
		defer timer.Stop()
		expiry = timer.C
	}
	var err error
	select {
	case err = <-w.verdict:
		if err != nil {
			return nil, err
		}
		return l.releaser(tenant, l.now()), nil
	case <-expiry:
		err = errkind.New(errkind.DeadlinePassed, "the deadline passed while the request waited for a slot")
	case <-ctx.Done():
		err = contextError(ctx.Err())
	}
	l.abandon(it, w)
	return nil, err
}

// abandon removes the entry of a request that no longer waits. A slot that was
// given at the same moment goes back.
func (l *Limiter) abandon(it *Item, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.Queued() {
		l.queue.Remove(it)
		return
	}
	if err := <-w.verdict; err == nil {
		l.inFlight--
		l.dispatch(l.now())
	}
}

func (l *Limiter) releaser(tenant string, start time.Time) func(Result) {
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

// dispatch gives free slots to waiting requests.
func (l *Limiter) dispatch(now time.Time) {
	for l.inFlight < l.limit.Allowed() {
		it, expired := l.queue.Pop(now)
		refuseExpired(expired)
		if it == nil {
			return
		}
		l.inFlight++
		it.Data.(*waiter).verdict <- nil
	}
}

func refuseExpired(expired []*Item) {
	for _, e := range expired {
		e.Data.(*waiter).verdict <- errkind.New(errkind.DeadlinePassed, "the deadline passed while the request waited for a slot")
	}
}

// Reset starts over with the slots of a newly announced, cold upstream.
// Requests that run are kept. With 0 slots all that wait are refused with
// errkind.UpstreamDown.
func (l *Limiter) Reset(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = NewLimit(slots)
	l.refuseWithoutSlots()
	l.dispatch(l.now())
}

// refuseWithoutSlots answers all waiting requests when the upstream is gone, so
// that their senders can turn to the next owner before the deadline.
func (l *Limiter) refuseWithoutSlots() {
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
		it.Data.(*waiter).verdict <- errkind.New(errkind.UpstreamDown, "the upstream is gone")
	}
}

// SetQueueLimit changes the bound of the queue.
func (l *Limiter) SetQueueLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetLimit(n)
}

// Stats returns the present limit, the requests that hold a slot and those that
// wait.
func (l *Limiter) Stats() (allowed, inFlight, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Allowed(), l.inFlight, l.queue.Len()
}

func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the request got a slot")
	}
	return errkind.New(errkind.CallerLeft, "the caller left before the request got a slot")
}
