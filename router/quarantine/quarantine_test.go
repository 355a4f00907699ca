package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func request(name string) Request {
	return Request{Fingerprint: Fingerprint{Head: HashHead("s", "GET", "h", name)}, Service: "s", Path: name}
}

// simHost is one host of a simulation: a router and its upstream.
type simHost struct {
	set  *Set
	upAt int // the upstream is down before
	life Incarnation
	runs []*simRun
}

type simRun struct {
	r     Request
	entry *simHost
	endAt int
	dies  bool
	tried int
	// waitUntil is the time until which the lost request waits to be sent again.
	waitUntil int
}

// sim is a fleet under load. Responses carry reports, as those between routers do.
type sim struct {
	t        *testing.T
	rnd      *rand.Rand
	now      int // ms
	hosts    []*simHost
	deadly   string // empty after the repair
	crashes  int
	refused  map[string]int
	served   map[string]int
	lastLife Incarnation
	// lost counts the harmless requests that were lost in crashes, and unserved those of
	// them that were not sent again. waiting are those that wait.
	lost, unserved int
	waiting        []*simRun
	// wait is the longest time for which a lost request waits, in ms.
	wait int
	// runsAfterThird counts the deadly requests that were sent after the third crash.
	runsAfterThird int
}

func newSim(t *testing.T, hosts int, seed uint64) *sim {
	s := &sim{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), deadly: "/deadly", refused: map[string]int{}, served: map[string]int{}}
	for i := range hosts {
		s.lastLife++
		s.hosts = append(s.hosts, &simHost{set: NewSet(fmt.Sprint("h", i)), life: s.lastLife})
	}
	return s
}

// respond ends a run with a response, which carries a report to the entry.
func (s *sim) respond(h *simHost, run *simRun, of *Fingerprint) {
	if h != run.entry {
		if err := run.entry.set.Merge(at(s.now), h.set.Report(at(s.now), of)); err != nil {
			s.t.Fatal(err)
		}
	}
}

// offer sends a request to a host, and to another one if the first refuses it.
func (s *sim) offer(run *simRun) {
	now := at(s.now)
	d := run.entry.set.AtEntry(now, run.r, false)
	if d.Verdict == Refused || (d.Verdict != Free && run.tried > 0) {
		s.refused[run.r.Path]++
		return
	}
	for _, i := range s.rnd.Perm(len(s.hosts)) {
		h := s.hosts[i]
		if h.upAt > s.now || len(h.runs) >= 14 || (d.Host != "" && h.set.host != d.Host) {
			continue
		}
		g := h.set.AtGate(now, run.r, false)
		if g.Verdict == Alone && slices.ContainsFunc(h.runs, func(o *simRun) bool { return o.r == run.r }) {
			continue
		}
		if g.Verdict == Refused {
			s.respond(h, run, nil)
			s.refused[run.r.Path]++
			return
		}
		run.dies, run.endAt, run.tried = run.r.Path == s.deadly, s.now+20+s.rnd.IntN(200), run.tried+1
		if run.dies {
			run.endAt = s.now + 5 + s.rnd.IntN(10)
			if s.crashes >= quarantineAfter {
				s.runsAfterThird++
			}
		}
		h.runs = append(h.runs, run)
		return
	}
}

// step lets a millisecond pass at a host.
func (s *sim) step(h *simHost) {
	now := at(s.now)
	ended := func(run *simRun) bool { return run.endAt <= s.now }
	if !slices.ContainsFunc(h.runs, func(run *simRun) bool { return run.dies && ended(run) }) {
		for _, run := range h.runs {
			if ended(run) {
				h.set.Completed(now, run.r.Fingerprint)
				s.served[run.r.Path]++
				s.respond(h, run, nil)
			}
		}
		h.runs = slices.DeleteFunc(h.runs, ended)
		return
	}
	lost := h.runs
	h.runs = nil
	var requests []Request
	for _, run := range lost {
		requests = append(requests, run.r)
	}
	h.set.RecordCrash(now, h.life, requests)
	s.crashes++
	s.lastLife++
	h.life, h.upAt = s.lastLife, s.now+2000+s.rnd.IntN(3000)
	for _, run := range lost {
		s.respond(h, run, &run.r.Fingerprint)
		if !run.dies {
			s.lost++
		}
		run.waitUntil = s.now + s.wait
		s.repeat(run)
	}
}

