package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// newDriverWithIncomingRange returns a driver with a valid lease to which h0 is moving a
// range, and the map in which the move is done.
func newDriverWithIncomingRange(t *testing.T) (d *keyDriver, s upstreamState, done *keyrange.Map) {
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

// Guards against moved keys that no upstream serves until the next heartbeat of the new
// holder.
func TestHeartbeatWaitsForIncomingKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, done := newDriverWithIncomingRange(t)
		_, version := d.index.get("s")
		replies := make(chan HeartbeatResponse, 1)
		go func() { replies <- d.handleHeartbeat(s, Heartbeat{Sequence: 2}) }()
		synctest.Wait()
		d.index.put("s", version+1, done)
		r := <-replies
		if len(r.Grants) != 5 || r.Grants[0].Handover != "token" {
			t.Errorf("grants %+v, want the moved range with its handover among five", r.Grants)
		}
	})
}

// Guards against heartbeat responses that exceed the timeout of the upstream when the
// keys do not arrive.
func TestHeartbeatWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, _ := newDriverWithIncomingRange(t)
		before := time.Now()
		r := d.handleHeartbeat(s, Heartbeat{Sequence: 2})
		if took := time.Since(before); took > maxHeartbeatWait {
			t.Errorf("response after %v", took)
		}
		if len(r.Grants) != 4 {
			t.Errorf("%d ranges granted, want the four that it holds", len(r.Grants))
		}
	})
}

// Guards against a late response to an earlier heartbeat that grants keys which the
// response to a later heartbeat has withdrawn.
func TestSupersededHeartbeatGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s, done := newDriverWithIncomingRange(t)
		_, version := d.index.get("s")
		replies := make(chan HeartbeatResponse, 1)
		go func() { replies <- d.handleHeartbeat(s, Heartbeat{Sequence: 2}) }()
		synctest.Wait()
		released := []keyrange.Handover{{From: 0, To: 0, Token: "x"}}
		if r := d.handleHeartbeat(s, Heartbeat{Sequence: 3, Released: released}); !r.Renew {
			t.Error("the response to the later heartbeat has no grants")
		}
		if r := <-replies; r.Renew {
			t.Errorf("the response to the superseded heartbeat has %d ranges", len(r.Grants))
		}
		d.index.put("s", version+1, done)
	})
}
