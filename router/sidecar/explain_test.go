package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/explain"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hedge"
	"burdockglade.dev/router/quarantine"
)

// hedges returns the limit of second requests of the service plain.
func (h *testHost) hedges() *hedge.Share {
	return h.entry.hedges.shares.CopyOf("plain")
}

// explanations returns the number of explanations that the metrics show.
func (h *testHost) explanations(t *testing.T) int {
	t.Helper()
	_, page := h.get(t, h.settings.Listen.Metrics, "/metrics")
	sum := 0
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "burdock_entry_explanations{") {
			n, err := strconv.Atoi(strings.Fields(line)[1])
			if err != nil {
				t.Fatal(err)
			}
			sum += n
		}
	}
	return sum
}

// logText is a log that can be searched.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logText) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// get requests a path from a listener of the host.
func (h *testHost) get(t *testing.T, address, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// explain asks the host for the explanation of a GET request for the path.
func (h *testHost) explain(t *testing.T, path, key string) explain.Explanation {
	t.Helper()
	q := explain.Question{Method: "GET", Host: "test", Path: path, Key: key, DeadlineMs: 4000}
	status, body := h.get(t, h.settings.Listen.Control, explain.Path+"?"+q.Encode())
	var x explain.Explanation
	if err := json.Unmarshal([]byte(body), &x); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v: %.200s", status, err, body)
	}
	if x.Request != q || x.Router.Host != h.settings.Host.Name {
		t.Fatalf("%+v explained by %+v, want %+v", x.Request, x.Router, q)
	}
	return x
}

// agrees reports whether the request was served as explained, or refused as explained. A
// request without a key may go to any host that jitter can make the first one.
func agrees(x explain.Explanation, got response) bool {
	if x.Outcome.Served != (got.status == http.StatusOK) {
		return false
	}
	if !x.Outcome.Served {
		return x.Outcome.Status == got.status && strings.Contains(got.body, string(x.Outcome.Kind))
	}
	if s := x.Services[0]; s.Kind == "plain" {
		return slices.ContainsFunc(s.Hosts, func(h explain.Host) bool { return h.MayBeFirst && strings.HasPrefix(got.body, "i-"+h.Host+" ") })
	}
	return strings.HasPrefix(got.body, "i-"+x.Outcome.Host+" ")
}

// Guards against an explanation that differs from what happens to the request sent next: at
// hosts that serve it themselves, that send it elsewhere, with and without keys, and when it
// is refused.
func TestExplanationAgreesWithTheNextRequest(t *testing.T) {
	t.Parallel()
	zones := map[string]string{"h0": "z1", "h1": "z2", "h2": "z1", "h3": "z2"}
	c := newZonedCluster(t, zones, "plain", "plain", "keyed", "keyed")
	c.waitReady()
	c.eventually("the keys are served", func() bool {
		return c.hosts[0].request(t, "GET", "/keys/x", fmt.Sprint("warm", time.Now().UnixNano()), "", testHeaders.Key, "7").status == http.StatusOK
	})
	check := func(h *testHost, path, key, id string) {
		t.Helper()
		var x explain.Explanation
		var got response
		// Five times at most: a key may move, or a load be reported, between the explanation
		// and the request.
		for try := range 5 {
			x = h.explain(t, path, key)
			got = h.request(t, "GET", path, fmt.Sprint(id, "-", try), "", testHeaders.Key, key)
			if agrees(x, got) {
				break
			}
			t.Logf("try %d: %d %.40q, explained %+v", try, got.status, got.body, x)
		}
		if !agrees(x, got) {
			t.Errorf("%s differs from the request", id)
		}
	}
	for i, h := range c.hosts {
		check(h, "/look/x", "", fmt.Sprint("look", i))
		check(h, "/pay/x?y=1", "", fmt.Sprint("pay", i))
		for _, key := range []string{"7", "40000"} {
			check(h, "/keys/x", key, fmt.Sprint("keys", i, key))
		}
		check(h, "/nowhere", "", fmt.Sprint("nowhere", i))
		check(h, "/keys/x", "not a key", fmt.Sprint("bad", i))
		check(h, "/cool/x", "", fmt.Sprint("no host", i))
	}
	x := c.hosts[0].explain(t, "/look/x", "")
	if s := x.Services[0]; len(s.Hosts) != 2 || s.Hosts[0].Local == s.Hosts[1].Local || s.LocalGate == nil || s.LocalGate.Decision != explain.DecisionAdmitted || s.LocalGate.Slots != 4 {
		t.Errorf("hosts %+v, local gate %+v", s.Hosts, s.LocalGate)
	}
	if x.Config == nil || x.Config.Version != 1 || x.Config.AgeMs < 0 || x.Route.Name != "look" || x.Services[0].Kind != "plain" {
		t.Errorf("configuration %+v, route %+v", x.Config, x.Route)
	}
	if x = c.hosts[0].explain(t, "/keys/x", "7"); x.Services[0].Key == nil || x.Services[0].Key.Holder != x.Outcome.Host || x.Services[0].Key.Generation == 0 || x.Services[0].Key.MapVersion == 0 || x.Services[0].LocalGate != nil {
		t.Errorf("key %+v of %+v", x.Services[0].Key, x.Outcome)
	}
	if x = c.hosts[0].explain(t, "/keys/x", "70000"); x.Outcome.Kind != errkind.BadRequest || x.Outcome.Status != http.StatusBadRequest {
		t.Errorf("unknown key: %+v", x.Outcome)
	}
	if x = c.hosts[0].explain(t, "/nowhere", ""); x.Route != nil || x.Outcome.Kind != errkind.NotFound || x.Outcome.Status != http.StatusNotFound {
		t.Errorf("unknown route: %+v", x.Outcome)
	}
}

