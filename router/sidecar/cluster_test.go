package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

var testHeaders = Headers{
	RequestID: "Request-Id", DeadlineMs: "Deadline", Signature: "Signature", ExpectInstance: "Expect-Instance",
	Load: "Load", NotRun: "Not-Run", RetryAfter: "Retry-After", Caller: "Caller", Key: "Key",
}

// testNotice decodes the fields Rate and Leaving.
func testNotice(header http.Header) Notice {
	n := Notice{Leaving: header.Get("Leaving") != ""}
	if text := header.Get("Rate"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		n.RateLimit, n.RateLimited, n.RateUnreadable = rate, err == nil, err != nil
	}
	return n
}

// testParentID takes what is before the last slash of an id for the parent's.
func testParentID(id string) (string, bool) {
	at := strings.LastIndexByte(id, '/')
	return id[:max(at, 0)], at > 0
}

var configKey = rowstore.Key{Table: "operator", Name: "config"}

// testUpstream is an upstream that records the requests that it runs.
type testUpstream struct {
	server *httptest.Server
	id     string
	// handler writes the response instead of the default one if it is set and returns
	// true.
	handler func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	runs     map[string]int
	arrivals []time.Time
	headers  []http.Header
	holds    []keyrange.Grant
	// holdsUntil is the time at which holds expire unless they are renewed.
	holdsUntil time.Time
	// released are the ranges that the last heartbeat response withdrew.
	released []keyrange.Handover
	sequence int64
	// started is the start of the incarnation. down is true if the process has ended.
	started int64
	down    bool
	// coldUntil is when the upstream is warm according to its heartbeats; zero if they do
	// not say it.
	coldUntil time.Time
}

func newTestUpstream(t *testing.T, id string) *testUpstream {
	u := &testUpstream{id: id, runs: map[string]int{}, started: 1}
	u.server = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(u.server.Close)
	return u
}

func (u *testUpstream) address() string {
	return strings.TrimPrefix(u.server.URL, "http://")
}

func (u *testUpstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testHeaders.RequestID)
	if r.Header.Get(testHeaders.ExpectInstance) != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs[id]++
	u.arrivals = append(u.arrivals, time.Now())
	u.headers = append(u.headers, r.Header)
	handler := u.handler
	u.mu.Unlock()
	w.Header().Set(testHeaders.RequestID, id)
	if handler != nil && handler(w, r) {
		return
	}
	w.Header().Set(testHeaders.Signature, "signed-by-"+u.id)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", u.id, r.Method, r.URL.RequestURI(), body)
}

func (u *testUpstream) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *testUpstream) setHandler(f func(w http.ResponseWriter, r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = f
}

// testHost is a sidecar with its upstream.
type testHost struct {
	*Sidecar
	upstream *testUpstream
	cancel   context.CancelFunc
	done     chan struct{}
	err      atomic.Value // error of Run, if it returned one
}

// cluster is a set of hosts that share one store.
type cluster struct {
	t     *testing.T
	store *rowstore.Memory
	hosts []*testHost
	// wrapHop replaces the listeners for other routers of hosts that are added later; nil
	// leaves them.
	wrapHop func(net.Listener) net.Listener
	// region is the region of hosts that are added later, "r1" if it is empty, and decode
	// decodes their configurations, decodeTestConfig if it is nil.
	region string
	decode func([]byte) (vhost.Config, error)
	// change changes the settings of hosts that are added later; nil leaves them.
	change func(*Settings)
	// log is the log of hosts that are added later.
	log *event.Logger
	// zones are the zones of hosts by name; z1 for those that are missing.
	zones map[string]string
	// linkMbps is the bandwidth of the links of hosts that are added later.
	linkMbps float64
}

// ports are listeners by address. They are opened when the address is chosen, so that no
// other process can take the port.
type ports map[string]net.Listener

func (p ports) address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p[l.Addr().String()] = l
	return l.Addr().String()
}

func (p ports) open(address string) (net.Listener, error) {
	return p[address], nil
}

func newCluster(t *testing.T, services ...string) *cluster {
	t.Helper()
	return newZonedCluster(t, nil, services...)
}

// newZonedCluster returns a cluster whose hosts are in the zones.
func newZonedCluster(t *testing.T, zones map[string]string, services ...string) *cluster {
	t.Helper()
	c := newUnconfiguredCluster(t, zones)
	c.addFirst(services...)
	return c
}

// newUnconfiguredCluster returns a cluster without hosts and without a configuration.
func newUnconfiguredCluster(t *testing.T, zones map[string]string) *cluster {
	t.Helper()
	c := &cluster{t: t, store: rowstore.NewMemory(), zones: zones}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.cancel()
		}
		for _, h := range c.hosts {
			<-h.done
		}
	})
	return c
}

