package standin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/stores/standin"
)

// message is a request that the router received.
type message struct {
	path, body string
	status     int // of the response
}

// fakeRouter starts a router that responds with the status that next returns
// and sends what it received to messages.
func fakeRouter(t *testing.T, next func(path string) int) (url string, messages <-chan message) {
	t.Helper()
	received := make(chan message)
	end := make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		status := next(r.URL.Path)
		select {
		case received <- message{r.Method + " " + r.URL.Path, string(body), status}:
		case <-end:
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(web.Close)
	t.Cleanup(func() { close(end) })
	return web.URL, received
}

// accept is a next function that accepts every message.
func accept(string) int { return http.StatusNoContent }

// expectMessage receives messages until one has the method and path.
func expectMessage(t *testing.T, messages <-chan message, path string) message {
	t.Helper()
	for {
		select {
		case m := <-messages:
			if m.path == path {
				return m
			}
		case <-t.Context().Done():
			t.Fatalf("no message %s arrived", path)
		}
	}
}

// Guards against an upstream that does not register at its router, or does so
// with wrong values.
func TestAnnouncesAndRenews(t *testing.T) {
	url, messages := fakeRouter(t, accept)
	u := startUpstream(t, standin.UpstreamOptions{Router: url, Slots: 4, Connections: 9, Kind: standin.KindDeadline, RenewInterval: time.Millisecond})
	first := <-messages
	var got standin.Announcement
	if err := json.Unmarshal([]byte(first.body), &got); err != nil || first.path != "POST /v1/announce" {
		t.Fatalf("first message %+v, %v", first, err)
	}
	want := standin.Announcement{Service: "orders", Address: u.Address(), Slots: 4, Connections: 9, Kind: standin.KindDeadline}
	if got != want {
		t.Errorf("announced %+v, want %+v", got, want)
	}
	if m := expectMessage(t, messages, "POST /v1/renew"); m.body != `{"load":0,"healthy":true}` {
		t.Errorf("renewed with %s", m.body)
	}
	setFaults(t, u, standin.UpstreamFaults{ReportLoad: new(0.25), ReportHealthy: new(false)})
	for expectMessage(t, messages, "POST /v1/renew").body != `{"load":0.25,"healthy":false}` {
	}
}

// Guards against an upstream that stays unregistered after the router rejected
// its first announcement or restarted.
func TestAnnouncesAgain(t *testing.T) {
	announcements, renewals := 0, 0
	url, messages := fakeRouter(t, func(path string) int {
		if path == "/v1/announce" {
			announcements++
			if announcements == 1 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
		renewals++
		if renewals == 2 {
			return http.StatusNotFound
		}
		return http.StatusOK
	})
	startUpstream(t, standin.UpstreamOptions{Router: url, RenewInterval: time.Millisecond})
	var order []string
	for len(order) < 6 {
		m := <-messages
		order = append(order, strings.TrimPrefix(m.path, "POST /v1/"))
	}
	if got := strings.Join(order, " "); got != "announce announce renew renew announce renew" {
		t.Errorf("messages %s", got)
	}
}

// Guards against an upstream that stops without notifying its router, and
// against a graceful stop that interrupts running work.
func TestStopDrainsAndWithdraws(t *testing.T) {
	url, messages := fakeRouter(t, accept)
	u := startUpstream(t, standin.UpstreamOptions{Router: url, RenewInterval: time.Minute})
	expectMessage(t, messages, "POST /v1/announce")
	done := startHeldRequest(t, u, requestFence{"g", 1, farFuture})
	stopped := make(chan error, 1)
	go func() { stopped <- u.Stop(t.Context(), time.Millisecond) }()
	expectMessage(t, messages, "POST /v1/drain")
	select {
	case <-stopped:
		t.Fatal("the upstream stopped with a request at work")
	default:
	}
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	expectMessage(t, messages, "POST /v1/withdraw")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
