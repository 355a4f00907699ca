package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simTiming has a short horizon so that waiters act within a run. Clocks drift
// by up to simDrift, which both margins cover: 1.02/0.98 is below 1.05.
var simTiming = Timing{
	HeartbeatInterval:   150 * time.Millisecond,
	LeaseDuration:       500 * time.Millisecond,
	StandbyTimeout:      250 * time.Millisecond,
	DriftMargin:         25 * time.Millisecond,
	RenewDeadline:       1500 * time.Millisecond,
	RowRenewInterval:    510 * time.Millisecond,
	RenewDeadlineMargin: 0.05,
	RetryDelay:          20 * time.Millisecond,
	MaxRetryDelay:       200 * time.Millisecond,
}

const (
	simDrift   = 0.02
	simHosts   = 4
	simLength  = 8 * time.Second
	simRuns    = 20                    // runs per check: most broken rules fail within 2,000 runs
	simTimeout = 60 * time.Millisecond // store call without an answer
	simStore   = simHosts              // the store's index in cuts
)

// sim is one run: hosts with drifting clocks, a network and a store row.
type sim struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Duration
	events  []simEvent
	seq     int
	procs   []*simProc
	row     Record
	writeID int
	lastID  int
	cuts    []simCut
	refuse  time.Duration // the store refuses calls until then
	lossy   time.Duration // the store's answers are lost until then
	owners  map[int]bool  // hosts that held a permit
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simCut drops messages between two parties until a time.
type simCut struct {
	a, b  int
	until time.Duration
}

// between draws evenly from a closed range. The draws come from one seed
// because rapid prefers small values, which makes faults rare.
func (s *sim) between(low, high int) int {
	return low + s.random.IntN(high-low+1)
}

func (s *sim) chance(p float64) bool {
	return s.random.Float64() < p
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	s.events = append(s.events, simEvent{s.now + d, s.seq, run})
}

func (s *sim) cut(a, b int) bool {
	return slices.ContainsFunc(s.cuts, func(c simCut) bool {
		return s.now < c.until && (c.a == a && c.b == b || c.a == b && c.b == a)
	})
}

// delay is mostly short, sometimes as long as a lease.
func (s *sim) delay() time.Duration {
	if s.between(0, 9) > 7 {
		return time.Duration(s.between(0, 600)) * time.Millisecond
	}
	return time.Duration(s.between(0, 3)) * time.Millisecond
}

// send delivers a message 0, 1 or 2 times.
func (s *sim) send(from, to int, deliver func(p *simProc)) {
	copies := 1
	switch s.between(0, 19) {
	case 18:
		copies = 0
	case 19:
		copies = 2
	}
	for range copies {
		s.after(s.delay(), func() {
			if !s.cut(from, to) {
				s.procs[to].do(deliver)
			}
		})
	}
}

// simProc is one host with the driver of its machines.
type simProc struct {
	s       *sim
	index   int
	node    Node
	rate    float64
	paused  time.Duration
	backlog []func(p *simProc)
	known   Record
	holder  *Holder
	standby *Standby
	waiter  *Watcher
	blocked bool
	busy    bool // a waiter's or hand-over's write is under way
	tickAt  time.Duration
	// permitEnd is the end of the longest permit given so far.
	permitEnd time.Duration
}

var simEpoch = time.Unix(1_000_000, 0)

func (p *simProc) clock() time.Time {
	return simEpoch.Add(time.Duration(float64(p.s.now) * p.rate))
}

func (p *simProc) global(local time.Time) time.Duration {
	return time.Duration(float64(local.Sub(simEpoch)) / p.rate)
}

// do runs an input unless the process is paused; a paused process gets it when
// it resumes.
func (p *simProc) do(f func(p *simProc)) {
	if p.s.now < p.paused {
		p.backlog = append(p.backlog, f)
		return
	}
	f(p)
	p.schedule()
}

// own runs f unless the process has been restarted meanwhile.
func (p *simProc) own(f func(p *simProc)) func(p *simProc) {
	incarnation := p.node.Incarnation
	return func(p *simProc) {
		if p.node.Incarnation == incarnation {
			f(p)
		}
	}
}

func (p *simProc) resume() {
	if p.s.now < p.paused {
		return
	}
	if p.s.chance(0.5) {
		p.tick()
	}
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		f(p)
	}
	p.schedule()
}

func (p *simProc) schedule() {
	var next time.Time
	if p.holder != nil {
		next = soonest(next, p.holder.NextTick())
	}
	if p.standby != nil {
		next = soonest(next, p.standby.NextTick())
	}
	if p.waiter != nil && !p.busy {
		next = soonest(next, p.waiter.Due())
	}
	if next.IsZero() {
		return
	}
	at := max(p.global(next), p.s.now) + time.Microsecond
	if p.tickAt > p.s.now && p.tickAt <= at {
		return
	}
	p.tickAt = at
	p.s.after(at-p.s.now, func() { p.do((*simProc).tick) })
}

