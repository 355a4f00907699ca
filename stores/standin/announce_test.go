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

// message is what a router received.
type message struct {
	path, body string
	status     int // that the router answered
}

// fakeRouter answers messages with the status that next returns, and passes
// them on.
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

func accept(string) int { return http.StatusNoContent }

// expect receives messages until one has the path.
func expect(t *testing.T, messages <-chan message, path string) message {
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

// Guards against an upstream that its router never learns of, or with wrong
// values.
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
	if m := expect(t, messages, "POST /v1/renew"); m.body != `{"load":0,"healthy":true}` {
		t.Errorf("renewed with %s", m.body)
	}
	setFaults(t, u, standin.UpstreamFaults{ReportLoad: new(0.25), ReportHealthy: new(false)})
	for expect(t, messages, "POST /v1/renew").body != `{"load":0.25,"healthy":false}` {
	}
}

// Guards against an upstream that stays unknown to a router that refused its
// first announcement, or that was restarted.
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

// Guards against an upstream that leaves without telling its router, and
// against work that is cut off by a planned stop.
func TestStopDrainsAndWithdraws(t *testing.T) {
	url, messages := fakeRouter(t, accept)
	u := startUpstream(t, standin.UpstreamOptions{Router: url, RenewInterval: time.Minute})
	expect(t, messages, "POST /v1/announce")
	done := heldRequest(t, u, grant{"g", 1, farFuture})
	stopped := make(chan error, 1)
	go func() { stopped <- u.Stop(t.Context(), time.Millisecond) }()
	expect(t, messages, "POST /v1/drain")
	select {
	case <-stopped:
		t.Fatal("the upstream stopped with a request at work")
	default:
	}
	setFaults(t, u, standin.UpstreamFaults{})
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	expect(t, messages, "POST /v1/withdraw")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
