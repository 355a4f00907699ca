package ownership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/note"
)

// Network sends lease messages. The calls must not block. A message may be lost,
// delayed or duplicated.
type Network interface {
	SendHeartbeat(to Host, hb lease.Heartbeat)
	SendAck(to Host, a lease.Ack)
}

// ManagerOptions configure a Manager. Log, Scope, NoteVersion, FreezeJournal and
// OnChange may be nil.
type ManagerOptions struct {
	Self    Host
	Records *Records
	Network Network
	// PickStandby picks a host of the service that may become a standby, other
	// than the excluded ones. It returns false if there is none.
	PickStandby func(service string, exclude ...string) (Host, bool)
	// Service returns the definition of the service in force. It must not call
	// the manager.
	Service func(name string) (note.Service, bool)
	// NoteVersion returns the release note version in force.
	NoteVersion func() int64
	// FreezeJournal is called before this host becomes the holder of a group of
	// which it was the standby. From then on this host accepts no journal entries
	// of that generation. It reports whether this host's copy is complete. If it
	// is nil, copies are never complete.
	FreezeJournal func(service, groupID string, generation uint64) (complete bool)
	// OnChange is called, without locks held, with each newer record that this
	// host wrote or learned of. Calls for one group may overlap; the record with
	// the higher version is the newer one. It must not block, because it may run
	// in the loop that sends heartbeats.
	OnChange func(Group)
	Timing   lease.Timing
	Log      *event.Logger
	Scope    tally.Scope
}

// Manager drives the leases of all groups of this host, as holder and as
// standby. Its methods are safe for concurrent use.
type Manager struct {
	o    ManagerOptions
	self lease.Node
	// epoch is the time that the lease ends in the index count from.
	epoch time.Time
	index atomic.Pointer[heldIndex]
	wake  chan struct{}

	// ctx ends when Run ends. Background store calls use it.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// mu guards the fields below. Groups are keyed by Group.Key, joined and
	// joining by the name of the service.
	mu       sync.Mutex
	stopped  bool
	newest   map[string]Group
	held     map[string]*holderRole
	standbys map[string]*standbyRole
	watchers map[string]*lease.Watcher
	joined   map[string]bool
	joining  map[string]bool
	// changed is closed and replaced when a record or a role changes.
	changed chan struct{}
	// afterUnlock holds functions to run once mu is released.
	afterUnlock []func()
}

