package move

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

var (
	t0     = time.Unix(1_800_000_000, 0)
	shards = keyspace.Divide(4)
	source = ownership.Host{Name: "source", Incarnation: 1}
	target = ownership.Host{Name: "target", Incarnation: 2}
)

func plan() Plan {
	return Plan{Service: "s", SourceGroup: "a", Generation: 7, JournalComplete: true, Shards: shards[:2], Target: target}
}

func targetGroup(version int64) ownership.Group {
	return ownership.Group{Service: "s", ID: "b", Holder: target, Version: version, Shards: shards[3:]}
}

var errLost = errors.New("message lost")

// world connects both machines through a model of the network and of the store.
// Every request or response may be lost or late; a write may take effect after
// the source has stopped waiting for its response.
type world struct {
	t        *rapid.T
	now      time.Time
	src      *SourceMachine
	tgt      *TargetMachine
	faults   bool
	pending  []func()
	versions [2]int64 // rows of source and target
	applied  bool
	delayed  *delayedWrite
	closed   bool
	inFlight bool
	imported bool
	// adoptedVersion is the version of its row that the target has adopted.
	adoptedVersion int64
}

type delayedWrite struct {
	source int64
	target int64
}

// Fates of a message.
const (
	arrives = iota
	requestLost
	responseLost
	late
)

func (w *world) fate() int {
	if !w.faults {
		return arrives
	}
	return rapid.SampledFrom([]int{arrives, arrives, arrives, requestLost, responseLost, late}).Draw(w.t, "fate")
}

// send delivers a message according to its fate.
func (w *world) send(deliver func() SourceEvent, failed SourceEvent) {
	switch w.fate() {
	case arrives:
		w.pending = append(w.pending, func() { w.source(deliver()) })
	case requestLost:
		w.pending = append(w.pending, func() { w.source(failed) })
	case responseLost:
		w.pending = append(w.pending, func() { deliver(); w.source(failed) })
	case late:
		w.pending = append(w.pending, func() { w.source(failed) }, func() { deliver() })
	}
}

func (w *world) source(e SourceEvent) {
	for _, a := range w.src.Step(w.now, e) {
		w.sourceAction(a)
	}
}

func (w *world) sourceAction(action SourceAction) {
	switch a := action.(type) {
	case SendPrepare:
		w.send(func() SourceEvent { return w.prepare(a.Request) }, PrepareDone{Err: errLost})
	case CloseShards:
		w.closed, w.inFlight = true, true
		w.source(ShardsClosed{})
	case SendTransfer:
		if w.inFlight {
			w.t.Fatal("journal exported with requests in flight")
		}
		r := TransferRequest{MoveID: w.src.moveID}
		w.send(func() SourceEvent { return w.transfer(r) }, TransferDone{Err: errLost})
	case WriteRows:
		w.pending = append(w.pending, func() { w.source(WriteDone{w.write(a.Write)}) })
	case ResolveWrite:
		w.pending = append(w.pending, func() { w.source(WriteDone{w.resolve()}) })
	case SendCommit:
		w.send(func() SourceEvent { w.target(CommitRequested(a)); return CommitDone{} }, CommitDone{Err: errLost})
	case ReopenShards:
		if w.applied || w.mayStillApply() {
			w.t.Fatal("shards reopened although the target owns them or may come to own them")
		}
		w.closed = false
	case ReleaseShards:
		if !w.applied {
			w.t.Fatal("shards released although the target does not own them")
		}
		w.closed = false
	}
}

func (w *world) prepare(r PrepareRequest) SourceEvent {
	for _, action := range w.tgt.Step(w.now, PrepareRequested{r}) {
		if _, ok := action.(AcceptShards); !ok {
			continue
		}
		e := AcceptDone{MoveID: r.MoveID, Group: targetGroup(w.versions[1])}
		for _, action := range w.tgt.Step(w.now, e) {
			if a, ok := action.(RespondPrepare); ok {
				return PrepareDone(a)
			}
		}
	}
	return PrepareDone{Err: errLost}
}

