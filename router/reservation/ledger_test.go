package reservation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

const interval = 10 * time.Millisecond // 100 requests a second

func newLedger() *Ledger {
	return NewLedger(Options{Share: 0.5, LateShare: 0.1, Random: rand.New(rand.NewPCG(1, 2)).Float64})
}

// claimDue claims the reservations whose time has come, as callers do that honour it.
func claimDue(t *testing.T, l *Ledger, now time.Time) {
	t.Helper()
	for _, e := range slices.Clone(l.entries) {
		if !e.at.After(now) && !l.Claim(now, e.host, e.class.class) {
			t.Errorf("the reservation of %s for %v was not found", e.host, e.at)
		}
	}
}

func request(now time.Time, host string) Request {
	return Request{Host: host, Interval: interval, Earliest: now.Add(50 * time.Millisecond), Latest: now.Add(333 * time.Millisecond)}
}

// Guards against callers that are refused in one burst, return together, and find no room:
// a burst of twice the capacity for 3 s.
func TestBurstIsSpread(t *testing.T) {
	l := newLedger()
	var reserved []time.Time
	seen := map[time.Time]bool{}
	refusals := 0
	for at := time.Duration(0); at < 3*time.Second; at += interval { // half of 200 a second
		now := start.Add(at)
		claimDue(t, l, now)
		refusals++
		o := l.Reserve(now, request(now, fmt.Sprint("h", refusals%4)))
		switch {
		case seen[o.At]:
			t.Errorf("two callers were told %v", o.At)
		case o.Outcome == Reserved && o.At.After(now.Add(333*time.Millisecond)):
			t.Errorf("a reservation in %v, callers wait for 333 ms", o.At.Sub(now))
		case o.Outcome != Reserved && !o.At.After(now.Add(333*time.Millisecond)):
			t.Errorf("outcome %v, although there is capacity in %v", o.Outcome, o.At.Sub(now))
		case o.Outcome == Reserved:
			reserved = append(reserved, o.At)
		}
		seen[o.At] = true
	}
	perWindow := map[time.Duration]int{}
	for _, at := range reserved {
		perWindow[at.Sub(start)/(100*time.Millisecond)]++
	}
	for w, n := range perWindow {
		if n > 5+1 { // half of the capacity, apart from the jitter
			t.Errorf("%d reservations in window %d of 100 ms, 6 are allowed", n, w)
		}
	}
	if n := len(reserved); n < 140 || n > 170 {
		t.Errorf("%d reservations in 3 s, half of the capacity is 150", n)
	}
}

// Guards against callers of a hot key that are told a time at which there is no capacity: a
// load of ten times the capacity. It also covers the bound on the entries.
func TestHotKeyIsToldTheTrueTime(t *testing.T) {
	l := newLedger()
	later := 0
	for i := range 900 {
		now := start.Add(time.Duration(i) * interval / 9)
		claimDue(t, l, now)
		o := l.Reserve(now, request(now, "h1"))
		if o.Outcome == Reserved {
			continue
		}
		later++
		if !o.At.After(now.Add(333 * time.Millisecond)) {
			t.Fatalf("told to return in %v without a reservation", o.At.Sub(now))
		}
	}
	if later < 800 || l.Len() > 20 {
		t.Errorf("%d of 900 callers were told a later time, and there are %d reservations; want at least 800 and at most 20", later, l.Len())
	}
}

// Guards against a host that asks for ten times its share and leaves nothing to the others.
func TestSharesOfHosts(t *testing.T) {
	l := newLedger()
	reserved, asked, outcomes := map[string]int{}, map[string]int{}, map[Outcome]int{}
	ask := func(now time.Time, host string, count bool) {
		o := l.Reserve(now, request(now, host))
		if count {
			asked[host]++
			outcomes[o.Outcome]++
			if o.Outcome == Reserved {
				reserved[host]++
			}
		}
	}
	for at := time.Duration(0); at < 8*time.Second; at += 2 * time.Millisecond {
		now := start.Add(at)
		claimDue(t, l, now)
		count := at > 2*time.Second
		ask(now, "greedy", count) // 500 a second
		switch at % (66 * time.Millisecond) {
		case 10 * time.Millisecond:
			ask(now, "a", count) // 15 a second, a third of the reserved capacity is 17
		case 34 * time.Millisecond:
			ask(now, "b", count)
		}
	}
	for _, host := range []string{"a", "b"} {
		if share := float64(reserved[host]) / float64(asked[host]); share < 0.9 {
			t.Errorf("host %s got %d reservations for %d requests, want 0.9 of them", host, reserved[host], asked[host])
		}
	}
	if n := reserved["greedy"]; n < 90 || n > 150 {
		t.Errorf("the greedy host got %d reservations in 6 s, want the rest of 300, about 120", n)
	}
	if outcomes[OverShare] == 0 {
		t.Error("no refusal names the share as its reason")
	}
}

