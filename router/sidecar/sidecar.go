package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// Options configure a Sidecar. All but Log and Metrics are required.
type Options struct {
	Settings Settings
	Store    rowstore.Store
	Headers  Headers
	Config   ConfigSource
	// Commands returns the client that sends key commands to the local upstream at the
	// address. It opens connections only while mayDial returns true. Nil if the
	// deployment has no service whose keys are granted by commands.
	Commands func(address string, mayDial func() bool) UpstreamCommands
	// Control and Ready make the handlers for the upstream's heartbeats and for
	// the question whether the router is ready.
	Control func(*Sidecar) http.Handler
	Ready   func(*Sidecar) http.Handler
	Log     *event.Logger
	Metrics *metrics.Scope
	// Listen opens a listener; nil opens a TCP one.
	Listen func(address string) (net.Listener, error)
}

// Sidecar is the router beside one upstream.
type Sidecar struct {
	opts     Options
	settings Settings
	log      *event.Logger

	direct    rowstore.Store      // this host's own way to the store
	store     rowstore.Store      // that way, or one through another host
	fed       *rowstore.FeedStore // the fleet, as this host follows it
	configFed *rowstore.FeedStore // the configuration
	// gathersTo is the end of the pause after the last configuration, a time.Time.
	gathersTo atomic.Value
	// feeds hold the rows that this host reads for others, by table.
	feeds     map[string]*rowstore.Feed
	config    *currentConfig
	exchange  *configExchange
	fleet     *fleet.Directory
	index     *keyIndex
	local     *localUpstream
	keys      *keyDriver
	orders    *orderSender
	gate      *gate
	entry     *entry
	publisher *publisher
	sweeper   *sweeper
	// memberVersions holds the versions of the member rows as last read, int64 by
	// host.
	memberVersions sync.Map
	callers        *callerConns
	listeners      []net.Listener
	created        boottime.Time
	stopping       atomic.Bool
	stopBegan      atomic.Int64 // boottime.Time of the start of the stop
	inFlight       atomic.Int64
}

// New builds a sidecar; Run starts it.
func New(opts Options) *Sidecar {
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
	}
	host := opts.Settings.Host
	s := &Sidecar{
		opts:     opts,
		settings: opts.Settings,
		log:      opts.Log,
		fleet:    fleet.NewDirectory(host.Zone, host.Region, newHopClient),
		index:    newKeyIndex(),
		callers:  newCallerConns(),
		created:  boottime.Now(),
		local:    &localUpstream{host: host.Name},
	}
	scope := opts.Metrics.SubScope("entry")
	s.buildStore(scope)
	s.buildConfig(scope)
	s.buildKeys()
	s.buildRequests(scope)
	s.buildMembers()
	return s
}

// removeLost deletes the member row of another host as it was last read.
func (s *Sidecar) removeLost(ctx context.Context, host string) error {
	version, ok := s.memberVersions.Load(host)
	if !ok {
		return fmt.Errorf("the row of %s was not read", host)
	}
	return removeMember(ctx, s.store, host, version.(int64))
}

// keyed reports whether a service divides its keys among its upstreams.
func (s *Sidecar) keyed(service string) bool {
	return s.config.service(service, func(v *vhost.Service) bool { return v.Keyed })
}

// ordered reports whether a service's keys are granted by calls.
func (s *Sidecar) ordered(service string) bool {
	return s.config.service(service, func(v *vhost.Service) bool { return v.KeysByCommand })
}

// member is what this host tells the others.
func (s *Sidecar) member() (fleet.Member, bool) {
	u := s.local.get()
	if !u.known {
		return fleet.Member{}, false
	}
	return fleet.Member{
		Host: s.settings.Host.Name, Instance: u.holder.Instance, Started: u.holder.Started,
		Service: u.service, Zone: s.settings.Host.Zone, Region: s.settings.Host.Region,
		Address: s.settings.Listen.HopAdvertised, Slots: u.slots,
		State:    u.publishedState(s.stopping.Load()),
		LinkMbps: int(s.settings.Host.LinkMbps),
	}, true
}

// HandleHeartbeat processes a heartbeat of the local upstream.
func (s *Sidecar) HandleHeartbeat(r Heartbeat) HeartbeatResponse {
	state, current, changed := s.local.heartbeat(time.Now(), r)
	if !current {
		s.log.Log(eventStaleReport, event.F("instance", r.Instance), event.F("started", r.Started), event.F("sequence", r.Sequence))
		return HeartbeatResponse{}
	}
	if changed {
		s.upstreamChanged(state)
	}
	return s.keys.heartbeat(state, r)
}

// Withdraw takes the notice that a run of the local upstream leaves.
func (s *Sidecar) Withdraw(instance string) {
	if s.local.withdraw(time.Now(), instance) {
		s.upstreamChanged(s.local.get())
	}
}

