package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/route"
)

const token = "hop-token"

// gateFunc implements Gate with a function.
type gateFunc func(w http.ResponseWriter, r *http.Request, req gate.Request) error

func (f gateFunc) Serve(w http.ResponseWriter, r *http.Request, req gate.Request) error {
	return f(w, r, req)
}

// echoGate responds with its name, the key and the body.
func echoGate(name string) gateFunc {
	return func(w http.ResponseWriter, r *http.Request, req gate.Request) error {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return errkind.New(errkind.OutcomeUnknown, "reading the body: %w", err)
		}
		_, _ = fmt.Fprintf(w, "%s %s %s", name, req.Key, body)
		return nil
	}
}

// peersFunc implements Peers with a function.
type peersFunc func(to ownership.Host, method string, params, response any) error

func (f peersFunc) Call(_ context.Context, to ownership.Host, method string, params, response any) error {
	return f(to, method, params, response)
}

func (f peersFunc) CallFresh(_ context.Context, to ownership.Host, method string, params, response any) error {
	return f(to, method, params, response)
}

// noPeers fails every control call as unreachable.
func noPeers(to ownership.Host, _ string, _, _ any) error {
	return errkind.New(errkind.PeerUnreachable, "host %s", to.Name)
}

// budget allows a fixed number of retries.
type budget struct {
	remaining atomic.Int64
}

func (b *budget) RecordRequest(string, float64) {}

func (b *budget) AllowRetry(string) bool {
	return b.remaining.Add(-1) >= 0
}

func services(name string) (note.Service, bool) {
	s := note.DefaultService("orders")
	s.MaxBody = 1 << 20
	return s, name == "orders"
}

// startOwner starts the hop server of a host and returns the host.
func startOwner(t *testing.T, name string, g gateFunc, newest *route.Table) ownership.Host {
	t.Helper()
	if newest == nil {
		newest = route.NewTable()
	}
	server := httptest.NewServer(NewHopServer(HopServerOptions{
		Gate:         g,
		CheckToken:   func(s string) bool { return s == token },
		Services:     services,
		NewestRecord: newest.Lookup,
	}))
	t.Cleanup(server.Close)
	return ownership.Host{Name: name, Incarnation: 1, HopAddr: server.Listener.Addr().String()}
}

// fullRangeGroup returns the record of a group that holds all keys of the service.
func fullRangeGroup(holder ownership.Host, version int64) ownership.Group {
	return ownership.Group{
		Service: "orders", ID: "g", Holder: holder, Generation: uint64(version), Version: version,
		Shards: []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}},
	}
}

// startEntry starts the entry of a router named self and returns its URL.
func startEntry(t *testing.T, routes *route.Table, local gateFunc, peers peersFunc, retries int64) string {
	t.Helper()
	return startLoggingEntry(t, routes, local, peers, retries, nil)
}

