package gate

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

// fencedUpstream keeps the end of each request's own grant, as a fenced
// upstream does. Its work takes a fixed time. It ignores cancellation.
type fencedUpstream struct {
	work time.Duration

	mu         sync.Mutex
	generation uint64
	ends       map[string]time.Time
	committed  map[string]time.Time
}

// newFencedFixture returns a gate whose upstream keeps grants.
func newFencedFixture(t *testing.T, work time.Duration, change func(*fixture)) (*fixture, *fencedUpstream) {
	up := &fencedUpstream{work: work, ends: map[string]time.Time{}, committed: map[string]time.Time{}}
	f := newFixture(t, change)
	f.do, f.extend = up.do, up.extend
	f.run(t)
	return f, up
}

func (up *fencedUpstream) do(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
	up.mu.Lock()
	up.generation = max(up.generation, call.Generation)
	up.ends[call.RequestID] = call.NotAfter
	up.mu.Unlock()
	done := make(chan bool, 1)
	go func() {
		time.Sleep(up.work)
		done <- up.commit(call.RequestID)
	}()
	select {
	case ok := <-done:
		if !ok {
			return nil, errkind.New(errkind.LeaseLapsed, "the grant ended")
		}
		return whole("ok"), nil
	case <-ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "cancelled: %w", ctx.Err())
	}
}

func (up *fencedUpstream) commit(id string) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if !time.Now().Before(up.ends[id]) {
		return false
	}
	up.committed[id] = time.Now()
	return true
}

func (up *fencedUpstream) endOf(id string) time.Time {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.ends[id]
}

func (up *fencedUpstream) extend(g upstream.Grant) error {
	up.mu.Lock()
	defer up.mu.Unlock()
	if g.Generation < up.generation {
		return errors.New("old generation")
	}
	up.generation = g.Generation
	for _, id := range g.RequestIDs {
		if end, ok := up.ends[id]; ok && time.Now().Before(end) && g.NotAfter.After(end) {
			up.ends[id] = g.NotAfter
		}
	}
	return nil
}

// abandon serves the request and lets its caller leave after d.
func (f *fixture) abandon(req Request, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, _ = f.serve(httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil), req)
}

// Guards against an abandoned request that keeps its shard busy for as long as
// another request of its group goes on, and against a drain that ends while
// the abandoned request may still commit.
func TestAbandonedRequestDrainsWhileItsGroupGoesOn(t *testing.T) {
	for name, left := range map[string]time.Duration{"before an extension": 100 * time.Millisecond, "after extensions": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, up := newFencedFixture(t, 3*time.Second, nil)
				long := f.async(request(""))
				lost := request("")
				lost.Hash = 7
				f.abandon(lost, left)
				abandoned := time.Now()
				c := f.CloseShards("s", []keyspace.Shard{{First: 7, Last: 7}})
				if err := c.WaitDrained(t.Context()); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(abandoned); took > leaseTime {
					t.Errorf("drained %v after the caller left, want at most %v", took, leaseTime)
				}
				if end := up.endOf(lost.ID); time.Now().Before(end) {
					t.Errorf("drained %v before the end of the abandoned request's grant", time.Until(end))
				}
				if r := <-long; r.err != nil {
					t.Errorf("the other request of the group: %v", r.err)
				}
				time.Sleep(5 * time.Second)
				if _, ok := up.committed[lost.ID]; ok || len(up.committed) != 1 {
					t.Errorf("committed %v, want the other request alone", up.committed)
				}
			})
		})
	}
}

// Guards against a drain that leaves out an extension whose acknowledgement is
// lost or late: the upstream may have taken it.
func TestUnacknowledgedExtensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.run(t)
		f.do = after(10 * time.Second)
		f.extend = func(upstream.Grant) error {
			time.Sleep(100 * time.Millisecond)
			return errors.New("no acknowledgement")
		}
		start := time.Now()
		f.abandon(request(""), 250*time.Millisecond)
		c := f.CloseService("s")
		if err := c.WaitDrained(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(f.grants) != 1 {
			t.Fatalf("%d extensions were sent, want one that is under way when the caller leaves", len(f.grants))
		}
		if end := f.grants[0].NotAfter; !time.Now().Equal(end) {
			t.Errorf("drained after %v, the extension ended after %v", time.Since(start), end.Sub(start))
		}
	})
}

