package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

// rollbackSlack is the platform's limit for the time after the effect of a version
// was seen in which a host may still act on an older one.
const rollbackSlack = 250 * time.Millisecond

// noRoute is the outcome of a request that was rejected because it has no route. All
// other outcomes are names of services.
const noRoute = ""

// publication is a version of the configuration with the times at which the operator
// sent it and got the confirmation.
type publication struct {
	table           *vhost.Table
	sent, confirmed time.Time
}

// allows reports whether the version allows the outcome of a request for the slot.
func (p publication) allows(s routeSlot, outcome string) bool {
	r := p.table.Route(s.hostName, s.path())
	if r == nil {
		return outcome == noRoute
	}
	return slices.ContainsFunc(r.Clusters, func(c vhost.Cluster) bool { return c.Service == outcome && c.Weight > 0 })
}

// process is one life of a host's process.
type process struct {
	host   string
	starts int
}

// configRequest is a request for a slot and its response.
type configRequest struct {
	id             string
	process        process
	slot           routeSlot
	sent, answered time.Time
	status         int
}

// configOutcome is an execution of a request, or its rejection because it has no
// route.
type configOutcome struct {
	configRequest
	outcome string
	// at is the start of the execution or the time of the rejection.
	at time.Time
}

// outcomesOf returns the outcomes of the requests. serviceOf returns the service of an
// instance.
func outcomesOf(requests []configRequest, executions []standin.Execution, serviceOf func(instance string) string) []configOutcome {
	var outcomes []configOutcome
	byID := map[string]configRequest{}
	for _, r := range requests {
		byID[r.id] = r
		if r.status == 404 {
			outcomes = append(outcomes, configOutcome{configRequest: r, outcome: noRoute, at: r.answered})
		}
	}
	for _, e := range executions {
		if r, ok := byID[e.Request]; ok {
			outcomes = append(outcomes, configOutcome{configRequest: r, outcome: serviceOf(e.Instance), at: e.At})
		}
	}
	slices.SortFunc(outcomes, func(a, b configOutcome) int { return a.at.Compare(b.at) })
	return outcomes
}

// configRule is a rule on configurations.
type configRule string

const (
	ruleLate       configRule = "as only an older version allows, too long after a confirmation"
	ruleRevert     configRule = "as only an older version allows, after the effect of a newer one"
	ruleNotAllowed configRule = "as no version allows"
)

// configViolation is an outcome that breaks a rule.
type configViolation struct {
	rule configRule
	configOutcome
	// allowed is the newest version that allows the outcome, required the oldest one
	// that may be in force. Versions count from 1.
	allowed, required int
	// late is the time from the confirmation of the required version to the request.
	late time.Duration
	// after is the kind of the latest fault before the request.
	after string
}

func (v configViolation) Error() string {
	return fmt.Sprintf("%s: %s start %d handled %s%s with %q at %s, sent at %s; allowed up to version %d, version %d confirmed %v before; last fault: %s",
		v.rule, v.process.host, v.process.starts, v.slot.hostName, v.slot.path(), v.outcome, v.at.Format(logTime), v.sent.Format(logTime), v.allowed, v.required, v.late, v.after)
}

// logTime is the format of the times in reports, as in the logs of the processes.
const logTime = "15:04:05.000"

// effect is the time at which the effect of a version was seen.
type effect struct {
	at      time.Time
	version int
}

// configJudge judges outcomes. Versions are indexes of publications plus 1.
type configJudge struct {
	publications []publication
	faults       *configs
	// effects holds, per process, the effects of ever newer versions.
	effects map[process][]effect
	// allowing caches the versions that allow an outcome of a slot, in ascending order.
	allowing map[slotOutcome][]int
}

type slotOutcome struct {
	slot    routeSlot
	outcome string
}

func newConfigJudge(publications []publication, faults *configs) *configJudge {
	return &configJudge{publications: publications, faults: faults, effects: map[process][]effect{}, allowing: map[slotOutcome][]int{}}
}

