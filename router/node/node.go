// Package node assembles a router from its parts and runs it.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/forward"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/move"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/router/retry"
	"burdockglade.dev/router/route"
	"burdockglade.dev/router/settings"
	"burdockglade.dev/router/upstream"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

var (
	evStarted = event.Define(1000, log.InfoLevel, "router started",
		"the process has opened its listeners", "none")
	evStopping = event.Define(1001, log.InfoLevel, "graceful shutdown begins",
		"the process received SIGTERM or SIGINT, or an operator drained the host", "none")
	evStopped = event.Define(1002, log.InfoLevel, "router stopped",
		"the shutdown has finished and the process exits", "none")
	evListenerFailed = event.Define(1003, log.ErrorLevel, "listener failed",
		"a listener ended while the router was running", "check the logged error and restart the router")
)

// Options configures a Node.
type Options struct {
	Settings settings.Settings
	Log      *event.Logger
	Metrics  *metrics.Scope
	// Table and Objects replace the clients of the platform's services if set.
	Table   table.Store
	Objects object.Store
}

// Node is one router process.
type Node struct {
	settings settings.Settings
	self     ownership.Host
	log      *event.Logger
	options  Options

	store     table.Store
	objects   object.Store
	secret    peer.Secret
	client    *peer.Client
	directory *member.Directory
	gossip    *member.Gossip
	routes    *route.Table
	records   *ownership.Records
	manager   *ownership.Manager
	network   *leaseNetwork

	limiter    *admit.Limiter
	agent      *upstream.Agent
	gate       *gate.Gate
	replica    *gate.Replica
	replicator *journalReplicator

	follower  *note.Follower
	publisher *note.Publisher
	fetches   noteFetches

	source        *move.Source
	target        *move.Target
	placer        *placer
	loads         *loadMeter
	entry         *forward.Entry
	hop           *forward.HopServer
	servingGroups *servingGroups

	registrar *registrar
	leaving   atomic.Bool
	// relinquishing is true while groups are handed over because the upstream
	// is down.
	relinquishing  atomic.Bool
	drainRequested chan struct{}

	adminServer *http.Server
	guard       *connguard.Guard
	listeners   *listeners
	running     sync.WaitGroup
}

