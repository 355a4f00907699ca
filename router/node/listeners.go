package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"burdockglade.dev/router/connguard"
)

// Timeouts and limits of the HTTP servers.
const (
	hopReadHeaderTimeout = 5 * time.Second
	hopIdleTimeout       = 2 * time.Minute
	upstreamReadTimeout  = 5 * time.Second
	failureBuffer        = 8
)

// listeners holds the open sockets and the HTTP servers on them.
type listeners struct {
	caller, upstream, hop, control, admin, metrics net.Listener
	heartbeats                                     *net.UDPConn

	callerServer *http.Server
	hopServer    *http.Server
	otherServers []*http.Server
	failures     chan error
	running      sync.WaitGroup
}

// listen opens all sockets. If one fails, it closes the others and returns an
// error.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{failures: make(chan error, failureBuffer)}
	addresses := n.settings.Listen
	for _, want := range []struct {
		key      string
		address  string
		listener *net.Listener
	}{
		{"caller", addresses.Caller, &l.caller},
		{"upstream", addresses.Upstream, &l.upstream},
		{"hop", addresses.Hop, &l.hop},
		{"control", addresses.Control, &l.control},
		{"admin", addresses.Admin, &l.admin},
		{"metrics", addresses.Metrics, &l.metrics},
	} {
		socket, err := net.Listen("tcp", want.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("[listen] %s: %w", want.key, err)
		}
		*want.listener = socket
	}
	address, err := net.ResolveUDPAddr("udp", addresses.Control)
	if err == nil {
		l.heartbeats, err = net.ListenUDP("udp", address)
	}
	if err != nil {
		l.close()
		return nil, fmt.Errorf("[listen] control (UDP): %w", err)
	}
	l.guard(n.guard)
	return l, nil
}

func (l *listeners) close() {
	for _, socket := range []net.Listener{l.caller, l.upstream, l.hop, l.control, l.admin, l.metrics} {
		if socket != nil {
			_ = socket.Close()
		}
	}
	if l.heartbeats != nil {
		_ = l.heartbeats.Close()
	}
}

// serve starts the HTTP servers.
func (l *listeners) serve(n *Node, adminServer *http.Server) {
	limits := n.settings.Limits
	l.callerServer = &http.Server{
		Handler:           http.MaxBytesHandler(n.entry, limits.MaxBodyBytes),
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	l.hopServer = &http.Server{
		// No http.ServeMux here and for callers: it would redirect paths with
		// empty or dot segments, which must reach the upstream unchanged.
		Handler:           n.hop,
		ReadHeaderTimeout: hopReadHeaderTimeout,
		IdleTimeout:       hopIdleTimeout,
		// Requests on this port carry the caller's headers and the router's own.
		MaxHeaderBytes: 2 * limits.MaxHeaderBytes,
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", n.options.Metrics.Handler)
	upstreamServer := &http.Server{Handler: n.agent.Handler(), ReadTimeout: upstreamReadTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes}
	metricsServer := &http.Server{Handler: metricsMux, ReadHeaderTimeout: limits.ReadHeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes}
	for _, s := range []*http.Server{l.callerServer, l.hopServer, upstreamServer, adminServer} {
		n.guard.Protect(s, connguard.ServerOptions{DrainTime: drainTimeout})
	}
	n.guard.Protect(metricsServer, connguard.ServerOptions{RequestBytes: metricsBytes, DrainTime: drainTimeout})
	l.otherServers = []*http.Server{upstreamServer, adminServer, metricsServer}
	l.run(l.callerServer, l.caller)
	l.run(l.hopServer, l.hop)
	l.run(upstreamServer, l.upstream)
	l.run(adminServer, l.admin)
	l.run(metricsServer, l.metrics)
}

func (l *listeners) run(s *http.Server, socket net.Listener) {
	l.running.Go(func() {
		if err := s.Serve(socket); err != nil && !errors.Is(err, http.ErrServerClosed) {
			select {
			case l.failures <- err:
			default:
			}
		}
	})
}

// drainRequests stops accepting requests from callers and from other routers and
// waits for those in flight until ctx is done.
func (l *listeners) drainRequests(ctx context.Context) error {
	err := l.callerServer.Shutdown(ctx)
	return shutdownError(err, l.hopServer.Shutdown(ctx))
}

// closeAll closes all servers, including those that serve no callers, and waits
// until they have stopped.
func (l *listeners) closeAll() {
	for _, s := range append(l.otherServers, l.callerServer, l.hopServer) {
		_ = s.Close()
	}
	l.running.Wait()
}
