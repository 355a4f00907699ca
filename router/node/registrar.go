package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/upstream"
	"burdockglade.dev/stores/table"
)

var (
	evMemberNotWritten = event.Define(1020, log.WarnLevel, "member row not written",
		"the table service did not accept this host's member row",
		"none if the table service is known to be down; the router retries the write")
	evJoinFailed = event.Define(1021, log.WarnLevel, "joining the service failed",
		"the groups of this host could not be created",
		"none if the table service is known to be down; the router retries")
	evJoined = event.Define(1022, log.InfoLevel, "joined the service",
		"the upstream is announced and the groups of this host exist", "none")
)

// Intervals and timeouts of the registrar.
const (
	registerRetryDelay = 500 * time.Millisecond
	registerTimeout    = 5 * time.Second
	// registerCheckInterval is how often the member row is compared with the
	// desired one, in case another host removed it because it wrongly took this
	// host for lost.
	registerCheckInterval = 15 * time.Second
)

// registrar keeps the member row consistent with the state of the host and creates
// the host's groups when its upstream is announced.
type registrar struct {
	n    *Node
	wake chan struct{}

	mu       sync.Mutex
	joined   string    // service for which the groups exist, or ""
	joinedAt time.Time // when the current upstream was announced; see joinTime
}

func newRegistrar(n *Node) *registrar {
	return &registrar{n: n, wake: make(chan struct{}, 1)}
}

// wakeUp makes the registrar check the state of the host immediately.
func (r *registrar) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run keeps the row up to date until ctx is done.
func (r *registrar) run(ctx context.Context) {
	for {
		delay := registerCheckInterval
		if !r.update(ctx) {
			delay = registerRetryDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// update registers and joins as needed. It reports whether the member row and the
// groups are as desired; if not, it must be retried.
func (r *registrar) update(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	desired := r.n.member()
	if !r.register(ctx, desired) {
		return false
	}
	status := r.n.agent.Status()
	if r.n.leaving.Load() || !serving(status) {
		r.setJoined("")
		return true
	}
	return r.join(ctx, desired.Service)
}

func (r *registrar) setJoined(service string) {
	r.mu.Lock()
	r.joined = service
	r.mu.Unlock()
}

// register writes the member row if it differs from the desired one. It reports
// whether the row is as desired.
func (r *registrar) register(ctx context.Context, desired member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	row, err := r.n.store.Get(ctx, member.Key(r.n.self.Name))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return r.notWritten(err)
	}
	if err == nil {
		if current, derr := member.Decode(row); derr == nil && sameMember(current, desired) {
			r.n.gossip.Learn(row)
			return true
		}
	}
	return r.write(ctx, desired, row.Version)
}

func (r *registrar) write(ctx context.Context, desired member.Member, version int64) bool {
	value, err := member.Encode(desired)
	if err != nil {
		return r.notWritten(err)
	}
	key := member.Key(desired.Host.Name)
	id := uuid.NewString()
	revision, err := r.n.store.Commit(ctx, table.Txn{
		ID:         id,
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		// If the response was lost, the next read of the row shows the outcome.
		return r.notWritten(err)
	}
	r.n.gossip.Learn(table.Row{Key: key, Version: revision, WriteID: id, Value: value})
	return true
}

// notWritten logs the error and returns false.
func (r *registrar) notWritten(err error) bool {
	r.n.log.Log(evMemberNotWritten, event.F("error", err.Error()))
	return false
}

// sameMember reports whether two members differ at most in their row version.
func sameMember(a, b member.Member) bool {
	sameTime := a.JoinedAt.Equal(b.JoinedAt)
	a.Version, b.Version = 0, 0
	a.JoinedAt, b.JoinedAt = time.Time{}, time.Time{}
	return a == b && sameTime
}

// joinTime returns when the current upstream was announced, or zero if serving is
// false. The time starts anew if the upstream was absent or down in between.
func (r *registrar) joinTime(serving bool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !serving {
		r.joinedAt = time.Time{}
	} else if r.joinedAt.IsZero() {
		r.joinedAt = time.Now().UTC().Round(time.Millisecond)
	}
	return r.joinedAt
}

// join creates the groups of this host if it has none: after the upstream was
// announced, or after other hosts took over all of them. It reports whether the
// host has joined.
func (r *registrar) join(ctx context.Context, service string) bool {
	r.mu.Lock()
	joined := r.joined == service
	r.mu.Unlock()
	if joined && r.holdsGroups(service) {
		return true
	}
	if _, ok := r.n.service(service); !ok {
		return false
	}
	if !r.holdsGroups(service) {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		if err := r.n.manager.Join(ctx, service, r.n.settings.Lease.Groups); err != nil {
			r.n.log.Log(evJoinFailed, event.F("service", service), event.F("error", err.Error()))
			return false
		}
	}
	// If two hosts join concurrently, the one that scans later sees the other. If
	// this scan fails, the periodic one catches up.
	_ = r.n.gossip.Scan(ctx)
	r.setJoined(service)
	r.n.log.Log(evJoined, event.F("service", service))
	return true
}

// holdsGroups reports whether this host holds a group of the service.
func (r *registrar) holdsGroups(service string) bool {
	for _, g := range r.n.manager.HeldGroups() {
		if g.Service == service {
			return true
		}
	}
	return false
}

// remove deletes the member row at the end of a shutdown.
func (r *registrar) remove(ctx context.Context) {
	key := member.Key(r.n.self.Name)
	row, err := r.n.store.Get(ctx, key)
	if err != nil {
		return
	}
	if current, derr := member.Decode(row); derr != nil || !current.Host.SameProcess(r.n.self) {
		return
	}
	_, _ = r.n.store.Commit(ctx, table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
}

// upstreamChanged reacts to a change of the state of the local upstream.
func (n *Node) upstreamChanged(s upstream.Status) {
	n.registrar.wakeUp()
	switch s.State {
	case upstream.Down:
		go n.relinquishAll()
	case upstream.Draining:
		go n.evacuateUpstream(s)
	}
}
