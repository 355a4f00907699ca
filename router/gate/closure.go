package gate

import (
	"context"
	"errors"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// DefaultParkLimit is the number of requests that may wait for closed shards.
const DefaultParkLimit = 1024

// Closure is a set of closed shards. Requests for them are parked until Reopen
// or Release.
type Closure struct {
	gate    *Gate
	service string
	shards  []keyspace.Shard

	// The fields below are guarded by the gate's lock.

	// flights is the number of requests for the shards that the upstream may be
	// running. It can only fall, because new requests are parked.
	flights int
	drained chan struct{}
	// err is the answer to parked requests after Release.
	err    error
	opened chan struct{}
	open   bool
}

// Close parks new requests for the shards. The caller must end the closure with
// Reopen or Release.
func (g *Gate) Close(service string, shards []keyspace.Shard) *Closure {
	sorted := append([]keyspace.Shard(nil), shards...)
	keyspace.Sort(sorted)
	c := &Closure{
		gate: g, service: service, shards: sorted,
		drained: make(chan struct{}), opened: make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for f := range g.flights {
		if c.covers(f.service, f.hash) {
			c.flights++
		}
	}
	if c.flights == 0 {
		close(c.drained)
	}
	g.closures[c] = struct{}{}
	return c
}

// CloseService parks new requests for the whole service.
func (g *Gate) CloseService(service string) *Closure {
	return g.Close(service, []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}})
}

func (c *Closure) covers(service string, h keyspace.Hash) bool {
	if service != c.service {
		return false
	}
	_, ok := keyspace.Find(c.shards, h)
	return ok
}

// Drained waits until the upstream runs no request for the shards and can start
// none. Requests that the gate gave up on count until their own grant, deadline
// or settle time has ended.
func (c *Closure) Drained(ctx context.Context) error {
	select {
	case <-c.drained:
		return nil
	default:
	}
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		return errkind.New(errkind.Conflict, "%d requests are still in flight: %w", c.flights, ctx.Err())
	}
}

// Idle returns a channel that is closed when Drained would return nil.
func (c *Closure) Idle() <-chan struct{} {
	return c.drained
}

// Reopen lets the parked requests continue. It has no effect after Release.
func (c *Closure) Reopen() {
	c.finish(nil)
}

// Release refuses the parked requests with err. The authority must have stopped
// giving permits for the shards before, because later requests are checked
// against it alone.
func (c *Closure) Release(err error) {
	c.finish(err)
}

func (c *Closure) finish(err error) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.open {
		return
	}
	c.open = true
	c.err = err
	delete(c.gate.closures, c)
	close(c.opened)
}

// closureOf returns a closure of the position, or nil. The gate's lock is held.
func (g *Gate) closureOf(service string, h keyspace.Hash) *Closure {
	for c := range g.closures {
		if c.covers(service, h) {
			return c
		}
	}
	return nil
}

// park waits until the position is not closed.
func (g *Gate) park(ctx context.Context, service string, h keyspace.Hash) error {
	for {
		g.mu.Lock()
		c := g.closureOf(service, h)
		if c == nil {
			g.mu.Unlock()
			return nil
		}
		if g.parked >= g.opts.ParkLimit {
			g.mu.Unlock()
			return errkind.New(errkind.Overloaded, "%d requests wait for closed shards already", g.opts.ParkLimit)
		}
		g.parked++
		g.mu.Unlock()
		err := c.wait(ctx)
		g.mu.Lock()
		g.parked--
		g.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

func (c *Closure) wait(ctx context.Context) error {
	select {
	case <-c.opened:
		return c.err
	case <-ctx.Done():
		return notSent(ctx, "while its shard was closed")
	}
}

// notSent is the error of a request whose context ended before it was sent.
func notSent(ctx context.Context, when string) error {
	cause := context.Cause(ctx)
	var kinded *errkind.Error
	if errors.As(cause, &kinded) {
		return kinded
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed %s", when)
	}
	return errkind.New(errkind.CallerLeft, "the caller left %s", when)
}
