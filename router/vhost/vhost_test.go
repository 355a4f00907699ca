package vhost

import (
	"math"
	"testing"
)

func table(t *testing.T) *Table {
	t.Helper()
	tb, err := NewTable(Config{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Routes: []Route{
			{Name: "root", Host: "x.example", Prefix: "/", Clusters: []Cluster{{Service: "a", Weight: 1}}},
			{Name: "deep", Host: "x.example", Prefix: "/p/q/", Clusters: []Cluster{{Service: "b", Weight: 1}}},
			{Name: "mid", Host: "x.example", Prefix: "/p/", Clusters: []Cluster{{Service: "a", Weight: 9}, {Service: "c", Weight: 1}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

// Guards against requests that are sent to a service of another route.
func TestRouteHasLongestPrefix(t *testing.T) {
	tb := table(t)
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/", "root"},
		{"X.EXAMPLE:80", "/p/q/r", "deep"},
		{"x.example", "/p/qq", "mid"},
		{"x.example", "/p", "root"},
		{"y.example", "/p/", ""},
	} {
		got := ""
		if r := tb.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a distribution of requests that does not match the weights.
func TestPickServiceUsesWeights(t *testing.T) {
	r := table(t).Route("x.example", "/p/")
	n := 0
	const draws = 20_000
	for range draws {
		if r.PickService() == "c" {
			n++
		}
	}
	if share := float64(n) / draws; share < 0.08 || share > 0.12 {
		t.Errorf("share %.3f, want 0.1", share)
	}
}

// Guards against an invalid configuration that replaces the current one.
func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	valid := func(change func(*Route)) []Route {
		r := Route{Name: "r", Host: "a", Prefix: "/", Clusters: []Cluster{{Service: "s", Weight: 1}, {Service: "s", Weight: 0}}}
		change(&r)
		return []Route{r}
	}
	for name, routes := range map[string][]Route{
		"no service":          {{Name: "r"}},
		"unknown service":     {{Name: "r", Clusters: []Cluster{{Service: "x", Weight: 1}}}},
		"weight below 0":      valid(func(r *Route) { r.Clusters[0].Weight = -1 }),
		"no weight":           valid(func(r *Route) { r.Clusters[0].Weight = 0 }),
		"timeout below 0":     valid(func(r *Route) { r.Timeout = -1 }),
		"latency below 0":     valid(func(r *Route) { r.TargetLatency = -1 }),
		"attempts below 0":    valid(func(r *Route) { r.MaxAttempts = -1 }),
		"same host and place": append(valid(func(*Route) {}), valid(func(r *Route) { r.Host = "A" })...),
	} {
		if _, err := NewTable(Config{Services: []Service{{Name: "s"}}, Routes: routes}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := NewTable(Config{Services: []Service{{Name: "s"}}, Routes: append(valid(func(*Route) {}), valid(func(r *Route) { r.Prefix = "/b/" })...)}); err != nil {
		t.Errorf("a valid configuration: %v", err)
	}
}

// Guards against a request that goes to a service without weight because of rounding.
func TestServiceWithoutWeightGetsNoRequests(t *testing.T) {
	r := &Route{Clusters: []Cluster{{Service: "off"}, {Service: "a", Weight: 0.1}, {Service: "b", Weight: 0.7}, {Service: "off"}}}
	for _, x := range []float64{0, 0.05, 0.1, math.Nextafter(0.8, 0), 0.8, 1} {
		if got := r.serviceAt(x); got == "off" {
			t.Errorf("at %v: service without weight", x)
		}
	}
}

// Guards against requests that miss their route because of the form of a host name or of a
// path.
func TestRouteForms(t *testing.T) {
	to := []Cluster{{Service: "s", Weight: 1}}
	tb, err := NewTable(Config{Services: []Service{{Name: "s"}}, Routes: []Route{
		{Name: "ab", Host: "X.Example", Prefix: "/ab/", Clusters: to},
		{Name: "ab-cd", Host: "x.example", Prefix: "/ab/cd/", Clusters: to},
		{Name: "upper", Host: "x.example", Prefix: "/AB/", Clusters: to},
		{Name: "port", Host: "x.example:81", Prefix: "/ab/", Clusters: to},
		{Name: "dot", Host: "y.example.", Prefix: "/ab/", Clusters: to},
		{Name: "plain", Host: "y.example", Prefix: "/ab/", Clusters: to},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/ab/", "ab"},
		{"x.EXAMPLE", "/ab/c", "ab"},
		{"x.example", "/ab/cd", "ab"},
		{"x.example", "/ab/cd/", "ab-cd"},
		{"x.example", "/ab//cd/", "ab"},
		{"x.example", "/AB/cd/", "upper"},
		{"x.example", "/ab", ""},
		{"x.example", "//ab/", ""},
		{"x.example:80", "/ab/cd/e", "ab-cd"},
		{"x.example:81", "/ab/cd/e", "port"},
		{"y.example.", "/ab/", "dot"},
		{"y.example", "/ab/", "plain"},
	} {
		got := ""
		if r := tb.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}
