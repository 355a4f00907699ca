package sidecar

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
)

// stopWithGrace begins the stop of a host with the grace period.
func (c *cluster) stopWithGrace(h *testHost, graceMs int) {
	c.t.Helper()
	h.settings.Terms.GraceMs = graceMs
	h.cancel()
	c.eventually("the stop begins", func() bool { return h.stopping.Load() })
}

// waitDrainNotice waits until a stopping host takes no further requests of callers.
func (c *cluster) waitDrainNotice(h *testHost) {
	c.t.Helper()
	c.eventually("the end of the notice time", func() bool { return h.stoppingFor() > drainNoticeTime })
}

// Guards against a pipelined request that has run and whose response a stop replaces by
// a refusal, because its turn on the connection comes late.
func TestStopDeliversPipelinedResponses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	arrived, release := holdRequest(c.hosts[0], "a")
	p := newPipeline(t, c.hosts[1])
	p.send(getRequest("/look/1", "a") + getRequest("/look/2", "b"))
	<-arrived
	c.eventually("the second one ran", func() bool { return c.hosts[0].upstream.runCount("b") == 1 })
	c.stopWithGrace(c.hosts[1], 6000)
	c.waitDrainNotice(c.hosts[1])
	release()
	p.expect(200, "a", "/look/1")
	p.expect(200, "b", "/look/2")
}

// Guards against requests that were read behind others on their connection and get no
// response, because a stop closes the connection after an earlier response.
func TestStopAnswersRequestsReadAhead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	arrived, release := holdRequest(c.hosts[0], "a")
	p := newPipeline(t, c.hosts[1])
	p.send(getRequest("/look/1", "a") + postRequest("/pay/1", "b", "1") + postRequest("/pay/2", "c", "2"))
	<-arrived
	c.stopWithGrace(c.hosts[1], 6000)
	release()
	p.expect(200, "a", "/look/1")
	p.expect(200, "b", "/pay/1")
	p.expect(200, "c", "/pay/2")
	if _, err := p.responses.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want the end of the connection", err)
	}
}

// Guards against a request whose body ends late in a stop and that is passed on although
// it may not end within the grace period.
func TestStopRefusesRequestWithLateBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	p := newPipeline(t, c.hosts[1])
	body := strings.Repeat("p", 100)
	whole := postRequest("/pay/1", "a", body)
	p.send(whole[:len(whole)-50])
	c.eventually("the request is being read", func() bool { return c.hosts[1].inFlight.Load() == 1 })
	c.stopWithGrace(c.hosts[1], 6000)
	c.waitDrainNotice(c.hosts[1])
	p.send(whole[len(whole)-50:])
	p.expect(503, "a", "")
	if n := c.hosts[0].upstream.runCount("a"); n != 0 {
		t.Errorf("the refused request ran %d times", n)
	}
}

// Guards against a request that is still running at the end of the grace period and whose
// connection is closed without a response.
func TestRequestCutAtTheEndOfTheGraceGetsAResponse(t *testing.T) {
	t.Parallel()
	for _, request := range []string{postRequest("/pay/1", "a", "1"), getRequest("/look/0", "z") + getRequest("/look/1", "a")} {
		c := newCluster(t, "plain", "keyed")
		c.waitReady()
		arrived, release := holdRequest(c.hosts[0], "a")
		defer release()
		p := newPipeline(t, c.hosts[1])
		p.send(request)
		<-arrived
		if strings.HasPrefix(request, "GET") {
			p.expect(200, "z", "/look/0")
		}
		c.stopWithGrace(c.hosts[1], 3000)
		p.expectUnknownOutcome("a")
	}
}

// Guards against requests that a stopping router sends to another host although their
// responses are known to come after its end.
func TestStopRefusesRequestWithLateResponse(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	plain := c.hosts[1].fleet.Host("h0")
	for range 100 {
		plain.RequestStarted()
		plain.RequestDone(time.Now(), fleet.Result{Reached: true, Latency: 10 * time.Second, Objective: time.Second})
	}
	c.stopWithGrace(c.hosts[1], 3000)
	got := c.hosts[1].request(t, "POST", "/pay/1", "late", "1")
	if got.status != 503 || got.header.Get("Retry-After") == "" || c.hosts[0].upstream.runCount("late") != 0 {
		t.Errorf("got %d, Retry-After %q; want 503 with a delay", got.status, got.header.Get("Retry-After"))
	}
	// This one ends in time: its deadline is before the end of the stop.
	if got := c.hosts[1].request(t, "POST", "/pay/1", "short", "1", testHeaders.DeadlineMs, "1000"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}
}