// startLoggingEntry is startEntry with a log.
func startLoggingEntry(t *testing.T, routes *route.Table, local gateFunc, peers peersFunc, retries int64, log *event.Logger) string {
	t.Helper()
	b := &budget{}
	b.remaining.Store(retries)
	e := NewEntry(Options{
		Self:         ownership.Host{Name: "self", Incarnation: 1},
		Services:     services,
		Ready:        func() bool { return true },
		Routes:       routes,
		Gate:         local,
		Peers:        peers,
		HopToken:     token,
		MergeRecords: func(records ...ownership.Group) { routes.Merge(records...) },
		ReadGroup: func(context.Context, string, string) (ownership.Group, error) {
			return ownership.Group{}, errors.New("no store")
		},
		Budget: b,
		Log:    log,
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

type callResult struct {
	status  int
	header  http.Header
	body    string
	bodyErr error
}

func sendRequest(t *testing.T, method, url, body string, headers ...string) callResult {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	return callResult{resp.StatusCode, resp.Header, string(respBody), err}
}

func (g callResult) wantRefusal(t *testing.T, kind errkind.Kind, outcome errkind.Outcome) {
	t.Helper()
	if g.header.Get(errkind.HeaderError) != string(kind) || g.header.Get(errkind.HeaderOutcome) != string(outcome) {
		t.Errorf("status %d, error %q, outcome %q, body %s: want %s, %s", g.status,
			g.header.Get(errkind.HeaderError), g.header.Get(errkind.HeaderOutcome), g.body, kind, outcome)
	}
}

// Guards against responses of the wrong owner and lost bodies, with a local and a
// remote owner.
func TestRequestReachesOwner(t *testing.T) {
	for _, remote := range []bool{false, true} {
		routes := route.NewTable()
		holder := ownership.Host{Name: "self", Incarnation: 1}
		if remote {
			holder = startOwner(t, "b", echoGate("remote"), nil)
		}
		routes.Merge(fullRangeGroup(holder, 1))
		url := startEntry(t, routes, echoGate("local"), noPeers, 0)
		want := "local a/b body"
		if remote {
			want = "remote a/b body"
		}
		g := sendRequest(t, http.MethodPost, url+"/orders/a%2Fb/more?x=1", "body")
		if g.status != http.StatusOK || g.body != want || g.header.Get(HeaderOwner) != holder.Name {
			t.Errorf("remote %v: status %d, body %q, owner %q", remote, g.status, g.body, g.header.Get(HeaderOwner))
		}
	}
}

// Guards against a router that normalizes paths: empty and dot segments after the
// key are significant to the upstream.
func TestPathReachesGateUnchanged(t *testing.T) {
	seen := ""
	holder := startOwner(t, "b", func(w http.ResponseWriter, _ *http.Request, req gate.Request) error {
		seen = req.Path
		_, err := io.WriteString(w, "ok")
		return err
	}, nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 0)
	const path = "/orders/k//a/./../b%2Fc?x=%20&y"
	if g := sendRequest(t, http.MethodGet, url+path, ""); g.status != http.StatusOK || seen != path {
		t.Errorf("status %d, path %q, want %q", g.status, seen, path)
	}
}

// Guards against internal headers that are forged by a caller or an upstream.
func TestInternalHeadersAreStripped(t *testing.T) {
	var seen http.Header
	holder := startOwner(t, "b", func(w http.ResponseWriter, r *http.Request, _ gate.Request) error {
		seen = r.Header.Clone()
		w.Header().Set(HeaderRefusal, "wrong_owner")
		w.Header().Set("X-Answer", "yes")
		_, _ = io.WriteString(w, "ok")
		return nil
	}, nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 0)
	sendRequest(t, http.MethodGet, url+"/orders/k", "", "Burdock-Generation", "99", "Burdock-Hop-Token", "x", "X-Own", "1", "Connection", "X-Gone", "X-Gone", "1")
	for name := range seen {
		if strings.HasPrefix(name, "Burdock-") || name == "X-Gone" {
			t.Errorf("header %s reached the gate", name)
		}
	}
	if seen.Get("X-Own") != "1" {
		t.Error("a header of the caller was lost")
	}
}

// Guards against a hop port that accepts unauthenticated requests.
func TestHopRequiresToken(t *testing.T) {
	holder := startOwner(t, "b", echoGate("remote"), nil)
	sendRequest(t, http.MethodGet, "http://"+holder.HopAddr+"/hop/orders/k", "").wantRefusal(t, errkind.Unauthorized, errkind.NotRun)
	sendRequest(t, http.MethodGet, "http://"+holder.HopAddr+"/hop/orders/k", "", headerHopToken, "wrong").wantRefusal(t, errkind.Unauthorized, errkind.NotRun)
}

// Guards against requests that fail because a route is stale, and against a
// correction that is charged to the retry budget.
func TestStaleRouteIsCorrected(t *testing.T) {
	newer := route.NewTable()
	right := startOwner(t, "right", echoGate("right"), newer)
	newer.Merge(fullRangeGroup(right, 2))
	stale := startOwner(t, "stale", func(http.ResponseWriter, *http.Request, gate.Request) error {
		return errkind.New(errkind.WrongOwner, "moved")
	}, newer)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(stale, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 0)
	if g := sendRequest(t, http.MethodPost, url+"/orders/k", "body"); g.body != "right k body" {
		t.Errorf("status %d, body %q", g.status, g.body)
	}
}

// Guards against endless retries when a host refuses a key that, by its own route
// table, it owns.
func TestRetriesOfContradictoryRefusalsAreLimited(t *testing.T) {
	table := route.NewTable()
	wrong := func(http.ResponseWriter, *http.Request, gate.Request) error {
		return errkind.New(errkind.WrongOwner, "not here")
	}
	a := startOwner(t, "a", wrong, table)
	table.Merge(fullRangeGroup(a, 1))
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(a, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 2)
	sendRequest(t, http.MethodGet, url+"/orders/k", "", HeaderTimeout, "2000").wantRefusal(t, errkind.WrongOwner, errkind.NotRun)
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against keys that stay unreachable after the standby took them over.
func TestStandbyIsAskedWhenTheHolderIsLost(t *testing.T) {
	standby := startOwner(t, "standby", echoGate("standby"), nil)
	standby.ControlAddr = "standby-control"
	failed := fullRangeGroup(ownership.Host{Name: "lost", Incarnation: 1, HopAddr: unusedAddress(t)}, 1)
	failed.Standby = standby
	routes := route.NewTable()
	routes.Merge(failed)
	var queries atomic.Int32
	peers := func(to ownership.Host, method string, _, response any) error {
		if to.Name != "standby" || method != MethodRoute {
			return noPeers(to, method, nil, nil)
		}
		out := response.(*RouteResponse)
		if queries.Add(1) > 1 {
			takenOver := fullRangeGroup(standby, 2)
			out.Record = &takenOver
		}
		return nil
	}
	url := startEntry(t, routes, echoGate("local"), peers, 10)
	if g := sendRequest(t, http.MethodPost, url+"/orders/k", "body"); g.body != "standby k body" {
		t.Errorf("status %d, body %q", g.status, g.body)
	}
}

// startBreakingOwner starts a host that closes each connection after it has read
// the request.
func startBreakingOwner(t *testing.T, received *atomic.Int32) ownership.Host {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return ownership.Host{Name: "breaking", Incarnation: 1, HopAddr: server.Listener.Addr().String()}
}

// Guards against non-idempotent work without an idempotency key that runs twice,
// and against a refusal that claims that it did not run.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	var received atomic.Int32
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(startBreakingOwner(t, &received), 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 10)
	sendRequest(t, http.MethodPost, url+"/orders/k", "body").wantRefusal(t, errkind.OutcomeUnknown, errkind.Unknown)
	if received.Load() != 1 {
		t.Errorf("the work was sent %d times", received.Load())
	}
}

// Guards against refusing a request although the owner has cancelled it before its
// arrival, so that a retry is safe.
func TestCancelledRequestIsRetried(t *testing.T) {
	var received atomic.Int32
	first := startBreakingOwner(t, &received)
	second := startOwner(t, "second", echoGate("second"), nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(first, 1))
	peers := func(_ ownership.Host, method string, params, response any) error {
		if method != MethodResolve {
			return errors.New("unexpected method")
		}
		if q := params.(gate.ResolveQuery); !strings.HasSuffix(q.ID, ".0") {
			return fmt.Errorf("unexpected id %q", q.ID)
		}
		routes.Merge(fullRangeGroup(second, 2))
		*response.(*gate.ResolveResponse) = gate.ResolveResponse{State: gate.ResolveNotRun, MaxRequestAge: time.Minute}
		return nil
	}
	url := startEntry(t, routes, echoGate("local"), peers, 10)
	if g := sendRequest(t, http.MethodPost, url+"/orders/k", "body"); g.body != "second k body" {
		t.Errorf("status %d, body %q", g.status, g.body)
	}
}

// Guards against trusting a not_run that arrives after MaxRequestAge, when the gate
// may have removed a request that ran.
func TestLateResolutionIsUnknown(t *testing.T) {
	var received atomic.Int32
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(startBreakingOwner(t, &received), 1))
	peers := func(_ ownership.Host, _ string, _, response any) error {
		*response.(*gate.ResolveResponse) = gate.ResolveResponse{State: gate.ResolveNotRun, MaxRequestAge: time.Nanosecond}
		return nil
	}
	url := startEntry(t, routes, echoGate("local"), peers, 10)
	sendRequest(t, http.MethodPost, url+"/orders/k", "body").wantRefusal(t, errkind.OutcomeUnknown, errkind.Unknown)
	if received.Load() != 1 {
		t.Errorf("the work was sent %d times", received.Load())
	}
}

// Guards against an idempotency key that is lost between routers: a request with a
// key is retried, and the owner's journal prevents a second run.
func TestRetryKeepsIdempotencyKey(t *testing.T) {
	var mu sync.Mutex
	var keys []string
	holder := startOwner(t, "b", func(w http.ResponseWriter, r *http.Request, req gate.Request) error {
		mu.Lock()
		keys = append(keys, req.IdempotencyKey)
		n := len(keys)
		mu.Unlock()
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		return echoGate("b")(w, r, req)
	}, nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 10)
	g := sendRequest(t, http.MethodPost, url+"/orders/k", "body", HeaderIdempotencyKey, "pay-1")
	if g.body != "b k body" || strings.Join(keys, ",") != "pay-1,pay-1" {
		t.Errorf("status %d, body %q, keys %v", g.status, g.body, keys)
	}
}

// Guards against endless retries of work whose outcome is recorded as unknown in
// the owner's journal.
func TestUnknownOutcomeInJournalIsFinal(t *testing.T) {
	var received atomic.Int32
	holder := startOwner(t, "b", func(http.ResponseWriter, *http.Request, gate.Request) error {
		received.Add(1)
		return errkind.New(errkind.OutcomeUnknown, "an earlier holder may have run it")
	}, nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 10)
	sendRequest(t, http.MethodPost, url+"/orders/k", "body", HeaderIdempotencyKey, "pay-1").wantRefusal(t, errkind.OutcomeUnknown, errkind.Unknown)
	if received.Load() != 1 {
		t.Errorf("the work was sent %d times", received.Load())
	}
}

// Guards against a request that waits until its deadline on a connection that no
// longer delivers data although a new connection would work.
func TestSilentHopIsResolved(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int32
	holder := startOwner(t, "b", func(w http.ResponseWriter, r *http.Request, req gate.Request) error {
		if calls.Add(1) == 1 {
			<-release
		}
		return echoGate("b")(w, r, req)
	}, nil)
	defer close(release)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	peers := func(_ ownership.Host, _ string, _, response any) error {
		*response.(*gate.ResolveResponse) = gate.ResolveResponse{State: gate.ResolveNotRun, MaxRequestAge: time.Minute}
		return nil
	}
	url := startEntry(t, routes, echoGate("local"), peers, 10)
	if g := sendRequest(t, http.MethodPost, url+"/orders/k", "body"); g.body != "b k body" || calls.Load() != 2 {
		t.Errorf("status %d, body %q after %d calls", g.status, g.body, calls.Load())
	}
}

// Guards against a truncated response that the caller takes for a complete one.
func TestTruncatedResponseIsAborted(t *testing.T) {
	holder := startOwner(t, "b", func(w http.ResponseWriter, _ *http.Request, _ gate.Request) error {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, nil)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(holder, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 10)
	if g := sendRequest(t, http.MethodGet, url+"/orders/k", ""); g.bodyErr == nil {
		t.Errorf("status %d, body %q without an error", g.status, g.body)
	}
}

// Guards against a caller that receives the response to another request.
func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRequestID, "another.0")
		_, _ = io.WriteString(w, "another's response")
	}))
	t.Cleanup(server.Close)
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(ownership.Host{Name: "b", Incarnation: 1, HopAddr: server.Listener.Addr().String()}, 1))
	url := startEntry(t, routes, echoGate("local"), noPeers, 0)
	g := sendRequest(t, http.MethodPost, url+"/orders/k", "body")
	g.wantRefusal(t, errkind.OutcomeUnknown, errkind.Unknown)
	if strings.Contains(g.body, "another's response") {
		t.Error("the caller received the response to another request")
	}
}

