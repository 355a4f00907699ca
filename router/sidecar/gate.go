package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/h1"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/responsehead"
	"burdockglade.dev/router/upstream"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely before it
	// is passed on, so that a truncated one is detected before the caller has got any
	// part of it.
	maxBufferedResponse = 64 << 10
	// upstreamIdleTimeout is the longest time for which a connection to the upstream is
	// kept unused.
	upstreamIdleTimeout = 8 * time.Second
	// nonRepeatableIdleTimeout is that time for requests that must not run twice: if the
	// upstream has dropped the connection, the request is lost and nothing shows whether
	// it ran.
	nonRepeatableIdleTimeout = 1500 * time.Millisecond
	// upstreamDialTimeout bounds the set-up of a connection to the local upstream.
	upstreamDialTimeout = 250 * time.Millisecond
	// tcpUserTimeout closes connections whose data the other side does not acknowledge in
	// time.
	tcpUserTimeout = 500 * time.Millisecond
)

// gate passes calls on to the local upstream.
type gate struct {
	host    string
	headers Headers
	local   *localUpstream
	keys    *keyDriver
	// evacuation is nil if zones cannot be evacuated.
	evacuation *zoneEvacuation
	limiter    *admit.PriorityLimiter
	client     *h1.Client
	notices    *noticeReader
	regions    *regionRules
	// quarantine is nil if it is switched off.
	quarantine *quarantineDriver
	// calls is nil if calls of requests in progress are not recognised.
	calls *runCallsDriver
	log   *event.Logger
	scope tally.Scope
	// config is the configuration in force.
	config *currentConfig
	// grantWaits is the number of calls that wait for the grants of their keys.
	grantWaits atomic.Int64
	// drainLimit is the time, counted from the notice that the upstream leaves, after
	// which it gets no new request.
	drainLimit time.Duration
	// stoppingFor returns the time since this router began to stop, or 0.
	stoppingFor func() time.Duration
	// graceLeft returns the time until this router ends.
	graceLeft func() time.Duration
}

// newUpstreamClient returns the client for the upstream. It needs no bound on
// connections, because the limiter admits no more calls than the upstream has slots.
func newUpstreamClient(address string) *h1.Client {
	return h1.New(connpool.Options{
		Address:     address,
		DialTimeout: upstreamDialTimeout,
		IdleTimeout: upstreamIdleTimeout,
		UserTimeout: tcpUserTimeout,
	})
}

// serve passes one call on to the upstream and returns its result.
func (g *gate) serve(ctx context.Context, c *Call) *Result {
	if err := g.checkAwaitingGrant(ctx, c); err != nil {
		g.countRefusal(c)
		return g.withLoad(g.refused(c, err))
	}
	if err := g.calls.admit(c); err != nil { // before a trial of the quarantine is used up
		return g.withLoad(&Result{Err: err})
	}
	if err := g.quarantine.enter(ctx, c); err != nil {
		g.calls.takeBack(c)
		return g.withLoad(&Result{Err: err})
	}
	defer g.quarantine.leave(c)
	work := c.workClass()
	if c.Keyed {
		g.keys.countRequest(c.Key, g.limiter.MeanServiceTime(work))
	}
	sending := c.transfer.expectedSendTime()
	release, err := g.limiter.Acquire(ctx, work, c.waitBounds(sending))
	if err != nil {
		g.calls.takeBack(c)
		return g.withLoad(&Result{Err: kindError(err)})
	}
	if err := g.checkAdmitted(c); err != nil {
		g.calls.takeBack(c)
		release(admit.Failed)
		return g.withLoad(&Result{Err: err})
	}
	start := time.Now()
	r := g.send(ctx, c, g.calls.started(c, release))
	g.quarantine.ended(ctx, c, r)
	if r.Err != nil {
		g.log.Log(eventUpstreamFailed, event.F("request", c.RequestID), event.F("caller", c.Caller), event.F("kind", string(r.Err.Kind)),
			event.F("instance", g.local.get().holder.Instance), event.F("arrived", r.Arrived), event.F("took_ms", time.Since(start).Milliseconds()), event.F("detail", r.Err.Detail))
	}
	return g.withLoad(r)
}

