package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/vhost"
)

const (
	// guardInterval is the time between two searches for connections whose time is over.
	guardInterval = 100 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout apply while the configuration names none.
	// The second is longer than callers keep idle connections, so that none is closed while a
	// request is on its way.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// memoryLimitPercent is the part of the host's memory that the Go runtime tries to stay
	// below by collecting garbage more often.
	memoryLimitPercent = 40
)

// LimitMemory makes the runtime collect garbage more often before the process takes half of
// the memory that the settings name. It has no effect without that setting.
func LimitMemory(s Settings) {
	if s.Host.MemoryMB > 0 {
		debug.SetMemoryLimit(s.Host.MemoryBytes() * memoryLimitPercent / 100)
	}
}

// connGuard applies the limits of the configuration, and the budgets of memory and file
// descriptors, to the connections of all listeners.
type connGuard struct {
	budget *connlimit.Budget
	// limits returns the limits of the configuration in force.
	limits  func() vhost.Limits
	headers Headers
	log     *event.Logger
	scope   tally.Scope
}

func newConnGuard(s *Sidecar) *connGuard {
	host := s.settings.Host
	return &connGuard{
		budget: connlimit.New(connlimit.Options{MemoryBytes: host.MemoryBytes(), Files: host.MaxFDs}),
		limits: s.config.limits, headers: s.opts.Headers, log: s.log, scope: s.scope,
	}
}

