package standin

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a fence that lets work commit after its grant lapsed, or that
// stops work whose grant never lapsed. The model stores for each request the
// end of its grant and whether it has lapsed.
func TestFenceMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type work struct {
			grant  *requestGrant
			id     string
			end    int64
			lapsed bool
		}
		f := newFence()
		var units []*work
		var at int64
		highest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at += rapid.Int64Range(0, 3).Draw(t, "pass")
			for _, u := range units {
				u.lapsed = u.lapsed || at >= u.end
			}
			generation := rapid.Uint64Range(1, 4).Draw(t, "generation")
			notAfter := at + rapid.Int64Range(-2, 6).Draw(t, "ahead")
			ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2).Draw(t, "ids")
			wantRefused := generation < highest || notAfter <= at
			var err error
			if rapid.Bool().Draw(t, "extension") {
				err = f.extend(Grant{"g", generation, notAfter, ids}, at)
				for _, u := range units {
					if !wantRefused && !u.lapsed && slices.Contains(ids, u.id) {
						u.end = max(u.end, notAfter)
					}
				}
			} else {
				u := &work{id: ids[0], end: notAfter}
				u.grant, err = f.begin(Unit{Group: "g", Generation: generation, NotAfterMicros: notAfter, RequestID: u.id}, at)
				if err == nil {
					units = append(units, u)
				}
			}
			if (err != nil) != wantRefused {
				t.Fatalf("generation %d, not-after %d at %d: error %v, highest generation %d", generation, notAfter, at, err, highest)
			}
			highest = max(highest, generation)
			for _, u := range units {
				if err := f.checkCommit(u.grant, at); (err == nil) == u.lapsed {
					t.Fatalf("request %s may commit at %d: %v, lapsed %v", u.id, at, err, u.lapsed)
				}
			}
			if len(units) > 0 && rapid.Bool().Draw(t, "release") {
				f.release(units[0].grant)
				units = units[1:]
			}
		}
		if n := len(f.groups["g"].active); n != len(units) {
			t.Fatalf("%d grants are stored for %d running requests", n, len(units))
		}
	})
}

// Guards against cold starts of wrong length or number, and against work times
// that differ between runs with the same seed.
func TestWorkTimes(t *testing.T) {
	draw := func() []time.Duration {
		u := &Upstream{
			options: UpstreamOptions{WorkTime: time.Second, WorkJitter: time.Millisecond, ColdRequests: 2, ColdTime: time.Minute},
			faults:  newUpstreamFaults(1),
			rng:     newRand(1, 0),
		}
		return []time.Duration{u.workTime(), u.workTime(), u.workTime(), u.workTime()}
	}
	first, again := draw(), draw()
	for i, got := range first {
		low := time.Second
		if i < 2 {
			low += time.Minute
		}
		if got < low || got > low+time.Millisecond || got != again[i] {
			t.Errorf("request %d takes %v and %v, want %v to %v", i, got, again[i], low, low+time.Millisecond)
		}
	}
}

// Guards against response faults that affect more, fewer or other responses
// than configured.
func TestResponseFaults(t *testing.T) {
	f := newUpstreamFaults(0)
	f.onRefuse = func(bool) error { return nil }
	if err := f.set(UpstreamFaults{TruncateResponses: 2, ResponseDelayMS: 5, ResponseDelayShare: 0.5, Seed: 3}); err != nil {
		t.Fatal(err)
	}
	delayed := 0
	for i := range 100 {
		truncate, delay := f.responseFault()
		if truncate != (i < 2) {
			t.Errorf("response %d: truncate %v", i, truncate)
		}
		if delay == 5*time.Millisecond {
			delayed++
		}
	}
	if delayed < 30 || delayed > 70 {
		t.Errorf("%d of 100 responses were delayed, want about half", delayed)
	}
	if err := f.set(UpstreamFaults{ResponseDelayMS: 5}); err != nil {
		t.Fatal(err)
	}
	if _, delay := f.responseFault(); delay != 5*time.Millisecond {
		t.Errorf("a response was delayed by %v, want 5 ms for all", delay)
	}
}
