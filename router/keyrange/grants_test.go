package keyrange

import (
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
)

const second = boottime.Time(time.Second)

// Guards against two holders: an upstream that released a range must not be
// granted it again before the map has moved it, because the next holder may
// already hold it.
func TestReleasedRangeIsNotGrantedAgain(t *testing.T) {
	m := NewMap(members(1), 2)
	h := member(0).Holder
	g := NewGrants(0, 4*time.Second)
	g.Reset(h)
	grants, _ := g.Renew(second, m, h, false, 10*second, 4*time.Second)
	if len(grants) != 2 {
		t.Fatalf("%d grants, want 2", len(grants))
	}
	r := m.Ranges[0]
	if !g.RecordRelease(m, Handover{From: r.From, To: r.To, Token: "x"}) {
		t.Fatal("the release was not recorded")
	}
	grants, _ = g.Renew(second, m, h, false, 10*second, 4*time.Second)
	if len(grants) != 1 || grants[0].From == r.From {
		t.Errorf("grants %+v, want only the other range", grants)
	}
	if g.Holds(second, &m.Ranges[0]) {
		t.Error("the released range still counts as held")
	}
}

// Guards against two holders: after a lapsed range was relinquished and before the
// map has changed, a heartbeat must not renew the hold. This happens when a
// suspended host resumes.
func TestRelinquishedRangeIsNotRenewed(t *testing.T) {
	m := NewMap(members(1), 2)
	h := member(0).Holder
	g := NewGrants(0, 2*time.Second)
	g.Reset(h)
	g.Renew(second, m, h, false, 20*second, 2*time.Second)
	if !g.HoldEnded(8*second, &m.Ranges[0]) {
		t.Fatal("the hold has not ended")
	}
	g.Relinquish(&m.Ranges[0])
	grants, _ := g.Renew(8*second, m, h, false, 20*second, 2*time.Second)
	if len(grants) != 1 || grants[0].From == m.Ranges[0].From {
		t.Errorf("grants %+v, want only the other range", grants)
	}
}

// Guards against refused requests after a split: the upstream still holds the
// keys under the grant of the whole range.
func TestSplitRangeStaysHeld(t *testing.T) {
	m := NewMap(members(1), 1)
	h := member(0).Holder
	g := NewGrants(0, 4*time.Second)
	g.Reset(h)
	g.Renew(second, m, h, false, 10*second, 4*time.Second)
	m.Ranges = m.Ranges[0].splitAt([]uint16{1000})
	for i := range m.Ranges {
		if !g.Holds(2*second, &m.Ranges[i]) {
			t.Errorf("part %d is not held", i)
		}
		if g.HoldEnded(2*second, &m.Ranges[i]) {
			t.Errorf("the hold on part %d counts as ended", i)
		}
	}
	m.Ranges[1].Next = "h9"
	g.Renew(2*second, m, h, false, 10*second, 4*time.Second)
	if g.Holds(2*second, &m.Ranges[1]) {
		t.Error("a part that is planned to move is still held")
	}
	if g.HoldEnded(3*second, &m.Ranges[1]) {
		t.Error("the hold on a part that is planned to move counts as ended too early")
	}
	if !g.HoldEnded(6*second, &m.Ranges[1]) {
		t.Error("the hold on a part that is planned to move never ends")
	}
}

// Guards against a grant that outlasts the host's lease, after which another host
// may reassign the range. Clocks of upstreams may run 2% slow.
func TestGrantEndsBeforeLease(t *testing.T) {
	m := NewMap(members(1), 1)
	h := member(0).Holder
	for _, remaining := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 20 * time.Second} {
		g := NewGrants(0, 4*time.Second)
		g.Reset(h)
		now := 5 * second
		_, hold := g.Renew(now, m, h, false, now.Add(remaining), 4*time.Second)
		if slow := hold + hold/50; slow > remaining {
			t.Errorf("lease ends in %v: on a slow clock the hold lasts %v", remaining, slow)
		}
		if hold > 4*time.Second {
			t.Errorf("lease ends in %v: hold %v exceeds the maximum", remaining, hold)
		}
	}
}

// Guards against a restarted router that considers a range not held although its
// predecessor may have granted it shortly before.
func TestRestartedRouterWaitsForPredecessorGrants(t *testing.T) {
	m := NewMap(members(1), 1)
	g := NewGrants(second, 4*time.Second)
	g.Reset(member(0).Holder)
	if g.HoldEnded(4*second, &m.Ranges[0]) {
		t.Error("the hold counts as ended after 3 s of 4 s")
	}
	if !g.HoldEnded(second.Add(4200*time.Millisecond), &m.Ranges[0]) {
		t.Error("the hold has not ended after the maximum hold")
	}
}

// Guards against loads that lag behind hot keys, which change within seconds.
func TestLoadMeterFollowsHotKeys(t *testing.T) {
	var m LoadMeter
	for s := range 6 {
		for range 10 {
			m.Add(boottime.Time(s)*second+second/2, 100, 400*time.Millisecond)
		}
	}
	if got := m.Snapshot(6*second).Sum(0, 200); got < 3 || got > 4.5 {
		t.Errorf("%.2f slots, want about 4", got)
	}
	for s := 7; s < 11; s++ {
		m.Snapshot(boottime.Time(s) * second)
	}
	if got := m.Snapshot(11*second).Sum(0, 200); got > 0.5 {
		t.Errorf("%.2f slots 4 s after the last request", got)
	}
}

