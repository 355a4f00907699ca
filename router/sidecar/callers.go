package sidecar

import (
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
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, conns: l.conns}, nil
}

type callerConn struct {
	net.Conn
	conns *callerConns
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.conns.refuses(c) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
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
		// An error means that the connection is closed already.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}
