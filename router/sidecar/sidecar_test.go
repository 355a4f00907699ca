package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against requests that are altered on their way through two routers, and against
// callers that choose their own service name.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	body := strings.Repeat("p", 1500)
	got := c.hosts[1].request(t, "POST", "/pay//a/../b?x=%20y", "r1", body, "Caller", "somebody", "X-Other", "kept", "Expect-Instance", "wrong")
	want := "i-h0 POST /pay//a/../b?x=%20y " + body
	if got.status != 200 || got.body != want {
		t.Fatalf("got %d %q", got.status, got.body)
	}
	if got.header.Get("Signature") != "signed-by-i-h0" || got.header.Get("Request-Id") != "r1" {
		t.Errorf("header %v", got.header)
	}
	seen := c.hosts[0].upstream.headers[0]
	if seen.Get("Caller") != "keyed" || seen.Get("X-Other") != "kept" {
		t.Errorf("the upstream saw %v", seen)
	}
	if ms, err := strconv.Atoi(seen.Get("Deadline")); err != nil || ms > 4000 || ms < 1000 {
		t.Errorf("deadline %q", seen.Get("Deadline"))
	}
}

// Guards against duplicated payments: an upstream that ran a request and lost its
// response must not get it again, and the caller must not be told that it did not run.
func TestRequestWithLostResponseIsNotRepeated(t *testing.T) {
	t.Parallel()
	for name, handler := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"closed": func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) },
		"cut": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Signature", "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
		"not signed": func(w http.ResponseWriter, _ *http.Request) bool { _, _ = io.WriteString(w, "ok"); return true },
		"status that wrongly implies that it did not run": func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"garbage": func(w http.ResponseWriter, _ *http.Request) bool {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "!! no answer !!\r\n\r\n")
				_ = conn.Close()
			}
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "plain", "plain", "keyed")
			c.waitReady()
			for _, h := range c.hosts {
				h.upstream.setHandler(handler)
			}
			got := c.hosts[2].request(t, "POST", "/pay/1", "p1", "1")
			runs := c.hosts[0].upstream.runCount("p1") + c.hosts[1].upstream.runCount("p1")
			if runs != 1 || got.status != http.StatusBadGateway {
				t.Errorf("status %d after %d runs; want 502 after 1", got.status, runs)
			}
			got = c.hosts[2].request(t, "GET", "/look/1", "l1", "")
			if runs := c.hosts[0].upstream.runCount("l1") + c.hosts[1].upstream.runCount("l1"); runs != 2 || got.status != http.StatusBadGateway {
				t.Errorf("repeatable: status %d after %d runs; want 502 after 2", got.status, runs)
			}
		})
	}
}

// Guards against avoidable refusals: a request that an upstream refused is offered to
// another one, even if it is not repeatable.
func TestRefusedRequestIsOfferedToAnotherUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain", "keyed")
	c.waitReady()
	refuse := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	c.hosts[0].upstream.setHandler(refuse)
	if got := c.hosts[2].request(t, "POST", "/pay/1", "p1", "1"); got.status != 200 || !strings.HasPrefix(got.body, "i-h1") {
		t.Errorf("got %d %q", got.status, got.body)
	}
	c.hosts[1].upstream.setHandler(refuse)
	got := c.hosts[2].request(t, "POST", "/pay/2", "p2", "1")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q; want 503 with a delay", got.status, got.header.Get("Retry-After"))
	}
}

// Guards against two holders of a key and against keys without one: each key is served by
// the upstream that holds it, whichever host receives the request.
func TestKeyedRequestsAreRunByHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "keyed", "keyed", "plain")
	c.waitReady()
	c.waitKeysHeld()
	for key := 0; key <= 65535; key += 4369 {
		holder := ""
		for _, h := range c.hosts[:2] {
			for _, g := range h.upstream.heldGrants() {
				if key >= int(g.From) && key <= int(g.To) {
					holder += h.upstream.id
				}
			}
		}
		for i, h := range c.hosts {
			got := h.request(t, "GET", "/keys/x", fmt.Sprintf("k%d-%d", key, i), "", "Key", strconv.Itoa(key))
			if got.status != 200 || !strings.HasPrefix(got.body, holder+" ") {
				t.Errorf("key %d by %s: got %d %q, holder %s", key, h.settings.Host.Name, got.status, got.body, holder)
			}
		}
	}
	if got := c.hosts[2].request(t, "GET", "/keys/x", "bad", "", "Key", "65536"); got.status != http.StatusBadRequest {
		t.Errorf("key out of range: got %d", got.status)
	}
}

// Guards against keys that are unavailable while a router restarts beside an upstream
// that continues to run.
func TestStoppingRouterHandsKeysOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "keyed", "keyed", "keyed")
	c.waitReady()
	totalHeld := func() int {
		n := 0
		for _, h := range c.hosts {
			n += len(h.upstream.heldGrants())
		}
		return n
	}
	c.waitKeysHeld()
	first := c.hosts[0]
	first.cancel()
	<-first.done
	m, _ := c.hosts[1].index.get("keyed")
	if m.HasHolder("h0") {
		t.Error("the stopped host still holds keys")
	}
	if len(first.upstream.heldGrants()) != 0 || totalHeld() != 3*maxInitialRangesPerMember {
		t.Errorf("the upstream of the stopped host holds %d ranges, all together %d", len(first.upstream.heldGrants()), totalHeld())
	}
}

