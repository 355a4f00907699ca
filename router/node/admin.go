package node

import (
	"context"
	"time"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

// Control methods that carry an operator's order to the host that it concerns.
const (
	methodAdminMove  = "admin.move"
	methodAdminDrain = "admin.drain"
)

// moveOrder asks the holder of a position to move its shard.
type moveOrder struct {
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	Target  string        `json:"target"`
}

// moveDone is the answer to a moveOrder.
type moveDone struct {
	Target ownership.Group `json:"target"`
}

// drainOrder asks a host to leave.
type drainOrder struct{}

// drainBegun is the answer to a drainOrder.
type drainBegun struct {
	ShardsLeft int `json:"shards_left"`
}

// backend implements admin.Backend.
type backend struct {
	n *Node
}

var _ admin.Backend = backend{}

func (n *Node) adminMethods() map[string]peer.Method {
	return map[string]peer.Method{
		methodAdminMove: peer.Handle(func(ctx context.Context, _ peer.Caller, o moveOrder) (moveDone, error) {
			result, err := n.placer.moveShard(ctx, o.Service, o.Hash, o.Target)
			return moveDone{Target: result.Target}, err
		}),
		methodAdminDrain: peer.Handle(func(context.Context, peer.Caller, drainOrder) (drainBegun, error) {
			return n.beginDrain(), nil
		}),
	}
}

// beginDrain makes Run shut the router down.
func (n *Node) beginDrain() drainBegun {
	select {
	case n.drains <- struct{}{}:
	default:
	}
	left := 0
	for _, g := range n.manager.HeldGroups() {
		left += len(g.Shards)
	}
	return drainBegun{ShardsLeft: left}
}

// Note implements admin.Backend.
func (b backend) Note(context.Context) (note.Config, error) {
	c, ok := b.n.follower.Current()
	if !ok {
		return c, errkind.New(errkind.NotReady, "this router has no configuration yet")
	}
	return c, nil
}

// NoteVersion implements admin.Backend.
func (b backend) NoteVersion(ctx context.Context, version int64) (admin.NoteVersion, error) {
	p, text, err := b.n.publisher.Version(ctx, version)
	if err != nil {
		return admin.NoteVersion{}, err
	}
	return admin.NoteVersion{Version: version, PublishID: p.PublishID, Text: string(text)}, nil
}

// DiffNote implements admin.Backend. It compares with the head row when the
// store answers, because this router may not have the newest version yet.
func (b backend) DiffNote(ctx context.Context, text []byte) (admin.NoteDiff, error) {
	c, _, err := note.ReadHead(ctx, b.n.store)
	if err != nil {
		if c, err = b.Note(ctx); err != nil {
			return admin.NoteDiff{}, err
		}
	}
	d, err := note.Preview("note", text, c)
	return admin.NoteDiff{Base: c.Version, Difference: d}, err
}

// PublishNote implements admin.Backend.
func (b backend) PublishNote(ctx context.Context, publishID string, text []byte) (note.Result, error) {
	result, err := b.n.publisher.Publish(ctx, publishID, text)
	if err == nil && result.Config.Version > 0 {
		b.n.follower.Offer(result.Config)
	}
	return result, err
}

// NoteStatus implements admin.Backend.
func (b backend) NoteStatus(ctx context.Context) (admin.NoteStatus, error) {
	c, err := b.Note(ctx)
	if err != nil {
		return admin.NoteStatus{}, err
	}
	status := admin.NoteStatus{Version: c.Version, PublishID: c.PublishID}
	now := time.Now()
	for _, m := range b.n.directory.All() {
		h := b.hostVersion(now, m)
		h.Lags = h.Version < c.Version
		status.Hosts = append(status.Hosts, h)
	}
	return status, nil
}

func (b backend) hostVersion(now time.Time, m member.Member) admin.HostVersion {
	if m.Host.SameProcess(b.n.self) {
		return admin.HostVersion{Host: m.Host.Name, Version: b.n.noteVersion()}
	}
	h := admin.HostVersion{Host: m.Host.Name, LastSeenMillis: -1}
	if l, ok := b.n.directory.LoadOf(m.Host.Name); ok && l.Incarnation == m.Host.Incarnation {
		h.Version = l.NoteVersion
		h.LastSeenMillis = now.Sub(l.ReceivedAt).Milliseconds()
	}
	return h
}

// Owners implements admin.Backend.
func (b backend) Owners(_ context.Context, service string) (admin.Owners, error) {
	if service != "" {
		if _, ok := b.n.service(service); !ok {
			return admin.Owners{}, errkind.New(errkind.UnknownService, "service %q", service)
		}
	}
	owners := admin.Owners{Groups: []admin.Group{}}
	for _, g := range b.n.routes.Groups() {
		if service == "" || g.Service == service {
			owners.Groups = append(owners.Groups, admin.Group{
				Service: g.Service, ID: g.ID, Holder: g.Holder.Name, Standby: g.Standby.Name,
				Generation: g.Generation, RowVersion: g.Version, HolderSince: g.HolderSince,
				JournalComplete: g.JournalComplete, Shards: g.Shards,
				HolderGone: b.gone(g.Holder), StandbyGone: b.gone(g.Standby),
			})
		}
	}
	return owners, nil
}

// gone reports whether the process is not the present one of its host.
func (b backend) gone(h ownership.Host) bool {
	if h.IsZero() || h.SameProcess(b.n.self) {
		return false
	}
	m, ok := b.n.directory.Get(h.Name)
	return !ok || !m.Host.SameProcess(h)
}

// Members implements admin.Backend.
func (b backend) Members(context.Context) (admin.Members, error) {
	now := time.Now()
	members := admin.Members{Members: []admin.Member{}}
	for _, m := range b.n.directory.All() {
		v := b.hostVersion(now, m)
		members.Members = append(members.Members, admin.Member{
			Host: m.Host.Name, Zone: m.Zone, Region: m.Region, Service: m.Service,
			Incarnation: m.Host.Incarnation, HopAddr: m.Host.HopAddr, ControlAddr: m.Host.ControlAddr,
			NoteVersion: v.Version, Leaving: m.State == member.Leaving, LastSeenMillis: v.LastSeenMillis,
		})
	}
	return members, nil
}

// Move implements admin.Backend. The holder of the shard carries it out.
func (b backend) Move(ctx context.Context, r admin.MoveRequest) (admin.MoveResult, error) {
	if _, ok := b.n.service(r.Service); !ok {
		return admin.MoveResult{}, errkind.New(errkind.UnknownService, "service %q", r.Service)
	}
	h := keyspace.HashKey(r.Service, r.Key)
	if r.Shard != nil {
		h = r.Shard.First
	}
	record, ok := b.n.routes.Lookup(r.Service, h)
	if !ok {
		return admin.MoveResult{}, errkind.New(errkind.NoOwner, "no host holds the shard")
	}
	shard, found := keyspace.Find(record.Shards, h)
	if !found || r.Shard != nil && shard != *r.Shard {
		return admin.MoveResult{}, errkind.New(errkind.NotFound, "there is no shard with exactly this range; the present one is %v", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	var done moveDone
	err := b.order(ctx, record.Holder, methodAdminMove, moveOrder{Service: r.Service, Hash: h, Target: r.Target}, &done)
	if err != nil {
		return admin.MoveResult{}, err
	}
	return admin.MoveResult{Service: r.Service, Shard: shard, Source: record.Holder.Name, Target: r.Target, TargetGroup: done.Target.ID}, nil
}

// order sends an operator's order to a host over a connection of its own, since
// its answer takes a while.
func (b backend) order(ctx context.Context, to ownership.Host, method string, params, answer any) error {
	return b.n.client.CallFresh(ctx, to, method, params, answer)
}

// Drain implements admin.Backend.
func (b backend) Drain(ctx context.Context, host string) (admin.DrainResult, error) {
	m, ok := b.n.directory.Get(host)
	if !ok {
		return admin.DrainResult{}, errkind.New(errkind.NotFound, "no host %q is known", host)
	}
	var begun drainBegun
	if err := b.order(ctx, m.Host, methodAdminDrain, drainOrder{}, &begun); err != nil {
		return admin.DrainResult{}, err
	}
	return admin.DrainResult{Host: host, ShardsLeft: begun.ShardsLeft}, nil
}

// TakeOver implements admin.Backend.
func (b backend) TakeOver(ctx context.Context, service, group string) (admin.TakeoverResult, error) {
	if err := b.n.mayReceive(service); err != nil {
		// A holder without an upstream would not serve the group either.
		return admin.TakeoverResult{}, err
	}
	if err := b.checkLost(ctx, service, group); err != nil {
		return admin.TakeoverResult{}, err
	}
	g, err := b.n.manager.DeclareLost(ctx, service, group)
	if err != nil {
		return admin.TakeoverResult{}, err
	}
	return admin.TakeoverResult{Service: g.Service, Group: g.ID, Holder: g.Holder.Name, Generation: g.Generation}, nil
}

// answerTimeout is how long a host has to show that its process lives.
const answerTimeout = time.Second

// checkLost refuses a takeover while the group's holder or standby answers: the
// declaration is then wrong. Silence proves nothing, so the declaration is
// needed all the same.
func (b backend) checkLost(ctx context.Context, service, group string) error {
	g, err := b.n.records.Get(ctx, service, group)
	if err != nil {
		return err
	}
	for _, h := range []ownership.Host{g.Holder, g.Standby} {
		if h.IsZero() || h.SameProcess(b.n.self) {
			continue
		}
		if b.n.answers(ctx, h) {
			return errkind.New(errkind.Conflict, "host %s of group %s answers, so it is not lost", h.Name, group)
		}
	}
	return nil
}

// answers reports whether the process of a host answers a control call.
func (n *Node) answers(ctx context.Context, h ownership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := n.client.CallFresh(ctx, h, methodNoteGet, noteQuery{}, &noteAnswer{})
	return err == nil || errkind.Is(err, errkind.NotReady)
}