// Guards against an explanation that spends a budget, takes a probe, starts a trial, records
// a time or changes a metric of requests. One host does not respond and the request is in
// quarantine at one path.
func TestExplainingChangesNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.change = func(s *Settings) { s.Hedge.MaxShare = 0.5 }
	log := &logText{}
	c.log = event.NewLogger(log, 0)
	h := c.add("h0", "plain")
	c.add("h1", "plain")
	c.add("h2", "cold")
	c.waitReady()
	for i := range 60 {
		h.request(t, "GET", "/look/x", fmt.Sprint("warm", i), "")
	}
	// Both hosts respond, so that a second request would be sent.
	shares, tokens := h.hedges().Tokens(), h.entry.budgets.tokens(time.Now(), "plain")
	for range 20 {
		x := h.explain(t, "/look/x", "").Services[0]
		if x.Hedging == nil || x.Hedging.DelayMs <= 0 || (x.Hedging.Host == "") == (x.Hedging.Denied == "") {
			t.Fatalf("hedging %+v", x.Hedging)
		}
		if x.Outcome.Host != x.Hosts[0].Host {
			t.Errorf("the request goes to %s, the first host is %s", x.Outcome.Host, x.Hosts[0].Host)
		}
	}
	if h.hedges().Tokens() != shares || h.entry.budgets.tokens(time.Now(), "plain") < tokens || tokens < 2 || shares < 2 {
		t.Errorf("%v second requests and %v retries allowed, %v and %v before", h.hedges().Tokens(), h.entry.budgets.tokens(time.Now(), "plain"), shares, tokens)
	}
	// Requests of the route cool can only be served by h2.
	c.restrict(2, "cool=r1", c.hosts...)
	lost, only := h.fleet.Host("h1"), h.fleet.Host("h2")
	for _, host := range []*fleet.Host{lost, only} {
		host.RequestStarted()
		host.RequestDone(time.Now().Add(time.Hour), fleet.Result{}) // backoff for an hour
	}
	deadly := quarantine.Request{Fingerprint: quarantine.Fingerprint{Head: quarantine.HashHead("plain", "GET", "test", "/look/deadly"), Body: quarantine.HashBody(nil)}}
	refused := deadly
	refused.Head = quarantine.HashHead("plain", "GET", "test", "/look/refused")
	h.quarantine.mu.Lock()
	for life := range quarantine.Incarnation(3) {
		h.quarantine.set.RecordCrash(time.Now().Add(-time.Minute), life+1, []quarantine.Request{deadly})
		h.quarantine.set.RecordCrash(time.Now().Add(5*time.Second), life+10, []quarantine.Request{refused}) // no trial for 15 s
	}
	h.quarantine.update()
	h.quarantine.mu.Unlock()
	c.eventually("the gauges are up to date", func() bool {
		_, page := h.get(t, h.settings.Listen.Metrics, "/metrics")
		return strings.Contains(page, "burdock_entry_suspects 2") && strings.Contains(page, "burdock_entry_quarantined 2")
	})
	state := func() string {
		var lines []string
		_, page := h.get(t, h.settings.Listen.Metrics, "/metrics")
		for line := range strings.Lines(page) {
			for _, name := range []string{"request_seconds", "refusals", "hedges", "quarantine", "suspects", "region_", "evacuat", "cold_", "link_"} {
				if strings.HasPrefix(line, "burdock_entry_"+name) {
					lines = append(lines, line)
				}
			}
		}
		slices.Sort(lines)
		e := h.entry
		allowed, probe := only.WouldAllowRequest(time.Now())
		longest, _ := e.maxTimes.byRoute.Load("pay")
		slots, inFlight, waiting := e.gate.limiter.Stats()
		h.quarantine.mu.Lock()
		defer h.quarantine.mu.Unlock()
		entry, gate := h.quarantine.set.PeekEntry(time.Now(), deadly, false), h.quarantine.set.PeekGate(time.Now(), deadly, false)
		e.budgets.mu.Lock()
		defer e.budgets.mu.Unlock()
		return fmt.Sprint(lines, len(e.budgets.byService), e.hedges.shares.CopyOf("plain").Tokens(), allowed, probe, longest, slots, inFlight, waiting,
			entry, gate, h.quarantine.set.Changes(), h.fleet.Rank(time.Now(), "plain", nil)[1].InFlight, lost.Figures(time.Now()).Probe)
	}
	before := state()
	if !strings.Contains(before, "request_seconds") {
		t.Fatalf("the metrics of requests are missing: %s", before)
	}
	paths := []string{"/look/x", "/look/deadly", "/look/refused", "/pay/x", "/keys/x", "/cool/x", "/nowhere"}
	asked := h.explanations(t)
	for range 20 {
		for _, path := range paths {
			h.explain(t, path, "7")
		}
	}
	// Metrics are reported some time after they have changed.
	c.eventually("the metrics are up to date", func() bool { return h.explanations(t) >= asked+20*len(paths) })
	if after := state(); after != before {
		t.Errorf("before %s\nafter %s", before, after)
	}
	x := h.explain(t, "/look/x", "").Services[0]
	if x.Hedging == nil || !x.Hedging.Eligible || x.Hedging.DelayMs <= 0 || x.Hedging.Denied != "few_hosts" {
		t.Errorf("hedging %+v", x.Hedging)
	}
	if x := h.explain(t, "/keys/x", "7"); x.Outcome.Kind != errkind.NoOwner || x.Services[0].Key.Holder != "" || x.Services[0].Key.MapAgeMs != -1 {
		t.Errorf("key without a holder: %+v, %+v", x.Outcome, x.Services[0].Key)
	}
	if log.contains(`"event":1890,`) {
		t.Error("an explained request was taken for one that was seen")
	}
	if x = h.explain(t, "/look/deadly", "").Services[0]; x.Quarantine.Verdict != "trial" || x.Quarantine.Crashes != 3 || !x.Outcome.Served {
		t.Errorf("quarantine %+v", x.Quarantine)
	}
}

