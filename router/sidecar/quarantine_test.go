package sidecar

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/quarantine"
)

// crash ends the process of the upstream while it serves the request: its listener and its
// connections are closed, and it sends no more heartbeats.
func (u *testUpstream) crash(r *http.Request) bool {
	u.mu.Lock()
	u.down = true
	server := u.server
	u.mu.Unlock()
	_ = server.Listener.Close()
	go server.CloseClientConnections()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// restart starts a new incarnation at the same address.
func (u *testUpstream) restart(t *testing.T) {
	l, err := net.Listen("tcp4", u.address())
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(u.serve)}}
	server.Start()
	t.Cleanup(server.Close)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = server
	u.down, u.started, u.sequence = false, time.Now().UnixMilli(), 0
}

// deadlyCluster is a cluster of hosts whose upstreams end when they get the path of a
// request, until it is repaired.
type deadlyCluster struct {
	*cluster
	crashes  atomic.Int64
	repaired atomic.Bool
}

func newDeadlyCluster(t *testing.T, hosts int) *deadlyCluster {
	c := &deadlyCluster{cluster: newCluster(t)}
	c.change = func(s *Settings) { s.Quarantine.RepeatWaitMs = maxRepeatWaitMs } // the machine may be busy
	for i := range hosts {
		h := c.add(fmt.Sprint("h", i), "plain")
		h.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != "/look/deadly" || c.repaired.Load() {
				return false
			}
			c.crashes.Add(1)
			return h.upstream.crash(r)
		})
	}
	c.waitReady()
	return c
}

// restartCrashed restarts the upstreams that have crashed and waits until their routers
// know it.
func (c *deadlyCluster) restartCrashed() {
	c.t.Helper()
	for _, h := range c.hosts {
		h.upstream.mu.Lock()
		down := h.upstream.down
		h.upstream.mu.Unlock()
		if down {
			h.upstream.restart(c.t)
			c.eventually("the new incarnation is known", func() bool { return h.local.get().holder.Started == h.upstream.started })
		}
	}
}

// exchange sends harmless requests, so that all hosts hear of each other.
func (c *deadlyCluster) exchange(round int) {
	c.t.Helper()
	for i := range 12 * len(c.hosts) {
		id := fmt.Sprint("ok-", round, "-", i)
		if got := c.hosts[i%len(c.hosts)].request(c.t, "GET", "/look/"+id, id, ""); got.status != http.StatusOK {
			c.t.Errorf("a harmless request got %d %s", got.status, got.body)
		}
	}
}

// checkHeardOfRepair waits until no host suspects the call any more, and fails if that takes
// longer than the limit. Which hosts run the requests of exchange is not determined: a host
// that ran all of its own hears of the repair by polls only.
func (c *deadlyCluster) checkHeardOfRepair(call *Call, limit time.Duration) {
	c.t.Helper()
	begin := time.Now()
	for _, h := range c.hosts {
		c.eventually(h.settings.Host.Name+" hears of the repair", func() bool { return h.quarantine.mayRepeat(call) })
	}
	if took := time.Since(begin); took > limit {
		c.t.Errorf("all hosts had heard of the repair after %v", took)
	}
}

// Guards against a request that goes on to crash upstreams after it has crashed three,
// whichever host it comes from, against crashes by repetition, against the refusal of other
// requests, and against a repaired release that does not serve it.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	t.Parallel()
	c := newDeadlyCluster(t, 5)
	deadly := &Call{Service: "plain", Method: "GET", Host: "test", Target: "/look/deadly?x=1"}
	send := func(i int) response {
		return c.hosts[i%5].request(t, "GET", "/look/deadly?x=1", fmt.Sprint("deadly-", i), "")
	}
	for i := range 10 {
		before := c.crashes.Load()
		got := send(i)
		crashed := c.crashes.Load() - before
		if crashed > 1 || (i >= 3) != (crashed == 0) {
			t.Fatalf("request %d crashed %d upstreams", i, crashed)
		}
		wait, err := strconv.ParseFloat(got.header.Get(testHeaders.RetryAfter), 64)
		refused := got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "quarantined") && err == nil && wait > 1
		if (crashed == 0) != refused || (crashed == 1 && got.status != http.StatusBadGateway) {
			t.Fatalf("request %d: %d crashes, got %d %v %s", i, crashed, got.status, got.header, got.body)
		}
		c.restartCrashed()
		if i < 4 {
			c.exchange(i)
		}
	}
	if got := c.hosts[1].request(t, "GET", "/look/deadly?x=2", "other-query", ""); got.status != http.StatusBadGateway {
		t.Errorf("another query: %d %s", got.status, got.body)
	}
	c.restartCrashed()
	for _, h := range c.hosts {
		if h.quarantine.mayRepeat(deadly) {
			t.Errorf("%s does not suspect the request", h.settings.Host.Name)
		}
	}
	c.repaired.Store(true)
	n := 100
	c.eventually("the repaired release serves it", func() bool { n++; return send(n).status == http.StatusOK })
	c.exchange(n)
	c.checkHeardOfRepair(deadly, 4*time.Second)
	for i := range c.hosts {
		if got := send(200 + i); got.status != http.StatusOK {
			t.Errorf("host %d refuses the repaired request: %d %s", i, got.status, got.body)
		}
	}
}

