package gate

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

var eventGrant = event.Define(1250, log.WarnLevel, "grant was not extended",
	"the upstream did not acknowledge the extension of a grant",
	"look at the upstream's log; requests that outlast their grant are not committed")

const (
	// grantInterval is how often grants are looked at.
	grantInterval = 50 * time.Millisecond
	// grantLow is the remaining time below which a grant is extended. It is
	// above two heartbeats (150 ms) and below the lease (500 ms).
	grantLow = 350 * time.Millisecond
	// grantStep is the smallest extension worth a message.
	grantStep    = 50 * time.Millisecond
	grantTimeout = 200 * time.Millisecond
	// grantLimit bounds a grant of a group without a standby, whose lease is as
	// long as the horizon: requests that the gate gave up on stay in flight
	// until their grant ends. It is the length of a lease with a standby.
	grantLimit = 500 * time.Millisecond
)

type groupKey struct {
	service, id string
}

// flight is a request that the upstream may be running.
type flight struct {
	id       string
	service  string
	hash     keyspace.Hash
	groupID  string
	kind     note.UpstreamKind
	settle   time.Duration
	deadline time.Time

	// The fields below are guarded by the gate's lock.

	// notAfter is the latest end that the upstream was sent for the request,
	// acknowledged or not; zero until the request is sent.
	notAfter time.Time
	// awaited is true from the send until the answer arrives or is given up.
	awaited bool
	// extending is true while an extension is under way.
	extending bool
}

// enter counts a request as in flight, unless its position is closed. The check
// and the count are one step. A record is marked as sent in the same step, so
// that an export after a drain leaves out exactly the intents that cannot reach
// the upstream.
func (g *Gate) enter(f *flight, rec *record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closureOf(f.service, f.hash) != nil {
		return false
	}
	g.flights[f] = struct{}{}
	if rec != nil {
		rec.detail.sent = true
	}
	return true
}

// depart records, immediately before the request is sent, until when the
// upstream may run it.
func (g *Gate) depart(f *flight, notAfter time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.notAfter = notAfter
	f.awaited = true
}

// leave ends a flight of which nothing runs at the upstream any more.
func (g *Gate) leave(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(f)
}

// drop removes a flight. The gate's lock is held.
func (g *Gate) drop(f *flight) {
	if _, ok := g.flights[f]; !ok {
		return
	}
	delete(g.flights, f)
	f.awaited = false
	for c := range g.closures {
		if !c.covers(f.service, f.hash) {
			continue
		}
		c.flights--
		if c.flights == 0 {
			close(c.drained)
		}
	}
}

// linger keeps a flight whose answer did not arrive until the upstream can no
// longer run it. It is not extended any more, so its end does not move.
func (g *Gate) linger(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.awaited = false
	end := g.now().Add(f.settle)
	if f.kind != note.Plain {
		end = f.notAfter
	}
	left := end.Sub(g.now())
	if left <= 0 {
		g.drop(f)
		return
	}
	time.AfterFunc(left, func() { g.leave(f) })
}

// InFlight returns the number of requests that the upstream may be running.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flights)
}

// extension is one message that extends the grants of some flights.
type extension struct {
	upstream.Grant
	flights []*flight
}

// extendGrants sends extensions for the requests that need one.
func (g *Gate) extendGrants(ctx context.Context) {
	for _, e := range g.dueExtensions() {
		if g.raise(e) {
			go g.extend(ctx, e)
		}
	}
}

// dueExtensions sorts the flights whose grant ends soon into messages. A flight
// whose position belongs to another group by now is left out.
func (g *Gate) dueExtensions() []*extension {
	var all []*extension
	open := map[GroupRef]*extension{}
	for _, f := range g.lowGrants() {
		permit, err := g.permit(f.service, f.hash)
		if err != nil || permit.GroupID != f.groupID {
			continue
		}
		ref := refOf(permit)
		e := open[ref]
		if e == nil || len(e.flights) == upstream.MaxGrantRequests {
			e = &extension{Grant: upstream.Grant{
				GroupID: permit.GroupID, Generation: permit.Generation, NotAfter: g.grantEnd(permit),
			}}
			open[ref] = e
			all = append(all, e)
		}
		e.NotAfter = earlier(e.NotAfter, permit.Until)
		e.flights = append(e.flights, f)
	}
	return all
}

// lowGrants returns the awaited flights whose grant ends soon. A grant that has
// lapsed cannot be extended, and one until the deadline need not be.
func (g *Gate) lowGrants() []*flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var low []*flight
	for f := range g.flights {
		left := f.notAfter.Sub(now)
		if f.awaited && !f.extending && f.kind == note.Fenced &&
			left > 0 && left <= grantLow && f.notAfter.Before(f.deadline) {
			low = append(low, f)
		}
	}
	return low
}

// raise records the extension before it is sent, because it counts even when
// its acknowledgement is lost. It leaves out the flights that ended or were
// given up meanwhile, and returns false when none is left.
func (g *Gate) raise(e *extension) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.flights = slices.DeleteFunc(e.flights, func(f *flight) bool {
		return !f.awaited || e.NotAfter.Sub(f.notAfter) < grantStep
	})
	for _, f := range e.flights {
		f.extending = true
		f.notAfter = e.NotAfter
		e.RequestIDs = append(e.RequestIDs, f.id)
	}
	return len(e.flights) > 0
}

// grantEnd is the end of a grant that is given now.
func (g *Gate) grantEnd(permit ownership.Permit) time.Time {
	return earlier(permit.Until, g.now().Add(grantLimit))
}

func (g *Gate) extend(ctx context.Context, e *extension) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := g.opts.Upstream.Extend(ctx, e.Grant)
	if err != nil && ctx.Err() != context.Canceled {
		g.opts.Log.Log(eventGrant, event.F("group", e.GroupID), event.F("error", err.Error()))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range e.flights {
		f.extending = false
	}
}
