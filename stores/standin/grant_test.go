package standin_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/stores/standin"
)

// extendGrants sends an extension until end and expects it to be accepted.
func extendGrants(t *testing.T, u *standin.Upstream, group string, generation uint64, end time.Time, ids ...string) {
	t.Helper()
	g := standin.Grant{Group: group, Generation: generation, NotAfter: end.UnixMicro(), Requests: ids}
	if status := putGrant(t, u, g); status != http.StatusOK {
		t.Fatalf("the extension of %d requests got status %d", len(ids), status)
	}
}

// Guards against long work that is abandoned although its grant was extended
// repeatedly, also under the higher generations after changes of standby.
func TestRepeatedExtensionsKeepWork(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
	done := startHeldRequest(t, u, requestFence{"g", 1, clock.now().Add(time.Second)})
	for _, generation := range []uint64{1, 1, 2, 2, 5} {
		clock.advance(999 * time.Millisecond)
		extendGrants(t, u, "g", generation, clock.now().Add(time.Second), "r1")
	}
	// A shorter extension that arrives late does not shorten the grant.
	extendGrants(t, u, "g", 5, clock.now().Add(time.Millisecond), "r1")
	clock.advance(999 * time.Millisecond)
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
}

// Guards against work that commits after the end of its grant because another
// request of its group arrived or was extended, or because a request with the
// same id in another group was extended.
func TestExtensionIsForNamedRequestsOnly(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
	end := clock.now().Add(time.Second)
	abandoned := startHeldRequestWithID(t, u, requestFence{"g", 1, end}, "abandoned")
	awaited := startHeldRequestWithID(t, u, requestFence{"g", 1, end}, "awaited")
	later := startHeldRequestWithID(t, u, requestFence{"g", 1, end.Add(time.Minute)}, "later")
	extendGrants(t, u, "g", 1, end.Add(time.Minute), "awaited")
	extendGrants(t, u, "g", 2, end.Add(time.Minute), "awaited")
	extendGrants(t, u, "h", 1, end.Add(time.Minute), "abandoned")
	clock.advance(time.Second)
	setFaults(t, u, standin.UpstreamFaults{})
	for name, c := range map[string]struct {
		done <-chan int
		want int
	}{"abandoned": {abandoned, 503}, "awaited": {awaited, 200}, "later": {later, 200}} {
		if status := <-c.done; status != c.want {
			t.Errorf("%s: status %d, want %d", name, status, c.want)
		}
	}
	for _, unit := range u.Ledger().Units {
		if (unit.State == standin.UnitAbandoned) != (unit.RequestID == "abandoned") {
			t.Errorf("request %s: %s %s", unit.RequestID, unit.State, unit.Reason)
		}
	}
}

// Guards against an extension that revives a lapsed grant while other grants of
// the group are valid.
func TestExtensionAfterLapseDoesNotRevive(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
	lapsed := startHeldRequestWithID(t, u, requestFence{"g", 1, clock.now().Add(time.Second)}, "lapsed")
	other := startHeldRequestWithID(t, u, requestFence{"g", 1, clock.now().Add(time.Minute)}, "other")
	clock.advance(time.Second)
	extendGrants(t, u, "g", 1, clock.now().Add(time.Minute), "lapsed", "other")
	extendGrants(t, u, "g", 2, clock.now().Add(time.Minute), "lapsed", "other")
	setFaults(t, u, standin.UpstreamFaults{})
	if first, second := <-lapsed, <-other; first != 503 || second != 200 {
		t.Errorf("lapsed: status %d, want 503; other: %d, want 200", first, second)
	}
}

// Guards against an extension that names unknown requests and therefore affects
// other requests, is rejected for the running ones, or is stored for a later
// request.
func TestExtensionOfUnknownRequests(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
	mustSend(t, u, http.MethodPost, requestFence{"g", 1, clock.now().Add(time.Second)})
	end := clock.now().Add(time.Second)
	short := startHeldRequestWithID(t, u, requestFence{"g", 1, end}, "short")
	long := startHeldRequestWithID(t, u, requestFence{"g", 1, end}, "long")
	extendGrants(t, u, "g", 1, end.Add(time.Minute), "r1", "later", "unknown")
	extendGrants(t, u, "g", 1, end.Add(time.Minute), "later", "long", "unknown")
	later := startHeldRequestWithID(t, u, requestFence{"g", 1, end}, "later")
	clock.advance(time.Second)
	setFaults(t, u, standin.UpstreamFaults{})
	if a, b, c := <-short, <-long, <-later; a != 503 || b != 200 || c != 503 {
		t.Errorf("status of short %d, long %d, later %d; want 503, 200, 503", a, b, c)
	}
}

// Guards against malformed extensions that are applied, in part or as a whole.
func TestMalformedExtensions(t *testing.T) {
	clock := newClock()
	u := startUpstream(t, standin.UpstreamOptions{Now: clock.now})
	done := startHeldRequest(t, u, requestFence{"g", 1, clock.now().Add(time.Second)})
	end := clock.now().Add(time.Minute).UnixMicro()
	many := strings.Join(slices.Repeat([]string{`"r1"`}, 65), ",")
	for _, requests := range []string{
		``, `,"requests":[]`, `,"requests":null`, `,"requests":"r1"`, `,"requests":[1]`, `,"requests":["r1",""]`,
		`,"requests":["r1","` + strings.Repeat("i", 129) + `"]`, `,"requests":[` + many + `]`,
		`,"requests":["` + strings.Repeat("i", 20<<10) + `"]`, `,"request":["r1"]`,
	} {
		body := fmt.Sprintf(`{"group":"g","generation":2,"not_after":%d%s}`, end, requests)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+u.Address()+"/burdock/grants", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || resp.Header.Get(standin.HeaderError) != "bad_request" {
			t.Errorf("%.60s: status %d, error %q", body, resp.StatusCode, resp.Header.Get(standin.HeaderError))
		}
	}
	largest := slices.Repeat([]string{strings.Repeat("i", 128)}, 64)
	extendGrants(t, u, "g", 1, clock.now().Add(time.Second), largest...)
	clock.advance(time.Second)
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503: a malformed extension was applied", status)
	}
	expectRejection(t, u, requestFence{"g", 1, clock.now()}, http.StatusServiceUnavailable, "lease_lapsed")
	mustSend(t, u, http.MethodGet, requestFence{"g", 1, clock.now().Add(time.Second)})
}
