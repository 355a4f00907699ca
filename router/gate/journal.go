package gate

import (
	"bytes"
	"cmp"
	"container/heap"
	"iter"
	"slices"
	"time"
	"unique"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// Defaults of JournalLimits.
const (
	// DefaultJournalEntries needs 25 MB if it is used up: an entry without a
	// response has about 125 bytes. An idempotency window of one hour needs 3,600
	// entries, 0.5 MB, for each request with an idempotency key per second.
	DefaultJournalEntries = 200_000
	DefaultResponseBytes  = 16 << 10
	DefaultTotalBytes     = 8 << 20
)

// JournalLimits limits the size of a Journal; zero fields mean the defaults.
type JournalLimits struct {
	// Entries is the maximum number of entries.
	Entries int
	// ResponseBytes is the maximum size of a stored response with its headers.
	ResponseBytes int
	// TotalBytes is the maximum size of all stored responses together.
	TotalBytes int64
}

func (l JournalLimits) withDefaults() JournalLimits {
	if l.Entries <= 0 {
		l.Entries = DefaultJournalEntries
	}
	if l.ResponseBytes <= 0 {
		l.ResponseBytes = DefaultResponseBytes
	}
	if l.TotalBytes <= 0 {
		l.TotalBytes = DefaultTotalBytes
	}
	return l
}

// Journal is the idempotency journal: it holds the state of the work of each
// idempotency key. It never removes an entry within its window to make room. It
// has no clock and no lock; the caller passes the time.
type Journal struct {
	limits JournalLimits
	// lastAttempt is the number of the latest attempt of this process. The
	// numbers start at random, so that those of different processes do not
	// collide.
	lastAttempt uint64
	// storedBytes is the size of all stored responses.
	storedBytes int64
	// timeBase is the first time that was passed. The entries hold their times
	// as durations since then, because a time.Time needs 24 bytes.
	timeBase time.Time
	// byID holds the first entry of each digest, which links to the others. There
	// is more than one if hosts accepted the key for different requests before
	// their shards were merged, if the cancellation of an attempt was lost, or if
	// several services received the key.
	byID   map[Digest]*record
	expiry expiryHeap
}

// idKey identifies an idempotency key of a service.
type idKey struct {
	service string
	id      Digest
}

// NewJournal returns an empty Journal. The numbers of attempts start after seed,
// which must be random so that those of different processes do not collide. A
// journal that begins no attempts, such as that of a Replica, needs no seed.
func NewJournal(limits JournalLimits, seed uint64) *Journal {
	return &Journal{limits: limits.withDefaults(), lastAttempt: seed, byID: map[Digest]*record{}}
}

// Len returns the number of entries.
func (j *Journal) Len() int {
	return len(j.expiry)
}

// attempt describes an attempt to run a request with an idempotency key.
type attempt struct {
	service, group  string
	id, fingerprint Digest
	hash            keyspace.Hash
	window          time.Duration
	// issuedAt is the timestamp of a UUIDv7 key; zero for other keys.
	issuedAt time.Time
	// journalComplete is true if the work of a key that is not in the journal
	// cannot have run under an earlier holder.
	journalComplete bool
}

// decision is the result of Journal.Begin.
type decision int

const (
	// decisionRun: a new entry was created and the work may start.
	decisionRun decision = iota
	// decisionWait: another attempt is running; wait for its end.
	decisionWait
	// decisionReplay: the work ran; return the stored response.
	decisionReplay
)

// Begin decides whether an attempt may run. With decisionRun, the returned record
// is new and the caller must end it with MarkDone, MarkUnknown or Cancel. With
// an error the attempt must be refused; the error's kind is
// errkind.FingerprintDiffer, errkind.OutcomeUnknown or errkind.JournalFull.
func (j *Journal) Begin(now time.Time, a attempt) (*record, decision, error) {
	j.removeExpired(now)
	key := idKey{a.service, a.id}
	if rec := j.find(key, a.fingerprint); rec != nil {
		v, err := decideKnown(rec)
		return rec, v, err
	}
	if j.hasKey(key) {
		return nil, 0, errkind.New(errkind.FingerprintDiffer, "the idempotency key was used for another method, path or key")
	}
	if !a.issuedAt.IsZero() && now.Sub(a.issuedAt) > a.window {
		return nil, 0, errkind.New(errkind.OutcomeUnknown, "the idempotency key was issued more than %v ago", a.window)
	}
	if !a.journalComplete {
		return nil, 0, errkind.New(errkind.OutcomeUnknown, "an earlier owner may have run the work: the journal is not complete")
	}
	if j.Len() >= j.limits.Entries {
		return nil, 0, errkind.New(errkind.JournalFull, "the journal holds %d idempotency keys", j.Len())
	}
	j.lastAttempt++
	rec := &record{
		id: a.id, fingerprint: a.fingerprint, hash: a.hash,
		origin: unique.Make(origin{groupKey{a.service, a.group}, a.window}),
		rank:   rankOf(Intent), attempt: j.lastAttempt, since: j.sinceBase(now),
		detail: &detail{ended: make(chan struct{})},
	}
	j.insert(rec)
	return rec, decisionRun, nil
}

// decideKnown decides about an attempt whose key and fingerprint are in the
// journal.
func decideKnown(rec *record) (decision, error) {
	switch {
	case rec.running():
		return decisionWait, nil
	case rec.state() == Done && rec.response() != nil:
		return decisionReplay, nil
	case rec.state() == Done:
		return 0, errkind.New(errkind.OutcomeUnknown, "the work ran, and its response was too large to store")
	}
	// An intent that no attempt of this process owns came from another host.
	return 0, errkind.New(errkind.OutcomeUnknown, "the work was started and its outcome is not known")
}

// find returns the entry of the key and fingerprint with the highest rank, or nil.
func (j *Journal) find(key idKey, fingerprint Digest) *record {
	var best *record
	for rec := range j.entriesOf(key) {
		if rec.fingerprint == fingerprint && (best == nil || rec.rank > best.rank) {
			best = rec
		}
	}
	return best
}

// entriesOf iterates over the entries of the key in the order in which they were
// added.
func (j *Journal) entriesOf(key idKey) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for rec := j.byID[key.id]; rec != nil; rec = rec.next() {
			if rec.service() == key.service && !yield(rec) {
				return
			}
		}
	}
}

