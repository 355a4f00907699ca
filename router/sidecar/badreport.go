package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/event"
)

const (
	// badReportInterval is the shortest time between log lines about malformed reports,
	// which could otherwise come with each response.
	badReportInterval = time.Minute
	// maxLoggedReport bounds the report of a log line, in bytes.
	maxLoggedReport = 200
)

// badReportThrottle bounds the log lines about malformed reports of one kind. It is safe
// for concurrent use.
type badReportThrottle struct {
	mu       sync.Mutex
	loggedAt time.Time
}

// record logs the report with the event, at most once per badReportInterval.
func (b *badReportThrottle) record(log *event.Logger, malformed event.Event, host, report string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.loggedAt.IsZero() && now.Sub(b.loggedAt) < badReportInterval {
		return
	}
	b.loggedAt = now
	log.Log(malformed, event.F("host", host), event.F("report", report[:min(len(report), maxLoggedReport)]))
}
