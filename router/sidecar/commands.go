package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
)

const (
	// orderedHold is how long an upstream holds keys after one call. It is also
	// the wait before a key moves whose grant had no answer.
	orderedHold = 4 * time.Second
	// grantLanes and releaseLanes bound the calls of each kind that are under way.
	// A release takes as long as the work on its keys.
	grantLanes   = 4
	releaseLanes = 8
	// dialAfterBeat is the time after a heartbeat in which connections for orders
	// are opened. Without a sign of life the address may belong to the next run of
	// the upstream, which must not get the grants of this one.
	dialAfterBeat = 300 * time.Millisecond
)

// UpstreamCommands sends commands to the local upstream. It is safe for concurrent
// use.
type UpstreamCommands interface {
	// Send sends one order to the run with the id. token is what the upstream
	// leaves for the next holder of keys that it gave up; err says why the result
	// is not CommandApplied.
	Send(ctx context.Context, instance string, o keyrange.Command) (result keyrange.CommandResult, token string, err error)
}

// orderSender sends the orders that are due.
type orderSender struct {
	keys     *keyDriver
	upstream UpstreamCommands
	kick     chan struct{}
	grants   chan struct{} // lanes
	releases chan struct{}
}

func newOrderSender(d *keyDriver, opts Options) *orderSender {
	o := &orderSender{
		keys: d, kick: make(chan struct{}, 1),
		grants: make(chan struct{}, grantLanes), releases: make(chan struct{}, releaseLanes),
	}
	if opts.Commands != nil {
		o.upstream = opts.Commands(opts.Settings.Upstream.Address, func() bool { return d.local.silentFor(time.Now()) < dialAfterBeat })
	}
	d.orders = keyrange.NewCommands(d.grants)
	d.wakeOrders = o.wake
	d.index.notify(o.wake)
	return o
}

func (o *orderSender) wake() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// run sends orders until ctx ends.
func (o *orderSender) run(ctx context.Context) {
	if o.upstream == nil {
		return
	}
	o.keys.every(ctx, o.kick, o.keys.ordered, func(s upstreamState) { o.step(ctx, s) })
}

// step sends the orders that are due, as far as lanes are free.
func (o *orderSender) step(ctx context.Context, s upstreamState) {
	for _, order := range o.keys.ordersDue(s) {
		lanes := o.grants
		if order.Release {
			lanes = o.releases
		}
		select {
		case lanes <- struct{}{}:
		default:
			continue
		}
		o.keys.beginOrder(order)
		go func() {
			o.send(ctx, s, order)
			<-lanes
			o.wake()
		}()
	}
}

// send sends one order and notes its result.
func (o *orderSender) send(ctx context.Context, s upstreamState, order keyrange.Command) {
	sent := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	result, token, err := o.upstream.Send(ctx, s.holder.Instance, order)
	o.keys.endOrder(s, sent, order, result, token)
	if err != nil {
		o.keys.log.Log(eventOrderFailed, event.F("instance", s.holder.Instance), event.F("release", order.Release),
			event.F("from", order.From), event.F("to", order.To), event.F("generation", order.Generation),
			event.F("hold_ms", order.HoldFor.Milliseconds()), event.F("result", int(result)), event.F("error", err.Error()))
		return
	}
	o.keys.log.Log(eventOrdered, event.F("instance", s.holder.Instance), event.F("release", order.Release),
		event.F("from", order.From), event.F("to", order.To), event.F("generation", order.Generation), event.F("hold_ms", order.HoldFor.Milliseconds()))
}

// ordersDue returns the orders that are to be sent now.
func (d *keyDriver) ordersDue(s upstreamState) []keyrange.Command {
	m, _ := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset(s)
	return d.orders.Due(boottime.Now(), m, s.holder, !s.leaving.IsZero(), d.leaseEnd, min(orderedHold, d.longestHold))
}

func (d *keyDriver) beginOrder(order keyrange.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders.Begin(order)
}

// endOrder takes the result of an order to a run of the upstream. Keys that were
// given up, or whose grant was refused, need a change of the map.
func (d *keyDriver) endOrder(s upstreamState, sent boottime.Time, order keyrange.Command, result keyrange.CommandResult, token string) {
	m, _ := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.grants.Holder() != s.holder {
		return
	}
	now := boottime.Now()
	d.orders.Complete(sent, now, order, result, token)
	d.orders.Prune(now, m, s.holder)
	if order.Release || result == keyrange.CommandRefused {
		d.wake()
	}
}

// doubted notes that the local upstream does not hold a key that it was granted.
func (d *keyDriver) doubted(key uint16) {
	if !d.ordered(d.local.get().service) {
		return
	}
	d.mu.Lock()
	d.orders.MarkUncertain(key)
	d.mu.Unlock()
	d.wakeOrders()
}
