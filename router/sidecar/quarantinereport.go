package sidecar

import (
	"fmt"
	"strings"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/quarantine"
)

const (
	// suspectsField is the field of a response between routers that names requests which
	// crash their upstreams. Routers of earlier versions ignore it.
	suspectsField = "Burdock-Suspects"
	// reportSpacing is the shortest time between two reports of this host, except for those
	// to the sender of a lost request, while a suspect with several crashes has just changed,
	// and the first one on each connection after such a change. A report is longer than many
	// responses, and after any crash of an upstream there are suspects for a minute.
	reportSpacing = 100 * time.Millisecond
	// maxReporters bounds the hosts whose last report is remembered.
	maxReporters = 1024
)

// report returns the report for the response to another router, or "" if there is none.
func (q *quarantineDriver) report(r *Result) string {
	if q == nil || !q.active.Load() {
		return ""
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.set.UrgentChanges()
	unreported := r.reported != nil && *r.reported != changes // the spacing may have left this host out
	if r.suspect == nil && !unreported && !q.set.Urgent(now) && now.Sub(q.reportedAt) < reportSpacing {
		return ""
	}
	if r.reported != nil {
		*r.reported = changes
	}
	q.reportedAt = now
	defer q.update()
	return q.set.Report(now, r.suspect)
}

// pollReport returns the report for a poll of another host or for the response to one, or ""
// if there is none. A host polls while it gets few responses, every 0.4 s at most.
func (q *quarantineDriver) pollReport() string {
	if q == nil || !q.active.Load() {
		return ""
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	return q.set.Report(time.Now(), nil)
}

// merge adds the report of another host.
func (q *quarantineDriver) merge(report, host string) {
	if q == nil || report == "" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	if q.merged[host] == report {
		return
	}
	if len(q.merged) >= maxReporters {
		clear(q.merged)
	}
	q.merged[host] = report
	if err := q.set.Merge(time.Now(), report); err != nil {
		q.badReports.record(q.log, eventSuspectsInvalid, host, report)
	}
}

// update reports what has changed. q.mu must be held.
func (q *quarantineDriver) update() {
	if revision := q.set.Revision(); revision != q.revision {
		q.revision = revision
		q.changes.notify()
	}
	all, inQuarantine := q.set.Len()
	if q.active.Swap(all > 0) || all > 0 {
		q.scope.Gauge("suspects").Update(float64(all))
		q.scope.Gauge("quarantined").Update(float64(inQuarantine))
	}
	for _, c := range q.set.Changes() {
		logged := eventQuarantineEnded
		if c.Quarantined {
			logged = eventQuarantined
		}
		q.log.Log(logged, event.F("fingerprint", printed(c.Request)), event.F("service", c.Service), event.F("path", c.Path),
			event.F("crashes", c.Crashes), event.F("hosts", strings.Join(c.Hosts, " ")))
	}
}

func printed(r quarantine.Request) string {
	return fmt.Sprintf("%016x%016x", r.Head, r.Body)
}
