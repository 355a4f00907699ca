package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/quarantine"
)

const (
	// suspectsField is the field of a response between routers that names requests which
	// crash their upstreams. Routers of earlier versions ignore it.
	suspectsField = "Burdock-Suspects"
	// secondProbeDelay is the time after which a second connection to an upstream that has
	// lost a request is opened: its connections may end a moment before its listener.
	secondProbeDelay = 20 * time.Millisecond
	// maxLoggedPath bounds the path of a log line, in bytes.
	maxLoggedPath = 200
	// reportSpacing is the shortest time between two reports of this host, except for those to
	// the sender of a lost request and while a
	// suspect with several crashes has just changed. A report is longer than many responses, and after any
	// crash of an upstream there are suspects for a minute.
	reportSpacing = 100 * time.Millisecond
	// maxReporters bounds the hosts whose last report is remembered.
	maxReporters = 1024
)

// quarantineDriver finds requests that crash their upstreams and decides what may be done
// with them. Nil suspects none. It is safe for concurrent use.
type quarantineDriver struct {
	host  string
	local *localUpstream
	// probe opens and closes a connection to the upstream.
	probe func(context.Context) error
	log   *event.Logger
	scope tally.Scope
	// active is false while there are no suspects.
	active atomic.Bool
	// current is the incarnation to which the last call was sent.
	current atomic.Pointer[incarnationID]
	// probing is held while the upstream is probed. probedAt is the time of the last probes
	// that did not show that it has ended.
	probing  sync.Mutex
	probedAt time.Time

	badReports badReportThrottle

	mu       sync.Mutex
	set      *quarantine.Set
	evidence quarantine.Evidence
	// alone holds, for each suspect that runs at the upstream, a channel that is closed at
	// its end.
	alone map[quarantine.Fingerprint]chan struct{}
	// merged are the last reports by host, so that each is merged once.
	merged map[string]string
	// reportedAt is the time of the last report to another host.
	reportedAt time.Time
}

type incarnationID struct {
	holder keyrange.Holder
	id     quarantine.Incarnation
}

// callEvidence is what is known of a call at the gate.
type callEvidence struct {
	// sentTo is the incarnation to which the call was sent last.
	sentTo quarantine.Incarnation
	// trial is true if the call is a trial.
	trial bool
	// alone is closed when the call ends; nil if others like it need not wait.
	alone chan struct{}
}

// buildQuarantine returns nil if the settings switch the quarantine off.
func (s *Sidecar) buildQuarantine() *quarantineDriver {
	if !s.settings.Quarantine.Enabled {
		return nil
	}
	return &quarantineDriver{
		host: s.settings.Host.Name, local: s.local, log: s.log, scope: s.scope,
		probe: func(ctx context.Context) error { return s.gate.client.Probe(ctx) },
		set:   quarantine.NewSet(s.settings.Host.Name),
		alone: map[quarantine.Fingerprint]chan struct{}{}, merged: map[string]string{},
	}
}

// find returns the fingerprint of the call if it may be that of a suspect. The beginning
// of a streamed body is read if that is necessary and read is true, which it must not be
// once the call was sent.
func (q *quarantineDriver) find(c *Call, read bool) (r quarantine.Request, found bool) {
	if q == nil || !q.active.Load() {
		return r, false
	}
	head := quarantine.HashHead(c.Service, c.Method, c.Host, c.Target)
	q.mu.Lock()
	found = q.set.HasHead(head)
	q.mu.Unlock()
	if !found {
		return r, false
	}
	return c.fingerprint(head, read)
}

// fingerprint returns the call as it is compared with others. complete is false if the
// beginning of its body is not known; read is as in find.
func (c *Call) fingerprint(head uint64, read bool) (r quarantine.Request, complete bool) {
	path, _, _ := strings.Cut(c.Target, "?")
	r = quarantine.Request{Fingerprint: quarantine.Fingerprint{Head: head}, Service: c.Service, Path: path}
	if c.Stream == nil {
		r.Body = quarantine.HashBody(c.Body)
		return r, true
	}
	r.Body, complete = c.Stream.prefixHash(read)
	return r, complete
}

// refusal returns the error for a call that is not sent.
func (q *quarantineDriver) refusal(d quarantine.Decision, at string) *errkind.Error {
	q.scope.Tagged(map[string]string{"at": at}).Counter("quarantine_refusals").Inc(1)
	err := errkind.New(errkind.Quarantined, "requests like this one were in progress at %d crashes of upstreams", d.Crashes)
	err.RetryAfter = d.RetryAfter
	return err
}

