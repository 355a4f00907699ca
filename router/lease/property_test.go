package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simTiming has a short renewal deadline so that watchers act within a run.
// Clocks drift by up to simMaxDrift, which both margins cover: 1.02/0.98 is below
// 1.05.
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
	simMaxDrift    = 0.02
	simHosts       = 4
	simDuration    = 8 * time.Second
	simRuns        = 20                    // runs per check: most faults in the protocol show within 2,000 runs
	simCallTimeout = 60 * time.Millisecond // for store calls without a response
	simStoreIndex  = simHosts              // index of the store in partitions
)

// sim is one simulation run: hosts with drifting clocks, a network and a store
// with one row.
type sim struct {
	t           *rapid.T
	random      *rand.Rand
	now         time.Duration
	events      []simEvent
	seq         int
	procs       []*simProc
	row         Record
	writeID     int
	lastID      int
	partitions  []simPartition
	refuseUntil time.Duration // the store refuses calls until then
	dropUntil   time.Duration // responses of the store are lost until then
	owners      map[int]bool  // hosts that held a permit
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simPartition drops messages between two hosts, or a host and the store, until
// the given time.
type simPartition struct {
	a, b  int
	until time.Duration
}

// between returns a random integer of the closed range [low, high]. All random
// values derive from one seed because rapid prefers small values, which would
// make faults rare.
func (s *sim) between(low, high int) int {
	return low + s.random.IntN(high-low+1)
}

func (s *sim) chance(p float64) bool {
	return s.random.Float64() < p
}

// after schedules an event after the delay d.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	s.events = append(s.events, simEvent{s.now + d, s.seq, run})
}

func (s *sim) partitioned(a, b int) bool {
	return slices.ContainsFunc(s.partitions, func(c simPartition) bool {
		return s.now < c.until && (c.a == a && c.b == b || c.a == b && c.b == a)
	})
}

// delay returns a random message delay: mostly short, sometimes as long as a
// lease.
func (s *sim) delay() time.Duration {
	if s.between(0, 9) > 7 {
		return time.Duration(s.between(0, 600)) * time.Millisecond
	}
	return time.Duration(s.between(0, 3)) * time.Millisecond
}

// send delivers a message 0, 1 or 2 times.
func (s *sim) send(from, to int, input func(p *simProc)) {
	copies := 1
	switch s.between(0, 19) {
	case 18:
		copies = 0
	case 19:
		copies = 2
	}
	for range copies {
		s.after(s.delay(), func() {
			if !s.partitioned(from, to) {
				s.procs[to].deliver(input)
			}
		})
	}
}

// simProc is one host with the driver of its state machines.
type simProc struct {
	s            *sim
	index        int
	node         Node
	clockRate    float64
	pausedUntil  time.Duration
	backlog      []func(p *simProc)
	known        Record
	holder       *Holder
	standby      *Standby
	watcher      *Watcher
	blocked      bool
	writePending bool // the write of a watcher or a hand-over is in progress
	tickAt       time.Duration
	// permitEnd is the latest end of all permits granted so far.
	permitEnd time.Duration
}

var simEpoch = time.Unix(1_000_000, 0)

// localTime returns the time of the process's drifting clock.
func (p *simProc) localTime() time.Time {
	return simEpoch.Add(time.Duration(float64(p.s.now) * p.clockRate))
}

// simTime converts a time of the process's clock to the time of the simulation.
func (p *simProc) simTime(local time.Time) time.Duration {
	return time.Duration(float64(local.Sub(simEpoch)) / p.clockRate)
}

// deliver runs f as an input of the process. A paused process runs it when it
// resumes.
func (p *simProc) deliver(f func(p *simProc)) {
	if p.s.now < p.pausedUntil {
		p.backlog = append(p.backlog, f)
		return
	}
	f(p)
	p.schedule()
}

// ifNotRestarted returns a function that runs f unless the process has been
// restarted in the meantime.
func (p *simProc) ifNotRestarted(f func(p *simProc)) func(p *simProc) {
	incarnation := p.node.Incarnation
	return func(p *simProc) {
		if p.node.Incarnation == incarnation {
			f(p)
		}
	}
}

