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
	"check the upstream's log; the upstream does not commit requests that outlast their grant")

const (
	// grantCheckInterval is the interval between checks for grants to extend.
	grantCheckInterval = 50 * time.Millisecond
	// grantExtendThreshold is the remaining time below which a grant is
	// extended. It is above two heartbeats (150 ms) and below the lease (500 ms).
	grantExtendThreshold = 350 * time.Millisecond
	// minGrantExtension is the smallest extension that is sent; a shorter one
	// does not justify a message.
	minGrantExtension = 50 * time.Millisecond
	// grantExtendTimeout bounds one call that extends grants.
	grantExtendTimeout = 200 * time.Millisecond
	// maxGrant limits a grant to the duration of a lease with a standby. Without
	// a standby the lease lasts until the renewal deadline, and requests whose
	// response the gate no longer awaits stay in flight until their grant ends.
	maxGrant = 500 * time.Millisecond
)

// groupKey identifies a group at any generation.
type groupKey struct {
	service, id string
}

// inFlightRequest is a request that the upstream may be running.
type inFlightRequest struct {
	id       string
	service  string
	hash     keyspace.Hash
	groupID  string
	kind     note.UpstreamKind
	settle   time.Duration
	deadline time.Time

	// The fields below are guarded by the gate's lock.

	// notAfter is the latest end of the request that was sent to the upstream,
	// whether acknowledged or not; zero until the request is sent.
	notAfter time.Time
	// awaitingResponse is true from the send until the response arrives or the
	// gate stops waiting for it.
	awaitingResponse bool
	// extending is true while an extension of the grant is in progress.
	extending bool
}

// addInFlight adds a request to those in flight and returns true, unless its
// shard is closed. Check and addition are atomic. The journal record, if any, is
// marked as sent in the same step, so that an export after a drain omits exactly
// the intents that cannot reach the upstream.
func (g *Gate) addInFlight(r *inFlightRequest, rec *record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.findClosed(r.service, r.hash) != nil {
		return false
	}
	g.inFlight[r] = struct{}{}
	if rec != nil {
		rec.detail.sent = true
	}
	return true
}

// markSent records the time until which the upstream may run the request. It is
// called immediately before the request is sent.
func (g *Gate) markSent(r *inFlightRequest, notAfter time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.notAfter = notAfter
	r.awaitingResponse = true
}

// removeInFlight removes a request that the upstream no longer runs.
func (g *Gate) removeInFlight(r *inFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeInFlightLocked(r)
}

// removeInFlightLocked is removeInFlight for callers that hold the gate's lock.
func (g *Gate) removeInFlightLocked(r *inFlightRequest) {
	if _, ok := g.inFlight[r]; !ok {
		return
	}
	delete(g.inFlight, r)
	r.awaitingResponse = false
	for c := range g.closed {
		if !c.covers(r.service, r.hash) {
			continue
		}
		c.inFlight--
		if c.inFlight == 0 {
			close(c.drained)
		}
	}
}

// retainUntilEnd keeps a request whose response did not arrive in flight until
// the upstream can no longer run it. Its grant is not extended any more, so its
// end does not change.
func (g *Gate) retainUntilEnd(r *inFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.awaitingResponse = false
	end := g.now().Add(r.settle)
	if r.kind != note.Plain {
		end = r.notAfter
	}
	remaining := end.Sub(g.now())
	if remaining <= 0 {
		g.removeInFlightLocked(r)
		return
	}
	time.AfterFunc(remaining, func() { g.removeInFlight(r) })
}

// InFlight returns the number of requests that the upstream may be running.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight)
}

// extension is one message that extends the grants of several requests.
type extension struct {
	upstream.Grant
	requests []*inFlightRequest
}

// extendGrants extends the grants that are about to expire.
func (g *Gate) extendGrants(ctx context.Context) {
	for _, e := range g.dueExtensions() {
		if g.recordExtension(e) {
			go g.sendExtension(ctx, e)
		}
	}
}

// dueExtensions builds the messages that extend the expiring grants, at least
// one for each group. Requests whose key now belongs to another group are
// omitted.
func (g *Gate) dueExtensions() []*extension {
	var all []*extension
	latest := map[GroupRef]*extension{}
	for _, r := range g.expiringGrants() {
		permit, err := g.currentPermit(r.service, r.hash)
		if err != nil || permit.GroupID != r.groupID {
			continue
		}
		ref := groupRefOf(permit)
		e := latest[ref]
		if e == nil || len(e.requests) == upstream.MaxGrantRequests {
			e = &extension{Grant: upstream.Grant{
				GroupID: permit.GroupID, Generation: permit.Generation, NotAfter: g.grantEnd(permit),
			}}
			latest[ref] = e
			all = append(all, e)
		}
		e.NotAfter = earlier(e.NotAfter, permit.Until)
		e.requests = append(e.requests, r)
	}
	return all
}

// expiringGrants returns the requests awaiting a response whose grant ends soon.
// A grant that has expired cannot be extended, and one that lasts until the
// request's deadline need not be.
func (g *Gate) expiringGrants() []*inFlightRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var expiring []*inFlightRequest
	for r := range g.inFlight {
		remaining := r.notAfter.Sub(now)
		if r.awaitingResponse && !r.extending && r.kind == note.Fenced &&
			remaining > 0 && remaining <= grantExtendThreshold && r.notAfter.Before(r.deadline) {
			expiring = append(expiring, r)
		}
	}
	return expiring
}

// recordExtension records the new end of the grants before the extension is
// sent, because the upstream may apply it even if its acknowledgement is lost.
// It omits requests that ended or are no longer awaited, and returns false if
// none remains.
func (g *Gate) recordExtension(e *extension) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.requests = slices.DeleteFunc(e.requests, func(r *inFlightRequest) bool {
		return !r.awaitingResponse || e.NotAfter.Sub(r.notAfter) < minGrantExtension
	})
	for _, r := range e.requests {
		r.extending = true
		r.notAfter = e.NotAfter
		e.RequestIDs = append(e.RequestIDs, r.id)
	}
	return len(e.requests) > 0
}

// grantEnd returns the end of a grant issued now.
func (g *Gate) grantEnd(permit ownership.Permit) time.Time {
	return earlier(permit.Until, g.now().Add(maxGrant))
}

func (g *Gate) sendExtension(ctx context.Context, e *extension) {
	ctx, cancel := context.WithTimeout(ctx, grantExtendTimeout)
	defer cancel()
	err := g.opts.Upstream.Extend(ctx, e.Grant)
	if err != nil && ctx.Err() != context.Canceled {
		g.opts.Log.Log(eventGrant, event.F("group", e.GroupID), event.F("error", err.Error()))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range e.requests {
		r.extending = false
	}
}
