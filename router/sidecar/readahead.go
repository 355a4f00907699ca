package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
)

const (
	// readAheadBytes bounds the bytes that are read from a caller's connection before the
	// HTTP server reads them.
	readAheadBytes = 64 << 10
	// readAheadRequests bounds the pipelined requests of one connection that are
	// processed before their turn.
	readAheadRequests = 8
	readAheadChunk    = 4 << 10
)

var headEnd = []byte("\r\n\r\n")

// pipelinedRequest is a request that was read while the server handles an earlier one of
// the same connection. It is already being processed; its response waits for its turn.
type pipelinedRequest struct {
	id      string
	request *http.Request
	done    <-chan struct{}
	// result is valid once done is closed.
	result *Result
	cancel context.CancelCauseFunc
	// respond writes the response once the server handles the request.
	respond func(http.ResponseWriter, *http.Request)
	// release releases what is charged for the request.
	release func()
	// turn is the number of requests of the connection that the server begins to handle up
	// to this one. It is guarded by readAhead.mu.
	turn int
}

// drop cancels a request whose response will not be sent.
func (p *pipelinedRequest) drop() {
	p.cancel(context.Canceled)
	go func() {
		<-p.done
		p.result.close()
		p.release()
	}()
}

// matches reports whether req, which the server handles now, is this request.
func (p *pipelinedRequest) matches(req *http.Request) bool {
	return p.request.RequestURI == req.RequestURI && p.request.Host == req.Host && p.request.Method == req.Method &&
		maps.EqualFunc(p.request.Header, req.Header, slices.Equal)
}

// readAhead reads a connection on behalf of the HTTP server once the caller has sent
// requests without waiting for responses. The server of net/http reads one request at a
// time, and does not notice that the caller has left if bytes of the next request have
// arrived.
type readAhead struct {
	conn         net.Conn
	guarded      *connguard.Conn // what is read ahead is charged to it; may be nil
	startRequest func(*http.Request) *pipelinedRequest
	log          *event.Logger

	mu      sync.Mutex
	changed *sync.Cond
	running bool
	// pending holds bytes that the server has not read yet. unparsed holds those that are
	// not yet part of a complete request head; the server may already have read them.
	pending, unparsed []byte
	// charged is what is charged for the two.
	charged int64
	// bodyLeft is the number of following bytes that belong to the body of a request.
	bodyLeft int64
	// inRequest is true if the server has read the head of a request and not yet
	// responded to it.
	inRequest bool
	// idle is true while the server handles no request.
	idle bool
	// queued is the number of requests whose heads were read and that the server does not
	// handle yet.
	queued int
	// framingLost is true once the boundaries of requests are no longer known.
	framingLost bool
	// stopped is true once the connection must not be read any more.
	stopped   bool
	err       error
	pipelined []*pipelinedRequest
	// anyPipelined is true while pipelined has an entry. It is read for each request, without
	// the lock.
	anyPipelined atomic.Bool
	// cancelCurrent cancels the request that the server is handling; nil if there is
	// none.
	cancelCurrent context.CancelFunc
	deadline      time.Time
	timer         *time.Timer
}

func newReadAhead(conn net.Conn, startRequest func(*http.Request) *pipelinedRequest, log *event.Logger) *readAhead {
	if startRequest == nil {
		startRequest = func(*http.Request) *pipelinedRequest { return nil }
	}
	a := &readAhead{conn: conn, startRequest: startRequest, log: log}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// observe processes bytes that the server has read itself. If they extend beyond the
// current request, the rest of the connection is read ahead.
func (a *readAhead) observe(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.framingLost || a.running {
		return
	}
	data = a.skipBody(data)
	if len(data) > 0 && !a.inRequest {
		data = a.consumeHead(data)
	}
	if len(data) == 0 || a.framingLost {
		return
	}
	a.running = true
	a.unparsed = bytes.Clone(data)
	a.parse()
	go a.run()
}

// consumeHead parses the head of the request that the server begins to read, and the part
// of its body that came with it. It returns the bytes that follow.
func (a *readAhead) consumeHead(data []byte) []byte {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		a.framingLost = true // the head arrives in several reads
		return nil
	}
	end += len(headEnd)
	req, err := parseHead(data[:end])
	if err != nil || req.ContentLength < 0 || !isOneHead(data[:end]) {
		a.framingLost = true
		return nil
	}
	a.inRequest, a.bodyLeft = true, req.ContentLength
	a.queued++
	return a.skipBody(data[end:])
}

// skipBody returns the bytes that follow the rest of the current body.
func (a *readAhead) skipBody(data []byte) []byte {
	n := min(a.bodyLeft, int64(len(data)))
	a.bodyLeft -= n
	return data[n:]
}

// isOneHead reports whether the server reads all of the bytes as one head. It also takes an
// empty line without a carriage return as the end of a head.
func isOneHead(head []byte) bool {
	var counted connlimit.Head
	size, _ := counted.Add(head)
	return size == len(head)
}

func parseHead(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
}

// run reads the connection until it ends.
func (a *readAhead) run() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := a.readChunk(chunk)
		a.mu.Lock()
		if os.IsTimeout(err) && !a.stopped {
			// The server set this deadline for its own reads.
			err = a.conn.SetReadDeadline(time.Time{})
		}
		a.pending = append(a.pending, chunk[:n]...)
		if !a.framingLost {
			a.unparsed = append(a.unparsed, chunk[:n]...)
			a.parse()
		}
		if err == nil && !a.chargeBytes(n) {
			a.stopped, err = true, os.ErrDeadlineExceeded
		}
		if err != nil {
			a.end(err)
			a.mu.Unlock()
			return
		}
		a.changed.Broadcast()
		for len(a.pending) >= readAheadBytes && a.err == nil {
			a.changed.Wait()
		}
		a.mu.Unlock()
	}
}

