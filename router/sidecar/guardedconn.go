package sidecar

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/connlimit"
)

// refusalWriteTime bounds the time to write the response to a refused head.
const refusalWriteTime = 100 * time.Millisecond

// unreadTime is how long a client may leave a response unread for which the server sets no
// deadline. Its connection would otherwise keep its request, and a descriptor, for ever.
const unreadTime = 30 * time.Second

// guardedConn counts the request heads that are read from a connection and charges them to
// the budget. It implements hop.Meter.
type guardedConn struct {
	net.Conn
	guard *connGuard
	// account is the record of the connection in the budget.
	account *connlimit.Conn
	// active is true while a request is in progress: what is read then is its body.
	active atomic.Bool
	// fits is false if the current request found no descriptor for its connections.
	fits atomic.Bool
	// ownDeadline is true while the server has set a deadline for writes.
	ownDeadline atomic.Bool
	// writingSince is the time from guardEpoch at which a write without a deadline began, or
	// 0.
	writingSince atomic.Int64
	// lingers is true once the client was refused: it is given time to read the response.
	lingers atomic.Bool
	// reading is true once bytes of the next head were read, which head counts. Only the
	// goroutine that serves an HTTP connection uses them.
	reading bool
	head    connlimit.Head
	// now is the time of the last step of the current request. The steps from its head to its
	// admission follow at once, and reading the clock at each costs a tenth of what the guard
	// adds to a request.
	now time.Time
}

// errConnRefused is the error of reads from a connection that was refused.
var errConnRefused = errors.New("the connection is refused")

// refusedRead is an error of a kind that net/http does not respond to.
func refusedRead() error {
	return &net.OpError{Op: "read", Net: "tcp", Err: errConnRefused}
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.lingers.Load() {
		return 0, refusedRead()
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.active.Load() {
		return n, err
	}
	if rejected := c.observeHead(p[:n]); rejected != nil {
		return 0, rejected
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.ownDeadline.Load() {
		// The guard looks for writes that last too long. A deadline would cost a timer, 3
		// microseconds for each response.
		c.writingSince.Store(int64(time.Since(guardEpoch)))
		defer c.writingSince.Store(0)
	}
	return c.Conn.Write(p)
}

// guardEpoch is the time from which writingSince counts.
var guardEpoch = time.Now()

// unread reports whether a write has waited for the client for unreadTime.
func (c *guardedConn) unread(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(guardEpoch)-time.Duration(since) >= unreadTime
}

// SetWriteDeadline implements net.Conn.
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// observeHead charges a part of a request head. It returns an error if the head is refused.
func (c *guardedConn) observeHead(p []byte) error {
	now, class := time.Now(), c.account.Class()
	if (class == connlimit.Router || !c.reading) && !c.guard.budget.ReadStarted(now, c.account) {
		return refusedRead()
	}
	if class == connlimit.Router {
		// The server charges heads by Charge, before it reads them. Another goroutine may
		// read while it ends the request before.
		return nil
	}
	if !c.reading {
		c.reading, c.head = true, connlimit.Head{}
	}
	c.now = now
	size, lines := c.head.Add(p)
	if size == 0 {
		return nil
	}
	cost := connlimit.HeadCost(size, lines)
	if c.processedAhead() {
		// The request is being processed already, so that a refusal would be wrong.
		c.guard.budget.ChargeResponse(c.account, cost)
		return nil
	}
	if c.head.Exceeds(c.guard.maxHeadBytes(class)) {
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize)
	}
	if !c.charge(now, cost) {
		return c.refuseHead(http.StatusServiceUnavailable, reasonMemory)
	}
	return nil
}

// processedAhead reports whether requests that the server has not read yet are being
// processed.
func (c *guardedConn) processedAhead() bool {
	own, ok := c.Conn.(*callerConn)
	return ok && own.ahead.hasPipelined()
}

// refuseHead responds to a request whose head is not complete, and ends the reading. The
// server has no response to write at this time.
func (c *guardedConn) refuseHead(status int, reason string) error {
	c.guard.refused(c.account.Class(), reason, c.RemoteAddr())
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("%s: %s\r\n", c.guard.headers.RetryAfter, refusalRetryAfter)
	}
	text := http.StatusText(status)
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s", status, text, len(text), retry, text)
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime)) == nil {
		_, _ = c.Conn.Write([]byte(response)) // the client may have left
	}
	c.linger()
	return refusedRead()
}

