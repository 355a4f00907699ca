package sidecar

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/locality"
	"burdockglade.dev/router/metrics"
)

// entryMetrics counts the requests of callers by route.
type entryMetrics struct {
	scope  tally.Scope
	routes *metrics.TenantLabels
}

func newEntryMetrics(scope tally.Scope) *entryMetrics {
	return &entryMetrics{scope: scope, routes: metrics.NewTenantLabels(metrics.MaxTenants)}
}

// observe records a request with its latency.
func (m *entryMetrics) observe(route string, r *Result, took time.Duration) {
	outcome := "refused"
	if r.Err == nil {
		outcome = strconv.Itoa(r.Status/100) + "xx"
	}
	scope := m.scope.Tagged(map[string]string{"route": m.routes.Label(route), "outcome": outcome})
	scope.Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(took)
}

// countRefusal counts a refused request by kind of error.
func (m *entryMetrics) countRefusal(route string, kind errkind.Kind) {
	tags := map[string]string{"route": m.routes.Label(route), "kind": string(kind)}
	m.scope.Tagged(tags).Counter("refusals").Inc(1)
}

// countDeferredBody counts a call whose body was to be sent only after admission. kept is
// true if the other host refused the call for lack of capacity, so that the body was not sent.
func (m *entryMetrics) countDeferredBody(kept bool) {
	outcome := "sent"
	if kept {
		outcome = "kept"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("deferred_bodies").Inc(1)
}

// countLargeAttempt counts a request with a large response that is offered to a host at the
// distance.
func (m *entryMetrics) countLargeAttempt(d locality.Distance) {
	m.scope.Tagged(map[string]string{"distance": d.String()}).Counter("large_attempts").Inc(1)
}
