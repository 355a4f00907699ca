package gate

import (
	"time"

	"burdockglade.dev/router/errkind"
)

const (
	// endedRetention is how long the outcome of a non-idempotent request is
	// stored for Resolve after its end, unless the table is full. By default
	// requests last 60 s at most.
	endedRetention = time.Minute
	// clockRateMargin allows for hosts whose clocks run at different rates.
	clockRateMargin = time.Second
	// maxTracked limits the running and ended requests in the table, which need
	// about 130 bytes each.
	maxTracked = 100_000
	// maxEndedBytes limits the size of the responses that are stored for Resolve
	// only.
	maxEndedBytes = 4 << 20
	// cancelledRetention is how long a cancelled request id is refused.
	cancelledRetention = time.Hour
	// maxCancelled limits the number of cancelled request ids.
	maxCancelled = 100_000
)

// trackedRequest is the state of a non-idempotent request.
type trackedRequest struct {
	state    ResolveState
	response *StoredResponse
	// ownedBytes is the size of the response if the journal does not hold it,
	// otherwise 0.
	ownedBytes int
	// ended is closed and set to nil at the end of the request.
	ended chan struct{}
}

// requestTable holds the non-idempotent requests of this process by the digest of
// their id, so that Resolve can return their outcome, and the ids that Resolve
// cancelled. It has no clock and no lock: the caller passes the time and holds
// the gate's lock.
type requestTable struct {
	byID        map[Digest]*trackedRequest
	endedExpiry expiryQueue
	// lastRemovedEnd is the latest end of a request that was removed.
	lastRemovedEnd time.Time
	// responseBytes is the sum of ownedBytes.
	responseBytes   int
	cancelled       map[Digest]struct{}
	cancelledExpiry expiryQueue
	trackedLimit    int
	cancelledLimit  int
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[Digest]*trackedRequest{}, cancelled: map[Digest]struct{}{}, trackedLimit: maxTracked, cancelledLimit: maxCancelled}
}

// register adds an attempt. The check against the cancelled ids and the addition
// are atomic under the gate's lock, so Resolve either finds the attempt or
// cancels it. If the table is full, the request that ended first is removed.
func (t *requestTable) register(now time.Time, id Digest) (*trackedRequest, error) {
	t.removeExpired(now)
	if _, ok := t.cancelled[id]; ok {
		return nil, errkind.New(errkind.Barred, "the request was cancelled before it arrived")
	}
	if _, ok := t.byID[id]; ok {
		return nil, errkind.New(errkind.OutcomeUnknown, "a request with this id has arrived before")
	}
	if len(t.byID) >= t.trackedLimit && !t.removeOldest() {
		return nil, errkind.New(errkind.Overloaded, "%d requests are already running", len(t.byID))
	}
	r := &trackedRequest{state: ResolveRunning, ended: make(chan struct{})}
	t.byID[id] = r
	return r, nil
}

// removeOldest removes the request that ended first. It returns false if none has
// ended.
func (t *requestTable) removeOldest() bool {
	first, ok := t.endedExpiry.pop()
	if !ok {
		return false
	}
	t.lastRemovedEnd = first.at.Add(-endedRetention - clockRateMargin)
	t.responseBytes -= t.byID[first.id].ownedBytes
	delete(t.byID, first.id)
	return true
}

// notRunMaxAge returns the maximum age of a request for which its absence from the
// table proves that it did not run. A request that was sent after the end of the
// last removed request cannot have been removed.
func (t *requestTable) notRunMaxAge(now time.Time) time.Duration {
	if t.lastRemovedEnd.IsZero() {
		return endedRetention
	}
	return max(min(endedRetention, now.Sub(t.lastRemovedEnd)-clockRateMargin), 0)
}

// end records the end of an attempt. An attempt that did not run is removed, and
// Resolve may cancel its id. inJournal is true if the journal holds the response
// and counts its bytes.
func (t *requestTable) end(now time.Time, id Digest, r *trackedRequest, state ResolveState, response *StoredResponse, inJournal bool) {
	r.state = state
	close(r.ended)
	r.ended = nil
	if state == ResolveNotRun {
		delete(t.byID, id)
		return
	}
	size := responseSize(response)
	if response != nil && !inJournal {
		if t.responseBytes+size > maxEndedBytes {
			response, size = nil, 0
		}
		r.ownedBytes = size
		t.responseBytes += size
	}
	r.response = response
	t.endedExpiry.add(id, now.Add(endedRetention+clockRateMargin))
}

// cancel makes register refuse the request id for cancelledRetention. It returns
// false if too many ids are cancelled.
func (t *requestTable) cancel(now time.Time, id Digest) bool {
	t.removeExpired(now)
	if _, ok := t.cancelled[id]; ok {
		return true
	}
	if len(t.cancelled) >= t.cancelledLimit {
		return false
	}
	t.cancelled[id] = struct{}{}
	t.cancelledExpiry.add(id, now.Add(cancelledRetention))
	return true
}

func (t *requestTable) removeExpired(now time.Time) {
	for t.endedExpiry.due(now) {
		t.removeOldest()
	}
	for t.cancelledExpiry.due(now) {
		first, _ := t.cancelledExpiry.pop()
		delete(t.cancelled, first.id)
	}
}

// expiryQueue holds ids in the order of their expiry, which is the order in which
// they are added because all have the same retention.
type expiryQueue struct {
	items []expiringID
	head  int // the index of the first id that was not popped
}

type expiringID struct {
	id Digest
	at time.Time
}

func (q *expiryQueue) add(id Digest, at time.Time) {
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, expiringID{id, at})
}

// due reports whether the first id has expired.
func (q *expiryQueue) due(now time.Time) bool {
	return q.head < len(q.items) && !now.Before(q.items[q.head].at)
}

func (q *expiryQueue) pop() (expiringID, bool) {
	if q.head == len(q.items) {
		return expiringID{}, false
	}
	q.head++
	return q.items[q.head-1], true
}
