package sidecar

import (
	"io"
	"strings"
	"testing"
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
