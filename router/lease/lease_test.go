package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

var (
	t0    = time.Unix(1000, 0)
	host  = Node{"a", 1}
	stby  = Node{"b", 2}
	spare = Node{"c", 3}
	rec1  = Record{Generation: 7, Version: 70, Holder: host, Standby: stby}
)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newTestHolder(rec Record, writeSentAt time.Time) *Holder {
	return NewHolder(HolderOptions{Timing: DefaultTiming(), Service: "s", GroupID: "g", Record: rec, WriteSentAt: writeSentAt, Now: t0})
}

func newTestStandby(extra time.Duration) *Standby {
	return NewStandby(StandbyOptions{Timing: DefaultTiming(), UpstreamWait: extra, Service: "s", GroupID: "g", Self: stby, Record: rec1, Now: t0})
}

func beatAt(t *testing.T, h *Holder, now time.Time) Heartbeat {
	t.Helper()
	for _, a := range h.Tick(now) {
		if b, ok := a.(SendHeartbeat); ok {
			return b.Heartbeat
		}
	}
	t.Fatalf("no heartbeat at %v", now.Sub(t0))
	return Heartbeat{}
}

func answerTo(hb Heartbeat) Ack {
	return Ack{
		Service: hb.Service, GroupID: hb.GroupID, Generation: hb.Generation, Seq: hb.Seq,
		HolderIncarnation: hb.HolderIncarnation, StandbyName: stby.Name, StandbyIncarnation: hb.StandbyIncarnation,
	}
}

func has[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

func wantUntil(t *testing.T, h *Holder, d time.Duration) {
	t.Helper()
	if got := h.LeaseEnd().Sub(t0); got != d {
		t.Errorf("lease ends at %v, want %v", got, d)
	}
}

// Guards against a lease that counts from the answer's arrival, or that a
// late, doubled, reordered or foreign answer prolongs.
func TestHolderCountsFromSending(t *testing.T) {
	h := newTestHolder(rec1, t0)
	first := beatAt(t, h, at(0))
	second := beatAt(t, h, at(150*ms))
	if !h.Ack(at(240*ms), answerTo(second)) {
		t.Error("the answer to the second heartbeat was not counted")
	}
	wantUntil(t, h, 650*ms)
	h.Ack(at(300*ms), answerTo(first))
	h.Ack(at(310*ms), answerTo(second))
	wantUntil(t, h, 650*ms)
	third := beatAt(t, h, at(320*ms))
	foreign := map[string]func(a *Ack){
		"old generation":     func(a *Ack) { a.Generation-- },
		"unsent heartbeat":   func(a *Ack) { a.Seq += 9 },
		"another standby":    func(a *Ack) { a.StandbyName = spare.Name },
		"restarted standby":  func(a *Ack) { a.StandbyIncarnation++ },
		"former incarnation": func(a *Ack) { a.HolderIncarnation++ },
	}
	for name, change := range foreign {
		a := answerTo(third)
		change(&a)
		if h.Ack(at(330*ms), a) {
			t.Errorf("%s: the answer was counted", name)
		}
	}
	if h.Ack(at(820*ms), answerTo(third)) {
		t.Error("an answer that came after the end of its lease was counted")
	}
	wantUntil(t, h, 650*ms)
}

// Guards against a holder that serves after a pause past its lease, and
// against one that serves before it has written or touched its row.
func TestHolderWithoutProofDoesNotServe(t *testing.T) {
	h := newTestHolder(rec1, t0)
	h.Ack(at(1*ms), answerTo(beatAt(t, h, at(0))))
	if now := at(3 * time.Second); now.Before(h.LeaseEnd()) {
		t.Error("a paused holder has a lease after 3 s")
	}
	adopted := newTestHolder(rec1, time.Time{})
	actions := adopted.Tick(at(0))
	if !has[RenewRow](actions) || has[ReplaceStandby](actions) {
		t.Errorf("first actions %v, want a touch and no replacement", actions)
	}
	hb := beatAt(t, adopted, at(150*ms))
	adopted.Ack(at(151*ms), answerTo(hb))
	if !adopted.LeaseEnd().IsZero() {
		t.Error("an adopted holder serves before its touch")
	}
	adopted.RowRenewed(at(160*ms), true, rec1)
	wantUntil(t, adopted, 650*ms)
}

// Guards against a replacement that comes too late, and against answers of the
// old standby that count while the write may already be in force.
func TestHolderReplacesSilentStandby(t *testing.T) {
	next := Record{Generation: 8, Version: 80, Holder: host, Standby: spare}
	tests := []struct {
		name    string
		applied bool
		until   time.Duration
	}{
		// From its own write of generation 8 the holder may serve for 500 ms.
		{"the write took effect", true, 750 * ms},
		// The answers that came meanwhile count again.
		{"the write did not take effect", false, 800 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHolder(rec1, t0)
			beatAt(t, h, at(0))
			beatAt(t, h, at(150*ms))
			if actions := h.Tick(at(249 * ms)); has[ReplaceStandby](actions) {
				t.Fatal("replacement before 250 ms of silence")
			}
			if next := h.NextTick(); next != at(250*ms) {
				t.Fatalf("next tick at %v", next.Sub(t0))
			}
			if actions := h.Tick(at(250 * ms)); !has[ReplaceStandby](actions) {
				t.Fatal("no replacement after 250 ms of silence")
			}
			late := beatAt(t, h, at(300*ms))
			if h.Ack(at(310*ms), answerTo(late)) {
				t.Error("an answer of the old standby was counted")
			}
			wantUntil(t, h, 500*ms)
			h.ReplaceDone(at(320*ms), test.applied, next)
			wantUntil(t, h, test.until)
			if h.Replacing() {
				t.Error("still replacing")
			}
		})
	}
}

