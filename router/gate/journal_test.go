package gate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func attemptOf(key string) attempt {
	return attempt{
		service: "s", group: "g", id: HashIdempotencyKey(key), fingerprint: Fingerprint(http.MethodPost, "/s/k", "s", "k"),
		hash: 100, window: time.Hour, complete: true,
	}
}

func keptOf(body string) *StoredResponse {
	return &StoredResponse{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
}

func mustBegin(t *testing.T, j *Journal, now time.Time, key string) *record {
	t.Helper()
	rec, v, err := j.Begin(now, attemptOf(key))
	if err != nil || v != run {
		t.Fatalf("%s: verdict %v, error %v", key, v, err)
	}
	return rec
}

// Guards against a key that is forgotten inside its window, in particular to
// make room, and against one that is kept for ever.
func TestJournalKeepsEntriesForTheWindow(t *testing.T) {
	j := NewJournal(JournalLimits{Entries: 2}, 0)
	j.MarkDone(epoch.Add(time.Minute), mustBegin(t, j, epoch, "a"), keptOf("a"))
	mustBegin(t, j, epoch, "running")
	_, _, err := j.Begin(epoch.Add(time.Hour), attemptOf("b"))
	wantKind(t, err, errkind.JournalFull)
	if _, v, _ := j.Begin(epoch.Add(time.Hour), attemptOf("a")); v != replay {
		t.Errorf("an hour after the start, 59 minutes after the end: verdict %v", v)
	}
	mustBegin(t, j, epoch.Add(61*time.Minute), "b")
	if _, v, _ := j.Begin(epoch.Add(100*time.Hour), attemptOf("running")); v != wait {
		t.Errorf("running work was forgotten: verdict %v", v)
	}
}

// Guards against memory that grows with the answers, and against work that is
// run again because its answer was not kept.
func TestAnswersBeyondTheLimitAreNotKept(t *testing.T) {
	j := NewJournal(JournalLimits{ResponseBytes: 4, TotalBytes: 6}, 0)
	for i, body := range []string{"12345", "1234", "123", "12"} {
		j.MarkDone(epoch, mustBegin(t, j, epoch, fmt.Sprint(i)), keptOf(body))
	}
	for i, want := range []verdict{0, replay, 0, replay} {
		_, v, err := j.Begin(epoch, attemptOf(fmt.Sprint(i)))
		if v != want || (err == nil) != (want == replay) {
			t.Errorf("answer %d: verdict %v, error %v", i, v, err)
		}
	}
	if j.bytes != 6 {
		t.Errorf("%d bytes are counted, want 6", j.bytes)
	}
	j.sweep(epoch.Add(2 * time.Hour))
	if j.bytes != 0 || j.Len() != 0 || len(j.byID) != 0 {
		t.Errorf("after the window: %d bytes, %d entries, %d keys", j.bytes, j.Len(), len(j.byID))
	}
}

// Guards against a first run that may be a second one: keys issued before the
// window, and unseen keys after a takeover with an incomplete journal.
func TestUnseenKeyThatMayHaveRun(t *testing.T) {
	j := NewJournal(JournalLimits{}, 0)
	incomplete := attemptOf("a")
	incomplete.complete = false
	_, _, err := j.Begin(epoch, incomplete)
	wantKind(t, err, errkind.OutcomeUnknown)
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	old := attemptOf(id.String())
	old.issued = issuedAt(id.String())
	if since := time.Since(old.issued); since < 0 || since > time.Minute {
		t.Fatalf("the key was issued %v ago", since)
	}
	_, _, err = j.Begin(old.issued.Add(time.Hour+time.Millisecond), old)
	wantKind(t, err, errkind.OutcomeUnknown)
	if _, _, err = j.Begin(old.issued.Add(time.Hour), old); err != nil {
		t.Errorf("a key inside the window: %v", err)
	}
	if !issuedAt("order-17").IsZero() || !issuedAt(uuid.NewString()).IsZero() {
		t.Error("a key without a time has one")
	}
}

// Guards against a late message about one attempt that undoes what is known of
// it or of another attempt.
func TestMergeLosesNothing(t *testing.T) {
	entry := func(state EntryState, attempt uint64) JournalEntry {
		return JournalEntry{ID: HashIdempotencyKey("a"), Fingerprint: Digest{1}, State: state, Attempt: attempt}
	}
	for _, c := range []struct {
		entries []JournalEntry
		want    EntryState
	}{
		{[]JournalEntry{entry(Intent, 1), entry(Done, 1), entry(Intent, 1)}, Done},
		{[]JournalEntry{entry(Intent, 1), entry(Cancelled, 1)}, Cancelled},
		{[]JournalEntry{entry(Intent, 1), entry(Unknown, 2), entry(Cancelled, 1)}, Unknown},
		{[]JournalEntry{entry(Unknown, 1), entry(Cancelled, 2)}, Unknown},
		{[]JournalEntry{entry(Done, 2), entry(Cancelled, 2)}, Done},
		{[]JournalEntry{entry(Intent, 1), entry(Done, 2), entry(Intent, 3)}, Done},
	} {
		j := NewJournal(JournalLimits{}, 0)
		j.Merge(epoch, "s", "g", c.entries, time.Hour)
		got := Cancelled
		if rec := j.find(idKey{"s", HashIdempotencyKey("a")}, Digest{1}); rec != nil {
			got = rec.state()
		}
		if got != c.want {
			t.Errorf("%v: %s, want %s", c.entries, got, c.want)
		}
	}
}

// Guards against one service's key that answers for another's, and against an
// entry that is lost when another one of the same digest ends.
func TestKeysOfServicesAreSeparate(t *testing.T) {
	services := []string{"s", "t", "u"}
	for gone := range services {
		j := NewJournal(JournalLimits{}, 0)
		var recs []*record
		for i, service := range services {
			a := attemptOf("key")
			a.service, a.fingerprint = service, Digest{byte(i)}
			rec, v, err := j.Begin(epoch, a)
			if err != nil || v != run {
				t.Fatalf("%s: verdict %v, error %v", service, v, err)
			}
			recs = append(recs, rec)
		}
		j.Cancel(recs[gone])
		for i, service := range services {
			for fingerprint := range services {
				rec := j.find(idKey{service, HashIdempotencyKey("key")}, Digest{byte(fingerprint)})
				if (rec == recs[i]) != (i == fingerprint && i != gone) || rec != nil && rec != recs[i] {
					t.Errorf("without %s: found %v for %s, fingerprint %d", services[gone], rec, service, fingerprint)
				}
			}
		}
		j.Discard(everything)
		if j.Len() != 2 {
			t.Errorf("%d entries, want the two running ones", j.Len())
		}
		for i, rec := range recs {
			if i != gone {
				j.MarkUnknown(epoch, rec)
			}
		}
		if j.Discard(everything); j.Len() != 0 || len(j.byID) != 0 {
			t.Errorf("%d entries, %d keys left", j.Len(), len(j.byID))
		}
	}
}

// Guards against work that is run again, or whose end is forgotten, because a
// newer version sent a state that this one does not know.
func TestStateOfANewerVersion(t *testing.T) {
	for first, want := range map[EntryState]verdict{Intent: 0, Done: replay} {
		j := NewJournal(JournalLimits{}, 0)
		a := attemptOf("key")
		for _, state := range []EntryState{first, "newer"} {
			j.Merge(epoch, "s", "g", []JournalEntry{{ID: a.id, Fingerprint: a.fingerprint, State: state, Attempt: 1, Response: keptOf("a")}}, time.Hour)
		}
		_, v, err := j.Begin(epoch, a)
		if v != want || (want != replay) != errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("%s, then a newer state: verdict %v, error %v", first, v, err)
		}
	}
}

