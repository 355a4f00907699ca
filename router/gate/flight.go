package gate

import (
	"context"
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
	// until the grant ends.
	grantLimit = time.Second
)

type groupKey struct {
	service, id string
}

// granted is what the upstream was granted for a group.
type granted struct {
	// end is the latest end of any grant that was sent, acknowledged or not.
	end time.Time
	// active holds the flights whose answer is awaited.
	active map[*flight]struct{}
	// extending is true while an extension is under way.
	extending bool
}

// flight is a request that the upstream may be running.
type flight struct {
	service string
	hash    keyspace.Hash
	group   groupKey
	kind    note.UpstreamKind
	settle  time.Duration
	// notAfter is the end that the request carries; zero until it is sent.
	notAfter time.Time
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
		rec.sent = true
	}
	return true
}

// depart records, immediately before the request is sent, until when the
// upstream may run it.
func (g *Gate) depart(f *flight, notAfter time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.notAfter = notAfter
	s := g.grants[f.group]
	if s == nil {
		s = &granted{active: map[*flight]struct{}{}}
		g.grants[f.group] = s
	}
	s.active[f] = struct{}{}
	if notAfter.After(s.end) {
		s.end = notAfter
	}
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
	g.deactivate(f)
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

func (g *Gate) deactivate(f *flight) {
	s := g.grants[f.group]
	if s == nil {
		return
	}
	delete(s.active, f)
	if len(s.active) == 0 && !g.now().Before(s.end) {
		delete(g.grants, f.group)
	}
}

// linger keeps a flight whose answer did not arrive until the upstream can no
// longer run it.
func (g *Gate) linger(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.grants[f.group]; s != nil {
		delete(s.active, f)
	}
	end := g.now().Add(f.settle)
	if f.kind != note.Plain {
		end = f.notAfter
	}
	g.dropAfter(f, end)
}

// dropAfter drops the flight at its end. At a fenced upstream a grant covers
// the whole group: when it was extended for other requests meanwhile, the
// abandoned request may still commit under it, so the end moves along.
func (g *Gate) dropAfter(f *flight, end time.Time) {
	if f.kind == note.Fenced {
		if s := g.grants[f.group]; s != nil && s.end.After(end) {
			end = s.end
		}
	}
	left := end.Sub(g.now())
	if left <= 0 {
		g.drop(f)
		return
	}
	time.AfterFunc(left, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dropAfter(f, end)
	})
}

// InFlight returns the number of requests that the upstream may be running.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flights)
}

// extendGrants sends extensions for the groups that need one.
func (g *Gate) extendGrants(ctx context.Context) {
	for _, f := range g.lowGrants() {
		permit, err := g.opts.Authority.Permit(f.service, f.hash)
		if err != nil || permit.GroupID != f.group.id {
			continue
		}
		end := g.grantEnd(permit)
		if g.raiseGrant(f.group, end) {
			go g.extend(ctx, f.group, permit, end)
		}
	}
}

// lowGrants returns one awaited flight of each fenced group whose grant ends
// soon, and forgets groups that hold none.
func (g *Gate) lowGrants() []*flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var low []*flight
	for key, s := range g.grants {
		if len(s.active) == 0 && !now.Before(s.end) {
			delete(g.grants, key)
			continue
		}
		if s.extending || s.end.Sub(now) > grantLow {
			continue
		}
		for f := range s.active {
			if f.kind == note.Fenced {
				low = append(low, f)
			}
			break
		}
	}
	return low
}

// raiseGrant records the extension before it is sent, because it counts even
// when its acknowledgement is lost.
func (g *Gate) raiseGrant(key groupKey, end time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.grants[key]
	if s == nil || s.extending || end.Sub(s.end) < grantStep {
		return false
	}
	s.extending = true
	s.end = end
	return true
}

// grantEnd is the end of a grant that is given now.
func (g *Gate) grantEnd(permit ownership.Permit) time.Time {
	return earlier(permit.Until, g.now().Add(grantLimit))
}

func (g *Gate) extend(ctx context.Context, key groupKey, permit ownership.Permit, end time.Time) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := g.opts.Upstream.Extend(ctx, upstream.Grant{
		GroupID: permit.GroupID, Generation: permit.Generation, NotAfter: end,
	})
	if err != nil && ctx.Err() != context.Canceled {
		g.opts.Log.Log(eventGrant, event.F("group", key.id), event.F("error", err.Error()))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.grants[key]; s != nil {
		s.extending = false
	}
}