// Guards against a holder in a zone that is cut off and that replaces its
// standby for ever, at a rate that the store does not take.
func TestHolderGivesUpUnreachableStandbys(t *testing.T) {
	h := newTestHolder(rec1, t0)
	rec, now, writes := rec1, t0, 0
	alone := time.Duration(0)
	for now.Before(at(20 * time.Second)) {
		if !now.Before(h.LeaseEnd()) {
			t.Fatalf("lease lapsed at %v", now.Sub(t0))
		}
		for _, a := range h.Tick(now) {
			if r, ok := a.(ReplaceStandby); ok {
				writes++
				rec.Generation++
				rec.Standby = Node{"x", uint64(writes)}
				if r.RemoveOnly {
					rec.Standby = Node{}
				}
				h.ReplaceDone(now, true, rec)
			}
		}
		if rec.Standby.IsZero() {
			alone += ms
		}
		now = now.Add(ms)
	}
	if writes > 30 || alone < 10*time.Second {
		t.Errorf("%d replacements and %v without a standby in 20 s", writes, alone)
	}
}

// Guards against a store outage that ends service before the horizon, and
// against service after it.
func TestHolderHorizon(t *testing.T) {
	alone := rec1
	alone.Standby = Node{}
	h := newTestHolder(alone, t0)
	if h.NextTick() != t0 {
		t.Errorf("a group without a standby looks for one at %v", h.NextTick().Sub(t0))
	}
	if actions := h.Tick(at(0)); !has[ReplaceStandby](actions) {
		t.Error("a group without a standby does not look for one")
	}
	wantUntil(t, h, 500*ms)
	h.ReplaceDone(at(1*ms), false, Record{})
	wantUntil(t, h, time.Hour)
	touch := at(time.Hour / 8)
	if has[RenewRow](h.Tick(touch.Add(-ms))) {
		t.Error("touched early")
	}
	h.ReplaceDone(touch, false, Record{})
	if !has[RenewRow](h.Tick(touch)) {
		t.Fatal("not touched after an eighth of the horizon")
	}
	h.RowRenewed(touch.Add(time.Minute), false, Record{})
	wantUntil(t, h, time.Hour)
	retry := touch.Add(2 * time.Minute)
	h.Tick(retry)
	h.ReplaceDone(retry, false, Record{})
	if !has[RenewRow](h.Tick(retry)) {
		t.Fatal("a failed touch is not retried")
	}
	h.RowRenewed(retry.Add(time.Minute), true, Record{Generation: 7, Version: 71, Holder: host})
	wantUntil(t, h, retry.Sub(t0)+time.Hour)
}

// Guards against a takeover before the promise and the extra wait have passed,
// and against answers of a generation whose takeover has begun.
func TestStandbyTakesOver(t *testing.T) {
	for _, extra := range []time.Duration{0, 300 * ms, 2 * time.Second} {
		h, s := newTestHolder(rec1, t0), newTestStandby(extra)
		hb := beatAt(t, h, at(0))
		got := s.Heartbeat(at(10*ms), hb)
		if want := []Action{SendAck{answerTo(hb)}}; !cmp.Equal(got, want) {
			t.Fatalf("answer %v, want %v", got, want)
		}
		due := at(535 * ms).Add(extra)
		if s.NextTick() != due || has[ReadRow](s.Tick(due.Add(-ms))) {
			t.Errorf("extra wait %v: next at %v", extra, s.NextTick().Sub(t0))
		}
		if !has[ReadRow](s.Tick(due)) {
			t.Fatalf("extra wait %v: no takeover after the promise", extra)
		}
		touched := rec1
		touched.Version++
		if got, want := s.RowRead(due, true, touched), []Action{TakeOver{touched}}; !cmp.Equal(got, want) {
			t.Fatalf("after the read: %v, want %v", got, want)
		}
		if s.Heartbeat(due, beatAt(t, h, due)) != nil {
			t.Error("a heartbeat was answered after the takeover began")
		}
	}
}

