package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// say makes the upstream set a field in every response.
func (u *testUpstream) say(name, value string) {
	u.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(name, value)
		return false
	})
}

// arrivalsAfter returns the times at which requests arrived later than t.
func (u *testUpstream) arrivalsAfter(t time.Time) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var later []time.Time
	for _, at := range u.arrivals {
		if at.After(t) {
			later = append(later, at)
		}
	}
	return later
}

// mostWithin returns the largest number of times in a window of the given length.
func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// requestsFor makes callers on all hosts send a request every 5 ms for the duration, one
// after another. It returns the number of responses by status.
func (c *cluster) requestsFor(d time.Duration, callersPerHost int, path string) map[int]int {
	c.t.Helper()
	end := time.Now().Add(d)
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for i, h := range c.hosts {
		for j := range callersPerHost {
			wg.Go(func() {
				tick := time.NewTicker(5 * time.Millisecond)
				defer tick.Stop()
				for n := 0; time.Now().Before(end); n++ {
					<-tick.C
					r := h.request(c.t, http.MethodGet, path, fmt.Sprintf("%d-%d-%d-%d", end.UnixNano(), i, j, n), "")
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return statuses
}

// Guards against an upstream that gets more requests, from all hosts together, than the
// limit that it names in its responses.
func TestNamedRateLimitIsKept(t *testing.T) {
	c := newCluster(t, "plain", "other", "other")
	c.waitReady()
	const perSecond, window = 20.0, 2 * time.Second
	u := c.hosts[0].upstream
	u.say("Rate", fmt.Sprint(perSecond))
	statuses := c.requestsFor(2*window, 3, "/look/x")
	got, allowed := mostWithin(u.arrivalsAfter(time.Time{}), window), int(1.5*perSecond*window.Seconds())+5
	if got > allowed {
		t.Errorf("%d requests within %v, at most %d are allowed", got, window, allowed)
	}
	if least := int(perSecond * window.Seconds()); statuses[http.StatusOK] < least {
		t.Errorf("%d requests were served, want %d at least: %v", statuses[http.StatusOK], least, statuses)
	}
}

// Guards against requests to an upstream whose responses say that it leaves, while its
// heartbeats still say that it is ready.
func TestUpstreamThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	c := newCluster(t, "plain", "plain", "other")
	c.waitReady()
	u := c.hosts[0].upstream
	c.eventually("both upstreams serve", func() bool {
		c.requestsFor(50*time.Millisecond, 2, "/look/x")
		return len(u.arrivalsAfter(time.Time{})) > 0 && len(c.hosts[1].upstream.arrivalsAfter(time.Time{})) > 0
	})
	u.say("Leaving", "1")
	c.eventually("a response says that the upstream leaves", func() bool {
		before := time.Now()
		c.requestsFor(50*time.Millisecond, 2, "/look/x")
		return len(u.arrivalsAfter(before)) > 0
	})
	told := time.Now()
	c.requestsFor(millis(c.hosts[0].settings.Terms.DrainMs), 1, "/look/x")
	bound := told.Add(millis(c.hosts[0].settings.Terms.DrainMs))
	statuses := c.requestsFor(500*time.Millisecond, 2, "/look/x")
	if late := u.arrivalsAfter(bound); len(late) > 0 {
		t.Errorf("%d requests arrived later than %v after the notice", len(late), bound.Sub(told))
	}
	if statuses[http.StatusOK] == 0 {
		t.Errorf("no request was served by the other upstream: %v", statuses)
	}
}

// Guards against a host that passed such a response on and sends to the upstream again
// because the router beside the upstream has restarted and knows nothing of it.
func TestLeavingIsRememberedByOtherHosts(t *testing.T) {
	c := newCluster(t, "plain", "other")
	c.waitReady()
	u, other := c.hosts[0].upstream, c.hosts[1]
	u.say("Leaving", "1")
	c.eventually("the other host has passed on a response", func() bool {
		return other.request(t, http.MethodGet, "/look/x", "told", "").header.Get("Leaving") != ""
	})
	told := time.Now()
	u.setHandler(nil)
	c.hosts[0].local.mu.Lock()
	c.hosts[0].local.state = upstreamState{}
	c.hosts[0].local.mu.Unlock()
	c.eventually("the router knows the upstream again, as ready", func() bool {
		s := c.hosts[0].local.get()
		return s.known && s.leavingSince.IsZero()
	})
	bound := told.Add(millis(other.settings.Terms.DrainMs))
	c.eventually("the time for which requests may go on is over", func() bool { return time.Now().After(bound) })
	for i := range 10 {
		other.request(t, http.MethodGet, "/look/x", fmt.Sprintf("late-%d", i), "")
	}
	if late := u.arrivalsAfter(bound); len(late) > 0 {
		t.Errorf("%d requests arrived later than %v after the notice", len(late), bound.Sub(told))
	}
}
