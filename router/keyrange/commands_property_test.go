package keyrange

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/boottime"
)

// holding is a range that a modelled upstream holds until a time.
type holding struct {
	Grant
	until boottime.Time
}

// lateOrder is an order without an answer that the upstream carries out later.
type lateOrder struct {
	order Command
	// arrived is the time from which its hold counts.
	arrived, at boottime.Time
}

// modelUpstream carries out orders as upstreams of the platform do.
type modelUpstream struct {
	holds []holding
	late  []lateOrder
	// seen holds the highest generation seen on each of the modelled keys.
	seen map[uint16]uint64
}

// modelKeys stand for all keys of their surroundings.
var modelKeys = []uint16{0, 9000, 20000, 33000, 50000, MaxKey}

func (u *modelUpstream) apply(now, arrived boottime.Time, o Command) CommandResult {
	s := o.span()
	if o.Release {
		u.remove(s)
		return CommandApplied
	}
	for _, key := range modelKeys {
		if s.from <= key && key <= s.to && u.seen[key] > o.Generation {
			return CommandRefused
		}
	}
	for _, key := range modelKeys {
		if s.from <= key && key <= s.to {
			u.seen[key] = o.Generation
		}
	}
	u.remove(s)
	// The upstream's clock may run 2% slow.
	if until := arrived.Add(o.HoldFor + o.HoldFor/50); until > now {
		u.holds = append(u.holds, holding{Grant: o.Grant, until: until})
	}
	return CommandApplied
}

// remove ends the hold on a range, which may be a part of what was granted.
func (u *modelUpstream) remove(s span) {
	var rest []holding
	for _, h := range u.holds {
		held := span{h.From, h.To, h.Generation}
		if !held.overlaps(s) {
			rest = append(rest, h)
			continue
		}
		if h.From < s.from {
			left := h
			left.To = s.from - 1
			rest = append(rest, left)
		}
		if h.To > s.to {
			right := h
			right.From = s.to + 1
			rest = append(rest, right)
		}
	}
	u.holds = rest
}

func (u *modelUpstream) advance(now boottime.Time) {
	var rest []lateOrder
	for _, l := range u.late {
		if now < l.at {
			rest = append(rest, l)
			continue
		}
		u.apply(now, l.arrived, l.order)
	}
	u.late = rest
}

func (u *modelUpstream) holder(now boottime.Time, key uint16) bool {
	for _, h := range u.holds {
		if h.From <= key && key <= h.To && now < h.until {
			return true
		}
	}
	return false
}

// modelHost is a router with its upstream.
type modelHost struct {
	Holder
	grants   *Grants
	orders   *Commands
	upstream *modelUpstream
	leaseEnd boottime.Time
}

// orderModel is a service whose hosts share one key map.
type orderModel struct {
	t     *rapid.T
	now   boottime.Time
	keys  *Map
	hosts []*modelHost
}

const (
	modelLease   = 9 * time.Second
	modelMaxHold = 4 * time.Second
)

func newOrderModel(t *rapid.T) *orderModel {
	m := &orderModel{t: t, now: boottime.Time(time.Minute)}
	var members []Member
	for i := range 3 {
		h := &modelHost{Holder: Holder{Host: fmt.Sprintf("h%d", i), Instance: fmt.Sprintf("i%d", i), Started: 1}, upstream: &modelUpstream{seen: map[uint16]uint64{}}}
		h.restartRouter(m.now)
		m.hosts = append(m.hosts, h)
		members = append(members, Member{Holder: h.Holder})
	}
	m.keys = NewMap(members, 2)
	return m
}

func (h *modelHost) restartRouter(now boottime.Time) {
	h.grants = NewGrants(now, modelMaxHold)
	h.grants.Reset(h.Holder)
	h.orders = NewCommands(h.grants)
	h.leaseEnd = 0
}

func (m *orderModel) member(t *rapid.T) *modelHost {
	return rapid.SampledFrom(m.hosts).Draw(t, "host")
}

// order sends the orders that are due; each is answered, answered late, lost, or
// not sent.
func (m *orderModel) order(t *rapid.T) {
	m.orderAt(t, m.member(t))
}

