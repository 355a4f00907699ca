package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// finish is a running request of the simulation.
type finish struct {
	at, start, deadline time.Time
	tenant              string
}

type finishHeap []finish

func (h finishHeap) Len() int           { return len(h) }
func (h finishHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h finishHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *finishHeap) Push(x any)        { *h = append(*h, x.(finish)) }
func (h *finishHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation drives a queue in front of a server with a fixed number of slots.
type simulation struct {
	queue   *Queue
	slots   int
	service func(tenant string) time.Duration
	running finishHeap
	// good counts requests that ended within their deadline.
	good map[string]int
}

func (s *simulation) start(now time.Time, tenant string, deadline time.Time) {
	heap.Push(&s.running, finish{at: now.Add(s.service(tenant)), start: now, deadline: deadline, tenant: tenant})
}

type waiting struct {
	tenant   string
	deadline time.Time
}

func (s *simulation) arrive(now time.Time, tenant string, deadline time.Time) {
	s.advance(now)
	if s.queue.Len() == 0 && len(s.running) < s.slots {
		s.start(now, tenant, deadline)
		return
	}
	it, _, err := s.queue.Push(now, tenant, deadline, s.slots)
	if err == nil {
		it.Data = waiting{tenant, deadline}
	}
}

func (s *simulation) advance(now time.Time) {
	for len(s.running) > 0 && !s.running[0].at.After(now) {
		f := heap.Pop(&s.running).(finish)
		if !f.at.After(f.deadline) {
			s.good[f.tenant]++
		}
		s.queue.Observe(f.at, f.tenant, f.at.Sub(f.start))
		if it, _ := s.queue.Pop(f.at); it != nil {
			w := it.Data.(waiting)
			s.start(f.at, w.tenant, w.deadline)
		}
	}
}

// Guards against goodput collapse: a queue that lets requests wait until they
// can no longer finish in time keeps the server busy with useless work.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	const slots, mean, patience, length = 16, 10 * time.Millisecond, 50 * time.Millisecond, 20 * time.Second
	services := map[string]func(*rand.Rand) time.Duration{
		"constant":    func(*rand.Rand) time.Duration { return mean },
		"exponential": func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) },
	}
	for name, service := range services {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			s := &simulation{queue: NewQueue(QueueOptions{}), slots: slots, good: map[string]int{}}
			s.service = func(string) time.Duration { return service(r) }
			gap := float64(mean) / slots / 2
			now := epoch
			for now.Before(epoch.Add(length)) {
				now = now.Add(time.Duration(r.ExpFloat64() * gap))
				s.arrive(now, fmt.Sprint(r.IntN(4)), now.Add(patience))
			}
			total := 0
			for _, n := range s.good {
				total += n
			}
			capacity := float64(length) / float64(mean) * slots
			t.Logf("goodput %.1f%% of capacity", 100*float64(total)/capacity)
			if float64(total) < 0.9*capacity {
				t.Errorf("%d requests in time, want at least 90%% of %.0f", total, capacity)
			}
		})
	}
}

// Guards against a tenant's burst that keeps the requests of others out.
func TestBurstOfOneTenantLeavesOthersTheirShare(t *testing.T) {
	const slots, mean, length = 8, 10 * time.Millisecond, 10 * time.Second
	r := rand.New(rand.NewPCG(3, 4))
	s := &simulation{queue: NewQueue(QueueOptions{Limit: 64}), slots: slots, good: map[string]int{}}
	s.service = func(string) time.Duration { return mean }
	capacity := float64(length) / float64(mean) * slots
	steady := 0
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(mean / slots / 4) {
		tenant := "burst"
		if r.IntN(16) == 0 {
			tenant = "steady"
			steady++
		}
		s.arrive(now, tenant, now.Add(200*time.Millisecond))
	}
	t.Logf("burst %d, steady %d of %d, capacity %.0f", s.good["burst"], s.good["steady"], steady, capacity)
	if s.good["steady"] < steady*99/100 {
		t.Errorf("the steady tenant got %d of its %d requests through, at a quarter of the capacity", s.good["steady"], steady)
	}
}

// Guards against a tenant that gets more slot time by sending slow requests.
func TestSharesAreCountedInSlotTime(t *testing.T) {
	const slots, length = 8, 10 * time.Second
	s := &simulation{queue: NewQueue(QueueOptions{Limit: 64}), slots: slots, good: map[string]int{}}
	cost := map[string]time.Duration{"slow": 20 * time.Millisecond, "fast": 5 * time.Millisecond}
	s.service = func(tenant string) time.Duration { return cost[tenant] }
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(250 * time.Microsecond) {
		s.arrive(now, "slow", now.Add(time.Second))
		s.arrive(now, "fast", now.Add(time.Second))
	}
	slow := time.Duration(s.good["slow"]) * cost["slow"]
	fast := time.Duration(s.good["fast"]) * cost["fast"]
	if ratio := float64(slow) / float64(fast); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("slot time slow %v, fast %v", slow, fast)
	}
}

