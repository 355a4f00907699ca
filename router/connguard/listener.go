package connguard

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
)

// listener accepts connections within the budget.
type listener struct {
	net.Listener
	guard   *Guard
	class   connlimit.Class
	metered bool
	// closed is true once the listener was closed.
	closed atomic.Bool
}

// Listener returns a listener of an HTTP server that Protect was called with.
func (g *Guard) Listener(l net.Listener, class connlimit.Class) net.Listener {
	return &listener{Listener: l, guard: g, class: class}
}

// MeteredListener returns a listener of a server that uses its connections as a hop.Meter.
func (g *Guard) MeteredListener(l net.Listener, class connlimit.Class) net.Listener {
	return &listener{Listener: l, guard: g, class: class, metered: true}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener. It returns an error only once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	var retry connlimit.AcceptRetry
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if guarded := l.guard.open(conn, l.class, l.metered); guarded != nil {
				return guarded, nil
			}
			continue
		}
		if l.closed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.guard.acceptFailed(l.class, err)
		time.Sleep(retry.Next())
	}
}

// acceptFailed closes an idle connection, because a lack of descriptors is the usual cause.
func (g *Guard) acceptFailed(class connlimit.Class, err error) {
	g.opts.Log.Log(eventAcceptFailed, event.F("class", class.String()), event.F("error", err.Error()))
	if c := g.budget.Yield(time.Now(), class); c != nil {
		g.makeRoom([]*connlimit.Conn{c})
	}
}

// open adds a connection to the budget. If it does not fit, it is closed, and open returns
// nil.
func (g *Guard) open(conn net.Conn, class connlimit.Class, metered bool) *Conn {
	guarded := &Conn{Conn: conn, guard: g, metered: metered}
	account, evicted, ok := g.budget.Open(time.Now(), class, guarded)
	g.makeRoom(evicted)
	if !ok {
		g.refused(class, reasonDescriptors, conn.RemoteAddr())
		_ = conn.Close() // nothing was sent
		return nil
	}
	guarded.account = account
	if ahead, ok := conn.(Ahead); ok {
		guarded.ahead = ahead
		ahead.SetGuarded(guarded)
	}
	return guarded
}
