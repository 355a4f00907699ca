package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

const (
	// configLimit is the platform's limit for the time from the confirmation of a
	// configuration until it is in force.
	configLimit = 2 * time.Second
	// faultFreeTime is the time without faults of a host or of the store after which
	// the time limits apply to the host.
	faultFreeTime = 3 * time.Second
	// probeInterval is the time between two probes of one host's configuration.
	probeInterval = 150 * time.Millisecond
)

// everyHost is the host of a fault period that affects all hosts.
const everyHost = ""

// faultPeriod is a period in which a host or, with everyHost, the store had a fault.
type faultPeriod struct {
	host string
	// kind is a short name of the fault for reports.
	kind     string
	from, to time.Time
}

// routeProbe is a request for a route that exists in one version only.
type routeProbe struct {
	host    string
	starts  int // number of starts of the host's process
	version uint64
	sent    time.Time
	// noRoute is true if the host responded that it has no such route.
	noRoute bool
}

// configs records the published configurations, the fault periods and the probes.
type configs struct {
	mu           sync.Mutex
	confirmed    map[uint64]time.Time
	newest       uint64
	faultPeriods []faultPeriod
	probes       []routeProbe
}

// publish publishes the next configuration. Each version has a unique route, so that
// a request shows whether the version is in force.
func (d *deployment) publish() {
	d.operator.Lock()
	defer d.operator.Unlock()
	d.configs.mu.Lock()
	defer d.configs.mu.Unlock()
	version := d.configs.newest + 1
	route := func(name, service string, repeatable bool) vhost.Route {
		return vhost.Route{Name: name, Host: "soak", Prefix: "/" + name + "/", Repeatable: repeatable, MaxAttempts: 2,
			Timeout: 3 * time.Second, TargetLatency: 500 * time.Millisecond, Clusters: []vhost.Cluster{{Service: service, Weight: 1}}}
	}
	restricted := func(r vhost.Route) vhost.Route {
		r.Regions = []string{homeRegion}
		return r
	}
	c := vhost.Config{
		Version:  version,
		Services: []vhost.Service{{Name: plainService, HealthPath: "/healthz"}, {Name: keyedService, HealthPath: "/healthz", Keyed: true, KeysByCommand: d.opts.keysByCommand}},
		Routes: []vhost.Route{
			route("look", plainService, true), route("pay", plainService, false),
			route("keys", keyedService, true), route("order", keyedService, false),
			route(fmt.Sprintf("version-%d", version), plainService, true), restricted(route("home", plainService, true)),
		},
	}
	if d.opts.coldStarts {
		for i := range c.Services {
			c.Services[i].ColdStart, c.Services[i].ColdRate = coldStartTime, coldRate
		}
	}
	if d.opts.downloads {
		files := route("files", plainService, true)
		files.LargeResponses = true
		c.Routes = append(c.Routes, files, route("trip", plainService, false))
	}
	if d.opts.restrictKeys {
		c.Routes = append(c.Routes, restricted(route("vault", keyedService, true)))
	}
	must(d.t, standin.Publish(context.Background(), d.store, c))
	d.configs.newest = version
	d.configs.confirmed[version] = time.Now()
}

func (c *configs) newestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// duringFault runs a fault of a host and records its period.
func (c *configs) duringFault(host, kind string, fault func()) {
	c.mu.Lock()
	i := len(c.faultPeriods)
	// The end is set when the fault has ended.
	c.faultPeriods = append(c.faultPeriods, faultPeriod{host: host, kind: kind, from: time.Now(), to: time.Now().Add(time.Hour)})
	c.mu.Unlock()
	fault()
	c.mu.Lock()
	c.faultPeriods[i].to = time.Now()
	c.mu.Unlock()
}

// startProbes probes each host for the newest configuration until the returned
// function is called.
func (d *deployment) startProbes() func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range d.hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(probeInterval):
				}
				d.probeRoute(h)
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

