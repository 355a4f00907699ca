package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"burdockglade.dev/router/errkind"
)

// maxHandshakeBytes bounds a message before authentication. The messages of the handshake have
// a host name of up to 63 bytes, a nonce and a proof. Any process can send such messages: with
// maxMessageBytes, 200 connections of a test made the router take 680 MB.
const maxHandshakeBytes = 4 << 10

// Meter is implemented by connections whose memory is bounded.
type Meter interface {
	// SetBusy reports that a call begins, or that the last one has ended and everything that
	// is charged is released. It returns false if the call must be refused.
	SetBusy(busy bool) bool
	// Charge charges n bytes. It returns false if they do not fit.
	Charge(n int64) bool
	// Refund releases n bytes.
	Refund(n int64)
}

// unmetered is the meter of connections whose memory is not bounded.
type unmetered struct{}

func (unmetered) SetBusy(bool) bool { return true }
func (unmetered) Charge(int64) bool { return true }
func (unmetered) Refund(int64)      {}

// messageLimits bounds the messages of one connection. Its methods may be called on nil, which
// charges nothing.
type messageLimits struct {
	meter Meter
	// trusted reports whether the client has authenticated.
	trusted func() bool
	// charged is what the last message took. Only the goroutine that reads messages uses it.
	charged int64

	mu sync.Mutex
	// calls is the number of calls in progress.
	calls int
}

func newMessageLimits(conn any, trusted func() bool) *messageLimits {
	l := &messageLimits{meter: unmetered{}, trusted: trusted}
	if m, ok := conn.(Meter); ok {
		l.meter = m
	}
	return l
}

// maxBytes returns the maximum size of the next message.
func (l *messageLimits) maxBytes() int64 {
	if l == nil || l.trusted() {
		return maxMessageBytes
	}
	return maxHandshakeBytes
}

// charge charges n bytes of the message that is being read.
func (l *messageLimits) charge(n int64) error {
	if l == nil {
		return nil
	}
	if !l.meter.Charge(n) {
		return errkind.New(errkind.Overloaded, "no memory for a control message of %d bytes", n)
	}
	l.charged += n
	return nil
}

// begin records that a call begins. It returns false if the call must be refused.
func (l *messageLimits) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return l.calls > 1 || l.meter.SetBusy(true)
}

// end records that a call has ended, and releases what was charged for it.
func (l *messageLimits) end(charged int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	if l.calls == 0 {
		l.meter.SetBusy(false)
		return
	}
	l.meter.Refund(charged)
}

// limitedHandler calls the handler in a goroutine for each call that fits into the limits.
type limitedHandler struct {
	jsonrpc2.Handler
	limits *messageLimits
}

// Handle implements jsonrpc2.Handler. It is called after each message, by the goroutine that
// reads them.
func (h limitedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	charged := h.limits.charged
	h.limits.charged = 0
	admitted := h.limits.begin()
	go func() {
		defer h.limits.end(charged)
		if !admitted {
			err := errkind.New(errkind.Overloaded, "the router has no capacity left for the call")
			if !req.Notif {
				_ = conn.ReplyWithError(ctx, req.ID, toRPCError(err).(*jsonrpc2.Error)) // the client may have left
			}
			return
		}
		h.Handler.Handle(ctx, conn, req)
	}()
}