func (m *orderModel) orderAt(t *rapid.T, h *modelHost) {
	for _, o := range h.orders.Due(m.now, m.keys, h.Holder, false, h.leaseEnd, modelMaxHold) {
		h.orders.Begin(o)
		switch rapid.IntRange(0, 4).Draw(t, "fate") {
		case 0, 1:
			result := h.upstream.apply(m.now, m.now, o)
			token := ""
			if o.Release {
				token = "token"
			}
			h.orders.Complete(m.now, m.now, o, result, token)
		case 2: // carried out later
			at := m.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "late")) * time.Millisecond)
			h.upstream.late = append(h.upstream.late, lateOrder{order: o, arrived: m.now, at: at})
			h.orders.Complete(m.now, m.now.Add(o.Timeout), o, CommandUnknown, "")
		case 3: // carried out, and the answer is lost
			h.upstream.apply(m.now, m.now, o)
			h.orders.Complete(m.now, m.now.Add(o.Timeout), o, CommandUnknown, "")
		case 4:
			h.orders.Complete(m.now, m.now, o, CommandNotApplied, "")
		}
	}
}

func (m *orderModel) renewLease(t *rapid.T) {
	h := m.member(t)
	h.leaseEnd = m.now.Add(modelLease)
}

func (m *orderModel) move(t *rapid.T) {
	i := rapid.IntRange(0, len(m.keys.Ranges)-1).Draw(t, "range")
	to := m.member(t)
	if r := &m.keys.Ranges[i]; r.Held() && r.Holder.Host != to.Host && r.Next == "" {
		m.keys.PlanMove(i, to.Host)
	}
}

func (m *orderModel) divide(t *rapid.T) {
	if len(m.keys.Ranges) > 12 {
		return
	}
	i := rapid.IntRange(0, len(m.keys.Ranges)-1).Draw(t, "range")
	r := m.keys.Ranges[i]
	if r.To-r.From < 100 {
		return
	}
	parts := r.divide([]uint16{r.From + (r.To-r.From)/2})
	m.keys.Ranges = append(append(append([]Range{}, m.keys.Ranges[:i]...), parts...), m.keys.Ranges[i+1:]...)
}

// commit takes what a host gave up, or what has lapsed there, to the next holder.
func (m *orderModel) commit(t *rapid.T) {
	h := m.member(t)
	var members []Member
	for _, other := range m.hosts {
		members = append(members, Member{Holder: other.Holder})
	}
	for _, i := range m.keys.RangesOf(h.Holder) {
		r := &m.keys.Ranges[i]
		if token, ok := h.grants.Released(m.now, r); ok {
			m.keys.Release(i, token, members)
		} else if r.Next != "" && h.grants.HoldEnded(m.now, r) {
			h.grants.Relinquish(r)
			m.keys.Release(i, "", members)
		} else if h.orders.Refused(r) {
			m.keys.BumpGeneration(i)
		}
	}
	h.orders.Prune(m.now, m.keys, h.Holder)
}

func (m *orderModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for _, h := range m.hosts {
		h.upstream.advance(m.now)
	}
}

func (m *orderModel) restart(t *rapid.T) {
	h := m.member(t)
	h.restartRouter(m.now)
}

// loseHost frees the ranges of a host that has not renewed its lease.
func (m *orderModel) loseHost(t *rapid.T) {
	m.take(m.member(t))
}

// lapse sends orders shortly before a lease ends, takes the host's ranges when it
// has lapsed, and grants them elsewhere.
func (m *orderModel) lapse(t *rapid.T) {
	h := m.member(t)
	m.now = max(m.now, h.leaseEnd.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*time.Millisecond))
	m.orderAt(t, h)
	m.now = max(m.now, h.leaseEnd.Add(lapseMargin))
	for _, other := range m.hosts {
		other.upstream.advance(m.now)
	}
	m.oneHolder(t)
	m.take(h)
	for _, other := range m.hosts {
		if other != h {
			other.leaseEnd = m.now.Add(modelLease)
			m.orderAt(t, other)
		}
	}
}

