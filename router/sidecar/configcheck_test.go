package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// countingStore counts the checks that a store receives.
type countingStore struct {
	rowstore.Store
	checks atomic.Int64
}

func (c *countingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if wait == 0 {
		c.checks.Add(1)
	}
	return c.Store.Watch(ctx, table, after, wait)
}

// Guards against a fleet in which each host checks with the store although another one has
// just done so.
func TestConfirmationOfOtherHostSavesChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counted := &countingStore{}
		h := startConfigHostWith(t, func(f *rowstore.Follower) {
			counted.Store = f.CheckStore
			f.CheckStore = counted
		})
		h.fleet.Put(fleet.Member{Host: "a0", Zone: "z1", Region: "r1", Service: "plain", Address: "127.0.0.1:1", State: fleet.Ready})
		time.Sleep(maxCheckAge)
		before := counted.checks.Load()
		for range 100 {
			h.exchange.observe(peerConfig{Version: 1, Age: 300 * time.Millisecond, AgeKnown: true}, time.Now(), nil)
			time.Sleep(200 * time.Millisecond)
		}
		if counted.checks.Load() != before {
			t.Errorf("%d checks", counted.checks.Load()-before)
		}
		time.Sleep(10 * time.Second)
		if counted.checks.Load() == before {
			t.Error("no check although no host confirms the configuration")
		}
	})
}

// Guards against a confirmation that counts for a configuration which is older than the
// confirmed one.
func TestConfirmationOfNewerVersionIsIgnored(t *testing.T) {
	now := time.Now()
	c := &currentConfig{source: ConfigSource{Key: configKey, Decode: decodeTestConfig}, changed: func() {}}
	c.applyRow(rowstore.Row{Key: configKey, Value: []byte("3"), Version: 1})
	for _, step := range []struct {
		version uint64
		at      time.Time
		want    time.Time
	}{
		{3, now, now},
		{4, now.Add(time.Second), now},
		{2, now.Add(2 * time.Second), now.Add(2 * time.Second)},
		{3, now.Add(time.Second), now.Add(2 * time.Second)},
	} {
		c.confirm(step.version, step.at)
		if got := c.lastConfirmed(); !got.Equal(step.want) {
			t.Errorf("after version %d at %v: confirmed at %v, want %v", step.version, step.at, got, step.want)
		}
	}
}

// Guards against checks without a delay while the store does not respond, and against a
// backoff that outlasts the limit for a change.
func TestFailedChecksBackOff(t *testing.T) {
	var s checkSchedule
	now := time.Now()
	confirmedAt := now.Add(-time.Hour)
	for range 20 {
		s.record(now, true)
		delay := s.delay(now, confirmedAt, false)
		if delay < minCheckBackoff || delay > maxCheckBackoff {
			t.Fatalf("delay of %v after a failed check", delay)
		}
		now = now.Add(delay)
	}
	s.record(now, false)
	if delay := s.delay(now, confirmedAt, true); delay != firstHostCheckAge {
		t.Errorf("the next check of a configuration that none confirms is after %v", delay)
	}
	if delay := s.delay(now, now, true); delay != firstHostCheckAge {
		t.Errorf("the first host checks after %v, want %v", delay, firstHostCheckAge)
	}
	if delay := s.delay(now, now, false); delay < minCheckAge || delay >= maxCheckAge {
		t.Errorf("another host checks after %v", delay)
	}
}
