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

// startUpstream starts an upstream that is closed when the test ends.
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

// requestFence is the group, generation and not-after time that a request
// carries.
type requestFence struct {
	group      string
	generation uint64
	notAfter   time.Time
}

// farFuture is a not-after time that no test reaches.
var farFuture = time.Now().Add(time.Hour)

// send sends a request to key k with the body "b". It returns transport errors
// instead of failing the test.
func send(t *testing.T, u *standin.Upstream, method string, g requestFence) (*http.Response, []byte, error) {
	t.Helper()
	return sendWithContext(t.Context(), t, u, method, g)
}

func sendWithContext(ctx context.Context, t *testing.T, u *standin.Upstream, method string, g requestFence) (*http.Response, []byte, error) {
	t.Helper()
	return sendWithID(ctx, t, u, method, g, "r1")
}

func sendWithID(ctx context.Context, t *testing.T, u *standin.Upstream, method string, g requestFence, id string) (*http.Response, []byte, error) {
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

func mustSend(t *testing.T, u *standin.Upstream, method string, g requestFence) standin.EchoResponse {
	t.Helper()
	resp, body, err := send(t, u, method, g)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v %s, %v", method, resp, body, err)
	}
	var response standin.EchoResponse
	if err := json.Unmarshal(body, &response); err != nil {
		t.Fatal(err)
	}
	return response
}

// expectRejection sends a POST and expects a response with the status and error
// kind that states that it did not run.
func expectRejection(t *testing.T, u *standin.Upstream, g requestFence, status int, kind string) {
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

// awaitLedger waits until the ledger satisfies the condition ok.
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

// hasBegun returns the condition that n units of work have begun.
func hasBegun(n int) func([]standin.Unit) bool {
	return func(units []standin.Unit) bool { return len(units) >= n }
}

// putGrant sends an extension of grants and returns the status of the response.
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

// Guards against an upstream that runs work for a superseded holder.
func TestFencedRejectsLowerGeneration(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	mustSend(t, u, http.MethodPost, requestFence{"g", 5, farFuture})
	expectRejection(t, u, requestFence{"g", 4, farFuture}, http.StatusServiceUnavailable, "lease_lapsed")
	mustSend(t, u, http.MethodPost, requestFence{"h", 4, farFuture})
	r1 := []string{"r1"}
	if status := putGrant(t, u, standin.Grant{Group: "g", Generation: 4, NotAfter: farFuture.UnixMicro(), Requests: r1}); status != http.StatusServiceUnavailable {
		t.Errorf("a grant of a lower generation got status %d", status)
	}
	if status := putGrant(t, u, standin.Grant{Group: "g", Generation: 6, NotAfter: farFuture.UnixMicro(), Requests: r1}); status != http.StatusOK {
		t.Errorf("a grant of a higher generation got status %d", status)
	}
	expectRejection(t, u, requestFence{"g", 5, farFuture}, http.StatusServiceUnavailable, "lease_lapsed")
	if units := u.Ledger().Units; len(units) != 2 {
		t.Errorf("%d units of work began, want 2", len(units))
	}
}

// Guards against work that begins after its not-after time.
func TestRejectsWorkAfterNotAfter(t *testing.T) {
	past := time.Now().Add(-time.Microsecond)
	fenced := startUpstream(t, standin.UpstreamOptions{})
	expectRejection(t, fenced, requestFence{"g", 1, past}, http.StatusServiceUnavailable, "lease_lapsed")
	deadline := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindDeadline})
	expectRejection(t, deadline, requestFence{"g", 1, past}, http.StatusServiceUnavailable, "deadline_passed")
	plain := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain})
	mustSend(t, plain, http.MethodPost, requestFence{"g", 1, past})
	mustSend(t, plain, http.MethodPost, requestFence{})
	for _, u := range []*standin.Upstream{fenced, deadline} {
		if units := u.Ledger().Units; len(units) != 0 {
			t.Errorf("%d units of work began, want 0", len(units))
		}
	}
}

