package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/evacuation"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// evacuatedField is the field of a response between routers that names the evacuated
// zones. Routers of earlier versions ignore it.
const evacuatedField = "Burdock-Evacuated"

// evacuationUnknown stands for the report of a host that does not know which zones are
// evacuated.
const evacuationUnknown = "-"

// evacuationMergeInterval is the shortest time between reports of other hosts that are
// merged although they name the same zones.
const evacuationMergeInterval = 250 * time.Millisecond

// zoneEvacuation holds the evacuated zones. A nil zoneEvacuation belongs to a deployment
// whose zones cannot be evacuated. It is safe for concurrent use.
type zoneEvacuation struct {
	// ownZone is the zone of this host.
	ownZone string
	// decode returns the zone that the row with the key evacuates.
	decode func(rowstore.Key) (zone string, ok bool)
	// keyLimit is the time, counted from the moment at which a host learns that a zone is
	// evacuated, for which keys that have not moved yet are served there.
	keyLimit  time.Duration
	startedAt boottime.Time
	log       *event.Logger
	scope     tally.Scope
	// changed is called when a zone is evacuated or taken back, and ownTakenBack when the
	// zone of this host is taken back.
	changed, ownTakenBack func()
	view                  atomic.Pointer[evacuation.View]

	badReports badReportThrottle
	// mergedAt is the boottime.Time at which a report of another host was merged last.
	mergedAt atomic.Int64

	mu  sync.Mutex
	set evacuation.Set
	// heldReported is true once keys that are held for too long were logged for the
	// current evacuation of ownZone.
	heldReported bool
}

// buildEvacuation creates the component that knows the evacuated zones. It returns nil if
// the deployment has none.
func (s *Sidecar) buildEvacuation() *zoneEvacuation {
	if s.opts.EvacuatedZone == nil {
		return nil
	}
	e := &zoneEvacuation{
		ownZone: s.settings.Host.Zone, decode: s.opts.EvacuatedZone, startedAt: s.createdAt, log: s.log, scope: s.scope,
		keyLimit: millis(s.settings.Terms.EvacuationMs) / 2,
		changed:  func() { s.keys.wake() },
		// Upstreams that got no requests may have become cold.
		ownTakenBack: s.assumeCold,
	}
	e.view.Store(e.set.View())
	e.scope.Gauge("evacuated_zones").Update(0)
	s.fleet.SetEvacuated(e.evacuated)
	return e
}

// applyOperatorRow applies a row of the table that contains the configuration and the
// evacuated zones.
func (s *Sidecar) applyOperatorRow(r rowstore.Row) {
	if !s.evacuation.applyRow(r) {
		s.config.applyRow(r)
	}
}

// pollConfig requests from another host a configuration above the version, and the
// evacuated zones if this host knows of any or knows nothing yet. Both report the requests
// that crash upstreams: a host whose requests run at its own upstream gets no responses. A
// host that knows of
// evacuated zones reports them unasked, and its report must be merged before its age confirms
// the configuration of this host.
func (s *Sidecar) pollConfig(ctx context.Context, from *hop.Client, version uint64) (peerConfig, error) {
	own := s.evacuation.pollReport(false)
	peer, result, err := fetchConfig(ctx, from, storeCall{Config: version, Evacuated: own, Suspects: s.quarantine.pollReport()})
	if err == nil {
		s.evacuation.mergePolled(own, result.Evacuated, from.Address())
		s.quarantine.merge(result.Suspects, from.Address())
	}
	return peer, err
}

// update applies a change of the set and reports what has changed. source names where the
// change comes from.
func (e *zoneEvacuation) update(source string, change func(now boottime.Time, set *evacuation.Set) []evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := change(boottime.Now(), &e.set)
	view := e.set.View()
	e.view.Store(view)
	for _, c := range changes {
		logged := eventZoneTakenBack
		if c.Evacuated {
			logged = eventZoneEvacuated
		}
		if c.Zone == e.ownZone {
			e.heldReported = false
			if !c.Evacuated && e.ownTakenBack != nil {
				e.ownTakenBack()
			}
		}
		e.log.Log(logged, event.F("zone", c.Zone), event.F("own", c.Zone == e.ownZone), event.F("version", c.Version), event.F("source", source))
	}
	if len(changes) > 0 {
		e.scope.Gauge("evacuated_zones").Update(float64(view.Count()))
		e.changed()
	}
}

// applyRow applies a row if it evacuates a zone, and reports whether it does.
func (e *zoneEvacuation) applyRow(r rowstore.Row) bool {
	if e == nil {
		return false
	}
	zone, ok := e.decode(r.Key)
	if !ok {
		return false
	}
	e.update("store", func(now boottime.Time, set *evacuation.Set) []evacuation.Change {
		if r.Deleted {
			return set.DeleteRow(now, zone, r.Version)
		}
		return set.PutRow(now, zone, r.Version)
	})
	return true
}

