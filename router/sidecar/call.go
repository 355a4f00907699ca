// Package sidecar implements the router that runs beside one upstream, for deployments
// whose requests start on the hosts of the upstreams. The entry accepts requests of the
// callers on its host, chooses a host for each and forwards it in one hop. The gate is
// the only path to the local upstream and therefore knows its load. Hosts discover each
// other, the configuration and the holders of keys through the store.
package sidecar

import (
	"io"
	"net/http"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/locality"
	"burdockglade.dev/router/quarantine"
	"burdockglade.dev/router/reservation"
	"burdockglade.dev/router/vhost"
)

// Headers are the names of the header fields that callers and upstreams use.
type Headers struct {
	// RequestID identifies one attempt of a caller. Upstreams return it.
	RequestID string
	// DeadlineMs is the time that remains until the deadline, in milliseconds.
	DeadlineMs string
	// Signature marks a response that the upstream's request handler produced.
	Signature string
	// ExpectInstance names the instance that the request is meant for. Any other upstream
	// refuses it with status 421.
	ExpectInstance string
	// Load is the load that the upstream reports.
	Load string
	// NotRun marks a response which says that the request did not run.
	NotRun string
	// RetryAfter is the time after which the caller may retry, in seconds.
	RetryAfter string
	// Caller is the service of the host on which the request started.
	Caller string
	// Key is the key of a request to a keyed service.
	Key string
}

// Call is one attempt at one upstream.
type Call struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end fields of the caller's request.
	Header http.Header
	// Body is the complete body, unless Stream is set.
	Body   []byte
	Stream *bodyStream
	// deferred is the request of another router that keeps the body until it is asked for
	// it, see loadBody. It is nil if Body is complete.
	deferred *hop.Request
	// deferBody is true if another router is to get the body only once it has admitted the call.
	// It has no effect on connections on which that router has not announced its support.
	deferBody bool

	RequestID string
	Service   string
	// Caller is the service of the host on which the request started.
	Caller   string
	Deadline time.Time
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Large is true if the response is expected to be large.
	Large bool
	// spareHost is true if the host chosen for a call with a large response has spare
	// capacity.
	spareHost bool
	// distance is that of this host.
	distance locality.Distance
	// Keyed is true if the call may run only at the holder of Key.
	Keyed bool
	Key   uint16
	// WaitPolicy bounds how long the call may wait for a slot.
	WaitPolicy admit.WaitPolicy
	// Objective is the latency objective of the route. Goal is the moment up to which a
	// response meets it. It counts from the caller's first attempt, because later
	// attempts come with shorter deadlines.
	Objective time.Duration
	Goal      time.Time
	// Origin describes the attempt to the gate.
	Origin admit.Origin

	// returnKind says whether the request is known to have been refused before, and
	// earlierRefusal is that refusal.
	returnKind     reservation.Return
	earlierRefusal reservation.Refusal
	// route is the route by which the service was chosen; nil at the gate of another host.
	route *vhost.Route
	// refusedRegions are the regions whose hosts refused the call because it is not allowed
	// to run there.
	refusedRegions []string
	// transfer is the response on its way to another router. It is nil for calls of this
	// host, and if the link is not scheduled.
	transfer *linkTransfer
	// charge charges bytes of the response to the connection of the request. It may be nil.
	charge func(n int64)
	// dryRun is true if the call is explained and not sent. The decisions on it then change
	// nothing, wait for nothing and draw no random number.
	dryRun bool
	// trialHost is the only host to which the call may be offered, or empty.
	trialHost string
	evidence  callEvidence
	// ofRun is set if the call was made by a request in progress, and makesCalls if the
	// call is expected to make calls itself.
	ofRun      callOfRun
	makesCalls bool
	// calls is the driver that knows the run that the call is, once it has started.
	calls *runCallsDriver
	// lookedUpRoute is the route of a call of another host if routeLookedUp is true.
	lookedUpRoute *vhost.Route
	routeLookedUp bool
}

// loadBody asks the router that has sent the call for its body, if that still has it. Without
// the body the call cannot run.
func (c *Call) loadBody() *errkind.Error {
	if c.deferred == nil {
		return nil
	}
	body, err := c.deferred.ReadBody()
	if err != nil {
		return errkind.New(errkind.PeerUnreachable, "the body was not received: %w", err)
	}
	c.Body, c.deferred = body, nil
	return nil
}

// bodySendable reports whether the whole body can be sent in another attempt.
func (c *Call) bodySendable() bool {
	return c.Stream == nil || !c.Stream.begun.Load()
}

// workClass returns the class of the call by which the limiter admits it.
func (c *Call) workClass() admit.WorkClass {
	return admit.WorkClass{Priority: c.Priority, Repeatable: c.Repeatable, OfRun: c.ofRun.known}
}

// Result is the result of a call: a response of the upstream, or an error.
type Result struct {
	// Err is nil if the upstream responded. Its kind says whether the request may have
	// run.
	Err *errkind.Error
	// Arrived is true if the request was sent to the upstream, whether or not it ran.
	Arrived bool
	// Host is the host to which the call was offered.
	Host string
	// Holder is the host that holds the key of the call according to the refusing host;
	// empty if that is no other host.
	Holder string
	// Unreachable is true if the host or its upstream could not be reached.
	Unreachable bool
	// Load is the load of the upstream when the call ended. It is valid if HasLoad is
	// true.
	Load    fleet.Load
	HasLoad bool

	// Leaving is the life of the host's upstream if that upstream leaves, otherwise nil.
	Leaving *fleet.Incarnation
	// Evacuated is the report of the other host on the evacuated zones, or empty.
	Evacuated string

	// Suspects is the report of the other host on requests that crash upstreams, or empty.
	Suspects string
	// bodyDeferred is true if the other host got the call without its body at first.
	bodyDeferred bool
	// lost is true if the connection to the local upstream ended before the response, and
	// suspect is the fingerprint of a call that was lost.
	lost    bool
	suspect *quarantine.Fingerprint
	// reported is hop.Request.Reported of a call of another host. The gate keeps in it the
	// quarantine.Set.UrgentChanges up to which it has reported.
	reported *uint64

	// Config is the configuration in force at the other host. Its version is 0 if
	// unknown.
	Config peerConfig

	Status int
	Header http.Header
	// Body must be closed if it is not nil. Length is its length in bytes, or -1 if
	// unknown.
	Body   io.ReadCloser
	Length int64

	// hedge is the other result if the request was sent twice without a usable response.
	hedge *hedgedResult
}

// notRun reports whether the result promises that the request did not run and will not
// run.
func (r *Result) notRun() bool {
	return r.Err != nil && errkind.ResponseOf(r.Err.Kind).Outcome == errkind.NotRun
}

func errorResult(kind errkind.Kind, format string, args ...any) *Result {
	return &Result{Err: errkind.New(kind, format, args...)}
}

// close closes the body of the response, if there is one.
func (r *Result) close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
