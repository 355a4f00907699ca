package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/stores/standin"
)

// startUpstream runs an upstream until the test ends.
func startUpstream(t *testing.T, o standin.UpstreamOptions) *standin.Upstream {
	t.Helper()
	if o.Service == "" {
		o.Service = "orders"
	}
	u, err := standin.StartUpstream(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// grant is the fence of a request.
type grant struct {
	group      string
	generation uint64
	notAfter   time.Time
}

var farFuture = time.Now().Add(time.Hour)

// send sends a request of key k with the body "b". A transport error is
// returned as such.
func send(t *testing.T, u *standin.Upstream, method string, g grant) (*http.Response, []byte, error) {
	t.Helper()
	return sendContext(t.Context(), t, u, method, g)
}

func sendContext(ctx context.Context, t *testing.T, u *standin.Upstream, method string, g grant) (*http.Response, []byte, error) {
	t.Helper()
	return sendAs(ctx, t, u, method, g, "r1")
}

func sendAs(ctx context.Context, t *testing.T, u *standin.Upstream, method string, g grant, id string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address()+"/orders/k?n=1", bytes.NewReader([]byte("b")))
	if err != nil {
		t.Fatal(err)
	}
	if g.group != "" {
		req.Header.Set(standin.HeaderGroup, g.group)
		req.Header.Set(standin.HeaderGeneration, strconv.FormatUint(g.generation, 10))
	}
	if !g.notAfter.IsZero() {
		req.Header.Set(standin.HeaderNotAfter, strconv.FormatInt(g.notAfter.UnixMicro(), 10))
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderIdempotencyKey, "i1")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func mustSend(t *testing.T, u *standin.Upstream, method string, g grant) standin.EchoResponse {
	t.Helper()
	resp, body, err := send(t, u, method, g)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v %s, %v", method, resp, body, err)
	}
	var answer standin.EchoResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

func expectRefusal(t *testing.T, u *standin.Upstream, g grant, status int, kind string) {
	t.Helper()
	resp, body, err := send(t, u, http.MethodPost, g)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != status || resp.Header.Get(standin.HeaderOutcome) != "not-run" || resp.Header.Get(standin.HeaderError) != kind {
		t.Fatalf("status %d, outcome %q, error %q, body %s; want %d, not-run, %s", resp.StatusCode,
			resp.Header.Get(standin.HeaderOutcome), resp.Header.Get(standin.HeaderError), body, status, kind)
	}
}

// awaitLedger waits until the ledger satisfies the condition.
func awaitLedger(t *testing.T, u *standin.Upstream, ok func(units []standin.Unit) bool) []standin.Unit {
	t.Helper()
	for {
		changed := u.LedgerChanged()
		if units := u.Ledger().Units; ok(units) {
			return units
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("the ledger did not reach the expected state")
		}
	}
}

func started(n int) func([]standin.Unit) bool {
	return func(units []standin.Unit) bool { return len(units) >= n }
}

func putGrant(t *testing.T, u *standin.Upstream, g standin.Grant) int {
	t.Helper()
	body, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+u.Address()+"/burdock/grants", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards against an upstream that runs work for a holder that was replaced.
func TestFencedRefusesLowerGeneration(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	mustSend(t, u, http.MethodPost, grant{"g", 5, farFuture})
	expectRefusal(t, u, grant{"g", 4, farFuture}, http.StatusServiceUnavailable, "lease_lapsed")
	mustSend(t, u, http.MethodPost, grant{"h", 4, farFuture})
	r1 := []string{"r1"}
	if status := putGrant(t, u, standin.Grant{Group: "g", Generation: 4, NotAfter: farFuture.UnixMicro(), Requests: r1}); status != http.StatusServiceUnavailable {
		t.Errorf("a grant of a lower generation got status %d", status)
	}
	if status := putGrant(t, u, standin.Grant{Group: "g", Generation: 6, NotAfter: farFuture.UnixMicro(), Requests: r1}); status != http.StatusOK {
		t.Errorf("a grant of a higher generation got status %d", status)
	}
	expectRefusal(t, u, grant{"g", 5, farFuture}, http.StatusServiceUnavailable, "lease_lapsed")
	if units := u.Ledger().Units; len(units) != 2 {
		t.Errorf("%d units of work began, want 2", len(units))
	}
}

// Guards against work that begins after its not-after time.
func TestRefusesPassedNotAfter(t *testing.T) {
	past := time.Now().Add(-time.Microsecond)
	fenced := startUpstream(t, standin.UpstreamOptions{})
	expectRefusal(t, fenced, grant{"g", 1, past}, http.StatusServiceUnavailable, "lease_lapsed")
	deadline := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindDeadline})
	expectRefusal(t, deadline, grant{"g", 1, past}, http.StatusServiceUnavailable, "deadline_passed")
	plain := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain})
	mustSend(t, plain, http.MethodPost, grant{"g", 1, past})
	mustSend(t, plain, http.MethodPost, grant{})
	for _, u := range []*standin.Upstream{fenced, deadline} {
		if units := u.Ledger().Units; len(units) != 0 {
			t.Errorf("%d units of work began, want 0", len(units))
		}
	}
}