// New returns a router. It does not open listeners; Run does.
func New(o Options) (*Node, error) {
	n := &Node{
		settings:       o.Settings,
		options:        o,
		log:            o.Log,
		directory:      member.NewDirectory(),
		routes:         route.NewTable(),
		drainRequested: make(chan struct{}, 1),
		self: ownership.Host{
			Name:        o.Settings.Host.Name,
			Incarnation: newIncarnation(),
			HopAddr:     o.Settings.Advertise.Hop,
			ControlAddr: o.Settings.Advertise.Control,
		},
	}
	for _, build := range []func() error{n.buildPlatform, n.buildPeers, n.buildOwnership, n.buildUpstream, n.buildNotes, n.buildMoves, n.buildForwarding, n.buildAdmin} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// newIncarnation returns a random number other than 0, which stands for any process.
func newIncarnation() uint64 {
	return rand.Uint64()>>1 + 1
}

func (n *Node) buildPlatform() error {
	n.store, n.objects = n.options.Table, n.options.Objects
	if n.store == nil {
		client, err := table.NewClient(table.ClientOptions{BaseURL: n.settings.Platform.TableURL, Timeout: n.settings.Platform.Timeout})
		if err != nil {
			return err
		}
		n.store = client
	}
	if n.objects == nil {
		client, err := object.NewClient(object.ClientOptions{BaseURL: n.settings.Platform.ObjectURL, Timeout: n.settings.Platform.Timeout})
		if err != nil {
			return err
		}
		n.objects = client
	}
	scope := n.options.Metrics.SubScope("store")
	n.store = metrics.TimedTable(n.store, scope)
	n.objects = metrics.TimedObjects(n.objects, scope)
	return nil
}

func (n *Node) buildPeers() error {
	secret, err := peer.NewSecret([]byte(n.settings.Peers.Secret.Reveal()))
	if err != nil {
		return err
	}
	n.secret = secret
	n.client = peer.NewClient(peer.ClientOptions{Secret: secret, Host: n.self.Name, Incarnation: n.self.Incarnation, Scope: n.options.Metrics.SubScope("peer")})
	n.gossip = member.NewGossip(member.GossipOptions{
		Self:          n.self,
		Seeds:         n.settings.Peers.Seeds,
		Directory:     n.directory,
		Store:         n.store,
		Peers:         n.client,
		OnGroups:      n.learnGroups,
		Load:          n.loadSummary,
		NoteVersion:   n.noteVersion,
		OnNoteVersion: n.fetchNewerNote,
		Log:           n.log,
	})
	n.registrar = newRegistrar(n)
	return nil
}

func (n *Node) buildOwnership() error {
	records, err := ownership.NewRecords(ownership.RecordsOptions{Store: n.store})
	if err != nil {
		return err
	}
	n.records = records
	n.network = &leaseNetwork{directory: n.directory, log: n.log}
	n.replica = gate.NewReplica(gate.ReplicaOptions{Service: n.service})
	n.manager, err = ownership.NewManager(ownership.ManagerOptions{
		Self:          n.self,
		Records:       records,
		Network:       n.network,
		PickStandby:   n.pickStandby,
		Service:       n.service,
		NoteVersion:   n.noteVersion,
		FreezeJournal: n.replica.Freeze,
		OnChange:      n.gossipGroup,
		Timing:        n.timing(),
		Log:           n.log,
		Scope:         n.options.Metrics.SubScope("ownership"),
	})
	return err
}

func (n *Node) timing() lease.Timing {
	t := lease.DefaultTiming()
	l := n.settings.Lease
	t.HeartbeatInterval = l.Heartbeat
	t.LeaseDuration = l.Duration
	t.StandbyTimeout = l.ReplaceAfter
	t.DriftMargin = l.DriftMargin
	t.RenewDeadline = l.RenewDeadline
	t.RowRenewInterval = l.RenewDeadline / lease.DefaultRowRenewDivisor
	return t
}

func (n *Node) buildUpstream() error {
	n.limiter = admit.NewLimiter(admit.LimiterOptions{})
	n.agent = upstream.NewAgent(upstream.AgentOptions{
		Service:  n.service,
		Limiter:  n.limiter,
		OnChange: n.upstreamChanged,
		Log:      n.log,
	})
	n.replicator = &journalReplicator{client: n.client}
	n.loads = newLoadMeter()
	n.servingGroups = newServingGroups()
	var err error
	n.gate, err = gate.New(gate.Options{
		Authority:   authority{n},
		Upstream:    n.agent.Client(),
		Limiter:     n.limiter,
		Replicator:  n.replicator,
		Service:     n.service,
		OnRequest:   n.loads.recordRequest,
		Log:         n.log,
		Scope:       n.options.Metrics.SubScope("gate"),
		Incarnation: n.self.Incarnation,
	})
	return err
}

func (n *Node) buildNotes() error {
	n.follower = note.NewFollower(note.FollowerOptions{
		Table:          n.store,
		FetchFromPeers: n.fetchNotesFromPeers,
		PollInterval:   n.settings.Notes.PollInterval,
		OnChange:       n.noteChanged,
		Log:            n.log,
	})
	n.publisher = note.NewPublisher(note.PublisherOptions{Table: n.store, Objects: n.objects, Log: n.log})
	return nil
}

func (n *Node) buildMoves() error {
	rows := &moveRecords{records: n.records, manager: n.manager}
	n.source = move.NewSource(move.SourceOptions{
		Gate:    &moveGate{gate: n.gate, manager: n.manager, closed: map[string]*gate.ClosedShards{}},
		Records: rows,
		Peer:    movePeer{n.client},
		Adopter: adopter{n},
		Log:     n.log,
		Scope:   n.options.Metrics.SubScope("move"),
	})
	n.target = move.NewTarget(move.TargetOptions{
		Receiver: moveReceiver{n},
		Records:  rows,
		Adopter:  adopter{n},
		Log:      n.log,
	})
	n.placer = newPlacer(n)
	return nil
}

func (n *Node) buildForwarding() error {
	n.entry = forward.NewEntry(forward.Options{
		Self:           n.self,
		Services:       n.service,
		Ready:          n.ready,
		Routes:         n.routes,
		Gate:           n.gate,
		Peers:          n.client,
		HopToken:       n.secret.HopToken(),
		MergeRecords:   n.learnRecords,
		ReadGroup:      n.records.Get,
		OnCallerRegion: n.loads.recordRegion,
		AnyPeer:        n.anyPeer,
		Budget:         retry.NewBudgets(),
		Region:         n.settings.Host.Region,
		RegionOf:       n.regionOf,
		Log:            n.log,
		Scope:          n.options.Metrics,
	})
	n.hop = forward.NewHopServer(forward.HopServerOptions{
		Self:           n.self,
		Gate:           n.gate,
		CheckToken:     n.secret.CheckHopToken,
		Services:       n.service,
		NewestRecord:   n.routes.Lookup,
		OnCallerRegion: n.loads.recordRegion,
		Log:            n.log,
	})
	return nil
}

func (n *Node) buildAdmin() error {
	server, err := admin.NewServer(admin.Options{
		Token:             n.settings.Admin.Token.Reveal(),
		Backend:           backend{n},
		Log:               n.log,
		MaxHeaderBytes:    n.settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: n.settings.Limits.ReadHeaderTimeout,
		IdleTimeout:       n.settings.Limits.IdleTimeout,
	})
	n.adminServer = server
	n.guard = n.buildGuard()
	return err
}

// Run serves until ctx is done, an operator drains the host or a listener fails,
// and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.listeners = l
	n.network.datagrams = peer.NewDatagrams(n.secret, l.heartbeats)
	loopCtx, endLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer endLoops()
	n.start(loopCtx)
	n.log.Log(evStarted, event.F("host", n.self.Name), event.F("zone", n.settings.Host.Zone), event.F("region", n.settings.Host.Region),
		event.F("incarnation", n.self.Incarnation), event.F("caller", l.caller.Addr().String()))
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case err = <-l.failures:
		n.log.Log(evListenerFailed, event.F("error", err.Error()))
	}
	n.shutdown(loopCtx)
	endLoops()
	n.running.Wait()
	n.client.Close()
	n.log.Log(evStopped, event.F("host", n.self.Name))
	return err
}

