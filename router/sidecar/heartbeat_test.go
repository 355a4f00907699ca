package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// incoming returns a driver with a valid lease to which h0 moves a range, and the
// map in which the move is done.
func incoming(t *testing.T) (d *keyDriver, s upstreamState, done *keyrange.Map) {
	t.Helper()
	d, s = newTestDriver(t, rowstore.NewMemory())
	d.leaseEnd = boottime.Now().Add(time.Hour)
	m, version := d.index.get("s")
	moving := m.Clone()
	moving.PlanMove(0, "h1")
	d.index.put("s", version+1, moving)
	done = moving.Clone()
	done.Release(0, "token", []keyrange.Member{{Holder: s.holder}})
	return d, s, done
}

// Guards against moved keys that nobody serves until the next heartbeat of the
// new holder.
func TestHeartbeatWaitsForKeysOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, done := incoming(t)
		_, version := d.index.get("s")
		replies := make(chan HeartbeatResponse, 1)
		go func() { replies <- d.heartbeat(s, Heartbeat{Sequence: 2}) }()
		synctest.Wait()
		d.index.put("s", version+1, done)
		r := <-replies
		if len(r.Grants) != 5 || r.Grants[0].Handover != "token" {
			t.Errorf("grants %+v, want the moved range with its handover among five", r.Grants)
		}
	})
}

// Guards against answers that come too late for the upstream when the keys do not
// arrive.
func TestHeartbeatIsAnsweredWithoutTheKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, _ := incoming(t)
		before := time.Now()
		r := d.heartbeat(s, Heartbeat{Sequence: 2})
		if took := time.Since(before); took > longestAnswer {
			t.Errorf("answered after %v", took)
		}
		if len(r.Grants) != 4 {
			t.Errorf("%d ranges granted, want the four that it holds", len(r.Grants))
		}
	})
}

// Guards against two answers that cross: that to an earlier heartbeat would give
// back keys that the later one takes away.
func TestOvertakenHeartbeatGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, done := incoming(t)
		_, version := d.index.get("s")
		replies := make(chan HeartbeatResponse, 1)
		go func() { replies <- d.heartbeat(s, Heartbeat{Sequence: 2}) }()
		synctest.Wait()
		released := []keyrange.Handover{{From: 0, To: 0, Token: "x"}}
		if r := d.heartbeat(s, Heartbeat{Sequence: 3, Released: released}); !r.Renew {
			t.Error("the later heartbeat was not answered with grants")
		}
		if r := <-replies; r.Renew {
			t.Errorf("the overtaken heartbeat was answered with %d ranges", len(r.Grants))
		}
		d.index.put("s", version+1, done)
	})
}
