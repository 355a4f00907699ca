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
		"the table service did not take this host's member row",
		"none if the table service is known to be down; the router repeats the write")
	evJoinFailed = event.Define(1021, log.WarnLevel, "joining the service failed",
		"the groups of this host could not be created",
		"none if the table service is known to be down; the router repeats it")
	evJoined = event.Define(1022, log.InfoLevel, "joined the service",
		"the upstream is announced and this host's groups exist", "none")
)

// Times of the registrar.
const (
	registerPause   = 500 * time.Millisecond
	registerTimeout = 5 * time.Second
	// registerCheck is how often the member row is compared with the wanted
	// one, in case another host removed it after a false alarm.
	registerCheck = 15 * time.Second
)

// registrar keeps the member row in line with the state of the host and
// creates the host's groups when its upstream is announced.
type registrar struct {
	n    *Node
	wake chan struct{}

	mu       sync.Mutex
	joined   string
	joinedAt time.Time
}

func newRegistrar(n *Node) *registrar {
	return &registrar{n: n, wake: make(chan struct{}, 1)}
}

// poke makes the registrar look at the state of the host now.
func (r *registrar) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run keeps the row up to date until the context ends.
func (r *registrar) run(ctx context.Context) {
	for {
		pause := registerCheck
		if !r.update(ctx) {
			pause = registerPause
		}
		timer := time.NewTimer(pause)
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

// update reports whether everything is as wanted.
func (r *registrar) update(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	want := r.n.member()
	if !r.register(ctx, want) {
		return false
	}
	status := r.n.agent.Status()
	if r.n.leaving.Load() || !serving(status) {
		r.setJoined("")
		return true
	}
	return r.join(ctx, want.Service)
}

func (r *registrar) setJoined(service string) {
	r.mu.Lock()
	r.joined = service
	r.mu.Unlock()
}

// register writes the member row when it differs from the wanted one.
func (r *registrar) register(ctx context.Context, want member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	row, err := r.n.store.Get(ctx, member.Key(r.n.self.Name))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return r.notWritten(err)
	}
	if err == nil {
		if have, derr := member.Decode(row); derr == nil && sameMember(have, want) {
			r.n.gossip.Learn(row)
			return true
		}
	}
	return r.write(ctx, want, row.Version)
}

func (r *registrar) write(ctx context.Context, want member.Member, version int64) bool {
	value, err := member.Encode(want)
	if err != nil {
		return r.notWritten(err)
	}
	key := member.Key(want.Host.Name)
	id := uuid.NewString()
	revision, err := r.n.store.Commit(ctx, table.Txn{
		ID:         id,
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		// A lost answer is settled by the next read of the row.
		return r.notWritten(err)
	}
	r.n.gossip.Learn(table.Row{Key: key, Version: revision, WriteID: id, Value: value})
	return true
}

func (r *registrar) notWritten(err error) bool {
	r.n.log.Log(evMemberNotWritten, event.F("error", err.Error()))
	return false
}

func sameMember(a, b member.Member) bool {
	sameTime := a.JoinedAt.Equal(b.JoinedAt)
	a.Version, b.Version = 0, 0
	a.JoinedAt, b.JoinedAt = time.Time{}, time.Time{}
	return a == b && sameTime
}

// since returns when the present upstream was announced, and starts anew when
// it was absent or down in between.
func (r *registrar) since(serving bool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !serving {
		r.joinedAt = time.Time{}
	} else if r.joinedAt.IsZero() {
		r.joinedAt = time.Now().UTC().Round(time.Millisecond)
	}
	return r.joinedAt
}

// join creates the groups of this host when it has none, at an announcement
// and after others took all of them over.
func (r *registrar) join(ctx context.Context, service string) bool {
	r.mu.Lock()
	done := r.joined == service
	r.mu.Unlock()
	if done && r.holds(service) {
		return true
	}
	if _, ok := r.n.service(service); !ok {
		return false
	}
	if !r.holds(service) {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		if err := r.n.manager.Join(ctx, service, r.n.s.Lease.Groups); err != nil {
			r.n.log.Log(evJoinFailed, event.F("service", service), event.F("error", err.Error()))
			return false
		}
	}
	// Of two hosts that join at once, the one that scans later sees the other.
	// A scan that fails is made up for by the periodic one.
	_ = r.n.gossip.Scan(ctx)
	r.setJoined(service)
	r.n.log.Log(evJoined, event.F("service", service))
	return true
}

func (r *registrar) holds(service string) bool {
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
	if have, derr := member.Decode(row); derr != nil || !have.Host.SameProcess(r.n.self) {
		return
	}
	_, _ = r.n.store.Commit(ctx, table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
}

// upstreamChanged follows the state of the local upstream.
func (n *Node) upstreamChanged(s upstream.Status) {
	n.registrar.poke()
	switch s.State {
	case upstream.Down:
		go n.relinquishAll()
	case upstream.Draining:
		go n.evacuateUpstream(s)
	}
}
