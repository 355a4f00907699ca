package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/locality"
)

// heldProxy passes bytes on between a client and an address. It holds back what the client
// sends from the chunk with the given index on until release is closed.
type heldProxy struct {
	listener net.Listener
	held     int
	holding  chan struct{}
	release  chan struct{}
}

func newHeldProxy(t *testing.T, to string, held int) *heldProxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &heldProxy{listener: l, held: held, holding: make(chan struct{}), release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", to)
		if err != nil {
			t.Error(err)
			return
		}
		go func() { _, _ = io.Copy(client, server) }()
		p.copyHeld(server, client)
		_ = server.Close()
		_ = client.Close()
	}()
	return p
}

func (p *heldProxy) copyHeld(to io.Writer, from io.Reader) {
	chunk := make([]byte, 64<<10)
	for i := 0; ; i++ {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if i == p.held {
			close(p.holding)
			<-p.release
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// Guards against a busy host that counts as unreachable, and so gets no requests for a while,
// because the deadline of a request passed while it waited there without its body.
func TestDeadlineInTheQueueDoesNotMakeAHostUnreachable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	proxy := newHeldProxy(t, c.hosts[0].settings.Listen.Hop, 1) // the head is held back
	defer close(proxy.release)
	client := newHopClient(proxy.listener.Addr().String())
	call := &Call{Service: "other", RequestID: "refused", Header: http.Header{}, Body: make([]byte, 4000), Deadline: time.Now().Add(20 * time.Second), deferBody: true}
	sendHop(t.Context(), client, testHeaders, call)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	ctx, cancel := context.WithDeadline(t.Context(), call.Deadline)
	defer cancel()
	r := sendHop(ctx, client, testHeaders, call)
	if r.Err == nil || r.Err.Kind != errkind.DeadlinePassed || r.Arrived || r.Unreachable {
		t.Errorf("got %+v", r)
	}
}

// Guards against a request that is run although the router has begun to stop while the body
// of the request was on its way.
func TestChecksFollowTheDeferredBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	to := c.hosts[0]
	proxy := newHeldProxy(t, to.settings.Listen.Hop, 2) // the refused request, the head, and the body that is held back
	client := newHopClient(proxy.listener.Addr().String())
	call := &Call{
		Method: "POST", Target: "/pay/1", Host: "test", RequestID: "held", Service: "plain", Header: http.Header{},
		Body: []byte(strings.Repeat("x", 4000)), Deadline: time.Now().Add(20 * time.Second), deferBody: true,
	}
	refused := *call
	refused.Service, refused.RequestID = "other", "refused"
	if r := sendHop(t.Context(), client, testHeaders, &refused); r.Err == nil || r.Err.Kind != errkind.WrongOwner {
		t.Fatalf("got %+v", r)
	}
	go func() {
		<-proxy.holding
		to.stopStartedAt.Store(int64(boottime.Now().Add(-2 * drainNoticeTime)))
		to.stopping.Store(true)
		close(proxy.release)
	}()
	r := sendHop(t.Context(), client, testHeaders, call)
	to.stopping.Store(false)
	if r.Err == nil || r.Err.Kind != errkind.Draining || r.Arrived || to.upstream.runCount("held") != 0 {
		t.Errorf("got %+v after %d runs, want a refusal after none", r, to.upstream.runCount("held"))
	}
}

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