// atEntry returns an error if the call must not be sent to any host. Otherwise it returns
// the only host to which it may be offered, or "" if that is not restricted.
func (q *quarantineDriver) atEntry(c *Call) (host string, err *errkind.Error) {
	d := q.decideAtEntry(c, true)
	if d.Verdict == quarantine.Refused {
		return "", q.refusal(d, "entry")
	}
	return d.Host, nil
}

// mayRepeat reports whether a call that has arrived at an upstream may be sent to another.
func (q *quarantineDriver) mayRepeat(c *Call) bool {
	return q.decideAtEntry(c, false).Verdict == quarantine.Free
}

func (q *quarantineDriver) decideAtEntry(c *Call, read bool) quarantine.Decision {
	r, found := q.find(c, read)
	if !found {
		return quarantine.Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	return q.set.AtEntry(time.Now(), r, c.Keyed)
}

// enter returns an error if the gate must not send the call. A suspect waits until the one
// before it has ended. leave must be called when the call has ended.
func (q *quarantineDriver) enter(ctx context.Context, c *Call) *errkind.Error {
	r, found := q.find(c, true)
	if !found {
		return nil
	}
	patience := time.NewTimer(time.Until(c.Deadline) / 2)
	defer patience.Stop()
	for {
		d, before := q.decideAtGate(c, r)
		switch {
		case d.Verdict == quarantine.Refused:
			return q.refusal(d, "gate")
		case d.Verdict == quarantine.Trial:
			c.evidence.trial = true
			q.scope.Counter("quarantine_trials").Inc(1)
			q.log.Log(eventTrial, event.F("request", c.RequestID), event.F("fingerprint", printed(r)), event.F("service", c.Service), event.F("path", r.Path[:min(len(r.Path), maxLoggedPath)]), event.F("crashes", d.Crashes))
			return nil
		case before == nil:
			return nil
		}
		select {
		case <-before:
		case <-patience.C:
			return errkind.New(errkind.Overloaded, "another request like this one, which was in progress at a crash of an upstream, still runs")
		case <-ctx.Done():
			return errkind.New(errkind.CallerLeft, "the caller left before the request was sent")
		}
	}
}

// decideAtGate returns the decision on the call and, if it has to wait, a channel that is
// closed at the end of the call before it.
func (q *quarantineDriver) decideAtGate(c *Call, r quarantine.Request) (d quarantine.Decision, before <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	d = q.set.AtGate(time.Now(), r, c.Keyed)
	if d.Verdict != quarantine.Alone {
		return d, nil
	}
	if running := q.alone[r.Fingerprint]; running != nil {
		return d, running
	}
	c.evidence.alone = make(chan struct{})
	q.alone[r.Fingerprint] = c.evidence.alone
	return d, nil
}

// recheck returns an error if the call became quarantined while it waited for a slot.
func (q *quarantineDriver) recheck(c *Call) *errkind.Error {
	if c.evidence.trial {
		return nil
	}
	if d := q.decideAtEntry(c, false); d.Verdict == quarantine.Refused || d.Verdict == quarantine.Trial {
		return q.refusal(d, "gate")
	}
	return nil
}

// leave lets the next call like this one go on, also if a long response is still being
// passed on: what crashes its upstream gets none.
func (q *quarantineDriver) leave(c *Call) {
	if c.evidence.alone == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for of, running := range q.alone {
		if running == c.evidence.alone {
			delete(q.alone, of)
		}
	}
	close(c.evidence.alone)
	c.evidence.alone = nil
}

// sent records the incarnation to which the call is sent.
func (q *quarantineDriver) sent(c *Call, holder keyrange.Holder) {
	if q != nil {
		c.evidence.sentTo = q.incarnation(holder)
	}
}

func (q *quarantineDriver) incarnation(holder keyrange.Holder) quarantine.Incarnation {
	if known := q.current.Load(); known != nil && known.holder == holder {
		return known.id
	}
	next := &incarnationID{holder: holder, id: quarantine.IncarnationOf(holder.Host, holder.Instance, holder.Started)}
	q.current.Store(next)
	return next.id
}

// ended records the result of a call that was sent to the upstream. If the upstream has
// lost it, the upstream is probed before the result is passed on, so that the other router
// learns of the crash with it.
func (q *quarantineDriver) ended(ctx context.Context, c *Call, r *Result) {
	if q == nil {
		return
	}
	if stream, ok := r.Body.(*streamedResponse); ok && r.Err == nil {
		stream.quarantine, stream.call, stream.ctx = q, c, ctx
		return
	}
	switch {
	case r.Err == nil:
		q.completed(c)
	case r.lost:
		request, ok := q.lost(c)
		if !ok {
			return
		}
		q.confirm(ctx, time.Now(), c.evidence.sentTo)
		r.suspect = &request.Fingerprint
	}
}

// streamEnded records the end of a response that was passed on while it arrived.
func (q *quarantineDriver) streamEnded(s *streamedResponse) {
	if q == nil {
		return
	}
	switch {
	case errors.Is(s.err, io.EOF):
		q.completed(s.call)
	case s.err != nil && s.ctx.Err() == nil:
		q.lost(s.call)
	}
	s.quarantine = nil // Close may be called again
}

// responded records the result of a call at another host.
func (q *quarantineDriver) responded(c *Call, r *Result, host string) {
	q.merge(r.Suspects, host)
	if r.Err == nil && r.Length >= 0 && r.Length <= maxBufferedResponse {
		q.completed(c) // a host whose own upstream serves another service clears nothing else
	}
}

// completed records that an upstream has run the call.
func (q *quarantineDriver) completed(c *Call) {
	r, found := q.find(c, false)
	if !found {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	q.set.Completed(time.Now(), r.Fingerprint)
}

// lost records that the connection ended before the call had a complete response.
func (q *quarantineDriver) lost(c *Call) (r quarantine.Request, ok bool) {
	r, complete := c.fingerprint(quarantine.HashHead(c.Service, c.Method, c.Host, c.Target), false)
	if !complete {
		return r, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	if now := time.Now(); q.evidence.Lost(now, c.evidence.sentTo, r) {
		q.set.RecordCrash(now, c.evidence.sentTo, []quarantine.Request{r})
	}
	return r, true
}

// confirm finds out whether the upstream that lost a call at the given time has crashed.
func (q *quarantineDriver) confirm(ctx context.Context, lostAt time.Time, of quarantine.Incarnation) {
	q.probing.Lock()
	defer q.probing.Unlock()
	for attempt := range 2 {
		if q.probedAt.After(lostAt) || q.crashed(of) {
			return
		}
		if attempt > 0 {
			select {
			case <-time.After(secondProbeDelay):
			case <-ctx.Done():
				return
			}
		}
		if err := q.probe(ctx); err != nil {
			if errors.Is(err, connpool.ErrRefused) {
				q.local.connectionRefused(time.Now())
				return
			}
			break
		}
	}
	q.probedAt = time.Now()
}

func (q *quarantineDriver) crashed(of quarantine.Incarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.evidence.HasCrashed(time.Now(), of)
}

// upstreamEnded records that the process of the incarnation has ended. An announced end is
// no crash.
func (q *quarantineDriver) upstreamEnded(state upstreamState) {
	if q == nil || !state.known || !state.leavingSince.IsZero() {
		return
	}
	of := q.incarnation(state.holder)
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	now := time.Now()
	requests := q.evidence.Ended(now, of)
	if len(requests) == 0 {
		return
	}
	q.scope.Counter("upstream_crashes").Inc(1)
	q.log.Log(eventCrash, event.F("instance", state.holder.Instance), event.F("started", state.holder.Started), event.F("requests", len(requests)))
	q.set.RecordCrash(now, of, requests)
}

// heartbeat records a heartbeat of the local upstream. before is the state before it.
func (q *quarantineDriver) heartbeat(before, after upstreamState, verdict heartbeatVerdict) {
	switch {
	case q == nil:
	case before.holder != after.holder:
		q.upstreamEnded(before)
	case verdict == heartbeatCurrent:
		q.mu.Lock()
		defer q.mu.Unlock()
		defer q.update()
		now := time.Now()
		q.evidence.Alive(now, q.incarnation(after.holder))
		q.set.Expire(now)
	}
}

// report returns the report for the response to another router, or "" if there is none.
func (q *quarantineDriver) report(r *Result) string {
	if q == nil || !q.active.Load() {
		return ""
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.suspect == nil && !q.set.Urgent(now) && now.Sub(q.reportedAt) < reportSpacing {
		return ""
	}
	q.reportedAt = now
	defer q.update()
	return q.set.Report(now, r.suspect)
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

// chooseTrialHost returns the host to which a trial is offered, or an error result.
func (e *entry) chooseTrialHost(c *Call, tried []*fleet.Host) (*fleet.Host, *Result) {
	h := e.fleet.Host(c.trialHost)
	if h != nil && len(tried) == 0 && h.Member().Service == c.Service {
		if allowed := e.regions.filter(c); (allowed == nil || allowed(h.Member())) && h.AllowRequest(time.Now()) {
			return h, nil
		}
	}
	err := errkind.New(errkind.Quarantined, "host %s does not take the trial of a request that has crashed upstreams", c.trialHost)
	err.RetryAfter = maxRetryAfter
	return nil, &Result{Err: err}
}
