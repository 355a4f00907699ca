// Package node builds a router from the packages of its duties and runs it.
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
		"the process got SIGTERM or SIGINT, or an operator drains the host", "none")
	evStopped = event.Define(1002, log.InfoLevel, "router stopped",
		"the process ends after its shutdown", "none")
	evListenerFailed = event.Define(1003, log.ErrorLevel, "listener failed",
		"a listener ended while the router was running", "restart the router; look at the error for the cause")
)

// Options configure a Node.
type Options struct {
	Settings settings.Settings
	Log      *event.Logger
	Metrics  *metrics.Scope
	// Table and Objects replace the clients of the platform's services.
	Table   table.Store
	Objects object.Store
}

// Node is one router process.
type Node struct {
	s    settings.Settings
	self ownership.Host
	log  *event.Logger
	o    Options

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
	fetches   fetches

	source   *move.Source
	target   *move.Target
	placer   *placer
	loads    *loadMeter
	entry    *forward.Entry
	hop      *forward.HopServer
	installs *installs

	registrar *registrar
	leaving   atomic.Bool
	// relinquishing is true while groups are handed over because the upstream
	// is down.
	relinquishing atomic.Bool
	drains        chan struct{}

	adminServer *http.Server
	listeners   *listeners
	running     sync.WaitGroup
}

// New builds a router. It opens no listener yet.
func New(o Options) (*Node, error) {
	n := &Node{
		s:         o.Settings,
		o:         o,
		log:       o.Log,
		directory: member.NewDirectory(),
		routes:    route.NewTable(),
		drains:    make(chan struct{}, 1),
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

// newIncarnation draws a number that is not 0, which stands for any process.
func newIncarnation() uint64 {
	return rand.Uint64()>>1 + 1
}

func (n *Node) buildPlatform() error {
	n.store, n.objects = n.o.Table, n.o.Objects
	if n.store == nil {
		client, err := table.NewClient(table.ClientOptions{BaseURL: n.s.Platform.TableURL, Timeout: n.s.Platform.Timeout})
		if err != nil {
			return err
		}
		n.store = client
	}
	if n.objects == nil {
		client, err := object.NewClient(object.ClientOptions{BaseURL: n.s.Platform.ObjectURL, Timeout: n.s.Platform.Timeout})
		if err != nil {
			return err
		}
		n.objects = client
	}
	scope := n.o.Metrics.SubScope("store")
	n.store = metrics.TimedTable(n.store, scope)
	n.objects = metrics.TimedObjects(n.objects, scope)
	return nil
}

func (n *Node) buildPeers() error {
	secret, err := peer.NewSecret([]byte(n.s.Peers.Secret.Reveal()))
	if err != nil {
		return err
	}
	n.secret = secret
	n.client = peer.NewClient(peer.ClientOptions{Secret: secret, Host: n.self.Name, Incarnation: n.self.Incarnation, Scope: n.o.Metrics.SubScope("peer")})
	n.gossip = member.NewGossip(member.GossipOptions{
		Self:          n.self,
		Seeds:         n.s.Peers.Seeds,
		Directory:     n.directory,
		Store:         n.store,
		Peers:         n.client,
		OnGroups:      n.learnGroups,
		Load:          n.ownLoad,
		NoteVersion:   n.noteVersion,
		OnNoteVersion: n.peerNoteVersion,
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
		Scope:         n.o.Metrics.SubScope("ownership"),
	})
	return err
}

func (n *Node) timing() lease.Timing {
	t := lease.DefaultTiming()
	l := n.s.Lease
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
	n.installs = newInstalls()
	var err error
	n.gate, err = gate.New(gate.Options{
		Authority:   authority{n},
		Upstream:    n.agent.Client(),
		Limiter:     n.limiter,
		Replicator:  n.replicator,
		Service:     n.service,
		OnRequest:   n.loads.add,
		Log:         n.log,
		Scope:       n.o.Metrics.SubScope("gate"),
		Incarnation: n.self.Incarnation,
	})
	return err
}

func (n *Node) buildNotes() error {
	n.follower = note.NewFollower(note.FollowerOptions{
		Table:          n.store,
		FetchFromPeers: n.askPeersForNote,
		PollInterval:   n.s.Notes.PollInterval,
		OnChange:       n.noteChanged,
		Log:            n.log,
	})
	n.publisher = note.NewPublisher(note.PublisherOptions{Table: n.store, Objects: n.objects, Log: n.log})
	return nil
}

func (n *Node) buildMoves() error {
	rows := &moveRecords{records: n.records, manager: n.manager}
	n.source = move.NewSource(move.SourceOptions{
		Gate:    &moveGate{gate: n.gate, manager: n.manager, closures: map[string]*gate.ClosedShards{}},
		Records: rows,
		Peer:    movePeer{n.client},
		Adopter: adopter{n},
		Log:     n.log,
		Scope:   n.o.Metrics.SubScope("move"),
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
		OnCallerRegion: n.loads.addCaller,
		AnyPeer:        n.anyPeer,
		Budget:         retry.NewBudgets(),
		Region:         n.s.Host.Region,
		RegionOf:       n.regionOf,
		Log:            n.log,
		Scope:          n.o.Metrics,
	})
	n.hop = forward.NewHopServer(forward.HopServerOptions{
		Self:           n.self,
		Gate:           n.gate,
		CheckToken:     n.secret.CheckHopToken,
		Services:       n.service,
		NewestRecord:   n.routes.Lookup,
		OnCallerRegion: n.loads.addCaller,
		Log:            n.log,
	})
	return nil
}

func (n *Node) buildAdmin() error {
	server, err := admin.NewServer(admin.Options{
		Token:             n.s.Admin.Token.Reveal(),
		Backend:           backend{n},
		Log:               n.log,
		MaxHeaderBytes:    n.s.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: n.s.Limits.ReadHeaderTimeout,
		IdleTimeout:       n.s.Limits.IdleTimeout,
	})
	n.adminServer = server
	return err
}

// Run serves until the context ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.listeners = l
	n.network.datagrams = peer.NewDatagrams(n.secret, l.heartbeats)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.start(life)
	n.log.Log(evStarted, event.F("host", n.self.Name), event.F("zone", n.s.Host.Zone), event.F("region", n.s.Host.Region),
		event.F("incarnation", n.self.Incarnation), event.F("caller", l.caller.Addr().String()))
	select {
	case <-ctx.Done():
	case <-n.drains:
	case err = <-l.failed:
		n.log.Log(evListenerFailed, event.F("error", err.Error()))
	}
	n.shutdown(life)
	end()
	n.running.Wait()
	n.client.Close()
	n.log.Log(evStopped, event.F("host", n.self.Name))
	return err
}

// start runs the loops of all parts.
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
	n.running.Go(func() { _ = n.network.datagrams.Serve(ctx, n.log, n.receive) })
	n.running.Go(func() { n.follower.Run(ctx) })
	n.running.Go(func() { n.gossip.Run(ctx) })
	n.running.Go(func() { _ = n.manager.Run(ctx) })
	n.running.Go(func() { _ = n.agent.Run(ctx) })
	n.running.Go(func() { _ = n.gate.Run(ctx) })
	n.running.Go(func() { n.target.Run(ctx) })
	n.running.Go(func() { n.registrar.run(ctx) })
	n.running.Go(func() { n.placer.run(ctx) })
	n.running.Go(func() { n.keepStandbysApart(ctx) })
	n.running.Go(func() { n.reportGauges(ctx) })
	n.running.Go(func() { n.firstScan(ctx) })
	n.listeners.serve(n, n.adminServer)
}

