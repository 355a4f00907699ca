// Package vhost holds the configuration of routes and services, and looks up routes
// by host and path.
package vhost

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Cluster is a service with its weight in a route.
type Cluster struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route determines the services of requests for a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable is true if the requests of the route may run more than once.
	Repeatable bool
	// LargeResponses is true if the responses of the route are large, so that the link of
	// the host that sends them may be the bottleneck.
	LargeResponses bool
	// Timeout is the longest time until the final response.
	Timeout time.Duration
	// TargetLatency is the latency objective.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of upstreams to which one request is sent.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	Clusters []Cluster
	// Regions are the regions in which requests of the route may run; empty for
	// any region.
	Regions []string
	// RegionsUnreadable is true if the regions could not be decoded. The requests must
	// then run nowhere, because the operator meant to restrict them.
	RegionsUnreadable bool
	// Unreadable names the fields that could not be decoded and were left out. Apart from
	// the allowed regions they do not decide where requests go.
	Unreadable []string
}

// Service is a set of interchangeable upstreams, or, if Keyed, of upstreams among
// which the keys are divided.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts.
	MaxConnections int
	// Keyed is true if a request may run only on the upstream that holds its key.
	Keyed bool
	// KeysByCommand is true if the keys are granted to an upstream of a keyed service
	// by commands, which are calls to the upstream, and not in the responses to its
	// heartbeats.
	KeysByCommand bool
	// ColdStart is the time for which an upstream is cold after its start, and ColdRate
	// the number of requests per second that a cold one tolerates; 0: no bound.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits are the limits of requests and connections of callers. Zero means the router's
// default, and no limit for MaxBodyBytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table looks up routes and services of one configuration. It is immutable.
type Table struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	// restricted is true if any route has allowed regions.
	restricted bool
}

// NewTable validates the configuration and indexes it.
func NewTable(c Config) (*Table, error) {
	t := &Table{config: c, byHost: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range c.Services {
		s := &c.Services[i]
		t.services[s.Name] = s
	}
	routeNames := map[routeKey]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := strings.ToLower(r.Host)
		if other, exists := routeNames[routeKey{host, r.Prefix}]; exists {
			return nil, fmt.Errorf("route %q: route %q has the same host and prefix", r.Name, other)
		}
		routeNames[routeKey{host, r.Prefix}] = r.Name
		t.byHost[host] = append(t.byHost[host], r)
		t.restricted = t.restricted || r.RegionsUnreadable || len(r.Regions) > 0
	}
	return t, nil
}

// routeKey is the host and prefix that select a route.
type routeKey struct{ host, prefix string }

// checkRoute validates a single route.
func (t *Table) checkRoute(r *Route) error {
	if len(r.Clusters) == 0 {
		return errors.New("no service")
	}
	var sum float64
	for _, cl := range r.Clusters {
		if t.services[cl.Service] == nil {
			return fmt.Errorf("unknown service %q", cl.Service)
		}
		if cl.Weight < 0 {
			return fmt.Errorf("weight %v of service %q is negative", cl.Weight, cl.Service)
		}
		sum += cl.Weight
	}
	if sum <= 0 {
		return errors.New("no service has a weight above 0")
	}
	if r.Timeout < 0 || r.TargetLatency < 0 || r.MaxAttempts < 0 {
		return fmt.Errorf("timeout %v, target latency %v, %d attempts: want 0 or more", r.Timeout, r.TargetLatency, r.MaxAttempts)
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Limits returns the limits for callers.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services returns all services.
func (t *Table) Services() []Service {
	return t.config.Services
}

// Routes returns all routes.
func (t *Table) Routes() []Route {
	return t.config.Routes
}

// Restricted reports whether any route has allowed regions.
func (t *Table) Restricted() bool {
	return t.restricted
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes := t.byHost[host]
	if routes == nil {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.byHost[name]
		}
	}
	var best *Route
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PickService returns a random service, weighted by Cluster.Weight.
func (r *Route) PickService() string {
	if len(r.Clusters) == 1 {
		return r.Clusters[0].Service
	}
	var sum float64
	for _, c := range r.Clusters {
		sum += c.Weight
	}
	return r.serviceAt(rand.Float64() * sum)
}

// serviceAt returns the service at x on the line of the services' weights.
func (r *Route) serviceAt(x float64) string {
	service := ""
	for _, c := range r.Clusters {
		if c.Weight <= 0 {
			continue
		}
		if service = c.Service; x < c.Weight {
			break
		}
		x -= c.Weight
	}
	return service
}