func (w *world) transfer(r TransferRequest) SourceEvent {
	for _, action := range w.tgt.Step(w.now, TransferRequested{r}) {
		switch a := action.(type) {
		case RespondTransfer:
			return TransferDone(a)
		case ImportEntries:
			w.imported = true
			w.target(ImportDone{MoveID: r.MoveID})
			return TransferDone{}
		}
	}
	return TransferDone{errLost}
}

func (w *world) target(e TargetEvent) {
	for _, action := range w.tgt.Step(w.now, e) {
		switch a := action.(type) {
		case AdoptTargetRecords:
			w.adoptedVersion = max(w.adoptedVersion, a.Records[len(a.Records)-1].Version)
		case ReadRow:
			if w.fate() == arrives {
				w.target(RowRead{MoveID: a.MoveID, Group: targetGroup(w.versions[1])})
			} else {
				w.target(RowRead{MoveID: a.MoveID, Err: errLost})
			}
		}
	}
}

func (w *world) write(wr Write) WriteResult {
	d := &delayedWrite{source: w.versions[0], target: wr.Target.Version}
	switch w.fate() {
	case arrives:
		if w.apply(d) {
			return w.appliedResult()
		}
		return WriteResult{Outcome: NotApplied, Err: errLost}
	case responseLost:
		w.apply(d)
	case late:
		w.delayed = d
	}
	return WriteResult{Outcome: Unknown, Err: errLost}
}

func (w *world) apply(d *delayedWrite) bool {
	if w.versions != [2]int64{d.source, d.target} {
		return false
	}
	if !w.imported {
		w.t.Fatal("rows written before the target has the journal")
	}
	w.applied = true
	next := max(w.versions[0], w.versions[1]) + 1
	w.versions = [2]int64{next, next}
	return true
}

func (w *world) appliedResult() WriteResult {
	return WriteResult{
		Outcome: Applied,
		Source:  ownership.Group{Service: "s", ID: "a", Version: w.versions[0]},
		Target:  targetGroup(w.versions[1]),
	}
}

func (w *world) mayStillApply() bool {
	return w.delayed != nil && w.versions == [2]int64{w.delayed.source, w.delayed.target}
}

// resolve keeps the contract of Records.ResolveMove: it makes a delayed write fail
// before it returns NotApplied.
func (w *world) resolve() WriteResult {
	if w.fate() != arrives {
		return WriteResult{Outcome: Unknown, Err: errLost}
	}
	if w.applied {
		return w.appliedResult()
	}
	w.versions[0]++
	return WriteResult{Outcome: NotApplied, Err: errLost}
}

func (w *world) deliver(i int) {
	f := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	f()
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.source(Tick{})
	w.target(TargetTick{})
}

// randomStep performs one step that can happen at any time.
func (w *world) randomStep() {
	if n := len(w.pending); n > 0 && rapid.IntRange(0, 2).Draw(w.t, "deliver") > 0 {
		w.deliver(rapid.IntRange(0, n-1).Draw(w.t, "message"))
		return
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1, 2:
		w.advance(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "ms")) * time.Millisecond)
	case 3, 4, 5:
		w.drain()
	case 6:
		if w.delayed != nil {
			w.apply(w.delayed)
			w.delayed = nil
		}
	case 7:
		w.versions[rapid.IntRange(0, 1).Draw(w.t, "renewed row")]++
	case 8:
		w.target(PrepareRequested{PrepareRequest{MoveID: "another move"}})
	case 9:
		if rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
			w.source(GroupLost{})
		}
	}
}

func (w *world) drain() {
	if w.closed {
		w.inFlight = false
		w.source(Drained{})
	}
}

