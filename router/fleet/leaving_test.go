package fleet

import (
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/hop"
)

func newLeavingDirectory() *Directory {
	return NewDirectory("z1", "r1", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
}

// readyMember returns the data of host h1 with an incarnation that is ready.
func readyMember(instance string, started int64) Member {
	return Member{Host: "h1", Instance: instance, Started: started, Service: "s", Zone: "z1", Region: "r1", Address: "127.0.0.1:1", State: Ready}
}

// Guards against a notice of leaving that is lost by rows of the same or an earlier
// incarnation or by a removed row, and against one that outlasts its incarnation.
func TestNoticeOfLeavingHoldsUntilTheIncarnationEnds(t *testing.T) {
	now := time.Now()
	d := newLeavingDirectory()
	member := readyMember
	check := func(when string, want bool) {
		t.Helper()
		h := d.Choose(now, "s", nil)
		if (h != nil) != want || (d.LeavingFor(now.Add(time.Second), "h1") == 0) != want {
			t.Errorf("%s: chosen %v, want %v", when, h != nil, want)
		}
		if members := d.Members("s"); len(members) > 0 && (members[0].State == Ready) != want {
			t.Errorf("%s: state %s", when, members[0].State)
		}
	}
	d.PutRow(member("a", 5), 1)
	check("before", true)
	d.MarkLeaving(now, "h1", Incarnation{Instance: "a", Started: 5})
	check("after the notice", false)
	d.PutRow(member("a", 5), 2)
	check("row of the same incarnation", false)
	d.PutRow(member("earlier", 4), 3)
	check("row of an earlier incarnation", false)
	d.Remove("h1")
	d.PutRow(member("a", 5), 4)
	check("row written again", false)
	d.PutRow(member("b", 6), 5)
	check("next incarnation", true)
	d.MarkLeaving(now, "h1", Incarnation{Instance: "a", Started: 5})
	check("late notice of the earlier incarnation", true)
}

// Guards against requests to an upstream that has said that it leaves and, because the time
// of day stepped back, started before its earlier incarnation, and against one that gets none
// because that earlier incarnation has left.
func TestNoticeOfLeavingDoesNotDependOnTheOrderOfStarts(t *testing.T) {
	now := time.Now()
	later := now.Add(lateRowTime)
	d := newLeavingDirectory()
	check := func(when string, want bool) {
		t.Helper()
		if h := d.Choose(later, "s", nil); (h != nil) != want || (d.LeavingFor(later.Add(time.Second), "h1") == 0) != want {
			t.Errorf("%s: chosen %v, want %v", when, h != nil, want)
		}
	}
	d.MarkLeaving(now, "h1", Incarnation{Instance: "a", Started: 5})
	d.PutRow(readyMember("a", 3), 1)
	check("started before the one that has left", true)
	d.MarkLeaving(later, "h1", Incarnation{Instance: "a", Started: 3})
	check("leaves as well", false)
	d.MarkLeaving(later, "h1", Incarnation{Instance: "a", Started: 5})
	check("late notice of the earlier incarnation", false)
	for i := range 2 * maxLeavingPerHost {
		d.MarkLeaving(later, "h1", Incarnation{Instance: "b", Started: int64(10 + i)})
	}
	if n := len(d.leaving["h1"]); n != maxLeavingPerHost {
		t.Errorf("%d notices are kept, want %d", n, maxLeavingPerHost)
	}
}
