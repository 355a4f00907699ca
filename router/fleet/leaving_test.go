package fleet

import (
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/hop"
)

// Guards against a notice of leaving that is lost by rows of the same or an earlier
// incarnation or by a removed row, and against one that outlasts its incarnation.
func TestNoticeOfLeavingHoldsUntilTheIncarnationEnds(t *testing.T) {
	now := time.Now()
	d := NewDirectory("z1", "r1", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
	member := func(instance string, started int64) Member {
		return Member{Host: "h1", Instance: instance, Started: started, Service: "s", Zone: "z1", Region: "r1", Address: "127.0.0.1:1", State: Ready}
	}
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
