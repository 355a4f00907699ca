package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

const (
	// configLimit is the platform's bound on the time from the confirmation of a
	// configuration until it is in force.
	configLimit = 2 * time.Second
	// calmTime is the time for which a host must have met no fault of its own or of the
	// store before bounds hold for it.
	calmTime = 3 * time.Second
	// lookPause is the time between two looks at the configuration of one host.
	lookPause = 150 * time.Millisecond
)

// everyHost names all hosts in a disturbance.
const everyHost = ""

// disturbance is a time in which a host, or the store for everyHost, met a fault.
type disturbance struct {
	host     string
	from, to time.Time
}

// look is a request for the route that only one version has.
type look struct {
	host    string
	run     int // of the host's process
	version uint64
	sent    time.Time
	// denied tells that the host knows no such route.
	denied bool
}

// configs records what was published and what hosts had in force.
type configs struct {
	mu        sync.Mutex
	confirmed map[uint64]time.Time
	newest    uint64
	disturbed []disturbance
	looks     []look
}

// publish writes the next configuration. Each has a route of its own, so that
// callers can tell which one is in force.
func (w *world) publish() {
	w.configs.mu.Lock()
	defer w.configs.mu.Unlock()
	version := w.configs.newest + 1
	route := func(name, service string, repeatable bool) vhost.Route {
		return vhost.Route{Name: name, Host: "soak", Prefix: "/" + name + "/", Repeatable: repeatable, MaxAttempts: 2,
			Timeout: 3 * time.Second, TargetLatency: 500 * time.Millisecond, Clusters: []vhost.Cluster{{Service: service, Weight: 1}}}
	}
	must(w.t, standin.Publish(context.Background(), w.store, vhost.Config{
		Version:  version,
		Services: []vhost.Service{{Name: plainService, HealthPath: "/healthz"}, {Name: keyedService, HealthPath: "/healthz", Keyed: true, KeysByCommand: w.ordered}},
		Routes: []vhost.Route{
			route("look", plainService, true), route("pay", plainService, false),
			route("keys", keyedService, true), route("order", keyedService, false),
			route(fmt.Sprintf("version-%d", version), plainService, true),
		},
	}))
	w.configs.newest = version
	w.configs.confirmed[version] = time.Now()
}

func (c *configs) newestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// disturb plays a fault that a host meets.
func (c *configs) disturb(host string, fault func()) {
	c.mu.Lock()
	i := len(c.disturbed)
	// Without an end until the fault has passed.
	c.disturbed = append(c.disturbed, disturbance{host: host, from: time.Now(), to: time.Now().Add(time.Hour)})
	c.mu.Unlock()
	fault()
	c.mu.Lock()
	c.disturbed[i].to = time.Now()
	c.mu.Unlock()
}

// startLooks asks each host for the newest configuration until the returned function
// is called.
func (w *world) startLooks() func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(lookPause):
				}
				w.look(h)
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

func (w *world) look(h *host) {
	l := look{host: h.name, run: h.processRun(), version: w.configs.newestVersion(), sent: time.Now()}
	r := w.callers.send(h.caller, fmt.Sprintf("/version-%d/", l.version), 0)
	if r.status == 0 || r.status == 503 || l.run != h.processRun() {
		return // it tells nothing of the configuration
	}
	l.denied = r.status == 404
	if l.denied && w.configs.newestVersion() != l.version {
		return // a later version may have been in force, which has no such route
	}
	w.configs.mu.Lock()
	defer w.configs.mu.Unlock()
	w.configs.looks = append(w.configs.looks, l)
}

// judge returns the configurations that were late or came back.
func (c *configs) judge() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	type process struct {
		host string
		run  int
	}
	var broken []error
	served := map[process]uint64{}
	for _, l := range c.looks {
		p := process{l.host, l.run}
		switch {
		case !l.denied:
			served[p] = max(served[p], l.version)
		case served[p] >= l.version:
			broken = append(broken, fmt.Errorf("%s denies version %d after it served version %d", l.host, l.version, served[p]))
		case l.sent.Sub(c.confirmed[l.version]) > configLimit && c.calm(l.host, l.sent):
			broken = append(broken, fmt.Errorf("%s denies version %d %v after its confirmation", l.host, l.version, l.sent.Sub(c.confirmed[l.version])))
		}
	}
	return broken
}

// calm reports whether a host had met no fault for calmTime.
func (c *configs) calm(host string, at time.Time) bool {
	for _, d := range c.disturbed {
		if (d.host == host || d.host == everyHost) && d.from.Before(at) && d.to.Add(calmTime).After(at) {
			return false
		}
	}
	return true
}

// Guards against a judge that takes late configurations, or those that come back, for
// right, or blames hosts for faults of their own.
func TestJudgeFindsLateConfigurations(t *testing.T) {
	at := time.Now()
	late := look{host: "h", version: 2, sent: at.Add(configLimit + 1), denied: true}
	for name, c := range map[string]struct {
		looks     []look
		disturbed []disturbance
		want      bool
	}{
		"late":                 {looks: []look{late}, want: true},
		"in time":              {looks: []look{{host: "h", version: 2, sent: at.Add(configLimit), denied: true}}},
		"came back":            {looks: []look{{host: "h", version: 2, sent: at}, {host: "h", version: 2, sent: at, denied: true}}, want: true},
		"other process":        {looks: []look{{host: "h", version: 2, sent: at}, {host: "h", run: 1, version: 2, sent: at, denied: true}}},
		"fault under way":      {looks: []look{late}, disturbed: []disturbance{{host: "h", from: at, to: at.Add(time.Hour)}}},
		"just after a fault":   {looks: []look{late}, disturbed: []disturbance{{host: everyHost, from: at, to: at.Add(time.Second)}}},
		"long after a fault":   {looks: []look{late}, disturbed: []disturbance{{host: "h", from: at.Add(-time.Hour), to: at.Add(-calmTime)}}, want: true},
		"fault of another one": {looks: []look{late}, disturbed: []disturbance{{host: "i", from: at, to: at.Add(time.Hour)}}, want: true},
	} {
		judged := configs{looks: c.looks, disturbed: c.disturbed, confirmed: map[uint64]time.Time{2: at}}
		if got := judged.judge(); (len(got) > 0) != c.want {
			t.Errorf("%s: %v, want a finding: %v", name, got, c.want)
		}
	}
}
