package sidecar

import (
	"net/http"
	"testing"
	"time"

	"burdockglade.dev/router/fleet"
)

// Guards against a router that counts the time for which requests may go on after a notice of
// leaving anew when it was restarted in that time.
func TestRestartDoesNotExtendTheTimeToDrain(t *testing.T) {
	t.Parallel()
	const drainLimit = time.Second
	now := time.UnixMilli(1_000_000)
	life := fleet.Incarnation{Instance: "a", Started: now.Add(-time.Minute).UnixMilli()}
	beat := func(u *localUpstream, draining bool) {
		u.recordHeartbeat(now, Heartbeat{Instance: life.Instance, Started: life.Started, Sequence: 9, Draining: draining, Slots: 1})
	}
	for name, c := range map[string]struct {
		play func(u *localUpstream)
		want bool
	}{
		"first heartbeat says that it leaves": {func(u *localUpstream) { beat(u, true) }, false},
		"row read before the first heartbeat": {func(u *localUpstream) { u.recordOwnRow(now, life); beat(u, false) }, false},
		"row read after the first heartbeat":  {func(u *localUpstream) { beat(u, false); u.recordOwnRow(now, life) }, false},
		"row of another incarnation": {func(u *localUpstream) {
			u.recordOwnRow(now, fleet.Incarnation{Instance: "a", Started: life.Started - 1})
			beat(u, false)
		}, true},
		"notice to this process, and its own row": {func(u *localUpstream) {
			beat(u, false)
			u.withdraw(now, Withdrawal(life))
			u.recordOwnRow(now, life)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h", heartbeatInterval: testBeat}
			c.play(u)
			s := u.get()
			if got := s.mayTakeRequests(now.Add(drainLimit/2), drainLimit); got != c.want {
				t.Errorf("takes requests: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an upstream that was acknowledged to leave and gets requests again, because
// its restarted router hears only that it is ready and overwrites the row that says otherwise.
func TestRestartedRouterKnowsThatItsUpstreamLeaves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "other")
	c.waitReady()
	first := c.hosts[0]
	first.upstream.say("Leaving", "1")
	c.eventually("a response says that the upstream leaves", func() bool {
		return c.hosts[1].request(t, http.MethodGet, "/look/x", "told", "").header.Get("Leaving") != ""
	})
	first.cancel()
	<-first.done
	restarted := c.add("h0", "plain")
	restarted.upstream.say("Ready", "again")
	c.eventually("the restarted router knows that the upstream leaves", func() bool {
		s := restarted.local.get()
		return s.known && !s.mayTakeRequests(time.Now(), restarted.gate.drainLimit)
	})
	c.eventually("its row still says so", func() bool {
		m := c.hosts[1].fleet.Host("h0").Member()
		return m.Address == restarted.settings.Listen.HopAdvertised && m.Leaves()
	})
}