// Guards against a fenced upstream that runs requests without fence headers.
func TestFencedRequiresHeaders(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	for _, g := range []requestFence{{}, {"g", 0, farFuture}, {"g", 1, time.Time{}}, {"", 1, farFuture}} {
		expectRejection(t, u, g, http.StatusBadRequest, "bad_request")
	}
}

// Guards against work that commits after the end of its grant, as when the
// upstream freezes and resumes, even if an extension arrived after the end.
func TestFencedCommitsNothingAfterGrantEnd(t *testing.T) {
	for _, extended := range []bool{false, true} {
		clock := newClock()
		u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
		done := startHeldRequest(t, u, requestFence{"g", 1, clock.now().Add(time.Second)})
		clock.advance(time.Second)
		if extended {
			g := standin.Grant{Group: "g", Generation: 3, NotAfter: clock.now().Add(time.Second).UnixMicro(), Requests: []string{"r1"}}
			if status := putGrant(t, u, g); status != http.StatusOK {
				t.Fatalf("the grant got status %d", status)
			}
		}
		setFaults(t, u, standin.UpstreamFaults{})
		if status := <-done; status != http.StatusServiceUnavailable {
			t.Fatalf("extended %v: status %d, want 503", extended, status)
		}
		if units := u.Ledger().Units; len(units) != 1 || units[0].State != standin.UnitAbandoned {
			t.Fatalf("extended %v: units %+v, want one abandoned", extended, units)
		}
		if response := mustSend(t, u, http.MethodGet, requestFence{"g", 3, clock.now().Add(time.Second)}); response.Entries != 0 {
			t.Fatalf("extended %v: the state has %d entries, want 0", extended, response.Entries)
		}
	}
}

// Guards against work of the deadline kind that commits after its not-after
// time.
func TestDeadlineCommitsNothingAfterDeadline(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindDeadline, Now: clock.now})
	done := startHeldRequest(t, u, requestFence{"g", 1, clock.now().Add(time.Hour)})
	clock.advance(time.Hour)
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", status)
	}
	if units := u.Ledger().Units; units[0].State != standin.UnitAbandoned {
		t.Fatalf("units %+v, want one abandoned", units)
	}
}

// Guards against work that continues after its sender cancelled it, and against
// an upstream that stops it although it is configured to ignore that.
func TestCancelledWork(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain, IgnoreCancel: ignore})
		setFaults(t, u, standin.UpstreamFaults{HoldWork: true})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = sendWithContext(ctx, t, u, http.MethodPost, requestFence{})
		}()
		awaitLedger(t, u, hasBegun(1))
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

