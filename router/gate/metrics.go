package gate

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// DefaultMaxTenants is the default of Options.MaxTenants.
const DefaultMaxTenants = 64

// Tags of requests without a tenant and of all tenants beyond the limit.
const (
	noTenant     = "none"
	otherTenants = "other"
)

// buckets range from 0.25 ms to about 65 s.
var buckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 19)

// metrics holds the histograms of each service and tenant.
type metrics struct {
	scope      tally.Scope
	maxTenants int

	mu      sync.Mutex
	tenants map[string]struct{}
	byTag   map[metricKey]*histograms
}

type metricKey struct {
	service, tenant string
}

type histograms struct {
	queueWait, upstreamTime tally.Histogram
}

func newMetrics(scope tally.Scope, maxTenants int) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	if maxTenants <= 0 {
		maxTenants = DefaultMaxTenants
	}
	return &metrics{
		scope: scope, maxTenants: maxTenants,
		tenants: map[string]struct{}{}, byTag: map[metricKey]*histograms{},
	}
}

// histogramsFor returns the histograms of the service and tenant, created on first
// use.
func (m *metrics) histogramsFor(service, tenant string) *histograms {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := metricKey{service, m.tenantTag(tenant)}
	h := m.byTag[key]
	if h == nil {
		scope := m.scope.Tagged(map[string]string{"service": service, "tenant": key.tenant})
		h = &histograms{
			queueWait:    scope.Histogram("queue_wait_seconds", buckets),
			upstreamTime: scope.Histogram("upstream_seconds", buckets),
		}
		m.byTag[key] = h
	}
	return h
}

// tenantTag returns the tag of a tenant. Tenant names come from callers, so the
// number of tags is limited. The caller holds the lock.
func (m *metrics) tenantTag(tenant string) string {
	if tenant == "" {
		return noTenant
	}
	if _, ok := m.tenants[tenant]; ok {
		return tenant
	}
	if len(m.tenants) >= m.maxTenants {
		return otherTenants
	}
	m.tenants[tenant] = struct{}{}
	return tenant
}
