package residency

import (
	"slices"
	"testing"

	"burdockglade.dev/router/vhost"
)

func route(service string, weight float64, regions ...string) vhost.Route {
	return vhost.Route{Clusters: []vhost.Cluster{{Service: "other", Weight: 1}, {Service: service, Weight: weight}}, Regions: regions}
}

// Guards against requests that run in a region that their route does not allow, and
// against an unreadable list that leaves its route unrestricted.
func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		route  vhost.Route
		region string
		want   bool
	}{
		{route("s", 1), "a", true},
		{route("s", 1), "", true},
		{route("s", 1, "a", "b"), "b", true},
		{route("s", 1, "a", "b"), "c", false},
		{route("s", 1, "a"), "A", false},
		{route("s", 1, "a"), "", false},
		{vhost.Route{RegionsUnreadable: true}, "a", false},
		{vhost.Route{RegionsUnreadable: true, Regions: []string{"a"}}, "a", false},
	} {
		if got := Allowed(&c.route, c.region); got != c.want {
			t.Errorf("%v (unreadable %v), region %q: %v", c.route.Regions, c.route.RegionsUnreadable, c.region, got)
		}
	}
}

// Guards against keys at hosts where a route's requests must not run although another host
// could hold them, against keys without a holder when no host is allowed, and against a
// configuration in force that the computation changes.
func TestKeyHosts(t *testing.T) {
	unreadable := route("s", 1)
	unreadable.RegionsUnreadable = true
	hosts := []string{"a1", "a2", "b1", "c1"}
	for name, c := range map[string]struct {
		routes   []vhost.Route
		want     []string
		confined bool
	}{
		"no restriction":       {[]vhost.Route{route("s", 1)}, hosts, true},
		"one restricted route": {[]vhost.Route{route("s", 1), route("s", 1, "a")}, []string{"a1", "a2"}, true},
		"intersection":         {[]vhost.Route{route("s", 1, "a", "b"), route("s", 1, "c", "b")}, []string{"b1"}, true},
		"empty intersection":   {[]vhost.Route{route("s", 1, "a"), route("s", 1, "b")}, hosts, false},
		"no host in region":    {[]vhost.Route{route("s", 1, "d")}, hosts, false},
		"other service":        {[]vhost.Route{route("t", 1, "a")}, hosts, true},
		"route without weight": {[]vhost.Route{route("s", 0, "a")}, hosts, true},
		"unreadable regions":   {[]vhost.Route{unreadable, route("s", 1, "b")}, []string{"b1"}, true},
	} {
		before := slices.Clone(c.routes[0].Regions)
		got, confined := KeyHosts(KeyRegions(c.routes, "s"), hosts, func(h string) string { return h[:1] })
		if !slices.Equal(got, c.want) || confined != c.confined {
			t.Errorf("%s: hosts %v, confined %v; want %v, %v", name, got, confined, c.want, c.confined)
		}
		if !slices.Equal(before, c.routes[0].Regions) {
			t.Errorf("%s: the regions of a route became %v", name, c.routes[0].Regions)
		}
	}
}
