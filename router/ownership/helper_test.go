package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/table"
)

// faultStore is a table with configurable faults.
type faultStore struct {
	*table.Memory
	mu      sync.Mutex
	latency time.Duration
	// responseLatency delays the response after a commit took effect.
	responseLatency time.Duration
	unavailable     bool
	// loseResponses and loseCalls are the numbers of upcoming commits whose
	// response or request is lost. A lost request takes effect after lostCallDelay
	// if that is above 0.
	loseResponses int
	loseCalls     int
	lostCallDelay time.Duration
	// random, if set, loses a third of the responses and a sixth of the calls and
	// makes some calls slow.
	random      *rand.Rand
	partitioned map[string]bool // hosts without a connection to the store
}

func newFaultStore() *faultStore {
	return &faultStore{Memory: table.NewMemory(), partitioned: map[string]bool{}}
}

// set runs f, which changes the faults, under the lock.
func (s *faultStore) set(f func(s *faultStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// hostStore is the store as accessed by one host.
type hostStore struct {
	*faultStore
	host string
}

// begin delays a commit and decides which faults it meets.
func (s hostStore) begin(ctx context.Context) (loseCall, loseResponse bool, delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := s.latency
	if s.random != nil && s.random.IntN(4) == 0 {
		latency += time.Duration(s.random.IntN(600)) * time.Millisecond
	}
	if latency > 0 {
		s.mu.Unlock()
		err := sleep(ctx, latency)
		s.mu.Lock()
		if err != nil {
			return false, false, 0, fmt.Errorf("%w: %v", table.ErrOutcomeUnknown, err)
		}
	}
	if s.unavailable || s.partitioned[s.host] {
		return false, false, 0, table.ErrUnavailable
	}
	if s.random != nil {
		n := s.random.IntN(6)
		return n == 0, n == 1 || n == 2, 100 * time.Millisecond, nil
	}
	if s.loseCalls > 0 {
		s.loseCalls--
		return true, false, s.lostCallDelay, nil
	}
	if s.loseResponses > 0 {
		s.loseResponses--
		return false, true, 0, nil
	}
	return false, false, 0, nil
}

func (s hostStore) Get(ctx context.Context, key string) (table.Row, error) {
	if err := ctx.Err(); err != nil {
		return table.Row{}, fmt.Errorf("%w: %v", table.ErrUnavailable, err)
	}
	s.mu.Lock()
	unavailable := s.unavailable || s.partitioned[s.host]
	latency := s.latency
	s.mu.Unlock()
	if latency > 0 && sleep(ctx, latency) != nil || unavailable {
		return table.Row{}, table.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s hostStore) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	loseCall, loseResponse, delay, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	if loseCall {
		if delay > 0 {
			time.AfterFunc(delay, func() { _, _ = s.Memory.Commit(context.Background(), txn) })
		}
		return 0, table.ErrOutcomeUnknown
	}
	revision, err := s.Memory.Commit(ctx, txn)
	s.mu.Lock()
	wait := s.responseLatency
	if s.random != nil && s.random.IntN(4) == 0 {
		wait += time.Duration(s.random.IntN(600)) * time.Millisecond
	}
	s.mu.Unlock()
	if wait > 0 && sleep(ctx, wait) != nil || loseResponse {
		return 0, table.ErrOutcomeUnknown
	}
	return revision, err
}

func testHost(name string, incarnation uint64) Host {
	return Host{Name: name, Incarnation: incarnation, ControlAddr: name + ":1"}
}

func testRecords(t *testing.T, s *faultStore, host string) *Records {
	t.Helper()
	r, err := NewRecords(RecordsOptions{Store: hostStore{s, host}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const testService = "svc"

// cluster is a set of managers over one store and a fake network.
type cluster struct {
	t      *testing.T
	store  *faultStore
	timing lease.Timing
	ctx    context.Context

	mu      sync.Mutex
	kind    note.UpstreamKind
	members []*member
	// partitions holds the pairs of hosts that cannot reach each other.
	partitions   map[[2]string]bool
	random       *rand.Rand // if set, messages are lost, late or duplicated
	copyComplete bool       // result of FreezeJournal
	// permitEnd holds each member's latest end of a permit.
	permitEnd map[*member]time.Time
	violation string // first overlap of permits of two members
}

type member struct {
	c      *cluster
	host   Host
	m      *Manager
	stop   context.CancelFunc
	done   chan struct{}
	killed bool
}

func newCluster(t *testing.T, ctx context.Context) *cluster {
	return &cluster{
		t: t, ctx: ctx, store: newFaultStore(), timing: lease.DefaultTiming(), kind: note.Fenced,
		partitions: map[[2]string]bool{}, permitEnd: map[*member]time.Time{}, copyComplete: true,
	}
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *cluster) start(name string, incarnation uint64) *member {
	c.t.Helper()
	p := &member{c: c, host: testHost(name, incarnation), done: make(chan struct{})}
	m, err := NewManager(ManagerOptions{
		Self:    p.host,
		Records: testRecords(c.t, c.store, name),
		Network: p,
		Timing:  c.timing,
		PickStandby: func(_ string, exclude ...string) (Host, bool) {
			return c.pickStandby(exclude)
		},
		Service: func(name string) (note.Service, bool) {
			s := note.DefaultService(name)
			s.Shards = 4
			c.withLock(func() { s.Kind = c.kind })
			return s, name == testService
		},
		FreezeJournal: func(string, string, uint64) (complete bool) {
			c.withLock(func() { complete = c.copyComplete })
			return complete
		},
		OnChange: func(g Group) { c.gossip(p, g) },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.m = m
	ctx, cancel := context.WithCancel(c.ctx)
	p.stop = cancel
	c.withLock(func() { c.members = append(c.members, p) })
	go func() {
		defer close(p.done)
		_ = m.Run(ctx)
	}()
	return p
}

// kill stops a member without a graceful shutdown.
func (p *member) kill() {
	p.c.withLock(func() { p.killed = true })
	p.stop()
	<-p.done
}

func (c *cluster) pickStandby(exclude []string) (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random != nil && c.random.IntN(4) == 0 {
		return Host{}, false
	}
	for _, p := range c.members {
		if !p.killed && !slices.Contains(exclude, p.host.Name) {
			return p.host, true
		}
	}
	return Host{}, false
}

func (c *cluster) connected(a, b string) bool {
	return !c.partitions[[2]string{a, b}] && !c.partitions[[2]string{b, a}]
}

// deliver runs f at the named process after a network delay.
func (c *cluster) deliver(from *member, to Host, f func(m *Manager)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delays := []time.Duration{time.Millisecond}
	if c.random != nil {
		switch c.random.IntN(12) {
		case 0:
			delays = nil
		case 1:
			delays = append(delays, time.Duration(c.random.IntN(400))*time.Millisecond)
		case 2:
			delays[0] = time.Duration(c.random.IntN(400)) * time.Millisecond
		}
	}
	for _, d := range delays {
		time.AfterFunc(d, func() {
			var target *member
			c.withLock(func() {
				for _, p := range c.members {
					if p.host.SameProcess(to) && !p.killed && !from.killed && c.connected(from.host.Name, to.Name) {
						target = p
					}
				}
			})
			if target != nil {
				f(target.m)
			}
		})
	}
}

func (p *member) SendHeartbeat(to Host, hb lease.Heartbeat) {
	p.c.deliver(p, to, func(m *Manager) { m.HandleHeartbeat(hb) })
}

func (p *member) SendAck(to Host, a lease.Ack) {
	p.c.deliver(p, to, func(m *Manager) { m.HandleAck(a) })
}

// gossip sends a changed record to all other members.
func (c *cluster) gossip(from *member, g Group) {
	var others []Host
	c.withLock(func() {
		for _, p := range c.members {
			if p != from {
				others = append(others, p.host)
			}
		}
	})
	for _, to := range others {
		c.deliver(from, to, func(m *Manager) { m.Adopt(g) })
	}
}

// isolate starts or ends a partition of a host from the store and all members.
func (c *cluster) isolate(name string, on bool) {
	c.store.set(func(s *faultStore) { s.partitioned[name] = on })
	c.withLock(func() {
		for _, p := range c.members {
			c.partitions[[2]string{name, p.host.Name}] = on
		}
	})
}

func (c *cluster) join(p *member) {
	c.t.Helper()
	if err := p.m.Join(c.ctx, testService, 1); err != nil {
		c.t.Fatal(err)
	}
}

// observe requests a permit from every member that is alive and returns the
// member that granted one. It records a violation if another member's permit is
// still valid.
func (c *cluster) observe() *member {
	var members []*member
	c.withLock(func() {
		for _, p := range c.members {
			if !p.killed {
				members = append(members, p)
			}
		}
	})
	var owner *member
	for _, p := range members {
		permit, err := p.m.Permit(testService, keyspace.Hash(1))
		if err != nil {
			continue
		}
		owner = p
		now := time.Now()
		for q, until := range c.permitEnd {
			if q != p && until.After(now) && c.violation == "" {
				c.violation = fmt.Sprintf("%s has a permit until %v while that of %s ends %v later",
					p.host.Name, permit.Until, q.host.Name, until.Sub(now))
			}
		}
		if permit.Until.After(c.permitEnd[p]) {
			c.permitEnd[p] = permit.Until
		}
	}
	return owner
}

// watch calls observe every few milliseconds for d, and returns the longest time
// without an owner and the last owner.
func (c *cluster) watch(d time.Duration) (gap time.Duration, last *member) {
	const step = 5 * time.Millisecond
	end := time.Now().Add(d)
	idle := time.Duration(0)
	for time.Now().Before(end) {
		if p := c.observe(); p != nil {
			idle, last = 0, p
		} else {
			idle += step
		}
		gap = max(gap, idle)
		time.Sleep(step)
	}
	if c.violation != "" {
		c.t.Fatal(c.violation)
	}
	return gap, last
}