// Guards against requests without a fence that a fenced upstream would run.
func TestFencedNeedsHeaders(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	for _, g := range []grant{{}, {"g", 0, farFuture}, {"g", 1, time.Time{}}, {"", 1, farFuture}} {
		expectRefusal(t, u, g, http.StatusBadRequest, "bad_request")
	}
}

// Guards against work that commits after the grant's end, as when the upstream
// froze and resumed, also when the grant began again meanwhile.
func TestFencedCommitsNothingAfterGrantEnd(t *testing.T) {
	for _, regranted := range []bool{false, true} {
		clock := newClock()
		u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
		done := heldRequest(t, u, grant{"g", 1, clock.now().Add(time.Second)})
		clock.advance(time.Second)
		if regranted {
			g := standin.Grant{Group: "g", Generation: 3, NotAfter: clock.now().Add(time.Second).UnixMicro(), Requests: []string{"r1"}}
			if status := putGrant(t, u, g); status != http.StatusOK {
				t.Fatalf("the grant got status %d", status)
			}
		}
		setFaults(t, u, standin.UpstreamFaults{})
		if status := <-done; status != http.StatusServiceUnavailable {
			t.Fatalf("regranted %v: status %d, want 503", regranted, status)
		}
		if units := u.Ledger().Units; len(units) != 1 || units[0].State != standin.UnitAbandoned {
			t.Fatalf("regranted %v: units %+v, want one abandoned", regranted, units)
		}
		if answer := mustSend(t, u, http.MethodGet, grant{"g", 3, clock.now().Add(time.Second)}); answer.Entries != 0 {
			t.Fatalf("regranted %v: the state has %d entries, want 0", regranted, answer.Entries)
		}
	}
}

// Guards against work of the deadline kind that commits after its deadline.
func TestDeadlineCommitsNothingAfterDeadline(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindDeadline, Now: clock.now})
	done := heldRequest(t, u, grant{"g", 1, clock.now().Add(time.Hour)})
	clock.advance(time.Hour)
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", status)
	}
	if units := u.Ledger().Units; units[0].State != standin.UnitAbandoned {
		t.Fatalf("units %+v, want one abandoned", units)
	}
}

// Guards against work that goes on after its sender cancelled it, and against
// an upstream that is set to ignore that and does not.
func TestCancelledWork(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain, IgnoreCancel: ignore})
		setFaults(t, u, standin.UpstreamFaults{HoldWork: true})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = sendContext(ctx, t, u, http.MethodPost, grant{})
		}()
		awaitLedger(t, u, started(1))
		cancel()
		<-done
		want := standin.UnitAbandoned
		if ignore {
			want = standin.UnitCommitted
			setFaults(t, u, standin.UpstreamFaults{})
		}
		units := awaitLedger(t, u, func(units []standin.Unit) bool { return units[0].State != standin.UnitRunning })
		if units[0].State != want {
			t.Errorf("ignore %v: unit %+v, want %s", ignore, units[0], want)
		}
	}
}