// check returns the violations among the outcomes, which are in the order of their
// times.
func (j *configJudge) check(outcomes []configOutcome) []configViolation {
	var violations []configViolation
	for _, o := range outcomes {
		if v, ok := j.violation(o); ok {
			v.after = j.faults.lastKind(o.process.host, o.sent)
			violations = append(violations, v)
			continue
		}
		j.recordEffect(o)
	}
	return violations
}

// violation returns the violation of a rule by the outcome, if there is one.
func (j *configJudge) violation(o configOutcome) (configViolation, bool) {
	allowing := j.versionsAllowing(o)
	if len(allowing) == 0 {
		return configViolation{rule: ruleNotAllowed, configOutcome: o}, true
	}
	newest := allowing[len(allowing)-1]
	inForce, seen := j.inForceAt(o.sent), j.seenBy(o.process, o.sent.Add(-rollbackSlack))
	switch {
	case newest < seen:
		return j.newViolation(ruleRevert, o, newest, seen), true
	case newest < inForce && j.faults.faultFree(o.process.host, o.sent):
		return j.newViolation(ruleLate, o, newest, inForce), true
	}
	return configViolation{}, false
}

// newViolation returns a violation by an outcome that versions up to allowed allow. The
// lateness counts from the confirmation of the version after them.
func (j *configJudge) newViolation(rule configRule, o configOutcome, allowed, required int) configViolation {
	late := o.sent.Sub(j.publications[allowed].confirmed)
	return configViolation{rule: rule, configOutcome: o, allowed: allowed, required: required, late: late}
}

// versionsAllowing returns the versions that allow the outcome and were sent before the
// response or the execution, in ascending order.
func (j *configJudge) versionsAllowing(o configOutcome) []int {
	key := slotOutcome{o.slot, o.outcome}
	all, ok := j.allowing[key]
	if !ok {
		for i, p := range j.publications {
			if p.allows(o.slot, o.outcome) {
				all = append(all, i+1)
			}
		}
		j.allowing[key] = all
	}
	end := o.answered
	if o.at.After(end) {
		end = o.at
	}
	n, _ := slices.BinarySearchFunc(all, end, func(v int, end time.Time) int {
		if j.publications[v-1].sent.Before(end) {
			return -1
		}
		return 1
	})
	return all[:n]
}

// inForceAt returns the newest version that must be in force at the time on hosts
// without faults, or 0.
func (j *configJudge) inForceAt(t time.Time) int {
	version := 0
	for i, p := range j.publications {
		if t.Sub(p.confirmed) > configLimit {
			version = i + 1
		}
	}
	return version
}

// seenBy returns the newest version whose effect was seen before the time, or 0.
func (j *configJudge) seenBy(p process, t time.Time) int {
	version := 0
	for _, e := range j.effects[p] {
		if e.at.Before(t) {
			version = e.version
		}
	}
	return version
}

// recordEffect records that a version was in force: the oldest one that allows the
// outcome and that is not older than those seen before.
func (j *configJudge) recordEffect(o configOutcome) {
	seen := j.seenBy(o.process, o.sent.Add(-rollbackSlack))
	allowing := j.versionsAllowing(o)
	i, _ := slices.BinarySearch(allowing, max(seen, 1))
	shown := allowing[i]
	if shown > j.seenBy(o.process, o.at) {
		j.effects[o.process] = append(j.effects[o.process], effect{o.at, shown})
	}
}

// inForceTime is the time from the confirmation of a version until its effect was seen on
// a host.
type inForceTime struct {
	time    time.Duration
	version int
	host    string
	// after is the kind of the latest fault before the confirmation.
	after string
}

// inForceTimes returns the times of all versions and hosts that had no fault meanwhile, in
// ascending order. Versions whose effect may not have been visible are left out.
func (j *configJudge) inForceTimes(slots []routeSlot, services []string) []inForceTime {
	var times []inForceTime
	for i := 1; i < len(j.publications); i++ {
		confirmed := j.publications[i].confirmed
		for p, effects := range j.effects {
			if at, ok := firstEffect(effects, i+1); ok && j.aliveSince(p, i) && j.visibleUntil(at, i, p, slots, services) && j.faults.faultFree(p.host, confirmed) && j.faults.faultFree(p.host, at) {
				times = append(times, inForceTime{time: at.Sub(confirmed), version: i + 1, host: p.host, after: j.faults.lastKind(p.host, confirmed)})
			}
		}
	}
	slices.SortFunc(times, func(a, b inForceTime) int { return cmp.Compare(a.time, b.time) })
	return times
}

