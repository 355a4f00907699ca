package keyrange

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/boottime"
)

// Guards against taking keys from a host that renews its lease, and from all
// hosts at once after an outage of the store.
func TestLeaseWatch(t *testing.T) {
	const lease = 7 * time.Second
	var w LeaseWatch
	at := func(s float64) boottime.Time { return boottime.Time(s * float64(time.Second)) }
	for s := 1.0; s <= 12; s++ {
		w.Observe(at(s), map[string]Lease{"renews": {Version: int64(s)}, "silent": {Version: 1}}, time.Second)
		if w.Lapsed(at(s), "renews", lease) {
			t.Fatalf("second %v: a lease that is renewed counts as lapsed", s)
		}
		if s <= 8 && w.Lapsed(at(s), "silent", lease) {
			t.Fatalf("lapsed after %v s of observation", s-1)
		}
	}
	if !w.Lapsed(at(12), "silent", lease) {
		t.Error("not lapsed after 11 s")
	}
	// The store is away from second 12 to 22.
	if w.Lapsed(at(22), "renews", lease) {
		t.Error("lapsed without an observation")
	}
	w.Observe(at(22), map[string]Lease{"renews": {Version: 12}, "silent": {Version: 1}}, time.Second)
	if w.Lapsed(at(22.5), "renews", lease) {
		t.Error("lapsed at once after an outage of the store")
	}
	for s := 23.0; s <= 25; s++ {
		w.Observe(at(s), map[string]Lease{"renews": {Version: 12}, "silent": {Version: 1}}, time.Second)
	}
	if !w.Lapsed(at(25), "renews", lease) {
		t.Error("not lapsed 3 s after the store's return")
	}
}

// Guards against a host that holds ranges without ever having had a lease: it
// must lapse too, but only after a whole lease.
func TestLeaseWatchUnknownHost(t *testing.T) {
	var w LeaseWatch
	for s := range 12 {
		now := boottime.Time(s+1) * second
		w.Observe(now, map[string]Lease{}, time.Second)
		if got, want := w.Lapsed(now, "never", 7*time.Second), s >= 8; got != want {
			t.Errorf("second %d: lapsed %v, want %v", s, got, want)
		}
	}
}

// Guards against keys that nobody serves for a whole lease because the hosts that
// could free them have just started: the row tells when the lease ended.
func TestEndedLeaseIsSeenAfterARestart(t *testing.T) {
	var w LeaseWatch
	leases := func(readAt time.Duration) map[string]Lease {
		return map[string]Lease{
			"ended":  {Version: 1, End: 30 * time.Second, ReadAt: readAt},
			"renews": {Version: 2, End: readAt + 5*time.Second, ReadAt: readAt},
			"silent": {Version: 3, ReadAt: readAt},
		}
	}
	at := func(s float64) boottime.Time { return boottime.Time(time.Hour + time.Duration(s*float64(time.Second))) }
	w.Observe(at(0), leases(31*time.Second), time.Second)
	if w.Lapsed(at(1), "ended", 9*time.Second) {
		t.Error("taken before the others could renew after an outage")
	}
	w.Observe(at(2), leases(33*time.Second), time.Second)
	w.Observe(at(3), leases(34*time.Second), time.Second)
	if !w.Lapsed(at(3), "ended", 9*time.Second) {
		t.Error("not lapsed although its end has passed")
	}
	if w.Lapsed(at(3), "renews", 9*time.Second) || w.Lapsed(at(3), "silent", 9*time.Second) {
		t.Error("a lease that has not ended, or that does not tell, counts as lapsed")
	}
	w.ReadFailed()
	if w.Lapsed(at(3.5), "ended", 9*time.Second) {
		t.Error("taken although the leases could not be read")
	}
	w.Observe(at(4), leases(35*time.Second), time.Second)
	if w.Lapsed(at(6), "ended", 9*time.Second) {
		t.Error("taken before the others could renew after a failed reading")
	}
}

// Guards against an end of a lease on the store's clock before the holder's own:
// the clocks may run at different speeds, and answers take time.
func TestStoreClockIsNeverBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := 1 + float64(rapid.IntRange(-20, 20).Draw(t, "speed"))/1000
		store := func(local boottime.Time) time.Duration {
			return time.Hour + time.Duration(float64(local)*speed)
		}
		var c StoreClock
		sent := boottime.Time(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "sent"))
		way := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "way"))
		c.Observe(sent, store(sent.Add(way)))
		at := sent.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later")))
		if got := c.UpperBound(at); got < store(at) {
			t.Fatalf("%v, and the store's clock shows %v", got, store(at))
		}
	})
}
