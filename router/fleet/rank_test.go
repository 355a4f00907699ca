package fleet

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an explanation that ranks hosts in another order than the choice, or that
// names the wrong reason for which a host is not chosen.
func TestRankAgreesWithChoose(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"),
		upstream("gone", "z9", "r1"), upstream("leaves", "z1", "r1"), upstream("forbidden", "z1", "r7"))
	d.SetEvacuated(func(zone string) bool { return zone == "z9" })
	now := time.Now()
	d.MarkLeaving(now, "leaves", upstream("leaves", "z1", "r1").Incarnation())
	reportLoad(d, "near", Load{Busy: 10, Waiting: 4, Slots: 10})
	allowed := func(m Member) bool { return m.Region != "r7" }
	ranked := d.Rank(time.Now(), "s", allowed)
	want := []struct {
		host     string
		excluded Exclusion
	}{{"next", Eligible}, {"far", Eligible}, {"near", Eligible}, {"forbidden", ExcludedNotAllowed}, {"gone", ExcludedEvacuated}, {"leaves", ExcludedLeaving}}
	if len(ranked) != len(want) {
		t.Fatalf("%d hosts ranked, want %d", len(ranked), len(want))
	}
	for i, w := range want {
		if c := ranked[i]; c.Member.Host != w.host || c.Excluded != w.excluded {
			t.Errorf("place %d: %s, excluded %q; want %s, %q", i, c.Member.Host, c.Excluded, w.host, w.excluded)
		}
	}
	var tried []*Host
	for _, w := range want[:3] {
		lowest, chosen := d.ChooseLowest(time.Now(), "s", tried, allowed), d.ChooseAllowed(time.Now(), "s", tried, allowed)
		if lowest != chosen || chosen.Member().Host != w.host {
			t.Errorf("after %d hosts: lowest %s, chosen %s, ranked %s", len(tried), lowest.Member().Host, chosen.Member().Host, w.host)
		}
		tried = append(tried, chosen)
	}
	if near := ranked[2]; near.Load.Busy != 10 || near.LoadAge < 0 || ranked[0].LoadAge != -1 {
		t.Errorf("load of near %+v with age %v, age of next %v", near.Load, near.LoadAge, ranked[0].LoadAge)
	}
}

// Guards against an explanation that takes the probe of a host that does not respond, so
// that the next request is refused in its place.
func TestRankTakesNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(upstream("h1", "z1", "r1"))
		h := d.Host("h1")
		h.RequestStarted()
		h.RequestDone(time.Now(), Result{})
		for range 3 {
			if c := d.Rank(time.Now(), "s", nil)[0]; !c.Unavailable || !c.Probe {
				t.Errorf("unavailable %v, probe %v; want both", c.Unavailable, c.Probe)
			}
		}
		if !h.AllowRequest(time.Now()) {
			t.Error("the probe was taken")
		}
		if allowed, _ := h.WouldAllowRequest(time.Now()); allowed {
			t.Error("a second probe is due at once")
		}
	})
}