// Guards against a standby that gives up answering although it cannot take
// over, or takes over although a heartbeat arrived or the row moved on.
func TestStandbyCallsTakeoverOff(t *testing.T) {
	due := at(525 * ms)
	s := newTestStandby(0)
	s.Tick(due)
	if s.RowRead(due, false, Record{}) != nil || s.TakeoverStarted() {
		t.Error("takeover without the row")
	}
	if s.NextTick() != due.Add(DefaultRetryDelay) {
		t.Errorf("next attempt at %v", s.NextTick().Sub(t0))
	}
	s.Tick(s.NextTick())
	h := newTestHolder(rec1, t0)
	if !has[SendAck](s.Heartbeat(at(630*ms), beatAt(t, h, at(620*ms)))) {
		t.Error("a heartbeat before the takeover was not answered")
	}
	if s.RowRead(at(640*ms), true, rec1) != nil {
		t.Error("takeover although a heartbeat arrived")
	}
	moved := rec1
	moved.Generation++
	moved.Standby = spare
	s.Tick(at(1155 * ms))
	if s.RowRead(at(1160*ms), true, moved) != nil || s.TakeoverStarted() {
		t.Error("takeover although the row has another generation")
	}
}

// Guards against answers to heartbeats that are not for this process or that
// come from a lease that is over, and against a deaf standby in a newer one.
func TestStandbyChoosesHeartbeats(t *testing.T) {
	good := beatAt(t, newTestHolder(rec1, t0), at(0))
	tests := []struct {
		name   string
		change func(hb *Heartbeat)
		answer bool
	}{
		{"current", func(hb *Heartbeat) {}, true},
		{"older row version of the same lease", func(hb *Heartbeat) { hb.RowVersion-- }, true},
		{"late heartbeat of an older generation", func(hb *Heartbeat) { hb.Generation-- }, false},
		{"restarted standby", func(hb *Heartbeat) { hb.StandbyIncarnation++ }, false},
		{"restarted holder", func(hb *Heartbeat) { hb.HolderIncarnation++ }, false},
		{"newer generation", func(hb *Heartbeat) { hb.Generation++ }, true},
	}
	for _, test := range tests {
		hb := good
		test.change(&hb)
		s := newTestStandby(0)
		if got := has[SendAck](s.Heartbeat(at(1*ms), hb)); got != test.answer {
			t.Errorf("%s: answered %v, want %v", test.name, got, test.answer)
		}
	}
	s := newTestStandby(0)
	s.Tick(at(525 * ms))
	s.RowRead(at(525*ms), true, rec1)
	newer := good
	newer.Generation++
	if !has[SendAck](s.Heartbeat(at(530*ms), newer)) || s.TakeoverStarted() {
		t.Error("a newer generation does not end the takeover of the old one")
	}
}

// Guards against a waiter that acts before the holder has stopped.
func TestWaiterWaitsForHorizonAndMargin(t *testing.T) {
	w := NewWatcher(WatcherOptions{Timing: DefaultTiming(), UpstreamWait: 2 * time.Second, Version: 5, Now: t0})
	if got, want := w.Due().Sub(t0), time.Hour+36*time.Second+2*time.Second; got != want {
		t.Errorf("due after %v, want %v", got, want)
	}
}

// Guards against timings under which the protocol is unsafe or cannot work.
func TestTimingCheck(t *testing.T) {
	if err := DefaultTiming().Check(); err != nil {
		t.Fatal(err)
	}
	bad := map[string]func(t *Timing){
		"no heartbeat interval":    func(t *Timing) { t.HeartbeatInterval = 0 },
		"silence within heartbeat": func(t *Timing) { t.StandbyTimeout = t.HeartbeatInterval },
		"lease within silence":     func(t *Timing) { t.LeaseDuration = t.StandbyTimeout },
		"no drift margin":          func(t *Timing) { t.DriftMargin = 0 },
		"large drift margin":       func(t *Timing) { t.DriftMargin = t.LeaseDuration },
		"touch within lease":       func(t *Timing) { t.RowRenewInterval = t.LeaseDuration },
		"touch after horizon":      func(t *Timing) { t.RowRenewInterval = t.RenewDeadline },
		"no horizon margin":        func(t *Timing) { t.RenewDeadlineMargin = 0 },
		"retry pauses swapped":     func(t *Timing) { t.RetryDelay = 2 * t.MaxRetryDelay },
	}
	for name, change := range bad {
		timing := DefaultTiming()
		change(&timing)
		if timing.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
