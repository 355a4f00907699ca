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
	"time"
)

const (
	// readAheadBytes bounds what is read of a caller's connection before the server
	// asks for it.
	readAheadBytes = 64 << 10
	// readAheadRequests bounds the requests of one connection that run before their
	// turn.
	readAheadRequests = 8
	readAheadChunk    = 4 << 10
)

var headEnd = []byte("\r\n\r\n")

// earlyRequest is a request that was read while the server answers an earlier one
// of the same connection. Its work has begun; its answer waits for its turn.
type earlyRequest struct {
	request *http.Request
	done    <-chan struct{}
	// result is set when done is closed.
	result *Result
	cancel context.CancelFunc
	// answer passes the result on when the server has come to the request.
	answer func(http.ResponseWriter, *http.Request)
}

// drop ends the work of a request whose answer nobody waits for.
func (e *earlyRequest) drop() {
	e.cancel()
	go func() {
		<-e.done
		e.result.close()
	}()
}

// is reports whether the server has come to the request.
func (e *earlyRequest) is(req *http.Request) bool {
	return e.request.RequestURI == req.RequestURI && e.request.Host == req.Host && e.request.Method == req.Method &&
		maps.EqualFunc(e.request.Header, req.Header, slices.Equal)
}

// readAhead reads a connection on behalf of the server once the caller has sent
// requests without waiting for answers. The server of net/http reads one request at
// a time and no longer notices that the caller leaves when the next one has arrived.
type readAhead struct {
	conn  net.Conn
	start func(*http.Request) *earlyRequest

	mu      sync.Mutex
	changed *sync.Cond
	running bool
	// pending are bytes that the server has not taken yet, unparsed those that are
	// not yet known to be a whole request; the latter may have been taken already.
	pending, unparsed []byte
	// body is the number of the next bytes that belong to a body.
	body int64
	// inRequest tells that the server has read the head of a request that it has not
	// answered.
	inRequest bool
	// opaque tells that the ends of requests are not known any more.
	opaque bool
	// stopped tells that the connection must not be read any more.
	stopped bool
	err     error
	early   []*earlyRequest
	// leave ends the request that the server is answering; nil when there is none.
	leave    context.CancelFunc
	deadline time.Time
	timer    *time.Timer
}

func newReadAhead(conn net.Conn, start func(*http.Request) *earlyRequest) *readAhead {
	if start == nil {
		start = func(*http.Request) *earlyRequest { return nil }
	}
	a := &readAhead{conn: conn, start: start}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// observe looks at bytes that the server has read itself. When they go beyond the
// request under way, the rest of the connection is read ahead.
func (a *readAhead) observe(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.opaque || a.running {
		return
	}
	data = a.skipBody(data)
	if len(data) > 0 && !a.inRequest {
		data = a.takeHead(data)
	}
	if len(data) == 0 || a.opaque {
		return
	}
	a.running = true
	a.unparsed = bytes.Clone(data)
	a.parse()
	go a.run()
}

// takeHead takes the head of a request that the server begins to read and the part of
// its body that came with it. It returns what follows.
func (a *readAhead) takeHead(data []byte) []byte {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		a.opaque = true // the head comes in parts
		return nil
	}
	end += len(headEnd)
	req, err := parseHead(data[:end])
	if err != nil || req.ContentLength < 0 {
		a.opaque = true
		return nil
	}
	a.inRequest, a.body = true, req.ContentLength
	return a.skipBody(data[end:])
}

// skipBody returns what follows the rest of the body that is under way.
func (a *readAhead) skipBody(data []byte) []byte {
	n := min(a.body, int64(len(data)))
	a.body -= n
	return data[n:]
}

func parseHead(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
}

// run reads the connection until it ends.
func (a *readAhead) run() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := a.conn.Read(chunk)
		a.mu.Lock()
		if os.IsTimeout(err) && !a.stopped {
			// A deadline that the server set for its own reading.
			err = a.conn.SetReadDeadline(time.Time{})
		}
		a.pending = append(a.pending, chunk[:n]...)
		if !a.opaque {
			a.unparsed = append(a.unparsed, chunk[:n]...)
			a.parse()
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

// end notes that nothing more arrives. A caller that has left waits for no answer.
func (a *readAhead) end(err error) {
	a.err = err
	if !os.IsTimeout(err) {
		if a.leave != nil {
			a.leave()
		}
		a.dropEarly()
	}
	a.changed.Broadcast()
}

// dropEarly ends the work of requests that the server has not come to. The caller
// holds the lock.
func (a *readAhead) dropEarly() {
	for _, e := range a.early {
		e.drop()
	}
	a.early = nil
}

// stop ends the reading of the connection. What was read is still answered.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	// An error means that the connection is closed already.
	_ = a.conn.SetReadDeadline(time.Unix(1, 0))
}

// parse begins the work of whole requests without a body that the server will come
// to later. The caller holds the lock.
func (a *readAhead) parse() {
	for !a.opaque {
		a.unparsed = a.skipBody(a.unparsed)
		end := bytes.Index(a.unparsed, headEnd)
		if a.body > 0 || end < 0 {
			a.opaque = len(a.unparsed) > readAheadBytes
			return
		}
		head := bytes.Clone(a.unparsed[:end+len(headEnd)])
		a.unparsed = a.unparsed[end+len(headEnd):]
		req, err := parseHead(head)
		if err != nil || req.ContentLength < 0 {
			a.opaque = true
			return
		}
		a.body = req.ContentLength
		if a.body > 0 || len(a.early) >= readAheadRequests {
			continue
		}
		if e := a.start(req); e != nil {
			a.early = append(a.early, e)
		}
	}
	a.unparsed = nil
}

// next fills p with what was read ahead. It reports false while the server reads
// the connection itself.
func (a *readAhead) next(p []byte) (n int, err error, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running {
		return 0, nil, false
	}
	for len(a.pending) == 0 {
		switch {
		case a.err != nil:
			return 0, a.err, true
		case !a.deadline.IsZero() && !time.Now().Before(a.deadline):
			return 0, os.ErrDeadlineExceeded, true
		}
		a.changed.Wait()
	}
	n = copy(p, a.pending)
	a.pending = a.pending[n:]
	a.changed.Broadcast()
	return n, nil, true
}

// setDeadline sets the end of the server's next readings. It reports false while the
// server reads the connection itself.
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

// begin notes that the server answers a request, which leave ends, and returns its
// early work, if there is any.
func (a *readAhead) begin(req *http.Request, leave context.CancelFunc) *earlyRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave = leave
	if a.err != nil && !os.IsTimeout(a.err) && len(a.pending) == 0 {
		leave()
	}
	if len(a.early) == 0 || !a.early[0].is(req) {
		return nil
	}
	e := a.early[0]
	a.early = a.early[1:]
	return e
}

// finish notes that the request is answered.
func (a *readAhead) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave, a.inRequest = nil, false
}

// waiting reports whether work of later requests has begun. The connection must not
// be closed before they are answered.
func (a *readAhead) waiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.early) > 0
}

// close ends the work of requests whose answers nobody waits for, and the reading.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == nil {
		a.err = net.ErrClosed
	}
	a.dropEarly()
	a.changed.Broadcast()
}