// checkAdmitted returns an error if a call that has a slot must not be sent. The checks follow
// the arrival of a deferred body, because what they depend on may change while it is awaited.
func (g *gate) checkAdmitted(c *Call) *errkind.Error {
	if err := c.loadBody(); err != nil {
		return err
	}
	err := cmp.Or(g.check(time.Now(), c), g.quarantine.recheck(c))
	if err != nil {
		g.countRefusal(c)
	}
	return err
}

// refused returns the result of a call that check refuses.
func (g *gate) refused(c *Call, err *errkind.Error) *Result {
	return &Result{Err: err, Unreachable: err.Kind == errkind.UpstreamDown, Holder: g.otherHolder(c)}
}

// countRefusal counts a refused call if its reason is the region or the zone of this host.
func (g *gate) countRefusal(c *Call) {
	switch {
	case !g.regions.allowedHere(c):
		g.regions.countRefusal(c)
	case g.evacuation.checkHost(g.evacuation.zone(), c) != nil:
		g.evacuation.countRefusal()
	}
}

// otherHolder returns the name of the other host that holds the key of the call, or "" if
// none is known.
func (g *gate) otherHolder(c *Call) string {
	if !c.Keyed {
		return ""
	}
	m, _ := g.keys.index.get(c.Service)
	if m == nil {
		return ""
	}
	if r := m.Find(c.Key); r != nil && r.Holder.Host != g.host {
		return r.Holder.Host
	}
	return ""
}

// kindError returns err as an *errkind.Error. Errors without a kind get errkind.Internal.
func kindError(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	return errkind.New(errkind.Internal, "%w", err)
}

// withLoad adds the current load of the upstream to a result, and whether it leaves.
func (g *gate) withLoad(r *Result) *Result {
	r.Load, r.HasLoad = g.load(), true
	if s := g.local.get(); !s.leavingSince.IsZero() {
		leaving := s.incarnation()
		r.Leaving = &leaving
	}
	return r
}

func (g *gate) load() fleet.Load {
	slots, busy, waiting := g.limiter.Load()
	return fleet.Load{Busy: busy, Waiting: waiting, Slots: slots, Pace: percent(g.limiter.Pace())}
}

// check returns an error if the local upstream must not get the call.
func (g *gate) check(now time.Time, c *Call) *errkind.Error {
	if err := g.evacuation.checkGate(c); err != nil {
		return err
	}
	s := g.local.get()
	service := g.limiter.MeanServiceTime(c.workClass())
	switch {
	case !s.known:
		return errkind.New(errkind.UpstreamDown, "the upstream of %s has not announced itself", g.host)
	case s.service != c.Service:
		return errkind.New(errkind.WrongOwner, "the upstream of %s serves %s, not %s", g.host, s.service, c.Service)
	case !g.regions.allowedHere(c):
		return g.regions.refusal()
	case !s.mayTakeRequests(now, g.drainLimit):
		return errkind.New(errkind.Draining, "the upstream of %s is leaving", g.host)
	case !takesWhileStopping(g.stoppingFor(), service, c.Keyed):
		return errkind.New(errkind.Draining, "the router of %s is stopping", g.host)
	case min(service, c.Deadline.Sub(now)) > g.graceLeft():
		return errkind.New(errkind.Draining, "the request would not end before the router of %s", g.host)
	case c.Keyed && !g.keys.holds(c.Key):
		return errkind.New(errkind.NoOwner, "the upstream of %s does not hold key %d", g.host, c.Key)
	}
	return nil
}

