package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/vhost"
)

const (
	// keptBodyBytes is the size up to which a request body is kept for another
	// attempt.
	keptBodyBytes = 64 << 10
	// maxHops bounds the hosts that one request is offered to.
	maxHops = 4
	// shortestPause and longestPause bound the pause that a refused caller is
	// asked for.
	shortestPause = 50 * time.Millisecond
	longestPause  = time.Second
	// retryShare is the part of the remaining time after which a refused caller
	// is asked to come back; callers ignore longer pauses.
	retryShare = 3
)

// entry takes requests of the host's callers.
type entry struct {
	host     string
	service  func() string
	headers  Headers
	config   *currentConfig
	exchange *configExchange
	fleet    *fleet.Directory
	keys     *keyIndex
	gate     *gate
	budgets  *budgets
	longest  longestTimes
	log      *event.Logger
	metrics  *entryMetrics
}

// ServeHTTP answers one request of a caller.
func (e *entry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	if conn := connOf(req); conn != nil {
		ctx, leave := context.WithCancel(req.Context())
		defer leave()
		req = req.WithContext(ctx)
		early := conn.ahead.begin(req, leave)
		defer conn.ahead.finish()
		if early != nil {
			e.answerEarly(w, req, early)
			return
		}
	}
	table := e.config.table.Load()
	if table == nil {
		e.refuse(w, req, nil, start.Add(longestPause), errkind.New(errkind.NotReady, "no configuration yet"))
		return
	}
	route := table.Route(req.Host, req.URL.Path)
	if route == nil {
		e.refuse(w, req, nil, start, errkind.New(errkind.NotFound, "no route for host %q and path %q in configuration %d", req.Host, req.URL.Path, table.Version()))
		return
	}
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		if req.ContentLength > limit {
			e.refuse(w, req, route, start, errkind.New(errkind.TooLarge, "a body of %d bytes; the limit is %d", req.ContentLength, limit))
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, limit)
	}
	e.serveRoute(w, req, table, route, start)
}

func (e *entry) serveRoute(w http.ResponseWriter, req *http.Request, table *vhost.Table, route *vhost.Route, start time.Time) {
	c, err := e.newCall(req, table, route, start)
	if err != nil {
		e.refuse(w, req, route, start, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.Deadline)
	defer cancel()
	e.budgets.of(c.Service).Request(start)
	r := e.attempts(ctx, c, route)
	e.answer(w, req, table, route, c, r, start)
}

// answer passes the result of a request on.
func (e *entry) answer(w http.ResponseWriter, req *http.Request, table *vhost.Table, route *vhost.Route, c *Call, r *Result, start time.Time) {
	defer r.close()
	e.metrics.observe(route.Name, r, time.Since(start))
	if r.Err != nil {
		e.refuse(w, req, route, c.Deadline, r.Err, event.F("host", r.Host), event.F("service", c.Service), event.F("config", table.Version()))
		return
	}
	writeAnswer(w, r)
}

// beginEarly begins the work of a request whose connection still waits for earlier
// answers. It returns nil for requests that have to wait for their turn: those which
// may run only once, and those that are refused.
func (e *entry) beginEarly(req *http.Request) *earlyRequest {
	start := time.Now()
	table := e.config.table.Load()
	if table == nil {
		return nil
	}
	route := table.Route(req.Host, req.URL.Path)
	if route == nil || !route.Repeatable {
		return nil
	}
	c, err := e.newCall(req, table, route, start)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	e.budgets.of(c.Service).Request(start)
	done := make(chan struct{})
	early := &earlyRequest{request: req, done: done, cancel: cancel}
	go func() {
		defer close(done)
		defer func() {
			if v := recover(); v != nil {
				logFault(e.log, c.RequestID, v)
				early.result = &Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "a fault in the router of %s", e.host)}
			}
		}()
		early.result = e.attempts(ctx, c, route)
	}()
	early.answer = func(w http.ResponseWriter, req *http.Request) {
		e.answer(w, req, table, route, c, early.result, start)
	}
	return early
}

// answerEarly waits for the work of an early request and passes its result on. The
// work ends by its deadline, or when the caller leaves.
func (e *entry) answerEarly(w http.ResponseWriter, req *http.Request, early *earlyRequest) {
	defer early.cancel()
	stop := context.AfterFunc(req.Context(), early.cancel)
	defer stop()
	<-early.done
	early.answer(w, req)
}

