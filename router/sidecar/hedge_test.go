package sidecar

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/vhost"
)

// hedgeTest is an entry without a network. The hosts a and b respond after the given times.
type hedgeTest struct {
	*entry
	call      *Call
	took      [2]time.Duration
	result    [2]Result
	cancelled [2]bool
	open      [2]bool // bodies that were returned and are not closed
	sent      [2]int
	ended     [2]int
	deaf      bool // attempts do not end when they are cancelled
}

func newHedgeTest(t *testing.T) *hedgeTest {
	t.Helper()
	h := &hedgeTest{}
	h.entry = &entry{
		config: &currentConfig{}, fleet: fleet.NewDirectory("z1", "r1", newHopClient),
		metrics: newEntryMetrics(tally.NoopScope), stoppingFor: func() time.Duration { return 0 },
		budgets: newBudgets(BudgetLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, func() int { return 2 }),
	}
	h.hedges = newHedger(HedgeSettings{MaxShare: 1}, h.metrics)
	h.hedges.shares.Of("plain").Request()
	h.regions = &regionRules{config: h.config}
	for i, name := range []string{"a", "b"} {
		h.fleet.Put(fleet.Member{Host: name, Address: name, Service: "plain", Zone: "z1", Region: "r1", State: fleet.Ready, Slots: 4})
		h.result[i] = Result{Arrived: true, Status: http.StatusOK}
	}
	h.setConfig(t, "1")
	h.call = &Call{Method: "GET", Host: "test", Target: "/look/1", Service: "plain", Repeatable: true, Deadline: time.Now().Add(4 * time.Second)}
	return h
}

func (h *hedgeTest) setConfig(t *testing.T, text string) {
	t.Helper()
	config, err := decodeTestConfig([]byte(text))
	table, invalid := vhost.NewTable(config)
	if err != nil || invalid != nil {
		t.Fatal(err, invalid)
	}
	h.config.table.Store(table)
}

func (h *hedgeTest) attemptAt(ctx context.Context, host *fleet.Host, _ *Call) *Result {
	i := int(host.Member().Host[0] - 'a')
	h.sent[i]++
	defer func() { h.ended[i]++ }()
	cancelled := ctx.Done()
	if h.deaf {
		cancelled = nil
	}
	select {
	case <-time.After(h.took[i]):
	case <-cancelled:
		h.cancelled[i] = true
		return &Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "cancelled")}
	}
	r := h.result[i]
	if r.Err == nil {
		h.open[i] = true
		r.Body = &cancelOnClose{ReadCloser: io.NopCloser(strings.NewReader(host.Member().Host)), cancel: func() { h.open[i] = false }}
	}
	return &r
}