// aliveSince reports whether the process showed an effect before the publication.
func (j *configJudge) aliveSince(p process, publication int) bool {
	effects := j.effects[p]
	return len(effects) > 0 && effects[0].at.Before(j.publications[publication].confirmed)
}

// firstEffect returns the time of the first effect of the version or a newer one.
func firstEffect(effects []effect, version int) (time.Time, bool) {
	for _, e := range effects {
		if e.version >= version {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// visibleUntil reports whether the publication, and each further one until the time, has
// an effect that none of those before it can have that the process may have had in force
// when it was confirmed.
func (j *configJudge) visibleUntil(at time.Time, publication int, p process, slots []routeSlot, services []string) bool {
	oldest := max(j.seenBy(p, j.publications[publication].confirmed), 1) - 1
	for _, newer := range j.publications[publication:] {
		for _, older := range j.publications[oldest:publication] {
			if newer.sent.Before(at) && !differ(older, newer, slots, services) {
				return false
			}
		}
	}
	return true
}

// differ reports whether the publications have no outcome of some slot in common.
func differ(a, b publication, slots []routeSlot, services []string) bool {
	for _, s := range slots {
		shared := false
		for _, outcome := range append([]string{noRoute}, services...) {
			shared = shared || a.allows(s, outcome) && b.allows(s, outcome)
		}
		if !shared {
			return true
		}
	}
	return false
}

// lastKind returns the kind of the fault of the host or the store that began last before
// the time, and the kinds of those that overlap it.
func (c *configs) lastKind(host string, at time.Time) string {
	var last faultPeriod
	var kinds []string
	for _, p := range c.faultPeriods {
		if (p.host != host && p.host != everyHost) || !p.from.Before(at) {
			continue
		}
		if p.from.After(last.to) {
			kinds = nil
		}
		last, kinds = p, append(kinds, p.kind)
	}
	if len(kinds) == 0 {
		return "none"
	}
	return strings.Join(kinds, "+")
}

// Guards against a check that accepts requests that were run as only an older version
// allows, such as by a router that keeps the old service of a moved route or keeps dropped
// routes, and against one that reports what is allowed.
func TestJudgeFindsRequestsRunByOlderVersions(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	moved, dropped, split := routeSlot{"x", "/moved/"}, routeSlot{"x", "/dropped/"}, routeSlot{"x", "/moved/split/"}
	version := func(confirmed int, services map[routeSlot][]string) publication {
		var routes []vhost.Route
		for s, names := range services {
			r := vhost.Route{Name: s.prefix, Host: s.hostName, Prefix: s.prefix}
			for _, name := range names {
				r.Clusters = append(r.Clusters, vhost.Cluster{Service: name, Weight: 1})
			}
			routes = append(routes, r)
		}
		table, err := vhost.NewTable(vhost.Config{Routes: routes, Services: []vhost.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
		must(t, err)
		return publication{table: table, sent: after(confirmed - 10), confirmed: after(confirmed)}
	}
	publications := []publication{
		version(0, map[routeSlot][]string{moved: {"a"}, dropped: {"a"}}),
		version(10_000, map[routeSlot][]string{moved: {"b"}}),
		version(20_000, map[routeSlot][]string{moved: {"b"}, split: {"b", "c"}, dropped: {"b"}}),
		version(30_000, map[routeSlot][]string{moved: {"a"}, dropped: {"b"}}),
	}
	type event struct {
		slot    routeSlot
		sent    int
		outcome string
		starts  int
		// took is the time until the execution and the response.
		took int
	}
	for name, c := range map[string]struct {
		events       []event
		faultPeriods []faultPeriod
		want         configRule
	}{
		"keeps the old service":                 {events: []event{{moved, 12_001, "a", 0, 5}}, want: ruleLate},
		"keeps a dropped route":                 {events: []event{{dropped, 12_001, "a", 0, 5}}, want: ruleLate},
		"lacks an added route":                  {events: []event{{dropped, 22_001, noRoute, 0, 5}}, want: ruleLate},
		"keeps a split":                         {events: []event{{split, 32_001, "c", 0, 5}}, want: ruleLate},
		"lacks a split":                         {events: []event{{split, 22_001, "a", 0, 5}}, want: ruleLate},
		"either part of a split":                {events: []event{{split, 22_001, "b", 0, 5}, {split, 22_002, "c", 0, 5}}},
		"in time":                               {events: []event{{moved, 12_000, "a", 0, 5}, {dropped, 12_000, "a", 0, 5}}},
		"sent in time, run later":               {events: []event{{moved, 12_000, "a", 0, 900}}},
		"newer than confirmed":                  {events: []event{{moved, 9_980, "b", 0, 20}}},
		"allowed again":                         {events: []event{{moved, 33_000, "a", 0, 5}}},
		"not allowed yet":                       {events: []event{{split, 5_000, "c", 0, 5}}, want: ruleNotAllowed},
		"never allowed":                         {events: []event{{moved, 33_000, "c", 0, 5}}, want: ruleNotAllowed},
		"reverted":                              {events: []event{{moved, 10_100, "b", 0, 5}, {moved, 10_400, "a", 0, 5}}, want: ruleRevert},
		"reverted to a dropped route":           {events: []event{{dropped, 10_100, noRoute, 0, 5}, {dropped, 10_400, "a", 0, 5}}, want: ruleRevert},
		"reverted during a fault":               {events: []event{{moved, 10_100, "b", 0, 5}, {moved, 10_400, "a", 0, 5}}, faultPeriods: []faultPeriod{{host: "h", from: after(0), to: after(90_000)}}, want: ruleRevert},
		"older within the slack":                {events: []event{{moved, 10_100, "b", 0, 5}, {moved, 10_355, "a", 0, 5}}},
		"older sent before, run later":          {events: []event{{moved, 10_100, "b", 0, 5}, {moved, 10_200, "a", 0, 900}}},
		"older in another process":              {events: []event{{moved, 10_100, "b", 0, 5}, {moved, 10_400, "a", 1, 5}}},
		"reverted from what only a newer shows": {events: []event{{dropped, 20_100, "b", 0, 5}, {moved, 30_100, "a", 0, 5}, {moved, 30_400, "b", 0, 5}}, want: ruleRevert},
		"late during a fault":                   {events: []event{{moved, 12_001, "a", 0, 5}}, faultPeriods: []faultPeriod{{host: "h", from: after(12_000), to: after(90_000)}}},
		"late just after a fault":               {events: []event{{moved, 12_999, "a", 0, 5}}, faultPeriods: []faultPeriod{{host: everyHost, from: after(9_000), to: after(10_000)}}},
		"late long after a fault":               {events: []event{{moved, 13_000, "a", 0, 5}}, faultPeriods: []faultPeriod{{host: everyHost, from: after(9_000), to: after(10_000)}}, want: ruleLate},
		"late beside another host's fault":      {events: []event{{moved, 12_001, "a", 0, 5}}, faultPeriods: []faultPeriod{{host: "i", from: after(0), to: after(90_000)}}, want: ruleLate},
	} {
		var outcomes []configOutcome
		for _, e := range c.events {
			r := configRequest{process: process{"h", e.starts}, slot: e.slot, sent: after(e.sent), answered: after(e.sent + e.took)}
			outcomes = append(outcomes, configOutcome{configRequest: r, outcome: e.outcome, at: r.answered})
		}
		got := newConfigJudge(publications, &configs{faultPeriods: c.faultPeriods}).check(outcomes)
		switch {
		case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || got[0].rule != c.want):
			t.Errorf("%s: %v, want %q", name, got, c.want)
		}
	}
}