func (m *orderModel) take(h *modelHost) {
	if m.now < h.leaseEnd.Add(lapseMargin) || h.leaseEnd == 0 {
		return
	}
	m.keys.FreeRangesOf(h.Host)
	var others []Member
	for _, other := range m.hosts {
		if other != h {
			others = append(others, Member{Holder: other.Holder})
		}
	}
	m.keys.AssignFree(others)
}

// oneHolder checks that no key is held by two upstreams.
func (m *orderModel) oneHolder(t *rapid.T) {
	for _, key := range modelKeys {
		var holders []string
		for _, h := range m.hosts {
			if h.upstream.holder(m.now, key) {
				holders = append(holders, h.Host)
			}
		}
		if len(holders) > 1 {
			t.Fatalf("key %d is held by %v", key, holders)
		}
	}
}

// Guards against two holders of a key where orders to upstreams have no answer, are
// carried out after newer ones, or are lost: whatever the order of renewals, moves,
// divisions, restarts of routers and losses of hosts.
func TestOrdersKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		for _, h := range m.hosts {
			h.leaseEnd = m.now.Add(modelLease)
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": m.order, "order again": m.order, "renew": m.renewLease, "move": m.move, "divide": m.divide,
			"commit": m.commit, "wait": m.wait, "restart": m.restart, "lose": m.loseHost, "lapse": m.lapse,
			"": m.oneHolder,
		})
	})
}

// Guards against keys that are never served because the property above holds for
// orders that grant nothing: with answers, every key is held and moves.
func TestOrdersGrantAndMoveKeys(t *testing.T) {
	m := NewMap(members(2), 1)
	from, to := member(0).Holder, member(1).Holder
	g := NewGrants(0, modelMaxHold)
	g.Reset(from)
	o := NewCommands(g)
	now := boottime.Time(time.Minute)
	due := o.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	if len(due) != 1 || due[0].Release || due[0].HoldFor != modelMaxHold {
		t.Fatalf("orders %+v: want one grant of the longest hold", due)
	}
	o.Begin(due[0])
	if again := o.Due(now, m, from, false, now.Add(modelLease), modelMaxHold); len(again) != 0 {
		t.Errorf("orders %+v while one is under way", again)
	}
	o.Complete(now, now.Add(time.Millisecond), due[0], CommandApplied, "")
	if !g.Holds(now.Add(time.Second), &m.Ranges[0]) {
		t.Error("the range does not count as held")
	}
	m.PlanMove(0, to.Host)
	due = o.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	if len(due) != 1 || !due[0].Release {
		t.Fatalf("orders %+v: want one release", due)
	}
	o.Begin(due[0])
	if g.Holds(now, &m.Ranges[0]) {
		t.Error("the range counts as held while it is released")
	}
	o.Complete(now, now.Add(time.Millisecond), due[0], CommandApplied, "token")
	if token, ok := g.Released(now.Add(time.Millisecond), &m.Ranges[0]); !ok || token != "token" {
		t.Errorf("given up: %q, %v", token, ok)
	}
}

// Guards against a range that moves while a grant without an answer may still be
// carried out at its former holder.
func TestUnansweredGrantDelaysTheMove(t *testing.T) {
	m := NewMap(members(2), 1)
	from := member(0).Holder
	g := NewGrants(0, modelMaxHold)
	g.Reset(from)
	o := NewCommands(g)
	now := boottime.Time(time.Minute)
	due := o.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	o.Begin(due[0])
	now = now.Add(due[0].Timeout)
	o.Complete(now.Add(-due[0].Timeout), now, due[0], CommandUnknown, "")
	m.PlanMove(0, "h1")
	now = now.Add(time.Second)
	release := o.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	o.Begin(release[0])
	o.Complete(now, now, release[0], CommandApplied, "token")
	if _, ok := g.Released(now.Add(time.Second), &m.Ranges[0]); ok {
		t.Error("moved while the grant may still be carried out")
	}
	if _, ok := g.Released(now.Add(modelMaxHold+time.Second), &m.Ranges[0]); !ok {
		t.Error("never moved")
	}
}
