package gate

import (
	"slices"
	"time"
	"unique"

	"burdockglade.dev/router/keyspace"
)

// record is one entry of the journal. It fits the allocator's size class of 80
// bytes; the next one is 96.
type record struct {
	// id is the digest of the idempotency key.
	id          Digest
	fingerprint Digest
	hash        keyspace.Hash
	attempt     uint64
	// since is the time of the latest change, relative to Journal.timeBase.
	since  time.Duration
	origin unique.Handle[origin]
	// detail is nil if the entry needs none of its fields.
	detail *detail
	// index is the position in the expiry heap.
	index int32
	// rank is the index of the state in statesByRank.
	rank uint8
}

// origin holds the values that all entries of a group share.
type origin struct {
	groupKey
	// window is how long an entry is retained after its latest change.
	window time.Duration
}

// detail holds the fields that only some entries need: those of a running attempt,
// those with a response and those that share their digest.
type detail struct {
	response *StoredResponse
	// ended is closed and set to nil when the attempt of this process that owns
	// the entry ends.
	ended chan struct{}
	// sent is true once the upstream may have received the attempt's request.
	sent bool
	// next is the next entry with the same digest.
	next *record
}

func (rec *record) service() string { return rec.origin.Value().service }

func (rec *record) group() string { return rec.origin.Value().id }

// expires returns the end of the entry's window, relative to Journal.timeBase.
func (rec *record) expires() time.Duration {
	return rec.since + rec.origin.Value().window
}

func (rec *record) next() *record {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.next
}

// ensureDetail returns the entry's detail for a change and allocates it if needed.
// The caller must call dropEmptyDetail after it cleared a field.
func (rec *record) ensureDetail() *detail {
	if rec.detail == nil {
		rec.detail = &detail{}
	}
	return rec.detail
}

// dropEmptyDetail releases the detail if the entry no longer needs it.
func (rec *record) dropEmptyDetail() {
	if d := rec.detail; d != nil && d.response == nil && d.ended == nil && d.next == nil {
		rec.detail = nil
	}
}

func (rec *record) state() EntryState { return statesByRank[rec.rank] }

// ended returns a channel that is closed when the attempt ends, or nil if no
// attempt of this process owns the entry.
func (rec *record) ended() chan struct{} {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.ended
}

// running reports whether an attempt of this process owns the entry.
func (rec *record) running() bool { return rec.ended() != nil }

// unsent reports whether a running attempt owns the entry and its request cannot
// have reached the upstream.
func (rec *record) unsent() bool { return rec.running() && !rec.detail.sent }

func (rec *record) response() *StoredResponse {
	if rec.detail == nil {
		return nil
	}
	return rec.detail.response
}

// wakeWaiters wakes the requests that wait for the end of the attempt.
func (rec *record) wakeWaiters() {
	close(rec.detail.ended)
	rec.detail.ended = nil
	rec.dropEmptyDetail()
}

// statesByRank orders the states of one attempt by how much they state about its
// outcome: of two states the one with the higher rank is valid. A cancelled
// attempt never reached the upstream, so no other outcome can follow.
var statesByRank = [...]EntryState{Intent, Unknown, Cancelled, Done}

// rankOf returns the index of the state in statesByRank. A state that a newer
// version introduced counts as Unknown, so that its work is not run again.
func rankOf(s EntryState) uint8 {
	if i := slices.Index(statesByRank[:], s); i >= 0 {
		return uint8(i)
	}
	return rankOf(Unknown)
}

// expiryHeap is a min-heap of records, ordered by the end of their window.
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
