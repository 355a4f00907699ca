package admit

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an average that follows too late, that jumps with one report, and that
// goes on for ever without reports.
func TestPaceFollowsReports(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1, 0).Add(time.Duration(ms) * time.Millisecond) }
	var p Pace
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
		if l.NewUpstream(); l.Pace() != 1 {
			t.Errorf("pace %v of the next upstream, want 1", l.Pace())
		}
	})
}