// Guards against entries that lose a field or their age between hosts.
func TestEntriesSurviveTheTransfer(t *testing.T) {
	j := NewJournal(JournalLimits{}, 0)
	j.MarkDone(epoch, mustBegin(t, j, epoch, "a"), keptOf("answer"))
	mustBegin(t, j, epoch, "b")
	all := func(*record) bool { return true }
	sent := j.Export(epoch.Add(10*time.Minute), all)
	encoded, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received []JournalEntry
	if err := json.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	other := NewJournal(JournalLimits{}, 0)
	elsewhere := epoch.Add(-1000 * time.Hour)
	other.Merge(elsewhere, "s", "g", received, time.Hour)
	if diff := cmp.Diff(sent, other.Export(elsewhere, all)); diff != "" {
		t.Error(diff)
	}
	if other.sweep(elsewhere.Add(50 * time.Minute)); other.Len() != 0 {
		t.Error("the age was lost")
	}
}

// world is a model of one shard that moves between the groups of two hosts.
// Each group has a standby.
type world struct {
	now     time.Time
	hosts   [2]*modelHost
	holder  int
	service note.Service
	running map[string]*record
	// started is the time of the latest start that was not cancelled.
	started map[string]time.Time
	// delayed holds messages to standbys that arrive late or never.
	delayed []message
	seed    uint64
}

type modelHost struct {
	journal    *Journal
	replica    *Replica
	generation uint64
	complete   bool
	since      time.Time
}

type message struct {
	to    *modelHost
	ref   GroupRef
	entry JournalEntry
}

const modelWindow = 10 * time.Minute

var everything = func(*record) bool { return true }

