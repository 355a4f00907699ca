// Package verify judges the ledgers of upstreams: whether a key had at most
// one owner at any time, and whether work ran at most once. Its checks are
// pure.
//
// All ledgers of one judgement come from one host: units are ordered by its
// monotonic clock.
package verify

import (
	"cmp"
	"fmt"
	"slices"

	"burdockglade.dev/stores/standin"
)

// Rule names what a finding breaks.
type Rule string

// The rules.
const (
	// OverlappingUpstreams: committed work for one key overlapped on two
	// upstreams.
	OverlappingUpstreams Rule = "overlapping_upstreams"
	// OverlappingGenerations: committed work for one key overlapped on one
	// upstream under different generations of one group. A holder that raises
	// its generation with a change of standby causes this rightly, because its
	// requests in flight go on; it is a fault after a change of holder.
	OverlappingGenerations Rule = "overlapping_generations"
	// StaleGeneration: committed work for a key began on one upstream after
	// work for the key under a higher generation of the same group had begun
	// on another.
	StaleGeneration Rule = "stale_generation"
	// CommittedTwice: work with one idempotency key was committed twice.
	CommittedTwice Rule = "committed_twice"
	// AfterGrant: work was committed after the last grant that the caller of
	// the check knows of.
	AfterGrant Rule = "after_grant"
	// Incomplete: a ledger dropped units, so that nothing is proved.
	Incomplete Rule = "incomplete_ledger"
)

// Finding is one broken rule.
type Finding struct {
	Rule Rule
	// First and Second are the units that break the rule together. An
	// Incomplete finding has none.
	First, Second standin.Unit
	Detail        string
}

// String describes the finding in one line.
func (f Finding) String() string {
	if f.Rule == Incomplete {
		return fmt.Sprintf("%s: %s", f.Rule, f.Detail)
	}
	return fmt.Sprintf("%s: %s: %s; %s", f.Rule, f.Detail, describe(f.First), describe(f.Second))
}

func describe(u standin.Unit) string {
	return fmt.Sprintf("%s #%d %s %s/%s group %s generation %d idempotency key %q %d..%d ns %s",
		u.Upstream, u.Seq, u.Method, u.Service, u.Key, u.Group, u.Generation, u.IdempotencyKey,
		u.Start.MonoNanos, u.End.MonoNanos, u.State)
}

// Exclude returns the findings of all other rules.
func Exclude(findings []Finding, rules ...Rule) []Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f Finding) bool {
		return slices.Contains(rules, f.Rule)
	})
}

// All runs every check that needs no more than the ledgers.
func All(ledgers []standin.Ledger) []Finding {
	findings := Complete(ledgers)
	findings = append(findings, OneOwner(ledgers)...)
	return append(findings, AtMostOnce(ledgers)...)
}

// Complete finds ledgers that dropped units.
func Complete(ledgers []standin.Ledger) []Finding {
	var findings []Finding
	for _, l := range ledgers {
		if l.Dropped > 0 {
			findings = append(findings, Finding{
				Rule:   Incomplete,
				Detail: fmt.Sprintf("the ledger of %s dropped %d units", l.Upstream, l.Dropped),
			})
		}
	}
	return findings
}

// keyName names a key across services.
type keyName struct{ service, key string }

// OneOwner finds committed work that shows two owners of a key: overlapping
// work on different upstreams or under different generations, and work under a
// generation that had been replaced. Abandoned and running units had no effect
// and are left out; so judge after the work has ended.
func OneOwner(ledgers []standin.Ledger) []Finding {
	byKey := make(map[keyName][]standin.Unit)
	for _, u := range committed(ledgers) {
		name := keyName{u.Service, u.Key}
		byKey[name] = append(byKey[name], u)
	}
	var findings []Finding
	for _, units := range byKey {
		findings = append(findings, overlaps(units)...)
		findings = append(findings, stale(units)...)
	}
	sortFindings(findings)
	return findings
}