// quiesce runs without further faults until nothing is left to do.
func (w *world) quiesce() {
	w.faults = false
	for range 200 {
		w.drain()
		for len(w.pending) > 0 {
			w.deliver(0)
		}
		if w.delayed != nil {
			w.apply(w.delayed)
			w.delayed = nil
		}
		w.advance(500 * time.Millisecond)
	}
}

// Guards against shards with two owners or none and against a lost journal when
// messages are lost, late or retried: the shards reopen only if the write can no
// longer take effect, they are released only if it did, the write follows the
// transfer, and in the end both sides know the outcome.
func TestMoveUnderFaults(t *testing.T) {
	outcomes := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		p := plan()
		if rapid.Bool().Draw(t, "stop") {
			p.ShutdownDrainLimit = 10 * time.Second
		}
		w := &world{t: t, now: t0, src: NewSourceMachine("m", p), tgt: NewTargetMachine(), faults: true, versions: [2]int64{10, 11}}
		w.source(Started{})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			w.randomStep()
		}
		w.quiesce()
		r, done := w.src.Result()
		if !done || r.Outcome == Unknown {
			t.Fatalf("source has not ended: phase %d, result %+v", w.src.phase, r)
		}
		if (r.Outcome == Applied) != w.applied {
			t.Fatalf("outcome %v, rows written: %v", r.Outcome, w.applied)
		}
		if w.closed {
			t.Fatal("shards left closed")
		}
		if w.applied && w.adoptedVersion < r.Target.Version {
			t.Fatal("target does not know its new row")
		}
		if _, waits := w.tgt.Wake(); waits || w.tgt.Busy(w.now) {
			t.Fatal("target still waits for the move")
		}
		outcomes[r.Outcome]++
	})
	if outcomes[Applied] == 0 || outcomes[NotApplied] == 0 {
		t.Fatalf("outcomes %v: the test misses one side", outcomes)
	}
}

// Guards against a target that never learns that it owns the shards because the
// source failed after its commit: the target must read its row soon, without a
// message, and retry if the store fails at first.
func TestTargetFindsCommitInItsRow(t *testing.T) {
	m := NewTargetMachine()
	m.Step(t0, PrepareRequested{PrepareRequest{MoveID: "m"}})
	m.Step(t0, AcceptDone{MoveID: "m", Group: targetGroup(11)})
	m.Step(t0, TransferRequested{TransferRequest{MoveID: "m"}})
	m.Step(t0, ImportDone{MoveID: "m"})
	now := t0
	for _, version := range []int64{0, 11, 12} { // read fails, row unchanged, row written
		wake, ok := m.Wake()
		if !ok || wake.Sub(now) > time.Second {
			t.Fatalf("next read at %v after %v", wake, now)
		}
		now = wake
		if len(m.Step(now, TargetTick{})) != 1 {
			t.Fatal("row not read")
		}
		e := RowRead{MoveID: "m", Group: targetGroup(version)}
		if version == 0 {
			e.Err = errLost
		}
		if adopted := len(m.Step(now, e)) == 1; adopted != (version == 12) {
			t.Fatalf("version %d: adopted %v", version, adopted)
		}
	}
	if m.Busy(now) {
		t.Fatal("target waits for a move that is over")
	}
}

// Guards against a target that receives two moves at a time, against a
// preparation that blocks a target permanently, and against a retried request
// that does not renew the preparation.
func TestTargetReceivesOneMove(t *testing.T) {
	m := NewTargetMachine()
	m.Step(t0, PrepareRequested{PrepareRequest{MoveID: "first"}})
	m.Step(t0, AcceptDone{MoveID: "first", Group: targetGroup(11)})
	accepts := func(now time.Time, id string) bool {
		_, ok := m.Step(now, PrepareRequested{PrepareRequest{MoveID: id}})[0].(AcceptShards)
		return ok
	}
	if accepts(t0.Add(time.Second), "second") {
		t.Fatal("second move accepted during the first")
	}
	if !accepts(t0.Add(time.Second), "first") {
		t.Fatal("retried request refused")
	}
	if accepts(t0.Add(PreparationTimeout), "second") {
		t.Fatal("retried request did not renew the preparation")
	}
	if !accepts(t0.Add(time.Second+PreparationTimeout), "second") {
		t.Fatal("preparation did not expire")
	}
	if a := m.Step(t0.Add(5*time.Second), TransferRequested{TransferRequest{MoveID: "first"}}); a[0].(RespondTransfer).Err == nil {
		t.Fatal("journal accepted for a move that expired")
	}
}

