package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/vhost"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while the configuration names none.
	// The second is longer than callers keep idle connections, so that none is closed while a
	// request is on its way.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// LimitMemory makes the runtime collect garbage more often before the process takes half of
// the memory that the settings name. It has no effect without that setting.
func LimitMemory(s Settings) {
	connguard.LimitMemory(s.Host.MemoryBytes())
}

// newConnGuard returns a guard with the limits of the configuration in force, which limits
// returns.
func newConnGuard(budget connlimit.Options, limits func() vhost.Limits, headers Headers, log *event.Logger, scope tally.Scope) *connguard.Guard {
	return connguard.New(connguard.Options{
		Budget: budget,
		MaxHeadBytes: func(class connlimit.Class) int {
			if class == connlimit.Caller {
				return limits().MaxHeaderBytes
			}
			return maxHeaderBytes
		},
		Timeouts: func(class connlimit.Class) connlimit.Timeouts { return connTimeouts(class, limits) },
		RefusalFields: func(_ connlimit.Class, status int) string {
			if status != http.StatusServiceUnavailable {
				return ""
			}
			return fmt.Sprintf("%s: %s\r\n", headers.RetryAfter, refusalRetryAfter)
		},
		Refuse: func(_ connlimit.Class, w http.ResponseWriter, req *http.Request, err *errkind.Error) {
			refuseRequest(headers, w, req, err)
		},
		Log: log, Scope: scope,
	})
}

// limits returns the limits of the configuration in force, with the defaults in place of
// those that it does not name.
func (c *currentConfig) limits() vhost.Limits {
	var l vhost.Limits
	if t := c.table.Load(); t != nil {
		l = t.Limits()
	}
	if l.MaxHeaderBytes <= 0 || l.MaxHeaderBytes > maxHeaderBytes {
		l.MaxHeaderBytes = maxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// connTimeouts returns the times after which connections are closed. Routers open connections
// before they have a request.
func connTimeouts(class connlimit.Class, limits func() vhost.Limits) connlimit.Timeouts {
	t := connlimit.Timeouts{Fresh: defaultHeaderTimeout, Head: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	switch class {
	case connlimit.Caller:
		l := limits()
		// Clients keep a connection that they opened in vain for a later request.
		t = connlimit.Timeouts{Fresh: max(l.HeaderTimeout, l.IdleTimeout), Head: l.HeaderTimeout, Idle: l.IdleTimeout}
	case connlimit.Router:
		t.Fresh = defaultIdleTimeout
	}
	return t
}

// refusalRetryAfter is connlimit.RefusalRetry in seconds.
var refusalRetryAfter = strconv.FormatFloat(connlimit.RefusalRetry.Seconds(), 'f', 3, 64)

// refuseRequest responds to a request that no handler has seen.
func refuseRequest(headers Headers, w http.ResponseWriter, req *http.Request, err *errkind.Error) {
	if id := req.Header.Get(headers.RequestID); id != "" {
		w.Header().Set(headers.RequestID, id)
	}
	w.Header().Set(headers.RetryAfter, refusalRetryAfter)
	w.Header().Set("Content-Type", errkind.ProblemType)
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = errkind.WriteProblem(w, err.Kind, err.Detail, http.StatusServiceUnavailable) // the client may have left
}

// receiveBody reads the body of a caller's request like readBody, once it fits into the
// budget. It gives up at the deadline; the request has then not run.
func receiveBody(w http.ResponseWriter, req *http.Request, deadline time.Time) (requestBody, *errkind.Error) {
	c := connguard.Of(req.Context())
	if c == nil || req.ContentLength == 0 || req.Body == nil {
		return readBody(req)
	}
	var body requestBody
	err := c.ReceiveBody(w, connguard.Body{
		Cost: connguard.BodyCost(req), Deadline: deadline, StreamMargin: lateWriteTime,
		Read: func() (held int64, streams bool, err *errkind.Error) {
			body, err = readBody(req)
			return int64(len(body.data)), body.stream != nil, err
		},
	})
	return body, err
}

// SetGuarded implements connguard.Ahead.
func (c *callerConn) SetGuarded(guarded *connguard.Conn) { c.ahead.guarded = guarded }

// ProcessedAhead implements connguard.Ahead.
func (c *callerConn) ProcessedAhead() bool { return c.ahead.hasPipelined() }

// StopAhead implements connguard.Ahead.
func (c *callerConn) StopAhead() { c.ahead.close() }

// Socket implements connguard.Ahead.
func (c *callerConn) Socket() net.Conn { return c.Conn }
