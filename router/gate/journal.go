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
	// DefaultJournalEntries takes 25 MB when it is used up: an entry without an
	// answer has about 125 bytes. A window of one hour needs 3,600 entries,
	// 0.5 MB, for each request with a key per second.
	DefaultJournalEntries = 200_000
	DefaultResponseBytes  = 16 << 10
	DefaultTotalBytes     = 8 << 20
)

// JournalLimits bound a journal; zero fields mean the defaults.
type JournalLimits struct {
	// Entries is the number of entries.
	Entries int
	// ResponseBytes is the size of one kept answer with its headers.
	ResponseBytes int
	// TotalBytes is the size of all kept answers.
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

// Journal remembers idempotency keys with what became of their work. It never
// drops an entry inside its window. It has no clock and no lock; times are
// passed in.
type Journal struct {
	limits JournalLimits
	// attempts numbers the attempts of this process from a random start, so
	// that numbers of different processes do not meet.
	attempts uint64
	bytes    int64
	// epoch is the first time that was passed in. The entries keep their times
	// as durations since then, because a time.Time has 24 bytes.
	epoch time.Time
	// byID holds the first entry of each digest, which leads to the others. There
	// is more than one when hosts accepted the key for different requests before
	// their shards came together, when the cancellation of an attempt was lost,
	// or when several services got the key.
	byID   map[Digest]*record
	expiry expiryHeap
}

type idKey struct {
	service string
	id      Digest
}

// record is one entry of the journal. It takes an allocation of 80 bytes; the
// next size is 96.
type record struct {
	id          Digest
	fingerprint Digest
	hash        keyspace.Hash
	attempt     uint64
	// since is the time of the latest change.
	since  time.Duration
	origin unique.Handle[origin]
	// detail is nil for an entry that needs none.
	detail *detail
	index  int32
	// known is the index of the state in ranked.
	known uint8
}

// origin is what the entries of a group share.
type origin struct {
	groupKey
	// window is how long an entry is kept since its latest change.
	window time.Duration
}

// detail is what only some entries need: those that an attempt owns, those with
// an answer and those that share their digest.
type detail struct {
	answer *StoredResponse
	// ended is closed when the attempt of this process that owns the entry ends,
	// and then no longer kept.
	ended chan struct{}
	// sent is true once the upstream may have got the attempt's request.
	sent bool
	// next is the next entry of the same digest.
	next *record
}

func (rec *record) service() string { return rec.origin.Value().service }

func (rec *record) group() string { return rec.origin.Value().id }

// expires returns until when the entry is kept.
func (rec *record) expires() time.Duration {
	return rec.since + rec.origin.Value().window
}

func (rec *record) next() *record {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.next
}

// details returns the entry's details for a change. trim must follow a removal.
func (rec *record) details() *detail {
	if rec.detail == nil {
		rec.detail = &detail{}
	}
	return rec.detail
}

// trim drops the details that are no longer needed.
func (rec *record) trim() {
	if d := rec.detail; d != nil && d.answer == nil && d.ended == nil && d.next == nil {
		rec.detail = nil
	}
}

func (rec *record) state() EntryState { return ranked[rec.known] }

// ended returns a channel that is closed when the attempt ends, or nil when no
// attempt of this process owns the entry.
func (rec *record) ended() chan struct{} {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.ended
}

func (rec *record) running() bool { return rec.ended() != nil }

// unsent reports whether an attempt owns the entry whose request cannot have
// reached the upstream.
func (rec *record) unsent() bool { return rec.running() && !rec.detail.sent }

func (rec *record) answer() *StoredResponse {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.answer
}

// NewJournal returns an empty journal. seed is the random start of the numbers
// of attempts.
func NewJournal(limits JournalLimits, seed uint64) *Journal {
	return &Journal{limits: limits.withDefaults(), attempts: seed, byID: map[Digest]*record{}}
}

// Len returns the number of entries.
func (j *Journal) Len() int {
	return len(j.expiry)
}

// attempt describes a request with an idempotency key.
type attempt struct {
	service, group  string
	id, fingerprint Digest
	hash            keyspace.Hash
	window          time.Duration
	// issued is the time in a UUIDv7 key, or zero.
	issued time.Time
	// complete tells that an unseen key never ran under an earlier holder.
	complete bool
}

// verdict says what to do with an attempt.
type verdict int

const (
	// run: the entry was created and the work may start.
	run verdict = iota
	// wait: another attempt is running.
	wait
	// replay: the kept answer is the answer.
	replay
)

// Begin decides about an attempt. With run the returned record is new and must
// be ended with Finish, Lose or Cancel. An error means that the attempt is
// refused: errkind.FingerprintDiffer, errkind.OutcomeUnknown or
// errkind.JournalFull.
func (j *Journal) Begin(now time.Time, a attempt) (*record, verdict, error) {
	j.sweep(now)
	key := idKey{a.service, a.id}
	if rec := j.find(key, a.fingerprint); rec != nil {
		v, err := known(rec)
		return rec, v, err
	}
	if j.has(key) {
		return nil, 0, errkind.New(errkind.FingerprintDiffer, "the idempotency key was used for another method, path or key")
	}
	if !a.issued.IsZero() && now.Sub(a.issued) > a.window {
		return nil, 0, errkind.New(errkind.OutcomeUnknown, "the idempotency key was issued more than %v ago", a.window)
	}
	if !a.complete {
		return nil, 0, errkind.New(errkind.OutcomeUnknown, "an earlier owner may have run the work: its journal is not complete")
	}
	if j.Len() >= j.limits.Entries {
		return nil, 0, errkind.New(errkind.JournalFull, "the journal holds %d idempotency keys", j.Len())
	}
	j.attempts++
	rec := &record{
		id: a.id, fingerprint: a.fingerprint, hash: a.hash,
		origin: unique.Make(origin{groupKey{a.service, a.group}, a.window}),
		known:  knowledge(Intent), attempt: j.attempts, since: j.at(now),
		detail: &detail{ended: make(chan struct{})},
	}
	j.insert(rec)
	return rec, run, nil
}

// known decides about an attempt whose key and fingerprint are in the journal.
func known(rec *record) (verdict, error) {
	switch {
	case rec.running():
		return wait, nil
	case rec.state() == Done && rec.answer() != nil:
		return replay, nil
	case rec.state() == Done:
		return 0, errkind.New(errkind.OutcomeUnknown, "the work ran, and its answer was too large to keep")
	}
	// An intent that no attempt of this process owns came from another host.
	return 0, errkind.New(errkind.OutcomeUnknown, "the work was begun and its end is not known")
}

// find returns the entry of the key and fingerprint that knows most.
func (j *Journal) find(key idKey, fingerprint Digest) *record {
	var best *record
	for rec := range j.entries(key) {
		if rec.fingerprint == fingerprint && (best == nil || rec.known > best.known) {
			best = rec
		}
	}
	return best
}

// entries are those of the key, in the order in which they were added.
func (j *Journal) entries(key idKey) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for rec := j.byID[key.id]; rec != nil; rec = rec.next() {
			if rec.service() == key.service && !yield(rec) {
				return
			}
		}
	}
}

