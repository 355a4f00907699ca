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

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// Options configure a Sidecar. SetStoreAddress, Notice, ParentID, Commands, Log and Listen
// may be nil.
type Options struct {
	Settings Settings
	Store    rowstore.Store
	// SetStoreAddress makes Store use another address.
	SetStoreAddress func(address string)
	Headers         Headers
	// Notice decodes what an upstream says of itself in the header of a response. Nil if
	// upstreams say nothing.
	Notice func(http.Header) Notice
	// ParentID returns the id of the request for which an upstream makes the call with the
	// given id, according to the form of the id. Nil if ids do not show it.
	ParentID func(id string) (parent string, ok bool)
	Config   ConfigSource
	// EvacuatedZone returns the zone that is evacuated while the row with the key exists
	// in the table of the configuration. Nil if zones cannot be evacuated.
	EvacuatedZone func(rowstore.Key) (zone string, ok bool)
	// Commands returns the client that sends key commands to the local upstream at the
	// address. It opens connections only while mayDial returns true. Nil if the
	// deployment has no service whose keys are granted by commands.
	Commands func(address string, mayDial func() bool) UpstreamCommands
	// Control returns the handler for the upstream's heartbeats, and Ready the one for
	// readiness checks.
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

	eras        *rowstore.Eras      // the eras that responses of the store have shown
	directStore rowstore.Store      // this host's own connection to the store
	store       rowstore.Store      // that connection, or one through another host
	fleetFed    *rowstore.FeedStore // the fleet, read directly or through another host
	configFed   *rowstore.FeedStore // the configuration, read directly or through another host
	// batchUntil is the end of the batch delay after the last configuration, a time.Time.
	batchUntil atomic.Value
	// feeds hold, by table, the rows that this host reads for others.
	feeds  map[string]*rowstore.Feed
	config *currentConfig
	// evacuation is nil if zones cannot be evacuated.
	evacuation *zoneEvacuation
	exchange   *configExchange
	asker      *configAsker
	// configFollower and fleetFollower follow the tables of the configuration and of the
	// fleet.
	configFollower *rowstore.Follower
	fleetFollower  *rowstore.Follower
	configChecks   checkSchedule
	// fleetCheckedAt is the latest time up to which all changes of the fleet are known to
	// have been reported, or the end of the last check.
	fleetCheckedAt latestTime
	scope          tally.Scope
	fleet          *fleet.Directory
	index          *keyIndex
	local          *localUpstream
	keys           *keyDriver
	commands       *commandSender
	gate           *gate
	cold           coldStart
	link           *linkScheduler
	entry          *entry
	// quarantine is nil if it is switched off.
	quarantine *quarantineDriver
	// explaining is held while an explanation is made.
	explaining sync.Mutex
	publisher  *publisher
	leaves     *leaveRecord
	sweeper    *sweeper
	// memberVersions maps the names of hosts to the versions (int64) of their member rows
	// as last read.
	memberVersions sync.Map
	callers        *callerConns
	guard          *connguard.Guard
	listeners      []net.Listener
	createdAt      boottime.Time
	stopping       atomic.Bool
	stopStartedAt  atomic.Int64 // boottime.Time at which the stop began
	inFlight       atomic.Int64
	// cancelRequests cancels all requests of callers.
	cancelRequests context.CancelCauseFunc
}

// New returns a sidecar. Run starts it.
func New(opts Options) *Sidecar {
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
	}
	if opts.Notice == nil {
		opts.Notice = func(http.Header) Notice { return Notice{} }
	}
	host := opts.Settings.Host
	s := &Sidecar{
		opts:         opts,
		settings:     opts.Settings,
		log:          opts.Log,
		fleet:        fleet.NewDirectory(host.Zone, host.Region, newHopClient),
		index:        newKeyIndex(),
		callers:      newCallerConns(),
		createdAt:    boottime.Now(),
		configChecks: checkSchedule{bound: millis(opts.Settings.Terms.ConfigMs)},
		local:        &localUpstream{host: host.Name, heartbeatInterval: millis(opts.Settings.Upstream.HeartbeatMs)},
	}
	s.local.refused = func() {
		s.assumeCold()
		s.quarantine.upstreamEnded(s.local.get())
		s.keys.changes.notify()
	}
	s.scope = opts.Metrics.SubScope("entry")
	s.buildStore()
	s.evacuation = s.buildEvacuation()
	s.buildConfig()
	s.buildKeys()
	s.guard = newConnGuard(connlimit.Options{MemoryBytes: host.MemoryBytes(), Files: host.MaxFDs}, s.config.limits, opts.Headers, s.log, s.scope)
	s.buildRequests()
	s.buildMembers()
	return s
}

