package sidecar

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// callerConns follows the connections of callers that have no request under
// way. At the end of a stop they must not be read any more: a request that was
// read and not answered is lost, while callers send one that was not read again.
type callerConns struct {
	mu     sync.Mutex
	unused map[net.Conn]bool
	closed bool
}

func newCallerConns() *callerConns {
	return &callerConns{unused: map[net.Conn]bool{}}
}

// callerListener accepts connections that callerConns can keep from being read.
type callerListener struct {
	net.Listener
	conns *callerConns
	// early begins the work of a request that was read before its turn; it returns
	// nil when the request has to wait.
	early func(*http.Request) *earlyRequest
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, conns: l.conns, ahead: newReadAhead(conn, l.early)}, nil
}

type callerConn struct {
	net.Conn
	conns *callerConns
	ahead *readAhead
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if n, err, running := c.ahead.next(p); running {
		return n, err
	}
	if c.conns.refuses(c) {
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

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn keeps the connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil.
func connOf(req *http.Request) *callerConn {
	conn, _ := req.Context().Value(connKey{}).(*callerConn)
	return conn
}

// changed takes the state of a connection; it is the ConnState of a server.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		c.unused[conn] = true
		return
	}
	delete(c.unused, conn)
}

// refuses reports whether the connection must not be read.
func (c *callerConns) refuses(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed && c.unused[conn]
}

// stopReading ends the reading of unused connections, those included that wait
// for a request. A request that was read just before is still served: the server
// sets the deadline anew for it.
func (c *callerConns) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.unused {
		if own, ok := conn.(*callerConn); ok {
			own.ahead.stop()
		}
		// An error means that the connection is closed already.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}
