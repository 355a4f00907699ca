package expectation

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockglade.dev/router/locality"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	distant = Target{Service: "s", Distance: locality.OtherRegion}
)

// traffic sends requests with bodies of 4 KB for 10 s, of which the share is refused, and
// returns the bytes of bodies that were sent to hosts which refused them, and the number of
// admitted requests that waited for a round trip.
func traffic(refused float64) (wasted, delayed int) {
	random := rand.New(rand.NewPCG(1, 2))
	var r Refusals
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		deferred := r.Defers(now, distant, 4000, 800*time.Millisecond)
		isRefused := random.Float64() < refused
		r.Observe(now, distant, isRefused, 17*time.Millisecond)
		switch {
		case isRefused && !deferred:
			wasted += 4000
		case !isRefused && deferred:
			delayed++
		}
	}
	return wasted, delayed
}

// Guards against traffic between regions that consists of bodies of refused requests, when
// all hosts of a service are overloaded; and against round trips of admitted requests while
// few are refused.
func TestBodiesOfRefusedRequestsStayHere(t *testing.T) {
	const sent = 500
	if wasted, _ := traffic(0.6); wasted > sent*4000*6/10/10 {
		t.Errorf("%d bytes of refused bodies were sent, want less than a tenth of all", wasted)
	}
	if _, delayed := traffic(0.1); delayed > sent/20 {
		t.Errorf("%d of %d requests waited although few are refused", delayed, sent)
	}
}

// Guards against round trips for requests that gain nothing by them.
func TestBodiesThatAreSentAlong(t *testing.T) {
	var r Refusals
	near, zone := Target{"s", locality.SameRegion}, Target{"s", locality.SameZone}
	for range 10 {
		r.Observe(epoch, distant, true, 17*time.Millisecond)
		r.Observe(epoch, zone, true, time.Millisecond)
	}
	for _, c := range []struct {
		name      string
		at        time.Duration
		to        Target
		body      int
		objective time.Duration
		want      bool
	}{
		{"refused", 0, distant, 4000, time.Second, true},
		{"short body", 0, distant, minBodyBytes - 1, time.Second, false},
		{"traffic within the zone", 0, zone, 4000, time.Second, false},
		{"other distance", 0, near, 4000, time.Second, false},
		{"objective of few round trips", 0, distant, 4000, 100 * time.Millisecond, false},
		{"refusals of long ago", 5 * memory, distant, 4000, time.Second, false},
	} {
		if got := r.Defers(epoch.Add(c.at), c.to, c.body, c.objective); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// Guards against a round trip that is taken for long because some requests waited in the
// queue of the other host before they were refused.
func TestRefusalsAfterAWaitDoNotCountAsRoundTrip(t *testing.T) {
	var r Refusals
	for i := range 20 {
		took := 17 * time.Millisecond
		if i%2 == 1 {
			took = 400 * time.Millisecond
		}
		r.Observe(epoch, distant, true, took)
	}
	if !r.Defers(epoch, distant, 4000, 800*time.Millisecond) {
		t.Error("bodies are sent along although a refusal takes 17 ms")
	}
}

// Guards against memory that grows with the services of other configurations.
func TestTargetsAreBounded(t *testing.T) {
	var r Refusals
	for i := range 10 * maxTargets {
		r.Observe(epoch, Target{Service: string(rune('a' + i))}, true, time.Millisecond)
	}
	if n := len(r.byTarget); n > maxTargets {
		t.Errorf("%d targets", n)
	}
}
