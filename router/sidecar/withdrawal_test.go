package sidecar

import (
	"fmt"
	"testing"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
)

// Guards against requests to an upstream that leaves, because its notice came before the
// first heartbeat that its restarted router got, and that heartbeat was late.
func TestNoticeBeforeFirstHeartbeatIsKept(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	started := now.Add(-time.Minute).UnixMilli()
	for name, w := range map[string]Withdrawal{
		"id only":   {Instance: "a"},
		"with life": {Instance: "a", Started: started},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h"}
			u.withdraw(now, w)
			s, _, _ := u.recordHeartbeat(now.Add(2*time.Second), Heartbeat{Instance: "a", Started: started, Sequence: 7})
			if !s.leavingSince.Equal(now) || !s.withdrawn {
				t.Errorf("leaving since %v, withdrawn %v; want since the notice", s.leavingSince, s.withdrawn)
			}
		})
	}
}

// Guards against a notice that withdraws another incarnation than the one that gave it: a
// later one under the same id, or the present one when the notice of an earlier one is late.
func TestNoticeOfOtherIncarnationWithdrawsNothing(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for name, c := range map[string]struct {
		notice  Withdrawal
		current fleet.Incarnation
	}{
		"other id":                    {Withdrawal{Instance: "a"}, fleet.Incarnation{Instance: "b", Started: 1}},
		"other start":                 {Withdrawal{Instance: "a", Started: 1}, fleet.Incarnation{Instance: "a", Started: 2}},
		"same id, started afterwards": {Withdrawal{Instance: "a"}, fleet.Incarnation{Instance: "a", Started: now.Add(time.Minute).UnixMilli()}},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h"}
			u.withdraw(now, c.notice)
			s, _, _ := u.recordHeartbeat(now.Add(time.Minute), Heartbeat{Instance: c.current.Instance, Started: c.current.Started, Sequence: 1})
			if !s.leavingSince.IsZero() || s.withdrawn {
				t.Errorf("the notice %+v withdrew %+v", c.notice, c.current)
			}
		})
	}
	u := &localUpstream{host: "h"}
	u.recordHeartbeat(now, Heartbeat{Instance: "a", Started: 5, Sequence: 1})
	for _, w := range []Withdrawal{{Instance: "a", Started: 4}, {Instance: "b"}} {
		if u.withdraw(now, w) || u.get().withdrawn {
			t.Errorf("the late notice %+v of an earlier incarnation withdrew the present one", w)
		}
	}
}

// Guards against an upstream that gets no requests because the incarnation before it, under
// the same id, gave notice shortly before it started and did not tell its own start.
func TestNoticeWithdrawsOneIncarnation(t *testing.T) {
	notice := time.UnixMilli(1_000_000)
	earlier := Heartbeat{Instance: "a", Started: notice.Add(-time.Minute).UnixMilli(), Sequence: 9}
	next := Heartbeat{Instance: "a", Started: notice.Add(maxClockStep / 2).UnixMilli(), Sequence: 1}
	for name, play := range map[string]func(u *localUpstream){
		"known when it gives notice": func(u *localUpstream) {
			u.recordHeartbeat(notice, earlier)
			u.withdraw(notice, Withdrawal{Instance: "a"})
		},
		"known afterwards": func(u *localUpstream) {
			u.withdraw(notice, Withdrawal{Instance: "a"})
			u.recordHeartbeat(notice, earlier)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h", heartbeatInterval: testBeat}
			play(u)
			if !u.get().withdrawn {
				t.Error("the incarnation that gave notice is not withdrawn")
			}
			s, verdict, _ := u.recordHeartbeat(notice.Add(maxClockStep), next)
			if verdict != heartbeatCurrent || s.withdrawn || !s.leavingSince.IsZero() {
				t.Errorf("the next incarnation was taken for %d, withdrawn %v, leaving since %v", verdict, s.withdrawn, s.leavingSince)
			}
		})
	}
}

// Guards against notices that use more and more memory, and against a flood of them that
// pushes out nothing but the oldest.
func TestKeptNoticesAreBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var ws withdrawals
	add := func(at time.Time, i int) {
		ws.add(acceptedWithdrawal{Withdrawal: Withdrawal{Instance: fmt.Sprint(i)}, at: at})
	}
	const last = 3*maxWithdrawals - 1
	for i := range last + 1 {
		add(now, i)
	}
	add(now.Add(time.Second), last)
	if len(ws) != maxWithdrawals {
		t.Errorf("%d notices are kept, want %d", len(ws), maxWithdrawals)
	}
	newest := upstreamState{holder: keyrange.Holder{Instance: fmt.Sprint(last), Started: 1}}
	applied := newest
	if ws.apply(now, &applied); !applied.withdrawn || !applied.leavingSince.Equal(now) {
		t.Errorf("the newest notice: withdrawn %v, since %v; want the time of the first copy", applied.withdrawn, applied.leavingSince)
	}
	applied = newest
	if ws.apply(now.Add(withdrawalMemory+time.Second), &applied); applied.withdrawn {
		t.Error("an old notice is still in force")
	}
}