// removeMemberRow deletes the member row of another host if it is unchanged since it was
// last read.
func (s *Sidecar) removeMemberRow(ctx context.Context, host string) error {
	version, ok := s.memberVersions.Load(host)
	if !ok {
		return fmt.Errorf("the member row of %s has not been read yet", host)
	}
	return removeMember(ctx, s.store, host, version.(int64))
}

// keyed reports whether the keys of a service are divided among its upstreams.
func (s *Sidecar) keyed(service string) bool {
	return s.config.serviceMatches(service, func(v *vhost.Service) bool { return v.Keyed })
}

// keysByCommand reports whether the keys of a service are granted by commands.
func (s *Sidecar) keysByCommand(service string) bool {
	return s.config.serviceMatches(service, func(v *vhost.Service) bool { return v.KeysByCommand })
}

// memberRow returns the content of this host's member row, or false while the upstream is
// not known.
func (s *Sidecar) memberRow() (fleet.Member, bool) {
	state := s.local.get()
	if !state.known {
		return fleet.Member{}, false
	}
	m := fleet.Member{
		Host: s.settings.Host.Name, Instance: state.holder.Instance, Started: state.holder.Started,
		Service: state.service, Zone: s.settings.Host.Zone, Region: s.settings.Host.Region,
		Address: s.settings.Listen.HopAdvertised, Slots: state.slots,
		State:    state.publishedState(s.stopping.Load()),
		Leaving:  !state.leavingSince.IsZero(),
		LinkMbps: int(s.settings.Host.LinkMbps),
	}
	m.ColdUntil, m.ColdRate = s.cold.coldRow(m.Incarnation())
	return m, true
}

// HandleHeartbeat processes a heartbeat of the local upstream. If it returns false, the
// heartbeat must not be acknowledged: nothing that it says is in force.
func (s *Sidecar) HandleHeartbeat(r Heartbeat) (response HeartbeatResponse, acknowledged bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveKeepTimeout)
	defer cancel()
	if !s.believes(ctx, r) {
		return HeartbeatResponse{}, false
	}
	before := s.local.get()
	state, verdict, changed := s.local.recordHeartbeat(time.Now(), r)
	s.quarantine.heartbeat(before, state, verdict)
	coldChanged := s.applyCold() // first, because NewUpstream lets waiting requests through
	if state.holder != before.holder {
		s.gate.limiter.NewUpstream()
	}
	if coldChanged || changed {
		s.upstreamChanged(state)
	}
	if verdict != heartbeatUnproven && !s.keepLeaving(ctx, state, r) {
		return HeartbeatResponse{}, false
	}
	switch verdict {
	case heartbeatOutdated:
		s.log.Log(eventStaleHeartbeat, event.F("instance", r.Instance), event.F("started", r.Started), event.F("sequence", r.Sequence))
		return HeartbeatResponse{}, true
	case heartbeatUnproven:
		s.log.Log(eventUnprovenHeartbeat, event.F("instance", r.Instance), event.F("started", r.Started), event.F("sequence", r.Sequence), event.F("leaving", r.Draining),
			event.F("current_instance", state.holder.Instance), event.F("current_started", state.holder.Started), event.F("current_silent_ms", time.Since(state.lastHeartbeat).Milliseconds()))
		return HeartbeatResponse{}, false
	}
	return s.keys.handleHeartbeat(state, r), true
}