func (j *Journal) has(key idKey) bool {
	for range j.entries(key) {
		return true
	}
	return false
}

// attempt returns the entry of an attempt, or nil.
func (j *Journal) attempt(key idKey, number uint64) *record {
	for rec := range j.entries(key) {
		if rec.attempt == number {
			return rec
		}
	}
	return nil
}

// Finish records that the work ran. A nil answer, or one beyond the limits, is
// not kept.
func (j *Journal) MarkDone(now time.Time, rec *record, answer *StoredResponse) {
	rec.known = knowledge(Done)
	j.keep(rec, answer)
	j.end(now, rec)
}

// Lose records that the work may have run.
func (j *Journal) MarkUnknown(now time.Time, rec *record) {
	rec.known = knowledge(Unknown)
	j.end(now, rec)
}

// Cancel removes the entry of work that did not run.
func (j *Journal) Cancel(rec *record) {
	j.remove(rec)
	rec.known = knowledge(Cancelled)
	rec.stop()
}

func (j *Journal) end(now time.Time, rec *record) {
	j.renew(now, rec)
	rec.stop()
}

// renew begins the entry's window again.
func (j *Journal) renew(now time.Time, rec *record) {
	rec.since = j.at(now)
	heap.Fix(&j.expiry, int(rec.index))
}

// at is the time in the form in which the entries keep it.
func (j *Journal) at(now time.Time) time.Duration {
	if j.epoch.IsZero() {
		j.epoch = now
	}
	return now.Sub(j.epoch)
}

// stop wakes the requests that wait for the attempt.
func (rec *record) stop() {
	close(rec.detail.ended)
	rec.detail.ended = nil
	rec.trim()
}

// keep stores the answer when it fits.
func (j *Journal) keep(rec *record, answer *StoredResponse) {
	j.bytes -= int64(answerSize(rec.answer()))
	if rec.detail != nil {
		rec.detail.answer = nil
		rec.trim()
	}
	size := answerSize(answer)
	if answer == nil || size > j.limits.ResponseBytes || j.bytes+int64(size) > j.limits.TotalBytes {
		return
	}
	rec.details().answer = answer
	j.bytes += int64(size)
}

