package sidecar

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"burdockglade.dev/router/event"
)

// callerConns tracks the connections of callers that have no request in progress. At the
// end of a stop they must no longer be read: a request that was read and gets no response
// is lost, whereas callers resend one that was not read.
type callerConns struct {
	mu     sync.Mutex
	idle   map[net.Conn]bool
	closed bool
}

func newCallerConns() *callerConns {
	return &callerConns{idle: map[net.Conn]bool{}}
}

// callerListener accepts connections whose reading callerConns can end.
type callerListener struct {
	net.Listener
	conns *callerConns
	// beginPipelined starts to process a request that was read before its turn. It
	// returns nil if the request has to wait.
	beginPipelined func(*http.Request) *pipelinedRequest
	log            *event.Logger
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, conns: l.conns, ahead: newReadAhead(conn, l.beginPipelined, l.log)}, nil
}

type callerConn struct {
	net.Conn
	conns *callerConns
	ahead *readAhead
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if n, err, running := c.ahead.read(p); running {
		return n, err
	}
	if c.conns.refusesReads(c) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.ahead.observe(p[:n])
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.ahead.setDeadline(t) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if c.ahead.setDeadline(t) {
		return c.Conn.SetWriteDeadline(t)
	}
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.ahead.close()
	return c.Conn.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if it is not a callerConn.
func connOf(req *http.Request) *callerConn {
	conn, _ := req.Context().Value(connKey{}).(*callerConn)
	return conn
}

// stateChanged records the state of a connection. It is the ConnState hook of the server.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	idle := state == http.StateNew || state == http.StateIdle
	if own, ok := conn.(*callerConn); ok {
		own.ahead.setIdle(idle)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle {
		c.idle[conn] = true
		return
	}
	delete(c.idle, conn)
}

// refusesReads reports whether the connection must not be read.
func (c *callerConns) refusesReads(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed && c.idle[conn]
}

// stopReading ends the reading of idle connections, including those on which a read is
// waiting. A request that was read just before is still served, because the server sets
// the deadline again for it.
func (c *callerConns) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.idle {
		if own, ok := conn.(*callerConn); ok {
			own.ahead.stop()
		}
		// An error means that the connection is already closed.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}
