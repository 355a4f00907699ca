// Package evacuation decides which availability zones are evacuated and what may still be
// sent to their upstreams. A zone is evacuated while the store has a row for it. The set
// is merged from the rows that this host reads and from the reports of other hosts, and
// never returns to an older state.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// reportTime is how long a set without evacuated zones is reported after the last zone
	// was taken back.
	reportTime = 10 * time.Minute
	// maxTakenBack bounds the zones that are remembered after they were taken back.
	maxTakenBack = 64
)

// Set is the set of evacuated zones as one host knows it. The zero value knows nothing.
// It is not safe for concurrent use.
type Set struct {
	// asOf is the version up to which all changes are known: a zone that is not evacuated
	// here had no row at that version.
	asOf int64
	// known is true once the rows were read or another host has reported its set.
	known bool
	// rows are the versions of the rows that this host has read itself, by zone.
	rows  map[string]int64
	zones map[string]zone
}

// zone is the state of a zone that is or was evacuated.
type zone struct {
	evacuated bool
	// version is that of the row, or the one at which the row was known to be absent.
	version int64
	// since is the time at which this host learned of the state.
	since boottime.Time
}

// Change is a change of the state of a zone.
type Change struct {
	Zone      string
	Evacuated bool
	Version   int64
}

// Report is what one host tells others of its set.
type Report struct {
	// AsOf is the version up to which the report is complete, or 0 if it is not.
	AsOf int64
	// Zones are the versions of the rows of the evacuated zones.
	Zones map[string]int64
}

// PutRow records a row that was read. Rows are passed to PutRow and DeleteRow in the order
// of their versions. A row from before a known removal changes nothing.
func (s *Set) PutRow(now boottime.Time, name string, version int64) []Change {
	if s.rows == nil {
		s.rows = map[string]int64{}
	}
	s.rows[name] = max(s.rows[name], version)
	return s.put(now, name, version)
}

// DeleteRow records that a row was deleted at the version.
func (s *Set) DeleteRow(now boottime.Time, name string, version int64) []Change {
	delete(s.rows, name)
	return s.remove(now, name, version)
}

// Confirm records that all changes up to the version were passed to PutRow and DeleteRow.
// Zones that only other hosts have reported have no row any more, unless their version is
// later.
func (s *Set) Confirm(now boottime.Time, asOf int64) []Change {
	s.known = true
	var changes []Change
	for _, name := range s.evacuatedZones() {
		if _, present := s.rows[name]; !present {
			changes = append(changes, s.remove(now, name, asOf)...)
		}
	}
	s.asOf = max(s.asOf, asOf)
	s.forget()
	return changes
}

// Merge adds the report of another host.
func (s *Set) Merge(now boottime.Time, r Report) []Change {
	s.known = true
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(r.Zones)) {
		changes = append(changes, s.put(now, name, r.Zones[name])...)
	}
	for _, name := range s.evacuatedZones() {
		if _, reported := r.Zones[name]; !reported {
			changes = append(changes, s.remove(now, name, r.AsOf)...)
		}
	}
	s.asOf = max(s.asOf, r.AsOf)
	s.forget()
	return changes
}

// AssumeKnown makes the set count as known although nothing was read, because the other
// hosts cannot report theirs.
func (s *Set) AssumeKnown() {
	s.known = true
}

func (s *Set) put(now boottime.Time, name string, version int64) []Change {
	z, ok := s.zones[name]
	if version <= z.version || (version <= s.asOf && !z.evacuated) {
		return nil
	}
	if ok && z.evacuated {
		z.version = version // the row was written again
		s.zones[name] = z
		return nil
	}
	return s.set(now, name, true, version)
}

// remove takes the zone back, which had no row at the version.
func (s *Set) remove(now boottime.Time, name string, version int64) []Change {
	z := s.zones[name]
	if !z.evacuated || version < z.version {
		return nil
	}
	return s.set(now, name, false, version)
}

func (s *Set) set(now boottime.Time, name string, evacuated bool, version int64) []Change {
	if s.zones == nil {
		s.zones = map[string]zone{}
	}
	s.zones[name] = zone{evacuated: evacuated, version: version, since: now}
	return []Change{{Zone: name, Evacuated: evacuated, Version: version}}
}

// evacuatedZones returns the evacuated zones in order.
func (s *Set) evacuatedZones() []string {
	var names []string
	for name, z := range s.zones {
		if z.evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// forget drops the zones that were taken back first. asOf keeps reports from evacuating
// them again; zones removed above it are kept.
func (s *Set) forget() {
	var takenBack []string
	for name, z := range s.zones {
		if !z.evacuated && z.version <= s.asOf {
			takenBack = append(takenBack, name)
		}
	}
	if len(takenBack) <= maxTakenBack {
		return
	}
	slices.SortFunc(takenBack, func(a, b string) int { return cmp.Compare(s.zones[a].since, s.zones[b].since) })
	for _, name := range takenBack[:len(takenBack)-maxTakenBack] {
		delete(s.zones, name)
	}
}

// View returns the current state, which later changes of the set do not affect.
func (s *Set) View() *View {
	v := &View{known: s.known, zones: maps.Clone(s.zones)}
	r := Report{AsOf: s.asOf, Zones: map[string]int64{}}
	for name, z := range s.zones {
		if z.evacuated {
			r.Zones[name] = z.version
		} else {
			v.reportUntil = max(v.reportUntil, z.since.Add(reportTime))
		}
	}
	v.evacuated = len(r.Zones)
	v.report = r.Encode()
	return v
}

// View is the state of a Set at one moment. It is safe for concurrent use.
type View struct {
	known       bool
	zones       map[string]zone
	evacuated   int
	report      string
	reportUntil boottime.Time
}

// Known reports whether the rows were read or another host has reported its set.
func (v *View) Known() bool {
	return v.known
}

// Count returns the number of evacuated zones.
func (v *View) Count() int {
	return v.evacuated
}

// Evacuated reports whether the zone is evacuated.
func (v *View) Evacuated(name string) bool {
	return v.evacuated > 0 && v.zones[name].evacuated
}

// MayServe reports whether an upstream of the zone may get a request. If the zone is
// evacuated, it gets only requests with a key, and only for keyLimit.
func (v *View) MayServe(now boottime.Time, name string, keyed bool, keyLimit time.Duration) bool {
	return !v.Evacuated(name) || (keyed && now.Sub(v.zones[name].since) < keyLimit)
}

// Report returns the encoded report of the set.
func (v *View) Report() string {
	return v.report
}

// Reported reports whether responses to other hosts carry the report: zones are evacuated,
// or were until recently.
func (v *View) Reported(now boottime.Time) bool {
	return v.evacuated > 0 || now < v.reportUntil
}
