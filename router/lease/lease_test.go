package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

var (
	t0          = time.Unix(1000, 0)
	holderNode  = Node{"a", 1}
	standbyNode = Node{"b", 2}
	spareNode   = Node{"c", 3}
	rec1        = Record{Generation: 7, Version: 70, Holder: holderNode, Standby: standbyNode}
)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newTestHolder(rec Record, writeSentAt time.Time) *Holder {
	return NewHolder(HolderOptions{Timing: DefaultTiming(), Service: "s", GroupID: "g", Record: rec, WriteSentAt: writeSentAt, Now: t0})
}

func newTestStandby(upstreamWait time.Duration) *Standby {
	return NewStandby(StandbyOptions{Timing: DefaultTiming(), UpstreamWait: upstreamWait, Service: "s", GroupID: "g", Self: standbyNode, Record: rec1, Now: t0})
}

func heartbeatAt(t *testing.T, h *Holder, now time.Time) Heartbeat {
	t.Helper()
	for _, a := range h.Tick(now) {
		if b, ok := a.(SendHeartbeat); ok {
			return b.Heartbeat
		}
	}
	t.Fatalf("no heartbeat at %v", now.Sub(t0))
	return Heartbeat{}
}

func ackFor(hb Heartbeat) Ack {
	return Ack{
		Service: hb.Service, GroupID: hb.GroupID, Generation: hb.Generation, Seq: hb.Seq,
		HolderIncarnation: hb.HolderIncarnation, StandbyName: standbyNode.Name, StandbyIncarnation: hb.StandbyIncarnation,
	}
}

func contains[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

func wantLeaseEnd(t *testing.T, h *Holder, d time.Duration) {
	t.Helper()
	if got := h.LeaseEnd().Sub(t0); got != d {
		t.Errorf("lease ends at %v, want %v", got, d)
	}
}

// Guards against a lease that starts at the arrival of the ack instead of the
// sending of the heartbeat, or that a late, duplicate, reordered or foreign ack
// extends.
func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	h := newTestHolder(rec1, t0)
	first := heartbeatAt(t, h, at(0))
	second := heartbeatAt(t, h, at(150*ms))
	if !h.Ack(at(240*ms), ackFor(second)) {
		t.Error("the ack of the second heartbeat was not counted")
	}
	wantLeaseEnd(t, h, 650*ms)
	h.Ack(at(300*ms), ackFor(first))
	h.Ack(at(310*ms), ackFor(second))
	wantLeaseEnd(t, h, 650*ms)
	third := heartbeatAt(t, h, at(320*ms))
	foreign := map[string]func(a *Ack){
		"old generation":     func(a *Ack) { a.Generation-- },
		"unsent heartbeat":   func(a *Ack) { a.Seq += 9 },
		"another standby":    func(a *Ack) { a.StandbyName = spareNode.Name },
		"restarted standby":  func(a *Ack) { a.StandbyIncarnation++ },
		"former incarnation": func(a *Ack) { a.HolderIncarnation++ },
	}
	for name, change := range foreign {
		a := ackFor(third)
		change(&a)
		if h.Ack(at(330*ms), a) {
			t.Errorf("%s: the ack was counted", name)
		}
	}
	if h.Ack(at(820*ms), ackFor(third)) {
		t.Error("an ack that arrived after the end of its lease was counted")
	}
	wantLeaseEnd(t, h, 650*ms)
}

// Guards against a holder that serves after a process pause longer than its
// lease, and against one that serves before it has written or renewed its row.
func TestHolderServesOnlyWithValidLease(t *testing.T) {
	h := newTestHolder(rec1, t0)
	h.Ack(at(1*ms), ackFor(heartbeatAt(t, h, at(0))))
	if now := at(3 * time.Second); now.Before(h.LeaseEnd()) {
		t.Error("a paused holder has a lease after 3 s")
	}
	adopted := newTestHolder(rec1, time.Time{})
	actions := adopted.Tick(at(0))
	if !contains[RenewRow](actions) || contains[ReplaceStandby](actions) {
		t.Errorf("first actions %v, want a row renewal and no replacement", actions)
	}
	hb := heartbeatAt(t, adopted, at(150*ms))
	adopted.Ack(at(151*ms), ackFor(hb))
	if !adopted.LeaseEnd().IsZero() {
		t.Error("a holder that learned of its role serves before its row renewal")
	}
	adopted.RowRenewed(at(160*ms), true, rec1)
	wantLeaseEnd(t, adopted, 650*ms)
}

