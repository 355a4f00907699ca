package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
)

const (
	// coldStartTime is the time for which upstreams are cold after their start, and
	// coldRate the number of requests per second that they tolerate meanwhile.
	coldStartTime = 2 * time.Second
	coldRate      = 6
	// coldMost is the platform's bound for the requests to a cold upstream in any second.
	coldMost = coldRate*1.5 + 8
)

// startColds makes random servers cold again until the returned function is called. The draws
// are apart from those of the faults.
func (d *deployment) startColds(seed uint64) func() {
	rng := rand.New(rand.NewPCG(seed, 6))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for sleepUnless(stop, between(rng, 300*time.Millisecond, 1500*time.Millisecond)) {
			h := d.hosts[rng.IntN(len(d.hosts))]
			length := between(rng, 1500*time.Millisecond, 4*time.Second)
			h.mu.Lock()
			s := h.server
			h.mu.Unlock()
			s.BecomeCold(length)
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}

// checkColds returns an error for each time in which a cold server got more requests in a
// second than it tolerates.
func (d *deployment) checkColds() []error {
	d.mu.Lock()
	times := map[string][]standin.ColdTime{}
	for _, s := range d.started {
		times[s.instance] = s.ColdTimes()
	}
	d.mu.Unlock()
	violations, most := checkColds(d.ledger.Arrivals(), times)
	d.t.Logf("a cold server got at most %d requests in a second", most)
	return violations
}

// checkColds checks the arrivals at each server while it was cold. It also returns the most in
// any second. Requests that were refused because the server did not hold their key do not
// count.
func checkColds(arrivals []standin.Arrival, times map[string][]standin.ColdTime) (violations []error, most int) {
	byInstance := map[string][]time.Time{}
	for _, a := range arrivals {
		if !a.Misdirected {
			byInstance[a.Instance] = append(byInstance[a.Instance], a.At)
		}
	}
	for instance, cold := range times {
		for _, c := range cold {
			if c.From.IsZero() {
				continue // no heartbeat said so
			}
			n := mostInWindow(byInstance[instance], c.From, c.Until, time.Second)
			if n > coldMost {
				violations = append(violations, fmt.Errorf("%s got %d requests in a second while it was cold from %v until %v", instance, n, c.From, c.Until))
			}
			most = max(most, n)
		}
	}
	return violations, most
}

// Guards against a check that misses too many requests to a cold server, and against one that
// reports what is allowed.
func TestCheckColdsFindsViolations(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		arrivals    int
		misdirected bool
		after       time.Duration
		want        bool
	}{
		"too many":    {arrivals: 18, want: true},
		"allowed":     {arrivals: 17},
		"misdirected": {arrivals: 18, misdirected: true},
		"warm":        {arrivals: 18, after: time.Minute},
	} {
		var arrivals []standin.Arrival
		for i := range c.arrivals {
			arrivals = append(arrivals, standin.Arrival{Instance: "x", At: at.Add(c.after + time.Duration(i)*50*time.Millisecond), Misdirected: c.misdirected && i == 0})
		}
		found, _ := checkColds(arrivals, map[string][]standin.ColdTime{"x": {{From: at, Until: at.Add(2 * time.Second)}}})
		if err := errors.Join(found...); (err != nil) != c.want {
			t.Errorf("%s: %v, want a finding: %v", name, err, c.want)
		}
	}
}