// Guards against malformed requests that reach the gate or are refused with the
// wrong error kind.
func TestMalformedRequestsAreRefused(t *testing.T) {
	routes := route.NewTable()
	routes.Merge(fullRangeGroup(ownership.Host{Name: "self", Incarnation: 1}, 1))
	url := startEntry(t, routes, func(http.ResponseWriter, *http.Request, gate.Request) error {
		t.Error("the request reached the gate")
		return nil
	}, noPeers, 0)
	tests := []struct {
		path    string
		body    string
		headers []string
		kind    errkind.Kind
	}{
		{"/", "", nil, errkind.BadRequest},
		{"/orders", "", nil, errkind.BadRequest},
		{"/orders/", "", nil, errkind.BadRequest},
		{"/unknown/k", "", nil, errkind.UnknownService},
		{"/orders/" + strings.Repeat("k", maxKeyBytes+1), "", nil, errkind.BadRequest},
		{"/orders/k", "", []string{HeaderTimeout, "soon"}, errkind.BadRequest},
		{"/orders/k", "", []string{HeaderTimeout, "-5"}, errkind.BadRequest},
		{"/orders/k", "", []string{HeaderTenant, strings.Repeat("t", maxTenantBytes+1)}, errkind.BadRequest},
		{"/orders/k", "", []string{HeaderIdempotencyKey, strings.Repeat("i", maxIdempotencyKeyBytes+1)}, errkind.BadRequest},
		{"/orders/k", strings.Repeat("b", 1<<20+1), nil, errkind.TooLarge},
	}
	for _, test := range tests {
		sendRequest(t, http.MethodPost, url+test.path, test.body, test.headers...).wantRefusal(t, test.kind, errkind.NotRun)
	}
}