func (p *simProc) tick() {
	now := p.clock()
	if p.holder != nil {
		p.run(p.holder.Tick(now))
	}
	if p.standby != nil {
		p.run(p.standby.Tick(now))
	}
	if p.waiter != nil && !p.busy && !now.Before(p.waiter.Due()) {
		p.busy = true
		next := Record{Generation: p.known.Generation + 1, Holder: p.node, Standby: p.pick(p.known.Holder.Name)}
		p.write(simWrite{kind: "seize", base: p.known, next: next})
	}
}

// pick chooses a standby; now and then there is none.
func (p *simProc) pick(exclude ...string) Node {
	if p.s.chance(0.15) {
		return Node{}
	}
	for {
		n := p.s.procs[p.s.between(0, simHosts-1)].node
		if n.Name != p.node.Name && !slices.Contains(exclude, n.Name) {
			return n
		}
	}
}

func (p *simProc) run(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendHeartbeat:
			if to := p.s.find(p.holder.Record().Standby); to >= 0 {
				p.s.send(p.index, to, func(q *simProc) { q.heartbeat(a.Heartbeat) })
			}
		case SendAck:
			if to := p.s.find(p.standby.Record().Holder); to >= 0 {
				p.s.send(p.index, to, func(q *simProc) {
					if q.holder != nil {
						q.holder.Ack(q.clock(), a.Ack)
					}
				})
			}
		case RenewRow:
			p.write(simWrite{kind: "touch", base: p.known, next: p.known, holder: p.holder})
		case ReplaceStandby:
			next := p.known
			next.Generation++
			next.Standby = p.pick(p.known.Standby.Name)
			if a.RemoveOnly {
				next.Standby = Node{}
			}
			p.write(simWrite{kind: "replace", base: p.known, next: next, holder: p.holder})
		case ReadRow:
			standby := p.standby
			p.call(func() (Record, simResult) { return p.s.row, simApplied }, func(p *simProc, row Record, r simResult) {
				if r == simApplied {
					p.adopt(row)
				}
				if p.standby == standby {
					p.run(standby.RowRead(p.clock(), r == simApplied, row))
				}
			})
		case TakeOver:
			next := Record{Generation: a.Record.Generation + 1, Holder: p.node, Standby: p.pick(a.Record.Holder.Name)}
			p.write(simWrite{kind: "takeover", base: a.Record, next: next})
		}
	}
}

func (s *sim) find(n Node) int {
	return slices.IndexFunc(s.procs, func(p *simProc) bool { return p.node.Name == n.Name })
}

func (p *simProc) heartbeat(hb Heartbeat) {
	if hb.StandbyIncarnation != p.node.Incarnation || p.known.Generation > hb.Generation {
		return
	}
	if p.known.Generation == hb.Generation && p.known.Standby != p.node {
		return
	}
	if p.holder != nil {
		p.holder = nil
	}
	if p.standby == nil {
		p.newStandby(Record{
			Generation: hb.Generation,
			Version:    hb.RowVersion,
			Holder:     Node{hb.HolderName, hb.HolderIncarnation},
			Standby:    p.node,
		})
	}
	p.run(p.standby.Heartbeat(p.clock(), hb))
}

func (p *simProc) newStandby(rec Record) {
	p.standby = NewStandby(StandbyOptions{Timing: simTiming, Self: p.node, Record: rec, Now: p.clock()})
}

func (p *simProc) newHolder(rec Record, writeSentAt time.Time) {
	p.blocked = false
	p.holder = NewHolder(HolderOptions{Timing: simTiming, Record: rec, WriteSentAt: writeSentAt, Now: p.clock()})
}

// adopt follows a newer record.
func (p *simProc) adopt(rec Record) {
	if rec.Version <= p.known.Version {
		return
	}
	p.known = rec
	p.reconcile()
}

func (p *simProc) reconcile() {
	rec := p.known
	switch {
	case rec.Holder != p.node:
		p.holder = nil
	case p.holder == nil:
		p.newHolder(rec, time.Time{})
	case p.holder.Record().SameLease(rec):
		p.holder.Update(rec)
	case !p.holder.Replacing():
		p.newHolder(rec, time.Time{})
	}
	if p.standby == nil || p.standby.Record().Generation <= rec.Generation {
		switch {
		case rec.Standby != p.node || rec.Holder == p.node:
			p.standby = nil
		case p.standby != nil && p.standby.Record().SameLease(rec):
			p.standby.Update(rec)
		default:
			p.newStandby(rec)
		}
	}
	p.waiter = nil
	if p.holder == nil && p.standby == nil {
		w := NewWatcher(WatcherOptions{Timing: simTiming, Version: rec.Version, Now: p.clock()})
		p.waiter = &w
	}
}