func newWorld() *world {
	w := &world{now: epoch, running: map[string]*record{}, started: map[string]time.Time{}, service: note.DefaultService("s")}
	w.service.IdempotencyWindow = modelWindow
	for i := range w.hosts {
		h := &modelHost{journal: w.newJournal(), generation: 1, complete: true, since: epoch}
		h.replica = NewReplica(ReplicaOptions{
			Service: func(string) (note.Service, bool) { return w.service, true },
			Limits:  JournalLimits{Entries: 6},
			Now:     func() time.Time { return w.now },
		})
		w.hosts[i] = h
		h.replica.Sync(h.ref(), nil, true, true)
	}
	return w
}

func (w *world) newJournal() *Journal {
	w.seed += 1 << 32
	return NewJournal(JournalLimits{Entries: 8}, w.seed)
}

func (h *modelHost) ref() GroupRef { return GroupRef{"s", "g", h.generation} }

func (h *modelHost) sure(now time.Time) bool {
	return h.complete || now.Sub(h.since) >= modelWindow
}

func (w *world) later(h *modelHost, e JournalEntry) {
	w.delayed = append(w.delayed, message{h, h.ref(), e})
}

// begin starts work as the gate does: only with the standby's acknowledgement.
func (w *world) begin(t *rapid.T, key string, reached bool) {
	h := w.hosts[w.holder]
	a := attemptOf(key)
	a.window, a.complete = modelWindow, h.sure(w.now)
	rec, v, err := h.journal.Begin(w.now, a)
	if err != nil || v != run {
		return
	}
	intent := h.journal.entry(w.now, rec)
	if !reached {
		w.later(h, intent)
	}
	if !reached || h.replica.Append(h.ref(), []JournalEntry{intent}) != nil {
		h.journal.Cancel(rec)
		w.later(h, h.journal.entry(w.now, rec))
		return
	}
	if last, ok := w.started[key]; ok && w.now.Sub(last) < modelWindow {
		t.Fatalf("work of key %s was started twice, %v apart", key, w.now.Sub(last))
	}
	w.started[key] = w.now
	w.running[key] = rec
}

func (w *world) end(key string, how EntryState) {
	rec := w.running[key]
	if rec == nil {
		return
	}
	delete(w.running, key)
	h := w.hosts[w.holder]
	switch how {
	case Done:
		h.journal.MarkDone(w.now, rec, keptOf(key))
	case Unknown:
		h.journal.MarkUnknown(w.now, rec)
	case Cancelled:
		h.journal.Cancel(rec)
		delete(w.started, key)
	}
	w.later(h, h.journal.entry(w.now, rec))
}

// takeover gives the group to its standby; running work is lost.
func (w *world) takeover() {
	h := w.hosts[w.holder]
	h.complete = h.replica.Freeze("s", "g", h.generation) && h.sure(w.now)
	h.since = w.now
	h.generation++
	h.journal = w.newJournal()
	h.journal.Merge(w.now, "s", "g", h.replica.group(groupKey{"s", "g"}).journal.Export(w.now, everything), modelWindow)
	w.running = map[string]*record{}
	h.replica.Drop("s", "g")
	h.replica.Sync(h.ref(), h.journal.Export(w.now, everything), true, true)
}

// move hands the shard over in an orderly way, unless work is running or the
// target or its standby has no room.
func (w *world) move(forget bool) {
	from, to := w.hosts[w.holder], w.hosts[1-w.holder]
	entries := from.journal.Export(w.now, everything)
	to.journal.sweep(w.now)
	if len(w.running) > 0 || !to.journal.room("s", entries) || to.replica.Append(to.ref(), entries) != nil {
		return
	}
	to.journal.Merge(w.now, "s", "g", entries, modelWindow)
	if !from.sure(w.now) {
		to.complete, to.since = false, w.now
	}
	w.holder = 1 - w.holder
	if forget {
		from.journal.Discard(everything)
	}
}

func (w *world) deliver(i int) {
	m := w.delayed[i]
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	m.to.replica.Append(m.ref, []JournalEntry{m.entry})
}

// Guards against work that is started twice inside the window, through any
// order of repeats, late and lost messages, takeovers, moves and full journals.
func TestWorkOfAKeyStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { w.begin(t, keys.Draw(t, "key"), rapid.Bool().Draw(t, "reached")) },
			"end": func(t *rapid.T) {
				w.end(keys.Draw(t, "key"), rapid.SampledFrom([]EntryState{Done, Unknown, Cancelled}).Draw(t, "how"))
			},
			"deliver": func(t *rapid.T) {
				if len(w.delayed) > 0 {
					w.deliver(rapid.IntRange(0, len(w.delayed)-1).Draw(t, "message"))
				}
			},
			"takeover": func(*rapid.T) { w.takeover() },
			"move":     func(t *rapid.T) { w.move(rapid.Bool().Draw(t, "forget")) },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, h := range w.hosts {
					if n := h.replica.group(groupKey{"s", "g"}).journal.Len(); n > 6 {
						t.Fatalf("a replica has %d entries", n)
					}
				}
			},
		})
	})
}