// Guards against keys that stay with an upstream that has announced that it leaves.
func TestKeysMoveWhenUpstreamLeaves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "keyed", "keyed")
	c.waitReady()
	c.waitKeysHeld()
	first := c.hosts[0]
	first.Withdraw(Withdrawal{Instance: first.upstream.id})
	c.eventually("the other upstream holds all keys", func() bool {
		return len(first.upstream.heldGrants()) == 0 && len(c.hosts[1].upstream.heldGrants()) == 2*maxInitialRangesPerMember
	})
}

// Guards against new requests to an upstream that has announced that it leaves.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain", "keyed")
	c.waitReady()
	first := c.hosts[0]
	first.Withdraw(Withdrawal{Instance: first.upstream.id})
	c.eventually("others know", func() bool {
		return c.hosts[2].fleet.Host("h0").Member().State != "ready"
	})
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		if got := c.hosts[2].request(t, "GET", "/look/x", id, ""); got.status != 200 || first.upstream.runCount(id) != 0 {
			t.Errorf("status %d, %d runs at the leaving upstream", got.status, first.upstream.runCount(id))
		}
	}
}

// Guards against a configuration that is not in force on all hosts, or that reverts to an
// earlier one.
func TestConfigurationComesIntoForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	if got := c.hosts[1].request(t, "GET", "/new/1", "a", ""); got.status != http.StatusNotFound {
		t.Errorf("before: got %d", got.status)
	}
	c.publish("2")
	c.eventually("the new route is served", func() bool {
		return c.hosts[1].request(t, "GET", "/new/1", "b", "").status == 200
	})
	c.publish("1")
	c.publish("not a version")
	c.publish("3")
	c.eventually("version 3", func() bool { return c.hosts[1].config.version() == 3 })
	if got := c.hosts[1].request(t, "GET", "/new/1", "c", ""); got.status != 200 {
		t.Errorf("after: got %d", got.status)
	}
}

// Guards against a planned stop that cuts off a request in progress.
func TestStopFinishesRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	began, release := make(chan bool, 1), make(chan bool)
	c.hosts[0].upstream.setHandler(func(http.ResponseWriter, *http.Request) bool {
		began <- true
		<-release
		return false
	})
	result := make(chan response, 1)
	go func() { result <- c.hosts[1].request(t, "POST", "/pay/1", "p1", "1") }()
	<-began
	c.hosts[0].cancel()
	c.hosts[1].cancel()
	c.eventually("not ready", func() bool { return !c.hosts[0].Ready() && !c.hosts[1].Ready() })
	release <- true
	if got := <-result; got.status != 200 {
		t.Errorf("got %d", got.status)
	}
}

// Guards against requests that continue after their callers have left.
func TestLeavingCallerCancelsRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	began, ended := make(chan bool, 1), make(chan bool, 1)
	c.hosts[0].upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		began <- true
		<-r.Context().Done()
		ended <- true
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+c.hosts[1].settings.Listen.Caller+"/look/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "test"
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	left := make(chan error, 1)
	go func() {
		_, err := transport.RoundTrip(req)
		left <- err
	}()
	<-began
	cancel()
	<-ended
	if err := <-left; err == nil {
		t.Error("the caller got a response")
	}
}

// Guards against requests that fail because their host has not read the newest key map:
// the host that refuses the key names the holder.
func TestRefusalNamesTheHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "keyed", "keyed", "plain")
	c.waitReady()
	c.waitKeysHeld()
	m, version := c.hosts[2].index.get("keyed")
	outdated := m.Clone()
	for i := range outdated.Ranges {
		outdated.Ranges[i].Holder.Host = "h0"
	}
	c.hosts[2].index.put("keyed", version+1_000_000, outdated)
	for key := 0; key <= 65535; key += 4369 {
		got := c.hosts[2].request(t, "GET", "/keys/x", fmt.Sprintf("k%d", key), "", "Key", strconv.Itoa(key))
		if got.status != 200 {
			t.Errorf("key %d: got %d %s", key, got.status, got.body)
		}
	}
}

// Guards against a refusal that says "not run" although an earlier attempt of the same
// request has run and failed at its upstream.
func TestRefusalAfterFailedRunDoesNotSayNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain", "keyed")
	c.waitReady()
	var arrivals atomic.Int64
	for _, h := range c.hosts[:2] {
		h.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			if arrivals.Add(1) == 1 {
				w.Header().Set(testHeaders.Signature, "signed")
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			w.Header().Set(testHeaders.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	got := c.hosts[2].request(t, "GET", "/look/1", "r1", "")
	if arrivals.Load() < 2 {
		t.Fatalf("%d arrivals, want a second attempt", arrivals.Load())
	}
	if got.status != http.StatusBadGateway {
		t.Errorf("got %d %q after a run that failed, want 502", got.status, got.body)
	}
}