// Guards against requests that a stopping router sends to its upstream although they are
// known not to end before it does.
func TestGateRefusesRequestsThatOutlastTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{host: "h0", local: &localUpstream{host: "h0"}, limiter: admit.NewPriorityLimiter(nil), drainLimit: time.Hour,
			stoppingFor: func() time.Duration { return minUnkeyedNoticeTime / 2 }}
		g.local.recordHeartbeat(time.Now(), Heartbeat{Instance: "i", Started: 1, Sequence: 1, Service: "plain", Slots: 1})
		g.limiter.SetSlots(1)
		call := &Call{Service: "plain", Deadline: time.Now().Add(time.Hour)}
		release, err := g.limiter.Acquire(t.Context(), call.workClass(), admit.WaitBounds{})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		release(admit.Completed)
		for _, c := range []struct {
			graceLeft, deadline time.Duration
			refused             bool
		}{
			{3 * time.Second, time.Hour, true},
			{3 * time.Second, 2 * time.Second, false},
			{5 * time.Second, time.Hour, false},
		} {
			g.graceLeft = func() time.Duration { return c.graceLeft }
			call.Deadline = time.Now().Add(c.deadline)
			if err := g.check(time.Now(), call); (err != nil) != c.refused || (err != nil && err.Kind != errkind.Draining) {
				t.Errorf("%v left, deadline in %v: %v, want refused %v", c.graceLeft, c.deadline, err, c.refused)
			}
		}
	})
}

// Guards against callers on other hosts that get no response, a false one or a second run
// when the host that runs their request ends.
func TestStopOfTheHostThatRunsARequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	upstream := c.hosts[0].upstream
	arrived, release := holdRequest(c.hosts[0], "a")
	defer release()
	p := newPipeline(t, c.hosts[1])
	p.send(postRequest("/pay/1", "a", "1"))
	<-arrived
	c.stopWithGrace(c.hosts[0], 3000)
	c.eventually("the end of the notice time", func() bool { return c.hosts[0].stoppingFor() > drainNoticeTime })
	if got := c.hosts[1].request(t, "POST", "/pay/2", "late", "1"); got.status != 503 || upstream.runCount("late") != 0 {
		t.Errorf("late request: %d after %d runs, want 503 after none", got.status, upstream.runCount("late"))
	}
	p.expectUnknownOutcome("a")
	if n := upstream.runCount("a"); n != 1 {
		t.Errorf("the request that was cut ran %d times", n)
	}
}

// Guards against slots of a stopping host that stay unused while the others are full, and
// against requests that keep it from ending in time.
func TestStoppingRouterTakesRequestsThatEndInTime(t *testing.T) {
	for _, tc := range []struct {
		name              string
		stopping, service time.Duration
		keyed, want       bool
	}{
		{"not stopping", 0, time.Minute, false, true},
		{"long request, other routers do not know yet", minUnkeyedNoticeTime, time.Minute, false, true},
		{"long request", minUnkeyedNoticeTime + 1, drainNoticeTime - minUnkeyedNoticeTime, false, false},
		{"short request", drainNoticeTime - 100*time.Millisecond, 100 * time.Millisecond, false, true},
		{"short request, late", drainNoticeTime - 99*time.Millisecond, 100 * time.Millisecond, false, false},
		{"no other upstream may serve the key", drainNoticeTime, time.Second, true, true},
		{"end of the notice time", drainNoticeTime + 1, 0, true, false},
	} {
		if got := takesWhileStopping(tc.stopping, tc.service, tc.keyed); got != tc.want {
			t.Errorf("%s: got %v", tc.name, got)
		}
	}
}

// Guards against callers that are refused while the only upstream of a service is idle,
// because its router has just begun to stop, and against requests that are cut by the stop.
func TestStoppingHostServesOtherHosts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	c.stopWithGrace(c.hosts[0], 6000)
	c.eventually("the news of the stop", func() bool { return c.hosts[1].fleet.Host("h0").Member().State == fleet.Stopping })
	if got := c.hosts[1].request(t, "POST", "/pay/1", "during", "1"); got.status != 200 || c.hosts[0].upstream.runCount("during") != 1 {
		t.Errorf("got %d after %d runs, want 200 after one", got.status, c.hosts[0].upstream.runCount("during"))
	}
}