// Guards against a heartbeat response that exceeds the upstream's limit: the
// upstream would ignore it and lose all its keys.
func TestRenewIsBoundedByMaxGrants(t *testing.T) {
	m := NewMap(members(1), MaxGrants+10)
	g := NewGrants(0, time.Second)
	h := member(0).Holder
	g.Reset(h)
	grants, _ := g.Renew(second, m, h, false, 10*second, 3*time.Second)
	if len(grants) != MaxGrants {
		t.Errorf("%d ranges granted, want %d", len(grants), MaxGrants)
	}
	if r := &m.Ranges[MaxGrants]; g.Holds(second, r) {
		t.Errorf("range %+v was not granted but counts as held", r)
	}
}

// Guards against requests that wait for a grant which is not on its way: of a range that is
// to move, was released, was held until now, or does not fit into the response, and while
// the lease allows no grant.
func TestAnnounced(t *testing.T) {
	h := Holder{Host: "h", Instance: "i", Started: 1}
	now := boottime.Time(time.Hour)
	lease := now.Add(9 * time.Second)
	for name, c := range map[string]struct {
		change func(g *Grants, m *Map)
		lease  boottime.Time
		want   bool
	}{
		"new":           {func(*Grants, *Map) {}, lease, true},
		"to move":       {func(_ *Grants, m *Map) { m.PlanMove(1, "x") }, lease, false},
		"other holder":  {func(_ *Grants, m *Map) { m.assign(1, Holder{Host: "x"}) }, lease, false},
		"released":      {func(g *Grants, m *Map) { g.Relinquish(&m.Ranges[1]) }, lease, false},
		"hold ended":    {func(g *Grants, m *Map) { g.Renew(now-boottime.Time(time.Minute), m, h, false, lease, time.Second) }, lease, false},
		"held, new map": {func(g *Grants, m *Map) { g.Renew(now, m, h, false, lease, time.Second); m.BumpGeneration(1) }, lease, true},
		"lease ends":    {func(*Grants, *Map) {}, now.Add(minHold), false},
		"other life":    {func(g *Grants, _ *Map) { g.Reset(Holder{Host: "h", Instance: "j", Started: 2}) }, lease, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMap([]Member{{Holder: h}}, 2)
			g := NewGrants(0, time.Second)
			g.Reset(h)
			c.change(g, m)
			if got := g.Announced(now, m, MaxKey, h, c.lease); got != c.want {
				t.Errorf("announced: %v, want %v", got, c.want)
			}
			if got := g.Holds(now, m.Find(MaxKey)); got && c.want {
				t.Error("the range is held and announced")
			}
		})
	}
	m := NewMap([]Member{{Holder: h}}, MaxGrants+1)
	g := NewGrants(0, time.Second)
	g.Reset(h)
	if g.Announced(now, m, MaxKey, h, lease) || !g.Announced(now, m, 0, h, lease) {
		t.Error("want the first range to be announced and not the last one, for which the response has no room")
	}
}

// Guards against waiting for a command that the upstream refused or whose hold has ended,
// and against refusing requests while a grant without a response is repeated.
func TestAnnouncedByCommand(t *testing.T) {
	h := Holder{Host: "h", Instance: "i", Started: 1}
	now := boottime.Time(time.Hour)
	lease := now.Add(9 * time.Second)
	for result, want := range map[CommandResult]bool{CommandApplied: false, CommandRefused: false, CommandUnknown: true, CommandNotApplied: true} {
		m := NewMap([]Member{{Holder: h}}, 1)
		g := NewGrants(0, time.Second)
		c := NewCommands(g)
		g.Reset(h)
		if !c.Announced(now, m, 0, h, lease) {
			t.Error("a grant that is due is not announced")
		}
		due := c.Due(now, m, h, false, lease, time.Second)
		c.Begin(due[0])
		if !c.Announced(now, m, 0, h, lease) {
			t.Error("a grant in progress is not announced")
		}
		c.Complete(now, now, due[0], result, "")
		if got := c.Announced(now, m, 0, h, lease); got != want {
			t.Errorf("result %v: announced %v, want %v", result, got, want)
		}
	}
}

// Guards against keys that nobody serves for 4 s after the start of a router: what its
// predecessor granted in responses to heartbeats cannot take effect after the release. A
// command of the predecessor can, so that such ranges must not move earlier.
func TestReleasedRangeMovesAfterRestart(t *testing.T) {
	const maxHold = 4 * time.Second
	for _, byHeartbeat := range []bool{true, false} {
		m := NewMap([]Member{{Holder: Holder{Host: "h", Instance: "i", Started: 1}}}, 1)
		g := NewGrants(second, maxHold)
		NewCommands(g)
		g.Reset(m.Ranges[0].Holder)
		g.SetByHeartbeat(byHeartbeat)
		g.RecordRelease(m, Handover{To: MaxKey, Token: "x"})
		for at, want := range map[boottime.Time]bool{2 * second: byHeartbeat, second.Add(withDrift(maxHold)): true} {
			if _, ok := g.Released(at, &m.Ranges[0]); ok != want || g.Movable(at) != want {
				t.Errorf("by heartbeat %v, at %v: may move %v, movable %v, want %v", byHeartbeat, at, ok, g.Movable(at), want)
			}
		}
	}
}