func (s *Sidecar) upstreamChanged(u upstreamState) {
	s.log.Log(eventUpstream, event.F("instance", u.holder.Instance), event.F("started", u.holder.Started), event.F("service", u.service),
		event.F("slots", u.slots), event.F("leaving", !u.leaving.IsZero()), event.F("withdrawn", u.withdrawn))
	s.gate.limiter.SetSlots(u.slots)
	if m, ok := s.member(); ok {
		s.fleet.Put(m)
	}
	s.publisher.wake()
	s.keys.wake()
}

// Ready reports whether callers may send requests.
func (s *Sidecar) Ready() bool {
	return s.config.table.Load() != nil && !s.stopping.Load()
}

// followFleet keeps up with the members and the key maps until ctx ends.
func (s *Sidecar) followFleet(ctx context.Context) {
	s.follow(ctx, &rowstore.Follower{Store: s.fed, Table: tableFleet, Changed: s.fleetRow, BatchDelay: s.gatherTime, Feed: s.feeds[tableFleet]})
}

// follow runs the follower and logs when it loses the store and finds it again.
func (s *Sidecar) follow(ctx context.Context, f *rowstore.Follower) {
	lost, found := f.Disconnected, f.Reconnected
	f.Disconnected = func(err error) {
		s.log.Log(eventStoreLost, event.F("table", f.Table), event.F("error", err.Error()))
		if lost != nil {
			lost(err)
		}
	}
	f.Reconnected = func() {
		s.log.Log(eventStoreFound, event.F("table", f.Table))
		if found != nil {
			found()
		}
	}
	f.Run(ctx)
}

// Run serves until ctx ends, then finishes the requests that are under way.
func (s *Sidecar) Run(ctx context.Context) error {
	servers, err := s.listen()
	if err != nil {
		return err
	}
	s.log.Log(eventStarted, event.F("host", s.settings.Host.Name), event.F("zone", s.settings.Host.Zone), event.F("service", s.settings.Host.Service))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){
		s.followConfig,
		s.exchange.run,
		s.followFleet,
		s.keys.run,
		s.orders.run,
		s.publisher.run,
		s.sweeper.run,
	} {
		wg.Go(func() { task(background) })
	}
	<-ctx.Done()
	s.stop(servers)
	cancel()
	wg.Wait()
	s.log.Log(eventStopped, event.F("unfinished", s.inFlight.Load()))
	return nil
}

// server is what serves a listener.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

const (
	// readHeaderTimeout bounds the time that a caller takes to send a header.
	readHeaderTimeout = 5 * time.Second
	// callerIdle is longer than callers keep connections, so that none is closed
	// while a request is on its way.
	callerIdle = 2 * time.Minute
)

func (s *Sidecar) listen() (servers []server, err error) {
	l := s.settings.Listen
	hops := &hopHandler{gate: s.gate, headers: s.opts.Headers, store: s.direct, feeds: s.feeds, config: s.config, keyMap: s.fleetRow}
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.opts.Metrics.Handler)
	callers := httpServer(s.counted(s.entry))
	callers.ConnState = s.callers.changed
	callers.ConnContext = withConn
	for _, e := range []struct {
		name, address string
		server        server
	}{
		{"caller", l.Caller, callers},
		{"hop", l.Hop, hop.NewServer(hops.serve)},
		{"control", l.Control, httpServer(s.opts.Control(s))},
		{"ready", l.Ready, httpServer(s.opts.Ready(s))},
		{"metrics", l.Metrics, httpServer(mux)},
	} {
		listener, err := s.opts.Listen(e.address)
		if err != nil {
			return nil, fmt.Errorf("listening for %s: %w", e.name, err)
		}
		if e.server == callers {
			listener = callerListener{Listener: listener, conns: s.callers, early: s.beginEarly}
		}
		servers = append(servers, e.server)
		s.listeners = append(s.listeners, listener)
		go s.serve(e.server, e.name, listener)
	}
	return servers, nil
}

func (s *Sidecar) serve(sv server, name string, l net.Listener) {
	err := sv.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopping.Load() {
		s.log.Log(eventListenerFailed, event.F("listener", name), event.F("error", err.Error()))
	}
}

func httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes}
}

// maxHeaderBytes bounds a request's header; the configuration's own bound is
// not above it.
const maxHeaderBytes = 64 << 10

// beginEarly begins the work of a request that was read before its turn, unless the
// router stops: the request may then be left unread.
func (s *Sidecar) beginEarly(req *http.Request) *earlyRequest {
	if s.stopping.Load() {
		return nil
	}
	return s.entry.beginEarly(req)
}

// counted counts the requests of callers that are under way. While the router
// stops, callers are asked to close their connections.
func (s *Sidecar) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		conn := connOf(req)
		if s.stopping.Load() && (conn == nil || !conn.ahead.waiting()) {
			w.Header().Set("Connection", "close")
		}
		if s.stoppingFor() > noticeTime {
			s.entry.refuse(w, req, nil, time.Now().Add(longestPause), errkind.New(errkind.Draining, "the router of this host is stopping"))
			return
		}
		next.ServeHTTP(w, req)
	})
}
