package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"burdockglade.dev/router/fleet"
)

// newLinkCluster returns a host with a link of the bandwidth beside an upstream, and one
// of callers. Requests for a path that ends with big get 300 KB.
func newLinkCluster(t *testing.T, mbps float64) (c *cluster, server, callers *testHost) {
	c = newCluster(t)
	c.linkMbps = mbps
	server, callers = c.add("h0", "plain"), c.add("h1", "keyed")
	server.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "big") {
			return false
		}
		w.Header().Set(testHeaders.Signature, "s")
		_, _ = io.WriteString(w, strings.Repeat("b", 300_000))
		return true
	})
	c.waitReady()
	return c, server, callers
}

func (s *linkScheduler) state() (backlog int64, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Backlog(), len(s.open)
}

// Guards against a download that holds a slot of the upstream while it waits for the link,
// that delays short responses, that is not reported to other hosts, or that stays in the
// backlog when its caller has left; and against a download that is run although it could
// not be sent in time. The link carries a download in 28 s.
func TestLargeResponsesWaitForTheLink(t *testing.T) {
	t.Parallel()
	c, server, callers := newLinkCluster(t, 0.1)
	got := callers.request(t, "GET", "/dl/1", "d1", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || server.upstream.runCount("d1") != 0 {
		t.Errorf("status %d after %d runs; want a refusal", got.status, server.upstream.runCount("d1"))
	}
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+callers.settings.Listen.Caller+"/look/big", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "test"
	left := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		left <- err
	}()
	c.eventually("the response waits for the link and its slot is free", func() bool {
		backlog, _ := server.link.state()
		_, busy, _ := server.gate.limiter.Stats()
		return backlog > 200_000 && busy == 0
	})
	got = callers.request(t, "POST", "/pay/1", "p1", "1")
	if got.status != 200 || got.header.Get(linkField) != "" {
		t.Errorf("short response: status %d, header %v", got.status, got.header)
	}
	if u := callers.fleet.Host("h0").MeanUtilization(); u < 1 {
		t.Errorf("a full link is seen as a utilization of %.2f", u)
	}
	got = callers.request(t, "GET", "/look/2", "l2", "")
	if got.status != http.StatusServiceUnavailable || server.upstream.runCount("l2") != 0 {
		t.Errorf("status %d after %d runs of a class of large responses; want a refusal", got.status, server.upstream.runCount("l2"))
	}
	leave()
	if <-left == nil {
		t.Error("the response came before its turn")
	}
	c.eventually("the backlog is freed", func() bool {
		backlog, open := server.link.state()
		return backlog == 0 && open == 0
	})
}

// Guards against large responses that are damaged by their turns.
func TestLargeResponsesAreComplete(t *testing.T) {
	t.Parallel()
	c, server, callers := newLinkCluster(t, 1000)
	results := make(chan response)
	for range 3 { // not more than the upstream has slots
		go func() { results <- callers.request(t, "GET", "/dl/big", "d", "") }()
	}
	for range 3 {
		if got := <-results; got.status != 200 || got.body != strings.Repeat("b", 300_000) {
			t.Errorf("status %d, %d bytes: %.200s", got.status, len(got.body), got.body)
		}
	}
	c.eventually("the backlog is freed", func() bool {
		backlog, open := server.link.state()
		return backlog == 0 && open == 0
	})
}

// Guards against a change for deployments without link_mbps, and for hosts whose responses
// are all small, also on a link that is far too narrow for them.
func TestSmallResponsesAreNotScheduled(t *testing.T) {
	t.Parallel()
	for _, mbps := range []float64{0, 0.001} {
		_, server, callers := newLinkCluster(t, mbps)
		for i := range 5 {
			if got := callers.request(t, "GET", "/look/1", "l"+string(rune('a'+i)), ""); got.status != 200 {
				t.Errorf("link of %v: status %d", mbps, got.status)
			}
		}
		if mbps == 0 {
			if got := callers.request(t, "GET", "/dl/big", "d", ""); server.link != nil || len(got.body) != 300_000 {
				t.Errorf("status %d, %d bytes without link_mbps", got.status, len(got.body))
			}
		} else if backlog, open := server.link.state(); backlog != 0 || open != 0 {
			t.Errorf("a backlog of %d bytes in %d responses", backlog, open)
		}
	}
}

// Guards against a share of a link that is sent by a faulty host and makes this one avoid
// or prefer it.
func TestInvalidLinkShareIsIgnored(t *testing.T) {
	for _, text := range []string{"", "x", "-1", "NaN", "Inf", "1e9"} {
		if got := (fleet.Load{Slots: 4, Link: decodeLinkShare(text)}).Utilization(); got != 0 {
			t.Errorf("%q: utilization %v", text, got)
		}
	}
	if got := (fleet.Load{Slots: 4, Busy: 1, Link: decodeLinkShare("1.5")}).Utilization(); got != 1.5 {
		t.Errorf("utilization %v", got)
	}
}