// start starts the background loops and the servers.
func (n *Node) start(ctx context.Context) {
	methods := map[string]peer.Method{}
	for _, set := range []map[string]peer.Method{n.gossip.Methods(), n.journalMethods(), n.moveMethods(), n.requestMethods(), n.adminMethods()} {
		for name, m := range set {
			methods[name] = m
		}
	}
	control := peer.NewServer(peer.ServerOptions{
		Secret: n.secret, Host: n.self.Name, Incarnation: n.self.Incarnation, Methods: methods, Log: n.log,
	})
	n.running.Go(func() { _ = control.Serve(ctx, n.listeners.control) })
	n.running.Go(func() { _ = n.network.datagrams.Serve(ctx, n.log, n.handleDatagram) })
	n.running.Go(func() { n.follower.Run(ctx) })
	n.running.Go(func() { n.gossip.Run(ctx) })
	n.running.Go(func() { _ = n.manager.Run(ctx) })
	n.running.Go(func() { _ = n.agent.Run(ctx) })
	n.running.Go(func() { _ = n.gate.Run(ctx) })
	n.running.Go(func() { n.target.Run(ctx) })
	n.running.Go(func() { n.registrar.run(ctx) })
	n.running.Go(func() { n.placer.run(ctx) })
	n.running.Go(func() { n.keepStandbysInOtherZones(ctx) })
	n.running.Go(func() { n.reportGauges(ctx) })
	n.running.Go(func() { n.runGuard(ctx) })
	n.running.Go(func() { n.initialScan(ctx) })
	n.listeners.serve(n, n.adminServer)
}