// newCall reads a request and chooses its service.
func (e *entry) newCall(req *http.Request, table *vhost.Table, route *vhost.Route, start time.Time) (*Call, *errkind.Error) {
	c := &Call{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header,
		RequestID:  req.Header.Get(e.headers.RequestID),
		Service:    route.PickService(),
		Caller:     e.service(),
		Deadline:   start.Add(e.timeLeft(req, route)),
		Priority:   route.Priority,
		Repeatable: route.Repeatable,
		Objective:  route.TargetLatency,
	}
	left := c.Deadline.Sub(start)
	c.Goal = c.Deadline.Add(route.TargetLatency - e.longest.of(route.Name, left))
	if s := table.Service(c.Service); s != nil && s.Keyed {
		key, err := strconv.ParseUint(req.Header.Get(e.headers.Key), 10, 16)
		if err != nil {
			return nil, errkind.New(errkind.BadRequest, "service %s needs a key from 0 to 65535 in %s: %w", c.Service, e.headers.Key, err)
		}
		c.Keyed, c.Key = true, uint16(key)
	}
	if err := readBody(req, c); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
		}
		return nil, errkind.New(errkind.CallerLeft, "%w", err)
	}
	return c, nil
}

// longestTimes holds the longest time that callers of each route have asked
// for: that of first attempts. A shorter time means that the caller has tried
// before.
type longestTimes struct {
	byRoute sync.Map // route name to time.Duration
}

// of returns the longest time of the route, asked included.
func (l *longestTimes) of(route string, asked time.Duration) time.Duration {
	known, _ := l.byRoute.LoadOrStore(route, asked)
	longest := known.(time.Duration)
	if asked <= longest {
		return longest
	}
	l.byRoute.Store(route, asked)
	return asked
}

// timeLeft is the shorter of the caller's deadline and the route's timeout.
func (e *entry) timeLeft(req *http.Request, route *vhost.Route) time.Duration {
	limit := route.Timeout
	ms, err := strconv.ParseInt(req.Header.Get(e.headers.DeadlineMs), 10, 64)
	if err != nil || ms < 0 {
		return limit // the caller names no deadline
	}
	asked := time.Duration(ms) * time.Millisecond
	if limit <= 0 || asked < limit {
		return asked
	}
	return limit
}

// refuse answers a request with an error. The fields say what the refusal was
// decided on.
func (e *entry) refuse(w http.ResponseWriter, req *http.Request, route *vhost.Route, deadline time.Time, err *errkind.Error, fields ...event.Field) {
	id := req.Header.Get(e.headers.RequestID)
	if err.Kind == errkind.CallerLeft {
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	answer := errkind.ResponseOf(err.Kind)
	status := answer.Status
	now := time.Now()
	if answer.Outcome == errkind.NotRun && (answer.Retryable || err.Kind == errkind.DeadlinePassed) {
		status = http.StatusServiceUnavailable
		pause := pauseFor(err, deadline.Sub(now))
		w.Header().Set(e.headers.RetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	if answer.Outcome == errkind.Unknown && !now.Before(deadline) {
		status = http.StatusGatewayTimeout
	}
	name := ""
	if route != nil {
		name = route.Name
	}
	e.metrics.refused(name, err.Kind)
	fields = append([]event.Field{event.F("request", id), event.F("route", name), event.F("kind", string(err.Kind)),
		event.F("status", status), event.F("left_ms", deadline.Sub(now).Milliseconds()), event.F("detail", err.Detail)}, fields...)
	e.log.Log(eventRefused, fields...)
	if id != "" {
		w.Header().Set(e.headers.RequestID, id)
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", errkind.ProblemType)
	w.WriteHeader(status)
	_ = errkind.WriteProblem(w, err.Kind, err.Detail, status) // the caller may be gone
}

// pauseFor is the pause that a refused caller is asked for: what the refusal
// says, within the part of the remaining time that callers honour.
func pauseFor(err *errkind.Error, left time.Duration) time.Duration {
	longest := min(max(left/retryShare, shortestPause), longestPause)
	if err.RetryAfter > 0 {
		return min(max(err.RetryAfter, shortestPause), longest)
	}
	return longest
}
