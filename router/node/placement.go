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
	"the table service did not accept the change of a group row",
	"none if the table service is known to be down; the placement retries")

// Interval and timeouts of the placement.
const (
	placementInterval = time.Second
	rowTimeout        = 2 * time.Second
	// moveTimeout limits how long an operator's call waits for a move. The move
	// itself continues if the outcome of its write is unknown, because the shards
	// must not reopen before it is resolved.
	moveTimeout = 10 * time.Second
)

// placer executes the proposals of the placement policy for the shards of this
// host.
type placer struct {
	n *Node

	// mu serialises moves, splits and merges of this host, because they change
	// the same rows.
	mu       sync.Mutex
	policies map[string]*balance.Policy // by service
}

func newPlacer(n *Node) *placer {
	return &placer{n: n, policies: map[string]*balance.Policy{}}
}

// run updates the load measurement and applies the placement policy once per
// second until ctx is done.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.n.loads.update(time.Now(), p.n.manager.HeldGroups())
		if p.n.leaving.Load() || !p.n.ready() || !serving(p.n.agent.Status()) {
			continue
		}
		p.applyProposals(ctx)
		p.deleteSurplusGroup(ctx)
	}
}

// deleteSurplusGroup deletes one empty group if this host holds more than the
// number that it starts with. Takeovers bring further groups, whose rows and
// heartbeats are useless once their shards have moved on.
func (p *placer) deleteSurplusGroup(ctx context.Context) {
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
	if held <= p.n.settings.Lease.Groups || len(empty) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	// Any empty group will do. A concurrent move to the deleted group fails on
	// its row's version.
	if err := p.n.manager.DeleteEmpty(ctx, service, empty[0].ID); err != nil {
		p.n.log.Log(evSplitFailed, event.F("group", empty[0].ID), event.F("error", err.Error()))
	}
}

// applyProposals executes the splits, merges and moves that the policy proposes.
func (p *placer) applyProposals(ctx context.Context) {
	service, ok := p.n.service(p.n.agent.Status().Announcement.Service)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	proposal := p.policy(service).Propose(time.Now(), p.policyInput(service.Name))
	for _, s := range proposal.Splits {
		p.changeShards(ctx, service.Name, s.Group, func(ctx context.Context, g ownership.Group) (ownership.Group, error) {
			return p.n.records.SplitShard(ctx, g, s.At)
		})
	}
	for _, m := range proposal.Merges {
		p.changeShards(ctx, service.Name, m.Group, func(ctx context.Context, g ownership.Group) (ownership.Group, error) {
			return p.n.records.MergeShards(ctx, g, m.Shards, m.Into)
		})
	}
	for _, m := range proposal.Moves {
		p.move(ctx, service.Name, m)
	}
}

// policy returns the policy of a service with the current weights. The caller
// holds mu.
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

// policyInput returns the loads of this host and of its peers for one service.
func (p *placer) policyInput(service string) balance.Input {
	now := time.Now()
	self := p.n.member()
	pinned := map[string]bool{}
	for _, g := range p.n.manager.HeldGroups() {
		pinned[g.ID] = !g.JournalComplete
	}
	shards, hot := p.n.loads.serviceLoads(service, func(group string) bool { return pinned[group] })
	in := balance.Input{
		Self: balance.HostLoad{
			Host: self.Host, Region: self.Region, Zone: self.Zone,
			SlotLoad: p.n.loads.totalLoad(), Capacity: float64(self.Slots), MeasuredAt: now,
			JoinedAt: self.JoinedAt,
			Leaving:  p.n.leaving.Load(),
		},
		Shards:  shards,
		HotKeys: hot,
	}
	for _, m := range p.n.directory.All() {
		if m.Service != service || m.Host.SameProcess(p.n.self) || p.n.directory.IsSuspect(now, m.Host.Name) {
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
		h.MeasuredAt = l.ReceivedAt
		h.Leaving = h.Leaving || !l.Healthy
	}
	return h
}

// changeShards executes change, a split or merge of shards of one group, and gossips
// the new record.
func (p *placer) changeShards(ctx context.Context, service, group string, change func(context.Context, ownership.Group) (ownership.Group, error)) {
	g, ok := heldGroup(p.n.manager, service, group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	changed, err := change(ctx, g)
	if err != nil {
		p.n.log.Log(evSplitFailed, event.F("group", group), event.F("error", err.Error()))
		return
	}
	p.n.gossipGroup(changed)
}

// move makes one attempt to move shards and reports the result to the policy. The
// caller holds mu.
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
		p.n.loads.recordClosedTime(result.ClosedFor)
		if policy != nil {
			policy.RecordMove(time.Now(), m)
		}
	case result.Reason == move.ReasonRefused && policy != nil:
		policy.RecordRefusal(time.Now(), m.Target.Name)
	}
	return result
}

// moveShard executes an operator's move of the shard that contains the key hash h.
// It returns an error if this host does not hold the shard.
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
			// The shard is already on the target, for example because the
			// operator retries a move whose response was lost.
			return move.Result{Outcome: move.Applied, Target: g}, nil
		}
		result := p.move(ctx, service, balance.Move{Group: g.ID, Shards: []keyspace.Shard{shard}, Target: m.Host})
		return result, moveError(result)
	}
	return move.Result{}, errkind.New(errkind.WrongOwner, "host %s does not hold the shard", p.n.self.Name)
}

// moveError returns the operator's error for a move that was not applied. Its kind
// shows whether the move may have happened and whether the store or the target is
// the cause.
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

// mayReceive returns an error if this host accepts no shards of the service.
func (n *Node) mayReceive(service string) error {
	status := n.agent.Status()
	if n.leaving.Load() || !serving(status) {
		return errkind.New(errkind.Draining, "host %s accepts no shards", n.self.Name)
	}
	if status.Announcement.Service != service {
		return errkind.New(errkind.UnknownService, "host %s serves %q", n.self.Name, status.Announcement.Service)
	}
	return nil
}

// heldServices returns the names of the services of which this host holds groups.
func (n *Node) heldServices() []string {
	var names []string
	for _, g := range n.manager.HeldGroups() {
		if !slices.Contains(names, g.Service) {
			names = append(names, g.Service)
		}
	}
	return names
}