func (d *deployment) probeRoute(h *host) {
	l := routeProbe{host: h.name, starts: h.processStarts(), version: d.configs.newestVersion(), sent: time.Now()}
	r := d.callers.send(h.caller, fmt.Sprintf("/version-%d/", l.version), 0)
	if r.status == 0 || r.status == 503 || l.starts != h.processStarts() {
		return // inconclusive: no response, a refusal, or the process was restarted
	}
	l.noRoute = r.status == 404
	if l.noRoute && d.configs.newestVersion() != l.version {
		return // a later version, which lacks the route, may have been in force
	}
	d.configs.mu.Lock()
	defer d.configs.mu.Unlock()
	d.configs.probes = append(d.configs.probes, l)
}

// check returns an error for each configuration that came into force late or was
// reverted.
func (c *configs) check() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	type processStart struct {
		host   string
		starts int
	}
	var violations []error
	newestServed := map[processStart]uint64{}
	for _, l := range c.probes {
		p := processStart{l.host, l.starts}
		switch {
		case !l.noRoute:
			newestServed[p] = max(newestServed[p], l.version)
		case newestServed[p] >= l.version:
			violations = append(violations, fmt.Errorf("%s has no route of version %d after it served version %d", l.host, l.version, newestServed[p]))
		case l.sent.Sub(c.confirmed[l.version]) > configLimit && c.faultFree(l.host, l.sent):
			violations = append(violations, fmt.Errorf("%s has no route of version %d %v after its confirmation", l.host, l.version, l.sent.Sub(c.confirmed[l.version])))
		}
	}
	return violations
}

// faultFree reports whether neither a host nor the store had a fault in the
// faultFreeTime before the given time. Faults of the ignored kinds do not count.
func (c *configs) faultFree(host string, at time.Time, ignored ...string) bool {
	for _, d := range c.faultPeriods {
		if (d.host == host || d.host == everyHost) && !slices.Contains(ignored, d.kind) && d.from.Before(at) && d.to.Add(faultFreeTime).After(at) {
			return false
		}
	}
	return true
}

// Guards against a check that accepts configurations that are late or reverted, or
// that reports them for hosts with recent faults.
func TestCheckFindsLateConfigurations(t *testing.T) {
	at := time.Now()
	late := routeProbe{host: "h", version: 2, sent: at.Add(configLimit + 1), noRoute: true}
	for name, c := range map[string]struct {
		probes       []routeProbe
		faultPeriods []faultPeriod
		want         bool
	}{
		"late":                 {probes: []routeProbe{late}, want: true},
		"in time":              {probes: []routeProbe{{host: "h", version: 2, sent: at.Add(configLimit), noRoute: true}}},
		"was reverted":         {probes: []routeProbe{{host: "h", version: 2, sent: at}, {host: "h", version: 2, sent: at, noRoute: true}}, want: true},
		"other process":        {probes: []routeProbe{{host: "h", version: 2, sent: at}, {host: "h", starts: 1, version: 2, sent: at, noRoute: true}}},
		"during a fault":       {probes: []routeProbe{late}, faultPeriods: []faultPeriod{{host: "h", from: at, to: at.Add(time.Hour)}}},
		"just after a fault":   {probes: []routeProbe{late}, faultPeriods: []faultPeriod{{host: everyHost, from: at, to: at.Add(time.Second)}}},
		"long after a fault":   {probes: []routeProbe{late}, faultPeriods: []faultPeriod{{host: "h", from: at.Add(-time.Hour), to: at.Add(-faultFreeTime)}}, want: true},
		"fault of another one": {probes: []routeProbe{late}, faultPeriods: []faultPeriod{{host: "i", from: at, to: at.Add(time.Hour)}}, want: true},
	} {
		checked := configs{probes: c.probes, faultPeriods: c.faultPeriods, confirmed: map[uint64]time.Time{2: at}}
		if got := checked.check(); (len(got) > 0) != c.want {
			t.Errorf("%s: %v, want a finding: %v", name, got, c.want)
		}
	}
}
