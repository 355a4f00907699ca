package sidecar

import (
	"context"
	"net/http"
	"sync"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
)

// Each byte that is read ahead is held twice, for the server and for the processing of
// requests before their turn.
const readAheadCopies = 2

// chargeBytes charges n bytes that were read. If it returns false, nothing more may be read.
// The caller holds a.mu.
func (a *readAhead) chargeBytes(n int) bool {
	cost := int64(n) * readAheadCopies
	if !a.guarded.ChargeAhead(cost) {
		return false
	}
	a.charged += cost
	return true
}

// refundBytes releases n bytes that the server has read. The caller holds a.mu.
func (a *readAhead) refundBytes(n int) {
	cost := min(int64(n)*readAheadCopies, a.charged)
	a.charged -= cost
	a.guarded.RefundAhead(cost)
}

// aheadCharge is what is charged for a request that is processed before its turn.
type aheadCharge struct {
	guarded *connguard.Conn

	mu       sync.Mutex
	bytes    int64
	released bool
}

// chargeHead charges a head that is parsed before its turn. It returns nil if the head must
// be left to the server: it does not fit, or exceeds the limit.
func (a *readAhead) chargeHead(head []byte) *aheadCharge {
	var counted connlimit.Head
	cost := connlimit.HeadCost(counted.Add(head)) + connlimit.RequestCost
	if counted.Exceeds(a.maxHeadBytes()) || !a.guarded.ChargeAhead(cost) {
		return nil
	}
	return &aheadCharge{guarded: a.guarded, bytes: cost}
}

// maxHeadBytes returns the limit on the header of a request.
func (a *readAhead) maxHeadBytes() int {
	if a.guarded == nil {
		return maxHeaderBytes
	}
	return a.guarded.MaxHeadBytes()
}

// chargeResponse charges n bytes of the response. It has no effect after release: the losing
// one of two attempts may get its response after the request was answered.
func (c *aheadCharge) chargeResponse(n int64) {
	if c.guarded == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.released {
		c.bytes += n
		c.guarded.ChargeAheadResponse(n)
	}
}

// release releases all of it. A second call has no effect.
func (c *aheadCharge) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.released {
		c.released = true
		c.guarded.RefundAhead(c.bytes)
	}
}

// aheadKey is the context key of the aheadCharge of a request.
type aheadKey struct{}

// start starts to process a request before its turn. It returns false if the request has to
// wait. The caller holds a.mu.
func (a *readAhead) start(req *http.Request, charge *aheadCharge) bool {
	e := a.startRequest(req.WithContext(context.WithValue(req.Context(), aheadKey{}, charge)))
	if e == nil {
		return false
	}
	e.release, e.turn = charge.release, a.queued
	a.setPipelined(append(a.pipelined, e))
	return true
}

// hasPipelined reports whether requests that the server does not handle yet are being
// processed.
func (a *readAhead) hasPipelined() bool {
	return a.anyPipelined.Load()
}

// setPipelined sets a.pipelined. The caller holds a.mu.
func (a *readAhead) setPipelined(requests []*pipelinedRequest) {
	a.pipelined = requests
	a.anyPipelined.Store(len(requests) > 0)
}

// responseCharge returns the function that charges the response to a request, or nil.
func responseCharge(req *http.Request) func(n int64) {
	if ahead, ok := req.Context().Value(aheadKey{}).(*aheadCharge); ok {
		return ahead.chargeResponse
	}
	if c := connguard.Of(req.Context()); c != nil {
		return c.ChargeResponse
	}
	return nil
}

// chargeResponse charges the part of a response that is held, before it is read. The length
// is -1 if it is unknown.
func (c *Call) chargeResponse(length int64) {
	if c.charge == nil {
		return
	}
	if length < 0 || length > maxBufferedResponse {
		length = maxBufferedResponse
	}
	c.charge(length)
}
