// Package verify checks the ledgers of upstreams: whether a key had at most one
// owner at any time, and whether work ran at most once. The checks are pure
// functions.
//
// The ledgers of one check must come from one host, because units are ordered by
// its monotonic clock.
package verify

import (
	"cmp"
	"fmt"
	"slices"

	"burdockglade.dev/stores/standin"
)

// Rule identifies the rule that a finding violates.
type Rule string

// The rules.
const (
	// OverlappingUpstreams: committed work for one key overlapped on two
	// upstreams.
	OverlappingUpstreams Rule = "overlapping_upstreams"
	// OverlappingGenerations: committed work for one key overlapped on one
	// upstream under different generations of one group. This is legitimate
	// if the holder raised its generation to change its standby, because its
	// requests in flight continue; it is a fault after a change of holder.
	OverlappingGenerations Rule = "overlapping_generations"
	// StaleGeneration: committed work for a key began on one upstream after
	// work for the key under a higher generation of the same group had begun
	// on another.
	StaleGeneration Rule = "stale_generation"
	// CommittedTwice: work with one idempotency key was committed twice.
	CommittedTwice Rule = "committed_twice"
	// AfterGrant: work was committed after the end of the last grant that the
	// caller of the check knows.
	AfterGrant Rule = "after_grant"
	// Incomplete: a ledger dropped units, so the other checks prove nothing.
	Incomplete Rule = "incomplete_ledger"
)

// Finding is one violation of a rule.
type Finding struct {
	Rule Rule
	// First and Second are the units that violate the rule together. They are
	// zero in an Incomplete finding and equal in an AfterGrant finding.
	First, Second standin.Unit
	Detail        string
}

// String describes the finding in one line.
func (f Finding) String() string {
	if f.Rule == Incomplete {
		return fmt.Sprintf("%s: %s", f.Rule, f.Detail)
	}
	return fmt.Sprintf("%s: %s: %s; %s", f.Rule, f.Detail, unitString(f.First), unitString(f.Second))
}

func unitString(u standin.Unit) string {
	return fmt.Sprintf("%s #%d %s %s/%s group %s generation %d idempotency key %q %d..%d ns %s",
		u.Upstream, u.Seq, u.Method, u.Service, u.Key, u.Group, u.Generation, u.IdempotencyKey,
		u.Start.MonoNanos, u.End.MonoNanos, u.State)
}

// Exclude returns the findings whose rule is none of rules.
func Exclude(findings []Finding, rules ...Rule) []Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f Finding) bool {
		return slices.Contains(rules, f.Rule)
	})
}

// All runs every check that needs only the ledgers.
func All(ledgers []standin.Ledger) []Finding {
	findings := Complete(ledgers)
	findings = append(findings, OneOwner(ledgers)...)
	return append(findings, AtMostOnce(ledgers)...)
}

// Complete returns a finding for each ledger that dropped units.
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

// serviceKey identifies a key across services.
type serviceKey struct{ service, key string }

// OneOwner finds committed work that shows two owners of a key: overlapping work
// on different upstreams or under different generations, and work under a
// superseded generation. Abandoned and running units are ignored because they had
// no effect, so call OneOwner after all work has ended.
func OneOwner(ledgers []standin.Ledger) []Finding {
	byKey := make(map[serviceKey][]standin.Unit)
	for _, u := range committed(ledgers) {
		name := serviceKey{u.Service, u.Key}
		byKey[name] = append(byKey[name], u)
	}
	var findings []Finding
	for _, units := range byKey {
		findings = append(findings, overlaps(units)...)
		findings = append(findings, staleUnits(units)...)
	}
	sortFindings(findings)
	return findings
}

// AtMostOnce finds idempotency keys under which non-idempotent work was committed
// more than once. An idempotency key is scoped to a service and key.
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

// GrantEnd returns the end of the last grant of a generation of a group, in Unix
// microseconds, and whether it is known.
type GrantEnd func(group string, generation uint64) (micros int64, known bool)

// WithinGrants finds work that was committed after the end of the last grant of its
// group and generation, as given by end.
func WithinGrants(ledgers []standin.Ledger, end GrantEnd) []Finding {
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

// idempotent reports whether the HTTP method is idempotent.
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// committed returns the committed units of all ledgers, sorted by start.
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
// sorted by start. Each unit is paired with at most one earlier unit per rule, so
// that the findings stay readable if much went wrong.
func overlaps(units []standin.Unit) []Finding {
	var findings []Finding
	var open []standin.Unit // units that have not ended when u starts
	for _, u := range units {
		open = slices.DeleteFunc(open, func(o standin.Unit) bool {
			return o.End.MonoNanos <= u.Start.MonoNanos
		})
		findings = append(findings, overlapsAtStart(open, u)...)
		open = append(open, u)
	}
	return findings
}

// overlapsAtStart returns at most one finding per rule for u and the units that
// were open at its start.
func overlapsAtStart(open []standin.Unit, u standin.Unit) []Finding {
	var findings []Finding
	var seen [2]bool // by rule
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

// staleUnits finds units of one key that began after a unit of a higher generation
// of the same group had begun on another upstream. The units are sorted by start.
func staleUnits(units []standin.Unit) []Finding {
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
				Detail: "work began under a superseded generation",
			})
		}
	}
	return findings
}

// sortFindings sorts findings, so that their order does not depend on the
// iteration order of a map.
func sortFindings(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(compareUnits(a.Second, b.Second), cmp.Compare(a.Rule, b.Rule), compareUnits(a.First, b.First))
	})
}