// Guards against abandoned requests that stay in flight for longer than a lease
// in a group without a standby, whose lease is as long as the horizon.
func TestAbandonedRequestWithoutStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFencedFixture(t, 5*time.Second, nil)
		f.permit = func() (ownership.Permit, error) {
			p := validPermit(3)
			p.Standby, p.Until = ownership.Host{}, time.Now().Add(5*time.Second)
			return p, nil
		}
		f.abandon(request(""), time.Second)
		abandoned := time.Now()
		if err := f.CloseService("s").WaitDrained(t.Context()); err != nil || time.Since(abandoned) > leaseTime {
			t.Errorf("drained %v after the caller left (%v), want at most %v", time.Since(abandoned), err, leaseTime)
		}
		time.Sleep(5 * time.Second) // the end of the upstream's work
	})
}

// Guards against long requests that are lost when a change of standby raises
// the generation, or when an extension is lost.
func TestLongRequestsCommitAcrossGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, up := newFencedFixture(t, 4*time.Second, nil)
		start := time.Now()
		f.permit = func() (ownership.Permit, error) {
			return validPermit(3 + uint64(time.Since(start)/time.Second)), nil
		}
		// Every second extension of each request is lost.
		lost := map[string]bool{}
		f.extend = func(g upstream.Grant) error {
			up.mu.Lock()
			again := slices.ContainsFunc(g.RequestIDs, func(id string) bool { return lost[id] })
			for _, id := range g.RequestIDs {
				lost[id] = !again
			}
			up.mu.Unlock()
			if !again {
				return errors.New("lost")
			}
			return up.extend(g)
		}
		var results []<-chan result
		for range 5 {
			results = append(results, f.async(request("")))
			time.Sleep(130 * time.Millisecond)
		}
		for _, r := range results {
			if r := <-r; r.err != nil {
				t.Error(r.err)
			}
		}
		if up.generation < 6 || len(up.committed) != 5 {
			t.Errorf("generation %d, %d requests committed", up.generation, len(up.committed))
		}
	})
}

// Guards against extensions that name more requests than one message may hold,
// leave one out, or name one that was abandoned.
func TestExtensionsNameTheAwaitedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 2*upstream.MaxGrantRequests + 10
		f, up := newFencedFixture(t, 2*time.Second, func(f *fixture) {
			f.opts.Limiter = admit.NewLimiter(admit.LimiterOptions{Slots: 2 * requests})
		})
		var results []<-chan result
		for range requests {
			results = append(results, f.async(request("")))
		}
		lost := request("")
		f.abandon(lost, time.Millisecond)
		for _, r := range results {
			if r := <-r; r.err != nil {
				t.Error(r.err)
			}
		}
		for _, g := range f.grants {
			if n := len(g.RequestIDs); n == 0 || n > upstream.MaxGrantRequests || slices.Contains(g.RequestIDs, lost.ID) {
				t.Errorf("an extension names %d requests, the abandoned one: %v", n, slices.Contains(g.RequestIDs, lost.ID))
			}
		}
		if len(up.committed) != requests {
			t.Errorf("%d requests committed, want %d", len(up.committed), requests)
		}
	})
}

// Guards against extensions that outlast a request's deadline without need: a
// request that ends at its deadline has its whole grant from the start.
func TestNoExtensionBeyondTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFencedFixture(t, time.Second, nil)
		short := request("")
		short.Deadline = time.Now().Add(300 * time.Millisecond)
		f.post(short)
		if f.InFlight() != 0 || len(f.grants) != 0 {
			t.Errorf("at the deadline: %d requests in flight, %d extensions", f.InFlight(), len(f.grants))
		}
		time.Sleep(time.Second) // the end of the upstream's work
	})
}

// Guards against a request id that an extension cannot name.
func TestRequestIDIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		for n, want := range map[int]bool{upstream.MaxRequestID: true, upstream.MaxRequestID + 1: false} {
			req := request("")
			req.ID = strings.Repeat("i", n)
			_, err := f.post(req)
			if (err == nil) != want || !want && !errkind.Is(err, errkind.BadRequest) {
				t.Errorf("id of %d bytes: %v", n, err)
			}
		}
		if f.sent() != 1 {
			t.Errorf("%d requests sent, want 1", f.sent())
		}
	})
}
