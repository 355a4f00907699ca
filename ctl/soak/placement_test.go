package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/rowstore"
)

const (
	// evacuationLimit is the platform's limit for the time from the confirmation of the row
	// that evacuates a zone until no request reaches an upstream of the zone.
	evacuationLimit = 5 * time.Second
	// restartFault is the kind of a fault in which a process is ended and started again. A
	// restarted router reads the evacuated zones before it serves, so that a restart excuses
	// no request in an evacuated zone.
	restartFault = "restart"
	// homeRegion is the only region in which requests of restricted routes may run.
	homeRegion = "r1"
)

// restrictedPrefixes are the prefixes of the routes whose requests may only run in homeRegion.
var restrictedPrefixes = []string{"/home", "/vault"}

// place is where a host is.
type place struct{ zone, region string }

// isRestricted reports whether the route of the path is restricted.
func isRestricted(path string) bool {
	return slices.ContainsFunc(restrictedPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// placeOf returns the place of the i-th host. With two regions, the third zone is in the
// second one.
func (o deploymentOptions) placeOf(i int) place {
	p := place{zone: fmt.Sprintf("z%d", i%3), region: homeRegion}
	if o.twoRegions && i%3 == 2 {
		p.region = "r2"
	}
	return p
}

// evacuation is a time in which the row of an evacuated zone exists: from its confirmation
// until its removal begins.
type evacuation struct {
	zone string
	// to is zero while the row exists.
	from, to time.Time
}

// evacuations records the evacuations of zones.
type evacuations struct {
	mu  sync.Mutex
	all []evacuation
}

// begin records that the row of the zone has been written, unless it exists.
func (e *evacuations) begin(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.ContainsFunc(e.all, func(x evacuation) bool { return x.zone == zone && x.to.IsZero() }) {
		e.all = append(e.all, evacuation{zone: zone, from: time.Now()})
	}
}

// end records that the row of the zone does not exist any more since the given time.
func (e *evacuations) end(zone string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.all {
		if e.all[i].zone == zone && e.all[i].to.IsZero() {
			e.all[i].to = at
		}
	}
}

// recorded returns the evacuations. Those that have not ended end now.
func (e *evacuations) recorded() []evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.Clone(e.all)
	for i := range all {
		if all[i].to.IsZero() {
			all[i].to = time.Now()
		}
	}
	return all
}

// restoreEvacuations records which of the evacuations the store has lost when it was put back
// to a copy at the given time. It returns the deletions of the rows in the copy that the
// operator has removed since.
func (d *deployment) restoreEvacuations(at time.Time, rows []rowstore.Row) (deletes []rowstore.Key) {
	restored, _, err := d.store.List(d.t.Context(), "op", "")
	if err != nil {
		d.t.Error(err)
	}
	has := func(rows []rowstore.Row, key rowstore.Key) bool {
		return slices.ContainsFunc(rows, func(r rowstore.Row) bool { return r.Key == key })
	}
	for _, zone := range d.zones() {
		key := standin.EvacuationKey(zone)
		if !has(restored, key) {
			d.evacuations.end(zone, at)
		} else if !has(rows, key) {
			deletes = append(deletes, key)
		}
	}
	return deletes
}

// rewriteEvacuations records that the operator has written the rows again.
func (d *deployment) rewriteEvacuations(rows []rowstore.Row) {
	for _, zone := range d.zones() {
		if slices.ContainsFunc(rows, func(r rowstore.Row) bool { return r.Key == standin.EvacuationKey(zone) }) {
			d.evacuations.begin(zone)
		}
	}
}

// zones returns the names of the zones.
func (d *deployment) zones() []string {
	var zones []string
	for i := range min(3, len(d.hosts)) {
		zones = append(zones, d.opts.placeOf(i).zone)
	}
	return zones
}

// startEvacuations evacuates random zones, also two at once, and takes them back, until the
// returned function is called. No zone is evacuated any more when it returns. The draws are
// apart from those of the faults.
func (d *deployment) startEvacuations(seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// Two operators take turns over the same zones. The second one begins later.
	for operator := range 2 {
		rng := rand.New(rand.NewPCG(seed, uint64(4+operator)))
		zones := d.zones()[operator:]
		wg.Go(func() {
			for first := true; ; first = false {
				zone := zones[rng.IntN(len(zones))]
				pause, length := between(rng, 0, 1500*time.Millisecond), between(rng, time.Second, 5*time.Second)
				if rng.IntN(4) != 0 {
					length += evacuationLimit
				}
				if first && operator == 1 {
					pause += evacuationLimit / 2
				}
				if !sleepUnless(stop, pause) {
					return
				}
				d.changeEvacuation(zone, true)
				goOn := sleepUnless(stop, length)
				d.changeEvacuation(zone, false)
				if !goOn {
					return
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// sleepUnless waits for the given time. It returns false if stop is closed earlier.
func sleepUnless(stop chan struct{}, length time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(length):
		return true
	}
}

// changeEvacuation writes or removes the row of the zone.
func (d *deployment) changeEvacuation(zone string, evacuate bool) {
	d.operator.Lock()
	defer d.operator.Unlock()
	if evacuate {
		if err := standin.Evacuate(d.t.Context(), d.store, zone); err != nil {
			d.t.Error(err)
		}
		d.evacuations.begin(zone)
		return
	}
	d.evacuations.end(zone, time.Now())
	if err := standin.TakeBack(d.t.Context(), d.store, zone); err != nil {
		d.t.Error(err)
	}
}

// checkPlacement returns an error for each request that reached an upstream where it must not
// run: in an evacuated zone, or in a region that its route does not allow.
func (d *deployment) checkPlacement() []error {
	places, callers := map[string]place{}, map[string]string{}
	for i, h := range d.hosts {
		places[h.name], callers[h.caller] = d.opts.placeOf(i), h.name
	}
	faultFree := func(host string, at time.Time) bool { return d.configs.faultFree(host, at, restartFault) }
	arrivals, results := d.ledger.Arrivals(), d.callers.results()
	evacuations := d.evacuations.recorded()
	var beyond time.Duration
	for _, e := range evacuations {
		beyond += max(0, e.to.Sub(e.from)-evacuationLimit)
	}
	d.t.Logf("%d evacuations, %v beyond the limit of each", len(evacuations), beyond)
	return append(checkEvacuations(arrivals, results, evacuations, places, callers, faultFree), checkRegions(arrivals, results, places)...)
}

// checkEvacuations checks that no request reached an upstream of an evacuated zone later than
// evacuationLimit after the row was written, unless both the host of the upstream and the one
// that got the request may have had no contact with the store.
func checkEvacuations(arrivals []standin.Arrival, results []result, evacuations []evacuation, places map[string]place, callers map[string]string, faultFree func(host string, at time.Time) bool) []error {
	byID := map[string]result{}
	for _, r := range results {
		byID[r.id] = r
	}
	var violations []error
	for _, a := range arrivals {
		host := hostOf(a.Instance)
		for _, e := range evacuations {
			limit := e.from.Add(evacuationLimit)
			if e.zone != places[host].zone || !a.At.After(limit) || !a.At.Before(e.to) {
				continue
			}
			r := byID[a.Request]
			sender := callers[r.host]
			// A request that came before the limit may have left its first host in time.
			senderKnew := r.sent.After(limit) && faultFree(sender, r.sent) && faultFree(sender, a.At)
			if senderKnew || faultFree(host, a.At) {
				violations = append(violations, fmt.Errorf("%s got %s from %s %v after %s was evacuated", a.Instance, a.Request, sender, a.At.Sub(e.from), e.zone))
			}
		}
	}
	return violations
}

// checkRegions checks that no request of a restricted route reached an upstream outside
// homeRegion.
func checkRegions(arrivals []standin.Arrival, results []result, places map[string]place) []error {
	restricted := map[string]bool{}
	for _, r := range results {
		restricted[r.id] = r.restricted
	}
	var violations []error
	for _, a := range arrivals {
		if region := places[hostOf(a.Instance)].region; restricted[a.Request] && region != homeRegion {
			violations = append(violations, fmt.Errorf("%s in %s got %s of a route that allows only %s", a.Instance, region, a.Request, homeRegion))
		}
	}
	return violations
}

// hostOf returns the host of an instance.
func hostOf(instance string) string {
	host, _, _ := strings.Cut(strings.TrimPrefix(instance, "i-"), "-")
	return host
}

// Guards against checks that miss requests in evacuated zones or in other regions, and against
// ones that report what is allowed.
func TestCheckPlacementFindsViolations(t *testing.T) {
	at := time.Now()
	places := map[string]place{"a": {"z1", "r1"}, "b": {"z2", "r2"}}
	evacuations := []evacuation{{zone: "z2", from: at, to: at.Add(time.Minute)}}
	for name, c := range map[string]struct {
		sent, arrived time.Duration
		cutOff        []string
		restricted    bool
		want          bool
	}{
		"late":                   {sent: 5100 * time.Millisecond, arrived: 5100 * time.Millisecond, want: true},
		"in time":                {sent: 5 * time.Second, arrived: 5 * time.Second},
		"taken back":             {sent: time.Minute, arrived: time.Minute},
		"gate cut off":           {sent: 5100 * time.Millisecond, arrived: 5100 * time.Millisecond, cutOff: []string{"b"}, want: true},
		"sender cut off":         {sent: 5100 * time.Millisecond, arrived: 5100 * time.Millisecond, cutOff: []string{"a"}, want: true},
		"both cut off":           {sent: 5100 * time.Millisecond, arrived: 5100 * time.Millisecond, cutOff: []string{"a", "b"}},
		"sent before, gate late": {sent: 4 * time.Second, arrived: 6 * time.Second, cutOff: []string{"b"}},
		"other region":           {restricted: true, want: true},
	} {
		arrivals := []standin.Arrival{{Request: "q", Instance: "i-b-1", At: at.Add(c.arrived)}}
		results := []result{{id: "q", host: "address", sent: at.Add(c.sent), restricted: c.restricted}}
		faultFree := func(host string, _ time.Time) bool { return !slices.Contains(c.cutOff, host) }
		found := append(checkEvacuations(arrivals, results, evacuations, places, map[string]string{"address": "a"}, faultFree), checkRegions(arrivals, results, places)...)
		if err := errors.Join(found...); (err != nil) != c.want {
			t.Errorf("%s: %v, want a finding: %v", name, err, c.want)
		}
	}
}
