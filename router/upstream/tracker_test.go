package upstream

import (
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func announcement() Announcement {
	return Announcement{Service: "s", Address: "127.0.0.1:9000", Slots: 16, Connections: 120, Kind: note.Fenced}
}

func newAnnounced() *Tracker {
	t := NewTracker(0)
	t.Announce(epoch, announcement())
	return t
}

func wantState(t *testing.T, tr *Tracker, want State) {
	t.Helper()
	if got := tr.Status().State; got != want {
		t.Fatalf("state %s, want %s", got, want)
	}
}

// Guards against a failed upstream that is not detected: missing renewals must cause
// one probe, and a failed probe the state down.
func TestMissingRenewalsLeadToOneProbeThenDown(t *testing.T) {
	tr := newAnnounced()
	if id := tr.Tick(at(999 * time.Millisecond)); id != 0 {
		t.Fatal("probed before the renewal timeout")
	}
	id := tr.Tick(at(time.Second))
	if id == 0 {
		t.Fatal("no probe after the renewal timeout")
	}
	wantState(t, tr, Suspect)
	if tr.Tick(at(1100*time.Millisecond)) != 0 {
		t.Error("a second probe was started during the first")
	}
	tr.ProbeCompleted(at(1200*time.Millisecond), id, false)
	wantState(t, tr, Down)
}

// Guards against a constant load of probes on an upstream that responds to probes
// but does not renew: the probe interval must grow.
func TestProbeIntervalGrows(t *testing.T) {
	tr := newAnnounced()
	probes := 0
	for now := epoch; now.Before(at(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if id := tr.Tick(now); id != 0 {
			probes++
			tr.ProbeCompleted(now, id, true)
		}
	}
	wantState(t, tr, Announced)
	if probes > 10 {
		t.Errorf("%d probes in a minute", probes)
	}
}

// Guards against a failed upstream that counts as alive because of its renewals: a
// refused connection must override renewals and announcements until a probe
// succeeds.
func TestRefusedConnectionOverridesReports(t *testing.T) {
	tr := newAnnounced()
	tr.ConnectionRefused(at(100*time.Millisecond), announcement().Address)
	wantState(t, tr, Down)
	id, err := tr.Renew(at(200*time.Millisecond), Renewal{Healthy: true})
	if err != nil || id == 0 {
		t.Fatalf("renewal while down: probe %d, error %v", id, err)
	}
	wantState(t, tr, Down)
	if again, _ := tr.Renew(at(300*time.Millisecond), Renewal{Healthy: true}); again != 0 {
		t.Error("each renewal started a probe")
	}
	next := tr.Announce(at(400*time.Millisecond), announcement())
	tr.Renew(at(450*time.Millisecond), Renewal{Healthy: true})
	wantState(t, tr, Suspect)
	tr.ProbeCompleted(at(500*time.Millisecond), id, true)
	wantState(t, tr, Suspect)
	tr.ProbeCompleted(at(600*time.Millisecond), next, true)
	wantState(t, tr, Announced)
}

// Guards against a late report of a refused connection at the old address that marks
// an upstream down after it restarted at a new address.
func TestRefusalOfAnotherAddressIsIgnored(t *testing.T) {
	tr := newAnnounced()
	tr.ConnectionRefused(at(time.Millisecond), "127.0.0.1:8999")
	wantState(t, tr, Announced)
}

// Guards against a working upstream that becomes suspect because of a wrong report of
// bad health or a late renewal.
func TestResponsesOverrideReports(t *testing.T) {
	tr := newAnnounced()
	tr.ResponseReceived(at(900 * time.Millisecond))
	if id, _ := tr.Renew(at(time.Second), Renewal{Healthy: false}); id != 0 {
		t.Error("a report of bad health overrode a response")
	}
	if id := tr.Tick(at(1800 * time.Millisecond)); id != 0 {
		t.Error("missing renewals overrode a response")
	}
	id, _ := tr.Renew(at(2*time.Second), Renewal{Healthy: false})
	if id == 0 {
		t.Fatal("a report of bad health without a recent response was ignored")
	}
	tr.ResponseReceived(at(2100 * time.Millisecond))
	wantState(t, tr, Suspect)
	tr.ProbeCompleted(at(2200*time.Millisecond), id, true)
	wantState(t, tr, Announced)
}

// Guards against a withdrawn upstream that is removed before its shards have moved
// away, or that stays although it is down.
func TestDrainAndWithdraw(t *testing.T) {
	tr := NewTracker(0)
	if err := tr.Drain(epoch); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("drain before announce: %v", err)
	}
	if _, err := tr.Renew(epoch, Renewal{Healthy: true}); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("renew before announce: %v", err)
	}
	tr.Announce(epoch, announcement())
	if err := tr.Drain(epoch); err != nil {
		t.Fatal(err)
	}
	wantState(t, tr, Draining)
	tr.Withdraw(epoch)
	wantState(t, tr, Draining)
	id := tr.Tick(at(time.Second))
	wantState(t, tr, Draining)
	tr.ProbeCompleted(at(time.Second), id, false)
	wantState(t, tr, Down)
	tr.Withdraw(at(2 * time.Second))
	wantState(t, tr, Absent)
	tr.Announce(at(3*time.Second), announcement())
	wantState(t, tr, Announced)
	tr.Evacuated(at(4 * time.Second))
	wantState(t, tr, Absent)
}
