package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/locality"
)

// Guards against a request that reaches its upstream without its body, or twice, because
// the body is sent only after another host has admitted the request.
func TestDeferredBodyReachesTheUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	from, to := c.hosts[1], c.hosts[0]
	if got := from.request(t, "POST", "/pay/1", "first", "1"); got.status != http.StatusOK {
		t.Fatalf("got %d", got.status) // before the first response the gate uses some slots only
	}
	from.entry.place = locality.Place{Zone: "elsewhere", Region: "elsewhere"}
	var releases []func(admit.Result)
	for range to.gate.load().Slots {
		release, err := to.gate.limiter.Acquire(t.Context(), admit.WorkClass{}, admit.WaitBounds{Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	body := strings.Repeat("x", 4000)
	for range 8 {
		if got := from.request(t, "POST", "/pay/1", "refused", body); got.status != http.StatusServiceUnavailable {
			t.Fatalf("got %d from a host without free slots", got.status)
		}
	}
	call := &Call{Service: "plain", Body: []byte(body), Objective: time.Minute}
	if !from.entry.defersBody(time.Now(), from.fleet.Host("h0"), call) {
		t.Fatal("the body is not deferred although all requests were refused")
	}
	for _, release := range releases {
		release(admit.Completed)
	}
	for _, id := range []string{"a", "b"} {
		got := from.request(t, "POST", "/pay/1", id, body)
		if got.status != http.StatusOK || !strings.HasSuffix(got.body, " "+body) || to.upstream.runCount(id) != 1 {
			t.Errorf("got %d with %d bytes after %d runs, want the body of %d bytes back after one", got.status, len(got.body), to.upstream.runCount(id), len(body))
		}
	}
}
