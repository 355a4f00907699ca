package admit

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

// Guards against an average that follows too late, that jumps with one report, and that
// goes on for ever without reports.
func TestPaceFollowsReports(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1, 0).Add(time.Duration(ms) * time.Millisecond) }
	var p Pace
	if p.Factor(at(0)) != 1 {
		t.Error("a factor without reports")
	}
	for ms := range 1000 {
		p.Observe(at(ms), 1)
	}
	p.Observe(at(1000), 3)
	if f := p.Factor(at(1000)); f != 1 {
		t.Errorf("factor %v at the moment of a single report, want 1", f)
	}
	for ms := 1001; ms <= 1200; ms++ {
		p.Observe(at(ms), 3)
	}
	if f := p.Factor(at(1200)); f < 2.6 || f > 3 {
		t.Errorf("factor %v 200 ms after a change from 1 to 3", f)
	}
	if f := p.Factor(at(1200 + 2001)); f != 1 {
		t.Errorf("factor %v without reports for 2 s, want 1", f)
	}
	p.Observe(at(9000), math.Inf(1))
	if f := p.Factor(at(9000)); f != maxPace {
		t.Errorf("factor %v after an odd report, want %v", f, maxPace)
	}
}

// Guards against waits that are estimated as if work took as long as usual, and against a
// pace that counts twice because it is in the measured times as well.
func TestPaceScalesExpectedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		observeService(t, l, 100*time.Millisecond)
		l.ObservePace(3)
		if got := l.MeanServiceTime(WorkClass{}); got != 300*time.Millisecond {
			t.Errorf("mean service time %v at three times the usual time, want 300ms", got)
		}
		for range 20 {
			l.ObservePace(3)
			observeService(t, l, 300*time.Millisecond)
		}
		if got := l.MeanServiceTime(WorkClass{}); got < 290*time.Millisecond || got > 310*time.Millisecond {
			t.Errorf("mean service time %v after such requests, want 300ms still", got)
		}
		release, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		_, err = l.Acquire(t.Context(), WorkClass{}, bounds(UntilGoal, 500*time.Millisecond, time.Second))
		refusal, ok := err.(*errkind.Error)
		if !ok || refusal.RetryAfter < 290*time.Millisecond || refusal.RetryAfter > 310*time.Millisecond {
			t.Errorf("got %v, want a refusal at once with the time of the request before", err)
		}
		release(Completed)
		l.NewUpstream()
		if got := l.Pace(); got != 1 {
			t.Errorf("pace %v of the next upstream, want 1", got)
		}
	})
}
