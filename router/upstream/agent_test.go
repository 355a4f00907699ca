package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
)

// fakeLimiter records the slots passed to Reset.
type fakeLimiter struct {
	calls []string
}

func (l *fakeLimiter) Reset(n int) { l.calls = append(l.calls, fmt.Sprint(n)) }

func post(h http.Handler, path, body, remote string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.RemoteAddr = remote
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const loopback = "127.0.0.1:4000"

const validAnnouncement = `{"service":"s","address":"127.0.0.1:9000","slots":16,"connections":120,"kind":"fenced"}`

// Guards against malformed or oversized messages, or ones from other hosts, that
// change the state, and against refusals that do not name their cause.
func TestInvalidMessagesAreRefused(t *testing.T) {
	service := func(name string) (note.Service, bool) { return note.DefaultService(name), name == "s" }
	a := NewAgent(AgentOptions{Service: service})
	replace := func(old, new string) string { return strings.Replace(validAnnouncement, old, new, 1) }
	cases := []struct {
		path, body, remote string
		kind               errkind.Kind
		detail             string
	}{
		{"/v1/announce", replace(`"slots"`, `"slotz"`), loopback, errkind.BadRequest, "slotz"},
		{"/v1/announce", validAnnouncement + "{}", loopback, errkind.BadRequest, "after its end"},
		{"/v1/announce", replace("127.0.0.1:9000", "localhost:9000"), loopback, errkind.BadRequest, "IP address"},
		{"/v1/announce", replace("127.0.0.1:9000", "0.0.0.0:9000"), loopback, errkind.BadRequest, "unicast"},
		{"/v1/announce", replace("16", "0"), loopback, errkind.BadRequest, "slots"},
		{"/v1/announce", replace("120", "-1"), loopback, errkind.BadRequest, "connections"},
		{"/v1/announce", replace("fenced", "iron"), loopback, errkind.BadRequest, "kind"},
		{"/v1/announce", replace("fenced", "plain"), loopback, errkind.BadRequest, "defined as"},
		{"/v1/announce", replace(`"s"`, `"other"`), loopback, errkind.UnknownService, "other"},
		{"/v1/announce", replace("fenced", strings.Repeat("x", maxMessage)), loopback, errkind.TooLarge, "bytes"},
		{"/v1/announce", validAnnouncement, "10.0.0.1:4000", errkind.Unauthorized, "10.0.0.1"},
		{"/v1/renew", `{"load":1}`, loopback, errkind.BadRequest, "healthy"},
		{"/v1/renew", `{"load":-1,"healthy":true}`, loopback, errkind.BadRequest, "load"},
		{"/v1/renew", `{"load":1,"healthy":true}`, loopback, errkind.Conflict, "announce first"},
		{"/v1/drain", ``, loopback, errkind.Conflict, "announce first"},
		{"/v1/withdraw", `{"x":1}`, loopback, errkind.BadRequest, "x"},
	}
	for _, c := range cases {
		w := post(a.Handler(), c.path, c.body, c.remote)
		if w.Header().Get(errkind.HeaderError) != string(c.kind) || !strings.Contains(w.Body.String(), c.detail) {
			t.Errorf("%s %s: status %d, %s", c.path, c.body, w.Code, w.Body)
		}
	}
	if got := a.Status().State; got != Absent {
		t.Errorf("refused messages led to state %s", got)
	}
}

// Guards against a limiter or client that is not updated when the upstream is
// announced, restarts, drains or is removed.
func TestAgentUpdatesLimiterAndClient(t *testing.T) {
	limiter := &fakeLimiter{}
	a := NewAgent(AgentOptions{Limiter: limiter})
	for _, m := range []struct {
		path, body string
		want       State
	}{
		{"/v1/announce", validAnnouncement, Announced},
		{"/v1/announce", strings.Replace(validAnnouncement, "16", "18", 1), Announced},
		{"/v1/announce", strings.Replace(validAnnouncement, "16", "18", 1), Announced},
		{"/v1/renew", `{"load":0.5,"healthy":true}`, Announced},
		{"/v1/drain", ``, Draining},
		{"/v1/withdraw", `{}`, Draining},
	} {
		w := post(a.Handler(), m.path, m.body, loopback)
		if w.Code != http.StatusOK || a.Status().State != m.want {
			t.Fatalf("%s: status %d %s, state %s", m.path, w.Code, w.Body, a.Status().State)
		}
	}
	if s := a.Status(); !s.Withdrawn || s.Load != 0.5 {
		t.Errorf("status %+v", s)
	}
	a.Evacuated()
	if got := strings.Join(limiter.calls, ", "); got != "16, 18, 18, 0" {
		t.Errorf("the limiter was reset to %s slots", got)
	}
	if a.client.target.Load() != nil {
		t.Error("the client still has a target")
	}
}

// Guards against a failed upstream that is not detected: the agent must probe a
// silent upstream, and a refused connection must take effect immediately.
func TestAgentProbesSilentUpstream(t *testing.T) {
	probed := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { probed <- r.URL.Path }))
	changes := make(chan State, 10)
	a := NewAgent(AgentOptions{RenewTimeout: 10 * time.Millisecond, OnChange: func(s Status) { changes <- s.State }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go a.Run(ctx)
	w := post(a.Handler(), "/v1/announce", strings.Replace(validAnnouncement, "127.0.0.1:9000", serverAddress(s), 1), loopback)
	if w.Code != http.StatusOK {
		t.Fatal(w.Body)
	}
	if path := <-probed; path != ProbePath {
		t.Errorf("probed %s", path)
	}
	s.Close()
	for state := range changes {
		if state == Down {
			return
		}
	}
}
