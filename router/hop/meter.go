package hop

import (
	"bytes"
	"errors"
	"time"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
)

// Meter is implemented by connections whose memory is bounded. The server charges what a
// request takes before it allocates it.
type Meter interface {
	// SetBusy reports that a request has been read, or that it has ended and its charges are
	// released. It returns false if the request must be refused.
	SetBusy(busy bool) bool
	// Charge charges n bytes. It returns false if the request must be refused.
	Charge(n int64) bool
	// ChargeResponse charges n bytes for a response.
	ChargeResponse(n int64)
	// Refused reports that a refusal was written and the connection will be closed.
	Refused()
}

// unmetered is the meter of connections whose memory is not bounded.
type unmetered struct{}

func (unmetered) SetBusy(bool) bool    { return true }
func (unmetered) Charge(int64) bool    { return true }
func (unmetered) ChargeResponse(int64) {}
func (unmetered) Refused()             {}

// meter returns the meter of the connection.
func (c *serverConn) meter() Meter {
	if m, ok := c.Conn.(Meter); ok {
		return m
	}
	return unmetered{}
}

// errNoCapacity is the error of reading a request that does not fit.
var errNoCapacity = errors.New("no capacity for the request")

// fieldMark begins an encoded field. Other bytes may have the same value, so that the number
// of them is an upper bound for the number of fields.
var fieldMark = []byte{0x82}

// reserveHead charges a head of n bytes before it is read, and reserveFields its fields
// before they are decoded.
func (c *serverConn) reserveHead(n uint64) error {
	return c.reserve(connlimit.HeadCost(int(n), 0) + connlimit.RequestCost)
}

func (c *serverConn) reserveFields(head []byte) error {
	return c.reserve(connlimit.HeadCost(0, bytes.Count(head, fieldMark)))
}

func (c *serverConn) reserve(n int64) error {
	if !c.meter().Charge(n) {
		return errNoCapacity
	}
	return nil
}

// startRequest reports that a request was read.
func (c *serverConn) startRequest() error {
	if !c.meter().SetBusy(true) {
		return errNoCapacity
	}
	return nil
}

// bufferedBytes returns the bytes that are held of a body of the length.
func bufferedBytes(length int64) int64 {
	if length < 0 || length > maxBufferedBodyBytes {
		return maxBufferedBodyBytes
	}
	return length
}

// refuse responds to a request that no handler has seen.
func (c *serverConn) refuse() {
	if c.SetWriteDeadline(time.Now().Add(connlimit.RefusalRetry)) != nil {
		return
	}
	_ = c.writeResponse(emptyBody(&Response{ResponseHead: ResponseHead{
		Kind: string(errkind.Overloaded), Detail: "the router has no capacity left for the request", RetryMs: int(connlimit.RefusalRetry.Milliseconds()),
	}})) // the client may have left
	c.meter().Refused()
}
