package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/expectation"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/locality"
	"burdockglade.dev/router/vhost"
)

const (
	// maxBufferedBody is the size up to which a request body is kept for another attempt.
	maxBufferedBody = 64 << 10
	// maxHosts bounds the hosts to which one request is offered.
	maxHosts = 4
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is
	// asked to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// defaultTimeout is the timeout of routes that have none.
	defaultTimeout = time.Minute
	// retryAfterDivisor is the divisor of the remaining time that gives the longest such
	// delay; callers ignore longer ones.
	retryAfterDivisor = 3
)

// entry serves the requests of the callers on this host.
type entry struct {
	host     string
	service  func() string
	headers  Headers
	config   *currentConfig
	exchange *configExchange
	fleet    *fleet.Directory
	keys     *keyIndex
	gate     *gate
	// evacuation is nil if zones cannot be evacuated.
	evacuation *zoneEvacuation
	regions    *regionRules
	// quarantine is nil if it is switched off.
	quarantine *quarantineDriver
	// calls is nil if calls of requests in progress are not recognised.
	calls   *runCallsDriver
	budgets *budgets
	// refusals says how often other hosts refuse calls, and place is that of this host.
	refusals expectation.Refusals
	place    locality.Place
	// hedges is nil if slow requests are not sent a second time.
	hedges   *hedger
	maxTimes maxRequestTimes
	// returnTracker is nil if no reservations are made for returning requests.
	returnTracker *returnTracker
	log           *event.Logger
	metrics       *entryMetrics
	// drainLimit is the time, counted from the notice that an upstream leaves, after which
	// it gets no new request from this host.
	drainLimit time.Duration
	// stoppingFor returns the time since this router began to stop, or 0.
	stoppingFor func() time.Duration
	// graceLeft returns the time until this router ends.
	graceLeft func() time.Duration
}

// ServeHTTP serves one request of a caller.
func (e *entry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	if conn := connOf(req); conn != nil {
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		req = req.WithContext(ctx)
		pipelined := conn.ahead.begin(req, cancel)
		defer conn.ahead.finish()
		if pipelined != nil {
			e.servePipelined(w, req, pipelined)
			return
		}
	}
	if err := e.checkStopping(); err != nil {
		e.writeError(w, req, nil, start.Add(maxRetryAfter), err)
		return
	}
	table, route, err := e.lookup(req)
	if err != nil {
		e.refuseWithoutRoute(w, req, table, err)
		return
	}
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		if req.ContentLength > limit {
			e.writeError(w, req, route, start, errkind.New(errkind.TooLarge, "the body has %d bytes; the limit is %d", req.ContentLength, limit))
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, limit)
	}
	body, err := receiveBody(w, req, start.Add(e.remainingTime(req, route)))
	if err != nil {
		e.writeError(w, req, route, start, err)
		return
	}
	if body.stream != nil {
		respondsEarly(w)
	}
	// A newer configuration may have come into force while the body arrived.
	if table, route, err = e.lookup(req); err != nil {
		e.refuseWithoutRoute(w, req, table, err)
		return
	}
	e.serveRoute(w, req, body, table, route, start)
}

// lookup returns the configuration in force, or nil, and its route for the request.
func (e *entry) lookup(req *http.Request) (*vhost.Table, *vhost.Route, *errkind.Error) {
	if !e.evacuation.ready() {
		return nil, nil, errkind.New(errkind.NotReady, "the router has not read yet which zones are evacuated")
	}
	table, route := e.config.route(req.Host, req.URL.Path)
	if table == nil {
		return nil, nil, errkind.New(errkind.NotReady, "no configuration yet")
	}
	if route == nil {
		return table, nil, errkind.New(errkind.NotFound, "no route for host %q and path %q in configuration %d", req.Host, req.URL.Path, table.Version())
	}
	return table, route, nil
}

// refuseWithoutRoute responds to a request for which lookup found no route.
func (e *entry) refuseWithoutRoute(w http.ResponseWriter, req *http.Request, table *vhost.Table, err *errkind.Error) {
	var fields []event.Field
	if table != nil {
		fields = e.config.fields(table)
	}
	e.writeError(w, req, nil, time.Now().Add(maxRetryAfter), err, fields...)
}