// addFirst publishes the first configuration and adds the first hosts, each given as
// "service" or "service region". If several hosts have keys, the configuration follows when all
// hosts know each other: a key map is made once those that are known are steady, and a host
// that a busy machine starts later gets no ranges without load.
func (c *cluster) addFirst(hosts ...string) {
	c.t.Helper()
	keyed := len(slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return !strings.HasPrefix(host, "keyed") }))
	if keyed <= 1 {
		c.publish("1")
	}
	for i, host := range hosts {
		service, region, _ := strings.Cut(host, " ")
		c.region = region
		c.add(fmt.Sprintf("h%d", i), service)
	}
	if keyed > 1 {
		c.eventually("all hosts know each other", func() bool {
			return !slices.ContainsFunc(c.hosts, func(h *testHost) bool { return h.fleet.HostCount() != len(c.hosts) })
		})
		c.publish("1")
	}
}

// waitKeysHeld waits until the upstream of each keyed host holds its part of the initial key
// map and all hosts know the map.
func (c *cluster) waitKeysHeld() {
	c.t.Helper()
	last := ""
	defer func() {
		if c.t.Failed() {
			c.t.Log(last)
		}
	}()
	c.eventually("all keys are held", func() bool {
		for _, h := range c.hosts {
			m, version := h.index.get("keyed")
			held, want := len(h.upstream.heldGrants()), 0
			if h.settings.Host.Service == "keyed" {
				want = maxInitialRangesPerMember
			}
			if m == nil || held != want {
				last = fmt.Sprintf("%s: map of version %d, %d ranges held, want %d", h.settings.Host.Name, version, held, want)
				return false
			}
		}
		return true
	})
}

// publish stores a configuration; its row holds the version and, for each restricted route,
// its name and its regions: "2 look=r1,r2".
func (c *cluster) publish(version string) {
	c.t.Helper()
	rows, _, err := c.store.List(c.t.Context(), configKey.Table, configKey.Part)
	if err != nil {
		c.t.Fatal(err)
	}
	var seen int64
	for _, r := range rows {
		seen = r.Version
	}
	if _, err := c.store.Commit(c.t.Context(), rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: configKey, Version: seen}},
		Writes:     []rowstore.Write{{Key: configKey, Value: []byte(version)}},
	}); err != nil {
		c.t.Fatal(err)
	}
}

// decodeTestConfig returns a configuration with a route for each kind of request. From
// version 2 on it has an additional route.
func decodeTestConfig(data []byte) (vhost.Config, error) {
	text, restrictions, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return vhost.Config{}, err
	}
	route := func(name, service string, repeatable bool) vhost.Route {
		return vhost.Route{Name: name, Host: "test", Prefix: "/" + name + "/", Repeatable: repeatable, MaxAttempts: 2,
			Timeout: 5 * time.Second, TargetLatency: time.Second, Clusters: []vhost.Cluster{{Service: service, Weight: 1}}}
	}
	c := vhost.Config{
		Version:  version,
		Services: []vhost.Service{{Name: "plain"}, {Name: "keyed", Keyed: true}, {Name: "cold", ColdStart: time.Minute, ColdRate: 10}},
		Routes:   []vhost.Route{route("look", "plain", true), route("pay", "plain", false), route("keys", "keyed", true), route("cool", "cold", true)},
	}
	download := route("dl", "plain", true)
	download.LargeResponses = true
	c.Routes = append(c.Routes, download)
	if version > 1 {
		c.Routes = append(c.Routes, route("new", "plain", true))
	}
	for _, restriction := range strings.Fields(restrictions) {
		name, regions, _ := strings.Cut(restriction, "=")
		i := slices.IndexFunc(c.Routes, func(r vhost.Route) bool { return r.Name == name })
		if i < 0 {
			return vhost.Config{}, fmt.Errorf("no route %q", name)
		}
		c.Routes[i].Regions = strings.Split(regions, ",")
	}
	return c, nil
}

func (c *cluster) add(name, service string) *testHost {
	c.t.Helper()
	return c.addWithStore(name, service, c.store)
}