// confirm records that all rows up to the version were passed to applyRow.
func (e *zoneEvacuation) confirm(version int64) {
	if e == nil {
		return
	}
	e.update("store", func(now boottime.Time, set *evacuation.Set) []evacuation.Change { return set.Confirm(now, version) })
}

// merge adds the report of another host, which may be empty.
func (e *zoneEvacuation) merge(report, host string) {
	if e == nil || report == "" || report == evacuationUnknown || !e.worthMerging(report) {
		return
	}
	r, err := evacuation.Decode(report)
	if err != nil {
		e.badReports.record(e.log, eventEvacuationReportInvalid, host, report)
		return
	}
	e.update(host, func(now boottime.Time, set *evacuation.Set) []evacuation.Change { return set.Merge(now, r) })
}

// worthMerging reports whether a report may change more than the version up to which the
// zones are known, or that version was not raised for a while. Nearly every response names
// another version.
func (e *zoneEvacuation) worthMerging(report string) bool {
	own := e.view.Load().Report()
	if report == own {
		return false
	}
	now, last := int64(boottime.Now()), e.mergedAt.Load()
	if evacuation.SameZones(report, own) && now-last < int64(evacuationMergeInterval) {
		return false
	}
	e.mergedAt.Store(now)
	return true
}

// mergePolled adds the report in the response to a poll that carried the own one. A host that
// does not respond to it has an earlier version of the router and knows of no evacuated zones.
func (e *zoneEvacuation) mergePolled(own, report, host string) {
	if own == "" || report != "" {
		e.merge(report, host)
		return
	}
	e.update(host, func(_ boottime.Time, set *evacuation.Set) []evacuation.Change {
		set.AssumeKnown()
		return nil
	})
}

// report returns the report that responses to other hosts carry, or "" if they carry none.
func (e *zoneEvacuation) report() string {
	if e == nil {
		return ""
	}
	if v := e.view.Load(); v.Known() && v.Reported(boottime.Now()) {
		return v.Report()
	}
	return ""
}

// pollReport returns the report that this host sends when it polls another one or responds
// to a poll, or "" if it need not send one. asked is true if the other host has sent its
// own.
func (e *zoneEvacuation) pollReport(asked bool) string {
	switch {
	case e == nil:
		return ""
	case !e.view.Load().Known():
		return evacuationUnknown
	case asked:
		return e.view.Load().Report()
	}
	return e.report()
}

// evacuated reports whether the zone is evacuated.
func (e *zoneEvacuation) evacuated(zone string) bool {
	return e != nil && e.view.Load().Evacuated(zone)
}

// active reports whether any zone is evacuated.
func (e *zoneEvacuation) active() bool {
	return e != nil && e.view.Load().Count() > 0
}

// ready reports whether the evacuated zones are known. A host that has not learned of them
// within keyLimit of its start has no contact with the store and with other hosts; it
// serves as before the evacuation.
func (e *zoneEvacuation) ready() bool {
	return e == nil || e.view.Load().Known() || boottime.Now().Sub(e.startedAt) >= e.keyLimit
}

// checkHost returns an error if an upstream in the zone must not get the call.
func (e *zoneEvacuation) checkHost(zone string, c *Call) *errkind.Error {
	if !e.evacuated(zone) || e.view.Load().MayServe(boottime.Now(), zone, c.Keyed, e.keyLimit) {
		return nil
	}
	return errkind.New(errkind.Draining, "zone %s is evacuated", zone)
}

// checkGate returns an error if the local upstream must not get the call.
func (e *zoneEvacuation) checkGate(c *Call) *errkind.Error {
	if !e.ready() {
		return errkind.New(errkind.NotReady, "the router has not read yet which zones are evacuated")
	}
	return e.checkHost(e.zone(), c)
}

// countRefusal counts a call that was refused because the zone of this host is evacuated.
func (e *zoneEvacuation) countRefusal() {
	e.scope.Counter("evacuation_refusals").Inc(1)
}

// zone returns the zone of this host, or "" if zones cannot be evacuated.
func (e *zoneEvacuation) zone() string {
	if e == nil {
		return ""
	}
	return e.ownZone
}

// ownEvacuated reports whether the zone of this host is evacuated.
func (e *zoneEvacuation) ownEvacuated() bool {
	return e.evacuated(e.zone())
}

// reportHeld logs once for each evacuation that the upstream still has keys after the
// time for which they are served.
func (e *zoneEvacuation) reportHeld(service string, ranges int) {
	keyed := &Call{Keyed: true}
	if ranges == 0 || e.checkHost(e.zone(), keyed) == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.heldReported {
		e.heldReported = true
		e.log.Log(eventEvacuationKeysHeld, event.F("service", service), event.F("ranges", ranges))
	}
}