// Guards against one class of a priority that takes all reservations, and against
// reservations of less urgent requests in capacity that urgent ones use.
func TestSharesOfClasses(t *testing.T) {
	l := newLedger()
	reserved := map[Class]int{}
	many, few, low := Class{Priority: 1}, Class{Priority: 1, Repeatable: true}, Class{Priority: 2}
	for at := time.Duration(0); at < 8*time.Second; at += 2 * time.Millisecond {
		now := start.Add(at)
		claimDue(t, l, now)
		l.Served(now, 0, interval/10) // half of the capacity
		for _, c := range []Class{many, few, low} {
			if c == few && at%(60*time.Millisecond) != 0 {
				continue // 17 a second
			}
			r := request(now, "h1")
			r.Class = c
			if o := l.Reserve(now, r); o.Outcome == Reserved && at > 4*time.Second {
				reserved[c]++
			}
		}
		l.Served(now, 1, interval/10) // the other half
	}
	// Half of what priority 0 leaves over is 25 a second, 100 in 4 s.
	if n := reserved[many] + reserved[few]; n > 110 || reserved[few] < 40 {
		t.Errorf("%d reservations of %+v and %d of %+v, want at least 40 and at most 110 together", reserved[few], few, reserved[many], many)
	}
	if reserved[low] > 10 {
		t.Errorf("%d reservations of priority 2, although the others use the capacity", reserved[low])
	}
}

// Guards against reservations that are used by another host, too early, twice or too late,
// and against those of callers that never return.
func TestClaims(t *testing.T) {
	l := newLedger()
	at := l.Reserve(start, request(start, "h1")).At
	for _, c := range []struct {
		name string
		now  time.Time
		host string
		want bool
	}{
		{"too early", at.Add(-earlyTolerance - time.Millisecond), "h1", false},
		{"other host", at, "h2", false},
		{"in time", at, "h1", true},
		{"a second time", at, "h1", false},
	} {
		if got := l.Claim(c.now, c.host, Class{}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	at = l.Reserve(at, request(at, "h1")).At
	if l.Claim(at.Add(maxLate+time.Millisecond), "h1", Class{}) || l.TakeMissed() != 1 || l.Len() != 0 {
		t.Error("a reservation is kept or used behind its time")
	}
}

// Guards against reservations beyond the capacity of an upstream that becomes slower while
// others are open.
func TestSlowerUpstream(t *testing.T) {
	l := newLedger()
	var last time.Time
	for range 10 {
		r := request(start, "h1")
		r.Latest = start.Add(time.Minute)
		last = l.Reserve(start, r).At
	}
	if last.After(start.Add(260 * time.Millisecond)) {
		t.Fatalf("the tenth reservation is in %v, want 50 ms and nine intervals of 20 ms", last.Sub(start))
	}
	r := request(start, "h1")
	r.Interval, r.Latest = 4*interval, start.Add(time.Minute)
	if o := l.Reserve(start, r); o.At.Before(start.Add(850 * time.Millisecond)) {
		t.Errorf("at a quarter of the speed the next one is in %v, want 50 ms and ten intervals of 80 ms", o.At.Sub(start))
	}
}

// Guards against a ledger that grows without bound.
func TestBoundOfEntries(t *testing.T) {
	l := newLedger()
	outcomes := map[Outcome]int{}
	for i := range maxEntries + 10 {
		r := request(start, fmt.Sprint("h", i))
		r.Interval, r.Latest = time.Microsecond, start.Add(time.Hour)
		outcomes[l.Reserve(start, r).Outcome]++
	}
	if outcomes[Reserved] != maxEntries || outcomes[Full] != 10 || len(l.classes[0].accounts) > maxAccounts {
		t.Errorf("outcomes %v, want %d reservations; %d accounts", outcomes, maxEntries, len(l.classes[0].accounts))
	}
}

// Guards against first attempts that are taken for returning ones, and against a return that
// is attributed to another request.
func TestRefusals(t *testing.T) {
	var r Refusals
	deadline := start.Add(time.Second)
	refuse := func(content uint64, at time.Duration, reserved bool) {
		r.Add(start, Refusal{Route: "look", Content: content, Deadline: deadline, RetryAt: start.Add(at), ExpectedAt: start.Add(min(at, 333*time.Millisecond)), Reserved: reserved})
	}
	refuse(1, 100*time.Millisecond, true)
	refuse(2, 200*time.Millisecond, true)
	refuse(3, 900*time.Millisecond, false)
	for _, c := range []struct {
		name     string
		at       time.Duration
		route    string
		content  uint64
		deadline time.Time
		want     Return
	}{
		{"other route", 100 * time.Millisecond, "pay", 1, deadline, FirstAttempt},
		{"other deadline", 100 * time.Millisecond, "look", 1, deadline.Add(50 * time.Millisecond), FirstAttempt},
		{"early", 100 * time.Millisecond, "look", 2, deadline, Early},
		{"due", 100 * time.Millisecond, "look", 1, deadline.Add(3 * time.Millisecond), Due},
		{"without a reservation, when callers are back", 333 * time.Millisecond, "look", 3, deadline, Unreserved},
		{"forgotten", 333 * time.Millisecond, "look", 3, deadline, FirstAttempt},
	} {
		if _, got := r.Take(start.Add(c.at), c.route, c.content, c.deadline); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	for range 2 * maxRefusals {
		refuse(1, 0, false)
	}
	if r.Len() > maxRefusals {
		t.Errorf("%d refusals are remembered", r.Len())
	}
}

// BenchmarkServed measures what a gate adds to each request.
func BenchmarkServed(b *testing.B) {
	l := newLedger()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Served(now, 1, interval)
	}
}
