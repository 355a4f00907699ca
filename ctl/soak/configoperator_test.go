package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

// configServices are the services between which routes move.
var configServices = []string{"red", "green", "blue", "grey"}

// routeSlot is a host name and path prefix that has a route in some versions.
type routeSlot struct{ hostName, prefix string }

// path returns a path that is requested to see the slot's route. If it has none, the
// route of a shorter prefix applies.
func (s routeSlot) path() string { return s.prefix + "x" }

// routeSlots returns all slots: several on each host name, some below others.
func routeSlots() []routeSlot {
	var slots []routeSlot
	for _, hostName := range []string{"shop.example", "bank.example"} {
		for _, prefix := range []string{"/a/", "/a/b/", "/a/b/c/", "/d/", "/d/e/", "/f/", "/g/"} {
			slots = append(slots, routeSlot{hostName, prefix})
		}
	}
	return slots
}

// configOperator publishes versions of the configuration, each of which changes some
// slots.
type configOperator struct {
	t     *testing.T
	store *standin.Store
	rng   *rand.Rand
	slots []routeSlot

	mu           sync.Mutex
	routes       map[routeSlot]vhost.Route
	publications []publication
	// changed are the slots that the newest version has changed.
	changed []routeSlot
}

func newConfigOperator(t *testing.T, seed uint64) *configOperator {
	return &configOperator{t: t, rng: rand.New(rand.NewPCG(seed, 2)), slots: routeSlots(), routes: map[routeSlot]vhost.Route{}}
}

// publish publishes the next version.
func (o *configOperator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changed = nil
	for range 1 + o.rng.IntN(3) {
		s := o.slots[o.rng.IntN(len(o.slots))]
		o.changeRoute(s)
		o.changed = append(o.changed, s)
	}
	c := vhost.Config{Version: uint64(len(o.publications) + 1)}
	for _, name := range configServices {
		c.Services = append(c.Services, vhost.Service{Name: name, HealthPath: "/healthz"})
	}
	for _, s := range o.slots {
		if r, ok := o.routes[s]; ok {
			c.Routes = append(c.Routes, r)
		}
	}
	for i := range *moreRoutes {
		c.Routes = append(c.Routes, newRoute(routeSlot{"more.example", fmt.Sprintf("/%d/", i)}, configServices[0]))
	}
	table, err := vhost.NewTable(c)
	must(o.t, err)
	p := publication{table: table, sent: time.Now()}
	must(o.t, standin.Publish(context.Background(), o.store, c))
	p.confirmed = time.Now()
	o.publications = append(o.publications, p)
}

// changeRoute adds the slot's route, or drops it, moves it to another service, splits it
// between two, or changes its timeout.
func (o *configOperator) changeRoute(s routeSlot) {
	r, ok := o.routes[s]
	first := o.rng.IntN(len(configServices))
	second := (first + 1 + o.rng.IntN(len(configServices)-1)) % len(configServices)
	action := o.rng.IntN(8)
	switch {
	case !ok:
		r = newRoute(s, configServices[first])
	case action < 2:
		delete(o.routes, s)
		return
	case action < 5:
		if configServices[first] == r.Clusters[0].Service {
			first = second
		}
		r.Clusters = []vhost.Cluster{{Service: configServices[first], Weight: 1}}
	case action < 7:
		r.Clusters = []vhost.Cluster{{Service: configServices[first], Weight: 1}, {Service: configServices[second], Weight: 2}}
	default:
		r.Timeout = between(o.rng, time.Second, 3*time.Second)
	}
	o.routes[s] = r
}

// newRoute returns a route of the slot to the service.
func newRoute(s routeSlot, service string) vhost.Route {
	return vhost.Route{Name: s.hostName + s.prefix, Host: s.hostName, Prefix: s.prefix, Repeatable: true, MaxAttempts: 2,
		Timeout: 3 * time.Second, TargetLatency: 500 * time.Millisecond, Clusters: []vhost.Cluster{{Service: service, Weight: 1}}}
}

// published returns a copy of the publications.
func (o *configOperator) published() []publication {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.publications)
}

// changedSlots returns the slots that the newest version has changed.
func (o *configOperator) changedSlots() []routeSlot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}