func replicaFor(entries int) *Replica {
	return NewReplica(ReplicaOptions{
		Service: func(name string) (note.Service, bool) { return note.DefaultService(name), name == "s" },
		Limits:  JournalLimits{Entries: entries},
	})
}

func intents(keys ...string) []JournalEntry {
	var entries []JournalEntry
	for i, k := range keys {
		entries = append(entries, JournalEntry{
			ID: HashIdempotencyKey(k), Fingerprint: Fingerprint(http.MethodPost, "/s/k", "s", "k"),
			Hash: 100, State: Intent, Attempt: uint64(i + 1),
		})
	}
	return entries
}

// Guards against a standby that acknowledges intents which its takeover would
// not know: of old or frozen generations, or beyond its limits.
func TestReplicaRefusesWhatItCannotKeep(t *testing.T) {
	r := replicaFor(2)
	at := func(generation uint64) GroupRef { return GroupRef{"s", "g", generation} }
	if err := r.Append(at(3), intents("a")); err != nil {
		t.Fatal(err)
	}
	wantKind(t, r.Append(at(2), intents("b")), errkind.Conflict)
	wantKind(t, r.Append(at(3), intents("b", "c")), errkind.JournalFull)
	wantKind(t, r.Append(GroupRef{"s", "other", 1}, intents("b", "c")), errkind.JournalFull)
	if err := r.Append(at(3), intents("a", "b")); err != nil {
		t.Errorf("known entries need no room: %v", err)
	}
	r.Freeze("s", "g", 3)
	wantKind(t, r.Append(at(3), intents("a")), errkind.Conflict)
	r.Drop("s", "g")
	wantKind(t, r.Append(at(3), intents("a")), errkind.Conflict)
	if err := r.Append(at(4), intents("a")); err != nil {
		t.Error(err)
	}
}

// Guards against a partial copy that counts as complete.
func TestReplicaIsCompleteOnlyAfterAWholeSync(t *testing.T) {
	r := replicaFor(10)
	at := func(generation uint64) GroupRef { return GroupRef{"s", "g", generation} }
	r.Append(at(3), intents("a"))
	if r.Freeze("s", "g", 3) {
		t.Error("complete without a sync")
	}
	wantKind(t, r.Sync(at(4), intents("a"), false, true), errkind.Conflict)
	r.Sync(at(5), intents("a"), true, false)
	if r.Freeze("s", "g", 5) {
		t.Error("complete without the last part")
	}
	r.Sync(at(6), intents("a"), true, false)
	r.Sync(at(6), intents("b"), false, true)
	if r.Freeze("s", "g", 7) || !r.Freeze("s", "g", 6) {
		t.Error("complete for another generation, or not for its own")
	}
	r.Sync(at(8), nil, true, true)
	r.Append(at(9), intents("c"))
	if r.Freeze("s", "g", 9) {
		t.Error("complete in a generation that was not synchronised")
	}
}

// Guards against a target of a move that takes a part of a journal.
func TestImportIsAllOrNothing(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.opts.Journal.Entries = 2 })
	ref := GroupRef{"s", "g", 3}
	all := []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}}
	wantKind(t, f.ImportJournal(ref, intents("a", "b", "c")), errkind.JournalFull)
	if n := len(f.ExportJournal("s", all)); n != 0 {
		t.Errorf("%d entries were taken", n)
	}
	if err := f.ImportJournal(ref, intents("a", "b")); err != nil {
		t.Error(err)
	}
	_, err := f.post(request("a"))
	wantKind(t, err, errkind.OutcomeUnknown)
	f.DiscardJournal("s", []keyspace.Shard{{First: 0, Last: 99}})
	if n := len(f.ExportJournal("s", all)); n != 2 {
		t.Errorf("%d entries after forgetting other shards", n)
	}
	f.DiscardJournal("s", all)
	if n := len(f.ExportJournal("s", all)); n != 0 {
		t.Errorf("%d entries were not forgotten", n)
	}
}

func BenchmarkJournal(b *testing.B) {
	j := NewJournal(JournalLimits{Entries: 1 << 30}, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := epoch.Add(time.Duration(i) * 36 * time.Millisecond)
		rec, _, err := j.Begin(now, attemptOf(fmt.Sprint(i)))
		if err != nil {
			b.Fatal(err)
		}
		j.MarkDone(now, rec, nil)
	}
}