// refusalRetryAfter is connlimit.RefusalRetry in seconds.
var refusalRetryAfter = strconv.FormatFloat(connlimit.RefusalRetry.Seconds(), 'f', 3, 64)

// linger releases what is charged to the connection. Close then keeps it open for a while:
// a connection that is closed while data arrive is reset, and the client may not get the
// response.
func (c *guardedConn) linger() {
	c.lingers.Store(true)
	c.guard.budget.Linger(time.Now(), c.account)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if c.lingers.Load() && c.CloseWrite() == nil {
		if own, ok := c.Conn.(*callerConn); ok {
			own.ahead.close()
		}
		return nil // closed by the guard
	}
	c.guard.budget.Close(c.account)
	return c.Conn.Close()
}

// forceClose closes the connection at once, after the budget has released it.
func (c *guardedConn) forceClose() {
	_ = c.Conn.Close() // an error means that it is closed already
}

// SyscallConn implements syscall.Conn, by which the state of the connection is read.
func (c *guardedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// CloseWrite ends the sending direction.
func (c *guardedConn) CloseWrite() error {
	conn := c.Conn
	if own, ok := conn.(*callerConn); ok {
		conn = own.Conn
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// stateChanged records the phase that the HTTP server reports.
func (c *guardedConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.SetBusy(true)
	case http.StateIdle:
		c.SetBusy(false)
	}
}

// SetBusy implements hop.Meter.
func (c *guardedConn) SetBusy(busy bool) bool {
	if c.lingers.Load() {
		return false
	}
	c.active.Store(busy)
	isHTTP := c.account.Class() != connlimit.Router
	if !busy {
		if isHTTP {
			c.reading = false
		}
		c.guard.budget.RequestDone(time.Now(), c.account)
		return true
	}
	now := c.now
	if !isHTTP || !c.reading { // the head came with the request before
		now = time.Now()
	}
	if isHTTP {
		c.now = now
	}
	evicted, ok := c.guard.budget.RequestStarted(now, c.account)
	c.fits.Store(ok)
	c.guard.makeRoom(evicted)
	if !ok {
		c.guard.refused(c.account.Class(), reasonDescriptors, c.RemoteAddr())
	}
	return ok
}

// Charge implements hop.Meter.
func (c *guardedConn) Charge(n int64) bool {
	return c.chargeAt(time.Now(), n)
}

// chargeAt is like Charge at the time.
func (c *guardedConn) chargeAt(now time.Time, n int64) bool {
	if !c.charge(now, n) {
		c.guard.refused(c.account.Class(), reasonMemory, c.RemoteAddr())
		return false
	}
	return true
}

func (c *guardedConn) charge(now time.Time, n int64) bool {
	evicted, ok := c.guard.budget.Charge(now, c.account, n)
	c.guard.makeRoom(evicted)
	return ok
}

// ChargeResponse implements hop.Meter.
func (c *guardedConn) ChargeResponse(n int64) {
	c.guard.budget.ChargeResponse(c.account, n)
}

// Refused implements hop.Meter.
func (c *guardedConn) Refused() {
	c.linger()
}

// chargeAhead charges bytes that later requests of the connection take.
func (c *guardedConn) chargeAhead(n int64) bool {
	if c == nil {
		return true
	}
	evicted, ok := c.guard.budget.ChargeAhead(time.Now(), c.account, n)
	if len(evicted) > 0 {
		go c.guard.makeRoom(evicted) // the caller holds a lock like the one that closing takes
	}
	return ok
}

// refundAhead releases bytes of chargeAhead.
func (c *guardedConn) refundAhead(n int64) {
	if c != nil && n > 0 {
		c.guard.budget.RefundAhead(c.account, n)
	}
}

// maxHeadBytes returns the limit on the header of a request.
func (c *guardedConn) maxHeadBytes() int {
	if c == nil {
		return maxHeaderBytes
	}
	return c.guard.maxHeadBytes(c.account.Class())
}
