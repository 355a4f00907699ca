package forward

import (
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/metrics"
)

// stats counts what callers got.
type stats struct {
	scope   tally.Scope
	tenants *metrics.Tenants
}

func newStats(scope tally.Scope) *stats {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &stats{scope: scope.SubScope("caller"), tenants: metrics.NewTenants(metrics.MaxTenants)}
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