// Guards against two tenants with equal shares that push each other out of a
// full queue without end.
func TestEqualSharesDoNotDisplaceEachOther(t *testing.T) {
	q := NewQueue(QueueOptions{Limit: 2})
	q.Push(epoch, "a", time.Time{}, 1)
	q.Push(epoch, "b", time.Time{}, 1)
	_, displaced, err := q.Push(epoch, "a", time.Time{}, 1)
	if displaced != nil || !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("displaced %v, error %v", displaced, err)
	}
}

// Guards against unbounded memory from caller-chosen tenant names.
func TestTenantsBeyondTheBoundShareOneClass(t *testing.T) {
	q := NewQueue(QueueOptions{Limit: 1000, MaxTenants: 4})
	for i := range 500 {
		if _, _, err := q.Push(epoch, fmt.Sprint(i), time.Time{}, 1); err != nil {
			t.Fatal(err)
		}
	}
	if len(q.classes) != 4 || len(q.ring) != 5 {
		t.Errorf("%d classes, %d in the ring, want 4 and 5", len(q.classes), len(q.ring))
	}
	for {
		if it, _ := q.Pop(epoch); it == nil {
			break
		}
	}
	q.Push(epoch.Add(tenantIdle), "new", time.Time{}, 1)
	if q.classes["new"] == nil {
		t.Error("an idle tenant's class was not reused")
	}
}

// Guards against entries that wait without a chance: they are refused at once
// and told how long the wait is.
func TestEntryThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	q := NewQueue(QueueOptions{})
	q.Observe(epoch, "a", 100*time.Millisecond)
	for range 10 {
		if _, _, err := q.Push(epoch, "a", epoch.Add(time.Minute), 1); err != nil {
			t.Fatal(err)
		}
	}
	_, _, err := q.Push(epoch, "a", epoch.Add(time.Second), 1)
	if !errkind.Is(err, errkind.Overloaded) || err.(*errkind.Error).RetryAfter < time.Second {
		t.Errorf("got %v, want overloaded with the expected wait", err)
	}
	if _, _, err := q.Push(epoch, "b", epoch.Add(time.Second), 1); err != nil {
		t.Errorf("another tenant waits for one entry only, but got %v", err)
	}
	if _, _, err := q.Push(epoch, "a", epoch, 1); !errkind.Is(err, errkind.DeadlinePassed) {
		t.Errorf("got %v, want deadline_passed", err)
	}
}

// Guards against lost, repeated, reordered or late entries and against a queue
// above its bound.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		q := NewQueue(QueueOptions{Limit: limit, MaxTenants: rapid.IntRange(1, 3).Draw(t, "tenants")})
		now := epoch
		type record struct {
			class *class
			seq   int
		}
		inside := map[*Item]record{}
		seq := 0
		remove := func(it *Item) record {
			r, ok := inside[it]
			if !ok || it.Queued() {
				t.Fatalf("an entry left the queue twice or is still linked")
			}
			delete(inside, it)
			return r
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tenant := rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "tenant")
				deadline := now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "patience")) * time.Millisecond)
				it, displaced, err := q.Push(now, tenant, deadline, 2)
				if displaced != nil {
					remove(displaced)
				}
				if err == nil {
					seq++
					inside[it] = record{it.class, seq}
				}
			},
			"pop": func(t *rapid.T) {
				it, expired := q.Pop(now)
				for _, e := range expired {
					r := remove(e)
					if e.deadline.After(now.Add(r.class.service)) {
						t.Fatalf("an entry expired %v early", e.deadline.Sub(now))
					}
				}
				if it == nil {
					if len(inside) != 0 {
						t.Fatalf("Pop returned nothing with %d entries inside", len(inside))
					}
					return
				}
				if !it.deadline.After(now) {
					t.Fatalf("an entry was served past its deadline")
				}
				r := remove(it)
				for _, o := range inside {
					if o.class == r.class && o.seq < r.seq {
						t.Fatalf("an entry overtook an older one of its class")
					}
				}
			},
			"abandon": func(t *rapid.T) {
				for it := range inside {
					q.Remove(it)
					q.Remove(it)
					remove(it)
					return
				}
			},
			"observe": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond
				q.Observe(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), took)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "step")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(inside) || q.Len() > limit {
					t.Fatalf("length %d, entries %d, limit %d", q.Len(), len(inside), limit)
				}
			},
		})
	})
}

func BenchmarkQueuePushPop(b *testing.B) {
	q := NewQueue(QueueOptions{})
	tenants := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	deadline := epoch.Add(time.Hour)
	for i := range 128 {
		q.Push(epoch, tenants[i%len(tenants)], deadline, 16)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, err := q.Push(epoch, tenants[i%len(tenants)], deadline, 16); err != nil {
			b.Fatal(err)
		}
		q.Pop(epoch)
	}
}