// Guards against harmless requests that are not served because they were in progress at the
// upstream that a deadly one crashed, against a deadly one that is repeated, and against
// requests that must not run twice and do.
func TestRequestsBesideDeadlyOneAreServed(t *testing.T) {
	t.Parallel()
	c := newDeadlyCluster(t, 2)
	crashed := make(chan struct{})
	inProgress := make([]atomic.Int64, len(c.hosts)) // repeatable ones by host
	for i, h := range c.hosts {
		deadly := h.upstream.handler
		h.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/look/deadly" {
				return deadly(w, r)
			}
			if r.URL.Path == "/look/beside" {
				inProgress[i].Add(1)
			}
			select {
			case <-crashed:
			case <-r.Context().Done():
			}
			return false
		})
	}
	var wg sync.WaitGroup
	n := 0
	send := func(path string) {
		id := fmt.Sprint("beside-", n)
		from := c.hosts[n%len(c.hosts)]
		n++
		wg.Go(func() {
			got := from.request(t, "GET", path, id, "")
			runs := 0
			for _, h := range c.hosts {
				runs += h.upstream.runCount(id)
			}
			if path == "/look/beside" && got.status != http.StatusOK {
				t.Errorf("%s got %d %s", id, got.status, got.body)
			}
			if path == "/pay/beside" && runs > 1 {
				t.Errorf("%s, which must not run twice, ran %d times", id, runs)
			}
		})
	}
	send("/pay/beside")
	c.eventually("repeatable requests run at each host", func() bool { // one host has 4 slots
		at := [...]int64{inProgress[0].Load(), inProgress[1].Load()}
		if n < 6 && at[0]+at[1] == int64(n-1) && min(at[0], at[1]) == 0 {
			send("/look/beside")
		}
		return min(at[0], at[1]) > 0
	})
	wg.Go(func() {
		if got := c.hosts[0].request(t, "GET", "/look/deadly", "deadly", ""); got.status != http.StatusBadGateway || c.crashes.Load() != 1 {
			t.Errorf("the deadly request got %d, %d crashes", got.status, c.crashes.Load())
		}
	})
	c.eventually("the deadly request and another one wait", func() bool {
		return c.hosts[0].quarantine.repeatWaits.Load()+c.hosts[1].quarantine.repeatWaits.Load() > 1
	})
	close(crashed)
	for range c.hosts {
		send("/look/beside") // its completion clears the target
	}
	wg.Wait()
}

// Guards against evidence from connections that are cut and from announced ends, and
// against crashes that are not noticed.
func TestEvidenceOfCrashes(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]bool{"crash": true, "cut": false, "announced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "plain")
			c.waitReady()
			h := c.hosts[0]
			if name == "announced" {
				h.Withdraw(Withdrawal{Instance: h.upstream.id})
			}
			h.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
				if name == "cut" {
					panic(http.ErrAbortHandler)
				}
				return h.upstream.crash(r)
			})
			h.request(t, "GET", "/look/a", "a", "")
			if got := h.gate.quarantine.active.Load(); got != want {
				t.Errorf("suspects: %v, want %v", got, want)
			}
		})
	}
}

// Guards against a report that an upstream writes or that does not reach the other router,
// and against a kind that a router of an earlier version takes for an unknown outcome.
func TestSuspectsTravelWithResponses(t *testing.T) {
	q := newTestQuarantine()
	q.suspectEverything(1)
	handler := &hopHandler{config: &currentConfig{}, quarantine: q}
	head := handler.responseHead(&Result{Status: 200, Header: http.Header{suspectsField: {"upstream's"}}})
	r := hopResult(&hop.Response{ResponseHead: head, Body: http.NoBody}, testHeaders, &Call{})
	other := newTestQuarantine()
	other.merge(r.Suspects, "h")
	if other.mayRepeat(&Call{Target: "/a"}) || r.Header.Get(suspectsField) != "" {
		t.Errorf("report %q, header %v", r.Suspects, r.Header)
	}
	head = handler.responseHead(errorResult(errkind.Quarantined, "detail"))
	if errkind.ResponseOf(errkind.Kind(head.Kind)).Outcome != errkind.NotRun {
		t.Errorf("kind in the head: %s", head.Kind)
	}
}

// Guards against a host that does not hear for long which requests crash upstreams, and which
// no longer do, because it gets one response where others get hundreds.
func TestRareResponseCarriesNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine()
		var often, rarely uint64
		respond := func(reported *uint64) bool { return q.report(&Result{reported: reported}) != "" }
		change := func(news func()) {
			news()
			time.Sleep(3 * time.Second) // the news are no longer urgent
			reports := 0
			for range 500 {
				if respond(&often) {
					reports++
				}
				time.Sleep(2 * time.Millisecond)
			}
			if reports > 12 {
				t.Errorf("%d reports in a second to a host that gets 500 responses", reports)
			}
			respond(&often)
			if !respond(&rarely) {
				t.Error("the first response after a change has no report")
			}
			if respond(&rarely) {
				t.Error("the second response has a report as well")
			}
		}
		change(func() { q.suspectEverything(3) })
		change(func() { q.completed(&Call{Target: "/a"}) })
	})
}

