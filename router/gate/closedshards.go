package gate

import (
	"context"
	"errors"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// DefaultBlockedLimit is the default of Options.BlockedLimit.
const DefaultBlockedLimit = 1024

// ClosedShards is a set of shards that are closed, normally because they are
// being moved. Requests for them are blocked until Reopen or Reject is called.
type ClosedShards struct {
	gate    *Gate
	service string
	shards  []keyspace.Shard

	// The fields below are guarded by the gate's lock.

	// inFlight is the number of requests for the shards that the upstream may
	// be running. It never increases, because new requests are blocked.
	inFlight int
	// drained is closed when inFlight reaches 0.
	drained chan struct{}
	// err is returned to the blocked requests after Reject; nil after Reopen.
	err error
	// ended is closed by Reopen or Reject.
	ended    chan struct{}
	hasEnded bool
}

// CloseShards blocks new requests for the shards. The caller must call Reopen or
// Reject on the result.
func (g *Gate) CloseShards(service string, shards []keyspace.Shard) *ClosedShards {
	sorted := append([]keyspace.Shard(nil), shards...)
	keyspace.Sort(sorted)
	c := &ClosedShards{
		gate: g, service: service, shards: sorted,
		drained: make(chan struct{}), ended: make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.inFlight {
		if c.covers(r.service, r.hash) {
			c.inFlight++
		}
	}
	if c.inFlight == 0 {
		close(c.drained)
	}
	g.closed[c] = struct{}{}
	return c
}

// CloseService blocks new requests for the whole service, as CloseShards does
// for shards.
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

// WaitDrained waits until the upstream runs no request for the shards and cannot
// start one. Requests whose response the gate no longer awaits count until their
// own grant, deadline or settle time has ended. If ctx ends first, the error has
// kind errkind.Conflict.
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
		return errkind.New(errkind.Conflict, "%d requests are still in flight: %w", c.inFlight, ctx.Err())
	}
}

// Drained returns a channel that is closed once WaitDrained would return nil.
func (c *ClosedShards) Drained() <-chan struct{} {
	return c.drained
}

// Reopen lets the blocked requests continue. It has no effect after Reject.
func (c *ClosedShards) Reopen() {
	c.end(nil)
}

// Reject fails the blocked requests with err. It has no effect after Reopen. The
// authority must have stopped issuing permits for the shards before the call,
// because nothing else refuses later requests.
func (c *ClosedShards) Reject(err error) {
	c.end(err)
}

func (c *ClosedShards) end(err error) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.hasEnded {
		return
	}
	c.hasEnded = true
	c.err = err
	delete(c.gate.closed, c)
	close(c.ended)
}

// findClosed returns closed shards that contain the hash, or nil. The caller
// holds the gate's lock.
func (g *Gate) findClosed(service string, h keyspace.Hash) *ClosedShards {
	for c := range g.closed {
		if c.covers(service, h) {
			return c
		}
	}
	return nil
}

// waitUntilOpen waits until the shard of the hash is not closed.
func (g *Gate) waitUntilOpen(ctx context.Context, service string, h keyspace.Hash) error {
	for {
		g.mu.Lock()
		c := g.findClosed(service, h)
		if c == nil {
			g.mu.Unlock()
			return nil
		}
		if g.blocked >= g.opts.BlockedLimit {
			g.mu.Unlock()
			return errkind.New(errkind.Overloaded, "%d requests already wait for closed shards", g.opts.BlockedLimit)
		}
		g.blocked++
		g.mu.Unlock()
		err := c.wait(ctx)
		g.mu.Lock()
		g.blocked--
		g.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

func (c *ClosedShards) wait(ctx context.Context) error {
	select {
	case <-c.ended:
		return c.err
	case <-ctx.Done():
		return notSentError(ctx, "while its shard was closed")
	}
}

// notSentError returns the error for a request whose context ended before the
// request was sent to the upstream. when completes the message.
func notSentError(ctx context.Context, when string) error {
	cause := context.Cause(ctx)
	var kinded *errkind.Error
	if errors.As(cause, &kinded) {
		return kinded
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed %s", when)
	}
	return errkind.New(errkind.CallerLeft, "the caller disconnected %s", when)
}
