package sidecar

import (
	"testing"
	"time"
)

// testBeat is the heartbeat interval of the upstreams in the tests of incarnations.
const testBeat = time.Second

// lifeStep is one heartbeat, with times in milliseconds of one time of day, and what it must
// be taken for.
type lifeStep struct {
	at       int64
	instance string
	started  int64
	sequence int64
	draining bool
	want     heartbeatVerdict
}

// playHeartbeats records the heartbeats and checks what they are taken for.
func playHeartbeats(t *testing.T, u *localUpstream, steps []lifeStep) {
	t.Helper()
	for i, s := range steps {
		h := Heartbeat{Instance: s.instance, Started: s.started, Sequence: s.sequence, Draining: s.draining, Slots: 1}
		state, verdict, _ := u.recordHeartbeat(time.UnixMilli(s.at), h)
		if verdict != s.want {
			t.Errorf("step %d: %+v was taken for %d", i, s, verdict)
		}
		if isOwn := state.holder.Instance == s.instance && state.holder.Started == s.started; isOwn != (s.want != heartbeatUnproven) {
			t.Errorf("step %d: %+v left %+v as the current incarnation", i, s, state.holder)
		}
	}
}

// Guards against heartbeats of earlier incarnations that replace the current one, and against
// a restarted upstream that waits to be believed.
func TestHeartbeatsOfEarlierIncarnationsAreIgnored(t *testing.T) {
	t.Parallel()
	u := &localUpstream{host: "h", heartbeatInterval: testBeat}
	playHeartbeats(t, u, []lifeStep{
		{at: 1000, instance: "a", started: 900, sequence: 1, want: heartbeatCurrent},
		{at: 3000, instance: "a", started: 900, sequence: 3, want: heartbeatCurrent},
		{at: 3100, instance: "a", started: 900, sequence: 2, want: heartbeatOutdated},
		{at: 3600, instance: "a", started: 3500, sequence: 1, want: heartbeatCurrent},
		{at: 3700, instance: "a", started: 900, sequence: 4, want: heartbeatUnproven},
		{at: 4600, instance: "b", started: 4500, sequence: 1, want: heartbeatCurrent},
		{at: 4700, instance: "a", started: 900, sequence: 5, want: heartbeatUnproven},
		{at: 5600, instance: "b", started: 4500, sequence: 2, want: heartbeatCurrent},
		{at: 5700, instance: "a", started: 900, sequence: 6, want: heartbeatUnproven},
		// Its clock is ahead by less than maxClockSkew.
		{at: 6500, instance: "c", started: 6900, sequence: 1, want: heartbeatCurrent},
	})
	if u.withdraw(time.UnixMilli(5800), Withdrawal{Instance: "a"}) {
		t.Error("the notice of an earlier incarnation was accepted")
	}
}

// Guards against requests to an upstream that leaves, because it started, by a clock that had
// stepped back, before its earlier incarnation, and its heartbeats were confirmed and dropped.
func TestIncarnationWithLowerStartIsBelieved(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]lifeStep{
		"router's clock was right": {
			{at: 1000, instance: "a", started: 3400, sequence: 1, want: heartbeatCurrent},
			{at: 2000, instance: "a", started: 3400, sequence: 2, want: heartbeatCurrent},
			{at: 2800, instance: "a", started: 2700, sequence: 1, want: heartbeatCurrent},
			{at: 3800, instance: "a", started: 2700, sequence: 2, draining: true, want: heartbeatCurrent},
		},
		"heartbeat of the earlier one after the start": {
			{at: 1000, instance: "a", started: 3400, sequence: 1, want: heartbeatCurrent},
			{at: 2750, instance: "a", started: 3400, sequence: 2, want: heartbeatCurrent},
			{at: 2800, instance: "a", started: 2700, sequence: 1, want: heartbeatUnproven},
			{at: 3800, instance: "a", started: 2700, sequence: 2, want: heartbeatUnproven},
			{at: 4800, instance: "a", started: 2700, sequence: 3, want: heartbeatCurrent},
			{at: 5800, instance: "a", started: 2700, sequence: 4, draining: true, want: heartbeatCurrent},
		},
		"notice before it is believed": {
			{at: 2750, instance: "a", started: 3400, sequence: 9, want: heartbeatCurrent},
			{at: 2800, instance: "a", started: 2700, sequence: 1, draining: true, want: heartbeatUnproven},
			{at: 4800, instance: "a", started: 2700, sequence: 3, draining: true, want: heartbeatCurrent},
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h", heartbeatInterval: testBeat}
			playHeartbeats(t, u, steps)
			if u.get().leavingSince.IsZero() {
				t.Error("the notice that it leaves was dropped")
			}
		})
	}
}

