package verify_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/verify"
)

// unit returns a committed POST for key k of group g.
func unit(upstream string, generation uint64, start, end int64) standin.Unit {
	return standin.Unit{
		Upstream: upstream, Service: "s", Key: "k", Method: "POST", Group: "g", Generation: generation,
		State: standin.UnitCommitted,
		Start: standin.Instant{MonoNanos: start, WallMicros: start},
		End:   standin.Instant{MonoNanos: end, WallMicros: end},
	}
}

// with returns u after the change.
func with(u standin.Unit, change func(u *standin.Unit)) standin.Unit {
	change(&u)
	return u
}

// rules returns the rules of the findings, each followed by a space.
func rules(findings []verify.Finding) string {
	text := ""
	for _, f := range findings {
		text += string(f.Rule) + " "
	}
	return text
}

// ledgers returns one ledger with the units.
func ledgers(units ...standin.Unit) []standin.Ledger {
	return []standin.Ledger{{Upstream: "all", Units: units}}
}

// Guards against a check that misses two owners of a key, or reports them where
// there are none.
func TestOneOwner(t *testing.T) {
	otherKey := func(u *standin.Unit) { u.Key = "l" }
	otherService := func(u *standin.Unit) { u.Service = "t" }
	otherGroup := func(u *standin.Unit) { u.Group = "h" }
	abandoned := func(u *standin.Unit) { u.State = standin.UnitAbandoned }
	cases := []struct {
		name  string
		units []standin.Unit
		want  string
	}{
		{"one after the other", []standin.Unit{unit("a", 1, 0, 5), unit("b", 2, 5, 9)}, ""},
		{"overlap on two upstreams", []standin.Unit{unit("a", 1, 0, 6), unit("b", 2, 5, 9)}, "overlapping_upstreams "},
		{"overlap after a long unit", []standin.Unit{unit("a", 1, 0, 99), unit("a", 1, 1, 2), unit("b", 2, 50, 51)}, "overlapping_upstreams "},
		{"overlap across groups", []standin.Unit{unit("a", 1, 0, 6), with(unit("b", 1, 5, 9), otherGroup)}, "overlapping_upstreams "},
		{"concurrent at one owner", []standin.Unit{unit("a", 1, 0, 6), unit("a", 1, 5, 9)}, ""},
		{"two generations on one upstream", []standin.Unit{unit("a", 1, 0, 6), unit("a", 2, 5, 9)}, "overlapping_generations "},
		{"another key", []standin.Unit{unit("a", 1, 0, 6), with(unit("b", 2, 5, 9), otherKey)}, ""},
		{"another service", []standin.Unit{unit("a", 1, 0, 6), with(unit("b", 2, 5, 9), otherService)}, ""},
		{"abandoned", []standin.Unit{with(unit("a", 1, 0, 6), abandoned), unit("b", 2, 5, 9)}, ""},
		{"superseded generation", []standin.Unit{unit("b", 2, 0, 1), unit("a", 1, 5, 9)}, "stale_generation "},
		{"lower generation of another group", []standin.Unit{unit("b", 2, 0, 1), with(unit("a", 1, 5, 9), otherGroup)}, ""},
		{"unsorted ledger", []standin.Unit{unit("b", 2, 5, 9), unit("a", 1, 0, 6)}, "overlapping_upstreams "},
	}
	for _, c := range cases {
		if got := rules(verify.OneOwner(ledgers(c.units...))); got != c.want {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a check that misses work that was committed twice.
func TestAtMostOnce(t *testing.T) {
	id := func(u standin.Unit) standin.Unit { u.IdempotencyKey = "i"; return u }
	method := func(u standin.Unit, m string) standin.Unit { u.Method = m; return u }
	a, b := id(unit("a", 1, 0, 1)), id(unit("b", 2, 5, 6))
	cases := []struct {
		name  string
		units []standin.Unit
		want  string
	}{
		{"once", []standin.Unit{a}, ""},
		{"twice", []standin.Unit{a, b}, "committed_twice "},
		{"twice on one upstream", []standin.Unit{a, id(unit("a", 1, 7, 8))}, "committed_twice "},
		{"without an idempotency key", []standin.Unit{unit("a", 1, 0, 1), unit("b", 2, 5, 6)}, ""},
		{"idempotent method", []standin.Unit{method(a, "PUT"), method(b, "PUT")}, ""},
		{"abandoned and retried", []standin.Unit{with(a, func(u *standin.Unit) { u.State = standin.UnitAbandoned }), b}, ""},
	}
	for _, c := range cases {
		if got := rules(verify.AtMostOnce(ledgers(c.units...))); got != c.want {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a clean result for a ledger that dropped units.
func TestIncompleteLedger(t *testing.T) {
	got := rules(verify.All([]standin.Ledger{{Upstream: "a", Dropped: 1}}))
	if got != "incomplete_ledger " {
		t.Errorf("found %q", got)
	}
}

// Guards against a check that misses work committed after the end of its grant.
func TestWithinGrants(t *testing.T) {
	end := func(string, uint64) (int64, bool) { return 5, true }
	if got := rules(verify.WithinGrants(ledgers(unit("a", 1, 0, 5), unit("a", 1, 4, 6)), end)); got != "after_grant " {
		t.Errorf("found %q", got)
	}
}

// Compares the check with a test of all pairs of units, to guard against a missed
// overlap.
func TestOverlapsMatchAllPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var units []standin.Unit
		for i := range rapid.IntRange(0, 8).Draw(t, "n") {
			start := rapid.Int64Range(0, 20).Draw(t, "start")
			u := unit(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "upstream")), 1, start, start+rapid.Int64Range(1, 6).Draw(t, "length"))
			u.Seq = int64(i + 1)
			units = append(units, u)
		}
		want := false
		for i, a := range units {
			for _, b := range units[:i] {
				overlap := a.Start.MonoNanos < b.End.MonoNanos && b.Start.MonoNanos < a.End.MonoNanos
				want = want || overlap && a.Upstream != b.Upstream
			}
		}
		if got := len(verify.OneOwner(ledgers(units...))) > 0; got != want {
			t.Fatalf("found overlap %v, want %v: %+v", got, want, units)
		}
	})
}