// Guards against an explanation that hides why a host gets no requests: its zone is
// evacuated, it is cold, its region is not allowed, or it does not respond.
func TestExplanationNamesTheReason(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, map[string]string{"h0": "z1", "h1": "z2"}, "cold", "cold")
	for _, h := range c.hosts {
		h.upstream.setColdUntil(time.Now().Add(time.Hour))
	}
	c.waitReady()
	h := c.hosts[0]
	host := func(name string) explain.Host {
		x := h.explain(t, "/cool/x", "").Services[0]
		return x.Hosts[slices.IndexFunc(x.Hosts, func(v explain.Host) bool { return v.Host == name })]
	}
	c.eventually("both hosts are cold", func() bool { return host("h0").Cold && host("h1").Cold && host("h1").ColdForMs > 0 })
	c.evacuate("z2", true, c.hosts...)
	if got := host("h1"); got.Excluded != "evacuated" || host("h0").Excluded != "" {
		t.Errorf("host in the evacuated zone: %+v", got)
	}
	c.evacuate("z1", true, c.hosts...)
	if got := h.explain(t, "/cool/x", "").Outcome; got.Served || got.Kind != errkind.NoOwner || got.Status != http.StatusServiceUnavailable || got.RetryAfterMs == 0 {
		t.Errorf("both zones evacuated: %+v", got)
	}
	c.evacuate("z1", false, c.hosts...)
	c.evacuate("z2", false, c.hosts...)
	lost := h.fleet.Host("h1")
	lost.RequestStarted()
	lost.RequestDone(time.Now(), fleet.Result{})
	if got := host("h1"); !got.Unreachable || got.Cost < 10 {
		t.Errorf("host that does not respond: %+v", got)
	}
	c.restrict(2, "cool=r9", c.hosts...)
	x := h.explain(t, "/cool/x", "")
	if x.Outcome.Kind != errkind.RegionUnavailable || x.Services[0].Hosts[0].Excluded != "not_allowed" || x.Route.Regions[0] != "r9" {
		t.Errorf("restricted: %+v", x.Outcome)
	}
}