// resume ends a pause. The process runs the inputs that arrived during it,
// sometimes after a tick.
func (p *simProc) resume() {
	if p.s.now < p.pausedUntil {
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

// schedule schedules the next tick of the process.
func (p *simProc) schedule() {
	var next time.Time
	if p.holder != nil {
		next = earlierNonZero(next, p.holder.NextTick())
	}
	if p.standby != nil {
		next = earlierNonZero(next, p.standby.NextTick())
	}
	if p.watcher != nil && !p.writePending {
		next = earlierNonZero(next, p.watcher.Due())
	}
	if next.IsZero() {
		return
	}
	at := max(p.simTime(next), p.s.now) + time.Microsecond
	if p.tickAt > p.s.now && p.tickAt <= at {
		return
	}
	p.tickAt = at
	p.s.after(at-p.s.now, func() { p.deliver((*simProc).tick) })
}

func (p *simProc) tick() {
	now := p.localTime()
	if p.holder != nil {
		p.execute(p.holder.Tick(now))
	}
	if p.standby != nil {
		p.execute(p.standby.Tick(now))
	}
	if p.watcher != nil && !p.writePending && !now.Before(p.watcher.Due()) {
		p.writePending = true
		next := Record{Generation: p.known.Generation + 1, Holder: p.node, Standby: p.pickStandby(p.known.Holder.Name)}
		p.write(simWrite{kind: "seize", base: p.known, next: next})
	}
}

// pickStandby picks a random standby; sometimes none is available.
func (p *simProc) pickStandby(exclude ...string) Node {
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

// execute carries out actions of the state machines.
func (p *simProc) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendHeartbeat:
			if to := p.s.hostIndex(p.holder.Record().Standby); to >= 0 {
				p.s.send(p.index, to, func(q *simProc) { q.heartbeat(a.Heartbeat) })
			}
		case SendAck:
			if to := p.s.hostIndex(p.standby.Record().Holder); to >= 0 {
				p.s.send(p.index, to, func(q *simProc) {
					if q.holder != nil {
						q.holder.Ack(q.localTime(), a.Ack)
					}
				})
			}
		case RenewRow:
			p.write(simWrite{kind: "touch", base: p.known, next: p.known, holder: p.holder})
		case ReplaceStandby:
			next := p.known
			next.Generation++
			next.Standby = p.pickStandby(p.known.Standby.Name)
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
					p.execute(standby.RowRead(p.localTime(), r == simApplied, row))
				}
			})
		case TakeOver:
			next := Record{Generation: a.Record.Generation + 1, Holder: p.node, Standby: p.pickStandby(a.Record.Holder.Name)}
			p.write(simWrite{kind: "takeover", base: a.Record, next: next})
		}
	}
}

// hostIndex returns the index of the host of a process, or -1.
func (s *sim) hostIndex(n Node) int {
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
	p.execute(p.standby.Heartbeat(p.localTime(), hb))
}

func (p *simProc) newStandby(rec Record) {
	p.standby = NewStandby(StandbyOptions{Timing: simTiming, Self: p.node, Record: rec, Now: p.localTime()})
}

func (p *simProc) newHolder(rec Record, writeSentAt time.Time) {
	p.blocked = false
	p.holder = NewHolder(HolderOptions{Timing: simTiming, Record: rec, WriteSentAt: writeSentAt, Now: p.localTime()})
}

// adopt updates the roles of the host if the record is newer than the known one.
func (p *simProc) adopt(rec Record) {
	if rec.Version <= p.known.Version {
		return
	}
	p.known = rec
	p.reconcile()
}

// reconcile makes the roles of the host follow the known record.
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
	p.watcher = nil
	if p.holder == nil && p.standby == nil {
		w := NewWatcher(WatcherOptions{Timing: simTiming, Version: rec.Version, Now: p.localTime()})
		p.watcher = &w
	}
}

type simResult int

const (
	simApplied simResult = iota
	simConflict
	simRefused
	simOutcomeUnknown
)