// keepLeaving has the notice recorded that the incarnation of a heartbeat leaves, if it does.
// It returns false if the heartbeat says so and the notice is not recorded in time.
func (s *Sidecar) keepLeaving(ctx context.Context, state upstreamState, r Heartbeat) bool {
	if state.leavingSince.IsZero() {
		return true
	}
	w := Withdrawal(state.incarnation())
	if !r.Draining { // sent before the notice
		s.leaves.add(state.leavingSince, w)
		return true
	}
	return s.leaves.keep(ctx, state.leavingSince, w)
}

// Withdraw processes the notice that an incarnation of the local upstream leaves. The
// incarnation gets no new requests afterwards, also if its first heartbeat arrives later. If
// it returns false, the notice must not be acknowledged: it would not outlast this process.
func (s *Sidecar) Withdraw(w Withdrawal) (acknowledged bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveKeepTimeout)
	defer cancel()
	now := time.Now()
	current := s.local.withdraw(now, w)
	if current {
		state := s.local.get()
		w.Started = state.holder.Started
		s.upstreamChanged(state)
	}
	acknowledged = s.leaves.keep(ctx, now, w)
	s.log.Log(eventWithdrawn, event.F("instance", w.Instance), event.F("started", w.Started), event.F("current", current), event.F("acknowledged", acknowledged))
	return acknowledged
}

func (s *Sidecar) upstreamChanged(state upstreamState) {
	s.log.Log(eventUpstream, event.F("instance", state.holder.Instance), event.F("started", state.holder.Started), event.F("service", state.service),
		event.F("slots", state.slots), event.F("leaving", !state.leavingSince.IsZero()), event.F("withdrawn", state.withdrawn))
	s.gate.limiter.SetSlots(state.slots)
	if m, ok := s.memberRow(); ok {
		s.fleet.Put(m)
	}
	s.publisher.wake()
	s.keys.wake()
}

// storePutBack is called when a response shows that the store was put back to an older
// copy. The followers read their tables again, because the history of the era before is
// gone; what this host wrote may be lost.
func (s *Sidecar) storePutBack() {
	s.log.Log(eventStorePutBack, event.F("era", s.eras.Newest()))
	s.scope.Gauge("store_era").Update(float64(s.eras.Newest()))
	go s.publisher.writeAgain() // the response may be one of the publisher's own calls
	s.leaves.writeAgain()
	s.keys.wake()
}

// Ready reports whether callers may send requests.
func (s *Sidecar) Ready() bool {
	return s.config.table.Load() != nil && s.evacuation.ready() && !s.stopping.Load()
}

// followFleet follows the members and the key maps until ctx ends.
func (s *Sidecar) followFleet(ctx context.Context) {
	s.follow(ctx, s.fleetFollower)
}

// follow runs the follower and logs when it is disconnected from the store and
// reconnected.
func (s *Sidecar) follow(ctx context.Context, f *rowstore.Follower) {
	onDisconnected, onReconnected := f.Disconnected, f.Reconnected
	f.Disconnected = func(err error) {
		s.log.Log(eventStoreDisconnected, event.F("table", f.Table), event.F("error", err.Error()))
		if onDisconnected != nil {
			onDisconnected(err)
		}
	}
	f.Reconnected = func() {
		s.log.Log(eventStoreReconnected, event.F("table", f.Table))
		if onReconnected != nil {
			onReconnected()
		}
	}
	f.Run(ctx)
}

// Run serves until ctx ends, then finishes the requests in progress.
func (s *Sidecar) Run(ctx context.Context) error {
	servers, err := s.listen()
	if err != nil {
		return err
	}
	s.log.Log(eventBudgets, event.F("memory_mb", s.settings.Host.MemoryMB), event.F("max_fds", s.settings.Host.MaxFDs))
	s.log.Log(eventStarted, event.F("host", s.settings.Host.Name), event.F("zone", s.settings.Host.Zone), event.F("service", s.settings.Host.Service))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.startThroughZone()
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){
		s.followConfig,
		s.exchange.run,
		s.asker.run,
		s.followFleet,
		s.keys.run,
		s.commands.run,
		s.publisher.run,
		s.sweeper.run,
		s.guard.Run,
	} {
		wg.Go(func() { task(background) })
	}
	<-ctx.Done()
	s.stop(servers)
	s.leaves.close()
	cancel()
	wg.Wait()
	s.log.Log(eventStopped, event.F("unfinished", s.inFlight.Load()))
	return nil
}