// scanPause is the pause between attempts of the first scan.
const scanPause = time.Second

// firstScan reads the rows once, so that a router knows all routes soon after
// its start even when its seeds do not answer.
func (n *Node) firstScan(ctx context.Context) {
	for n.gossip.Scan(ctx) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(scanPause):
		}
	}
}

// service returns the definition of a service in force.
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
		Zone:    n.s.Host.Zone,
		Region:  n.s.Host.Region,
		Service: status.Announcement.Service,
		Slots:   status.Announcement.Slots,
		State:   member.Active,
	}
	m.JoinedAt = n.registrar.since(serving(status))
	if n.leaving.Load() || !serving(status) {
		m.State = member.Leaving
	}
	return m
}

// serving reports whether the upstream takes new shards.
func serving(s upstream.Status) bool {
	return s.State == upstream.Announced || s.State == upstream.Suspect
}

// anyPeer returns a random member, or a seed while none is known.
func (n *Node) anyPeer() (ownership.Host, bool) {
	if peers := n.directory.Peers(time.Now(), n.self.Name, 1); len(peers) > 0 {
		return peers[0].Host, true
	}
	if seeds := n.s.Peers.Seeds; len(seeds) > 0 {
		return ownership.Host{ControlAddr: seeds[rand.IntN(len(seeds))]}, true
	}
	return ownership.Host{}, false
}

func (n *Node) pickStandby(service string, exclude ...string) (ownership.Host, bool) {
	m, ok := n.directory.PickStandby(time.Now(), n.member(), service, exclude...)
	return m.Host, ok
}

// authority gives permits only for groups whose journal is in place.
type authority struct {
	n *Node
}

// Permit implements gate.Authority.
func (a authority) Permit(service string, h keyspace.Hash) (ownership.Permit, error) {
	p, err := a.n.manager.Permit(service, h)
	if err != nil {
		return p, err
	}
	if !a.n.installs.has(p.Service, p.GroupID) {
		return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "the journal of group %s is not in place yet", p.GroupID)
	}
	return p, nil
}

// adopter takes in records of a move.
type adopter struct {
	n *Node
}

// Adopt implements move.Adopter. The lease manager gets the records first and
// directly: when Adopt returns, no permit for moved shards may be given any
// more, even if a peer's copy of the record is being taken in at the same time.
func (a adopter) Adopt(records ...ownership.Group) {
	a.n.manager.Adopt(records...)
	for _, r := range records {
		a.n.gossipGroup(r)
	}
}

// shutdownError joins the errors of servers that did not stop in time.
func shutdownError(errs ...error) error {
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stopping listeners: %w", err)
	}
	return nil
}
