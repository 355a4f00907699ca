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

// stats records the metrics of callers' requests.
type stats struct {
	scope   tally.Scope
	tenants *metrics.TenantLabels
	// region and regionOf determine which hops leave the region.
	region   string
	regionOf func(host string) string
	// hopCounters caches the counters by hopCounterKey: looking up a tagged scope
	// takes longer than the rest of the counting.
	hopCounters sync.Map
}

// hopCounterKey identifies a counter of hop bytes.
type hopCounterKey struct {
	service, region, direction string
}

func newStats(opts Options) *stats {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.RegionOf == nil {
		opts.RegionOf = func(string) string { return "" }
	}
	return &stats{
		scope: opts.Scope.SubScope("caller"), tenants: metrics.NewTenantLabels(metrics.MaxTenants),
		region: opts.Region, regionOf: opts.RegionOf,
	}
}

// taggedScope returns the scope of r's service and tenant. r is nil for a request
// that could not be parsed.
func (s *stats) taggedScope(r *request) tally.Scope {
	if r == nil {
		return s.scope.Tagged(map[string]string{"service": "none", "tenant": "none"})
	}
	return s.scope.Tagged(map[string]string{"service": r.service.Name, "tenant": s.tenants.Label(r.tenant)})
}

func (s *stats) recordRequest(r *request, start time.Time) {
	s.taggedScope(r).Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(time.Since(start))
}

func (s *stats) countRefusal(r *request, kind errkind.Kind) {
	s.taggedScope(r).Tagged(map[string]string{"kind": string(kind)}).Counter("refusals").Inc(1)
}

func (s *stats) countRetry(r *request, err error) {
	s.taggedScope(r).Tagged(map[string]string{"kind": string(errkind.Of(err))}).Counter("retries").Inc(1)
}

// Directions of hop bytes, as seen from the entry.
const (
	sentBytes     = "sent"
	receivedBytes = "received"
)

// hopBytes returns the counter of body bytes sent to or received from a host.
// Headers are not counted.
func (s *stats) hopBytes(service, host, direction string) tally.Counter {
	key := hopCounterKey{service, s.regionOf(host), direction}
	if c, ok := s.hopCounters.Load(key); ok {
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
	c, _ := s.hopCounters.LoadOrStore(key, s.scope.Tagged(tags).Counter("hop_bytes"))
	return c.(tally.Counter)
}

// countedBody counts the bytes read from a body.
type countedBody struct {
	io.ReadCloser
	bytes tally.Counter
}

// countBytes wraps body so that the bytes read from it are counted. http.NoBody is
// returned as it is, because net/http treats it specially.
func countBytes(body io.ReadCloser, bytes tally.Counter) io.ReadCloser {
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