// Guards against a frozen upstream that answers, and against a control path
// that freezes with it.
func TestFreeze(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{Freeze: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := sendContext(ctx, t, u, http.MethodPost, grant{"g", 1, farFuture})
		done <- err
	}()
	resp, err := http.Get("http://" + u.Address() + "/burdock/ledger")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want a cancelled request", err)
	}
	if units := u.Ledger().Units; len(units) != 0 {
		t.Fatalf("a frozen upstream began %+v", units)
	}
}

// heldRequest begins a POST and holds its work. The status of its answer
// arrives on the channel, or 0 when the connection broke.
func heldRequest(t *testing.T, u *standin.Upstream, g grant) <-chan int {
	t.Helper()
	return heldAs(t, u, g, "r1")
}

func heldAs(t *testing.T, u *standin.Upstream, g grant, id string) <-chan int {
	t.Helper()
	begun := len(u.Ledger().Units)
	setFaults(t, u, standin.UpstreamFaults{HoldWork: true})
	done := make(chan int, 1)
	go func() {
		resp, _, err := sendAs(t.Context(), t, u, http.MethodPost, g, id)
		if err != nil {
			done <- 0
			return
		}
		done <- resp.StatusCode
	}()
	awaitLedger(t, u, started(begun+1))
	return done
}

func setFaults(t *testing.T, u *standin.Upstream, f standin.UpstreamFaults) {
	t.Helper()
	if err := u.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// fakeClock is a wall clock that a test sets.
type fakeClock struct{ nanos atomic.Int64 }

func newClock() *fakeClock {
	c := &fakeClock{}
	c.nanos.Store(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	return c
}

func (c *fakeClock) now() time.Time { return time.Unix(0, c.nanos.Load()) }

func (c *fakeClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// Guards against answers from which a caller can't tell that they are its own
// and whole.
func TestAnswerEchoesRequest(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Name: "u1", MinResponseBytes: 4096})
	resp, body, err := send(t, u, http.MethodPost, grant{"g", 1, farFuture})
	if err != nil {
		t.Fatal(err)
	}
	var a standin.EchoResponse
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if len(body) != 4096 || resp.ContentLength != 4096 {
		t.Errorf("answer of %d bytes, stated %d, want 4096", len(body), resp.ContentLength)
	}
	if a.Key != "k" || a.URI != "/orders/k?n=1" || a.RequestID != "r1" || a.Upstream != "u1" || a.Entries != 1 ||
		a.Padding != standin.Padding(a.Method, a.URI, len(a.Padding)) ||
		a.BodySHA256 != "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d" {
		t.Errorf("answer %+v", a)
	}
}

// Guards against methods that change the state in another way than the
// protocol says.
func TestMethodsChangeState(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	steps := []struct {
		method  string
		entries int
	}{
		{http.MethodGet, 0}, {http.MethodPost, 1}, {http.MethodPost, 2}, {http.MethodGet, 2},
		{http.MethodPut, 1}, {http.MethodDelete, 0}, {http.MethodGet, 0},
	}
	for i, step := range steps {
		if a := mustSend(t, u, step.method, grant{"g", 1, farFuture}); a.Entries != step.entries || a.StateBytes != step.entries {
			t.Errorf("step %d: %s left %d entries and %d bytes, want %d", i, step.method, a.Entries, a.StateBytes, step.entries)
		}
	}
	for i, unit := range u.Ledger().Units {
		if unit.State != standin.UnitCommitted || unit.Method != steps[i].method || unit.Seq != int64(i+1) ||
			unit.End.MonoNanos < unit.Start.MonoNanos || unit.RequestID != "r1" || unit.IdempotencyKey != "i1" {
			t.Errorf("unit %+v", unit)
		}
	}
}

// Guards against a full upstream that queues work: a router must see the
// refusal and that nothing ran.
func TestShedsWhenFull(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Slots: 1})
	done := heldRequest(t, u, grant{"g", 1, farFuture})
	expectRefusal(t, u, grant{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
	setFaults(t, u, standin.UpstreamFaults{Shed: true})
	<-done
	expectRefusal(t, u, grant{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
	if units := u.Ledger().Units; len(units) != 1 {
		t.Fatalf("%d units of work began, want 1", len(units))
	}
}

// Guards against a cut answer that looks whole, and against a ledger that
// forgets work whose answer was cut.
func TestCutAnswer(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{TruncateResponses: 1})
	_, body, err := send(t, u, http.MethodPost, grant{"g", 1, farFuture})
	if err == nil || len(body) == 0 {
		t.Fatalf("body %q, error %v; want a part and an error", body, err)
	}
	if units := u.Ledger().Units; len(units) != 1 || units[0].State != standin.UnitCommitted {
		t.Fatalf("units %+v, want one committed", units)
	}
	mustSend(t, u, http.MethodPost, grant{"g", 1, farFuture})
}

// Guards against a refusing upstream that keeps connections or loses its
// address.
func TestRefuseAndAcceptAgain(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{Refuse: true})
	if _, _, err := send(t, u, http.MethodGet, grant{"g", 1, farFuture}); err == nil {
		t.Fatal("a refusing upstream answered")
	}
	resp, err := http.Get(u.ControlURL() + "/burdock/ledger")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("ledger: %v, %v", resp, err)
	}
	_ = resp.Body.Close()
	setFaults(t, u, standin.UpstreamFaults{})
	mustSend(t, u, http.MethodGet, grant{"g", 1, farFuture})
}

