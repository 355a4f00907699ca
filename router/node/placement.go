package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/move"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
)

var evSplitFailed = event.Define(1030, log.WarnLevel, "shard not split or merged",
	"the table service did not take the change of a group row",
	"none if the table service is known to be down; the placement tries again")

// Times of the placement.
const (
	placementInterval = time.Second
	rowTimeout        = 2 * time.Second
	// moveTimeout bounds one attempt. A write of unknown outcome is settled
	// beyond it, because the shards must not reopen before.
	moveTimeout = 10 * time.Second
)

// placer carries out what the placement policy proposes for the shards of this
// host.
type placer struct {
	n *Node

	// mu serialises moves, splits and merges of this host: they change the same
	// rows.
	mu       sync.Mutex
	policies map[string]*balance.Policy
}

func newPlacer(n *Node) *placer {
	return &placer{n: n, policies: map[string]*balance.Policy{}}
}

// run decides once a second until the context ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.n.loads.follow(time.Now(), p.n.manager.HeldGroups())
		if p.n.leaving.Load() || !p.n.ready() || !serving(p.n.agent.Status()) {
			continue
		}
		p.decide(ctx)
		p.deleteSurplus(ctx)
	}
}

// deleteSurplus deletes one empty group beyond the number that a host starts
// with. Takeovers bring further groups, whose rows and heartbeats are of no use
// once their shards have moved on.
func (p *placer) deleteSurplus(ctx context.Context) {
	service := p.n.agent.Status().Announcement.Service
	held := 0
	var empty []ownership.Group
	for _, g := range p.n.manager.HeldGroups() {
		if g.Service != service {
			continue
		}
		held++
		if len(g.Shards) == 0 {
			empty = append(empty, g)
		}
	}
	if held <= p.n.s.Lease.Groups || len(empty) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	// Oldest first would also do; a move to the deleted group is refused by its
	// row's version.
	if err := p.n.manager.DeleteEmpty(ctx, service, empty[0].ID); err != nil {
		p.n.log.Log(evSplitFailed, event.F("group", empty[0].ID), event.F("error", err.Error()))
	}
}

func (p *placer) decide(ctx context.Context) {
	service, ok := p.n.service(p.n.agent.Status().Announcement.Service)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.policy(service).Propose(time.Now(), p.input(service.Name))
	for _, s := range out.Splits {
		p.reshape(ctx, service.Name, s.Group, func(ctx context.Context, g ownership.Group) (ownership.Group, error) {
			return p.n.records.SplitShard(ctx, g, s.At)
		})
	}
	for _, m := range out.Merges {
		p.reshape(ctx, service.Name, m.Group, func(ctx context.Context, g ownership.Group) (ownership.Group, error) {
			return p.n.records.MergeShards(ctx, g, m.Shards, m.Into)
		})
	}
	for _, m := range out.Moves {
		p.move(ctx, service.Name, m)
	}
}

