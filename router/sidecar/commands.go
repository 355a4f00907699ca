package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
)

const (
	// commandHold is how long an upstream holds keys after one grant command. A key whose
	// grant got no response moves only after this time.
	commandHold = 4 * time.Second
	// maxGrantCalls and maxReleaseCalls bound the concurrent commands of each kind. A
	// release command ends when the requests for its keys have ended.
	maxGrantCalls   = 4
	maxReleaseCalls = 8
	// dialAfterHeartbeat is the time after a heartbeat within which connections for
	// commands may be opened. Later the address may belong to the next incarnation of the
	// upstream, which must not get the grants of this one.
	dialAfterHeartbeat = 300 * time.Millisecond
)

// UpstreamCommands sends commands to the local upstream. It is safe for concurrent
// use.
type UpstreamCommands interface {
	// Send sends one command to the incarnation of the upstream with the given instance
	// id. token is the handover token that the upstream returns with released keys; err
	// explains every result other than CommandApplied.
	Send(ctx context.Context, instance string, cmd keyrange.Command) (result keyrange.CommandResult, token string, err error)
}

// commandSender sends the commands that are due.
type commandSender struct {
	keys         *keyDriver
	upstream     UpstreamCommands
	wakeCh       chan struct{}
	grantSlots   chan struct{} // semaphores
	releaseSlots chan struct{}
}

func newCommandSender(d *keyDriver, opts Options) *commandSender {
	c := &commandSender{
		keys: d, wakeCh: make(chan struct{}, 1),
		grantSlots: make(chan struct{}, maxGrantCalls), releaseSlots: make(chan struct{}, maxReleaseCalls),
	}
	if opts.Commands != nil {
		c.upstream = opts.Commands(opts.Settings.Upstream.Address, func() bool { return d.local.silentFor(time.Now()) < dialAfterHeartbeat })
	}
	d.commands = keyrange.NewCommands(d.grants)
	d.wakeCommands = c.wake
	d.index.onChange(func() {
		c.wake()
		d.changes.notify()
	})
	return c
}

func (c *commandSender) wake() {
	select {
	case c.wakeCh <- struct{}{}:
	default:
	}
}

// run sends commands until ctx ends.
func (c *commandSender) run(ctx context.Context) {
	if c.upstream == nil {
		return
	}
	c.keys.runLoop(ctx, c.wakeCh, c.keys.keysByCommand, func(s upstreamState) { c.step(ctx, s) })
}

// step sends the commands that are due, as far as the limits on concurrent commands
// allow.
func (c *commandSender) step(ctx context.Context, s upstreamState) {
	for _, cmd := range c.keys.dueCommands(s) {
		slots := c.grantSlots
		if cmd.Release {
			slots = c.releaseSlots
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		c.keys.beginCommand(cmd)
		go func() {
			c.send(ctx, s, cmd)
			<-slots
			c.wake()
		}()
	}
}

// send sends one command and records its result.
func (c *commandSender) send(ctx context.Context, s upstreamState, cmd keyrange.Command) {
	sent := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	result, token, err := c.upstream.Send(ctx, s.holder.Instance, cmd)
	c.keys.endCommand(s, sent, cmd, result, token)
	if err != nil {
		c.keys.log.Log(eventCommandFailed, event.F("instance", s.holder.Instance), event.F("release", cmd.Release),
			event.F("from", cmd.From), event.F("to", cmd.To), event.F("generation", cmd.Generation),
			event.F("hold_ms", cmd.HoldFor.Milliseconds()), event.F("result", int(result)), event.F("error", err.Error()))
		return
	}
	c.keys.log.Log(eventCommandDone, event.F("instance", s.holder.Instance), event.F("release", cmd.Release),
		event.F("from", cmd.From), event.F("to", cmd.To), event.F("generation", cmd.Generation), event.F("hold_ms", cmd.HoldFor.Milliseconds()))
}

// dueCommands returns the commands that are due.
func (d *keyDriver) dueCommands(s upstreamState) []keyrange.Command {
	now := boottime.Now()
	leaving := !s.leavingSince.IsZero() && !d.servesUntilMovable(now, s)
	d.mu.Lock()
	defer d.mu.Unlock()
	m, _ := d.grantMap(s.service)
	d.resetIncarnation(s)
	return d.commands.Due(now, m, s.holder, leaving, d.leaseEnd, min(commandHold, d.maxHold))
}

func (d *keyDriver) beginCommand(cmd keyrange.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.commands.Begin(cmd)
}

// endCommand records the result of a command to an incarnation of the upstream. Released
// keys and refused grants need a change of the map.
func (d *keyDriver) endCommand(s upstreamState, sent boottime.Time, cmd keyrange.Command, result keyrange.CommandResult, token string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, _ := d.grantMap(s.service)
	if d.grants.Holder() != s.holder {
		return
	}
	now := boottime.Now()
	d.commands.Complete(sent, now, cmd, result, token)
	if m != nil { // no map may be used while the store's era changes
		d.commands.Prune(now, m, s.holder)
	}
	d.changes.notify()
	if cmd.Release || result == keyrange.CommandRefused {
		d.wake()
	}
}

// markUncertain records that the local upstream refused a request for a key that it had
// been granted.
func (d *keyDriver) markUncertain(key uint16) {
	if !d.keysByCommand(d.local.get().service) {
		return
	}
	d.mu.Lock()
	d.commands.MarkUncertain(key)
	d.mu.Unlock()
	d.wakeCommands()
}
