package sidecar

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// testConfigBound is the default time within which a change must be in force.
const testConfigBound = 2 * time.Second

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
		// The hosts report their ages also when they are asked.
		h.peer.Lock()
		h.peer.age = 300 * time.Millisecond
		h.peer.Unlock()
		h.fleet.Put(fleet.Member{Host: "a0", Zone: "z1", Region: "r1", Service: "plain", Address: "127.0.0.1:1", State: fleet.Ready})
		time.Sleep(shareOf(testConfigBound, maxCheckAge))
		before := counted.checks.Load()
		for range 100 {
			h.exchange.observe(peerConfig{Version: 1, Age: 300 * time.Millisecond, AgeKnown: true}, time.Now(), nil)
			time.Sleep(200 * time.Millisecond)
		}
		if counted.checks.Load() != before {
			t.Errorf("%d checks", counted.checks.Load()-before)
		}
		h.hangPeers()
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
	const first = 500 * time.Millisecond
	s := checkSchedule{bound: testConfigBound}
	now := time.Now()
	confirmedAt := now.Add(-time.Hour)
	for range 20 {
		s.record(now, now, true)
		delay := s.delay(now, confirmedAt, 0, false)
		if delay < minCheckBackoff || delay > maxCheckBackoff {
			t.Fatalf("delay of %v after a failed check", delay)
		}
		now = now.Add(delay)
	}
	s.record(now, now, false)
	if delay := s.delay(now, confirmedAt, first, true); delay != first {
		t.Errorf("the next check of a configuration that none confirms is after %v", delay)
	}
	if delay := s.delay(now, now, first, true); delay != first {
		t.Errorf("the first host checks after %v, want %v", delay, first)
	}
	if delay := s.delay(now, now, 0, false); delay < shareOf(testConfigBound, minCheckAge) || delay >= shareOf(testConfigBound, maxCheckAge) {
		t.Errorf("another host checks after %v", delay)
	}
}

// slowChecks is a store that loses all watches that wait and answers the others late.
type slowChecks struct {
	rowstore.Store
	delay time.Duration
	// checked receives a value when the response to a check has been determined.
	checked chan struct{}
}

func (s slowChecks) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if wait > 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	rows, version, err := s.Store.Watch(ctx, table, after, 0)
	select {
	case s.checked <- struct{}{}:
	default:
	}
	time.Sleep(s.delay)
	return rows, version, err
}

// Guards against an interval between checks that begins when a slow check ends: a change
// just after its start would be in force too late.
func TestSlowChecksDoNotDelayChange(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			checks := slowChecks{delay: checkTimeoutTested, checked: make(chan struct{})}
			h := startConfigHostWith(t, func(f *rowstore.Follower) {
				checks.Store = f.CheckStore
				f.Store, f.CheckStore = checks, checks
			})
			h.hangPeers()
			h.fleet.Put(fleet.Member{Host: "a0", Zone: "z1", Region: "r1", Service: "plain", Address: "127.0.0.1:1", State: fleet.Ready})
			time.Sleep(10 * time.Second)
			<-checks.checked
			h.publishUnseen("2")
			h.inForceWithin(2, configInForce)
		})
	}
}

// Guards against warnings of lost watches that are due to the batch delay: a check may
// find a change before the next watch is sent.
func TestChangesInBatchDelayAreNoLostWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Int64
		h := startConfigHostWith(t, func(f *rowstore.Follower) {
			checked := f.Checked
			f.Checked = func(asOf time.Time, undelivered int, err error) {
				lost.Add(int64(undelivered))
				checked(asOf, undelivered, err)
			}
		})
		for version := 2; version <= 101; version++ {
			h.publish(strconv.Itoa(version))
			time.Sleep(rand.N(2 * configBatchDelay))
		}
		if lost.Load() != 0 {
			t.Errorf("%d changes count as lost by a watch, none was", lost.Load())
		}
	})
}

// checkTimeoutTested is a little less than the time after which a check fails.
const checkTimeoutTested = 490 * time.Millisecond
