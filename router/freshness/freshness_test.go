package freshness

import (
	"fmt"
	"testing"
	"time"
)

const bound = 2 * time.Second

var fleet = []Host{{"a", "z2"}, {"b", "z1"}, {"c", "z1"}, {"d", "z2"}, {"e", "z1"}}

// Guards against a fleet in which no host, or too many, check with the store, and against
// hosts that ask each other in a circle.
func TestSources(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		self, zone string
		avoided    []string
		want       string
		role       Role
	}{
		{"a", "z2", nil, "", FleetFirst},
		{"b", "z1", nil, "a", ZoneFirst},
		{"c", "z1", nil, "b", Member},
		{"d", "z2", nil, "a", Member},
		{"e", "z1", nil, "b", Member},
		{"e", "z1", []string{"b"}, "c", Member},
		{"e", "z1", []string{"b", "c"}, "a", ZoneFirst},
		{"c", "z1", []string{"b"}, "a", ZoneFirst},
		{"b", "z1", []string{"a"}, "", Deputy},
		{"d", "z2", []string{"a"}, "", Deputy},
		{"e", "z1", []string{"a", "b", "c"}, "", Deputy},
		{"new", "z3", nil, "a", ZoneFirst},
	} {
		a := NewAsker(Host{c.self, c.zone}, bound)
		for _, h := range c.avoided {
			a.Record(now, now, h, Failed, 0)
		}
		got, role := a.Source(now, fleet)
		if got != c.want || role != c.role {
			t.Errorf("%s, which avoids %v, asks %q in role %d, want %q and %d", c.self, c.avoided, got, role, c.want, c.role)
		}
		if got >= c.self {
			t.Errorf("%s asks %s, which may ask it", c.self, got)
		}
	}
	if got, role := NewAsker(Host{"a", "z1"}, bound).Source(now, nil); got != "" || role != FleetFirst {
		t.Errorf("a host that knows no other one asks %q in role %d", got, role)
	}
}

// Guards against questions that come so late that the host checks with the store although
// another host could have confirmed its configuration, or so early that most are in vain.
func TestTimesOfQuestions(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		self string
		due  time.Duration
	}{{"b", 600 * time.Millisecond}, {"c", 700 * time.Millisecond}} {
		a := NewAsker(Host{c.self, "z1"}, bound)
		if d := a.Next(now, now, fleet); d.Host != "" || d.Wait != c.due {
			t.Errorf("%s: %+v just after a confirmation, want %v", c.self, d, c.due)
		}
		source, _ := a.Source(now, fleet)
		at := now.Add(c.due)
		if d := a.Next(at, now, fleet); d.Host != source {
			t.Errorf("%s: %+v when a question is due, want %s", c.self, d, source)
		}
		// The response is for a later version, which this host gets by other ways.
		a.Record(at, at, source, Confirmed, 100*time.Millisecond)
		if d := a.Next(at, now, fleet); d.Wait != c.due-100*time.Millisecond {
			t.Errorf("%s: %+v after a response", c.self, d)
		}
	}
	if d := NewAsker(Host{"a", "z2"}, bound).Next(now, time.Time{}, fleet); d.Host != "" || d.Wait <= 0 {
		t.Errorf("the first host: %+v", d)
	}
}

// Guards against a host that stops asking because of one slow response, one that goes on
// asking a host that does not help, and one that never asks it again.
func TestHostsThatDoNotHelpAreAvoided(t *testing.T) {
	a := NewAsker(Host{"e", "z1"}, bound)
	now := time.Unix(1000, 0)
	confirmedAt := now.Add(-time.Second)
	ask := func(host string, o Outcome) {
		t.Helper()
		if d := a.Next(now, confirmedAt, fleet); d.Host != host {
			t.Fatalf("%+v, want a question to %s", d, host)
		}
		a.Record(now, now, host, o, 0)
	}
	if a.Outcome(0, false) != Stale || a.Outcome(900*time.Millisecond, true) != Stale || a.Outcome(700*time.Millisecond, true) != Confirmed {
		t.Error("wrong outcomes")
	}
	ask("b", Stale)
	if d := a.Next(now, confirmedAt, fleet); d.Host != "" || d.Wait != 200*time.Millisecond {
		t.Errorf("%+v after a stale response", d)
	}
	now = now.Add(200 * time.Millisecond)
	ask("b", Stale)
	now = now.Add(200 * time.Millisecond)
	ask("c", Failed)
	ask("a", Failed) // at once: the check with the store is near
	if source, _ := a.Source(now, fleet); source != "" {
		t.Error("a host that helps nobody is asked")
	}
	var total time.Duration
	for range 8 {
		avoid := a.Record(now, now, "b", Failed, 0)
		total += avoid
		if avoid > maxAvoid {
			t.Errorf("avoided for %v", avoid)
		}
	}
	if total < 4*maxAvoid {
		t.Errorf("8 failures cost %v", total)
	}
	now = now.Add(maxAvoid)
	ask("b", Confirmed)
	if avoid := a.Record(now, now, "b", Stale, 0); avoid != maxAvoid {
		t.Errorf("avoided for %v although it had helped only once", avoid)
	}
	for range confirmationsToRecover {
		a.Record(now, now, "b", Confirmed, 0)
	}
	if avoid := a.Record(now, now, "b", Failed, 0); avoid != minAvoid {
		t.Errorf("avoided for %v after it had helped for long", avoid)
	}
}

// Guards against memory that grows with all hosts that ever were.
func TestHostsAreForgotten(t *testing.T) {
	a := NewAsker(Host{"z", "z1"}, bound)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		a.Record(now, now, fmt.Sprint("h", i), Failed, 0)
		now = now.Add(10 * time.Second)
	}
	if len(a.hosts) > 10 {
		t.Errorf("%d hosts are remembered", len(a.hosts))
	}
}
