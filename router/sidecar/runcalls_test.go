package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/dependency"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/vhost"
)

// callingCluster has a host h0 whose upstream calls the service of h1 for each run of the
// route look, and h1, which refuses these calls while refusing is set.
type callingCluster struct {
	*cluster
	refusing atomic.Bool
	ids      atomic.Int64
}

func newCallingCluster(t *testing.T) *callingCluster {
	c := &callingCluster{cluster: newCluster(t)}
	c.change = func(s *Settings) { s.Calls.Enabled = true }
	c.add("h0", "plain")
	c.add("h1", "keyed")
	h0, h1 := c.hosts[0], c.hosts[1]
	h1.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		if c.refusing.Load() {
			w.Header().Set(testHeaders.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		return false
	})
	h0.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/look/call") {
			return false
		}
		id := r.Header.Get(testHeaders.RequestID)
		if r := h0.request(t, "GET", "/keys/x", id+"/1", "", testHeaders.Key, "7"); r.status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		return false
	})
	c.waitReady()
	c.eventually("h1 holds the key", func() bool {
		return h0.request(t, "GET", "/keys/x", "probe", "", testHeaders.Key, "7").status == http.StatusOK
	})
	return c
}

// run sends a request whose run makes a call.
func (c *callingCluster) run(extra ...string) response {
	return c.hosts[0].request(c.t, "POST", "/look/call", fmt.Sprint("run", c.ids.Add(1)), "", extra...)
}

// Guards against a call that the called host does not recognise, and against a caller that
// passes its request off as a call.
func TestCallOfRunIsMarkedBetweenRouters(t *testing.T) {
	c := newCallingCluster(t)
	gate := c.hosts[1].gate
	if r := c.run(); r.status != http.StatusOK {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	head := requestHead(testHeaders, &Call{ofRun: callOfRun{known: true, neededBefore: 70 * time.Millisecond}, Deadline: time.Now().Add(time.Second)}, time.Now())
	got := (&hopHandler{gate: gate, headers: testHeaders}).decodeCall(&hop.Request{RequestHead: head}, time.Now())
	if !got.ofRun.known || got.ofRun.neededBefore != 128*time.Millisecond || got.Header.Get(runField) != "" {
		t.Errorf("got %+v with the header %v, want a call whose response is needed 128 ms before its deadline", got.ofRun, got.Header)
	}
	forged := requestHead(testHeaders, &Call{Header: http.Header{runField: {"1"}}, Deadline: time.Now().Add(time.Second)}, time.Now())
	if got := (&hopHandler{gate: gate, headers: testHeaders}).decodeCall(&hop.Request{RequestHead: forged}, time.Now()); got.ofRun.known {
		t.Error("a field of a caller made its request a call of a run")
	}
}

// Guards against runs that are started, and lost, while the service that they call refuses
// all calls, against requests of other routes that are refused with them, and against a
// limit that stays when the service has recovered.
func TestRunsAreLimitedWhileTheirCallsAreRefused(t *testing.T) {
	c := newCallingCluster(t)
	h0 := c.hosts[0]
	c.refusing.Store(true)
	lost, refused := 0, 0
	for range 40 {
		r := c.run()
		switch {
		case r.status == http.StatusInternalServerError:
			lost++
		// The kind is overloaded if connections to h1 timed out as well.
		case r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "calls to keyed, which the request would make, are refused"):
			refused++
			if r.header.Get(testHeaders.RetryAfter) == "" {
				t.Error("a refusal does not say when to come back")
			}
		default:
			t.Fatalf("status %d: %s", r.status, r.body)
		}
	}
	if refused < 20 {
		t.Errorf("%d of 40 runs were refused and %d started, want most of them refused", refused, lost)
	}
	if r := h0.request(t, "POST", "/pay/1", "other", ""); r.status != http.StatusOK {
		t.Errorf("a request of another route got %d: %s", r.status, r.body)
	}
	c.refusing.Store(false)
	served := 0
	c.eventually("runs are served again", func() bool {
		if c.run().status == http.StatusOK {
			served++
		} else {
			served = 0
		}
		return served == 10
	})
}

// BenchmarkGateWithoutCalls measures what a request that makes no calls, and is none, costs
// more because calls are recognised: its bound is 1 microsecond.
func BenchmarkGateWithoutCalls(b *testing.B) {
	config := &currentConfig{}
	table, err := vhost.NewTable(must(decodeTestConfig([]byte("1"))))
	if err != nil {
		b.Fatal(err)
	}
	config.table.Store(table)
	d := &runCallsDriver{parentID: testParentID, config: config, tracker: dependency.NewTracker(), limited: map[string]bool{}}
	release, start := func(admit.Result) {}, time.Now()
	for _, callers := range []bool{false, true} {
		b.Run(fmt.Sprintf("other_routes_make_calls=%v", callers), func(b *testing.B) {
			if callers { // the limits of some other route are known
				run := &dependency.Run{ID: "r", Request: &Call{calls: d, route: &vhost.Route{Name: "pay"}}, Deadline: time.Now().Add(time.Minute)}
				d.tracker.Start(run)
				d.tracker.Call(time.Now(), "r", "keyed")
				d.tracker.End(time.Now(), run, true)
				d.active.Store(true)
			}
			for i := range 5 {
				d.tracker.Start(&dependency.Run{ID: fmt.Sprint(i)})
			}
			c := &Call{RequestID: "1b1695ca47561e0c", Method: "GET", Host: "test", Target: "/look/1?q=1"}
			b.ReportAllocs()
			for b.Loop() {
				c.routeLookedUp, c.lookedUpRoute = false, nil
				d.link(c, start)
				if err := d.admit(c); err != nil {
					b.Fatal(err)
				}
				_ = c.waitBounds(0)
				d.started(c, release)(admit.Completed)
				d.ended(c, nil)
			}
		})
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