// Guards against an incarnation that has ended and comes back with late heartbeats, which
// would hide the notice of the current one.
func TestLateHeartbeatsDoNotBringAnIncarnationBack(t *testing.T) {
	t.Parallel()
	for name, late := range map[string][]lifeStep{
		"one, with the current one silent": {
			{at: 9000, instance: "a", started: 900, sequence: 5, want: heartbeatUnproven},
		},
		"several at once": {
			{at: 9000, instance: "a", started: 900, sequence: 5, want: heartbeatUnproven},
			{at: 9010, instance: "a", started: 900, sequence: 6, want: heartbeatUnproven},
			{at: 9020, instance: "a", started: 900, sequence: 7, want: heartbeatUnproven},
		},
		"out of order": {
			{at: 9000, instance: "a", started: 900, sequence: 7, want: heartbeatUnproven},
			{at: 9900, instance: "a", started: 900, sequence: 6, want: heartbeatUnproven},
		},
		"known ones": {
			{at: 9000, instance: "a", started: 900, sequence: 1, want: heartbeatUnproven},
			{at: 9900, instance: "a", started: 900, sequence: 2, want: heartbeatUnproven},
		},
		"start in the future": {
			{at: 9000, instance: "a", started: 99_000, sequence: 1, want: heartbeatUnproven},
		},
		"never seen, started before": {
			{at: 9000, instance: "c", started: 2000, sequence: 3, want: heartbeatUnproven},
		},
		"while the current one goes on": {
			{at: 4100, instance: "a", started: 900, sequence: 4, want: heartbeatUnproven},
			{at: 4600, instance: "a", started: 900, sequence: 5, want: heartbeatUnproven},
			{at: 5000, instance: "a", started: 3500, sequence: 3, draining: true, want: heartbeatCurrent},
			{at: 5600, instance: "a", started: 900, sequence: 6, want: heartbeatUnproven},
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := &localUpstream{host: "h", heartbeatInterval: testBeat}
			playHeartbeats(t, u, []lifeStep{
				{at: 3000, instance: "a", started: 900, sequence: 3, want: heartbeatCurrent},
				{at: 3600, instance: "a", started: 3500, sequence: 1, want: heartbeatCurrent},
				{at: 4000, instance: "a", started: 3500, sequence: 2, draining: true, want: heartbeatCurrent},
			})
			playHeartbeats(t, u, late)
			if u.get().leavingSince.IsZero() {
				t.Error("the notice that it leaves is forgotten")
			}
		})
	}
}

// Guards against a notice that is forgotten when an incarnation was mistaken for ended and
// sends heartbeats again.
func TestNoticeOutlastsAMistakenSuccessor(t *testing.T) {
	t.Parallel()
	u := &localUpstream{host: "h", heartbeatInterval: testBeat}
	playHeartbeats(t, u, []lifeStep{
		{at: 3000, instance: "a", started: 900, sequence: 3, draining: true, want: heartbeatCurrent},
		{at: 5000, instance: "a", started: 4000, sequence: 8, want: heartbeatCurrent},
		{at: 7000, instance: "a", started: 900, sequence: 7, want: heartbeatUnproven},
		{at: 8000, instance: "a", started: 900, sequence: 8, want: heartbeatCurrent},
	})
	if got := u.get().leavingSince; !got.Equal(time.UnixMilli(3000)) {
		t.Errorf("leaving since %v, want since the first notice", got)
	}
}

// Guards against a notice in a heartbeat that was overtaken by the next one.
func TestNoticeInOvertakenHeartbeatCounts(t *testing.T) {
	t.Parallel()
	u := &localUpstream{host: "h", heartbeatInterval: testBeat}
	playHeartbeats(t, u, []lifeStep{
		{at: 1000, instance: "a", started: 900, sequence: 3, want: heartbeatCurrent},
		{at: 1100, instance: "a", started: 900, sequence: 2, draining: true, want: heartbeatOutdated},
	})
	if u.get().leavingSince.IsZero() {
		t.Error("the notice was dropped")
	}
}