func (e *entry) serveRoute(w http.ResponseWriter, req *http.Request, body requestBody, table *vhost.Table, route *vhost.Route, start time.Time) {
	c, err := e.newCall(req, body, table, route, start)
	if err != nil {
		e.writeError(w, req, route, start, err)
		return
	}
	if err := e.checkStopping(); err != nil { // the body may have ended late
		e.calls.ended(c, &Result{Err: err})
		e.writeError(w, req, route, c.Deadline, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.Deadline)
	defer cancel()
	e.budgets.forService(c.Service).Request(start)
	e.logRouted(c, table, route)
	r := e.tryHosts(ctx, c, route)
	e.respond(w, req, table, route, c, r, start)
}

// logRouted logs which service was chosen for a request, and by which configuration.
func (e *entry) logRouted(c *Call, table *vhost.Table, route *vhost.Route) {
	fields := []event.Field{event.F("request", c.RequestID), event.F("route", route.Name), event.F("service", c.Service)}
	e.log.Log(eventRouted, append(fields, e.config.fields(table)...)...)
}

// checkStopping returns an error if the router stops and takes no further requests.
func (e *entry) checkStopping() *errkind.Error {
	if e.stoppingFor() > drainNoticeTime {
		return errkind.New(errkind.Draining, "the router of this host is stopping")
	}
	return nil
}

// closeIfStopping lets the connection of a request end after its response if the router
// stops, unless further requests were read from it.
func (e *entry) closeIfStopping(w http.ResponseWriter, req *http.Request) {
	if e.stoppingFor() == 0 {
		return
	}
	if conn := connOf(req); conn == nil || conn.ahead.stopBehindCurrent() {
		w.Header().Set("Connection", "close")
	}
}

// respond passes the result of a request on to the caller.
func (e *entry) respond(w http.ResponseWriter, req *http.Request, table *vhost.Table, route *vhost.Route, c *Call, r *Result, start time.Time) {
	defer r.close()
	e.metrics.observe(route.Name, r, time.Since(start))
	e.returnTracker.recordRefusal(time.Now(), c, r)
	if c.Stream != nil && !c.Stream.ended.Load() {
		w.Header().Set("Connection", "close") // the rest of the body may be long
		defer c.Stream.abandon(connguard.Of(req.Context()))
	}
	if r.Err != nil {
		e.writeError(w, req, route, c.Deadline, r.Err, event.F("host", r.Host), event.F("service", c.Service), event.F("config", table.Version()))
		return
	}
	e.closeIfStopping(w, req)
	writeResponse(w, req, c.Deadline, r)
}

// beginPipelined starts to process a request whose connection still waits for earlier
// responses. It returns nil for requests that must wait for their turn: those that may
// run only once, and those that will be refused.
func (e *entry) beginPipelined(req *http.Request) *pipelinedRequest {
	start := time.Now()
	table, route, err := e.lookup(req)
	if err != nil || !route.Repeatable {
		return nil
	}
	c, err := e.newCall(req, requestBody{}, table, route, start)
	if err != nil {
		return nil
	}
	parent, cancel := context.WithCancelCause(context.Background())
	ctx, stopTimer := context.WithDeadline(parent, c.Deadline)
	e.budgets.forService(c.Service).Request(start)
	e.logRouted(c, table, route)
	done := make(chan struct{})
	pipelined := &pipelinedRequest{id: c.RequestID, request: req, done: done, cancel: cancel}
	go func() {
		defer close(done)
		defer func() {
			if v := recover(); v != nil {
				logPanic(e.log, c.RequestID, v)
				pipelined.result = &Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "panic in the router of %s", e.host)}
			}
		}()
		pipelined.result = e.tryHosts(ctx, c, route)
	}()
	pipelined.respond = func(w http.ResponseWriter, req *http.Request) {
		defer stopTimer() // not before: a long response is still being read from its host
		e.respond(w, req, table, route, c, pipelined.result, start)
	}
	return pipelined
}

// servePipelined waits for the result of a pipelined request and passes it on. Processing
// ends at its deadline at the latest, or when the caller leaves.
func (e *entry) servePipelined(w http.ResponseWriter, req *http.Request, pipelined *pipelinedRequest) {
	ctx := req.Context()
	defer pipelined.release()
	defer pipelined.cancel(context.Canceled)
	stop := context.AfterFunc(ctx, func() { pipelined.cancel(context.Cause(ctx)) })
	defer stop()
	<-pipelined.done
	pipelined.respond(w, req)
}

// newCall returns the call for a request. It selects the service.
func (e *entry) newCall(req *http.Request, body requestBody, table *vhost.Table, route *vhost.Route, start time.Time) (*Call, *errkind.Error) {
	c, err := e.buildCall(req, body, table, route, start, route.PickService(), e.maxTimes.observe)
	if err != nil {
		return nil, err
	}
	e.calls.link(c, start)
	if left := c.Deadline.Sub(start); !c.ofRun.known { // calls end with their run, so that a first attempt may be short
		e.returnTracker.recognise(start, c, e.maxTimes.peek(route.Name, left), left)
	}
	return c, nil
}

