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

// faultStore is a table with settable faults.
type faultStore struct {
	*table.Memory
	mu      sync.Mutex
	latency time.Duration
	// answerLatency passes after a commit took effect.
	answerLatency time.Duration
	refuse        bool
	// loseAnswers and loseCalls count the coming commits whose answer or whose
	// request is lost. A lost request takes effect after lateBy when above 0.
	loseAnswers int
	loseCalls   int
	lateBy      time.Duration
	// random, when set, loses a third of the answers and a sixth of the calls
	// and makes some calls slow.
	random *rand.Rand
	cut    map[string]bool // hosts that do not reach the store
}

func newFaultStore() *faultStore {
	return &faultStore{Memory: table.NewMemory(), cut: map[string]bool{}}
}

func (s *faultStore) set(f func(s *faultStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// hostStore is the store as one host sees it.
type hostStore struct {
	*faultStore
	host string
}

func (s hostStore) begin(ctx context.Context) (loseCall, loseAnswer bool, late time.Duration, err error) {
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
	if s.refuse || s.cut[s.host] {
		return false, false, 0, table.ErrUnavailable
	}
	if s.random != nil {
		n := s.random.IntN(6)
		return n == 0, n == 1 || n == 2, 100 * time.Millisecond, nil
	}
	if s.loseCalls > 0 {
		s.loseCalls--
		return true, false, s.lateBy, nil
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return false, true, 0, nil
	}
	return false, false, 0, nil
}

func (s hostStore) Get(ctx context.Context, key string) (table.Row, error) {
	if err := ctx.Err(); err != nil {
		return table.Row{}, fmt.Errorf("%w: %v", table.ErrUnavailable, err)
	}
	s.mu.Lock()
	refused := s.refuse || s.cut[s.host]
	latency := s.latency
	s.mu.Unlock()
	if latency > 0 && sleep(ctx, latency) != nil || refused {
		return table.Row{}, table.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s hostStore) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	loseCall, loseAnswer, late, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	if loseCall {
		if late > 0 {
			time.AfterFunc(late, func() { _, _ = s.Memory.Commit(context.Background(), txn) })
		}
		return 0, table.ErrOutcomeUnknown
	}
	revision, err := s.Memory.Commit(ctx, txn)
	s.mu.Lock()
	wait := s.answerLatency
	if s.random != nil && s.random.IntN(4) == 0 {
		wait += time.Duration(s.random.IntN(600)) * time.Millisecond
	}
	s.mu.Unlock()
	if wait > 0 && sleep(ctx, wait) != nil || loseAnswer {
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
	cut     map[[2]string]bool
	random  *rand.Rand // when set, messages are lost, late or doubled
	frozen  bool       // what FreezeJournal returns
	// until holds each member's latest permit end.
	until map[*member]time.Time
	fault string
}

type member struct {
	c    *cluster
	host Host
	m    *Manager
	stop context.CancelFunc
	done chan struct{}
	gone bool
}

func newCluster(t *testing.T, ctx context.Context) *cluster {
	return &cluster{
		t: t, ctx: ctx, store: newFaultStore(), timing: lease.DefaultTiming(), kind: note.Fenced,
		cut: map[[2]string]bool{}, until: map[*member]time.Time{}, frozen: true,
	}
}

func (c *cluster) locked(f func()) {
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
			return c.pick(exclude)
		},
		Service: func(name string) (note.Service, bool) {
			s := note.DefaultService(name)
			s.Shards = 4
			c.locked(func() { s.Kind = c.kind })
			return s, name == testService
		},
		FreezeJournal: func(string, string, uint64) (complete bool) {
			c.locked(func() { complete = c.frozen })
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
	c.locked(func() { c.members = append(c.members, p) })
	go func() {
		defer close(p.done)
		_ = m.Run(ctx)
	}()
	return p
}

// kill ends a member without any farewell.
func (p *member) kill() {
	p.c.locked(func() { p.gone = true })
	p.stop()
	<-p.done
}

func (c *cluster) pick(exclude []string) (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random != nil && c.random.IntN(4) == 0 {
		return Host{}, false
	}
	for _, p := range c.members {
		if !p.gone && !slices.Contains(exclude, p.host.Name) {
			return p.host, true
		}
	}
	return Host{}, false
}

func (c *cluster) reach(a, b string) bool {
	return !c.cut[[2]string{a, b}] && !c.cut[[2]string{b, a}]
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
			c.locked(func() {
				for _, p := range c.members {
					if p.host.SameProcess(to) && !p.gone && !from.gone && c.reach(from.host.Name, to.Name) {
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
	c.locked(func() {
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

func (c *cluster) isolate(name string, on bool) {
	c.store.set(func(s *faultStore) { s.cut[name] = on })
	c.locked(func() {
		for _, p := range c.members {
			c.cut[[2]string{name, p.host.Name}] = on
		}
	})
}

func (c *cluster) join(p *member) {
	c.t.Helper()
	if err := p.m.Join(c.ctx, testService, 1); err != nil {
		c.t.Fatal(err)
	}
}

// observe asks every living member for a permit and returns the member that
// gave one. It notes a fault when another member's permit is still valid.
func (c *cluster) observe() *member {
	var members []*member
	c.locked(func() {
		for _, p := range c.members {
			if !p.gone {
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
		for q, until := range c.until {
			if q != p && until.After(now) && c.fault == "" {
				c.fault = fmt.Sprintf("%s has a permit until %v while that of %s ends %v later",
					p.host.Name, permit.Until, q.host.Name, until.Sub(now))
			}
		}
		if permit.Until.After(c.until[p]) {
			c.until[p] = permit.Until
		}
	}
	return owner
}

// watch observes every few milliseconds for d and returns the longest time
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
	if c.fault != "" {
		c.t.Fatal(c.fault)
	}
	return gap, last
}
