package forward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/metrics"
)

// stats counts what callers got.
type stats struct {
	scope   tally.Scope
	tenants *metrics.TenantLabels
	// region and regionOf tell which hops leave the region.
	region   string
	regionOf func(host string) string
	// hops has the counters of hops by hopKey. Finding a tagged scope takes
	// longer than all the rest of the count.
	hops sync.Map
}

// hopKey names a counter of hops.
type hopKey struct {
	service, region, direction string
}

func newStats(o Options) *stats {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.RegionOf == nil {
		o.RegionOf = func(string) string { return "" }
	}
	return &stats{
		scope: o.Scope.SubScope("caller"), tenants: metrics.NewTenantLabels(metrics.MaxTenants),
		region: o.Region, regionOf: o.RegionOf,
	}
}

func (s *stats) tagged(r *request) tally.Scope {
	if r == nil {
		return s.scope.Tagged(map[string]string{"service": "none", "tenant": "none"})
	}
	return s.scope.Tagged(map[string]string{"service": r.service.Name, "tenant": s.tenants.Label(r.tenant)})
}

func (s *stats) request(r *request, start time.Time) {
	s.tagged(r).Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(time.Since(start))
}

func (s *stats) refusal(r *request, kind errkind.Kind) {
	s.tagged(r).Tagged(map[string]string{"kind": string(kind)}).Counter("refusals").Inc(1)
}

func (s *stats) retry(r *request, err error) {
	s.tagged(r).Tagged(map[string]string{"kind": string(errkind.Of(err))}).Counter("retries").Inc(1)
}

// Directions of the bytes of a hop, seen from the entry.
const (
	sentBytes     = "sent"
	receivedBytes = "received"
)

// hopBytes returns the counter of the body bytes between this host and another.
// Headers are not counted.
func (s *stats) hopBytes(service, host, direction string) tally.Counter {
	key := hopKey{service, s.regionOf(host), direction}
	if c, ok := s.hops.Load(key); ok {
		return c.(tally.Counter)
	}
	region, link := key.region, "cross_region"
	switch region {
	case "":
		region, link = "unknown", "unknown"
	case s.region:
		link = "same_region"
	}
	tags := map[string]string{"service": service, "region": region, "link": link, "direction": direction}
	c, _ := s.hops.LoadOrStore(key, s.scope.Tagged(tags).Counter("hop_bytes"))
	return c.(tally.Counter)
}

// countedBody counts the bytes that are read from a body.
type countedBody struct {
	io.ReadCloser
	bytes tally.Counter
}

// counted wraps a body. An absent body stays as it is, because net/http sends
// it differently.
func counted(body io.ReadCloser, bytes tally.Counter) io.ReadCloser {
	if body == http.NoBody {
		return body
	}
	return &countedBody{ReadCloser: body, bytes: bytes}
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Inc(int64(n))
	return n, err
}