// Guards against a request for a key without an owner that hangs or is refused with
// the wrong outcome.
func TestKeyWithoutOwnerIsRefused(t *testing.T) {
	url := startEntry(t, route.NewTable(), echoGate("local"), noPeers, 0)
	sendRequest(t, http.MethodPost, url+"/orders/k", "body").wantRefusal(t, errkind.NoOwner, errkind.NotRun)
}

// Guards against refusals by a router that has just started and lacks ownership
// records that its peers have.
func TestMissingRecordIsQueriedFromPeer(t *testing.T) {
	holder := startOwner(t, "b", echoGate("b"), nil)
	routes := route.NewTable()
	b := &budget{}
	e := NewEntry(Options{
		Self: ownership.Host{Name: "self", Incarnation: 1}, Services: services, Ready: func() bool { return true },
		Routes: routes, Gate: echoGate("local"), HopToken: token, Budget: b,
		MergeRecords: func(records ...ownership.Group) { routes.Merge(records...) },
		AnyPeer:      func() (ownership.Host, bool) { return ownership.Host{Name: "peer"}, true },
		Peers: peersFunc(func(to ownership.Host, method string, _, response any) error {
			if to.Name != "peer" || method != MethodRoute {
				return noPeers(to, method, nil, nil)
			}
			record := fullRangeGroup(holder, 1)
			response.(*RouteResponse).Record = &record
			return nil
		}),
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	if g := sendRequest(t, http.MethodPost, server.URL+"/orders/k", "body"); g.body != "b k body" {
		t.Errorf("status %d, body %q", g.status, g.body)
	}
}

// FuzzSplitPath guards against a panic or an empty key on malformed paths.
func FuzzSplitPath(f *testing.F) {
	for _, seed := range []string{"", "/", "/a/b", "/a/%2F", "/a/%zz", "//b", "/a//c"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		service, key, err := splitPath(path)
		if err == nil && (service == "" || key == "") {
			t.Errorf("path %q: service %q, key %q", path, service, key)
		}
	})
}
