package gate

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// Defaults of JournalLimits.
const (
	// DefaultJournalEntries takes 55 MB when it is used up: an entry without an
	// answer has about 280 bytes. A window of one hour needs 3,600 entries, 1 MB,
	// for each request with a key per second.
	DefaultJournalEntries = 200_000
	DefaultAnswerBytes    = 16 << 10
	DefaultTotalBytes     = 8 << 20
)

// JournalLimits bound a journal; zero fields mean the defaults.
type JournalLimits struct {
	// Entries is the number of entries.
	Entries int
	// AnswerBytes is the size of one kept answer with its headers.
	AnswerBytes int
	// TotalBytes is the size of all kept answers.
	TotalBytes int64
}

func (l JournalLimits) withDefaults() JournalLimits {
	if l.Entries <= 0 {
		l.Entries = DefaultJournalEntries
	}
	if l.AnswerBytes <= 0 {
		l.AnswerBytes = DefaultAnswerBytes
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
	// byID holds all entries of an idempotency key. There is more than one when
	// hosts accepted the key for different requests before their shards came
	// together, or when the cancellation of an attempt was lost.
	byID   map[idKey][]*record
	expiry expiryHeap
}

type idKey struct {
	service string
	id      Digest
}

// record is one entry of the journal.
type record struct {
	key         idKey
	fingerprint Digest
	hash        keyspace.Hash
	group       string
	state       EntryState
	attempt     uint64
	// since is the time of the latest change; the entry is kept until expires.
	since   time.Time
	expires time.Time
	answer  *KeptAnswer
	// running is true while an attempt of this process owns the entry, and sent
	// once the upstream may have got the request.
	running, sent bool
	// ended is closed when the attempt ends, and then no longer kept.
	ended chan struct{}
	index int
}

// NewJournal returns an empty journal. seed is the random start of the numbers
// of attempts.
func NewJournal(limits JournalLimits, seed uint64) *Journal {
	return &Journal{limits: limits.withDefaults(), attempts: seed, byID: map[idKey][]*record{}}
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
	if len(j.byID[key]) > 0 {
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
		key: key, fingerprint: a.fingerprint, hash: a.hash, group: a.group,
		state: Intent, attempt: j.attempts,
		since: now, expires: now.Add(a.window),
		running: true, ended: make(chan struct{}),
	}
	j.insert(rec)
	return rec, run, nil
}

// known decides about an attempt whose key and fingerprint are in the journal.
func known(rec *record) (verdict, error) {
	switch {
	case rec.running:
		return wait, nil
	case rec.state == Done && rec.answer != nil:
		return replay, nil
	case rec.state == Done:
		return 0, errkind.New(errkind.OutcomeUnknown, "the work ran, and its answer was too large to keep")
	}
	// An intent that no attempt of this process owns came from another host.
	return 0, errkind.New(errkind.OutcomeUnknown, "the work was begun and its end is not known")
}

// find returns the entry of the key and fingerprint that knows most.
func (j *Journal) find(key idKey, fingerprint Digest) *record {
	var best *record
	for _, rec := range j.byID[key] {
		if rec.fingerprint == fingerprint && (best == nil || knowledge(rec.state) > knowledge(best.state)) {
			best = rec
		}
	}
	return best
}

// attempt returns the entry of an attempt, or nil.
func (j *Journal) attempt(key idKey, number uint64) *record {
	for _, rec := range j.byID[key] {
		if rec.attempt == number {
			return rec
		}
	}
	return nil
}

// Finish records that the work ran. A nil answer, or one beyond the limits, is
// not kept.
func (j *Journal) Finish(now time.Time, rec *record, answer *KeptAnswer) {
	rec.state = Done
	j.keep(rec, answer)
	j.end(now, rec)
}

// Lose records that the work may have run.
func (j *Journal) Lose(now time.Time, rec *record) {
	rec.state = Unknown
	j.end(now, rec)
}

// Cancel removes the entry of work that did not run.
func (j *Journal) Cancel(rec *record) {
	j.remove(rec)
	rec.state = Cancelled
	rec.stop()
}

func (j *Journal) end(now time.Time, rec *record) {
	window := rec.expires.Sub(rec.since)
	rec.since, rec.expires = now, now.Add(window)
	heap.Fix(&j.expiry, rec.index)
	rec.stop()
}

// stop wakes the requests that wait for the attempt.
func (rec *record) stop() {
	rec.running = false
	close(rec.ended)
	rec.ended = nil
}

// keep stores the answer when it fits.
func (j *Journal) keep(rec *record, answer *KeptAnswer) {
	j.bytes -= int64(answerSize(rec.answer))
	rec.answer = nil
	size := answerSize(answer)
	if answer == nil || size > j.limits.AnswerBytes || j.bytes+int64(size) > j.limits.TotalBytes {
		return
	}
	rec.answer = answer
	j.bytes += int64(size)
}

func answerSize(a *KeptAnswer) int {
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
	j.byID[rec.key] = append(j.byID[rec.key], rec)
	heap.Push(&j.expiry, rec)
}

func (j *Journal) remove(rec *record) {
	rest := slices.DeleteFunc(j.byID[rec.key], func(o *record) bool { return o == rec })
	if len(rest) == 0 {
		delete(j.byID, rec.key)
	} else {
		j.byID[rec.key] = rest
	}
	heap.Remove(&j.expiry, rec.index)
	j.bytes -= int64(answerSize(rec.answer))
}

// sweep drops entries whose window has passed. An entry of a running attempt is
// kept until the attempt ends.
func (j *Journal) sweep(now time.Time) {
	for len(j.expiry) > 0 {
		rec := j.expiry[0]
		if now.Before(rec.expires) {
			return
		}
		if rec.running {
			window := rec.expires.Sub(rec.since)
			rec.since, rec.expires = now, now.Add(window)
			heap.Fix(&j.expiry, 0)
			continue
		}
		j.remove(rec)
	}
}

// entry returns the form of the record that is sent to other hosts.
func (rec *record) entry(now time.Time) Entry {
	return Entry{
		ID: rec.key.id, Fingerprint: rec.fingerprint, Hash: rec.hash, State: rec.state,
		Attempt: rec.attempt, Age: max(now.Sub(rec.since), 0), Answer: rec.answer,
	}
}

// Export returns the matching entries, the oldest first.
func (j *Journal) Export(now time.Time, match func(*record) bool) []Entry {
	j.sweep(now)
	var entries []Entry
	for _, rec := range j.expiry {
		if match(rec) {
			entries = append(entries, rec.entry(now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Attempt, b.Attempt), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return entries
}

// Forget drops the matching entries that no attempt owns.
func (j *Journal) Forget(match func(*record) bool) {
	var dropped []*record
	for _, rec := range j.expiry {
		if !rec.running && match(rec) {
			dropped = append(dropped, rec)
		}
	}
	for _, rec := range dropped {
		j.remove(rec)
	}
}

// room reports whether the entries fit. Those that are known already need no
// room.
func (j *Journal) room(service string, entries []Entry) bool {
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
func (j *Journal) Merge(now time.Time, service, group string, entries []Entry, window time.Duration) {
	j.sweep(now)
	for _, e := range entries {
		j.merge(now, service, group, e, window)
	}
}

func (j *Journal) merge(now time.Time, service, group string, e Entry, window time.Duration) {
	if e.Age < 0 || e.Age >= window {
		return
	}
	key := idKey{service, e.ID}
	rec := j.attempt(key, e.Attempt)
	if rec != nil && (rec.running || knowledge(e.State) < knowledge(rec.state)) {
		return
	}
	if e.State == Cancelled {
		if rec != nil {
			j.remove(rec)
		}
		return
	}
	since := now.Add(-e.Age)
	if rec == nil {
		rec = &record{key: key, fingerprint: e.Fingerprint, attempt: e.Attempt, since: since, expires: since.Add(window)}
		j.insert(rec)
	} else {
		rec.since, rec.expires = since, since.Add(window)
		heap.Fix(&j.expiry, rec.index)
	}
	rec.hash, rec.group, rec.state = e.Hash, group, e.State
	j.keep(rec, e.Answer)
}

// knowledge orders the states of one attempt. A cancelled attempt never reached
// the upstream, so no other end can follow it.
func knowledge(s EntryState) int {
	switch s {
	case Intent:
		return 0
	case Unknown:
		return 1
	case Cancelled:
		return 2
	}
	return 3
}

// expiryHeap orders records by the end of their window.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.index = len(*h)
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
