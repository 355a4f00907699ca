package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/reservation"
	"burdockglade.dev/router/vhost"
)

// Guards against a gate that takes an attempt for another kind, also if it comes from a
// router that knows more kinds, and against callers who name an origin themselves.
func TestOriginBetweenRouters(t *testing.T) {
	for _, want := range []admit.Origin{
		{Host: "h1", Final: true},
		{Host: "h1", Return: reservation.Due},
		{Host: "h1", Final: true, Return: reservation.Early},
		{Host: "h1", Final: true, Return: reservation.Unreserved},
	} {
		c := &Call{Origin: want, Header: http.Header{originField: {"forged final due"}}}
		head := requestHead(testHeaders, c, time.Now())
		got := (&hopHandler{}).decodeCall(&hop.Request{RequestHead: head}, time.Now())
		if got.Origin != want || got.Header.Get(originField) != "" {
			t.Errorf("%+v arrives as %+v with the fields %v", want, got.Origin, got.Header)
		}
	}
	if got, want := decodeOrigin("h1 newer final 7"), (admit.Origin{Host: "h1", Final: true}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if fields := encodeOrigin(&Call{Origin: admit.Origin{Host: "h1"}}); fields != nil {
		t.Errorf("a first attempt that does not wait sends %v", fields)
	}
}

// Guards against times with capacity that are cut down to one without, and against estimates
// that callers do not honour.
func TestRetryAfter(t *testing.T) {
	const left = 900 * time.Millisecond
	for _, c := range []struct {
		err  errkind.Error
		want time.Duration
	}{
		{errkind.Error{Kind: errkind.Overloaded, RetryAfter: 700 * time.Millisecond}, 300 * time.Millisecond},
		{errkind.Error{Kind: errkind.Overloaded, RetryAfter: 700 * time.Millisecond, Room: errkind.RoomLater}, 700 * time.Millisecond},
		{errkind.Error{Kind: errkind.Overloaded, RetryAfter: 3 * time.Second, Room: errkind.RoomForecast}, 3 * time.Second},
		{errkind.Error{Kind: errkind.Draining}, 300 * time.Millisecond},
		{errkind.Error{Kind: errkind.Quarantined, RetryAfter: 2 * time.Second}, 2 * time.Second},
	} {
		if got := retryAfterFor(&c.err, left); got != c.want {
			t.Errorf("%+v: %v, want %v", c.err, got, c.want)
		}
	}
}

// Guards against first attempts, and requests that were refused for another reason than a
// lack of room, that are taken for returning ones, and against a caller that returns early
// and is told another time than before.
func TestEntryRecognisesReturningRequests(t *testing.T) {
	const longest = 3 * time.Second
	now, r := time.Now(), newReturnTracker()
	deadline := now.Add(longest)
	newCall := func(target string) *Call {
		return &Call{Method: "GET", Target: target, Deadline: deadline, route: &vhost.Route{Name: "look"}}
	}
	refuse := func(target string, kind errkind.Kind, room errkind.Room, after time.Duration) {
		res := &Result{Host: "h1", Err: &errkind.Error{Kind: kind, RetryAfter: after, Room: room}}
		r.recordRefusal(now, newCall(target), res)
	}
	refuse("/reserved", errkind.Overloaded, errkind.RoomReserved, 400*time.Millisecond)
	refuse("/later", errkind.Overloaded, errkind.RoomLater, 5*time.Second)
	arrive := func(target string, after time.Duration) *Call {
		c := newCall(target)
		at := now.Add(after)
		r.recognise(at, c, longest, deadline.Sub(at))
		return c
	}
	if c := arrive("/reserved", 0); c.returnKind != reservation.FirstAttempt {
		t.Errorf("a first attempt: %v", c.returnKind)
	}
	early := arrive("/reserved", 100*time.Millisecond)
	res := &Result{Host: "h2", Err: &errkind.Error{Kind: errkind.Overloaded, RetryAfter: time.Millisecond}}
	r.recordRefusal(now.Add(100*time.Millisecond), early, res)
	if early.returnKind != reservation.Early || res.Err.RetryAfter != 300*time.Millisecond {
		t.Errorf("an early return: %v, told to return in %v, want the remaining 300 ms", early.returnKind, res.Err.RetryAfter)
	}
	if c := arrive("/reserved", 400*time.Millisecond); c.returnKind != reservation.Due || c.earlierRefusal.Host != "h1" {
		t.Errorf("a return in time: %v at %q", c.returnKind, c.earlierRefusal.Host)
	}
	if c := arrive("/later", time.Second); c.returnKind != reservation.Unreserved { // a third of the time left
		t.Errorf("a return without a reservation: %v", c.returnKind)
	}
	refuse("/draining", errkind.Draining, errkind.RoomUnknown, 0)
	refuse("/link", errkind.Overloaded, errkind.RoomForecast, time.Second)
	refuse("/estimate", errkind.Overloaded, errkind.RoomUnknown, time.Second)
	if r.refusals.Len() != 0 {
		t.Errorf("%d refusals are remembered, want none", r.refusals.Len())
	}
}

// Guards against an attempt that waits for a slot or gets a reservation as the final one although
// a host whose router has just begun to stop would take the request next, and against one that
// is not final although only hosts are left that stop for longer.
func TestStoppingHostMayFollowAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &entry{fleet: fleet.NewDirectory("z1", "r1", newHopClient)}
		for host, state := range map[string]fleet.State{"a": fleet.Ready, "b": fleet.Stopping} {
			e.fleet.Put(fleet.Member{Host: host, Service: "plain", Zone: "z1", Region: "r1", Address: host + ":1", State: state, Slots: 4})
		}
		call, a := &Call{Service: "plain"}, e.fleet.Host("a")
		if e.isFinal(call, a, nil) {
			t.Error("the attempt is final although b has just begun to stop")
		}
		time.Sleep(time.Second)
		if !e.isFinal(call, a, nil) {
			t.Error("the attempt is not final although b takes no requests any more")
		}
	})
}

