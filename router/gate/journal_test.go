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
		hash: 100, window: time.Hour, journalComplete: true,
	}
}

func storedResponse(body string) *StoredResponse {
	return &StoredResponse{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
}

func mustBegin(t *testing.T, j *Journal, now time.Time, key string) *record {
	t.Helper()
	rec, v, err := j.Begin(now, attemptOf(key))
	if err != nil || v != decisionRun {
		t.Fatalf("%s: decision %v, error %v", key, v, err)
	}
	return rec
}

// Guards against a key that is removed within its window, in particular to make
// room, and against one that is never removed.
func TestJournalKeepsEntriesForTheWindow(t *testing.T) {
	j := NewJournal(JournalLimits{Entries: 2}, 0)
	j.MarkDone(epoch.Add(time.Minute), mustBegin(t, j, epoch, "a"), storedResponse("a"))
	mustBegin(t, j, epoch, "running")
	_, _, err := j.Begin(epoch.Add(time.Hour), attemptOf("b"))
	wantKind(t, err, errkind.JournalFull)
	if _, v, _ := j.Begin(epoch.Add(time.Hour), attemptOf("a")); v != decisionReplay {
		t.Errorf("an hour after the start, 59 minutes after the end: decision %v", v)
	}
	mustBegin(t, j, epoch.Add(61*time.Minute), "b")
	if _, v, _ := j.Begin(epoch.Add(100*time.Hour), attemptOf("running")); v != decisionWait {
		t.Errorf("the entry of running work was removed: decision %v", v)
	}
}

// Guards against memory that grows without limit with the stored responses, and
// against work that runs again because its response was not stored.
func TestResponsesBeyondLimitAreNotStored(t *testing.T) {
	j := NewJournal(JournalLimits{ResponseBytes: 4, TotalBytes: 6}, 0)
	for i, body := range []string{"12345", "1234", "123", "12"} {
		j.MarkDone(epoch, mustBegin(t, j, epoch, fmt.Sprint(i)), storedResponse(body))
	}
	for i, want := range []decision{0, decisionReplay, 0, decisionReplay} {
		_, v, err := j.Begin(epoch, attemptOf(fmt.Sprint(i)))
		if v != want || (err == nil) != (want == decisionReplay) {
			t.Errorf("response %d: decision %v, error %v", i, v, err)
		}
	}
	if j.storedBytes != 6 {
		t.Errorf("%d bytes are counted, want 6", j.storedBytes)
	}
	j.removeExpired(epoch.Add(2 * time.Hour))
	if j.storedBytes != 0 || j.Len() != 0 || len(j.byID) != 0 {
		t.Errorf("after the window: %d bytes, %d entries, %d keys", j.storedBytes, j.Len(), len(j.byID))
	}
}

// Guards against a second run of work whose first run may not be in the journal:
// keys issued before the window, and new keys after a takeover with an incomplete
// journal.
func TestUnseenKeyThatMayHaveRun(t *testing.T) {
	j := NewJournal(JournalLimits{}, 0)
	incomplete := attemptOf("a")
	incomplete.journalComplete = false
	_, _, err := j.Begin(epoch, incomplete)
	wantKind(t, err, errkind.OutcomeUnknown)
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	old := attemptOf(id.String())
	old.issuedAt = uuidTime(id.String())
	if since := time.Since(old.issuedAt); since < 0 || since > time.Minute {
		t.Fatalf("the key was issued %v ago", since)
	}
	_, _, err = j.Begin(old.issuedAt.Add(time.Hour+time.Millisecond), old)
	wantKind(t, err, errkind.OutcomeUnknown)
	if _, _, err = j.Begin(old.issuedAt.Add(time.Hour), old); err != nil {
		t.Errorf("a key inside the window: %v", err)
	}
	if !uuidTime("order-17").IsZero() || !uuidTime(uuid.NewString()).IsZero() {
		t.Error("uuidTime returned a time for a key without one")
	}
}

// Guards against a delayed message about one attempt that overwrites a later state
// of it or the state of another attempt.
func TestMergeKeepsHighestRankedState(t *testing.T) {
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

// Guards against a key of one service that matches the same key of another, and
// against an entry that is lost when another one with the same digest is removed.
func TestKeysOfServicesAreSeparate(t *testing.T) {
	services := []string{"s", "t", "u"}
	for gone := range services {
		j := NewJournal(JournalLimits{}, 0)
		var recs []*record
		for i, service := range services {
			a := attemptOf("key")
			a.service, a.fingerprint = service, Digest{byte(i)}
			rec, v, err := j.Begin(epoch, a)
			if err != nil || v != decisionRun {
				t.Fatalf("%s: decision %v, error %v", service, v, err)
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
		j.Discard(matchAll)
		if j.Len() != 2 {
			t.Errorf("%d entries, want the two running ones", j.Len())
		}
		for i, rec := range recs {
			if i != gone {
				j.MarkUnknown(epoch, rec)
			}
		}
		if j.Discard(matchAll); j.Len() != 0 || len(j.byID) != 0 {
			t.Errorf("%d entries, %d keys left", j.Len(), len(j.byID))
		}
	}
}

// Guards against work that runs again, or whose outcome is lost, because a newer
// version sent a state that this one does not know.
func TestEntryStateOfNewerVersion(t *testing.T) {
	for first, want := range map[EntryState]decision{Intent: 0, Done: decisionReplay} {
		j := NewJournal(JournalLimits{}, 0)
		a := attemptOf("key")
		for _, state := range []EntryState{first, "newer"} {
			j.Merge(epoch, "s", "g", []JournalEntry{{ID: a.id, Fingerprint: a.fingerprint, State: state, Attempt: 1, Response: storedResponse("a")}}, time.Hour)
		}
		_, v, err := j.Begin(epoch, a)
		if v != want || (want != decisionReplay) != errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("%s, then a newer state: decision %v, error %v", first, v, err)
		}
	}
}

// Guards against entries that lose a field or their age when they are sent to
// another host.
func TestEntryTransferRoundTrip(t *testing.T) {
	j := NewJournal(JournalLimits{}, 0)
	j.MarkDone(epoch, mustBegin(t, j, epoch, "a"), storedResponse("answer"))
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
	if other.removeExpired(elsewhere.Add(50 * time.Minute)); other.Len() != 0 {
		t.Error("the age was lost")
	}
}

// model is a model of one shard that is moved between the groups of two hosts.
// Each group has a standby.
type model struct {
	now     time.Time
	hosts   [2]*modelHost
	holder  int
	service note.Service
	running map[string]*record
	// started holds the time of the latest start of each key's work that was not
	// cancelled.
	started map[string]time.Time
	// delayed holds messages to standbys that are delivered later or never.
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

var matchAll = func(*record) bool { return true }

func newModel() *model {
	m := &model{now: epoch, running: map[string]*record{}, started: map[string]time.Time{}, service: note.DefaultService("s")}
	m.service.IdempotencyWindow = modelWindow
	for i := range m.hosts {
		h := &modelHost{journal: m.newJournal(), generation: 1, complete: true, since: epoch}
		h.replica = NewReplica(ReplicaOptions{
			Service: func(string) (note.Service, bool) { return m.service, true },
			Limits:  JournalLimits{Entries: 6},
			Now:     func() time.Time { return m.now },
		})
		m.hosts[i] = h
		h.replica.Sync(h.ref(), nil, true, true)
	}
	return m
}

func (m *model) newJournal() *Journal {
	m.seed += 1 << 32
	return NewJournal(JournalLimits{Entries: 8}, m.seed)
}

func (h *modelHost) ref() GroupRef { return GroupRef{"s", "g", h.generation} }

// journalComplete corresponds to Gate.journalComplete.
func (h *modelHost) journalComplete(now time.Time) bool {
	return h.complete || now.Sub(h.since) >= modelWindow
}

// delay queues an entry for the standby; deliver sends it.
func (m *model) delay(h *modelHost, e JournalEntry) {
	m.delayed = append(m.delayed, message{h, h.ref(), e})
}

// beginWork starts work as the gate does: only after the standby acknowledged the
// intent. reached is false if the message to the standby is delayed.
func (m *model) beginWork(t *rapid.T, key string, reached bool) {
	h := m.hosts[m.holder]
	a := attemptOf(key)
	a.window, a.journalComplete = modelWindow, h.journalComplete(m.now)
	rec, v, err := h.journal.Begin(m.now, a)
	if err != nil || v != decisionRun {
		return
	}
	intent := h.journal.exportEntry(m.now, rec)
	if !reached {
		m.delay(h, intent)
	}
	if !reached || h.replica.Append(h.ref(), []JournalEntry{intent}) != nil {
		h.journal.Cancel(rec)
		m.delay(h, h.journal.exportEntry(m.now, rec))
		return
	}
	if last, ok := m.started[key]; ok && m.now.Sub(last) < modelWindow {
		t.Fatalf("work of key %s was started twice, %v apart", key, m.now.Sub(last))
	}
	m.started[key] = m.now
	m.running[key] = rec
}

func (m *model) endWork(key string, state EntryState) {
	rec := m.running[key]
	if rec == nil {
		return
	}
	delete(m.running, key)
	h := m.hosts[m.holder]
	switch state {
	case Done:
		h.journal.MarkDone(m.now, rec, storedResponse(key))
	case Unknown:
		h.journal.MarkUnknown(m.now, rec)
	case Cancelled:
		h.journal.Cancel(rec)
		delete(m.started, key)
	}
	m.delay(h, h.journal.exportEntry(m.now, rec))
}

// takeover makes the standby the holder of the group. The outcome of running work
// is lost.
func (m *model) takeover() {
	h := m.hosts[m.holder]
	h.complete = h.replica.Freeze("s", "g", h.generation) && h.journalComplete(m.now)
	h.since = m.now
	h.generation++
	h.journal = m.newJournal()
	h.journal.Merge(m.now, "s", "g", h.replica.group(groupKey{"s", "g"}).journal.Export(m.now, matchAll), modelWindow)
	m.running = map[string]*record{}
	h.replica.Drop("s", "g")
	h.replica.Sync(h.ref(), h.journal.Export(m.now, matchAll), true, true)
}

// move moves the shard to the other host, unless work is running or the target or
// its standby has no room for the journal.
func (m *model) move(discard bool) {
	from, to := m.hosts[m.holder], m.hosts[1-m.holder]
	entries := from.journal.Export(m.now, matchAll)
	to.journal.removeExpired(m.now)
	if len(m.running) > 0 || !to.journal.hasRoom("s", entries) || to.replica.Append(to.ref(), entries) != nil {
		return
	}
	to.journal.Merge(m.now, "s", "g", entries, modelWindow)
	if !from.journalComplete(m.now) {
		to.complete, to.since = false, m.now
	}
	m.holder = 1 - m.holder
	if discard {
		from.journal.Discard(matchAll)
	}
}

func (m *model) deliver(i int) {
	msg := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	msg.to.replica.Append(msg.ref, []JournalEntry{msg.entry})
}

// Guards against work that is started twice within the window, for any sequence of
// retries, delayed and lost messages, takeovers, moves and full journals.
func TestWorkOfAKeyStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { m.beginWork(t, keys.Draw(t, "key"), rapid.Bool().Draw(t, "reached")) },
			"end": func(t *rapid.T) {
				m.endWork(keys.Draw(t, "key"), rapid.SampledFrom([]EntryState{Done, Unknown, Cancelled}).Draw(t, "how"))
			},
			"deliver": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					m.deliver(rapid.IntRange(0, len(m.delayed)-1).Draw(t, "message"))
				}
			},
			"takeover": func(*rapid.T) { m.takeover() },
			"move":     func(t *rapid.T) { m.move(rapid.Bool().Draw(t, "forget")) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, h := range m.hosts {
					if n := h.replica.group(groupKey{"s", "g"}).journal.Len(); n > 6 {
						t.Fatalf("a replica has %d entries", n)
					}
				}
			},
		})
	})
}

