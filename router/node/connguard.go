package node

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/forward"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/router/upstream"
)

var evBudgets = event.Define(1011, log.InfoLevel, "budgets of connections",
	"the process started with these settings; 0 means that there is no bound", "none")

const (
	// headMargin is what net/http reads of a head beyond MaxHeaderBytes.
	headMargin = 4 << 10
	// timeoutMargin makes the timeouts of the servers come before those of the guard.
	timeoutMargin = time.Second
	// drainTimeout bounds the wait for the rest of the body of a request that was answered
	// before it was read. Without it, clients that send no body hold their requests for ever.
	drainTimeout = 5 * time.Second
	// metricsBytes is the memory of a request for metrics: the text, and its compression.
	metricsBytes = 128 << 10
)

// buildGuard returns the guard of all listeners. The servers keep the limits and timeouts of
// the settings; those of the guard lie beyond them.
func (n *Node) buildGuard() *connguard.Guard {
	host, limits := n.settings.Host, n.settings.Limits
	return connguard.New(connguard.Options{
		// The pools keep no idle connection for longer, to the upstream or to another router.
		Budget: connlimit.Options{MemoryBytes: host.MemoryBytes(), Files: host.MaxFDs, PoolTime: max(upstream.IdleTimeout, peer.ClientIdleTimeout)},
		MaxHeadBytes: func(class connlimit.Class) int {
			if class == connlimit.Router {
				return 2*limits.MaxHeaderBytes + headMargin
			}
			return limits.MaxHeaderBytes + headMargin
		},
		Timeouts:      n.connTimeouts,
		RefusalFields: refusalFields,
		Refuse: func(class connlimit.Class, w http.ResponseWriter, _ *http.Request, err *errkind.Error) {
			if class == connlimit.Router {
				w.Header().Set(forward.HeaderRefusal, string(err.Kind))
			}
			errkind.Write(w, err)
		},
		Log: n.log, Scope: n.options.Metrics.SubScope("entry"),
	})
}

// connTimeouts returns the times after which the guard closes connections of the class.
func (n *Node) connTimeouts(class connlimit.Class) connlimit.Timeouts {
	limits := n.settings.Limits
	longest := max(limits.ReadHeaderTimeout, limits.IdleTimeout, upstreamReadTimeout)
	if class == connlimit.Router {
		longest = peer.ServerIdleTimeout
	}
	longest += timeoutMargin
	return connlimit.Timeouts{Fresh: longest, Head: longest, Idle: longest}
}

// refusalFields returns the header fields of the response to a refused head.
func refusalFields(class connlimit.Class, status int) string {
	if status != http.StatusServiceUnavailable {
		return ""
	}
	kind := errkind.Overloaded
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\nRetry-After: %d\r\n", errkind.HeaderError, kind,
		errkind.HeaderOutcome, errkind.ResponseOf(kind).Outcome, int(math.Ceil(connlimit.RefusalRetry.Seconds())))
	if class == connlimit.Router {
		fields += fmt.Sprintf("%s: %s\r\n", forward.HeaderRefusal, kind)
	}
	return fields
}

// guard puts the listeners behind the guard. Connections of administrators and of metrics
// share a class, so that a crowd there cannot take the part of the upstream's announcements.
func (l *listeners) guard(g *connguard.Guard) {
	l.caller = g.Listener(l.caller, connlimit.Caller)
	l.hop = g.Listener(l.hop, connlimit.Router)
	l.control = g.MeteredListener(l.control, connlimit.Router)
	l.upstream = g.Listener(l.upstream, connlimit.Control)
	l.admin = g.Listener(l.admin, connlimit.Probe)
	l.metrics = g.Listener(l.metrics, connlimit.Probe)
}

// runGuard logs the budgets and runs the guard until ctx is done.
func (n *Node) runGuard(ctx context.Context) {
	n.log.Log(evBudgets, event.F("memory_mb", n.settings.Host.MemoryMB), event.F("max_fds", n.settings.Host.MaxFDs))
	n.guard.Run(ctx)
}