func (j *Journal) hasKey(key idKey) bool {
	for range j.entriesOf(key) {
		return true
	}
	return false
}

// findAttempt returns the entry of the numbered attempt, or nil.
func (j *Journal) findAttempt(key idKey, number uint64) *record {
	for rec := range j.entriesOf(key) {
		if rec.attempt == number {
			return rec
		}
	}
	return nil
}

// MarkDone records that the work ran. The response may be nil; it is not stored if
// it exceeds the limits.
func (j *Journal) MarkDone(now time.Time, rec *record, response *StoredResponse) {
	rec.rank = rankOf(Done)
	j.storeResponse(rec, response)
	j.endAttempt(now, rec)
}

// MarkUnknown records that the work may have run.
func (j *Journal) MarkUnknown(now time.Time, rec *record) {
	rec.rank = rankOf(Unknown)
	j.endAttempt(now, rec)
}

// Cancel removes the entry of work that did not run.
func (j *Journal) Cancel(rec *record) {
	j.remove(rec)
	rec.rank = rankOf(Cancelled)
	rec.wakeWaiters()
}

// endAttempt ends the running attempt that owns the entry.
func (j *Journal) endAttempt(now time.Time, rec *record) {
	j.restartWindow(now, rec)
	rec.wakeWaiters()
}

// restartWindow restarts the entry's window.
func (j *Journal) restartWindow(now time.Time, rec *record) {
	rec.since = j.sinceBase(now)
	heap.Fix(&j.expiry, int(rec.index))
}

// sinceBase returns the time relative to timeBase, the form in which entries hold
// it.
func (j *Journal) sinceBase(now time.Time) time.Duration {
	if j.timeBase.IsZero() {
		j.timeBase = now
	}
	return now.Sub(j.timeBase)
}

// storeResponse replaces the stored response of the entry. A response that
// exceeds the limits is not stored.
func (j *Journal) storeResponse(rec *record, response *StoredResponse) {
	j.storedBytes -= int64(responseSize(rec.response()))
	if rec.detail != nil {
		rec.detail.response = nil
		rec.dropEmptyDetail()
	}
	size := responseSize(response)
	if response == nil || size > j.limits.ResponseBytes || j.storedBytes+int64(size) > j.limits.TotalBytes {
		return
	}
	rec.ensureDetail().response = response
	j.storedBytes += int64(size)
}

// responseSize returns the size in bytes that counts against the limits.
func responseSize(a *StoredResponse) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

