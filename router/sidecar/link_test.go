package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/linkshare"
	"burdockglade.dev/router/metrics"
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

func (s *linkScheduler) state() (backlog, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Backlog(), s.memory.Held()
}

// Guards against a download that holds a slot of the upstream while it waits for the link,
// that delays short responses, that is not reported to other hosts, or that stays in the
// backlog when its caller has left; and against a download that is run although it could
// not be sent in time. The link carries a download in 28 s.
func TestLargeResponsesWaitForTheLink(t *testing.T) {
	t.Parallel()
	c, server, callers := newLinkCluster(t, 0.1)
	refused := func(path string) {
		t.Helper()
		got := callers.request(t, "GET", path, path, "")
		if runs := server.upstream.runCount(path); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || runs != 0 {
			t.Errorf("status %d after %d runs; want a refusal", got.status, runs)
		}
	}
	refused("/dl/1")
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
		backlog, held := server.link.state()
		_, busy, _ := server.gate.limiter.Stats()
		return backlog > 200_000 && held >= 300_000 && busy == 0
	})
	if got := callers.request(t, "POST", "/pay/1", "p1", "1"); got.status != 200 || got.header.Get(linkField) != "" {
		t.Errorf("short response: status %d, header %v", got.status, got.header)
	}
	if u := callers.fleet.Host("h0").MeanUtilization(); u < 1 {
		t.Errorf("a full link is seen as a utilization of %.2f", u)
	}
	refused("/look/2") // this class has large responses, as the first one has shown
	leave()
	if <-left == nil {
		t.Error("the response came before its turn")
	}
	c.eventually("backlog and memory are freed", func() bool {
		backlog, held := server.link.state()
		return backlog == 0 && held == 0
	})
}

// Guards against large responses that are damaged, with turns and without; against a change
// for deployments without link_mbps; and against one for hosts whose responses are all
// small, also on a link that is far too narrow for them.
func TestResponsesWithAndWithoutLink(t *testing.T) {
	t.Parallel()
	for _, mbps := range []float64{0, 1000, 0.001} {
		_, server, callers := newLinkCluster(t, mbps)
		if (server.link == nil) != (mbps == 0) {
			t.Errorf("link of %v: scheduled %v", mbps, server.link != nil)
		}
		path, want := "/dl/big", strings.Repeat("b", 300_000)
		if mbps == 0.001 {
			path, want = "/look/1", "i-h0 GET /look/1 "
		}
		results := make(chan response)
		for range 3 {
			go func() { results <- callers.request(t, "GET", path, "d", "") }()
		}
		for range 3 {
			if got := <-results; got.status != 200 || got.body != want {
				t.Errorf("link of %v: status %d, %d bytes: %.200s", mbps, got.status, len(got.body), got.body)
			}
		}
		if mbps != 0.001 {
			continue
		}
		if backlog, held := server.link.state(); backlog != 0 || held != 0 {
			t.Errorf("small responses left a backlog of %d bytes and hold %d", backlog, held)
		}
	}
}

// Guards against memory for slow readers that grows without bound or is not released, and
// against a response that is damaged between the part that is read ahead and the rest.
func TestMemoryForLargeResponses(t *testing.T) {
	s := newLinkScheduler(1000, linkMemory(24_000_000), event.NewLogger(io.Discard, 0), metrics.New()) // 3 MB
	newCall := func() *Call {
		c := &Call{Stream: &bodyStream{length: 1 << 30}} // longer than the bound
		c.transfer = &linkTransfer{scheduler: s, ctx: t.Context(), class: linkshare.Class{Large: true}}
		return c
	}
	first := newCall()
	if err := s.reserveMemory(time.Now(), first, 512<<10); err != nil {
		t.Error(err)
	}
	if err := s.reserveMemory(time.Now(), newCall(), 512<<10); err == nil || err.RetryAfter <= 0 {
		t.Errorf("more than the bound: %v", err)
	}
	first.transfer.end()
	for _, full := range []bool{false, true} {
		for _, size := range []int{0, 100, maxBufferedResponse, 300_000, maxHeldResponse, 3 << 20} {
			for _, length := range []int64{int64(size), -1} {
				transfer, body := newCall().transfer, strings.NewReader(strings.Repeat("0", size))
				head, complete, err := transfer.readResponse(body, length)
				if err != nil || len(head)+body.Len() != size || (complete && body.Len() > 0) || (full && len(head) > maxBufferedResponse) {
					t.Errorf("%d bytes of %d, complete %v, full %v, %v", len(head), size, complete, full, err)
				}
				if !full && !complete && size < maxHeldResponse {
					t.Errorf("only %d of %d bytes were read ahead", len(head), size)
				}
				transfer.end()
			}
		}
		if s.memory.Held() != 0 && !full {
			t.Errorf("%d bytes are held", s.memory.Held())
		}
		s.memory.Add(3_000_000)
	}
}

// Guards against a share of a link that a faulty host reports and that misleads this one.
func TestInvalidLinkShareIsIgnored(t *testing.T) {
	for text, want := range map[string]float64{"": 0, "x": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e9": 0, "1.5": 1.5} {
		if got := decodeLinkShare(text); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}
