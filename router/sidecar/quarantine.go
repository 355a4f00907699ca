package sidecar

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/quarantine"
)

// maxLoggedPath bounds the path of a log line, in bytes.
const maxLoggedPath = 200

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
	// repeatWait is the longest time for which a lost request waits to be sent again.
	repeatWait time.Duration
	// repeatWaits is the number of lost requests that wait.
	repeatWaits atomic.Int64
	// changes wakes them when suspects have changed.
	changes broadcast

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
	// revision is the one of set at the last call of update.
	revision uint64
}

// buildQuarantine returns nil if the settings switch the quarantine off.
func (s *Sidecar) buildQuarantine() *quarantineDriver {
	if !s.settings.Quarantine.Enabled {
		return nil
	}
	return &quarantineDriver{
		host: s.settings.Host.Name, local: s.local, log: s.log, scope: s.scope,
		probe: func(ctx context.Context) error { return s.gate.client.Probe(ctx) },
		set:   quarantine.NewSet(s.settings.Host.Name), repeatWait: millis(s.settings.Quarantine.RepeatWaitMs),
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
	if c.deferred != nil && (!read || c.loadBody() != nil) {
		return r, false
	}
	if c.Stream == nil {
		r.Body = quarantine.HashBody(c.Body)
		return r, true
	}
	r.Body, complete = c.Stream.prefixHash(read)
	return r, complete
}

// refusal returns the error for a call that is not sent.
func (q *quarantineDriver) refusal(c *Call, d quarantine.Decision, at string) *errkind.Error {
	if !c.dryRun {
		q.scope.Tagged(map[string]string{"at": at}).Counter("quarantine_refusals").Inc(1)
	}
	err := errkind.New(errkind.Quarantined, "requests like this one were in progress at %d crashes of upstreams", d.Crashes)
	err.RetryAfter = d.RetryAfter
	return err
}

// atEntry returns an error if the call must not be sent to any host. Otherwise it returns
// the only host to which it may be offered, or "" if that is not restricted.
func (q *quarantineDriver) atEntry(c *Call) (host string, err *errkind.Error) {
	d := q.decideAtEntry(c, true)
	if d.Verdict == quarantine.Refused {
		return "", q.refusal(c, d, "entry")
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
	if c.dryRun {
		return q.set.PeekEntry(time.Now(), r, c.Keyed)
	}
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
			return q.refusal(c, d, "gate")
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
		return q.refusal(c, d, "gate")
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

// chooseTrialHost returns the host to which a trial is offered, or an error result.
func (e *entry) chooseTrialHost(c *Call, tried []*fleet.Host) (*fleet.Host, *Result) {
	h := e.fleet.Host(c.trialHost)
	if h != nil && len(tried) == 0 && h.Member().Service == c.Service {
		if allowed := e.regions.filter(c); (allowed == nil || allowed(h.Member())) && c.allowRequest(time.Now(), h) {
			return h, nil
		}
	}
	err := errkind.New(errkind.Quarantined, "host %s does not take the trial of a request that has crashed upstreams", c.trialHost)
	err.RetryAfter = maxRetryAfter
	return nil, &Result{Err: err}
}