// limits returns the limits of the configuration in force, with the defaults in place of
// those that it does not name.
func (c *currentConfig) limits() vhost.Limits {
	var l vhost.Limits
	if t := c.table.Load(); t != nil {
		l = t.Limits()
	}
	if l.MaxHeaderBytes <= 0 || l.MaxHeaderBytes > maxHeaderBytes {
		l.MaxHeaderBytes = maxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// maxHeadBytes returns the limit on the header of a request.
func (g *connGuard) maxHeadBytes(class connlimit.Class) int {
	if class == connlimit.Caller {
		return g.limits().MaxHeaderBytes
	}
	return maxHeaderBytes
}

// timeouts returns the times after which connections are closed. Routers open connections
// before they have a request.
func (g *connGuard) timeouts(class connlimit.Class) connlimit.Timeouts {
	t := connlimit.Timeouts{Fresh: defaultHeaderTimeout, Head: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	switch class {
	case connlimit.Caller:
		l := g.limits()
		// Clients keep a connection that they opened in vain for a later request.
		t = connlimit.Timeouts{Fresh: max(l.HeaderTimeout, l.IdleTimeout), Head: l.HeaderTimeout, Idle: l.IdleTimeout}
	case connlimit.Router:
		t.Fresh = defaultIdleTimeout
	}
	return t
}

// run closes the connections whose time is over until ctx ends.
func (g *connGuard) run(ctx context.Context) {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, c := range g.budget.Expired(now, g.timeouts) {
				g.tagged(c.Class(), reasonTime).Counter("connections_closed").Inc(1)
				c.Owner.(*guardedConn).forceClose()
			}
			g.closeUnread(now)
			g.report()
		}
	}
}

// closeUnread closes the connections whose clients leave a response unread.
func (g *connGuard) closeUnread(now time.Time) {
	for _, c := range g.budget.Busy() {
		if guarded := c.Owner.(*guardedConn); guarded.unread(now) {
			g.tagged(c.Class(), reasonTime).Counter("connections_closed").Inc(1)
			guarded.forceClose()
		}
	}
}

// report updates the gauges.
func (g *connGuard) report() {
	for class, stats := range g.budget.Stats() {
		scope := g.scope.Tagged(map[string]string{"class": connlimit.Class(class).String()})
		scope.Gauge("connection_memory_bytes").Update(float64(stats.MemoryBytes))
		scope.Gauge("connection_descriptors").Update(float64(stats.Files))
	}
}

// makeRoom closes the connections that give way to others.
func (g *connGuard) makeRoom(evicted []*connlimit.Conn) {
	for _, c := range evicted {
		c.Owner.(*guardedConn).forceClose()
		g.tagged(c.Class(), reasonRoom).Counter("connections_closed").Inc(1)
		g.log.Log(eventConnectionEvicted, event.F("class", c.Class().String()), event.F("address", c.Owner.(*guardedConn).RemoteAddr().String()))
	}
}

// Reasons of refusals, which are labels of metrics.
const (
	reasonRoom        = "make_room"
	reasonTime        = "time"
	reasonMemory      = "memory"
	reasonDescriptors = "descriptors"
	reasonHeadSize    = "head_size"
)

// tagged returns the scope of counts by class and reason.
func (g *connGuard) tagged(class connlimit.Class, reason string) tally.Scope {
	return g.scope.Tagged(map[string]string{"class": class.String(), "reason": reason})
}

// refused counts and logs a refusal.
func (g *connGuard) refused(class connlimit.Class, reason string, address net.Addr) {
	g.tagged(class, reason).Counter("connection_refusals").Inc(1)
	g.log.Log(eventConnectionRefused, event.F("class", class.String()), event.F("reason", reason), event.F("address", address.String()))
}

// guardedListener accepts connections within the budget.
type guardedListener struct {
	net.Listener
	guard *connGuard
	class connlimit.Class
	// closed is true once the listener was closed.
	closed atomic.Bool
}

func (g *connGuard) listener(l net.Listener, class connlimit.Class) net.Listener {
	return &guardedListener{Listener: l, guard: g, class: class}
}

// Close implements net.Listener.
func (l *guardedListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener. It returns an error only once the listener is closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	var retry connlimit.AcceptRetry
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if guarded := l.guard.open(conn, l.class); guarded != nil {
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
func (g *connGuard) acceptFailed(class connlimit.Class, err error) {
	g.log.Log(eventAcceptFailed, event.F("class", class.String()), event.F("error", err.Error()))
	if c := g.budget.Yield(time.Now(), class); c != nil {
		g.makeRoom([]*connlimit.Conn{c})
	}
}

// open adds a connection to the budget. If it does not fit, it is closed, and open returns
// nil.
func (g *connGuard) open(conn net.Conn, class connlimit.Class) *guardedConn {
	guarded := &guardedConn{Conn: conn, guard: g}
	account, evicted, ok := g.budget.Open(time.Now(), class, guarded)
	g.makeRoom(evicted)
	if !ok {
		g.refused(class, reasonDescriptors, conn.RemoteAddr())
		_ = conn.Close() // nothing was sent
		return nil
	}
	guarded.account = account
	if own, ok := conn.(*callerConn); ok {
		own.ahead.guarded = guarded
	}
	return guarded
}

// protect makes the server report the phases of its connections, and refuse requests that do
// not fit. requestBytes is the memory of a request beyond its head and body.
func (g *connGuard) protect(sv *http.Server, requestBytes int64) {
	stateChanged, connContext := sv.ConnState, sv.ConnContext
	sv.ConnState = func(conn net.Conn, state http.ConnState) {
		guarded, ok := conn.(*guardedConn)
		if ok {
			guarded.stateChanged(state)
			conn = guarded.Conn
		}
		if stateChanged != nil {
			stateChanged(conn, state)
		}
	}
	sv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		guarded, ok := conn.(*guardedConn)
		if !ok {
			return ctx
		}
		ctx = context.WithValue(ctx, guardKey{}, guarded)
		if connContext != nil {
			ctx = connContext(ctx, guarded.Conn)
		}
		return ctx
	}
	sv.Handler = g.admitRequests(sv.Handler, requestBytes)
}

// guardKey is the context key of the guarded connection of a request.
type guardKey struct{}

// guardOf returns the connection of a request, or nil.
func guardOf(ctx context.Context) *guardedConn {
	guarded, _ := ctx.Value(guardKey{}).(*guardedConn)
	return guarded
}