// Guards against a second response that waits, a loser that goes on or whose body stays open,
// a winner whose body is closed early, a refusal that wins, second requests that the state of
// the service or a new configuration forbids, and a result that says "not run" although one
// of the attempts may have run.
func TestHedgedAttempts(t *testing.T) {
	refusal := Result{Err: errkind.New(errkind.Overloaded, "")}
	lost := Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "")}
	failed := Result{Arrived: true, Status: http.StatusInternalServerError}
	for _, c := range []struct {
		name    string
		took    [2]time.Duration // in milliseconds
		results []Result
		prepare func(*hedgeTest)
		// want has the hosts one of whose responses is passed on after the time at.
		want       string
		at         time.Duration
		sent       int
		mayHaveRun bool
	}{
		{name: "usual", took: [2]time.Duration{19}, want: "a", at: 19, sent: 1},
		{name: "second faster", took: [2]time.Duration{900, 5}, want: "b", at: 25, sent: 2},
		{name: "first faster", took: [2]time.Duration{30, 900}, want: "a", at: 30, sent: 2},
		{name: "both at once", took: [2]time.Duration{40, 20}, want: "ab", at: 40, sent: 2},
		{name: "second refused", took: [2]time.Duration{100, 5}, results: []Result{1: refusal}, want: "a", at: 100, sent: 2},
		{name: "second failed", took: [2]time.Duration{100, 5}, results: []Result{1: failed}, want: "a", at: 100, sent: 2},
		{name: "first lost", took: [2]time.Duration{30, 50}, results: []Result{lost}, want: "b", at: 70, sent: 2},
		{name: "first refused at once", took: [2]time.Duration{10}, results: []Result{refusal}, at: 10, sent: 1},
		{name: "both refused", took: [2]time.Duration{30, 50}, results: []Result{refusal, refusal}, at: 70, sent: 2},
		{name: "refused and lost", took: [2]time.Duration{30, 50}, results: []Result{refusal, lost}, at: 70, sent: 2, mayHaveRun: true},
		{name: "lost and failed", took: [2]time.Duration{30, 50}, results: []Result{lost, failed}, want: "b", at: 70, sent: 2, mayHaveRun: true},
		{name: "both failed", took: [2]time.Duration{30, 50}, results: []Result{failed, failed}, want: "a", at: 70, sent: 2, mayHaveRun: true},
		{name: "first comes too late", took: [2]time.Duration{40, 5}, want: "b", at: 40, sent: 2, prepare: func(h *hedgeTest) { h.deaf = true }},
		{name: "route gone", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1, prepare: func(h *hedgeTest) { h.call.Host = "gone" }},
		{name: "regions changed", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1,
			prepare: func(h *hedgeTest) { time.AfterFunc(time.Millisecond, func() { h.setConfig(t, "2 look=r2") }) }},
		{name: "second host leaves", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1,
			prepare: func(h *hedgeTest) { h.fleet.MarkLeaving(time.Now(), "b", fleet.Incarnation{}) }},
		{name: "second host lost", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1, prepare: func(h *hedgeTest) {
			h.fleet.Host("b").RequestStarted()
			h.fleet.Host("b").RequestDone(time.Now().Add(-time.Second), fleet.Result{})
		}},
		{name: "router of the second host stops", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1, prepare: func(h *hedgeTest) {
			m := h.fleet.Host("b").Member()
			m.State = fleet.Stopping
			h.fleet.Put(m)
		}},
		{name: "router stops", took: [2]time.Duration{900}, want: "a", at: 900, sent: 1,
			prepare: func(h *hedgeTest) { h.stoppingFor = func() time.Duration { return 1 } }},
		{name: "caller leaves", took: [2]time.Duration{900, 900}, at: 40, sent: 2, mayHaveRun: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHedgeTest(t)
			h.took = [2]time.Duration{c.took[0] * time.Millisecond, c.took[1] * time.Millisecond}
			for i, r := range c.results {
				if r.Err != nil || r.Status != 0 {
					h.result[i] = r
				}
			}
			if c.prepare != nil {
				c.prepare(h)
			}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if c.want == "" {
				time.AfterFunc(c.at*time.Millisecond, leave)
			}
			start := time.Now()
			p := h.newPair(ctx, h.fleet.Host("a"), h.call, &vhost.Route{Name: "look"}, 20*time.Millisecond)
			p.attempt = h.attemptAt
			r := p.run(start)
			at := time.Since(start)
			synctest.Wait()
			tried, _, mayHaveRun := h.call.countHedge(r, nil, 0, r.Err != nil && !r.notRun())
			if at != c.at*time.Millisecond || h.sent[0]+h.sent[1] != c.sent || h.ended != h.sent || mayHaveRun != c.mayHaveRun {
				t.Errorf("%s: result after %v with %v attempts, of which %v ended, may have run: %v", c.name, at, h.sent, h.ended, mayHaveRun)
			}
			if others := c.sent - 1; !r.usable() && len(tried) != others {
				t.Errorf("%s: %d further hosts were tried, want %d", c.name, len(tried), others)
			}
			got := ""
			for i, name := range []string{"a", "b"} {
				if h.open[i] {
					got += name
				}
			}
			if (got == "") != (c.want == "") || !strings.Contains(c.want, got) || (got != "" && h.cancelled[got[0]-'a']) {
				t.Errorf("%s: open response of %q, want one of %q; cancelled: %v", c.name, got, c.want, h.cancelled)
			}
			if r.close(); h.open != [2]bool{} {
				t.Errorf("%s: an open response was not passed on", c.name)
			}
		})
	}
}