// AtMostOnce finds idempotency keys under which non-idempotent work was
// committed twice. The same idempotency key may be used again for another key
// of a service.
func AtMostOnce(ledgers []standin.Ledger) []Finding {
	type identity struct{ service, key, idempotencyKey string }
	first := make(map[identity]standin.Unit)
	var findings []Finding
	for _, u := range committed(ledgers) {
		if u.IdempotencyKey == "" || idempotent(u.Method) {
			continue
		}
		id := identity{u.Service, u.Key, u.IdempotencyKey}
		if earlier, ok := first[id]; ok {
			findings = append(findings, Finding{
				Rule: CommittedTwice, First: earlier, Second: u,
				Detail: "one idempotency key was committed twice",
			})
			continue
		}
		first[id] = u
	}
	sortFindings(findings)
	return findings
}

// EndOfGrant returns the last Unix microsecond at which a generation of a
// group was granted, and whether it is known.
type EndOfGrant func(group string, generation uint64) (micros int64, known bool)

// WithinGrants finds work that was committed after the end of its group's last
// grant. The caller supplies what was granted.
func WithinGrants(ledgers []standin.Ledger, end EndOfGrant) []Finding {
	var findings []Finding
	for _, u := range committed(ledgers) {
		last, known := end(u.Group, u.Generation)
		if known && u.End.WallMicros > last {
			findings = append(findings, Finding{
				Rule: AfterGrant, First: u, Second: u,
				Detail: fmt.Sprintf("committed %d us after the end of the grant", u.End.WallMicros-last),
			})
		}
	}
	sortFindings(findings)
	return findings
}

// idempotent reports whether the method may run more than once.
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// committed returns the committed units in order of their start.
func committed(ledgers []standin.Ledger) []standin.Unit {
	var units []standin.Unit
	for _, l := range ledgers {
		for _, u := range l.Units {
			if u.State == standin.UnitCommitted {
				units = append(units, u)
			}
		}
	}
	slices.SortFunc(units, compareUnits)
	return units
}

func compareUnits(a, b standin.Unit) int {
	return cmp.Or(
		cmp.Compare(a.Start.MonoNanos, b.Start.MonoNanos),
		cmp.Compare(a.Upstream, b.Upstream),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// overlaps finds pairs of units of one key that overlap in time. The units are
// sorted by start. Each unit is paired with one earlier unit of each rule at
// most, so that the findings stay readable when a run went wrong.
func overlaps(units []standin.Unit) []Finding {
	var findings []Finding
	var open []standin.Unit // units that have not ended at the start of the next
	for _, u := range units {
		open = slices.DeleteFunc(open, func(o standin.Unit) bool {
			return o.End.MonoNanos <= u.Start.MonoNanos
		})
		findings = append(findings, pairs(open, u)...)
		open = append(open, u)
	}
	return findings
}

// pairs returns at most one finding of each rule for a unit and those open at
// its start.
func pairs(open []standin.Unit, u standin.Unit) []Finding {
	var findings []Finding
	var seen [2]bool
	for _, o := range open {
		switch {
		case o.Upstream != u.Upstream && !seen[0]:
			seen[0] = true
			findings = append(findings, Finding{
				Rule: OverlappingUpstreams, First: o, Second: u,
				Detail: "work for one key overlapped on two upstreams",
			})
		case o.Upstream == u.Upstream && o.Group == u.Group && o.Generation != u.Generation && !seen[1]:
			seen[1] = true
			findings = append(findings, Finding{
				Rule: OverlappingGenerations, First: o, Second: u,
				Detail: "work for one key overlapped under two generations",
			})
		}
	}
	return findings
}

// stale finds units of one key that began after a unit of a higher generation
// of the group had begun elsewhere. The units are sorted by start.
func stale(units []standin.Unit) []Finding {
	highest := make(map[string]standin.Unit) // by group
	var findings []Finding
	for _, u := range units {
		if u.Group == "" {
			continue
		}
		top, ok := highest[u.Group]
		if !ok || u.Generation > top.Generation {
			highest[u.Group] = u
			continue
		}
		if u.Generation < top.Generation && u.Upstream != top.Upstream {
			findings = append(findings, Finding{
				Rule: StaleGeneration, First: top, Second: u,
				Detail: "work began under a generation that had been replaced",
			})
		}
	}
	return findings
}

// sortFindings gives findings an order that does not depend on map order.
func sortFindings(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(compareUnits(a.Second, b.Second), cmp.Compare(a.Rule, b.Rule), compareUnits(a.First, b.First))
	})
}
