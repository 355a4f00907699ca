package fleet

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against large responses that leave the zone while the link of its host is only
// busy, and against those that go on to hosts whose links are full as well: the last load
// that was heard of them is seconds old.
func TestChooseNearStaysWhileLinksAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"))
		for _, host := range []string{"near", "next", "far"} {
			reportLoad(d, host, Load{Slots: 10, Link: 2})
		}
		time.Sleep(time.Second)
		near := d.ChooseNear(time.Now(), "s", nil, nil).Host
		if near == nil || near.Member().Host != "near" {
			t.Fatalf("chose %v, want near", near)
		}
		if h := d.ChooseNear(time.Now(), "s", []*Host{near}, nil).Host; h != nil {
			t.Errorf("chose %s although its link is full", h.Member().Host)
		}
		reportLoad(d, "far", Load{Slots: 10, Link: 0.3})
		got := d.ChooseNear(time.Now(), "s", []*Host{near}, nil)
		if got.Host != d.Host("far") || !got.HasSpare {
			t.Errorf("chose %v, want far, whose link has capacity", got)
		}
	})
}

// Guards against a zone whose only upstream fails and gets all large requests.
func TestChooseNearLeavesFailingHost(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"))
	for range 20 {
		d.Host("near").RequestStarted()
		d.Host("near").RequestDone(time.Now(), Result{Reached: true, Failed: true})
	}
	if h := d.ChooseNear(time.Now(), "s", nil, nil).Host; h != d.Host("next") {
		t.Errorf("chose %v, want next", h)
	}
}