// Guards against more open connections than the upstream announced.
func TestConnectionsAreBounded(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Connections: 1, AcceptTime: time.Millisecond})
	held := &http.Transport{}
	defer held.CloseIdleConnections()
	request := func(transport *http.Transport) error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+u.Address()+"/burdock/probe", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	if err := request(held); err != nil {
		t.Fatal(err)
	}
	if err := request(&http.Transport{}); err == nil {
		t.Fatal("a second connection was accepted")
	}
	if err := request(held); err != nil {
		t.Fatalf("the open connection broke: %v", err)
	}
}

// Guards against a ledger that is cut short and does not say so.
func TestLedgerTellsDroppedUnits(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{LedgerUnits: 2})
	for range 3 {
		mustSend(t, u, http.MethodPost, grant{"g", 1, farFuture})
	}
	for after, want := range map[string]int{"": 2, "?after=1": 1, "?after=9": 0} {
		resp, err := http.Get(u.ControlURL() + "/burdock/ledger" + after)
		if err != nil {
			t.Fatal(err)
		}
		var l standin.Ledger
		err = json.NewDecoder(resp.Body).Decode(&l)
		_ = resp.Body.Close()
		if err != nil || l.Dropped != 1 || len(l.Units) != want {
			t.Errorf("ledger%s: %+v, %v; want %d units and 1 dropped", after, l, err, want)
		}
	}
}

// Guards against malformed faults and grants that are taken, and against
// faults over HTTP that are not in force.
func TestUpstreamOverHTTP(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	for _, c := range []struct {
		method, target, body string
		status               int
	}{
		{"PUT", u.ControlURL() + "/burdock/faults", `{"cut":1}`, 400},
		{"PUT", u.ControlURL() + "/burdock/faults", `{"cut_share":2}`, 400},
		{"PUT", u.ControlURL() + "/burdock/faults", `{"shed":true}`, 200},
		{"GET", u.ControlURL() + "/burdock/faults", ``, 200},
		{"GET", "http://" + u.Address() + "/orders/k", ``, 400},
		{"GET", "http://" + u.Address() + "/other/k", ``, 404},
		{"GET", "http://" + u.Address() + "/orders", ``, 404},
		{"PUT", "http://" + u.Address() + "/burdock/grants", `{"group":"g","generation":1,"requests":["r"]}`, 400},
		{"PUT", "http://" + u.Address() + "/burdock/grants", `{}{}`, 400},
		{"GET", "http://" + u.Address() + "/burdock/grants", ``, 405},
		{"HEAD", "http://" + u.Address() + "/burdock/probe", ``, 200},
		{"POST", "http://" + u.Address() + "/burdock/probe", ``, 405},
		{"GET", u.ControlURL() + "/orders/k", ``, 404},
		{"GET", u.ControlURL() + "/burdock/ledger?after=x", ``, 400},
	} {
		req, err := http.NewRequestWithContext(t.Context(), c.method, c.target, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("%s %s %s: status %d, want %d", c.method, c.target, c.body, resp.StatusCode, c.status)
		}
	}
	expectRefusal(t, u, grant{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
}