// Guards against reservations at hosts that are not the last one, against refusals without
// one, and against returning requests that are sent to another host than the one with their
// reservation.
func TestLastHostReserves(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.change = func(s *Settings) { s.Reservation.Share = 0.25 }
	c.add("h0", "plain")
	c.add("h1", "plain")
	c.waitReady()
	release, held := make(chan struct{}), sync.WaitGroup{}
	defer held.Wait()
	defer close(release)
	for _, h := range c.hosts {
		h.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/look/hold" {
				<-release
			}
			return false
		})
		for i := range 4 { // so that the service times are known
			h.request(t, "GET", "/look/first", fmt.Sprint("first-", i), "")
		}
	}
	for i := range 8 { // all slots of both
		held.Go(func() {
			c.hosts[0].request(t, "GET", "/look/hold", fmt.Sprint("hold-", i), "", testHeaders.DeadlineMs, "5000")
		})
	}
	c.eventually("all slots are used", func() bool {
		_, n0, _ := c.hosts[0].gate.limiter.Stats()
		_, n1, _ := c.hosts[1].gate.limiter.Stats()
		return n0+n1 == 8
	})
	got := c.hosts[0].request(t, "GET", "/look/more", "more", "", testHeaders.DeadlineMs, "2000")
	if n0, n1 := c.hosts[0].gate.limiter.Reservations(), c.hosts[1].gate.limiter.Reservations(); got.status != http.StatusServiceUnavailable || n0+n1 != 1 {
		t.Errorf("status %d, %d and %d reservations, want one at the last host", got.status, n0, n1)
	}
	e := c.hosts[0].entry
	for _, gate := range []string{"h0", "h1"} {
		call := &Call{Service: "plain", Host: "test", Target: "/look/more", Method: "GET", Origin: admit.Origin{Host: "h0"},
			returnKind: reservation.Due, earlierRefusal: reservation.Refusal{Host: gate}}
		h, r := e.chooseHost(t.Context(), call, nil, nil)
		if r != nil || h.Member().Host != gate {
			t.Fatalf("a request with a reservation at %s is sent elsewhere: %+v", gate, r)
		}
		e.markAttempt(call, h, nil)
		other := e.fleet.Host(map[string]string{"h0": "h1", "h1": "h0"}[gate])
		if call.Origin.Return != reservation.Due || call.Origin.Final {
			t.Errorf("at %s: %+v", gate, call.Origin)
		}
		e.markAttempt(call, other, []*fleet.Host{h})
		if call.Origin.Return != reservation.FirstAttempt || !call.Origin.Final {
			t.Errorf("at the other host than %s: %+v", gate, call.Origin)
		}
	}
}
