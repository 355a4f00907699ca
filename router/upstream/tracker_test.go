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

func announced() *Tracker {
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

// Guards against an upstream that is lost without notice: missing renewals
// lead to one probe and a failed probe to down.
func TestMissingRenewalsLeadToOneProbeThenDown(t *testing.T) {
	tr := announced()
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

// Guards against probes as a steady load: an upstream that answers probes but
// does not renew is probed less and less often.
func TestProbesBecomeRare(t *testing.T) {
	tr := announced()
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

// Guards against a dead upstream that reports keep alive: a refused connection
// outweighs renewals and announcements until a probe succeeds.
func TestRefusedConnectionOutweighsReports(t *testing.T) {
	tr := announced()
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

// Guards against a restarted upstream at a new address that is judged by a
// late refusal of its old address.
func TestRefusalOfAnotherAddressIsIgnored(t *testing.T) {
	tr := announced()
	tr.ConnectionRefused(at(time.Millisecond), "127.0.0.1:8999")
	wantState(t, tr, Announced)
}

// Guards against a misleading report that stops a working upstream, and
// against a late renewal that does.
func TestOwnAnswersOutweighReports(t *testing.T) {
	tr := announced()
	tr.ResponseReceived(at(900 * time.Millisecond))
	if id, _ := tr.Renew(at(time.Second), Renewal{Healthy: false}); id != 0 {
		t.Error("a report of bad health outweighed an answer")
	}
	if id := tr.Tick(at(1800 * time.Millisecond)); id != 0 {
		t.Error("missing renewals outweighed an answer")
	}
	id, _ := tr.Renew(at(2*time.Second), Renewal{Healthy: false})
	if id == 0 {
		t.Fatal("a report of bad health without an answer since was ignored")
	}
	tr.ResponseReceived(at(2100 * time.Millisecond))
	wantState(t, tr, Suspect)
	tr.ProbeCompleted(at(2200*time.Millisecond), id, true)
	wantState(t, tr, Announced)
}

// Guards against an upstream that leaves and is forgotten before its shards
// have moved, or stays after it died.
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
