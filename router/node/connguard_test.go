package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/forward"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/router/retry"
	"burdockglade.dev/router/route"
	"burdockglade.dev/router/settings"
)

// startGuarded starts a server behind the guard that a node with the settings has, and returns
// its address.
func startGuarded(t *testing.T, s settings.Settings, class connlimit.Class, h http.Handler) string {
	t.Helper()
	n := &Node{settings: s, log: event.NewLogger(io.Discard, 0), options: Options{Metrics: metrics.New()}}
	g := n.buildGuard()
	server := httptest.NewUnstartedServer(h)
	server.Listener = g.Listener(server.Listener, class)
	g.Protect(server.Config, connguard.ServerOptions{DrainTime: drainTimeout})
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newEntry returns an entry of a router that knows the holder of all keys.
func newEntry(holder ownership.Host) *forward.Entry {
	routes := route.NewTable()
	routes.Merge(ownership.Group{Service: "orders", ID: "g", Holder: holder, Generation: 1, Version: 1, Shards: []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}}})
	return forward.NewEntry(forward.Options{
		Self:         ownership.Host{Name: "self", Incarnation: 1},
		Services:     func(string) (note.Service, bool) { return note.DefaultService("orders"), true },
		Ready:        func() bool { return true },
		Routes:       routes,
		Gate:         runsNothing{},
		MergeRecords: func(...ownership.Group) {},
		Budget:       retry.NewBudgets(),
		Scope:        metrics.New(),
	})
}

// runsNothing is a gate without an upstream.
type runsNothing struct{}

func (runsNothing) Serve(http.ResponseWriter, *http.Request, gate.Request) error {
	return errkind.New(errkind.OutcomeUnknown, "the request reached the gate")
}

// Guards against a refusal by the limits of another router that is taken for an unknown
// outcome: the caller could not repeat the request, although it has not run.
func TestRefusalByOwnersLimitsHasNotRun(t *testing.T) {
	for name, change := range map[string]func(*settings.Host){
		"head":        func(h *settings.Host) { h.MemoryMB = 0.1 }, // a connection fits, and no head
		"descriptors": func(h *settings.Host) { h.MaxFDs = 201 },   // a connection fits, and no request
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Default()
			change(&s.Host)
			hop := startGuarded(t, s, connlimit.Router, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				t.Error("the request reached the handler")
			}))
			response := httptest.NewRecorder()
			req := httptest.NewRequest(http.MethodPost, "/orders/k", nil)
			newEntry(ownership.Host{Name: "owner", Incarnation: 2, HopAddr: hop}).ServeHTTP(response, req)
			if got := response.Header().Get(errkind.HeaderOutcome); response.Code != http.StatusServiceUnavailable || got != string(errkind.NotRun) {
				t.Errorf("status %d, outcome %q, body %s", response.Code, got, response.Body)
			}
		})
	}
}

// Guards against clients that keep a request open for ever by a body that does not arrive, and
// against one that is refused before its deadline.
func TestSlowBodyIsRefusedAtDeadline(t *testing.T) {
	address := startGuarded(t, settings.Default(), connlimit.Caller, newEntry(ownership.Host{Name: "self", Incarnation: 1}))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // an error shows in the read
	start := time.Now()
	if _, err := io.WriteString(conn, "POST /orders/k HTTP/1.1\r\nHost: a\r\n"+forward.HeaderTimeout+": 200\r\nContent-Length: 1000\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if kind := resp.Header.Get(errkind.HeaderError); kind != string(errkind.DeadlinePassed) || !resp.Close || time.Since(start) < 200*time.Millisecond {
		t.Errorf("kind %q, close %v after %v", kind, resp.Close, time.Since(start))
	}
}

// Guards against limits of the guard that come before those of the settings: clients within
// them would lose connections that were served before the guard was added.
func TestGuardKeepsLimitsOfSettings(t *testing.T) {
	s := settings.Default()
	s.Limits.MaxHeaderBytes = 8 << 10
	s.Limits.IdleTimeout, s.Limits.ReadHeaderTimeout = time.Hour, time.Minute
	address := startGuarded(t, s, connlimit.Caller, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, value := range []string{strings.Repeat("x", 8<<10), "x"} {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Long", value)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("a field of %d bytes: status %d", len(value), resp.StatusCode)
		}
	}
	n := &Node{settings: s, options: Options{Metrics: metrics.New()}}
	for class, least := range map[connlimit.Class]time.Duration{connlimit.Caller: time.Hour, connlimit.Control: time.Hour, connlimit.Probe: time.Hour, connlimit.Router: peer.ServerIdleTimeout} {
		if got := n.connTimeouts(class); min(got.Fresh, got.Head, got.Idle) <= least {
			t.Errorf("class %v: %+v, want more than %v", class, got, least)
		}
	}
}
