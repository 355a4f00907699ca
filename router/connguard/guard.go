// Package connguard applies the budgets of package connlimit to the listeners of a process:
// it wraps listeners and servers, counts the bytes and lines of request heads as they are
// read, and closes the connections that the budget names.
package connguard

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
)

const (
	// guardInterval is the time between two searches for connections whose time is over.
	guardInterval = 100 * time.Millisecond
	// memoryLimitPercent is the part of the host's memory that the Go runtime tries to stay
	// below by collecting garbage more often.
	memoryLimitPercent = 40
)

var (
	eventAcceptFailed = event.Define(1860, log.WarnLevel, "connection not accepted",
		"A listener could not accept a connection, usually for lack of file descriptors. It tries again after 5 ms to 1 s, and an idle connection of its class is closed.", "Raise the limit of file descriptors of the process, or set max_fds to it.")
	eventConnectionRefused = event.Define(1861, log.InfoLevel, "connection or request refused",
		"A connection or a request did not fit into the budgets of memory_mb and max_fds, or a request head exceeds MaxHeaderBytes. The field reason says which. No upstream has seen the request.", "Look for clients with many connections or large request heads by the field address.")
	eventConnectionEvicted = event.Define(1862, log.InfoLevel, "connection closed to make room",
		"A connection without a request in progress was closed in favour of another one, because a budget is used up: an idle one, or one whose request head was still arriving.", "See event 1861.")
)

// LimitMemory makes the runtime collect garbage more often before the process takes half of
// the memory of its host, in bytes. 0 has no effect.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes * memoryLimitPercent / 100)
	}
}

// Options configure a Guard.
type Options struct {
	Budget connlimit.Options
	// MaxHeadBytes returns the limit on the header of a request at listeners of the class.
	MaxHeadBytes func(connlimit.Class) int
	// Timeouts returns the times after which connections of the class are closed.
	Timeouts func(connlimit.Class) connlimit.Timeouts
	// RefusalFields returns header fields of the response to a refused head, each with its
	// line break. Nil means none.
	RefusalFields func(class connlimit.Class, status int) string
	// Refuse responds with status 503 to a request that no handler has seen.
	Refuse func(class connlimit.Class, w http.ResponseWriter, req *http.Request, err *errkind.Error)
	Log    *event.Logger
	// Scope is that of the metrics.
	Scope tally.Scope
}

// Guard applies the limits of its options, and the budgets of memory and file descriptors, to
// the connections of all listeners of a process.
type Guard struct {
	opts   Options
	budget *connlimit.Budget
}

// New returns a guard without connections.
func New(o Options) *Guard {
	return &Guard{opts: o, budget: connlimit.New(o.Budget)}
}

// Stats returns what the connections of the class take.
func (g *Guard) Stats(class connlimit.Class) connlimit.Stats {
	return g.budget.Stats()[class]
}

// Run closes the connections whose time is over until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, c := range g.budget.Expired(now, g.opts.Timeouts) {
				g.tagged(c.Class(), reasonTime).Counter("connections_closed").Inc(1)
				c.Owner.(*Conn).forceClose()
			}
			g.closeUnread(now)
			g.report()
		}
	}
}

// closeUnread closes the connections whose clients leave a response unread.
func (g *Guard) closeUnread(now time.Time) {
	for _, c := range g.budget.Busy() {
		if guarded := c.Owner.(*Conn); guarded.unread(now) {
			g.tagged(c.Class(), reasonTime).Counter("connections_closed").Inc(1)
			guarded.forceClose()
		}
	}
}

// report updates the gauges.
func (g *Guard) report() {
	for class, stats := range g.budget.Stats() {
		scope := g.opts.Scope.Tagged(map[string]string{"class": connlimit.Class(class).String()})
		scope.Gauge("connection_memory_bytes").Update(float64(stats.MemoryBytes))
		scope.Gauge("connection_descriptors").Update(float64(stats.Files))
	}
}

// makeRoom closes the connections that give way to others.
func (g *Guard) makeRoom(evicted []*connlimit.Conn) {
	for _, c := range evicted {
		c.Owner.(*Conn).forceClose()
		g.tagged(c.Class(), reasonRoom).Counter("connections_closed").Inc(1)
		g.opts.Log.Log(eventConnectionEvicted, event.F("class", c.Class().String()), event.F("address", c.Owner.(*Conn).RemoteAddr().String()))
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
func (g *Guard) tagged(class connlimit.Class, reason string) tally.Scope {
	return g.opts.Scope.Tagged(map[string]string{"class": class.String(), "reason": reason})
}

// refused counts and logs a refusal.
func (g *Guard) refused(class connlimit.Class, reason string, address net.Addr) {
	g.tagged(class, reason).Counter("connection_refusals").Inc(1)
	g.opts.Log.Log(eventConnectionRefused, event.F("class", class.String()), event.F("reason", reason), event.F("address", address.String()))
}
