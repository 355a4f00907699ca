// Package metrics sets up the metric scopes and limits the number of label values.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// MaxTenants is the number of tenants with histograms of their own. The others share
// the label "other", so that callers cannot exhaust memory by sending many tenant
// names.
const MaxTenants = 64

// reportInterval is the time between reports of counters to the registry.
const reportInterval = time.Second

// LatencyBuckets are the buckets of latency histograms. They are fine-grained around
// 16 ms, the objective for the 99th percentile.
var LatencyBuckets = tally.DurationBuckets{
	250 * time.Microsecond, 500 * time.Microsecond,
	1 * time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond,
	12 * time.Millisecond, 16 * time.Millisecond, 24 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	1 * time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 60 * time.Second,
}

// Scope is a root scope with a handler that serves it in the Prometheus text format.
type Scope struct {
	tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the root scope of a process. All names start with "burdock".
func New() *Scope {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "burdock",
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return &Scope{
		Scope:   scope,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Close stops reporting.
func (s *Scope) Close() error {
	return s.closer.Close()
}

// TenantLabels maps tenant names to a limited set of labels. It is safe for concurrent
// use.
type TenantLabels struct {
	limit int
	mu    sync.RWMutex
	known map[string]struct{}
}

// NewTenantLabels returns an empty set of at most limit tenant names.
func NewTenantLabels(limit int) *TenantLabels {
	return &TenantLabels{limit: limit, known: map[string]struct{}{}}
}

// Label returns the label of a tenant: its name, "other" if the set is full, or "none"
// if tenant is empty.
func (t *TenantLabels) Label(tenant string) string {
	if tenant == "" {
		return "none"
	}
	t.mu.RLock()
	_, ok := t.known[tenant]
	full := len(t.known) >= t.limit
	t.mu.RUnlock()
	if ok {
		return tenant
	}
	if full {
		return "other"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.known) >= t.limit {
		return "other"
	}
	t.known[tenant] = struct{}{}
	return tenant
}