// Guards against a preparation that expires during a slow import, so that a
// second move is accepted and both write the target's row.
func TestPreparationLastsThroughImport(t *testing.T) {
	m := NewTargetMachine()
	m.Step(t0, PrepareRequested{PrepareRequest{MoveID: "m"}})
	m.Step(t0, AcceptDone{MoveID: "m", Group: targetGroup(11)})
	m.Step(t0, TransferRequested{TransferRequest{MoveID: "m"}})
	late := t0.Add(2 * PreparationTimeout)
	if !m.Busy(late) {
		t.Fatal("preparation expired during the import")
	}
	m.Step(late, ImportDone{MoveID: "m", Err: errLost})
	if m.Busy(late.Add(PreparationTimeout)) {
		t.Fatal("preparation did not expire after the import")
	}
}

// Guards against gaps or overlaps of ownership in the rows, and against a target
// that considers its journal complete although the source's was not.
func TestApply(t *testing.T) {
	src := ownership.Group{Service: "s", ID: "a", Shards: shards[:3], JournalComplete: true, HolderSince: t0.Add(time.Hour)}
	dst := ownership.Group{Service: "s", ID: "b", Shards: shards[3:], JournalComplete: true, HolderSince: t0}
	a, b, err := Apply(src, dst, shards[1:2])
	if err != nil || len(a.Shards) != 2 || len(b.Shards) != 2 || !b.JournalComplete || !b.HolderSince.Equal(t0) {
		t.Fatalf("%+v %+v %v", a, b, err)
	}
	src.JournalComplete = false
	if _, b, _ = Apply(src, dst, shards[1:2]); b.JournalComplete || !b.HolderSince.Equal(src.HolderSince) {
		t.Fatalf("journal of the target: %+v", b)
	}
	if _, _, err := Apply(src, dst, shards[3:]); err == nil {
		t.Error("moved a shard that the source lacks")
	}
	if _, _, err := Apply(src, ownership.Group{Service: "s", ID: "b", Shards: shards}, shards[:1]); err == nil {
		t.Error("moved a shard that the target has")
	}
	if _, _, err := Apply(src, src, shards[:1]); err == nil {
		t.Error("moved within a group")
	}
}

// Guards against lost or reordered journal entries in a transfer of several
// parts, and against parts above the size limit.
func TestSplitParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOf(rapid.IntRange(1, 30)).Draw(t, "sizes")
		var entries []JournalEntry
		for i, n := range sizes {
			entries = append(entries, make(JournalEntry, n))
			entries[i][0] = byte(i)
		}
		next := 0
		parts := splitParts(entries, 20)
		for _, part := range parts {
			size := 0
			for _, e := range part {
				if e[0] != byte(next) {
					t.Fatalf("entry %d, want %d", e[0], byte(next))
				}
				next++
				size += len(e)
			}
			if size > 20 && len(part) > 1 {
				t.Fatalf("part of %d bytes", size)
			}
		}
		if next != len(entries) || len(parts) == 0 {
			t.Fatalf("%d of %d entries in %d parts", next, len(entries), len(parts))
		}
	})
}

// Guards against a missing or excessive delay between attempts.
func TestBackoff(t *testing.T) {
	for failures := range 100 {
		for _, random := range []float64{0, 0.999} {
			if p := Backoff(failures, random); p < backoffBase/10 || p > backoffMax {
				t.Errorf("delay %v after %d failures", p, failures)
			}
		}
	}
}