// Guards against a host that goes on to refuse, or to send, a request that crashes upstreams
// because it gets no responses of other hosts: its requests run at its own upstream.
func TestHostWithoutResponsesHearsOfSuspects(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain", "plain")
	c.waitReady()
	call := &Call{Target: "/a"}
	all := func(holds func(q *quarantineDriver) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(c.hosts, func(h *testHost) bool { return !holds(h.quarantine) })
		}
	}
	c.hosts[0].quarantine.suspectEverything(3)
	c.eventually("all hosts refuse the request", all(func(q *quarantineDriver) bool { _, err := q.atEntry(call); return err != nil }))
	c.hosts[0].quarantine.completed(call)
	// A trial that is due would not be refused either.
	c.eventually("all hosts know that the request is repaired", all(func(q *quarantineDriver) bool { return q.mayRepeat(call) }))
}

// Guards against a router that fails where the quarantine is switched off.
func TestQuarantineSwitchedOff(t *testing.T) {
	settings := DefaultSettings()
	for ms, valid := range map[int]bool{-1: false, 0: true, maxRepeatWaitMs: true, maxRepeatWaitMs + 1: false} {
		settings.Quarantine.RepeatWaitMs = ms
		if got := !strings.Contains(settings.Check().Error(), "quarantine.repeat_wait_ms"); got != valid {
			t.Errorf("repeat_wait_ms = %d: valid %v, want %v", ms, got, valid)
		}
	}
	settings.Quarantine.Enabled = false
	q := (&Sidecar{settings: settings}).buildQuarantine()
	c, r := &Call{}, &Result{lost: true}
	_, atEntry := q.atEntry(c)
	q.sent(c, keyrange.Holder{})
	q.ended(t.Context(), c, r)
	q.leave(c)
	q.heartbeat(upstreamState{known: true}, upstreamState{}, heartbeatCurrent)
	q.responded(c, &Result{Suspects: "x"}, "h")
	c.Repeatable, r.Err = true, errkind.New(errkind.OutcomeUnknown, "lost")
	if err := cmp.Or(atEntry, q.enter(t.Context(), c), q.recheck(c)); err != nil || !q.mayRepeat(c) || !q.mayRepeatAfter(t.Context(), c, r) || q.report(r) != "" {
		t.Errorf("refused or reported: %v", err)
	}
}

func newTestQuarantine() *quarantineDriver {
	return &quarantineDriver{host: "h", local: &localUpstream{}, scope: tally.NoopScope, set: quarantine.NewSet("h"),
		alone: map[quarantine.Fingerprint]chan struct{}{}, merged: map[string]string{}}
}

// suspectEverything records crashes of which a call for /a was lost.
func (q *quarantineDriver) suspectEverything(crashes int) {
	for i := range crashes {
		state := upstreamState{known: true, holder: keyrange.Holder{Started: int64(i)}}
		c := &Call{Target: "/a"}
		q.sent(c, state.holder)
		q.lost(c)
		q.upstreamEnded(state)
	}
}

// Guards against long bodies that are taken for each other, or that lose their begin when it
// is compared.
func TestFingerprintOfLongBody(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*quarantine.MaxBodyBytes)
	for _, early := range []bool{false, true} {
		b := &bodyStream{src: bytes.NewReader(long)}
		if _, complete := b.prefixHash(early); complete != early {
			t.Errorf("hash before the body is sent: %v, want %v", complete, early)
		}
		data, err := io.ReadAll(b)
		if got, _ := b.prefixHash(false); got != quarantine.HashBody(long) || err != nil || !bytes.Equal(data, long) {
			t.Errorf("hash %x; %d bytes, %v", got, len(data), err)
		}
	}
}

// BenchmarkQuarantine measures what the quarantine adds to a request.
func BenchmarkQuarantine(b *testing.B) {
	for _, suspects := range []int{0, 1} {
		b.Run(fmt.Sprint("suspects=", suspects), func(b *testing.B) {
			q := newTestQuarantine()
			q.suspectEverything(suspects)
			c := &Call{Service: "plain", Method: "GET", Host: "test", Target: "/look/some/target?with=query", Body: make([]byte, 16<<10)}
			r := &Result{}
			b.ReportAllocs()
			for b.Loop() {
				_, err1 := q.atEntry(c)
				err2, err3 := q.enter(b.Context(), c), q.recheck(c)
				if err := cmp.Or(err1, err2, err3); err != nil {
					b.Fatal(err)
				}
				q.sent(c, keyrange.Holder{Host: "h", Instance: "i", Started: 1})
				q.ended(b.Context(), c, r)
				q.leave(c)
				_ = q.report(r)
				q.merge("", "h")
			}
		})
	}
}
