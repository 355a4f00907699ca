package keyrange

import (
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
)

const second = boottime.Time(time.Second)

// Guards against two holders: an upstream that gave a range up must not get it
// again before the map has moved it, because the next holder may already have
// it.
func TestGivenUpRangeIsNotGrantedAgain(t *testing.T) {
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
		t.Fatal("the report was not taken")
	}
	grants, _ = g.Renew(second, m, h, false, 10*second, 4*time.Second)
	if len(grants) != 1 || grants[0].From == r.From {
		t.Errorf("grants %+v: want only the other range", grants)
	}
	if g.Holds(second, &m.Ranges[0]) {
		t.Error("the range still counts as held")
	}
}

// Guards against two holders: after the decision to free a lapsed range, and
// before the map shows it, a heartbeat of a host that has just woken up must not
// renew the hold.
func TestSurrenderedRangeIsNotRenewed(t *testing.T) {
	m := NewMap(members(1), 2)
	h := member(0).Holder
	g := NewGrants(0, 2*time.Second)
	g.Reset(h)
	g.Renew(second, m, h, false, 20*second, 2*time.Second)
	if !g.HoldEnded(8*second, &m.Ranges[0]) {
		t.Fatal("the hold has not lapsed")
	}
	g.Relinquish(&m.Ranges[0])
	grants, _ := g.Renew(8*second, m, h, false, 20*second, 2*time.Second)
	if len(grants) != 1 || grants[0].From == m.Ranges[0].From {
		t.Errorf("grants %+v: want only the other range", grants)
	}
}

// Guards against keys that are refused after their range was divided: the
// upstream still holds them by the grant of the whole range.
func TestDividedRangeIsStillHeld(t *testing.T) {
	m := NewMap(members(1), 1)
	h := member(0).Holder
	g := NewGrants(0, 4*time.Second)
	g.Reset(h)
	g.Renew(second, m, h, false, 10*second, 4*time.Second)
	m.Ranges = m.Ranges[0].divide([]uint16{1000})
	for i := range m.Ranges {
		if !g.Holds(2*second, &m.Ranges[i]) {
			t.Errorf("part %d is not held", i)
		}
		if g.HoldEnded(2*second, &m.Ranges[i]) {
			t.Errorf("part %d counts as ended", i)
		}
	}
	m.Ranges[1].Next = "h9"
	g.Renew(2*second, m, h, false, 10*second, 4*time.Second)
	if g.Holds(2*second, &m.Ranges[1]) {
		t.Error("a part that moves is still held")
	}
	if g.HoldEnded(3*second, &m.Ranges[1]) {
		t.Error("a part that moves counts as ended before its hold has lapsed")
	}
	if !g.HoldEnded(6*second, &m.Ranges[1]) {
		t.Error("a part that moves never ends")
	}
}

// Guards against a grant that outlasts the host's lease, after which another
// host may give the range away. Upstream clocks may run 2% slow.
func TestGrantEndsBeforeTheLease(t *testing.T) {
	m := NewMap(members(1), 1)
	h := member(0).Holder
	for _, left := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 20 * time.Second} {
		g := NewGrants(0, 4*time.Second)
		g.Reset(h)
		now := 5 * second
		_, hold := g.Renew(now, m, h, false, now.Add(left), 4*time.Second)
		if slow := hold + hold/50; slow > left {
			t.Errorf("lease of %v: a slow clock holds for %v", left, slow)
		}
		if hold > 4*time.Second {
			t.Errorf("lease of %v: hold %v is above the bound", left, hold)
		}
	}
}

// Guards against a restarted router that takes a range for free although its
// predecessor may have granted it a moment ago.
func TestRestartedRouterWaitsForEarlierGrants(t *testing.T) {
	m := NewMap(members(1), 1)
	g := NewGrants(second, 4*time.Second)
	g.Reset(member(0).Holder)
	if g.HoldEnded(4*second, &m.Ranges[0]) {
		t.Error("taken for ended after 3 s of 4 s")
	}
	if !g.HoldEnded(second.Add(4200*time.Millisecond), &m.Ranges[0]) {
		t.Error("not ended after the longest hold")
	}
}

// Guards against loads that do not follow hot keys, which change within seconds.
func TestRatesFollowHotKeys(t *testing.T) {
	var r LoadMeter
	for s := range 6 {
		for range 10 {
			r.Add(boottime.Time(s)*second+second/2, 100, 400*time.Millisecond)
		}
	}
	if got := r.Snapshot(6*second).Sum(0, 200); got < 3 || got > 4.5 {
		t.Errorf("%.2f slots, want about 4", got)
	}
	for s := 7; s < 11; s++ {
		r.Snapshot(boottime.Time(s) * second)
	}
	if got := r.Snapshot(11*second).Sum(0, 200); got > 0.5 {
		t.Errorf("%.2f slots 4 s after the last request", got)
	}
}

// Guards against an answer that is too long for the upstream, which would then
// lose all its keys.
func TestGrantsAreBounded(t *testing.T) {
	m := NewMap(members(1), MaxGrants+10)
	g := NewGrants(0, time.Second)
	h := member(0).Holder
	g.Reset(h)
	grants, _ := g.Renew(second, m, h, false, 10*second, 3*time.Second)
	if len(grants) != MaxGrants {
		t.Errorf("%d ranges granted, want %d", len(grants), MaxGrants)
	}
	if r := &m.Ranges[MaxGrants]; g.Holds(second, r) {
		t.Errorf("range %+v was not granted and counts as held", r)
	}
}