// send sends the call to the upstream. It calls release when the upstream has finished
// with it.
func (g *gate) send(ctx context.Context, c *Call, release func(admit.Result)) *Result {
	left := time.Until(c.Deadline)
	if left <= 0 {
		release(admit.Failed)
		return errorResult(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	holder := g.local.get().holder
	req := g.buildRequest(c, holder.Instance, left)
	sent := time.Now()
	g.quarantine.sent(c, holder)
	resp, err := g.client.Do(ctx, req)
	if err != nil {
		release(admit.Failed)
		if errors.Is(err, responsehead.ErrBroken) {
			g.logBroken(c, holder, err)
		}
		return g.sendFailed(ctx, err)
	}
	g.local.connected()
	g.notices.read(sent, holder, resp)
	return g.handleResponse(c, resp, release, func(err error) {
		if ctx.Err() == nil {
			g.logBroken(c, holder, err)
		}
	})
}

// logBroken logs a response of the upstream that is not one of HTTP/1.1, or not complete.
func (g *gate) logBroken(c *Call, holder keyrange.Holder, err error) {
	g.log.Log(eventBrokenResponse, event.F("request", c.RequestID), event.F("instance", holder.Instance),
		event.F("address", g.client.Address()), event.F("error", err.Error()))
}

func (g *gate) buildRequest(c *Call, instance string, left time.Duration) *h1.Request {
	header := upstream.EndToEndHeader(c.Header)
	header.Set(g.headers.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(g.headers.ExpectInstance, instance)
	header.Set(g.headers.Caller, c.Caller)
	req := &h1.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header,
		Body: c.Body, IDHeader: g.headers.RequestID, ID: c.RequestID,
	}
	if c.Stream != nil {
		req.Stream, req.Length = c.Stream, c.Stream.length
	}
	if !c.Repeatable {
		req.MaxIdle = nonRepeatableIdleTimeout
	}
	return req
}

// sendFailed returns the result of a request that got no response.
func (g *gate) sendFailed(ctx context.Context, err error) *Result {
	var failure *connpool.Error
	if !errors.As(err, &failure) || failure.Sent {
		if ctx.Err() == nil {
			g.client.CloseIdle()
		}
		return &Result{Arrived: true, lost: ctx.Err() == nil, Err: unansweredError("the upstream", err)}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errorResult(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	case ctx.Err() != nil:
		return errorResult(errkind.CallerLeft, "the caller left before the request was sent")
	}
	if errors.Is(err, connpool.ErrRefused) {
		g.local.connectionRefused(time.Now())
	}
	r := errorResult(errkind.UpstreamDown, "the upstream could not be reached: %w", err)
	r.Unreachable = true
	return r
}

// unansweredError returns the error of a request that was sent to a server, and got no response
// or a broken one. The caller does not learn the line that breaks a head: it may belong to the
// response to another caller. The log has it.
func unansweredError(server string, err error) *errkind.Error {
	if !errors.Is(err, responsehead.ErrBroken) {
		return errkind.New(errkind.OutcomeUnknown, "%s got the request and did not respond: %w", server, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%s got the request and its response has a broken head", server).WithCause(err)
}

// handleResponse checks the response of the upstream and returns it as a result. onError is called
// with the error of a body that does not end as it should.
func (g *gate) handleResponse(c *Call, resp *h1.Response, release func(admit.Result), onError func(error)) *Result {
	if err := g.refusalError(resp); err != nil {
		if c.Keyed && err.Kind == errkind.WrongOwner {
			g.keys.markUncertain(c.Key)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponse))
		_ = resp.Body.Close()
		release(admit.Shed)
		return &Result{Arrived: true, Err: err}
	}
	if err := g.untrusted(c, resp); err != nil {
		_ = resp.Body.Close()
		release(admit.Failed)
		return &Result{Arrived: true, Err: err}
	}
	c.chargeResponse(resp.Length)
	head, complete, err := c.transfer.readResponse(resp.Body, resp.Length)
	if err != nil {
		_ = resp.Body.Close()
		release(admit.Failed)
		onError(err)
		// The error may quote a line of the trailer, which may belong to another response.
		return &Result{Arrived: true, lost: true, Err: errkind.New(errkind.AnswerIncomplete, "the upstream's response was cut").WithCause(err)}
	}
	r := &Result{Arrived: true, Status: resp.Status, Header: resp.Header, Length: resp.Length}
	if complete {
		_ = resp.Body.Close()
		release(admit.Completed)
		r.Length = int64(len(head))
		if c.Method == http.MethodHead {
			r.Length = -1 // the length of a body that is not sent
		}
		r.Body = io.NopCloser(bytes.NewReader(head))
		return r
	}
	r.Body = &streamedResponse{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), body: resp.Body, release: release, onError: onError}
	return r
}

// refusalError returns an error if the response says that the request did not run.
func (g *gate) refusalError(resp *h1.Response) *errkind.Error {
	marked := resp.Header.Get(g.headers.NotRun) != "" && mayRefuse(resp.Status)
	if !marked && resp.Status != http.StatusMisdirectedRequest {
		return nil
	}
	kind := errkind.UpstreamRefused
	if resp.Status == http.StatusMisdirectedRequest {
		kind = errkind.WrongOwner
	}
	return errkind.New(kind, "the upstream refused the request: status %d", resp.Status)
}

// untrusted returns an error if the response must not be passed on: its status would
// wrongly promise the caller that the request did not run, or it reports a success that
// does not carry the upstream's signature and the id of the request.
func (g *gate) untrusted(c *Call, resp *h1.Response) *errkind.Error {
	success := resp.Status/100 == 2
	switch {
	case impliesNotRun(resp.Status):
		return errkind.New(errkind.OutcomeUnknown, "the upstream responded with status %d without saying that the request did not run", resp.Status)
	case resp.Header.Get(g.headers.NotRun) != "":
		return errkind.New(errkind.OutcomeUnknown, "the upstream's response of status %d says that the request did not run", resp.Status)
	case success && !isSigned(resp.Header.Values(g.headers.Signature)):
		return errkind.New(errkind.OutcomeUnknown, "the upstream's response does not have exactly one signature")
	case success && resp.Header.Get(g.headers.RequestID) != c.RequestID:
		return errkind.New(errkind.OutcomeUnknown, "the upstream's response does not carry the id of the request")
	case resp.Header.Get("Content-Encoding") != "":
		return errkind.New(errkind.OutcomeUnknown, "the upstream's response has a content encoding")
	}
	return nil
}

// mayRefuse reports whether a response with the status may say that the request did not
// run. Other statuses report the result of a run, so that such a response contradicts
// itself.
func mayRefuse(status int) bool {
	return status/100 == 4 || status == http.StatusServiceUnavailable
}

// isSigned reports whether a response has exactly one signature. A second one belongs to
// another response.
func isSigned(signatures []string) bool {
	return len(signatures) == 1 && signatures[0] != ""
}

// impliesNotRun reports whether callers conclude from a status that the request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// streamedResponse is a response body that is passed on while it arrives.
type streamedResponse struct {
	io.Reader
	body    io.Closer
	release func(admit.Result)
	// onError is called with the error if the body does not end as it should.
	onError func(err error)

	// quarantine, if it is not nil, gets the end of the call.
	quarantine *quarantineDriver
	call       *Call
	ctx        context.Context
	// err is the last error of Read.
	err error
}

// Read implements io.Reader.
func (s *streamedResponse) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF && s.err == nil {
		s.onError(err)
	}
	s.err = err
	return n, err
}

// Close closes the body and releases the slot.
func (s *streamedResponse) Close() error {
	s.quarantine.streamEnded(s)
	err := s.body.Close()
	if s.release != nil {
		s.release(admit.Completed)
		s.release = nil
	}
	return err
}
