package ownership

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/note"
)

// runCluster runs f in a synctest bubble with a cluster of three hosts, a, b and
// c. All have joined; a holds the shards and b is its standby.
func runCluster(t *testing.T, setUp func(c *cluster), f func(c *cluster, a, b, d *member)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(t, ctx)
		if setUp != nil {
			setUp(c)
		}
		a := c.start("a", 1)
		b := c.start("b", 2)
		d := c.start("c", 3)
		for _, p := range []*member{a, b, d} {
			c.join(p)
		}
		time.Sleep(time.Second)
		f(c, a, b, d)
		cancel()
		for _, p := range c.members {
			<-p.done
		}
	})
}

// group returns the group with shards that p holds.
func group(t *testing.T, p *member) Group {
	t.Helper()
	for _, g := range p.m.HeldGroups() {
		if len(g.Shards) > 0 {
			return g
		}
	}
	t.Fatalf("%s holds no shards", p.host.Name)
	return Group{}
}

// wantOwner observes the cluster for d and checks the longest time without an
// owner and, unless want is nil, the last owner.
func (c *cluster) wantOwner(d time.Duration, maxGap time.Duration, want *member) {
	c.t.Helper()
	gap, last := c.watch(d)
	if gap > maxGap {
		c.t.Errorf("no owner for %v, want at most %v", gap, maxGap)
	}
	if last == nil || want != nil && last != want {
		c.t.Errorf("last owner %+v, want %+v", last, want)
	}
}

// Guards against an interruption of more than a second when the holder fails
// (longer for upstreams that are not fenced), and against a takeover that ignores
// requests that may still run at its upstream.
func TestHolderFails(t *testing.T) {
	tests := []struct {
		kind   note.UpstreamKind
		maxGap time.Duration
	}{
		{note.Fenced, time.Second},
		{note.Deadline, 1300 * time.Millisecond},
		{note.Plain, 3 * time.Second},
	}
	for _, test := range tests {
		runCluster(t, func(c *cluster) { c.kind = test.kind }, func(c *cluster, a, b, d *member) {
			c.wantOwner(time.Second, 0, a)
			a.kill()
			killed := time.Now()
			c.wantOwner(5*time.Second, test.maxGap, b)
			g := group(c.t, b)
			upstreamWait := b.m.upstreamWait(testService)
			if waited := g.HolderSince.Sub(killed); waited < 350*time.Millisecond+upstreamWait {
				c.t.Errorf("%s: taken over after %v", test.kind, waited)
			}
			if !g.JournalComplete || g.Standby.Name != "c" || g.Generation != 2 {
				c.t.Errorf("%s: took over %+v", test.kind, g)
			}
			b.kill()
			c.wantOwner(5*time.Second, test.maxGap, d)
		})
	}
}

// Guards against an interruption of service, or a wrong standby, when the standby
// fails, restarts or leaves.
func TestStandbyReplaced(t *testing.T) {
	causes := map[string]func(c *cluster, a, b *member){
		"lost":      func(c *cluster, a, b *member) { b.kill() },
		"restarted": func(c *cluster, a, b *member) { b.kill(); c.start("b", 22) },
		"leaving": func(c *cluster, a, b *member) {
			if err := a.m.ReplaceStandby(c.ctx, "b"); err != nil {
				c.t.Error(err)
			}
			b.kill()
		},
		"response of the store lost": func(c *cluster, a, b *member) {
			c.store.set(func(s *faultStore) { s.loseResponses = 1 })
			b.kill()
		},
	}
	for name, removeStandby := range causes {
		t.Run(name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster, a, b, d *member) {
				removeStandby(c, a, b)
				c.wantOwner(3*time.Second, 0, a)
				g := group(c.t, a)
				if g.Standby.Name != "c" || g.Generation != 2 || !g.JournalComplete {
					c.t.Errorf("group after the replacement: %+v", g)
				}
				if got := d.m.StandbyGroups(); len(got) == 0 || !sameLease(got[0], g) && !sameLease(got[len(got)-1], g) {
					c.t.Errorf("standbys of c: %+v", got)
				}
			})
		})
	}
}