// repeat sends a lost request again if that is allowed, or lets it wait.
func (s *sim) repeat(run *simRun) {
	verdict := run.entry.set.AfterLoss(at(s.now), run.r, false)
	switch {
	case run.tried < 2 && verdict == RepeatNow:
		s.offer(run)
	case run.tried < 2 && verdict == RepeatLater && s.now < run.waitUntil:
		s.waiting = append(s.waiting, run)
	case !run.dies:
		s.unserved++
	}
}

// run lets time pass with perSecond requests, of which a share is deadly. The others have
// names that next returns.
func (s *sim) run(ms, perSecond int, share float64, next func() string) {
	for range ms {
		s.now++
		if s.rnd.IntN(1000) < perSecond {
			name := next()
			if s.rnd.Float64() < share {
				name = "/deadly"
			}
			s.offer(&simRun{r: request(name), entry: s.hosts[s.rnd.IntN(len(s.hosts))]})
		}
		for _, h := range s.hosts {
			s.step(h)
		}
		waiting := s.waiting
		s.waiting = nil
		for _, run := range waiting {
			s.repeat(run)
		}
	}
}

// checkHarmless checks that nothing but the deadly request was refused.
func (s *sim) checkHarmless() {
	s.t.Helper()
	delete(s.refused, "/deadly")
	if len(s.refused) > 0 {
		s.t.Errorf("refused: %v", s.refused)
	}
}

// Guards against a deadly request that goes on to crash upstreams, against harmless ones
// that are refused because they were in progress beside it, and against a repaired release
// that does not serve it: 3% of 500 requests a second on 18 hosts with 14 slots are deadly,
// others have 40 targets, the first of which is half of the load.
func TestDeadlyShareOfARoute(t *testing.T) {
	for seed := range uint64(4) {
		s := newSim(t, 18, seed)
		next := func() string { return fmt.Sprint("/t", max(s.rnd.IntN(80)-40, 0)) }
		s.run(9_000, 500, 0.03, next)
		first := s.crashes
		s.run(81_000, 500, 0.03, next)
		if trials := s.crashes - first; first > 8 || trials > 3 { // trials after 10, 30 and 70 s
			t.Errorf("seed %d: %d crashes, then %d by trials", seed, first, trials)
		}
		s.deadly = ""
		s.run(100_000, 500, 0.03, next)
		served := s.served["/deadly"]
		s.run(1_000, 500, 0.03, next)
		if s.served["/deadly"] <= served {
			t.Errorf("seed %d: the repaired request is not served", seed)
		}
		s.checkHarmless()
	}
}

// Guards against harmless requests that are lost beside a deadly one and not served, and
// against a deadly one that crashes more upstreams because they are sent again: 800 requests
// a second, with popular and with rare targets.
func TestLostRequestsAreSentAgain(t *testing.T) {
	for _, targets := range []int{40, 4000} {
		var lost, unserved, crashes [2]int
		for seed := range uint64(6) {
			for i, wait := range []int{0, 400} {
				s := newSim(t, 18, seed)
				s.wait = wait
				s.run(2_000, 800, 0.03, func() string { return fmt.Sprint("/t", s.rnd.IntN(targets)) })
				lost[i], unserved[i], crashes[i] = lost[i]+s.lost, unserved[i]+s.unserved, crashes[i]+s.crashes
				if s.crashes > 8 {
					t.Errorf("%d targets, seed %d, wait %d ms: %d crashes", targets, seed, wait, s.crashes)
				}
				s.checkHarmless()
			}
		}
		t.Logf("%d targets: lost %v, of them unserved %v, crashes %v without and with waiting", targets, lost, unserved, crashes)
		if unserved[1] > lost[1]/5 || crashes[1] > crashes[0]+crashes[0]/4 {
			t.Errorf("%d targets: %d of %d lost requests were not served, %d crashes; without waiting %d of %d, %d crashes",
				targets, unserved[1], lost[1], crashes[1], unserved[0], lost[0], crashes[0])
		}
	}
}