// buildCall returns the call for a request to the service. firstTime returns the time until
// the deadline of first attempts of a route, from that of this request.
func (e *entry) buildCall(req *http.Request, body requestBody, table *vhost.Table, route *vhost.Route, start time.Time,
	service string, firstTime func(route string, requested time.Duration) time.Duration) (*Call, *errkind.Error) {
	c := &Call{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header,
		Body: body.data, Stream: body.stream,
		RequestID:  req.Header.Get(e.headers.RequestID),
		Service:    service,
		Caller:     e.service(),
		Deadline:   start.Add(e.remainingTime(req, route)),
		Priority:   route.Priority,
		Repeatable: route.Repeatable,
		Large:      route.LargeResponses,
		Objective:  route.TargetLatency,
		route:      route,
		charge:     responseCharge(req),
	}
	left := c.Deadline.Sub(start)
	c.Goal = c.Deadline.Add(route.TargetLatency - firstTime(route.Name, left))
	if s := table.Service(c.Service); s != nil && s.Keyed {
		key, err := strconv.ParseUint(req.Header.Get(e.headers.Key), 10, 16)
		if err != nil {
			return nil, errkind.New(errkind.BadRequest, "service %s needs a key from 0 to 65535 in %s: %w", c.Service, e.headers.Key, err)
		}
		c.Keyed, c.Key = true, uint16(key)
	}
	return c, nil
}

// maxRequestTimes holds, for each route, the longest time until the deadline that callers
// have requested, which is the time of first attempts. A shorter time means that the
// caller has tried before.
type maxRequestTimes struct {
	byRoute sync.Map // route name to time.Duration
}

// observe records the requested time and returns the longest time of the route.
func (l *maxRequestTimes) observe(route string, requested time.Duration) time.Duration {
	known, _ := l.byRoute.LoadOrStore(route, requested)
	longest := known.(time.Duration)
	if requested <= longest {
		return longest
	}
	l.byRoute.Store(route, requested)
	return requested
}

// peek returns what observe would, without recording the requested time.
func (l *maxRequestTimes) peek(route string, requested time.Duration) time.Duration {
	if known, ok := l.byRoute.Load(route); ok {
		return max(known.(time.Duration), requested)
	}
	return requested
}

// remainingTime returns the shorter of the time until the caller's deadline and the
// timeout of the route.
func (e *entry) remainingTime(req *http.Request, route *vhost.Route) time.Duration {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	ms, err := strconv.ParseInt(req.Header.Get(e.headers.DeadlineMs), 10, 64)
	if err != nil || ms < 0 || ms > limit.Milliseconds() {
		return limit // the caller names no deadline, or a later one
	}
	return min(time.Duration(ms)*time.Millisecond, limit)
}

// writeError responds with an error and logs it together with fields, which describe what
// the decision is based on.
func (e *entry) writeError(w http.ResponseWriter, req *http.Request, route *vhost.Route, deadline time.Time, err *errkind.Error, fields ...event.Field) {
	id := req.Header.Get(e.headers.RequestID)
	if err.Kind == errkind.CallerLeft {
		e.log.Log(eventCallerLeft, event.F("request", id), event.F("left_ms", time.Until(deadline).Milliseconds()), event.F("detail", err.Detail))
		panic(http.ErrAbortHandler) // the caller no longer reads the response
	}
	now := time.Now()
	status, retryAfter := statusFor(err, now, deadline)
	if retryAfter > 0 {
		w.Header().Set(e.headers.RetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	name := ""
	if route != nil {
		name = route.Name
	}
	e.metrics.countRefusal(name, err.Kind)
	fields = append([]event.Field{event.F("request", id), event.F("route", name), event.F("kind", string(err.Kind)),
		event.F("status", status), event.F("left_ms", deadline.Sub(now).Milliseconds()), event.F("detail", err.Detail)}, fields...)
	e.log.Log(eventRefused, fields...)
	if id != "" {
		w.Header().Set(e.headers.RequestID, id)
	}
	e.closeIfStopping(w, req)
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", errkind.ProblemType)
	w.WriteHeader(status)
	_ = errkind.WriteProblem(w, err.Kind, err.Detail, status) // the caller may have left
}

// statusFor returns the status of the response to a request that ends with the error, and the
// delay after which the caller is asked to retry, or 0 if it is not asked to.
func statusFor(err *errkind.Error, now, deadline time.Time) (status int, retryAfter time.Duration) {
	response := errkind.ResponseOf(err.Kind)
	switch {
	case response.Outcome == errkind.NotRun && (response.Retryable || err.Kind == errkind.DeadlinePassed || err.Kind == errkind.Quarantined || err.Kind == errkind.CallsRefused):
		return http.StatusServiceUnavailable, retryAfterFor(err, deadline.Sub(now))
	case response.Outcome == errkind.Unknown && !now.Before(deadline):
		return http.StatusGatewayTimeout, 0
	}
	return response.Status, 0
}

// retryAfterFor returns the delay after which a refused caller is asked to retry: the one
// that the error names. Estimates are limited to the part of the remaining time that callers
// honour.
func retryAfterFor(err *errkind.Error, left time.Duration) time.Duration {
	longest := min(max(left/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	if err.Kind == errkind.Quarantined || (err.Room != errkind.RoomUnknown && err.RetryAfter > 0) {
		return max(err.RetryAfter, minRetryAfter) // nothing earlier can help
	}
	if err.RetryAfter > 0 {
		return min(max(err.RetryAfter, minRetryAfter), longest)
	}
	return longest
}
