package keyrange

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/boottime"
)

// holding is a range that a model upstream holds until a time.
type holding struct {
	Grant
	until boottime.Time
}

// lateCommand is a command without a response that the upstream carries out
// later.
type lateCommand struct {
	command Command
	// arrived is the time from which the hold counts; at is the time at which the
	// command is carried out.
	arrived, at boottime.Time
}

// modelUpstream carries out commands like an upstream of the platform.
type modelUpstream struct {
	holdings []holding
	late     []lateCommand
	// seen holds the highest generation seen on each of modelKeys.
	seen map[uint16]uint64
}

// modelKeys are the keys that the model checks, a sample of all keys.
var modelKeys = []uint16{0, 9000, 20000, 33000, 50000, MaxKey}

func (u *modelUpstream) apply(now, arrived boottime.Time, c Command) CommandResult {
	s := c.span()
	if c.Release {
		u.remove(s)
		return CommandApplied
	}
	for _, key := range modelKeys {
		if s.from <= key && key <= s.to && u.seen[key] > c.Generation {
			return CommandRefused
		}
	}
	for _, key := range modelKeys {
		if s.from <= key && key <= s.to {
			u.seen[key] = c.Generation
		}
	}
	u.remove(s)
	// The upstream's clock may run 2% slow.
	if until := arrived.Add(c.HoldFor + c.HoldFor/50); until > now {
		u.holdings = append(u.holdings, holding{Grant: c.Grant, until: until})
	}
	return CommandApplied
}

// remove ends the hold on a range, which may be part of a granted range.
func (u *modelUpstream) remove(s span) {
	var rest []holding
	for _, h := range u.holdings {
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
	u.holdings = rest
}

// advance carries out the late commands that are due.
func (u *modelUpstream) advance(now boottime.Time) {
	var rest []lateCommand
	for _, l := range u.late {
		if now < l.at {
			rest = append(rest, l)
			continue
		}
		u.apply(now, l.arrived, l.command)
	}
	u.late = rest
}

// holds reports whether the upstream holds the key.
func (u *modelUpstream) holds(now boottime.Time, key uint16) bool {
	for _, h := range u.holdings {
		if h.From <= key && key <= h.To && now < h.until {
			return true
		}
	}
	return false
}

// modelHost is a router and its upstream.
type modelHost struct {
	Holder
	grants   *Grants
	commands *Commands
	upstream *modelUpstream
	leaseEnd boottime.Time
}

// commandModel is a service whose hosts share one key map.
type commandModel struct {
	t     *rapid.T
	now   boottime.Time
	keys  *Map
	hosts []*modelHost
}

const (
	modelLease   = 9 * time.Second
	modelMaxHold = 4 * time.Second
)

func newCommandModel(t *rapid.T) *commandModel {
	m := &commandModel{t: t, now: boottime.Time(time.Minute)}
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
	h.commands = NewCommands(h.grants)
	h.leaseEnd = 0
}

// anyHost returns a random host.
func (m *commandModel) anyHost(t *rapid.T) *modelHost {
	return rapid.SampledFrom(m.hosts).Draw(t, "host")
}

// processDue sends the due commands of a host.
func (m *commandModel) processDue(t *rapid.T) {
	m.processDueOf(t, m.anyHost(t))
}

// processDueOf sends the due commands of h. Each one is carried out with or
// without a response, carried out later without a response, or not sent.
func (m *commandModel) processDueOf(t *rapid.T, h *modelHost) {
	for _, c := range h.commands.Due(m.now, m.keys, h.Holder, false, h.leaseEnd, modelMaxHold) {
		h.commands.Begin(c)
		switch rapid.IntRange(0, 4).Draw(t, "fate") {
		case 0, 1:
			result := h.upstream.apply(m.now, m.now, c)
			token := ""
			if c.Release {
				token = "token"
			}
			h.commands.Complete(m.now, m.now, c, result, token)
		case 2: // carried out later
			at := m.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "late")) * time.Millisecond)
			h.upstream.late = append(h.upstream.late, lateCommand{command: c, arrived: m.now, at: at})
			h.commands.Complete(m.now, m.now.Add(c.Timeout), c, CommandUnknown, "")
		case 3: // carried out, and the response is lost
			h.upstream.apply(m.now, m.now, c)
			h.commands.Complete(m.now, m.now.Add(c.Timeout), c, CommandUnknown, "")
		case 4:
			h.commands.Complete(m.now, m.now, c, CommandNotApplied, "")
		}
	}
}

func (m *commandModel) renewLease(t *rapid.T) {
	h := m.anyHost(t)
	h.leaseEnd = m.now.Add(modelLease)
}

func (m *commandModel) move(t *rapid.T) {
	i := rapid.IntRange(0, len(m.keys.Ranges)-1).Draw(t, "range")
	to := m.anyHost(t)
	if r := &m.keys.Ranges[i]; r.Held() && r.Holder.Host != to.Host && r.Next == "" {
		m.keys.PlanMove(i, to.Host)
	}
}

func (m *commandModel) split(t *rapid.T) {
	if len(m.keys.Ranges) > 12 {
		return
	}
	i := rapid.IntRange(0, len(m.keys.Ranges)-1).Draw(t, "range")
	r := m.keys.Ranges[i]
	if r.To-r.From < 100 {
		return
	}
	parts := r.splitAt([]uint16{r.From + (r.To-r.From)/2})
	m.keys.Ranges = append(append(append([]Range{}, m.keys.Ranges[:i]...), parts...), m.keys.Ranges[i+1:]...)
}