// addWithStore adds a host with its own connection to the store.
func (c *cluster) addWithStore(name, service string, store rowstore.Store) *testHost {
	c.t.Helper()
	u := newTestUpstream(c.t, "i-"+name)
	p := ports{}
	settings := DefaultSettings()
	settings.Host = HostSettings{Name: name, Zone: "z1", Region: cmp.Or(c.region, "r1"), Service: service, LinkMbps: c.linkMbps}
	if zone := c.zones[name]; zone != "" {
		settings.Host.Zone = zone
	}
	settings.Listen = ListenSettings{Caller: p.address(c.t), Hop: p.address(c.t), Ready: p.address(c.t), Control: p.address(c.t), Metrics: p.address(c.t)}
	settings.Listen.HopAdvertised = settings.Listen.Hop
	if c.wrapHop != nil {
		p[settings.Listen.Hop] = c.wrapHop(p[settings.Listen.Hop])
	}
	settings.Upstream = UpstreamSettings{Address: u.address(), HeartbeatMs: 100}
	settings.Terms.GraceMs = 3000
	if c.change != nil {
		c.change(&settings)
	}
	decode := c.decode
	if decode == nil {
		decode = decodeTestConfig
	}
	notFound := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
	s := New(Options{
		Settings: settings, Store: store, Headers: testHeaders, Notice: testNotice, ParentID: testParentID,
		Config: ConfigSource{Key: configKey, Decode: decode}, EvacuatedZone: testEvacuatedZone,
		Control: notFound, Ready: notFound, Metrics: metrics.New(), Listen: p.open, Log: c.log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{Sidecar: s, upstream: u, cancel: cancel, done: make(chan struct{})}
	go func() {
		if err := s.Run(ctx); err != nil {
			h.err.Store(err)
		}
		close(h.done)
	}()
	c.hosts = append(c.hosts, h)
	go h.sendHeartbeats(c.t.Context(), service)
	return h
}

// sendHeartbeats sends heartbeats as an upstream does until ctx ends, also while the
// router stops.
func (h *testHost) sendHeartbeats(ctx context.Context, service string) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.upstream.sendHeartbeat(h.Sidecar, service)
		}
	}
}

// sendHeartbeat sends one heartbeat and applies the response.
func (u *testUpstream) sendHeartbeat(s *Sidecar, service string) {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.sequence++
	r := Heartbeat{Instance: u.id, Started: u.started, Sequence: u.sequence, Service: service, Slots: 4, Holds: u.holds, Released: u.released}
	r.ColdFor, r.ColdStated = time.Until(u.coldUntil), !u.coldUntil.IsZero()
	u.mu.Unlock()
	sent := time.Now()
	reply, _ := s.HandleHeartbeat(r)
	if !reply.Renew {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.released = nil
	for _, h := range u.holds {
		u.released = append(u.released, withoutGrants(h, reply.Grants)...)
	}
	u.holds, u.holdsUntil = reply.Grants, sent.Add(reply.HoldFor)
}

// withoutGrants returns the parts of a hold that the grants, which are sorted, do not cover.
func withoutGrants(hold keyrange.Grant, grants []keyrange.Grant) []keyrange.Handover {
	var parts []keyrange.Handover
	next, end := int(hold.From), int(hold.To)
	add := func(to int) {
		if next <= to {
			parts = append(parts, keyrange.Handover{From: uint16(next), To: uint16(to), Token: "left"})
		}
	}
	for _, g := range grants {
		if int(g.To) < next || int(g.From) > end {
			continue
		}
		add(int(g.From) - 1)
		next = int(g.To) + 1
	}
	add(end)
	return parts
}

func (u *testUpstream) heldGrants() []keyrange.Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holds
}

// currentGrants returns the grants whose hold has not expired.
func (u *testUpstream) currentGrants() []keyrange.Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().After(u.holdsUntil) {
		return nil
	}
	return u.holds
}

// eventually waits until a condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	deadline := time.After(30 * time.Second)
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			c.t.Fatalf("%s: not within 30 s", what)
		}
	}
}

// waitReady waits until each host knows the configuration and all other hosts.
func (c *cluster) waitReady() {
	c.t.Helper()
	last := ""
	defer func() {
		if c.t.Failed() {
			c.t.Log(last)
		}
	}()
	c.eventually("all hosts know each other", func() bool {
		for _, h := range c.hosts {
			if !h.Ready() || h.fleet.HostCount() != len(c.hosts) {
				last = fmt.Sprintf("%s: ready %v, knows %d hosts, ended %v", h.settings.Host.Name, h.Ready(), h.fleet.HostCount(), h.err.Load())
				return false
			}
		}
		return true
	})
}

type response struct {
	status int
	header http.Header
	body   string
}

// request sends a request of a caller on the host.
func (h *testHost) request(t *testing.T, method, path, id string, body string, extra ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.settings.Listen.Caller+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "test"
	req.Header.Set(testHeaders.RequestID, id)
	req.Header.Set(testHeaders.DeadlineMs, "4000")
	for i := 0; i+1 < len(extra); i += 2 {
		req.Header.Set(extra[i], extra[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}
}