func (j *Journal) insert(rec *record) {
	if last := j.byID[rec.id]; last == nil {
		j.byID[rec.id] = rec
	} else {
		for last.next() != nil {
			last = last.next()
		}
		last.ensureDetail().next = rec
	}
	heap.Push(&j.expiry, rec)
}

func (j *Journal) remove(rec *record) {
	j.unlink(rec)
	heap.Remove(&j.expiry, int(rec.index))
	j.storedBytes -= int64(responseSize(rec.response()))
}

func (j *Journal) unlink(rec *record) {
	previous, next := j.byID[rec.id], rec.next()
	switch {
	case previous != rec:
		for previous.next() != rec {
			previous = previous.next()
		}
		previous.detail.next = next
		previous.dropEmptyDetail()
	case next != nil:
		j.byID[rec.id] = next
	default:
		delete(j.byID, rec.id)
	}
	if rec.detail != nil {
		rec.detail.next = nil
		rec.dropEmptyDetail()
	}
}

// removeExpired removes the entries whose window has passed. The entry of a running
// attempt stays until the attempt ends.
func (j *Journal) removeExpired(now time.Time) {
	for len(j.expiry) > 0 {
		rec := j.expiry[0]
		if j.sinceBase(now) < rec.expires() {
			return
		}
		if rec.running() {
			j.restartWindow(now, rec)
			continue
		}
		j.remove(rec)
	}
}

// exportEntry returns the record in the form that is sent to other hosts.
func (j *Journal) exportEntry(now time.Time, rec *record) JournalEntry {
	return JournalEntry{
		ID: rec.id, Fingerprint: rec.fingerprint, Hash: rec.hash, State: rec.state(),
		Attempt: rec.attempt, Age: max(j.sinceBase(now)-rec.since, 0), Response: rec.response(),
	}
}

// Export returns the matching entries, the oldest first.
func (j *Journal) Export(now time.Time, match func(*record) bool) []JournalEntry {
	j.removeExpired(now)
	var entries []JournalEntry
	for _, rec := range j.expiry {
		if match(rec) {
			entries = append(entries, j.exportEntry(now, rec))
		}
	}
	slices.SortFunc(entries, func(a, b JournalEntry) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Attempt, b.Attempt), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return entries
}

// Discard removes the matching entries, except those of running attempts.
func (j *Journal) Discard(match func(*record) bool) {
	var discarded []*record
	for _, rec := range j.expiry {
		if !rec.running() && match(rec) {
			discarded = append(discarded, rec)
		}
	}
	for _, rec := range discarded {
		j.remove(rec)
	}
}

// hasRoom reports whether the entries fit within the limit of entries. Those of
// attempts that are already in the journal need no room.
func (j *Journal) hasRoom(service string, entries []JournalEntry) bool {
	added := 0
	for _, e := range entries {
		if e.State != Cancelled && j.findAttempt(idKey{service, e.ID}, e.Attempt) == nil {
			added++
		}
	}
	return j.Len()+added <= j.limits.Entries
}

// Merge adds entries of another host's journal. It does not enforce the limit of
// entries: see hasRoom. An entry replaces that of the same attempt unless its
// state has a lower rank. Entries older than the window are ignored.
func (j *Journal) Merge(now time.Time, service, group string, entries []JournalEntry, window time.Duration) {
	j.removeExpired(now)
	for _, e := range entries {
		j.merge(now, service, group, e, window)
	}
}

func (j *Journal) merge(now time.Time, service, group string, e JournalEntry, window time.Duration) {
	if e.Age < 0 || e.Age >= window {
		return
	}
	key := idKey{service, e.ID}
	rec := j.findAttempt(key, e.Attempt)
	if rec != nil && (rec.running() || rankOf(e.State) < rec.rank) {
		return
	}
	if e.State == Cancelled {
		if rec != nil {
			j.remove(rec)
		}
		return
	}
	since := j.sinceBase(now) - e.Age
	from := unique.Make(origin{groupKey{service, group}, window})
	if rec == nil {
		rec = &record{id: e.ID, fingerprint: e.Fingerprint, attempt: e.Attempt, since: since, origin: from}
		j.insert(rec)
	} else {
		rec.since, rec.origin = since, from
		heap.Fix(&j.expiry, int(rec.index))
	}
	rec.hash, rec.rank = e.Hash, rankOf(e.State)
	j.storeResponse(rec, e.Response)
}
