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

// completion is a request in flight of the simulation, which ends at a known time.
type completion struct {
	at, start, deadline time.Time
	tenant              string
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation drives a queue in front of a server with a fixed number of slots.
type simulation struct {
	queue   *Queue
	slots   int
	service func(tenant string) time.Duration
	running completionHeap
	// inTime counts the requests that ended before their deadline, per tenant.
	inTime map[string]int
}

func (s *simulation) start(now time.Time, tenant string, deadline time.Time) {
	heap.Push(&s.running, completion{at: now.Add(s.service(tenant)), start: now, deadline: deadline, tenant: tenant})
}

type waitingRequest struct {
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
		it.Data = waitingRequest{tenant, deadline}
	}
}

func (s *simulation) advance(now time.Time) {
	for len(s.running) > 0 && !s.running[0].at.After(now) {
		f := heap.Pop(&s.running).(completion)
		if !f.at.After(f.deadline) {
			s.inTime[f.tenant]++
		}
		s.queue.Observe(f.at, f.tenant, f.at.Sub(f.start))
		if it, _ := s.queue.Pop(f.at); it != nil {
			w := it.Data.(waitingRequest)
			s.start(f.at, w.tenant, w.deadline)
		}
	}
}

// Guards against goodput collapse under overload: if requests wait until they can
// no longer finish in time, the server spends its slots on wasted work.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	const slots, mean, timeout, length = 16, 10 * time.Millisecond, 50 * time.Millisecond, 20 * time.Second
	services := map[string]func(*rand.Rand) time.Duration{
		"constant":    func(*rand.Rand) time.Duration { return mean },
		"exponential": func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) },
	}
	for name, service := range services {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			s := &simulation{queue: NewQueue(QueueOptions{}), slots: slots, inTime: map[string]int{}}
			s.service = func(string) time.Duration { return service(r) }
			gap := float64(mean) / slots / 2
			now := epoch
			for now.Before(epoch.Add(length)) {
				now = now.Add(time.Duration(r.ExpFloat64() * gap))
				s.arrive(now, fmt.Sprint(r.IntN(4)), now.Add(timeout))
			}
			total := 0
			for _, n := range s.inTime {
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

// Guards against a burst of one tenant that crowds out the requests of others.
func TestBurstOfOneTenantLeavesOthersTheirShare(t *testing.T) {
	const slots, mean, length = 8, 10 * time.Millisecond, 10 * time.Second
	r := rand.New(rand.NewPCG(3, 4))
	s := &simulation{queue: NewQueue(QueueOptions{Limit: 64}), slots: slots, inTime: map[string]int{}}
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
	t.Logf("burst %d, steady %d of %d, capacity %.0f", s.inTime["burst"], s.inTime["steady"], steady, capacity)
	if s.inTime["steady"] < steady*99/100 {
		t.Errorf("the steady tenant got %d of its %d requests through, at a quarter of the capacity", s.inTime["steady"], steady)
	}
}

// Guards against a tenant that gets more slot time because its requests are slow.
func TestSharesAreCountedInSlotTime(t *testing.T) {
	const slots, length = 8, 10 * time.Second
	s := &simulation{queue: NewQueue(QueueOptions{Limit: 64}), slots: slots, inTime: map[string]int{}}
	cost := map[string]time.Duration{"slow": 20 * time.Millisecond, "fast": 5 * time.Millisecond}
	s.service = func(tenant string) time.Duration { return cost[tenant] }
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(250 * time.Microsecond) {
		s.arrive(now, "slow", now.Add(time.Second))
		s.arrive(now, "fast", now.Add(time.Second))
	}
	slow := time.Duration(s.inTime["slow"]) * cost["slow"]
	fast := time.Duration(s.inTime["fast"]) * cost["fast"]
	if ratio := float64(slow) / float64(fast); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("slot time slow %v, fast %v", slow, fast)
	}
}

// Guards against two tenants with equal shares that displace each other's requests
// in a full queue indefinitely.
func TestEqualSharesDoNotDisplaceEachOther(t *testing.T) {
	q := NewQueue(QueueOptions{Limit: 2})
	q.Push(epoch, "a", time.Time{}, 1)
	q.Push(epoch, "b", time.Time{}, 1)
	_, displaced, err := q.Push(epoch, "a", time.Time{}, 1)
	if displaced != nil || !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("displaced %v, error %v", displaced, err)
	}
}

// Guards against unbounded memory: callers choose the tenant names.
func TestTenantsBeyondTheBoundShareOneQueue(t *testing.T) {
	q := NewQueue(QueueOptions{Limit: 1000, MaxTenants: 4})
	for i := range 500 {
		if _, _, err := q.Push(epoch, fmt.Sprint(i), time.Time{}, 1); err != nil {
			t.Fatal(err)
		}
	}
	if len(q.tenants) != 4 || len(q.ring) != 5 {
		t.Errorf("%d tenant queues, %d in the ring, want 4 and 5", len(q.tenants), len(q.ring))
	}
	for {
		if it, _ := q.Pop(epoch); it == nil {
			break
		}
	}
	q.Push(epoch.Add(tenantIdleTimeout), "new", time.Time{}, 1)
	if q.tenants["new"] == nil {
		t.Error("the queue of an idle tenant was not evicted")
	}
}

// Guards against requests that are queued although they cannot be served in time.
// They are refused immediately, with the expected wait as Retry-After.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
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
		t.Errorf("another tenant waits for one item only, but got %v", err)
	}
	if _, _, err := q.Push(epoch, "a", epoch, 1); !errkind.Is(err, errkind.DeadlinePassed) {
		t.Errorf("got %v, want deadline_passed", err)
	}
}

// Checks random operations: no item is lost, returned twice, reordered within its
// tenant or served after its deadline, and the queue stays within its bound.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		q := NewQueue(QueueOptions{Limit: limit, MaxTenants: rapid.IntRange(1, 3).Draw(t, "tenants")})
		now := epoch
		type record struct {
			queue *tenantQueue
			seq   int
		}
		queued := map[*Item]record{}
		seq := 0
		remove := func(it *Item) record {
			r, ok := queued[it]
			if !ok || it.Queued() {
				t.Fatalf("an item left the queue twice or is still linked")
			}
			delete(queued, it)
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
					queued[it] = record{it.queue, seq}
				}
			},
			"pop": func(t *rapid.T) {
				it, expired := q.Pop(now)
				for _, e := range expired {
					r := remove(e)
					if e.deadline.After(now.Add(r.queue.meanService)) {
						t.Fatalf("an item expired %v early", e.deadline.Sub(now))
					}
				}
				if it == nil {
					if len(queued) != 0 {
						t.Fatalf("Pop returned nil with %d items queued", len(queued))
					}
					return
				}
				if !it.deadline.After(now) {
					t.Fatalf("an item was served after its deadline")
				}
				r := remove(it)
				for _, o := range queued {
					if o.queue == r.queue && o.seq < r.seq {
						t.Fatalf("an item was served before an older one of its tenant")
					}
				}
			},
			"abandon": func(t *rapid.T) {
				for it := range queued {
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
				if q.Len() != len(queued) || q.Len() > limit {
					t.Fatalf("length %d, items %d, limit %d", q.Len(), len(queued), limit)
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