type simResult int

const (
	simApplied simResult = iota
	simConflict
	simRefused
	simLost
)

// call runs a store operation. The call or its answer may be lost, or the
// store may refuse it; the answer comes after a delay.
func (p *simProc) call(op func() (Record, simResult), done func(p *simProc, row Record, r simResult)) {
	s := p.s
	finish := p.own(func(p *simProc) { done(p, Record{}, simLost) })
	s.after(s.delay(), func() {
		if s.cut(p.index, simStore) {
			s.after(simTimeout, func() { p.do(finish) })
			return
		}
		if s.now < s.refuse {
			s.after(s.delay(), func() { p.do(p.own(func(p *simProc) { done(p, Record{}, simRefused) })) })
			return
		}
		row, r := op()
		if s.now < s.lossy && s.chance(0.5) {
			s.after(simTimeout, func() { p.do(finish) })
			return
		}
		answer := p.own(func(p *simProc) { done(p, row, r) })
		s.after(s.delay(), func() { p.do(answer) })
	})
}

type simWrite struct {
	kind       string
	base, next Record
	id         int
	sentAt     time.Time
	uncertain  bool
	holder     *Holder // the machine that asked for it
}

// write sends a write and settles it as ownership.Records does: an uncertain
// write is sent again with the same id and condition.
func (p *simProc) write(w simWrite) {
	s := p.s
	if w.id == 0 {
		s.lastID++
		w.id = s.lastID
	}
	if w.sentAt.IsZero() {
		w.sentAt = p.clock()
	}
	p.call(func() (Record, simResult) {
		if s.writeID == w.id {
			return s.row, simApplied
		}
		if s.row.Version != w.base.Version {
			return s.row, simConflict
		}
		version := s.row.Version + 1
		s.row = w.next
		s.row.Version = version
		s.writeID = w.id
		return s.row, simApplied
	}, func(p *simProc, row Record, r simResult) {
		if r == simLost || r == simRefused && w.uncertain {
			w.uncertain = true
			s.after(20*time.Millisecond, func() { p.do(p.own(func(p *simProc) { p.write(w) })) })
			return
		}
		if r == simConflict && w.kind != "seize" && row.SameLease(w.base) {
			w.base, w.id, w.uncertain = row, 0, false
			p.write(w)
			return
		}
		p.settled(w, row, r)
	})
}

func (p *simProc) settled(w simWrite, row Record, r simResult) {
	current := w.holder != nil && p.holder == w.holder
	switch w.kind {
	case "touch":
		if current {
			p.holder.RowRenewed(p.clock(), r == simApplied, row)
		}
	case "replace":
		proven := row.Generation == w.next.Generation && !row.SameLease(w.next)
		if current && r == simConflict && w.uncertain && !proven {
			p.holder = nil
		} else if current {
			p.holder.ReplaceDone(p.clock(), r == simApplied, row)
		}
	case "takeover":
		if r == simRefused && p.standby != nil && p.standby.TakeoverStarted() {
			w.id, w.sentAt = 0, time.Time{}
			p.s.after(20*time.Millisecond, func() { p.do(p.own(func(p *simProc) { p.write(w) })) })
			return
		}
	case "seize":
		p.busy = false
	case "relinquish":
		p.busy = false
		p.blocked = p.blocked && r != simRefused
	}
	if r == simRefused {
		if w.kind == "seize" && p.waiter != nil {
			p.waiter.Postpone(p.clock().Add(simTiming.MaxRetryDelay))
		}
		return
	}
	if r == simApplied && (w.kind == "takeover" || w.kind == "seize") && row.Version >= p.known.Version {
		p.known = row
		p.newHolder(row, w.sentAt)
	}
	p.adopt(row)
	p.reconcile()
	if w.kind == "relinquish" {
		p.blocked = false
	}
}

// relinquish hands the group to the standby after the last permit has ended.
func (p *simProc) relinquish() {
	if p.holder == nil || p.busy || p.holder.Record().Standby.IsZero() {
		return
	}
	p.blocked, p.busy = true, true
	h := p.holder
	p.s.after(max(0, p.permitEnd-p.s.now)+time.Millisecond, func() {
		p.do(p.own(func(p *simProc) {
			rec := p.known
			if p.holder != h || rec.Holder != p.node || rec.Standby.IsZero() {
				p.busy, p.blocked = false, false
				return
			}
			next := Record{Generation: rec.Generation + 1, Holder: rec.Standby, Standby: p.pick(rec.Standby.Name)}
			p.write(simWrite{kind: "relinquish", base: rec, next: next})
		}))
	})
}