// Guards against a culprit that is sent to a further upstream after its third crash, or
// before it is known to be harmless, and against waiting longer than the deadline allows.
func TestAfterLoss(t *testing.T) {
	set := NewSet("h")
	deadly, beside := request("/deadly"), request("/beside")
	check := func(what string, r Request, want Repeat) {
		t.Helper()
		if got := set.AfterLoss(at(10), r, false); got != want {
			t.Errorf("%s: %s: %v, want %v", what, r.Path, got, want)
		}
	}
	check("no crash", beside, RepeatNow)
	set.RecordCrash(at(0), 1, []Request{deadly, beside})
	check("one crash", deadly, RepeatLater)
	check("one crash", beside, RepeatLater)
	set.RecordCrash(at(1), 2, []Request{deadly})
	check("second crash", deadly, RepeatLater)
	check("second crash explains the first", beside, RepeatNow)
	set.RecordCrash(at(2), 3, []Request{deadly, beside})
	check("quarantined", deadly, RepeatNever)
	check("beside a quarantined one", beside, RepeatNow)
	tied := NewSet("h")
	for i := range 3 {
		tied.RecordCrash(at(i), Incarnation(i), []Request{deadly, beside})
	}
	for _, r := range []Request{deadly, beside} {
		if got := tied.AfterLoss(at(10), r, false); got != RepeatNever {
			t.Errorf("%s shares three crashes: %v", r.Path, got)
		}
	}
	for left, want := range map[time.Duration]time.Duration{-time.Second: 0, 400 * time.Millisecond: 100 * time.Millisecond, time.Minute: time.Second} {
		if got := RepeatWait(time.Second, left); got != want {
			t.Errorf("%v left: waits %v, want %v", left, got, want)
		}
	}
}

// Guards against memory that grows with, and harmless requests that are refused because of,
// a flood of different suspects: every second request is of its own kind.
func TestFloodOfDifferentSuspects(t *testing.T) {
	s := newSim(t, 6, 7)
	n := 0
	s.run(40_000, 400, 0.05, func() string { n++; return fmt.Sprint("/t", n/2) })
	s.checkHarmless()
	set := NewSet("h")
	for i := range 3 * maxSuspects {
		set.RecordCrash(at(i), Incarnation(i), []Request{request("/deadly"), request(fmt.Sprintf("/%d%01000d", i, i))})
	}
	if all, inQuarantine := set.Len(); all != maxSuspects || inQuarantine != 1 {
		t.Errorf("%d suspects, %d in quarantine", all, inQuarantine)
	}
	for _, x := range set.suspects {
		if len(x.Path) > maxPath {
			t.Fatalf("a path of %d bytes is kept", len(x.Path))
		}
	}
	if report := set.Report(at(3*maxSuspects), nil); strings.Count(report, ";") != maxReported-1 || len(report) > 4096 {
		t.Errorf("report %q", report)
	}
	if set.Report(at(3*maxSuspects).Add(maxAge+time.Hour), nil) != "" || len(set.suspects)+len(set.heads) != 0 {
		t.Errorf("%d suspects and %d heads are left", len(set.suspects), len(set.heads))
	}
}

// Guards against the refusal of a request that shares all its crashes with another one, of
// which nothing shows which one is the culprit.
func TestSharedBlame(t *testing.T) {
	set := NewSet("h")
	deadly, beside := request("/deadly"), request("/beside")
	verdict := func(r Request) Verdict { return set.AtEntry(at(10), r, false).Verdict }
	for i := range 4 {
		set.RecordCrash(at(i), Incarnation(i), []Request{deadly, beside})
	}
	if verdict(deadly) != Alone || verdict(beside) != Alone {
		t.Errorf("verdicts %v and %v", verdict(deadly), verdict(beside))
	}
	set.Completed(at(5), beside.Fingerprint)
	if verdict(deadly) != Refused || verdict(beside) != Free {
		t.Errorf("after the completion: verdicts %v and %v", verdict(deadly), verdict(beside))
	}
	if changes := set.Changes(); len(changes) != 1 || !changes[0].Quarantined || changes[0].Path != "/deadly" {
		t.Errorf("changes %+v", changes)
	}
}

