package sidecar

import (
	"errors"
	"net/http"
	"os"
	"time"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
)

// admitRequests refuses requests that do not fit, before the handler has seen them.
func (g *connGuard) admitRequests(next http.Handler, requestBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := guardOf(req.Context())
		if c == nil || c.processedAhead() {
			next.ServeHTTP(w, req)
			return
		}
		if req.ContentLength != 0 {
			// The handler may set an earlier time. An error shows when the body is read.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(defaultTimeout))
		}
		if err := c.admit(req, requestBytes); err != nil {
			g.refuseRequest(w, req, err)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// admit charges what is known once the head was read. It returns an error if that does not
// fit.
func (c *guardedConn) admit(req *http.Request, requestBytes int64) *errkind.Error {
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
		requestBytes += bodyCost(req)
	}
	if !c.chargeAt(c.now, requestBytes+connlimit.RequestCost) {
		return errNoMemory()
	}
	return nil
}

func errNoMemory() *errkind.Error {
	err := errkind.New(errkind.Overloaded, "the router of this host has no memory left for the request")
	err.RetryAfter = connlimit.RefusalRetry
	return err
}

// refuseRequest responds to a request that no handler has seen.
func (g *connGuard) refuseRequest(w http.ResponseWriter, req *http.Request, err *errkind.Error) {
	if id := req.Header.Get(g.headers.RequestID); id != "" {
		w.Header().Set(g.headers.RequestID, id)
	}
	w.Header().Set(g.headers.RetryAfter, refusalRetryAfter)
	w.Header().Set("Connection", "close") // the server would otherwise wait for the body
	w.Header().Set("Content-Type", errkind.ProblemType)
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = errkind.WriteProblem(w, err.Kind, err.Detail, http.StatusServiceUnavailable) // the client may have left
}

// bodyCost returns the bytes that are charged for the body of a request.
func bodyCost(req *http.Request) int64 {
	if req.ContentLength < 0 || req.ContentLength > maxBufferedBody {
		return maxBufferedBody
	}
	return req.ContentLength
}

// receiveBody reads the body of a caller's request like readBody, once it fits into the
// budget. It gives up at the deadline; the request has then not run.
func receiveBody(w http.ResponseWriter, req *http.Request, deadline time.Time) (requestBody, *errkind.Error) {
	c := guardOf(req.Context())
	if c == nil || req.ContentLength == 0 || req.Body == nil {
		return readBody(req)
	}
	cost := bodyCost(req)
	if !c.Charge(cost) {
		w.Header().Set("Connection", "close") // the server would otherwise wait for the body
		return requestBody{}, errNoMemory()
	}
	control := http.NewResponseController(w)
	// Errors of these show when the body is read.
	_ = control.SetReadDeadline(deadline)
	c.guard.budget.BodyStarted(time.Now(), c.account)
	body, err := readBody(req)
	if !c.guard.budget.BodyDone(time.Now(), c.account) {
		return body, errkind.New(errkind.CallerLeft, "the connection was closed to make room while the body was arriving")
	}
	switch {
	case err != nil && errors.Is(err.Err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return body, errkind.New(errkind.DeadlinePassed, "the deadline passed before the body was complete")
	case err == nil && body.stream != nil:
		// The end of the request's context comes first, and decides on the response.
		_ = control.SetReadDeadline(deadline.Add(lateWriteTime))
	case err == nil:
		_ = control.SetReadDeadline(time.Time{}) // the server watches the connection from now on
		c.guard.budget.Refund(c.account, cost-int64(len(body.data)))
	}
	return body, err
}