// commit changes the map for the ranges of a host that were released, whose hold
// has ended, or whose grant was refused.
func (m *commandModel) commit(t *rapid.T) {
	h := m.anyHost(t)
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
		} else if h.commands.Refused(r) {
			m.keys.BumpGeneration(i)
		}
	}
	h.commands.Prune(m.now, m.keys, h.Holder)
}

func (m *commandModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for _, h := range m.hosts {
		h.upstream.advance(m.now)
	}
}

func (m *commandModel) restartRouter(t *rapid.T) {
	h := m.anyHost(t)
	h.restartRouter(m.now)
}

// loseHost frees the ranges of a host if its lease has lapsed.
func (m *commandModel) loseHost(t *rapid.T) {
	m.freeLapsed(m.anyHost(t))
}

// lapse sends commands shortly before a lease ends, frees the host's ranges when
// it has lapsed, and grants them to other upstreams.
func (m *commandModel) lapse(t *rapid.T) {
	h := m.anyHost(t)
	m.now = max(m.now, h.leaseEnd.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*time.Millisecond))
	m.processDueOf(t, h)
	m.now = max(m.now, h.leaseEnd.Add(lapseMargin))
	for _, other := range m.hosts {
		other.upstream.advance(m.now)
	}
	m.checkOneHolder(t)
	m.freeLapsed(h)
	for _, other := range m.hosts {
		if other != h {
			other.leaseEnd = m.now.Add(modelLease)
			m.processDueOf(t, other)
		}
	}
}

// freeLapsed reassigns the ranges of a host whose lease has lapsed.
func (m *commandModel) freeLapsed(h *modelHost) {
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

// checkOneHolder verifies that no key is held by two upstreams.
func (m *commandModel) checkOneHolder(t *rapid.T) {
	for _, key := range modelKeys {
		var holders []string
		for _, h := range m.hosts {
			if h.upstream.holds(m.now, key) {
				holders = append(holders, h.Host)
			}
		}
		if len(holders) > 1 {
			t.Fatalf("key %d is held by %v", key, holders)
		}
	}
}

// Guards against two holders of a key when commands to upstreams have no response,
// are carried out after newer ones, or are lost, in any sequence of renewals, moves,
// splits, router restarts and host losses.
func TestCommandsKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCommandModel(t)
		for _, h := range m.hosts {
			h.leaseEnd = m.now.Add(modelLease)
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": m.processDue, "order again": m.processDue, "renew": m.renewLease, "move": m.move, "divide": m.split,
			"commit": m.commit, "wait": m.wait, "restart": m.restartRouter, "lose": m.loseHost, "lapse": m.lapse,
			"": m.checkOneHolder,
		})
	})
}

// Guards against commands that never grant anything, for which the property above
// holds as well: if the upstream responds, every key is held and can move.
func TestCommandsGrantAndMoveKeys(t *testing.T) {
	m := NewMap(members(2), 1)
	from, to := member(0).Holder, member(1).Holder
	g := NewGrants(0, modelMaxHold)
	g.Reset(from)
	c := NewCommands(g)
	now := boottime.Time(time.Minute)
	due := c.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	if len(due) != 1 || due[0].Release || due[0].HoldFor != modelMaxHold {
		t.Fatalf("due commands %+v, want one grant with the maximum hold", due)
	}
	c.Begin(due[0])
	if again := c.Due(now, m, from, false, now.Add(modelLease), modelMaxHold); len(again) != 0 {
		t.Errorf("due commands %+v while one is in progress", again)
	}
	c.Complete(now, now.Add(time.Millisecond), due[0], CommandApplied, "")
	if !g.Holds(now.Add(time.Second), &m.Ranges[0]) {
		t.Error("the granted range does not count as held")
	}
	m.PlanMove(0, to.Host)
	due = c.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	if len(due) != 1 || !due[0].Release {
		t.Fatalf("due commands %+v, want one release", due)
	}
	c.Begin(due[0])
	if g.Holds(now, &m.Ranges[0]) {
		t.Error("the range counts as held while it is being released")
	}
	c.Complete(now, now.Add(time.Millisecond), due[0], CommandApplied, "token")
	if token, ok := g.Released(now.Add(time.Millisecond), &m.Ranges[0]); !ok || token != "token" {
		t.Errorf("released: %q, %v", token, ok)
	}
}

// Guards against a range that moves while a grant without a response may still be
// carried out by its previous holder.
func TestUnansweredGrantDelaysMove(t *testing.T) {
	m := NewMap(members(2), 1)
	from := member(0).Holder
	g := NewGrants(0, modelMaxHold)
	g.Reset(from)
	c := NewCommands(g)
	now := boottime.Time(time.Minute)
	due := c.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	c.Begin(due[0])
	now = now.Add(due[0].Timeout)
	c.Complete(now.Add(-due[0].Timeout), now, due[0], CommandUnknown, "")
	m.PlanMove(0, "h1")
	now = now.Add(time.Second)
	release := c.Due(now, m, from, false, now.Add(modelLease), modelMaxHold)
	c.Begin(release[0])
	c.Complete(now, now, release[0], CommandApplied, "token")
	if _, ok := g.Released(now.Add(time.Second), &m.Ranges[0]); ok {
		t.Error("released while the grant may still be carried out")
	}
	if _, ok := g.Released(now.Add(modelMaxHold+time.Second), &m.Ranges[0]); !ok {
		t.Error("never released")
	}
}
