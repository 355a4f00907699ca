package forward

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/metrics"
)

// Guards against cross-region traffic, which is paid for, being counted as local,
// and against traffic of a host of unknown region being counted as either.
func TestHopBytesByLink(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	regions := map[string]string{"near": "r1", "far": "r2"}
	s := newStats(Options{Scope: scope, Region: "r1", RegionOf: func(host string) string { return regions[host] }})
	s.hopBytes("orders", "near", sentBytes).Inc(1)
	s.hopBytes("orders", "far", sentBytes).Inc(2)
	s.hopBytes("orders", "far", sentBytes).Inc(2)
	s.hopBytes("orders", "gone", receivedBytes).Inc(5)
	got := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		got[c.Tags()["link"]+" "+c.Tags()["region"]+" "+c.Tags()["direction"]] += c.Value()
	}
	want := map[string]int64{"same_region r1 sent": 1, "cross_region r2 sent": 4, "unknown unknown received": 5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkHopBytes measures the cost that byte counting adds to a hop.
func BenchmarkHopBytes(b *testing.B) {
	scope := metrics.New()
	defer func() { _ = scope.Close() }()
	s := newStats(Options{Scope: scope, Region: "r1", RegionOf: func(string) string { return "r2" }})
	b.ReportAllocs()
	for b.Loop() {
		s.hopBytes("orders", "far", sentBytes).Inc(1)
	}
}

// BenchmarkRequest measures the cost of looking up the metrics scope of a request.
func BenchmarkRequest(b *testing.B) {
	scope := metrics.New()
	defer func() { _ = scope.Close() }()
	s := newStats(Options{Scope: scope})
	r := &request{tenant: "t"}
	r.service.Name = "orders"
	b.ReportAllocs()
	for b.Loop() {
		s.taggedScope(r)
	}
}
