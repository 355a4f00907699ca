package connguard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
)

// maxBodyCost is what is charged for a body that is streamed, or whose length is unknown.
const maxBodyCost = 64 << 10

// ServerOptions configure what a server does with requests.
type ServerOptions struct {
	// RequestBytes is the memory of a request beyond its head and body.
	RequestBytes int64
	// BodyTime bounds the time in which a body arrives, unless the handler sets another
	// bound. 0: no bound.
	BodyTime time.Duration
	// DrainTime bounds the time for which the server waits, once the handler has returned, for
	// a body that the handler has not read. 0: no bound of its own.
	DrainTime time.Duration
}

// Protect makes the server report the phases of its connections, and refuse requests that do
// not fit. It is called before Serve.
func (g *Guard) Protect(sv *http.Server, o ServerOptions) {
	stateChanged, connContext := sv.ConnState, sv.ConnContext
	sv.ConnState = func(conn net.Conn, state http.ConnState) {
		guarded, ok := conn.(*Conn)
		if ok {
			guarded.stateChanged(state)
			conn = guarded.Conn
		}
		if stateChanged != nil {
			stateChanged(conn, state)
		}
	}
	sv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		guarded, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		ctx = context.WithValue(ctx, guardKey{}, guarded)
		if connContext != nil {
			ctx = connContext(ctx, guarded.Conn)
		}
		return ctx
	}
	sv.Handler = g.admitRequests(sv.Handler, o)
}

// guardKey is the context key of the guarded connection of a request.
type guardKey struct{}

// Of returns the connection of a request, or nil.
func Of(ctx context.Context) *Conn {
	guarded, _ := ctx.Value(guardKey{}).(*Conn)
	return guarded
}

// admitRequests refuses requests that do not fit, before the handler has seen them.
func (g *Guard) admitRequests(next http.Handler, o ServerOptions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := Of(req.Context())
		if c == nil || c.processedAhead() {
			next.ServeHTTP(w, req)
			return
		}
		// The handler may set an earlier time. Errors of these show when the body is read.
		if req.ContentLength != 0 && o.BodyTime > 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(o.BodyTime))
		}
		if err := c.admit(req, o.RequestBytes); err != nil {
			w.Header().Set("Connection", "close") // the server would otherwise wait for the body
			g.opts.Refuse(c.account.Class(), w, req, err)
			return
		}
		next.ServeHTTP(w, req)
		if req.ContentLength != 0 && o.DrainTime > 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(o.DrainTime))
		}
	})
}

// admit charges what is known once the head was read. It returns an error if that does not
// fit.
func (c *Conn) admit(req *http.Request, requestBytes int64) *errkind.Error {
	if !c.fits.Load() {
		return errkind.New(errkind.Overloaded, "the router of this host has no file descriptors left")
	}
	if !c.reading || !c.head.Ended() {
		// A part of the head came with the request before.
		lines := 0
		for _, values := range req.Header {
			lines += len(values)
		}
		requestBytes += connlimit.HeadCost(0, lines)
	}
	if c.account.Class() != connlimit.Caller {
		requestBytes += BodyCost(req)
	}
	if !c.chargeAt(c.now, requestBytes+connlimit.RequestCost) {
		return NoMemory()
	}
	return nil
}

// NoMemory returns the error of a request that does not fit into the memory budget.
func NoMemory() *errkind.Error {
	err := errkind.New(errkind.Overloaded, "the router of this host has no memory left for the request")
	err.RetryAfter = connlimit.RefusalRetry
	return err
}

// BodyCost returns the bytes that are charged for the body of a request.
func BodyCost(req *http.Request) int64 {
	if req.ContentLength < 0 || req.ContentLength > maxBodyCost {
		return maxBodyCost
	}
	return req.ContentLength
}

// ChargeResponse charges n bytes that the response to the request of ctx takes. They are not
// refused, because the request has run. It has no effect without a guard.
func ChargeResponse(ctx context.Context, n int64) {
	if c := Of(ctx); c != nil {
		c.ChargeResponse(n)
	}
}

// Body is the body of a request that is received.
type Body struct {
	// Cost is the number of bytes that are charged for it.
	Cost int64
	// Deadline is that of the request. A body that is streamed may arrive until StreamMargin
	// after it: the end of the request's context comes first, and decides on the response.
	Deadline     time.Time
	StreamMargin time.Duration
	// Read reads the body. It returns the number of bytes that are held, and whether the rest
	// is streamed.
	Read func() (held int64, streams bool, err *errkind.Error)
}

// ReceiveBody reads the body of a request once it fits into the budget. It gives up at the
// deadline. After an error the request has not run.
func (c *Conn) ReceiveBody(w http.ResponseWriter, b Body) *errkind.Error {
	if !c.Charge(b.Cost) {
		w.Header().Set("Connection", "close") // the server would otherwise wait for the body
		return NoMemory()
	}
	control := http.NewResponseController(w)
	// Errors of these show when the body is read.
	_ = control.SetReadDeadline(b.Deadline)
	c.guard.budget.BodyStarted(time.Now(), c.account)
	held, streams, err := b.Read()
	if !c.guard.budget.BodyDone(time.Now(), c.account) {
		return errkind.New(errkind.CallerLeft, "the connection was closed to make room while the body was arriving")
	}
	switch {
	case err != nil && errors.Is(err.Err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the body was complete")
	case err == nil && streams:
		_ = control.SetReadDeadline(b.Deadline.Add(b.StreamMargin))
	case err == nil:
		_ = control.SetReadDeadline(time.Time{}) // the server watches the connection from now on
		c.Refund(b.Cost - held)
	}
	return err
}