// readChunk reads the connection unless the reading was stopped.
func (a *readAhead) readChunk(chunk []byte) (int, error) {
	a.mu.Lock()
	stopped := a.stopped
	a.mu.Unlock()
	if stopped {
		return 0, os.ErrDeadlineExceeded
	}
	return a.conn.Read(chunk)
}

// end records that nothing more arrives. If the caller has left, its requests are
// cancelled.
func (a *readAhead) end(err error) {
	a.err = err
	if !os.IsTimeout(err) {
		if a.cancelCurrent != nil {
			a.cancelCurrent()
		}
		a.dropPipelined("the caller closed the connection: " + err.Error())
	}
	a.changed.Broadcast()
}

// dropPipelined cancels the pipelined requests that the server does not handle yet. The
// caller holds a.mu.
func (a *readAhead) dropPipelined(reason string) {
	for _, e := range a.pipelined {
		a.dropRequest(e, reason)
	}
	a.setPipelined(nil)
}

func (a *readAhead) dropRequest(e *pipelinedRequest, reason string) {
	a.log.Log(eventPipelinedDropped, event.F("request", e.id), event.F("reason", reason))
	e.drop()
}

// stop ends the reading of the connection. Requests that were read still get a response.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	// An error means that the connection is already closed.
	_ = a.conn.SetReadDeadline(time.Unix(1, 0))
}

// stopBehindCurrent ends the reading behind the request that the server handles, so that
// the connection can be closed after its response. It returns false if more has been read
// already.
func (a *readAhead) stopBehindCurrent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running && (a.queued > 0 || a.bodyLeft > 0 || len(a.pending) > 0) {
		return false
	}
	a.stopped = true
	if a.running {
		// An error means that the connection is already closed.
		_ = a.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return true
}

// parse starts to process complete requests without a body that the server will handle
// later. The caller holds a.mu.
func (a *readAhead) parse() {
	for !a.framingLost {
		a.unparsed = a.skipBody(a.unparsed)
		end := bytes.Index(a.unparsed, headEnd)
		if a.bodyLeft > 0 || end < 0 {
			a.framingLost = len(a.unparsed) > readAheadBytes
			return
		}
		head := bytes.Clone(a.unparsed[:end+len(headEnd)])
		a.unparsed = a.unparsed[end+len(headEnd):]
		if !isOneHead(head) {
			a.framingLost = true
			return
		}
		charge := a.chargeHead(head)
		if charge == nil {
			a.framingLost = true
			return
		}
		req, err := parseHead(head)
		if err != nil || req.ContentLength < 0 {
			charge.release()
			a.framingLost = true
			return
		}
		a.bodyLeft = req.ContentLength
		a.queued++
		if a.bodyLeft > 0 || len(a.pipelined) >= readAheadRequests || !a.start(req, charge) {
			charge.release()
		}
	}
	a.unparsed = nil
}

// read fills p with bytes that were read ahead. running is false while the server must
// read the connection itself.
func (a *readAhead) read(p []byte) (n int, err error, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running {
		return 0, nil, false
	}
	for len(a.pending) == 0 {
		switch {
		case a.err != nil && !a.waitsForStop():
			return 0, a.err, true
		case !a.deadline.IsZero() && !time.Now().Before(a.deadline):
			return 0, os.ErrDeadlineExceeded, true
		}
		a.changed.Wait()
	}
	n = copy(p, a.pending)
	a.pending = a.pending[n:]
	a.refundBytes(n)
	a.changed.Broadcast()
	return n, nil, true
}

// waitsForStop reports whether nothing more is read because of a stop while the server
// handles a request that was read completely. The server must not get an error then: it
// would cancel that request. The caller holds a.mu.
func (a *readAhead) waitsForStop() bool {
	return a.stopped && os.IsTimeout(a.err) && !a.idle && a.bodyLeft == 0
}

// setIdle records whether the server handles no request of the connection.
func (a *readAhead) setIdle(idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = idle
	a.changed.Broadcast()
}

// setDeadline sets the deadline of the server's reads. It returns false while the server
// must set it on the connection itself.
func (a *readAhead) setDeadline(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if !t.IsZero() && a.running {
		a.timer = time.AfterFunc(time.Until(t), a.changed.Broadcast)
	}
	a.changed.Broadcast()
	return a.running
}

// begin records that the server handles a request, which cancelCurrent cancels. It
// returns the pipelined request if processing has already started, or nil.
func (a *readAhead) begin(req *http.Request, cancelCurrent context.CancelFunc) *pipelinedRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelCurrent = cancelCurrent
	a.queued = max(a.queued-1, 0)
	if a.err != nil && !os.IsTimeout(a.err) && len(a.pending) == 0 {
		cancelCurrent()
	}
	for _, e := range a.pipelined {
		e.turn--
	}
	for len(a.pipelined) > 0 {
		e := a.pipelined[0]
		if e.matches(req) {
			a.setPipelined(a.pipelined[1:])
			return e
		}
		if e.turn > 0 {
			return nil
		}
		a.setPipelined(a.pipelined[1:])
		a.dropRequest(e, "its turn has passed")
	}
	return nil
}

// finish records that the server has responded to the request.
func (a *readAhead) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelCurrent, a.inRequest = nil, false
}

// close cancels the requests that are being processed and ends the reading.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == nil || os.IsTimeout(a.err) {
		a.err = net.ErrClosed
	}
	a.dropPipelined("the router closed the connection")
	a.changed.Broadcast()
}