// Guards against a late replacement of the standby, and against acks of the old
// standby that extend the lease while the write may already have taken effect.
func TestHolderReplacesSilentStandby(t *testing.T) {
	next := Record{Generation: 8, Version: 80, Holder: holderNode, Standby: spareNode}
	tests := []struct {
		name    string
		applied bool
		until   time.Duration
	}{
		// The holder may serve for 500 ms from sending its write of generation 8.
		{"the write took effect", true, 750 * ms},
		// The acks that arrived in the meantime are counted.
		{"the write did not take effect", false, 800 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHolder(rec1, t0)
			heartbeatAt(t, h, at(0))
			heartbeatAt(t, h, at(150*ms))
			if actions := h.Tick(at(249 * ms)); contains[ReplaceStandby](actions) {
				t.Fatal("replacement before 250 ms without an ack")
			}
			if next := h.NextTick(); next != at(250*ms) {
				t.Fatalf("next tick at %v", next.Sub(t0))
			}
			if actions := h.Tick(at(250 * ms)); !contains[ReplaceStandby](actions) {
				t.Fatal("no replacement after 250 ms without an ack")
			}
			late := heartbeatAt(t, h, at(300*ms))
			if h.Ack(at(310*ms), ackFor(late)) {
				t.Error("an ack of the old standby was counted")
			}
			wantLeaseEnd(t, h, 500*ms)
			h.ReplaceDone(at(320*ms), test.applied, next)
			wantLeaseEnd(t, h, test.until)
			if h.Replacing() {
				t.Error("still replacing")
			}
		})
	}
}

// Guards against a holder in a partitioned zone that replaces its standby
// endlessly, at a rate that exceeds the write capacity of the store.
func TestHolderStopsReplacingUnreachableStandbys(t *testing.T) {
	h := newTestHolder(rec1, t0)
	rec, now, writes := rec1, t0, 0
	withoutStandby := time.Duration(0)
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
			withoutStandby += ms
		}
		now = now.Add(ms)
	}
	if writes > 30 || withoutStandby < 10*time.Second {
		t.Errorf("%d replacements and %v without a standby in 20 s", writes, withoutStandby)
	}
}

// Guards against a store outage that ends service before the renewal deadline,
// and against service after it.
func TestHolderRenewDeadline(t *testing.T) {
	noStandby := rec1
	noStandby.Standby = Node{}
	h := newTestHolder(noStandby, t0)
	if h.NextTick() != t0 {
		t.Errorf("a group without a standby requests one at %v", h.NextTick().Sub(t0))
	}
	if actions := h.Tick(at(0)); !contains[ReplaceStandby](actions) {
		t.Error("a group without a standby does not request one")
	}
	wantLeaseEnd(t, h, 500*ms)
	h.ReplaceDone(at(1*ms), false, Record{})
	wantLeaseEnd(t, h, time.Hour)
	renewal := at(time.Hour / 8)
	if contains[RenewRow](h.Tick(renewal.Add(-ms))) {
		t.Error("row renewed too early")
	}
	h.ReplaceDone(renewal, false, Record{})
	if !contains[RenewRow](h.Tick(renewal)) {
		t.Fatal("row not renewed after an eighth of the renewal deadline")
	}
	h.RowRenewed(renewal.Add(time.Minute), false, Record{})
	wantLeaseEnd(t, h, time.Hour)
	retry := renewal.Add(2 * time.Minute)
	h.Tick(retry)
	h.ReplaceDone(retry, false, Record{})
	if !contains[RenewRow](h.Tick(retry)) {
		t.Fatal("a failed row renewal is not retried")
	}
	h.RowRenewed(retry.Add(time.Minute), true, Record{Generation: 7, Version: 71, Holder: holderNode})
	wantLeaseEnd(t, h, retry.Sub(t0)+time.Hour)
}