// Guards against two owners, or none, when holder and standby are partitioned
// from each other or the holder from all others, and against an old holder that
// serves when the partition ends.
func TestPartition(t *testing.T) {
	runCluster(t, nil, func(c *cluster, a, b, d *member) {
		c.withLock(func() { c.partitions[[2]string{"a", "b"}] = true })
		c.wantOwner(3*time.Second, 0, a)
		if g := group(c.t, a); g.Standby.Name != "c" {
			c.t.Errorf("standby after the partition: %+v", g)
		}
		c.isolate("a", true)
		c.wantOwner(3*time.Second, time.Second, d)
		c.isolate("a", false)
		c.wantOwner(3*time.Second, 0, d)
		if _, err := a.m.Permit(testService, 1); !errkind.Is(err, errkind.WrongOwner) || len(a.m.HeldGroups()) != 0 {
			c.t.Errorf("the old holder does not act on the row: %v", err)
		}
	})
}

// Guards against a new holder whose first lease starts at the late response of
// the store although its standby has learned of its role earlier.
func TestLateResponseToTakeover(t *testing.T) {
	runCluster(t, nil, func(c *cluster, a, b, d *member) {
		c.withLock(func() { c.partitions[[2]string{"b", "c"}] = true })
		c.store.set(func(s *faultStore) { s.responseLatency = 1500 * time.Millisecond })
		a.kill()
		go func() {
			for range 200 { // 4 s, less than the watch below
				rows, _ := testRecords(c.t, c.store, "c").List(c.ctx, testService)
				d.m.Adopt(rows...)
				for _, g := range rows {
					if len(g.Shards) > 0 && g.Holder.SameProcess(b.host) {
						// The response to this write is already delayed.
						c.store.set(func(s *faultStore) { s.responseLatency = 0 })
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		c.wantOwner(5*time.Second, 4*time.Second, d)
	})
}

// Guards against a permit of a group without a standby that is still valid when
// a standby that was added later takes over.
func TestStandbyAddedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(t, ctx)
		a := c.start("a", 1)
		c.join(a)
		c.wantOwner(3*time.Second, 0, a)
		b := c.start("b", 2)
		c.wantOwner(3*time.Second, 0, a)
		if g := group(t, a); !g.Standby.SameProcess(b.host) {
			t.Errorf("no standby after a second host started: %+v", g)
		}
		a.kill()
		c.wantOwner(2*time.Second, time.Second, b)
		cancel()
		<-b.done
	})
}

// Guards against a store outage or a slow store that ends service before the
// renewal deadline, and against service and missing takeovers by watchers after
// it.
func TestStoreOutage(t *testing.T) {
	short := func(c *cluster) {
		c.timing.RenewDeadline = 20 * time.Second
		c.timing.RowRenewInterval = c.timing.RenewDeadline / 8
	}
	runCluster(t, short, func(c *cluster, a, b, d *member) {
		c.store.set(func(s *faultStore) { s.latency = 5 * time.Second })
		c.wantOwner(30*time.Second, 0, a)
		c.store.set(func(s *faultStore) { s.latency, s.unavailable = 0, true })
		// A short partition of holder and standby must not end the lease for the
		// whole outage.
		c.withLock(func() { c.partitions[[2]string{"a", "b"}] = true })
		time.Sleep(700 * time.Millisecond)
		c.withLock(func() { c.partitions[[2]string{"a", "b"}] = false })
		time.Sleep(200 * time.Millisecond)
		c.wantOwner(10*time.Second, 0, a)
		time.Sleep(15 * time.Second)
		if p := c.observe(); p != nil {
			c.t.Errorf("%s serves after the renewal deadline", p.host.Name)
		}
		c.store.set(func(s *faultStore) { s.unavailable = false })
		// The holder's row renewal and the watcher's takeover race.
		c.wantOwner(10*time.Second, 4*time.Second, nil)
	})
	runCluster(t, short, func(c *cluster, a, b, d *member) {
		c.store.set(func(s *faultStore) { s.unavailable = true })
		a.kill()
		b.kill()
		time.Sleep(5 * time.Second)
		c.store.set(func(s *faultStore) { s.unavailable = false })
		gap, last := c.watch(30 * time.Second)
		if last != d || gap < 10*time.Second {
			c.t.Errorf("after the renewal deadline: owner %v, gap %v", last, gap)
		}
		if g := group(c.t, d); g.JournalComplete {
			c.t.Errorf("journal complete after a takeover by a watcher: %+v", g)
		}
	})
}

// Guards against a hand-over during which both hosts serve or the journal is
// considered complete without a check of the copy, and against a group that is
// no longer served after a hand-over that failed.
func TestRelinquish(t *testing.T) {
	for _, complete := range []bool{true, false} {
		runCluster(t, func(c *cluster) { c.copyComplete = complete }, func(c *cluster, a, b, d *member) {
			c.observe()
			g := group(c.t, a)
			c.store.set(func(s *faultStore) { s.unavailable = true })
			if err := a.m.Relinquish(c.ctx, testService, g.ID); !errkind.Is(err, errkind.StoreUnavailable) {
				c.t.Errorf("hand-over without a store: %v", err)
			}
			ctx, cancel := context.WithTimeout(c.ctx, 10*time.Millisecond)
			err := a.m.Relinquish(ctx, testService, g.ID)
			cancel()
			if err == nil {
				c.t.Error("hand-over within 10 ms, before the permits ended")
			}
			time.Sleep(100 * time.Millisecond)
			c.store.set(func(s *faultStore) { s.unavailable, s.loseResponses = false, 1 })
			c.wantOwner(time.Second, 0, a)
			if err := a.m.Relinquish(c.ctx, testService, g.ID); err != nil {
				c.t.Error(err)
			}
			c.wantOwner(2*time.Second, 600*time.Millisecond, b)
			if g := group(c.t, b); g.JournalComplete != complete || g.JournalUnverified || g.Generation != 2 {
				c.t.Errorf("copy complete %v: %+v", complete, g)
			}
			// Without a group of its own the host could not receive shards.
			if err := a.m.Join(c.ctx, testService, 1); err != nil || len(a.m.HeldGroups()) != 1 {
				c.t.Errorf("join after the hand-over: %v, %d groups", err, len(a.m.HeldGroups()))
			}
		})
	}
}

// Guards against a takeover of a group declared lost after which no host serves,
// and against one of a group that is alive.
func TestDeclareLost(t *testing.T) {
	runCluster(t, nil, func(c *cluster, a, b, d *member) {
		g := group(c.t, a)
		if _, err := a.m.DeclareLost(c.ctx, testService, g.ID); !errkind.Is(err, errkind.Conflict) {
			c.t.Errorf("declared its own group lost: %v", err)
		}
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		record, err := d.m.DeclareLost(c.ctx, testService, g.ID)
		if err != nil || record.JournalComplete {
			c.t.Fatalf("declared lost: %+v, %v", record, err)
		}
		c.wantOwner(time.Second, 0, d)
	})
}

// Guards against a second join that creates more groups, wrong permits and
// missing options.
func TestJoinAndPermit(t *testing.T) {
	runCluster(t, nil, func(c *cluster, a, b, d *member) {
		if err := a.m.Join(c.ctx, testService, 1); err != nil || len(a.m.HeldGroups()) != 1 {
			c.t.Errorf("second join: %v, %d groups", err, len(a.m.HeldGroups()))
		}
		if err := a.m.Join(c.ctx, "other", 1); !errkind.Is(err, errkind.UnknownService) {
			c.t.Errorf("join of an unknown service: %v", err)
		}
		if _, err := b.m.Permit(testService, 1); !errkind.Is(err, errkind.WrongOwner) {
			c.t.Errorf("permit of another host: %v", err)
		}
		g := group(c.t, a)
		p, err := a.m.Permit(testService, 1)
		remaining := time.Until(p.Until)
		if err != nil || remaining <= 0 || remaining > c.timing.LeaseDuration || p.GroupID != g.ID || p.Generation != 1 || !p.Standby.SameProcess(b.host) {
			c.t.Errorf("permit %+v, %v", p, err)
		}
		records := testRecords(c.t, c.store, "a")
		split, err := records.SplitShard(c.ctx, g, 1)
		if err != nil {
			c.t.Fatal(err)
		}
		a.m.Adopt(split, g)
		if newest, ok := a.m.NewestRecord(testService, g.ID); !ok || newest.Version != split.Version {
			c.t.Errorf("newest %+v", newest)
		}
		c.wantOwner(time.Second, 0, a)
	})
	if _, err := NewManager(ManagerOptions{}); err == nil {
		t.Error("a manager without options was created")
	}
}

// Guards against two owners under random faults: message loss, delay and
// duplication, lost store calls and responses, partitions, kills, restarts and
// hand-overs.
func TestOneOwnerUnderRandomFaults(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		violation := ""
		runCluster(t, nil, func(c *cluster, a, b, d *member) {
			c.withLock(func() { c.random = rand.New(rand.NewPCG(random.Uint64(), 2)) })
			c.store.set(func(s *faultStore) { s.random = rand.New(rand.NewPCG(random.Uint64(), 1)) })
			for i := range 12 {
				c.randomFault(random, i)
				end := time.Now().Add(700 * time.Millisecond)
				for time.Now().Before(end) {
					if c.observe() != nil {
						served++
					}
					time.Sleep(3 * time.Millisecond)
				}
			}
			violation = c.violation
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("an owner was seen %d times", served)
	if served == 0 {
		t.Error("no host ever served")
	}
}

func (c *cluster) randomFault(random *rand.Rand, i int) {
	var alive []*member
	c.withLock(func() {
		for _, p := range c.members {
			if !p.killed {
				alive = append(alive, p)
			}
		}
	})
	p := alive[random.IntN(len(alive))]
	q := alive[random.IntN(len(alive))]
	switch random.IntN(8) {
	case 0:
		p.kill()
		next := c.start(p.host.Name, uint64(100+i))
		go func() { _ = next.m.Join(c.ctx, testService, 1) }()
	case 1:
		c.isolate(p.host.Name, true)
	case 2, 3:
		c.isolate(p.host.Name, false)
	case 4:
		c.withLock(func() { c.partitions[[2]string{p.host.Name, q.host.Name}] = true })
	case 5:
		c.store.set(func(s *faultStore) { s.unavailable = !s.unavailable })
	case 6:
		for _, g := range p.m.HeldGroups() {
			go func() { _ = p.m.Relinquish(c.ctx, testService, g.ID) }()
		}
	case 7:
		go func() {
			rows, _ := testRecords(c.t, c.store, q.host.Name).List(c.ctx, testService)
			p.m.Adopt(rows...)
		}()
	}
}

type nullNetwork struct{}

func (nullNetwork) SendHeartbeat(Host, lease.Heartbeat) {}
func (nullNetwork) SendAck(Host, lease.Ack)             {}

// BenchmarkPermit measures the lease check that precedes each request.
func BenchmarkPermit(b *testing.B) {
	s := newFaultStore()
	records, err := NewRecords(RecordsOptions{Store: s})
	if err != nil {
		b.Fatal(err)
	}
	m, err := NewManager(ManagerOptions{
		Self: testHost("a", 1), Records: records, Network: nullNetwork{}, Timing: lease.DefaultTiming(),
		PickStandby: func(string, ...string) (Host, bool) { return Host{}, false },
		Service: func(name string) (note.Service, bool) {
			service := note.DefaultService(name)
			service.Shards = 100
			return service, true
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := m.Join(b.Context(), testService, 2); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		h := uint64(1)
		for pb.Next() {
			h = h*6364136223846793005 + 1442695040888963407
			if _, err := m.Permit(testService, keyspace.Hash(h)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
