package sidecar

import (
	"cmp"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// grantHost is a host without network and tasks whose upstream is to be granted the only
// range of the key map.
type grantHost struct {
	*Sidecar
	beat Heartbeat
}

// newGrantHost returns a host with a lease, before the heartbeat that brings the grant.
func newGrantHost(t *testing.T) *grantHost {
	t.Helper()
	h := &grantHost{Sidecar: newEvacuationHost(rowstore.NewMemory())}
	config, err := decodeTestConfig([]byte("1"))
	table, invalid := vhost.NewTable(config)
	if err != nil || invalid != nil {
		t.Fatal(err, invalid)
	}
	h.config.table.Store(table)
	h.evacuation.mergePolled("-", "", "h1")
	h.beat = Heartbeat{Instance: "i-h0", Started: 1, Sequence: 1, Service: "keyed", Slots: 4}
	h.HandleHeartbeat(h.beat)
	h.keys.leaseEnd = boottime.Now().Add(leaseDuration)
	h.assign("h0", 1)
	return h
}

// assign gives all keys to the upstream of a host.
func (h *grantHost) assign(host string, version int64) {
	holder := keyrange.Holder{Host: host, Instance: "i-" + host, Started: 1}
	h.index.put("keyed", version, &keyrange.Map{Generation: uint64(version), Ranges: []keyrange.Range{{To: keyrange.MaxKey, Holder: holder, Generation: uint64(version)}}})
}

// heartbeat sends the next heartbeat, whose response grants the keys.
func (h *grantHost) heartbeat() {
	h.beat.Sequence++
	h.HandleHeartbeat(h.beat)
}

func (h *grantHost) beginStop() {
	h.stopStartedAt.Store(int64(boottime.Now()))
	h.stopping.Store(true)
	h.keys.wake()
}

func (h *grantHost) evacuate() {
	h.evacuation.applyRow(rowstore.Row{Key: rowstore.Key{Table: configKey.Table, Name: "empty/z1"}, Version: 9})
}

// Guards against requests that are refused by the new holder of their key because the map
// names it before its upstream has the grant, against requests that go on waiting when the
// grant will not come, against slots that they occupy meanwhile, and against waiting where
// no grant is on its way. The calls come from another router, which does not send the
// objective of 1 s.
func TestRequestWaitsForAnnouncedGrant(t *testing.T) {
	const later, limit = 100 * time.Millisecond, time.Second / moveWaitDivisor
	for name, c := range map[string]struct {
		// before changes the host before the call, and during while it waits.
		before, during func(h *grantHost)
		left           time.Duration
		leaves         bool
		waited         time.Duration
		// kind is that of the refusal. Requests that are not refused are sent to the upstream,
		// where nothing listens.
		kind errkind.Kind
	}{
		"granted":                {during: (*grantHost).heartbeat, waited: later},
		"not granted":            {waited: limit, kind: errkind.NoOwner},
		"short deadline":         {left: 2 * later, waited: 2 * later / moveWaitDivisor, kind: errkind.NoOwner},
		"caller leaves":          {leaves: true, waited: later, kind: errkind.CallerLeft},
		"map changes":            {during: func(h *grantHost) { h.assign("h1", 2) }, waited: later, kind: errkind.NoOwner},
		"newer map, same holder": {during: func(h *grantHost) { h.assign("h0", 2); h.heartbeat() }, waited: later},
		"upstream leaves":        {during: func(h *grantHost) { h.Withdraw(Withdrawal{Instance: "i-h0", Started: 1}) }, waited: later, kind: errkind.NoOwner},
		"router stops":           {during: (*grantHost).beginStop, waited: later, kind: errkind.NoOwner},
		"zone evacuated":         {during: (*grantHost).evacuate, waited: later, kind: errkind.NoOwner},
		"held already":           {before: (*grantHost).heartbeat},
		"other holder":           {before: func(h *grantHost) { h.assign("h1", 2) }, kind: errkind.NoOwner},
		"no lease":               {before: func(h *grantHost) { h.keys.leaseEnd = 0 }, kind: errkind.NoOwner},
		"upstream silent":        {before: func(h *grantHost) { time.Sleep(2 * h.keys.maxHeartbeatHold) }, kind: errkind.NoOwner},
		"too many wait":          {before: func(h *grantHost) { h.gate.grantWaits.Add(maxGrantWaits) }, kind: errkind.NoOwner},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newGrantHost(t)
				if c.before != nil {
					c.before(h)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				left := cmp.Or(c.left, 4*time.Second)
				call := &Call{Method: "GET", Host: "test", Target: "/keys/x", Service: "keyed", Keyed: true, Key: 666, Deadline: start.Add(left), Goal: start.Add(time.Second)}
				time.AfterFunc(later, func() {
					if _, busy, waiting := h.gate.limiter.Load(); busy+waiting != 0 {
						t.Errorf("%d slots taken and %d waiting for one", busy, waiting)
					}
					if c.during != nil {
						c.during(h)
					}
					if c.leaves {
						cancel()
					}
				})
				err := h.gate.serve(ctx, call).Err
				if waited := time.Since(start); waited != c.waited {
					t.Errorf("waited %v, want %v", waited, c.waited)
				}
				if want := cmp.Or(c.kind, errkind.UpstreamDown); err.Kind != want {
					t.Errorf("error %v, want kind %s", err, want)
				}
			})
		})
	}
}
