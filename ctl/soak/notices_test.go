package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
)

const (
	// noticeTime is the platform's limit for the time after which a named limit is kept.
	noticeTime = 3 * time.Second
	// limitWindow is the time in which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// limitSlack is the number of requests that may exceed a limit in limitWindow, and
	// limitFactor the share of the limit that may be used.
	limitSlack  = 5
	limitFactor = 1.5
)

// instanceOf returns the instance that signed a response.
func instanceOf(header http.Header) string {
	_, rest, _ := strings.Cut(header.Get(platform.Headers().Signature), ".")
	instance, _, _ := strings.Cut(rest, ".")
	return instance
}

// startNotices makes random servers name limits, and others say in responses that they
// leave before their heartbeats do, until the returned function is called. The draws are
// apart from those of the faults.
func (d *deployment) startNotices(seed uint64) func() {
	rng := rand.New(rand.NewPCG(seed, 2))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			h := d.hosts[rng.IntN(len(d.hosts))]
			perSecond := 0.5 + 12*rng.Float64()
			length := between(rng, 6*time.Second, 10*time.Second)
			leaves := rng.IntN(4) == 0
			wg.Go(func() {
				if leaves {
					h.leave(length / 2)
				} else {
					h.limit(perSecond, length, stop)
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(between(rng, time.Second, 4*time.Second)):
			}
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}

// limit makes the server of the host name a limit for the given time.
func (h *host) limit(perSecond float64, length time.Duration, stop chan struct{}) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	h.deployment.mu.Lock()
	h.deployment.limited = append(h.deployment.limited, s)
	h.deployment.mu.Unlock()
	s.NameLimit(perSecond)
	select {
	case <-stop:
	case <-time.After(length):
	}
	s.EndLimit()
}

// leave makes the server of the host say in responses that it leaves, and replaces it.
func (h *host) leave(ahead time.Duration) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	s.SayLeaving()
	time.Sleep(ahead)
	h.replaceServer(0)
}

// checkNotices returns an error for each server that got more requests than it named, or
// requests that came later than allowed after it had said that it leaves.
func (d *deployment) checkNotices() []error {
	d.mu.Lock()
	limited := map[string][]standin.NamedLimit{}
	for _, s := range d.limited {
		limited[s.instance] = s.NamedLimits()
	}
	d.mu.Unlock()
	disrupted := map[string][]time.Time{}
	for _, h := range d.hosts {
		h.mu.Lock()
		disrupted[h.caller] = append([]time.Time(nil), h.disrupted...)
		h.mu.Unlock()
	}
	return append(checkLimits(d.ledger.Arrivals(), limited), checkLeaving(d.ledger.Executions(), d.callers.results(), disrupted)...)
}

// checkLimits checks the arrivals at each instance against the limits that it named.
func checkLimits(arrivals []standin.Arrival, limited map[string][]standin.NamedLimit) []error {
	byInstance := map[string][]time.Time{}
	for _, a := range arrivals {
		byInstance[a.Instance] = append(byInstance[a.Instance], a.At)
	}
	var violations []error
	for instance, limits := range limited {
		for _, l := range limits {
			if l.First.IsZero() {
				continue // no response named it
			}
			from, most := l.First.Add(noticeTime), limitFactor*l.PerSecond*limitWindow.Seconds()+limitSlack
			if n := mostInWindow(byInstance[instance], from, l.Until, limitWindow); float64(n) > most {
				violations = append(violations, fmt.Errorf("%s got %d requests in %v under a limit of %.1f a second, named at %v", instance, n, limitWindow, l.PerSecond, l.First))
			}
		}
	}
	return violations
}

// mostInWindow returns the largest number of times in a window of the given length between
// from and until.
func mostInWindow(times []time.Time, from, until time.Time, window time.Duration) int {
	var inside []time.Time
	for _, t := range times {
		if !t.Before(from) && (until.IsZero() || t.Before(until)) {
			inside = append(inside, t)
		}
	}
	most, first := 0, 0
	for i, t := range inside {
		for t.Sub(inside[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkLeaving checks that no host sent an instance requests that it got later than
// drainLimit after it had passed on a response of the instance which says that it leaves,
// unless the host's process was disrupted since.
func checkLeaving(executions []standin.Execution, results []result, disrupted map[string][]time.Time) []error {
	type passing struct{ host, instance string }
	told := map[passing]time.Time{}
	byID := map[string]result{}
	for _, r := range results {
		byID[r.id] = r
		if p := (passing{r.host, r.leaving}); r.leaving != "" && (told[p].IsZero() || r.answered.Before(told[p])) {
			told[p] = r.answered
		}
	}
	var violations []error
	for _, e := range executions {
		r := byID[e.Request]
		at, ok := told[passing{r.host, e.Instance}]
		if !ok || r.sent.Sub(at) <= drainLimit || anyAfter(disrupted[r.host], at) {
			continue
		}
		violations = append(violations, fmt.Errorf("%s got %s from %s %v after its response said that it leaves", e.Instance, r.id, r.host, r.sent.Sub(at)))
	}
	return violations
}

// anyAfter reports whether any of the times is after t.
func anyAfter(times []time.Time, t time.Time) bool {
	for _, x := range times {
		if x.After(t) {
			return true
		}
	}
	return false
}

// Guards against checks that miss violations, and against ones that report what is
// allowed.
func TestCheckNoticesFindsViolations(t *testing.T) {
	at := time.Now()
	var arrivals []standin.Arrival
	for i := range 66 {
		arrivals = append(arrivals, standin.Arrival{Instance: "x", At: at.Add(noticeTime + time.Duration(i)*50*time.Millisecond)})
	}
	limits := func(perSecond float64) map[string][]standin.NamedLimit {
		return map[string][]standin.NamedLimit{"x": {{PerSecond: perSecond, First: at, Until: at.Add(time.Minute)}}}
	}
	if err := errors.Join(checkLimits(arrivals, limits(10))...); err == nil {
		t.Error("66 requests under a limit of 10 a second: not found")
	}
	if err := errors.Join(checkLimits(arrivals, limits(11))...); err != nil {
		t.Errorf("66 requests under a limit of 11 a second: %v", err)
	}
	results := []result{{id: "a", host: "h", answered: at, leaving: "x"}, {id: "b", host: "h", sent: at.Add(drainLimit + 1)}}
	late := []standin.Execution{{Request: "b", Instance: "x"}}
	if err := errors.Join(checkLeaving(late, results, nil)...); err == nil {
		t.Error("a request after the notice: not found")
	}
	if err := errors.Join(checkLeaving(late, results, map[string][]time.Time{"h": {at.Add(1)}})...); err != nil {
		t.Errorf("a request of a host that was restarted since: %v", err)
	}
}