// Guards against a second attempt whose timer fires just when the first attempt ends: nobody
// would take its result.
func TestNoSecondAttemptAfterTheFirst(t *testing.T) {
	h := newHedgeTest(t)
	p := h.newPair(t.Context(), h.fleet.Host("a"), h.call, &vhost.Route{Name: "look"}, 20*time.Millisecond)
	p.attempt = h.attemptAt
	p.endFirst(true)
	if p.startSecond(); h.sent[1] > 0 {
		t.Error("a second attempt was made")
	}
}

// Guards against a share that is not one, which would hedge without a limit.
func TestHedgeShareIsChecked(t *testing.T) {
	for share, valid := range map[float64]bool{0: true, 1: true, -0.1: false, 1.1: false, math.Inf(1): false, math.NaN(): false} {
		s := DefaultSettings()
		s.Hedge.MaxShare = share
		if got := !strings.Contains(s.Check().Error(), "hedge.max_share"); got != valid {
			t.Errorf("share %v: valid %v", share, got)
		}
	}
}

// Guards against cost for deployments that have not switched hedging on.
func TestHedgingOffAllocatesNothing(t *testing.T) {
	h := newHedgeTest(t)
	h.hedges = newHedger(HedgeSettings{}, h.metrics)
	h.fleet.MarkLeaving(time.Now().Add(-time.Hour), "a", fleet.Incarnation{}) // the attempt ends at once
	host, route := h.fleet.Host("a"), &vhost.Route{Name: "look", Repeatable: true, MaxAttempts: 2}
	without, with := math.MaxFloat64, math.MaxFloat64
	for range 100 { // the least counts, because pools of the library are emptied at times
		without = min(without, testing.AllocsPerRun(1, func() { h.attempt(t.Context(), host, h.call) }))
		with = min(with, testing.AllocsPerRun(1, func() { h.attemptHedged(t.Context(), host, h.call, route, nil) }))
	}
	if h.hedges != nil || with != without {
		t.Errorf("%v allocations, %v without hedging", with, without)
	}
}

// Requests with long responses run at both upstreams, which write at the same time. Guards
// against bytes of two responses in one. A slow request that is not hedged, which is right
// while many requests outlive the delay, is answered by its first upstream after a while.
func TestHedgedResponsesNeverMix(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.change = func(s *Settings) { s.Hedge.MaxShare, s.Terms.RetrySlack = 1, 10000 }
	c.add("h0", "plain")
	c.add("h1", "plain")
	c.waitReady()
	begun := sync.Map{} // by id, a channel that is closed when the request runs at a second upstream
	var pairs atomic.Int64
	for _, h := range c.hosts {
		name := h.settings.Host.Name
		h.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get(testHeaders.RequestID)
			w.Header().Set(testHeaders.Signature, "signed")
			if strings.HasPrefix(id, "slow") {
				second, exists := begun.LoadOrStore(id, make(chan struct{}))
				if exists {
					pairs.Add(1)
					close(second.(chan struct{}))
				}
				select {
				case <-second.(chan struct{}):
				case <-r.Context().Done():
				case <-time.After(2 * time.Second):
				}
			}
			_, _ = io.WriteString(w, strings.Repeat(name+id, 40000)) // the loser's connection is closed
			return true
		})
	}
	for i := range 200 {
		id := fmt.Sprintf("quick%04d", i)
		if i >= 60 && i%10 == 0 {
			id = fmt.Sprintf("slow%04d", i)
		}
		got := c.hosts[0].request(t, "GET", "/look/1", id, "")
		if got.status != http.StatusOK || (got.body != strings.Repeat("h0"+id, 40000) && got.body != strings.Repeat("h1"+id, 40000)) {
			t.Fatalf("request %s: status %d with %d bytes", id, got.status, len(got.body))
		}
	}
	if pairs.Load() == 0 {
		t.Error("no request ran at both upstreams")
	}
}
