package slowstart

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// mostInASecond returns the largest number of times within a closed second that ends at or
// after from.
func mostInASecond(times []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > time.Second {
			first++
		}
		if !t.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

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
		now := start
		warmSent := rapid.IntRange(0, int(allowed*(1-margin))).Draw(t, "sentBefore")
		for range warmSent {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "warmGapMs")) * time.Millisecond)
			b.Sent(now)
			sent = append(sent, now)
		}
		highest := allowed
		for range rapid.IntRange(1, 8).Draw(t, "bursts") {
			bound := NewBound(perSecond, overage, slack)
			highest = max(highest, perSecond*overage+slack)
			b.Set(now, bound, now.Add(time.Minute))
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
		most := mostInASecond(sent, start)
		if limit := max((1-margin)*highest, 1); float64(most) > limit+1e-6 {
			t.Fatalf("%d requests within a second, %v at most", most, limit)
		}
	})
}

// Guards against a cold upstream that gets much less than it tolerates, so that requests
// are refused without need.
func TestRateIsUsed(t *testing.T) {
	for _, perSecond := range []float64{2, 10, 60, 400} {
		var b Bucket
		b.Set(start, NewBound(perSecond, 1.5, 8), at(60_000))
		n := 0
		for ms := range 10_000 {
			if b.Wait(at(ms), 1) == 0 {
				b.Sent(at(ms))
				n++
			}
		}
		if float64(n) < 10*perSecond {
			t.Errorf("%v a second: %d requests in 10 s, want the rate at least", perSecond, n)
		}
	}
}

// Guards against requests after the upstream became cold that would exceed the bound
// together with those of the second before, and against a debt that outlasts that second.
func TestRequestsBeforeColdnessCount(t *testing.T) {
	bound := NewBound(10, 1.5, 8)
	for name, c := range map[string]struct {
		sentAt      []int
		atOnce      int
		maxWaitTime time.Duration
	}{
		"none":           {atOnce: 9},
		"five":           {sentAt: []int{100, 200, 300, 400, 990}, atOnce: 4},
		"long ago":       {sentAt: slices.Repeat([]int{-100}, 20), atOnce: 9},
		"far too many":   {sentAt: slices.Repeat([]int{900}, 500), maxWaitTime: 1150 * time.Millisecond},
		"as many at all": {sentAt: slices.Repeat([]int{900}, 9), maxWaitTime: 100 * time.Millisecond},
	} {
		var b Bucket
		for _, ms := range c.sentAt {
			b.Sent(at(ms))
		}
		b.Set(at(1000), bound, at(60_000))
		n := 0
		for ; b.Wait(at(1000), 1) == 0; n++ {
			b.Sent(at(1000))
		}
		if wait := b.Wait(at(1000), 1); n != c.atOnce || (c.maxWaitTime > 0 && wait > c.maxWaitTime) {
			t.Errorf("%s: %d requests at once, want %d; then a wait of %v", name, n, c.atOnce, wait)
		}
	}
}

// Guards against a bound on warm upstreams, and against waits that outlast the coldness.
func TestBoundEnds(t *testing.T) {
	var b Bucket
	b.Set(start, NewBound(0, 1.5, 8), at(60_000))
	if b.Cold(start) || b.Wait(start, 1000) != 0 {
		t.Error("an upstream without a rate is bounded")
	}
	b.Set(start, NewBound(10, 1.5, 8), at(500))
	if wait := b.Wait(start, 1000); wait != 500*time.Millisecond {
		t.Errorf("wait of %v, want until the upstream is warm", wait)
	}
	if b.Cold(at(500)) || b.Wait(at(500), 1000) != 0 || b.UsedShare(at(500)) != 0 {
		t.Error("the bound outlasts the coldness")
	}
}

// Guards against an upstream that counts as warm before it is, or cold for ever: heartbeats
// without a time, late signs of a restart, and odd times.
func TestTracker(t *testing.T) {
	const coldStart = 10 * time.Second
	type step struct {
		ms            int
		first, assume bool
		stated        bool
		remaining     time.Duration
	}
	for name, c := range map[string]struct {
		steps []step
		until time.Time
	}{
		"no heartbeat":             {},
		"first without a time":     {[]step{{ms: 100, first: true}, {ms: 970}}, at(10_100)},
		"first says cold":          {[]step{{ms: 100, first: true, stated: true, remaining: 4 * time.Second}}, at(4100)},
		"first says warm":          {[]step{{ms: 100, first: true, stated: true}}, at(100)},
		"later without a time":     {[]step{{ms: 0, first: true, stated: true, remaining: 4 * time.Second}, {ms: 870}}, at(4000)},
		"cold again":               {[]step{{ms: 0, first: true, stated: true}, {ms: 870, stated: true, remaining: 2 * time.Second}}, at(2870)},
		"sign of a restart":        {[]step{{ms: 0, first: true, stated: true}, {ms: 100, assume: true}}, at(10_100)},
		"sign, then says warm":     {[]step{{ms: 0, first: true, stated: true}, {ms: 100, assume: true}, {ms: 870, stated: true}}, at(870)},
		"sign, then without time":  {[]step{{ms: 0, first: true, stated: true}, {ms: 100, assume: true}, {ms: 870}}, at(10_100)},
		"new incarnation unstated": {[]step{{ms: 0, first: true, stated: true}, {ms: 870, first: true}}, at(10_870)},
		"negative":                 {[]step{{ms: 50, first: true, stated: true, remaining: -time.Hour}}, at(50)},
		"far too long":             {[]step{{ms: 0, first: true, stated: true, remaining: 1<<63 - 1}}, start.Add(maxCold)},
	} {
		var tr Tracker
		for _, s := range c.steps {
			if s.assume {
				tr.Assume(at(s.ms))
				continue
			}
			tr.Heartbeat(at(s.ms), s.first, s.stated, s.remaining)
		}
		if got := tr.Until(coldStart); !got.Equal(c.until) {
			t.Errorf("%s: cold until %v, want %v", name, got, c.until)
		}
	}
}