// A full upstream. Guards against an explanation that calls a request served which no host
// has room for, or refused which waits, and against one that reports no load.
func TestExplanationOfAFullUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain")
	c.waitReady()
	h, end := c.hosts[0], make(chan struct{})
	h.upstream.setHandler(func(http.ResponseWriter, *http.Request) bool {
		<-end
		return false
	})
	defer close(end)
	for i := range 4 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.settings.Listen.Caller+"/look/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "test"
		req.Header.Set(testHeaders.RequestID, fmt.Sprint("full", i))
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	c.eventually("all slots are used", func() bool { return h.explain(t, "/look/x", "").Services[0].LocalGate.InFlight >= 3 })
	x := h.explain(t, "/look/x", "").Services[0]
	if x.LocalGate.Decision != explain.DecisionRefused || x.LocalGate.Kind != errkind.Overloaded || x.Attempts[0].Basis != explain.BasisLocalGate {
		t.Errorf("local gate %+v", x.LocalGate)
	}
	if x.Outcome.Served || x.Outcome.Kind != errkind.Overloaded || x.Outcome.RetryAfterMs == 0 {
		t.Errorf("outcome %+v", x.Outcome)
	}
}

// Guards against names and loads of hosts that callers or other routers can read, against
// heartbeats that wait for explanations, and against a call that the settings switch off.
func TestWhoMayAskForExplanations(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain")
	c.change = func(s *Settings) { s.Explain.Enabled = false }
	off := c.add("h1", "plain")
	c.waitReady()
	h, call := c.hosts[0], explain.Path+"?method=GET&host=test&path=/look/x"
	for _, address := range []string{h.settings.Listen.Caller, h.settings.Listen.Ready, h.settings.Listen.Metrics, off.settings.Listen.Control} {
		if status, body := h.get(t, address, call); status != http.StatusNotFound || strings.Contains(body, `"services"`) {
			t.Errorf("%s: status %d, %.100s", address, status, body)
		}
	}
	control := h.settings.Listen.Control
	for _, c := range []struct {
		path string
		want int
	}{{call, 200}, {call + "&service=plain", 200}, {call + "&service=keyed", 400}, {call + "&x=1", 400}, {explain.Path, 400}, {explain.Path + "/", 404}, {"/", 404}} {
		if status, body := h.get(t, control, c.path); status != c.want {
			t.Errorf("%s: status %d, want %d: %.100s", c.path, status, c.want, body)
		}
	}
	resp, err := http.Post("http://"+control+call, "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("POST: status %d", resp.StatusCode)
	}
	h.explaining.Lock()
	status, _ := h.get(t, control, call)
	h.explaining.Unlock()
	if status != http.StatusServiceUnavailable {
		t.Errorf("a second call at the same time: status %d", status)
	}
}
