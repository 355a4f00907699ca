package keyrange

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/boottime"
)

// Guards against freeing the keys of a host that renews its lease, and of all
// hosts at once after an outage of the store.
func TestLeaseWatch(t *testing.T) {
	const lease = 7 * time.Second
	var w LeaseWatch
	at := func(s float64) boottime.Time { return boottime.Time(s * float64(time.Second)) }
	for s := 1.0; s <= 12; s++ {
		w.Observe(at(s), map[string]Lease{"renews": {Version: int64(s)}, "silent": {Version: 1}}, time.Second)
		if w.Lapsed(at(s), "renews", lease) {
			t.Fatalf("second %v: a renewed lease counts as lapsed", s)
		}
		if s <= 8 && w.Lapsed(at(s), "silent", lease) {
			t.Fatalf("lapsed after %v s of observations", s-1)
		}
	}
	if !w.Lapsed(at(12), "silent", lease) {
		t.Error("not lapsed after 11 s")
	}
	// The store is unavailable from second 12 to 22.
	if w.Lapsed(at(22), "renews", lease) {
		t.Error("lapsed while observations are interrupted")
	}
	w.Observe(at(22), map[string]Lease{"renews": {Version: 12}, "silent": {Version: 1}}, time.Second)
	if w.Lapsed(at(22.5), "renews", lease) {
		t.Error("lapsed immediately after an outage of the store")
	}
	for s := 23.0; s <= 25; s++ {
		w.Observe(at(s), map[string]Lease{"renews": {Version: 12}, "silent": {Version: 1}}, time.Second)
	}
	if !w.Lapsed(at(25), "renews", lease) {
		t.Error("not lapsed 3 s after the store's return")
	}
}

// Guards against ranges that stay with a host which never had a lease: it counts
// as lapsed too, but only after the full duration of a lease.
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

// Guards against keys that are not served for the duration of a lease because the
// hosts that could free them have just started: the row contains the end of the
// lease.
func TestLeaseWatchSeesEndedLeaseAfterRestart(t *testing.T) {
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
		t.Error("lapsed before hosts could renew after an outage")
	}
	w.Observe(at(2), leases(33*time.Second), time.Second)
	w.Observe(at(3), leases(34*time.Second), time.Second)
	if !w.Lapsed(at(3), "ended", 9*time.Second) {
		t.Error("not lapsed although its end has passed")
	}
	if w.Lapsed(at(3), "renews", 9*time.Second) || w.Lapsed(at(3), "silent", 9*time.Second) {
		t.Error("a lease whose end has not passed or is unknown counts as lapsed")
	}
	w.ReadFailed()
	if w.Lapsed(at(3.5), "ended", 9*time.Second) {
		t.Error("lapsed although the leases could not be read")
	}
	w.Observe(at(4), leases(35*time.Second), time.Second)
	if w.Lapsed(at(6), "ended", 9*time.Second) {
		t.Error("lapsed before hosts could renew after a failed read")
	}
}

// Guards against an end of a lease on the store's clock that is earlier than the
// end on the holder's clock: the clocks may run at different speeds, and calls
// take time.
func TestStoreClockUpperBoundIsNeverBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := 1 + float64(rapid.IntRange(-20, 20).Draw(t, "speed"))/1000
		store := func(local boottime.Time) time.Duration {
			return time.Hour + time.Duration(float64(local)*speed)
		}
		var c StoreClock
		sent := boottime.Time(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "sent"))
		latency := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "way"))
		c.Observe(sent, store(sent.Add(latency)))
		at := sent.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later")))
		if got := c.UpperBound(at); got < store(at) {
			t.Fatalf("upper bound %v, but the store's clock shows %v", got, store(at))
		}
	})
}

// Guards against an upper bound that the store's clock exceeds because its times are whole
// milliseconds.
func TestStoreClockUpperBoundAllowsForRounding(t *testing.T) {
	shown := func(local boottime.Time) time.Duration { return time.Duration(local).Truncate(time.Millisecond) }
	const sent = boottime.Time(5*time.Millisecond + 900*time.Microsecond)
	var c StoreClock
	c.Observe(sent, shown(sent))
	at := sent.Add(200 * time.Microsecond)
	if got := c.UpperBound(at); got < shown(at) {
		t.Errorf("upper bound %v, but the store's clock shows %v", got, shown(at))
	}
}