func answerSize(a *StoredResponse) int {
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
		last.details().next = rec
	}
	heap.Push(&j.expiry, rec)
}

func (j *Journal) remove(rec *record) {
	j.unlink(rec)
	heap.Remove(&j.expiry, int(rec.index))
	j.bytes -= int64(answerSize(rec.answer()))
}

func (j *Journal) unlink(rec *record) {
	before, next := j.byID[rec.id], rec.next()
	switch {
	case before != rec:
		for before.next() != rec {
			before = before.next()
		}
		before.detail.next = next
		before.trim()
	case next != nil:
		j.byID[rec.id] = next
	default:
		delete(j.byID, rec.id)
	}
	if rec.detail != nil {
		rec.detail.next = nil
		rec.trim()
	}
}

// sweep drops entries whose window has passed. An entry of a running attempt is
// kept until the attempt ends.
func (j *Journal) sweep(now time.Time) {
	for len(j.expiry) > 0 {
		rec := j.expiry[0]
		if j.at(now) < rec.expires() {
			return
		}
		if rec.running() {
			j.renew(now, rec)
			continue
		}
		j.remove(rec)
	}
}

// entry returns the form of the record that is sent to other hosts.
func (j *Journal) entry(now time.Time, rec *record) JournalEntry {
	return JournalEntry{
		ID: rec.id, Fingerprint: rec.fingerprint, Hash: rec.hash, State: rec.state(),
		Attempt: rec.attempt, Age: max(j.at(now)-rec.since, 0), Response: rec.answer(),
	}
}

// Export returns the matching entries, the oldest first.
func (j *Journal) Export(now time.Time, match func(*record) bool) []JournalEntry {
	j.sweep(now)
	var entries []JournalEntry
	for _, rec := range j.expiry {
		if match(rec) {
			entries = append(entries, j.entry(now, rec))
		}
	}
	slices.SortFunc(entries, func(a, b JournalEntry) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Attempt, b.Attempt), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return entries
}

// Forget drops the matching entries that no attempt owns.
func (j *Journal) Discard(match func(*record) bool) {
	var dropped []*record
	for _, rec := range j.expiry {
		if !rec.running() && match(rec) {
			dropped = append(dropped, rec)
		}
	}
	for _, rec := range dropped {
		j.remove(rec)
	}
}

// room reports whether the entries fit. Those that are known already need no
// room.
func (j *Journal) room(service string, entries []JournalEntry) bool {
	added := 0
	for _, e := range entries {
		if e.State != Cancelled && j.attempt(idKey{service, e.ID}, e.Attempt) == nil {
			added++
		}
	}
	return j.Len()+added <= j.limits.Entries
}

// Merge takes entries of another host's journal without regard to the limit of
// entries; see room. An entry replaces that of the same attempt unless it knows
// less. Entries older than the window are left out.
func (j *Journal) Merge(now time.Time, service, group string, entries []JournalEntry, window time.Duration) {
	j.sweep(now)
	for _, e := range entries {
		j.merge(now, service, group, e, window)
	}
}

func (j *Journal) merge(now time.Time, service, group string, e JournalEntry, window time.Duration) {
	if e.Age < 0 || e.Age >= window {
		return
	}
	key := idKey{service, e.ID}
	rec := j.attempt(key, e.Attempt)
	if rec != nil && (rec.running() || knowledge(e.State) < rec.known) {
		return
	}
	if e.State == Cancelled {
		if rec != nil {
			j.remove(rec)
		}
		return
	}
	since := j.at(now) - e.Age
	from := unique.Make(origin{groupKey{service, group}, window})
	if rec == nil {
		rec = &record{id: e.ID, fingerprint: e.Fingerprint, attempt: e.Attempt, since: since, origin: from}
		j.insert(rec)
	} else {
		rec.since, rec.origin = since, from
		heap.Fix(&j.expiry, int(rec.index))
	}
	rec.hash, rec.known = e.Hash, knowledge(e.State)
	j.keep(rec, e.Response)
}

// ranked orders the states of one attempt by what they know. A cancelled attempt
// never reached the upstream, so no other end can follow it.
var ranked = [...]EntryState{Intent, Unknown, Cancelled, Done}

// knowledge returns the index of the state in ranked. A state that this version
// does not know counts as Unknown: its work is never run again.
func knowledge(s EntryState) uint8 {
	if i := slices.Index(ranked[:], s); i >= 0 {
		return uint8(i)
	}
	return knowledge(Unknown)
}

// expiryHeap orders records by the end of their window.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires() < h[j].expires() }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.index = int32(len(*h))
	*h = append(*h, rec)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}