func newTestReplica(entries int) *Replica {
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

// Guards against a standby that acknowledges intents that it will not have after a
// takeover: of old or frozen generations, or beyond its limits.
func TestReplicaRefusesEntries(t *testing.T) {
	r := newTestReplica(2)
	at := func(generation uint64) GroupRef { return GroupRef{"s", "g", generation} }
	if err := r.Append(at(3), intents("a")); err != nil {
		t.Fatal(err)
	}
	wantKind(t, r.Append(at(2), intents("b")), errkind.Conflict)
	wantKind(t, r.Append(at(3), intents("b", "c")), errkind.JournalFull)
	wantKind(t, r.Append(GroupRef{"s", "other", 1}, intents("b", "c")), errkind.JournalFull)
	if err := r.Append(at(3), intents("a", "b")); err != nil {
		t.Errorf("entries that are already in the copy need no room: %v", err)
	}
	r.Freeze("s", "g", 3)
	wantKind(t, r.Append(at(3), intents("a")), errkind.Conflict)
	r.Drop("s", "g")
	wantKind(t, r.Append(at(3), intents("a")), errkind.Conflict)
	if err := r.Append(at(4), intents("a")); err != nil {
		t.Error(err)
	}
}

// Guards against a partial copy that is reported as complete.
func TestReplicaIsCompleteOnlyAfterAWholeSync(t *testing.T) {
	r := newTestReplica(10)
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
		t.Error("complete in a generation without a sync")
	}
}

// Guards against a target of a move that adds only a part of a journal.
func TestImportIsAllOrNothing(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.opts.Journal.Entries = 2 })
	ref := GroupRef{"s", "g", 3}
	all := []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}}
	wantKind(t, f.ImportJournal(ref, intents("a", "b", "c")), errkind.JournalFull)
	if n := len(f.ExportJournal("s", all)); n != 0 {
		t.Errorf("%d entries were added", n)
	}
	if err := f.ImportJournal(ref, intents("a", "b")); err != nil {
		t.Error(err)
	}
	_, err := f.post(request("a"))
	wantKind(t, err, errkind.OutcomeUnknown)
	f.DiscardJournal("s", []keyspace.Shard{{First: 0, Last: 99}})
	if n := len(f.ExportJournal("s", all)); n != 2 {
		t.Errorf("%d entries after other shards were discarded, want 2", n)
	}
	f.DiscardJournal("s", all)
	if n := len(f.ExportJournal("s", all)); n != 0 {
		t.Errorf("%d entries were not discarded", n)
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