// call runs a store operation. The call or its response may be lost, or the
// store may refuse it; the response arrives after a delay.
func (p *simProc) call(op func() (Record, simResult), done func(p *simProc, row Record, r simResult)) {
	s := p.s
	finish := p.ifNotRestarted(func(p *simProc) { done(p, Record{}, simOutcomeUnknown) })
	s.after(s.delay(), func() {
		if s.partitioned(p.index, simStoreIndex) {
			s.after(simCallTimeout, func() { p.deliver(finish) })
			return
		}
		if s.now < s.refuseUntil {
			s.after(s.delay(), func() { p.deliver(p.ifNotRestarted(func(p *simProc) { done(p, Record{}, simRefused) })) })
			return
		}
		row, r := op()
		if s.now < s.dropUntil && s.chance(0.5) {
			s.after(simCallTimeout, func() { p.deliver(finish) })
			return
		}
		response := p.ifNotRestarted(func(p *simProc) { done(p, row, r) })
		s.after(s.delay(), func() { p.deliver(response) })
	})
}

type simWrite struct {
	kind       string
	base, next Record
	id         int
	sentAt     time.Time
	uncertain  bool
	holder     *Holder // the state machine that requested the write
}

// write sends a write and resolves its outcome as ownership.Records does: a
// write with an unknown outcome is sent again with the same id and condition.
func (p *simProc) write(w simWrite) {
	s := p.s
	if w.id == 0 {
		s.lastID++
		w.id = s.lastID
	}
	if w.sentAt.IsZero() {
		w.sentAt = p.localTime()
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
		if r == simOutcomeUnknown || r == simRefused && w.uncertain {
			w.uncertain = true
			s.after(20*time.Millisecond, func() { p.deliver(p.ifNotRestarted(func(p *simProc) { p.write(w) })) })
			return
		}
		if r == simConflict && w.kind != "seize" && row.SameLease(w.base) {
			w.base, w.id, w.uncertain = row, 0, false
			p.write(w)
			return
		}
		p.writeDone(w, row, r)
	})
}