// NewManager returns a manager, or an error if an option is missing or the
// timing is inconsistent.
func NewManager(o ManagerOptions) (*Manager, error) {
	if o.Self.IsZero() || o.Records == nil || o.Network == nil || o.PickStandby == nil || o.Service == nil {
		return nil, errors.New("ownership manager needs Self, Records, Network, PickStandby and Service")
	}
	if err := o.Timing.Check(); err != nil {
		return nil, err
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	m := &Manager{
		o:        o,
		self:     leaseNode(o.Self),
		epoch:    time.Now(),
		wake:     make(chan struct{}, 1),
		newest:   map[string]Group{},
		held:     map[string]*holderRole{},
		standbys: map[string]*standbyRole{},
		watchers: map[string]*lease.Watcher{},
		joined:   map[string]bool{},
		joining:  map[string]bool{},
		changed:  make(chan struct{}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.index.Store(newHeldIndex(nil))
	return m, nil
}

func leaseNode(h Host) lease.Node {
	return lease.Node{Name: h.Name, Incarnation: h.Incarnation}
}

// leaseRecord returns the part of the record that the lease depends on.
func leaseRecord(g Group) lease.Record {
	return lease.Record{
		Generation: g.Generation,
		Version:    g.Version,
		Holder:     leaseNode(g.Holder),
		Standby:    leaseNode(g.Standby),
	}
}

// Run drives the leases until the context ends, and then waits for the store
// calls in progress. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		next := m.tick()
		timer.Reset(max(time.Until(next), minTickInterval))
		select {
		case <-ctx.Done():
			m.stop()
			return nil
		case <-timer.C:
		case <-m.wake:
		}
	}
}

// stop cancels the background store calls and waits until they have returned.
func (m *Manager) stop() {
	m.lock()
	m.stopped = true
	m.unlock()
	m.cancel()
	m.tasks.Wait()
}

const (
	// maxTickInterval is the longest interval between two ticks.
	maxTickInterval = time.Minute
	// minTickInterval keeps the timer from being due when Run waits for it: the race
	// detector of Go 1.26 crashes in a select on a due timer inside a synctest bubble.
	minTickInterval = 100 * time.Microsecond
)

// tick carries out the actions that are due and returns when it must run again.
func (m *Manager) tick() time.Time {
	m.lock()
	defer m.unlock()
	now := time.Now()
	next := now.Add(maxTickInterval)
	for _, role := range m.held {
		m.tickHolder(now, role)
		next = earlierNonZero(next, role.machine.NextTick())
	}
	for _, role := range m.standbys {
		role.machine.SetUpstreamWait(m.upstreamWait(role.rec.Service))
		m.standbyActions(role, role.machine.Tick(now))
		next = earlierNonZero(next, role.machine.NextTick())
	}
	for key, w := range m.watchers {
		if now.Before(w.Due()) {
			next = earlierNonZero(next, w.Due())
			continue
		}
		delete(m.watchers, key)
		base := m.newest[key]
		m.background(func(ctx context.Context) { m.takeOverExpired(ctx, base) })
	}
	return next
}

// earlierNonZero returns the earlier of two times. A zero b means never.
func earlierNonZero(a, b time.Time) time.Time {
	if b.IsZero() {
		return a
	}
	return earlier(a, b)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lock acquires mu, which must be released with unlock.
func (m *Manager) lock() {
	m.mu.Lock()
}

// unlock releases the lock and then runs the functions collected in afterUnlock,
// so that callbacks may call the manager.
func (m *Manager) unlock() {
	callbacks := m.afterUnlock
	m.afterUnlock = nil
	m.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// background runs a store call in a goroutine, under a context that ends with
// Run. The lock must be held.
func (m *Manager) background(f func(ctx context.Context)) {
	if m.stopped {
		return
	}
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		f(m.ctx)
	}()
}

// wakeUp makes Run tick the state machines at once.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Adopt stores newer records learned from peers, scans or moves, and starts or
// stops this host's roles accordingly. Other records are ignored.
func (m *Manager) Adopt(records ...Group) {
	m.lock()
	defer m.unlock()
	for _, g := range records {
		m.adopt(g)
	}
}

// adopt is Adopt for one record. The lock must be held.
func (m *Manager) adopt(g Group) {
	if m.storeNewest(g) {
		m.reconcile(g.Key())
	}
}

// storeNewest stores a record that is newer than the known one, schedules
// OnChange and reports whether it did so. The lock must be held.
func (m *Manager) storeNewest(g Group) bool {
	key := g.Key()
	if m.newest[key].Version >= g.Version {
		return false
	}
	m.newest[key] = g
	m.notifyChanged()
	if m.o.OnChange != nil {
		m.afterUnlock = append(m.afterUnlock, func() { m.o.OnChange(g) })
	}
	return true
}

// notifyChanged wakes the goroutines that wait for a change of a record or role.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// reconcile makes this host's roles in a group follow the newest record.
func (m *Manager) reconcile(key string) {
	g := m.newest[key]
	now := time.Now()
	m.reconcileHolder(now, key, g)
	m.reconcileStandby(now, key, g)
	m.reconcileWatcher(now, key, g)
	m.wakeUp()
}

// removeGroup removes a group whose row was deleted.
func (m *Manager) removeGroup(key string) {
	m.dropHolder(key)
	delete(m.newest, key)
	delete(m.standbys, key)
	delete(m.watchers, key)
}

// DeleteEmpty deletes the row of a group that this host holds and that has no
// shards. Errors are those of Records.DeleteEmpty, or have the kind WrongOwner.
func (m *Manager) DeleteEmpty(ctx context.Context, service, groupID string) error {
	key := GroupKey(service, groupID)
	m.lock()
	role := m.held[key]
	var base Group
	if role != nil {
		base = role.rec
	}
	m.unlock()
	if role == nil {
		return errkind.New(errkind.WrongOwner, "this host does not hold group %s", key)
	}
	if err := m.o.Records.DeleteEmpty(ctx, base); err != nil {
		return err
	}
	m.lock()
	defer m.unlock()
	if m.held[key] == role {
		m.removeGroup(key)
	}
	return nil
}

// upstreamWait returns how long requests may still run at a holder's upstream
// after the end of the lease. While the definition of the service is unknown, it
// returns the wait for plain upstreams, which is the longest.
func (m *Manager) upstreamWait(service string) time.Duration {
	s, ok := m.o.Service(service)
	if !ok {
		return note.DefaultService(service).SettleTime
	}
	switch s.Kind {
	case note.Fenced:
		return 0
	case note.Deadline:
		return s.RunLimit
	default:
		return s.SettleTime
	}
}

// pickStandby returns a standby for the service, or a zero host.
func (m *Manager) pickStandby(service string, exclude ...string) Host {
	exclude = append([]string{m.o.Self.Name}, exclude...)
	h, ok := m.o.PickStandby(service, exclude...)
	if !ok || slices.Contains(exclude, h.Name) {
		return Host{}
	}
	return h
}

func (m *Manager) noteVersion() int64 {
	if m.o.NoteVersion == nil {
		return 0
	}
	return m.o.NoteVersion()
}

func (m *Manager) freezeJournal(g Group, generation uint64) bool {
	if m.o.FreezeJournal == nil {
		return false
	}
	return m.o.FreezeJournal(g.Service, g.ID, generation)
}

// count increments a counter of the service.
func (m *Manager) count(name, service string) {
	m.o.Scope.Tagged(map[string]string{"service": service}).Counter(name).Inc(1)
}

// countTakeover increments the counter of takeovers of the service. how is one of
// standby, horizon (after the renewal deadline) and declared.
func (m *Manager) countTakeover(how, service string) {
	m.o.Scope.Tagged(map[string]string{"service": service, "how": how}).Counter("takeovers").Inc(1)
}

// log logs an event about a group.
func (m *Manager) log(e event.Event, g Group, fields ...event.Field) {
	all := append([]event.Field{
		event.F("group", g.Key()),
		event.F("generation", g.Generation),
		event.F("holder", g.Holder.Name),
		event.F("standby", g.Standby.Name),
	}, fields...)
	m.o.Log.Log(e, all...)
}
