package standin

import (
	"net"
	"sync"
	"time"
)

// limitedListener is the listener for requests to an upstream. It limits the
// number of open connections, takes acceptTime to accept each, and can refuse
// connections temporarily.
type limitedListener struct {
	address    string // unchanged when the listener closes and listens again
	limit      int    // of open connections
	acceptTime time.Duration

	mu       sync.Mutex
	inner    net.Listener // nil while refusing
	conns    map[*trackedConn]struct{}
	reopened chan struct{} // closed when inner is set again
	closed   bool
	done     chan struct{}
}

func newLimitedListener(address string, limit int, acceptTime time.Duration) (*limitedListener, error) {
	inner, err := listenLoopback(address)
	if err != nil {
		return nil, err
	}
	return &limitedListener{
		address:    inner.Addr().String(),
		limit:      limit,
		acceptTime: acceptTime,
		inner:      inner,
		conns:      make(map[*trackedConn]struct{}),
		reopened:   make(chan struct{}),
		done:       make(chan struct{}),
	}, nil
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.awaitInner()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		if err != nil {
			if l.currentInner() == inner {
				return nil, err
			}
			continue // closed by setRefusing or Close
		}
		if l.acceptTime > 0 {
			time.Sleep(l.acceptTime)
		}
		if tracked := l.admit(conn); tracked != nil {
			return tracked, nil
		}
	}
}

func (l *limitedListener) currentInner() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// awaitInner returns the inner listener. It waits while connections are
// refused.
func (l *limitedListener) awaitInner() (net.Listener, error) {
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

// admit registers an accepted connection. It resets the connection and returns
// nil if the limit is reached or connections are refused.
func (l *limitedListener) admit(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner == nil || len(l.conns) >= l.limit {
		resetConn(conn)
		return nil
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked
}

// setRefusing stops listening and resets the open connections if refuse is
// true, and otherwise listens again at the same address.
func (l *limitedListener) setRefusing(refuse bool) error {
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
func (l *limitedListener) Close() error {
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
func (l *limitedListener) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.address)
	return addr
}

// trackedConn is a connection that counts towards the limit of its listener
// until it is closed.
type trackedConn struct {
	net.Conn
	listener *limitedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// resetConn closes a connection so that the peer gets a reset instead of an
// orderly end of stream.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
