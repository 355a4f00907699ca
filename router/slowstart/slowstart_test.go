package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against more requests in a sliding second than are allowed, less the margin: at
// bursts after idle times, after the bound changes, and with requests that were sent before
// the upstream was known to be cold.
func TestBoundHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 300).Draw(t, "perSecond")
		overage, slack := rapid.Float64Range(1, 3).Draw(t, "overage"), rapid.Float64Range(0, 20).Draw(t, "slack")
		allowed := perSecond*overage + slack
		var b Bucket
		var sent []time.Time
		now := at(0)
		for range rapid.IntRange(0, int(allowed*(1-margin))).Draw(t, "sentBefore") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "warmGapMs")) * time.Millisecond)
			b.Sent(now)
			sent = append(sent, now)
		}
		for range rapid.IntRange(1, 8).Draw(t, "bursts") {
			allowed = max(allowed, perSecond*overage+slack)
			b.Set(now, NewBound(perSecond, overage, slack), now.Add(time.Minute))
			for range rapid.IntRange(1, 200).Draw(t, "attempts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gapMs")) * time.Millisecond)
				if b.Wait(now, 1) == 0 {
					b.Sent(now)
					sent = append(sent, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "idleMs")) * time.Millisecond)
			if rapid.Bool().Draw(t, "otherBound") {
				perSecond = rapid.Float64Range(0.5, 300).Draw(t, "nextPerSecond")
			}
		}
		first, limit := 0, max((1-margin)*allowed, 1)+1e-6
		for i := range sent {
			for sent[i].Sub(sent[first]) > time.Second {
				first++
			}
			if float64(i-first+1) > limit {
				t.Fatalf("%d requests within a second, %v at most", i-first+1, limit)
			}
		}
	})
}

// Guards against a debt that outlasts the second before the upstream became cold, and
// against waits and bounds that outlast the coldness.
func TestBoundEnds(t *testing.T) {
	var b Bucket
	for range 500 {
		b.Sent(at(0))
	}
	b.Set(at(100), NewBound(10, 1.5, 8), at(2000))
	if wait := b.Wait(at(100), 1); wait > 1150*time.Millisecond {
		t.Errorf("wait of %v after 500 requests, want about the second in which they count", wait)
	}
	if wait := b.Wait(at(1500), 1000); wait != 500*time.Millisecond {
		t.Errorf("wait of %v, want until the upstream is warm", wait)
	}
	if b.Cold(at(2000)) || b.Wait(at(2000), 1000) != 0 {
		t.Error("the bound outlasts the coldness")
	}
}

// Guards against an upstream that counts as warm before it is, or cold for ever: heartbeats
// without a time, late signs of a restart, and odd times.
func TestTracker(t *testing.T) {
	// In steps at 0, 100 and 870 ms: f is the first heartbeat, h a later one, a a sign of a
	// restart, and a digit the seconds that the heartbeat before it states.
	for steps, until := range map[string]time.Time{
		"": {}, "f": at(10_000), "fh": at(10_000), "f4": at(4000), "f0": at(0), "f4h": at(4000),
		"f0h2": at(2100), "f0a": at(10_100), "f0ah0": at(870), "f0ah": at(10_100), "f0f": at(10_100),
	} {
		var tr Tracker
		n := -1
		for _, s := range steps {
			if s >= '0' && s <= '9' {
				tr.Heartbeat(at([]int{0, 100, 870}[n]), false, true, time.Duration(s-'0')*time.Second)
				continue
			}
			n++
			if s == 'a' {
				tr.Assume(at(100))
				continue
			}
			tr.Heartbeat(at([]int{0, 100, 870}[n]), s == 'f', false, 0)
		}
		if got := tr.Until(10 * time.Second); !got.Equal(until) {
			t.Errorf("%q: cold until %v, want %v", steps, got, until)
		}
	}
	var tr Tracker
	if tr.Heartbeat(at(0), true, true, 1<<63-1); !tr.Until(0).Equal(at(0).Add(maxCold)) {
		t.Errorf("cold until %v after an odd time", tr.Until(0))
	}
}