// Guards against a frozen upstream that responds, and against control paths
// that are frozen too.
func TestFreeze(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{Freeze: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := sendWithContext(ctx, t, u, http.MethodPost, requestFence{"g", 1, farFuture})
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

// startHeldRequest starts a POST and holds its work. The returned channel
// receives the status of the response, or 0 if the connection broke.
func startHeldRequest(t *testing.T, u *standin.Upstream, g requestFence) <-chan int {
	t.Helper()
	return startHeldRequestWithID(t, u, g, "r1")
}

// startHeldRequestWithID is like startHeldRequest, for a request with the id.
func startHeldRequestWithID(t *testing.T, u *standin.Upstream, g requestFence, id string) <-chan int {
	t.Helper()
	begun := len(u.Ledger().Units)
	setFaults(t, u, standin.UpstreamFaults{HoldWork: true})
	done := make(chan int, 1)
	go func() {
		resp, _, err := sendWithID(t.Context(), t, u, http.MethodPost, g, id)
		if err != nil {
			done <- 0
			return
		}
		done <- resp.StatusCode
	}()
	awaitLedger(t, u, hasBegun(begun+1))
	return done
}

func setFaults(t *testing.T, u *standin.Upstream, f standin.UpstreamFaults) {
	t.Helper()
	if err := u.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// fakeClock is a wall clock that the test controls.
type fakeClock struct{ nanos atomic.Int64 }

func newClock() *fakeClock {
	c := &fakeClock{}
	c.nanos.Store(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	return c
}

func (c *fakeClock) now() time.Time { return time.Unix(0, c.nanos.Load()) }

func (c *fakeClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// Guards against responses that a caller cannot recognize as complete and as
// belonging to its own request.
func TestResponseEchoesRequest(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Name: "u1", MinResponseBytes: 4096})
	resp, body, err := send(t, u, http.MethodPost, requestFence{"g", 1, farFuture})
	if err != nil {
		t.Fatal(err)
	}
	var a standin.EchoResponse
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if len(body) != 4096 || resp.ContentLength != 4096 {
		t.Errorf("response of %d bytes, stated %d, want 4096", len(body), resp.ContentLength)
	}
	if a.Key != "k" || a.URI != "/orders/k?n=1" || a.RequestID != "r1" || a.Upstream != "u1" || a.Entries != 1 ||
		a.Padding != standin.Padding(a.Method, a.URI, len(a.Padding)) ||
		a.BodySHA256 != "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d" {
		t.Errorf("response %+v", a)
	}
}

// Guards against methods that change the state differently than the protocol
// defines.
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
		if a := mustSend(t, u, step.method, requestFence{"g", 1, farFuture}); a.Entries != step.entries || a.StateBytes != step.entries {
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

// Guards against a full upstream that queues work: a router must get a
// rejection that states that nothing ran.
func TestShedsWhenFull(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Slots: 1})
	done := startHeldRequest(t, u, requestFence{"g", 1, farFuture})
	expectRejection(t, u, requestFence{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
	setFaults(t, u, standin.UpstreamFaults{Shed: true})
	<-done
	expectRejection(t, u, requestFence{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
	if units := u.Ledger().Units; len(units) != 1 {
		t.Fatalf("%d units of work began, want 1", len(units))
	}
}

// Guards against a truncated response that looks complete, and against a ledger
// that lacks the work of a truncated response.
func TestTruncatedResponse(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{TruncateResponses: 1})
	_, body, err := send(t, u, http.MethodPost, requestFence{"g", 1, farFuture})
	if err == nil || len(body) == 0 {
		t.Fatalf("body %q, error %v; want a part and an error", body, err)
	}
	if units := u.Ledger().Units; len(units) != 1 || units[0].State != standin.UnitCommitted {
		t.Fatalf("units %+v, want one committed", units)
	}
	mustSend(t, u, http.MethodPost, requestFence{"g", 1, farFuture})
}

// Guards against an upstream that refuses connections but keeps the open ones,
// or that gets another address when it accepts again.
func TestRefuseAndAcceptAgain(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{})
	setFaults(t, u, standin.UpstreamFaults{Refuse: true})
	if _, _, err := send(t, u, http.MethodGet, requestFence{"g", 1, farFuture}); err == nil {
		t.Fatal("an upstream that refuses connections responded")
	}
	resp, err := http.Get(u.ControlURL() + "/burdock/ledger")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("ledger: %v, %v", resp, err)
	}
	_ = resp.Body.Close()
	setFaults(t, u, standin.UpstreamFaults{})
	mustSend(t, u, http.MethodGet, requestFence{"g", 1, farFuture})
}

// Guards against more open connections than the upstream announced.
func TestConnectionsAreLimited(t *testing.T) {
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

// Guards against a full ledger that does not report that it dropped units.
func TestLedgerReportsDroppedUnits(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{LedgerUnits: 2})
	for range 3 {
		mustSend(t, u, http.MethodPost, requestFence{"g", 1, farFuture})
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

// Guards against malformed faults and grants that are accepted, and against
// faults set over HTTP that are not applied.
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
	expectRejection(t, u, requestFence{"g", 1, farFuture}, http.StatusServiceUnavailable, "overloaded")
}