// Guards against several trials at once, also when the host of the last crash is gone, and
// against trials that do not become rarer.
func TestTrials(t *testing.T) {
	last, other := NewSet("last"), NewSet("other")
	deadly := request("/deadly")
	for i := range 3 {
		last.RecordCrash(at(i), Incarnation(i), []Request{deadly})
	}
	if err := other.Merge(at(3), last.Report(at(3), nil)); err != nil {
		t.Fatal(err)
	}
	now, life := at(3), Incarnation(3)
	for _, delay := range []time.Duration{10, 20, 40, 80, 160, 300, 300} {
		now = now.Add(delay*time.Second - 100*time.Millisecond)
		early := last.AtGate(now, deadly, false)
		now = now.Add(time.Second)
		elsewhere, entry := other.AtGate(now, deadly, false), other.AtEntry(now.Add(time.Second), deadly, false)
		first, second := last.AtGate(now, deadly, false), last.AtGate(now, deadly, false)
		if early.Verdict != Refused || elsewhere.Verdict != Refused || entry.Verdict != Trial || entry.Host != "last" || first.Verdict != Trial || second.Verdict != Refused {
			t.Fatalf("after %d s: early %+v, at another host %+v, at its entry %+v, then %+v and %+v", delay, early, elsewhere, entry, first, second)
		}
		life++
		now = now.Add(time.Millisecond)
		last.RecordCrash(now, life, []Request{deadly})
		if err := other.Merge(now, last.Report(now, nil)); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(maxTrialDelay + fallbackDelay + fallbackSpread + 2*time.Second)
	if d := other.AtGate(now, deadly, false); d.Verdict != Trial {
		t.Errorf("no trial at another host: %+v", d)
	}
	other.Completed(now, deadly.Fingerprint)
	if err := last.Merge(now, other.Report(now, nil)); err != nil || last.AtEntry(now, deadly, false).Verdict != Free {
		t.Errorf("not cleared by another host's report: %v", err)
	}
}

// Guards against evidence from a connection that was cut alone and from a loss long before,
// and against requests that are missed because their loss is noticed after the crash.
func TestEvidence(t *testing.T) {
	var e Evidence
	e.Lost(at(0), 1, request("/cut"))
	e.Alive(at(500), 1)
	e.Lost(at(1000), 1, request("/lost"))
	e.Lost(at(1000), 2, request("/other"))
	if got := e.Ended(at(4000), 1); len(got) != 1 || got[0].Path != "/lost" {
		t.Errorf("in progress at the crash: %+v", got)
	}
	if !e.Lost(at(4010), 1, request("/late")) || e.Lost(at(4010), 3, request("/next")) {
		t.Error("a late loss is not counted, or one of the next incarnation is")
	}
	if got := e.Ended(at(12_000), 2); len(got) != 0 {
		t.Errorf("old losses count: %+v", got)
	}
}

// Guards against reports of other hosts that end the process or fill the memory.
func FuzzMerge(f *testing.F) {
	set := NewSet("h h")
	set.RecordCrash(at(0), 1, []Request{request("/a"), request("/b")})
	set.Completed(at(1), request("/a").Fingerprint)
	f.Add(set.Report(at(2), nil))
	f.Add("1,2,3,-1,1:0::")
	f.Fuzz(func(t *testing.T, text string) {
		set := NewSet("h")
		if err := set.Merge(at(0), text); err != nil && len(set.suspects) > 0 {
			t.Error("a part of a malformed report was merged")
		}
		again := NewSet("other")
		if err := again.Merge(at(0), set.Report(at(0), nil)); err != nil {
			t.Errorf("%q: own report: %v", text, err)
		}
	})
}

// Guards against an explanation that starts the trial of a quarantined request, reports a
// suspect of which no request was seen, or differs from the decision that follows.
func TestPeekChangesNothing(t *testing.T) {
	s, r := NewSet("h0"), request("/deadly")
	for life := range Incarnation(3) {
		s.RecordCrash(at(int(life)), life, []Request{{Fingerprint: r.Fingerprint}})
	}
	for _, ms := range []int{100, 60_000} { // refused, then a trial
		now := at(ms)
		for range 3 {
			s.PeekEntry(now, r, false)
			s.PeekGate(now, r, false)
		}
		if changes := s.Changes(); len(changes) != 0 {
			t.Fatalf("%d ms: changes %v", ms, changes)
		}
	}
	entry, gate := s.PeekEntry(at(60_000), r, false), s.PeekGate(at(60_000), r, false)
	if got := s.AtEntry(at(60_000), r, false); got != entry || got.Verdict != Trial {
		t.Errorf("at the entry: %+v, peeked %+v", got, entry)
	}
	if got := s.AtGate(at(60_000), r, false); got != gate || got.Verdict != Trial {
		t.Errorf("at the gate: %+v, peeked %+v", got, gate)
	}
	if got := s.PeekGate(at(60_000), r, false); got.Verdict != Refused {
		t.Errorf("while the trial runs: %+v", got)
	}
	if own, other := s.OtherBodies(r.Fingerprint), s.OtherBodies(Fingerprint{Head: r.Head, Body: 7}); own != 0 || other != 1 {
		t.Errorf("%d and %d suspects with another body, want 0 and 1", own, other)
	}
}
