package standin

import (
	"net"
	"sync"
	"time"
)

// dataListener is the listener of an upstream. It bounds the open connections,
// takes a time to accept each, and can refuse connections for a while.
type dataListener struct {
	address string // stays the same across refusals
	limit   int
	cost    time.Duration

	mu       sync.Mutex
	inner    net.Listener // nil while refusing
	conns    map[*countedConn]struct{}
	reopened chan struct{} // closed when inner is set again
	closed   bool
	done     chan struct{}
}

func newDataListener(address string, limit int, cost time.Duration) (*dataListener, error) {
	inner, err := listenLoopback(address)
	if err != nil {
		return nil, err
	}
	return &dataListener{
		address:  inner.Addr().String(),
		limit:    limit,
		cost:     cost,
		inner:    inner,
		conns:    make(map[*countedConn]struct{}),
		reopened: make(chan struct{}),
		done:     make(chan struct{}),
	}, nil
}

// Accept implements net.Listener.
func (l *dataListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.awaitInner()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		if err != nil {
			if l.current() == inner {
				return nil, err
			}
			continue // closed by setRefuse or Close
		}
		if l.cost > 0 {
			time.Sleep(l.cost)
		}
		if counted := l.admit(conn); counted != nil {
			return counted, nil
		}
	}
}

func (l *dataListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// awaitInner waits while the listener refuses connections.
func (l *dataListener) awaitInner() (net.Listener, error) {
	for {
		l.mu.Lock()
		inner, reopened, closed := l.inner, l.reopened, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		select {
		case <-reopened:
		case <-l.done:
		}
	}
}

// admit returns nil, and resets the connection, when there are too many or the
// listener refuses connections.
func (l *dataListener) admit(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner == nil || len(l.conns) >= l.limit {
		resetConn(conn)
		return nil
	}
	counted := &countedConn{Conn: conn, listener: l}
	l.conns[counted] = struct{}{}
	return counted
}

// setRefuse refuses connections and resets the open ones, or accepts again at
// the same address.
func (l *dataListener) setRefuse(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refuse == (l.inner == nil) {
		return nil
	}
	if refuse {
		_ = l.inner.Close()
		l.inner = nil
		for c := range l.conns {
			resetConn(c.Conn)
		}
		return nil
	}
	inner, err := listenLoopback(l.address)
	if err != nil {
		return err
	}
	l.inner = inner
	close(l.reopened)
	l.reopened = make(chan struct{})
	return nil
}

// Close implements net.Listener.
func (l *dataListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.done)
	if l.inner == nil {
		return nil
	}
	inner := l.inner
	l.inner = nil
	return inner.Close()
}

// Addr implements net.Listener.
func (l *dataListener) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.address)
	return addr
}

// countedConn leaves its listener's count when it is closed.
type countedConn struct {
	net.Conn
	listener *dataListener
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// resetConn closes a connection so that the peer sees a reset instead of an
// orderly end.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