// policy returns the policy of a service with the weights in force.
func (p *placer) policy(s note.Service) *balance.Policy {
	weights := balance.Weights{Imbalance: s.ImbalanceWeight, Churn: s.ChurnWeight, Unavailable: s.UnavailableWeight}
	policy := p.policies[s.Name]
	if policy == nil {
		policy = balance.NewPolicy(balance.Options{
			Weights: weights,
			Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		p.policies[s.Name] = policy
	}
	policy.SetWeights(weights)
	return policy
}

// input gathers what the policy needs.
func (p *placer) input(service string) balance.Input {
	now := time.Now()
	self := p.n.member()
	pinned := map[string]bool{}
	for _, g := range p.n.manager.HeldGroups() {
		pinned[g.ID] = !g.JournalComplete
	}
	shards, hot := p.n.loads.input(service, func(group string) bool { return pinned[group] })
	in := balance.Input{
		Self: balance.HostLoad{
			Host: self.Host, Region: self.Region, Zone: self.Zone,
			SlotLoad: p.n.loads.total(), Capacity: float64(self.Slots), MeasuredAt: now,
			JoinedAt: self.JoinedAt,
			Leaving:  p.n.leaving.Load(),
		},
		Shards: shards,
		Hot:    hot,
	}
	for _, m := range p.n.directory.All() {
		if m.Service != service || m.Host.SameProcess(p.n.self) || p.n.directory.Suspected(now, m.Host.Name) {
			continue
		}
		in.Hosts = append(in.Hosts, p.hostLoad(m))
	}
	return in
}

func (p *placer) hostLoad(m member.Member) balance.HostLoad {
	h := balance.HostLoad{
		Host: m.Host, Region: m.Region, Zone: m.Zone,
		Capacity: float64(m.Slots), JoinedAt: m.JoinedAt, Leaving: m.State != member.Active,
	}
	if l, ok := p.n.directory.LoadOf(m.Host.Name); ok && l.Incarnation == m.Host.Incarnation {
		h.SlotLoad = l.InUse
		h.MeasuredAt = l.At
		h.Leaving = h.Leaving || !l.Healthy
	}
	return h
}

// reshape changes the shards of one group in place.
func (p *placer) reshape(ctx context.Context, service, group string, change func(context.Context, ownership.Group) (ownership.Group, error)) {
	g, ok := heldGroup(p.n.manager, service, group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	next, err := change(ctx, g)
	if err != nil {
		p.n.log.Log(evSplitFailed, event.F("group", group), event.F("error", err.Error()))
		return
	}
	p.n.gossipGroup(next)
}

// move makes one attempt and tells the policy of its end. The caller holds mu.
func (p *placer) move(ctx context.Context, service string, m balance.Move) move.Result {
	g, ok := heldGroup(p.n.manager, service, m.Group)
	if !ok {
		return move.Result{Reason: move.ReasonNotHeld, Outcome: move.NotApplied}
	}
	result := p.n.source.Run(ctx, move.Plan{
		Service:         service,
		SourceGroup:     g.ID,
		Generation:      g.Generation,
		JournalComplete: g.JournalComplete,
		Shards:          m.Shards,
		RequestRate:     m.RequestRate,
		Target:          m.Target,
	})
	policy := p.policies[service]
	switch {
	case result.Outcome == move.Applied:
		p.n.loads.sawParked(result.ClosedFor)
		if policy != nil {
			policy.Moved(time.Now(), m)
		}
	case result.Reason == move.ReasonRefused && policy != nil:
		policy.Refused(time.Now(), m.Target.Name)
	}
	return result
}

// moveShard carries out an operator's move of the shard that contains a
// position, which this host must hold.
func (p *placer) moveShard(ctx context.Context, service string, h keyspace.Hash, target string) (move.Result, error) {
	m, ok := p.n.directory.Get(target)
	if !ok || m.Service != service {
		return move.Result{}, errkind.New(errkind.NotFound, "host %q does not serve service %q", target, service)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.n.manager.HeldGroups() {
		shard, found := keyspace.Find(g.Shards, h)
		if g.Service != service || !found {
			continue
		}
		if m.Host.SameProcess(p.n.self) {
			// The shard is where the operator wants it, for example after the
			// repetition of a move whose answer was lost.
			return move.Result{Outcome: move.Applied, Target: g}, nil
		}
		result := p.move(ctx, service, balance.Move{Group: g.ID, Shards: []keyspace.Shard{shard}, Target: m.Host})
		return result, moveError(result)
	}
	return move.Result{}, errkind.New(errkind.WrongOwner, "host %s does not hold the shard", p.n.self.Name)
}

// moveError returns what an operator gets for a move that was not applied. The
// kind tells whether the move may have happened and, where the store or the
// target is the cause, which of them.
func moveError(r move.Result) error {
	kind := errkind.Conflict
	switch {
	case r.Outcome == move.Applied:
		return nil
	case r.Outcome == move.Unknown:
		return errkind.New(errkind.OutcomeUnknown, "the move may have happened: %w", r.Err)
	case errkind.Is(r.Err, errkind.StoreUnavailable):
		kind = errkind.StoreUnavailable
	case errkind.Is(r.Err, errkind.PeerUnreachable):
		kind = errkind.PeerUnreachable
	}
	return errkind.New(kind, "the move ended without effect (%v): %w", r.Reason, r.Err)
}

// mayReceive reports whether this host takes shards of the service.
func (n *Node) mayReceive(service string) error {
	status := n.agent.Status()
	if n.leaving.Load() || !serving(status) {
		return errkind.New(errkind.Draining, "host %s takes no shards", n.self.Name)
	}
	if status.Announcement.Service != service {
		return errkind.New(errkind.UnknownService, "host %s serves %q", n.self.Name, status.Announcement.Service)
	}
	return nil
}

// heldServices returns the services of which this host holds groups.
func (n *Node) heldServices() []string {
	var names []string
	for _, g := range n.manager.HeldGroups() {
		if !slices.Contains(names, g.Service) {
			names = append(names, g.Service)
		}
	}
	return names
}