// Guards against a takeover before the lease grace and the upstream wait have
// passed, and against acks of a generation whose takeover has started.
func TestStandbyTakesOver(t *testing.T) {
	for _, upstreamWait := range []time.Duration{0, 300 * ms, 2 * time.Second} {
		h, s := newTestHolder(rec1, t0), newTestStandby(upstreamWait)
		hb := heartbeatAt(t, h, at(0))
		got := s.Heartbeat(at(10*ms), hb)
		if want := []Action{SendAck{ackFor(hb)}}; !cmp.Equal(got, want) {
			t.Fatalf("ack %v, want %v", got, want)
		}
		due := at(535 * ms).Add(upstreamWait)
		if s.NextTick() != due || contains[ReadRow](s.Tick(due.Add(-ms))) {
			t.Errorf("upstream wait %v: next at %v", upstreamWait, s.NextTick().Sub(t0))
		}
		if !contains[ReadRow](s.Tick(due)) {
			t.Fatalf("upstream wait %v: no takeover after the lease grace", upstreamWait)
		}
		renewed := rec1
		renewed.Version++
		if got, want := s.RowRead(due, true, renewed), []Action{TakeOver{renewed}}; !cmp.Equal(got, want) {
			t.Fatalf("after the read: %v, want %v", got, want)
		}
		if s.Heartbeat(due, heartbeatAt(t, h, due)) != nil {
			t.Error("a heartbeat was acked after the takeover started")
		}
	}
}

// Guards against a standby that stops acking although it cannot read the row, or
// that takes over although a heartbeat arrived or the row changed.
func TestStandbyCancelsTakeover(t *testing.T) {
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
	if !contains[SendAck](s.Heartbeat(at(630*ms), heartbeatAt(t, h, at(620*ms)))) {
		t.Error("a heartbeat before the takeover was not acked")
	}
	if s.RowRead(at(640*ms), true, rec1) != nil {
		t.Error("takeover although a heartbeat arrived")
	}
	moved := rec1
	moved.Generation++
	moved.Standby = spareNode
	s.Tick(at(1155 * ms))
	if s.RowRead(at(1160*ms), true, moved) != nil || s.TakeoverStarted() {
		t.Error("takeover although the row has another generation")
	}
}

// Guards against acks of heartbeats that are for another process or come from an
// old lease, and against a standby that ignores a newer lease.
func TestStandbyAcksOnlyValidHeartbeats(t *testing.T) {
	good := heartbeatAt(t, newTestHolder(rec1, t0), at(0))
	tests := []struct {
		name   string
		change func(hb *Heartbeat)
		acked  bool
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
		if got := contains[SendAck](s.Heartbeat(at(1*ms), hb)); got != test.acked {
			t.Errorf("%s: acked %v, want %v", test.name, got, test.acked)
		}
	}
	s := newTestStandby(0)
	s.Tick(at(525 * ms))
	s.RowRead(at(525*ms), true, rec1)
	newer := good
	newer.Generation++
	if !contains[SendAck](s.Heartbeat(at(530*ms), newer)) || s.TakeoverStarted() {
		t.Error("a newer generation does not end the takeover of the old one")
	}
}

// Guards against a watcher that takes over before the holder has stopped.
func TestWatcherWaitsForDeadlineAndMargin(t *testing.T) {
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
		"no heartbeat interval":            func(t *Timing) { t.HeartbeatInterval = 0 },
		"standby timeout within heartbeat": func(t *Timing) { t.StandbyTimeout = t.HeartbeatInterval },
		"lease within standby timeout":     func(t *Timing) { t.LeaseDuration = t.StandbyTimeout },
		"no drift margin":                  func(t *Timing) { t.DriftMargin = 0 },
		"large drift margin":               func(t *Timing) { t.DriftMargin = t.LeaseDuration },
		"renewal within lease":             func(t *Timing) { t.RowRenewInterval = t.LeaseDuration },
		"renewal after deadline":           func(t *Timing) { t.RowRenewInterval = t.RenewDeadline },
		"no deadline margin":               func(t *Timing) { t.RenewDeadlineMargin = 0 },
		"retry delays swapped":             func(t *Timing) { t.RetryDelay = 2 * t.MaxRetryDelay },
	}
	for name, change := range bad {
		timing := DefaultTiming()
		change(&timing)
		if timing.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