// server serves the connections of one listener.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

const (
	// controlReadTimeout bounds the time to read a request of the upstream or of the platform.
	controlReadTimeout = 10 * time.Second
	// metricsBytes is the memory of a request for metrics: the text, and its compression.
	metricsBytes = 128 << 10
)

func (s *Sidecar) listen() (servers []server, err error) {
	l := s.settings.Listen
	hops := &hopHandler{gate: s.gate, link: s.link, headers: s.opts.Headers, store: s.directStore, feeds: s.feeds, config: s.config, evacuation: s.evacuation, quarantine: s.quarantine, applyRow: s.applyFleetRow, leases: s.keys.awaitLeases}
	hopServer := hop.NewServer(hops.serve)
	if s.link != nil {
		hopServer.BeforeUnscheduledWrite, s.link.sampleSent = s.link.charge, hopServer.SampleSent
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.opts.Metrics.Handler)
	callers := httpServer(s.countInFlight(s.entry))
	callers.ConnState = s.callers.stateChanged
	callers.ConnContext = withConn
	requests, cancel := context.WithCancelCause(context.Background())
	callers.BaseContext = func(net.Listener) context.Context { return requests }
	s.cancelRequests = cancel
	s.guard.Protect(callers, connguard.ServerOptions{BodyTime: defaultTimeout})
	for _, e := range []struct {
		name, address string
		server        server
		class         connlimit.Class
	}{
		{"caller", l.Caller, callers, connlimit.Caller},
		{"hop", l.Hop, hopServer, connlimit.Router},
		{"control", l.Control, s.internalServer(s.explainHandler(s.opts.Control(s)), 0), connlimit.Control},
		{"ready", l.Ready, s.internalServer(s.opts.Ready(s), 0), connlimit.Probe},
		{"metrics", l.Metrics, s.internalServer(mux, metricsBytes), connlimit.Probe},
	} {
		listener, err := s.opts.Listen(e.address)
		if err != nil {
			return nil, fmt.Errorf("listening for %s: %w", e.name, err)
		}
		if e.server == callers {
			listener = callerListener{Listener: listener, conns: s.callers, beginPipelined: s.beginPipelined, log: s.log}
		}
		if e.server == hopServer {
			listener = s.guard.MeteredListener(listener, e.class)
		} else {
			listener = s.guard.Listener(listener, e.class)
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

// httpServer returns a server without timeouts: the guard applies those of the configuration
// to connections of callers.
func httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes}
}

// internalServer returns a server for requests of the upstream or of the platform.
func (s *Sidecar) internalServer(handler http.Handler, requestBytes int64) *http.Server {
	sv := httpServer(handler)
	sv.ReadHeaderTimeout, sv.ReadTimeout, sv.IdleTimeout = defaultHeaderTimeout, controlReadTimeout, defaultIdleTimeout
	s.guard.Protect(sv, connguard.ServerOptions{RequestBytes: requestBytes, BodyTime: defaultTimeout})
	return sv
}

// maxHeaderBytes bounds the header of a request. The bound of the configuration is not
// above it.
const maxHeaderBytes = 64 << 10

// beginPipelined starts to process a request that was read before its turn. While the
// router stops it returns nil: the request then waits for its turn.
func (s *Sidecar) beginPipelined(req *http.Request) *pipelinedRequest {
	if s.stopping.Load() {
		return nil
	}
	return s.entry.beginPipelined(req)
}

// countInFlight counts the requests of callers in progress.
func (s *Sidecar) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, req)
	})
}
