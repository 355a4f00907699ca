package connguard

import (
	"errors"
	"fmt"
	"net"
	"net/http"
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

// Ahead is implemented by connections that read requests before the HTTP server does.
type Ahead interface {
	net.Conn
	// SetGuarded passes the connection to which what is read ahead is charged.
	SetGuarded(*Conn)
	// ProcessedAhead reports whether requests that the server has not read yet are being
	// processed.
	ProcessedAhead() bool
	// StopAhead ends the reading ahead, and cancels those requests.
	StopAhead()
	// Socket returns the connection that is read.
	Socket() net.Conn
}

// Conn counts the request heads that are read from a connection and charges them to
// the budget. It implements hop.Meter.
type Conn struct {
	net.Conn
	guard *Guard
	// ahead is Conn if that reads ahead, or nil.
	ahead Ahead
	// metered is true if the server itself charges requests and reports their begin and end.
	metered bool
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
func (c *Conn) Read(p []byte) (int, error) {
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
func (c *Conn) Write(p []byte) (int, error) {
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
func (c *Conn) unread(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(guardEpoch)-time.Duration(since) >= unreadTime
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// observeHead charges a part of a request head. It returns an error if the head is refused.
func (c *Conn) observeHead(p []byte) error {
	now, class := time.Now(), c.account.Class()
	if (c.metered || !c.reading) && !c.guard.budget.ReadStarted(now, c.account) {
		return refusedRead()
	}
	if c.metered {
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
	if c.head.Exceeds(c.guard.opts.MaxHeadBytes(class)) {
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize)
	}
	if !c.charge(now, cost) {
		return c.refuseHead(http.StatusServiceUnavailable, reasonMemory)
	}
	return nil
}

// processedAhead reports whether requests that the server has not read yet are being
// processed.
func (c *Conn) processedAhead() bool {
	return c.ahead != nil && c.ahead.ProcessedAhead()
}

// refuseHead responds to a request whose head is not complete, and ends the reading. The
// server has no response to write at this time.
func (c *Conn) refuseHead(status int, reason string) error {
	c.guard.refused(c.account.Class(), reason, c.RemoteAddr())
	fields := ""
	if c.guard.opts.RefusalFields != nil {
		fields = c.guard.opts.RefusalFields(c.account.Class(), status)
	}
	text := http.StatusText(status)
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s", status, text, len(text), fields, text)
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime)) == nil {
		_, _ = c.Conn.Write([]byte(response)) // the client may have left
	}
	c.linger()
	return refusedRead()
}

// linger releases what is charged to the connection. Close then keeps it open for a while:
// a connection that is closed while data arrive is reset, and the client may not get the
// response.
func (c *Conn) linger() {
	c.lingers.Store(true)
	c.guard.budget.Linger(time.Now(), c.account)
}

// Linger ends the reading of the connection, whose client may still be sending, behind the last
// response. The client is given time to read that response. It does nothing for a nil Conn.
func (c *Conn) Linger() {
	if c != nil {
		c.linger()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lingers.Load() && c.CloseWrite() == nil {
		if c.ahead != nil {
			c.ahead.StopAhead()
		}
		return nil // closed by the guard
	}
	c.guard.budget.Close(c.account)
	return c.Conn.Close()
}

// forceClose closes the connection at once, after the budget has released it.
func (c *Conn) forceClose() {
	_ = c.Conn.Close() // an error means that it is closed already
}

// SyscallConn implements syscall.Conn, by which the state of the connection is read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	conn := c.Conn
	if c.ahead != nil {
		conn = c.ahead.Socket()
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// stateChanged records the phase that the HTTP server reports.
func (c *Conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.SetBusy(true)
	case http.StateIdle:
		c.SetBusy(false)
	}
}

// SetBusy implements hop.Meter.
func (c *Conn) SetBusy(busy bool) bool {
	if c.lingers.Load() {
		return false
	}
	c.active.Store(busy)
	isHTTP := !c.metered
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
func (c *Conn) Charge(n int64) bool {
	return c.chargeAt(time.Now(), n)
}

// chargeAt is like Charge at the time.
func (c *Conn) chargeAt(now time.Time, n int64) bool {
	if !c.charge(now, n) {
		c.guard.refused(c.account.Class(), reasonMemory, c.RemoteAddr())
		return false
	}
	return true
}

func (c *Conn) charge(now time.Time, n int64) bool {
	evicted, ok := c.guard.budget.Charge(now, c.account, n)
	c.guard.makeRoom(evicted)
	return ok
}

// ChargeResponse implements hop.Meter.
func (c *Conn) ChargeResponse(n int64) {
	c.guard.budget.ChargeResponse(c.account, n)
}

// Refused implements hop.Meter.
func (c *Conn) Refused() {
	c.linger()
}

// ChargeAhead charges n bytes that later requests of the connection take. It returns false if
// they do not fit. c may be nil.
func (c *Conn) ChargeAhead(n int64) bool {
	if c == nil {
		return true
	}
	evicted, ok := c.guard.budget.ChargeAhead(time.Now(), c.account, n)
	if len(evicted) > 0 {
		go c.guard.makeRoom(evicted) // the caller holds a lock like the one that closing takes
	}
	return ok
}

// RefundAhead releases n bytes of ChargeAhead. c may be nil.
func (c *Conn) RefundAhead(n int64) {
	if c != nil && n > 0 {
		c.guard.budget.RefundAhead(c.account, n)
	}
}

// ChargeAheadResponse charges n bytes of the response to a later request, which must not be
// refused.
func (c *Conn) ChargeAheadResponse(n int64) {
	c.guard.budget.ChargeAheadResponse(c.account, n)
}

// Refund releases n bytes of Charge.
func (c *Conn) Refund(n int64) {
	c.guard.budget.Refund(c.account, n)
}

// MaxHeadBytes returns the limit on the header of a request.
func (c *Conn) MaxHeadBytes() int {
	return c.guard.opts.MaxHeadBytes(c.account.Class())
}
