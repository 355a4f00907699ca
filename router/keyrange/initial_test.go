package keyrange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
)

// presence returns the members of which in reports that they are present.
func presence(n int, in func(i int) bool) []Member {
	var members []Member
	for i := range n {
		if in(i) {
			members = append(members, Member{Holder: Holder{Host: fmt.Sprintf("h%d", i), Instance: "i", Started: 1}})
		}
	}
	return members
}

// firstChoice returns the time after which the host chooses members, and these, or 0 if it
// chooses none within a minute. at returns the members present after a time.
func firstChoice(host string, at func(time.Duration) []Member) (time.Duration, []string) {
	var i InitialMembers
	for since := time.Duration(0); since < time.Minute; since += 250 * time.Millisecond {
		if chosen := i.Choose(boottime.Time(time.Hour+since), host, at(since)); len(chosen) > 0 {
			var names []string
			for _, m := range chosen {
				names = append(names, m.Host)
			}
			return since, names
		}
	}
	return 0, nil
}

// Guards against keys that nobody holds for as long as members come and go, against ranges
// for members that are not steady, and against a start that is slower, or leaves out late
// members, where the set becomes steady in time.
func TestInitialMapIsMadeInBoundedTime(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		host   string
		in     func(i int, since time.Duration) bool
		within time.Duration
		want   []string
	}{
		"steady":                {"h0", func(int, time.Duration) bool { return true }, steadyTime, []string{"h0", "h1", "h2"}},
		"another host in turn":  {"h2", func(int, time.Duration) bool { return true }, steadyTime + 2*initialStagger, []string{"h0", "h1", "h2"}},
		"one comes late":        {"h0", func(i int, since time.Duration) bool { return i < 2 || since >= time.Second }, time.Second + steadyTime, []string{"h0", "h1", "h2"}},
		"one flaps":             {"h0", func(i int, since time.Duration) bool { return i < 2 || since/time.Second%2 == 0 }, maxInitialWait, []string{"h0", "h1"}},
		"the first one flaps":   {"h1", func(i int, since time.Duration) bool { return i > 0 || since/time.Second%2 == 0 }, maxInitialWait, []string{"h1", "h2"}},
		"one comes each second": {"h0", func(i int, since time.Duration) bool { return i <= int(since/time.Second) }, maxInitialWait, []string{"h0", "h1", "h2", "h3", "h4"}},
		"all were away": {"h0", func(i int, since time.Duration) bool {
			return since < time.Second || since >= time.Duration(20+i)*time.Second
		}, 22*time.Second + steadyTime, []string{"h0", "h1", "h2"}},
		"this one flaps": {"h0", func(i int, since time.Duration) bool { return i > 0 || since/time.Second%2 == 0 }, 0, nil},
	} {
		n := 3
		if name == "one comes each second" {
			n = 60
		}
		after, chosen := firstChoice(c.host, func(since time.Duration) []Member {
			return presence(n, func(i int) bool { return c.in(i, since) })
		})
		if after > c.within+250*time.Millisecond || after < c.within || !slices.Equal(chosen, c.want) {
			t.Errorf("%s: %v after %v, want %v after %v", name, chosen, after, c.want, c.within)
		}
	}
}

// Guards against an initial map with too few ranges for the members that are not in it yet,
// or with more for one host than a heartbeat can grant.
func TestInitialMapLeavesRangesForLaterMembers(t *testing.T) {
	t.Parallel()
	all := presence(3, func(int) bool { return true })
	m := NewInitialMap(all[:2], 3*24)
	moves := m.MovesToNewMembers("h0", 0.5, Loads{}, all)
	if len(m.Ranges) != 72 || m.HasHolder("h2") || len(moves) == 0 || moves[0].To != "h2" {
		t.Errorf("%d ranges, moves %v", len(m.Ranges), moves)
	}
	if m = NewInitialMap(all[:1], 840); len(m.Ranges) > MaxGrants {
		t.Errorf("%d ranges for one host, a heartbeat grants %d", len(m.Ranges), MaxGrants)
	}
}

// Guards against ranges of a silent host that nobody serves because their new holder has more
// than a heartbeat can grant.
func TestPlanMoveAwayIsBounded(t *testing.T) {
	t.Parallel()
	all := presence(2, func(int) bool { return true })
	m := NewMap(all, 60)
	for _, i := range m.RangesOf(all[0].Holder) {
		m.PlanMoveAway(i, all[1:])
	}
	if n := m.CountByHost()["h1"]; n != MaxGrants {
		t.Errorf("%d ranges at the other host, want %d", n, MaxGrants)
	}
}