// writeDone handles the known outcome of a write.
func (p *simProc) writeDone(w simWrite, row Record, r simResult) {
	current := w.holder != nil && p.holder == w.holder
	switch w.kind {
	case "touch":
		if current {
			p.holder.RowRenewed(p.localTime(), r == simApplied, row)
		}
	case "replace":
		notApplied := row.Generation == w.next.Generation && !row.SameLease(w.next)
		if current && r == simConflict && w.uncertain && !notApplied {
			p.holder = nil
		} else if current {
			p.holder.ReplaceDone(p.localTime(), r == simApplied, row)
		}
	case "takeover":
		if r == simRefused && p.standby != nil && p.standby.TakeoverStarted() {
			w.id, w.sentAt = 0, time.Time{}
			p.s.after(20*time.Millisecond, func() { p.deliver(p.ifNotRestarted(func(p *simProc) { p.write(w) })) })
			return
		}
	case "seize":
		p.writePending = false
	case "relinquish":
		p.writePending = false
		p.blocked = p.blocked && r != simRefused
	}
	if r == simRefused {
		if w.kind == "seize" && p.watcher != nil {
			p.watcher.Postpone(p.localTime().Add(simTiming.MaxRetryDelay))
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

// relinquish hands the group over to the standby after the last permit has
// ended.
func (p *simProc) relinquish() {
	if p.holder == nil || p.writePending || p.holder.Record().Standby.IsZero() {
		return
	}
	p.blocked, p.writePending = true, true
	h := p.holder
	p.s.after(max(0, p.permitEnd-p.s.now)+time.Millisecond, func() {
		p.deliver(p.ifNotRestarted(func(p *simProc) {
			rec := p.known
			if p.holder != h || rec.Holder != p.node || rec.Standby.IsZero() {
				p.writePending, p.blocked = false, false
				return
			}
			next := Record{Generation: rec.Generation + 1, Holder: rec.Standby, Standby: p.pickStandby(rec.Standby.Name)}
			p.write(simWrite{kind: "relinquish", base: rec, next: next})
		}))
	})
}

// permit records the longest permit that the process can grant now.
func (p *simProc) permit() {
	if p.holder == nil || p.blocked || p.s.now < p.pausedUntil {
		return
	}
	now := p.localTime()
	until := earlier(p.holder.LeaseEnd(), now.Add(simTiming.LeaseDuration))
	if until.After(now) {
		p.permitEnd = max(p.permitEnd, p.simTime(until))
		p.s.owners[p.index] = true
	}
}

// restart replaces the process by one that knows nothing and learns of the row
// after a delay.
func (p *simProc) restart() {
	p.node.Incarnation += simHosts
	p.known, p.holder, p.standby, p.watcher = Record{}, nil, nil, nil
	p.blocked, p.writePending, p.backlog = false, false, nil
	// The upstream limits how long requests run that the old process permitted.
	row := p.s.row
	p.s.after(p.s.delay(), func() { p.deliver(func(p *simProc) { p.adopt(row) }) })
}

var simFaults = []string{
	"pause", "isolate", "cut", "cut store", "refuse", "lossy", "restart", "relinquish", "learn", "replace",
}

// fault schedules one random fault at a random time.
func (s *sim) fault() {
	at := time.Duration(s.between(0, int(simDuration/time.Millisecond))) * time.Millisecond
	length := time.Duration(s.between(50, 2500)) * time.Millisecond
	i := s.between(0, simHosts-1)
	kind := simFaults[s.between(0, len(simFaults)-1)]
	other := s.between(0, simHosts-1)
	aimed := s.chance(0.6)
	s.after(at, func() {
		if holder := s.hostIndex(s.row.Holder); aimed && holder >= 0 {
			i = holder
		}
		p := s.procs[i]
		switch kind {
		case "pause":
			p.pausedUntil = max(p.pausedUntil, s.now+length)
			s.after(p.pausedUntil-s.now, p.resume)
		case "isolate":
			for j := range simHosts + 1 {
				s.partitions = append(s.partitions, simPartition{i, j, s.now + length})
			}
		case "cut":
			s.partitions = append(s.partitions, simPartition{i, other, s.now + length})
		case "cut store":
			s.partitions = append(s.partitions, simPartition{i, simStoreIndex, s.now + length})
		case "refuse":
			s.refuseUntil = s.now + length
		case "lossy":
			s.dropUntil = s.now + length
		case "restart":
			p.restart()
		case "relinquish":
			p.deliver((*simProc).relinquish)
		case "learn":
			row := s.row
			s.after(s.delay(), func() { p.deliver(func(p *simProc) { p.adopt(row) }) })
		case "replace":
			p.deliver(func(p *simProc) {
				if p.holder != nil {
					p.holder.RequestReplacement(p.localTime())
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
			s:         s,
			index:     i,
			node:      Node{Name: string(rune('a' + i)), Incarnation: uint64(i + 1)},
			clockRate: 1 + simMaxDrift*float64(s.between(-10, 10))/10,
		})
	}
	s.row = Record{Generation: 1, Version: 1, Holder: s.procs[0].node, Standby: s.procs[1].node}
	for i, p := range s.procs {
		p.known = s.row
		if i == 0 {
			p.newHolder(s.row, p.localTime())
		}
		p.reconcile()
		p.schedule()
	}
	for range s.between(2, 24) {
		s.fault()
	}
	for len(s.events) > 0 && s.now < simDuration {
		s.step()
	}
	return s
}

// step runs the next event and checks that at most one host has a valid permit.
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

// Guards against two processes that serve the same position at the same time,
// under message loss, delay and duplication, process pauses, restarts,
// partitions, clock drift and lost responses of the store.
func TestAtMostOnePermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range simRuns {
			runSim(t)
		}
	})
}

// Guards against a simulation that proves nothing because only the first host
// ever serves.
func TestSimulationChangesOwner(t *testing.T) {
	runs, changed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		if len(runSim(t).owners) > 1 {
			changed++
		}
	})
	t.Logf("%d of %d runs changed the owner", changed, runs)
	if changed*2 < runs {
		t.Fatalf("%d of %d runs changed the owner, want half or more", changed, runs)
	}
}