// scanRetryDelay is the delay between attempts of the initial scan.
const scanRetryDelay = time.Second

// initialScan reads the rows once, so that a router knows all routes soon after
// its start even if its seeds do not respond. It retries until it succeeds.
func (n *Node) initialScan(ctx context.Context) {
	for n.gossip.Scan(ctx) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(scanRetryDelay):
		}
	}
}

// service returns the definition of a service in the current configuration.
func (n *Node) service(name string) (note.Service, bool) {
	if n.follower == nil {
		return note.Service{}, false
	}
	c, ok := n.follower.Current()
	if !ok {
		return note.Service{}, false
	}
	s, ok := c.Services[name]
	return s, ok
}

// ready reports whether this router has a configuration.
func (n *Node) ready() bool {
	_, ok := n.follower.Current()
	return ok
}

// member returns this host as a member of the service that its upstream
// serves.
func (n *Node) member() member.Member {
	status := n.agent.Status()
	m := member.Member{
		Host:    n.self,
		Zone:    n.settings.Host.Zone,
		Region:  n.settings.Host.Region,
		Service: status.Announcement.Service,
		Slots:   status.Announcement.Slots,
		State:   member.Active,
	}
	m.JoinedAt = n.registrar.joinTime(serving(status))
	if n.leaving.Load() || !serving(status) {
		m.State = member.Leaving
	}
	return m
}

// serving reports whether the host can receive shards for the upstream.
func serving(s upstream.Status) bool {
	return s.State == upstream.Announced || s.State == upstream.Suspect
}

// anyPeer returns a random member, or a random seed if no member is known.
func (n *Node) anyPeer() (ownership.Host, bool) {
	if peers := n.directory.Peers(time.Now(), n.self.Name, 1); len(peers) > 0 {
		return peers[0].Host, true
	}
	if seeds := n.settings.Peers.Seeds; len(seeds) > 0 {
		return ownership.Host{ControlAddr: seeds[rand.IntN(len(seeds))]}, true
	}
	return ownership.Host{}, false
}

func (n *Node) pickStandby(service string, exclude ...string) (ownership.Host, bool) {
	m, ok := n.directory.PickStandby(time.Now(), n.member(), service, exclude...)
	return m.Host, ok
}

// authority implements gate.Authority. It grants permits only for groups whose
// journal is installed.
type authority struct {
	n *Node
}

// Permit implements gate.Authority.
func (a authority) Permit(service string, h keyspace.Hash) (ownership.Permit, error) {
	p, err := a.n.manager.Permit(service, h)
	if err != nil {
		return p, err
	}
	if !a.n.servingGroups.contains(p.Service, p.GroupID) {
		return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "the journal of group %s is not installed yet", p.GroupID)
	}
	return p, nil
}

// adopter implements move.Adopter.
type adopter struct {
	n *Node
}

// Adopt implements move.Adopter. It passes the records directly to the lease manager
// first: once Adopt returns, no permit for moved shards may be granted, even if a
// copy of the record from a peer is being applied concurrently.
func (a adopter) Adopt(records ...ownership.Group) {
	a.n.manager.Adopt(records...)
	for _, r := range records {
		a.n.gossipGroup(r)
	}
}

// shutdownError joins the errors of servers that did not shut down in time.
func shutdownError(errs ...error) error {
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stopping listeners: %w", err)
	}
	return nil
}