// permit gives the longest permit that the process can give now.
func (p *simProc) permit() {
	if p.holder == nil || p.blocked || p.s.now < p.paused {
		return
	}
	now := p.clock()
	until := earlier(p.holder.LeaseEnd(), now.Add(simTiming.LeaseDuration))
	if until.After(now) {
		p.permitEnd = max(p.permitEnd, p.global(until))
		p.s.owners[p.index] = true
	}
}

func (p *simProc) restart() {
	p.node.Incarnation += simHosts
	p.known, p.holder, p.standby, p.waiter = Record{}, nil, nil, nil
	p.blocked, p.busy, p.backlog = false, false, nil
	// Work under the old process's permits is the upstream's to bound.
	row := p.s.row
	p.s.after(p.s.delay(), func() { p.do(func(p *simProc) { p.adopt(row) }) })
}

var simFaults = []string{
	"pause", "isolate", "cut", "cut store", "refuse", "lossy", "restart", "relinquish", "learn", "replace",
}

// fault draws one fault and its time.
func (s *sim) fault() {
	at := time.Duration(s.between(0, int(simLength/time.Millisecond))) * time.Millisecond
	length := time.Duration(s.between(50, 2500)) * time.Millisecond
	i := s.between(0, simHosts-1)
	kind := simFaults[s.between(0, len(simFaults)-1)]
	other := s.between(0, simHosts-1)
	aimed := s.chance(0.6)
	s.after(at, func() {
		if holder := s.find(s.row.Holder); aimed && holder >= 0 {
			i = holder
		}
		p := s.procs[i]
		switch kind {
		case "pause":
			p.paused = max(p.paused, s.now+length)
			s.after(p.paused-s.now, p.resume)
		case "isolate":
			for j := range simHosts + 1 {
				s.cuts = append(s.cuts, simCut{i, j, s.now + length})
			}
		case "cut":
			s.cuts = append(s.cuts, simCut{i, other, s.now + length})
		case "cut store":
			s.cuts = append(s.cuts, simCut{i, simStore, s.now + length})
		case "refuse":
			s.refuse = s.now + length
		case "lossy":
			s.lossy = s.now + length
		case "restart":
			p.restart()
		case "relinquish":
			p.do((*simProc).relinquish)
		case "learn":
			row := s.row
			s.after(s.delay(), func() { p.do(func(p *simProc) { p.adopt(row) }) })
		case "replace":
			p.do(func(p *simProc) {
				if p.holder != nil {
					p.holder.RequestReplacement(p.clock())
				}
			})
		}
	})
}

func runSim(t *rapid.T) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 0)), owners: map[int]bool{}}
	for i := range simHosts {
		s.procs = append(s.procs, &simProc{
			s:     s,
			index: i,
			node:  Node{Name: string(rune('a' + i)), Incarnation: uint64(i + 1)},
			rate:  1 + simDrift*float64(s.between(-10, 10))/10,
		})
	}
	s.row = Record{Generation: 1, Version: 1, Holder: s.procs[0].node, Standby: s.procs[1].node}
	for i, p := range s.procs {
		p.known = s.row
		if i == 0 {
			p.newHolder(s.row, p.clock())
		}
		p.reconcile()
		p.schedule()
	}
	for range s.between(2, 24) {
		s.fault()
	}
	for len(s.events) > 0 && s.now < simLength {
		s.step()
	}
	return s
}

func (s *sim) step() {
	next := slices.MinFunc(s.events, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	s.events = slices.DeleteFunc(s.events, func(e simEvent) bool { return e.seq == next.seq })
	s.now = max(s.now, next.at)
	next.run()
	owner := -1
	for _, p := range s.procs {
		p.permit()
		if p.permitEnd <= s.now {
			continue
		}
		if owner >= 0 {
			s.t.Fatalf("at %v hosts %d and %d both have a valid permit until %v and %v; row %+v",
				s.now, owner, p.index, s.procs[owner].permitEnd, p.permitEnd, s.row)
		}
		owner = p.index
	}
}

// TestOnePermitAtATime guards against two processes that serve the same
// position at the same instant, under message loss, delay and duplication,
// pauses, restarts, partitions, clock drift and lost store answers.
func TestOnePermitAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range simRuns {
			runSim(t)
		}
	})
}

// TestSimulationTakesOver guards against a simulation that proves nothing
// because no host but the first ever serves.
func TestSimulationTakesOver(t *testing.T) {
	runs, moved := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		if len(runSim(t).owners) > 1 {
			moved++
		}
	})
	t.Logf("%d of %d runs changed the owner", moved, runs)
	if moved*2 < runs {
		t.Fatalf("%d of %d runs changed the owner, want half or more", moved, runs)
	}
}
