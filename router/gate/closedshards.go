package gate

import (
	"context"
	"errors"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// DefaultBlockedLimit is the number of requests that may wait for closed shards.
const DefaultBlockedLimit = 1024

// ClosedShards is a set of closed shards. Requests for them are parked until Reopen
// or Release.
type ClosedShards struct {
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
func (g *Gate) CloseShards(service string, shards []keyspace.Shard) *ClosedShards {
	sorted := append([]keyspace.Shard(nil), shards...)
	keyspace.Sort(sorted)
	c := &ClosedShards{
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
func (g *Gate) CloseService(service string) *ClosedShards {
	return g.CloseShards(service, []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}})
}

func (c *ClosedShards) covers(service string, h keyspace.Hash) bool {
	if service != c.service {
		return false
	}
	_, ok := keyspace.Find(c.shards, h)
	return ok
}

// WaitDrained waits until the upstream runs no request for the shards and can start
// none. Requests that the gate gave up on count until their own grant, deadline
// or settle time has ended.
func (c *ClosedShards) WaitDrained(ctx context.Context) error {
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

// Drained returns a channel that is closed when WaitDrained would return nil.
func (c *ClosedShards) Drained() <-chan struct{} {
	return c.drained
}

// Reopen lets the parked requests continue. It has no effect after Release.
func (c *ClosedShards) Reopen() {
	c.finish(nil)
}

// Release refuses the parked requests with err. The authority must have stopped
// giving permits for the shards before, because later requests are checked
// against it alone.
func (c *ClosedShards) Reject(err error) {
	c.finish(err)
}

func (c *ClosedShards) finish(err error) {
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
func (g *Gate) closureOf(service string, h keyspace.Hash) *ClosedShards {
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
		if g.parked >= g.opts.BlockedLimit {
			g.mu.Unlock()
			return errkind.New(errkind.Overloaded, "%d requests wait for closed shards already", g.opts.BlockedLimit)
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

func (c *ClosedShards) wait(ctx context.Context) error {
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
