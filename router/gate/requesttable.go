package gate

import (
	"time"

	"burdockglade.dev/router/errkind"
)

const (
	// endedKept is how long the end of a request that may not run twice is
	// remembered for Resolve, unless there are too many. Requests last 60 s at
	// most by default.
	endedKept = time.Minute
	// endedMargin covers the difference in rate of two hosts' clocks.
	endedMargin = time.Second
	// maxTracked bounds the requests that are running or remembered, at about
	// 130 bytes each.
	maxTracked = 100_000
	// maxEndedBytes bounds the answers that are kept for Resolve only.
	maxEndedBytes = 4 << 20
	// barredKept is how long a blocked request id is refused.
	barredKept = time.Hour
	// maxBarred bounds the blocked request ids.
	maxBarred = 100_000
)

// tracked is the state of a request that may not run twice.
type tracked struct {
	state  ResolveState
	answer *StoredResponse
	// ownBytes is the size of an answer that the journal does not hold.
	ownBytes int
	// ended is closed at the end and then no longer kept.
	ended chan struct{}
}

// requestTable remembers requests by the id of their attempt, so that Resolve
// can answer for them. It has no clock and no lock.
type requestTable struct {
	byID  map[Digest]*tracked
	ended expiryQueue
	// forgotten is the latest end of a request that is no longer remembered.
	forgotten time.Time
	bytes     int
	barred    map[Digest]struct{}
	bars      expiryQueue
	limit     int
	bound     int
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[Digest]*tracked{}, barred: map[Digest]struct{}{}, limit: maxTracked, bound: maxBarred}
}

// begin registers an attempt. The check against the blocked ids and the
// registration are one step under the gate's lock, so Resolve either sees the
// attempt or blocks it. When the table is full, the oldest end is forgotten.
func (t *requestTable) begin(now time.Time, id Digest) (*tracked, error) {
	t.sweep(now)
	if _, ok := t.barred[id]; ok {
		return nil, errkind.New(errkind.Barred, "the request was given up before it arrived")
	}
	if _, ok := t.byID[id]; ok {
		return nil, errkind.New(errkind.OutcomeUnknown, "the request id arrived before")
	}
	if len(t.byID) >= t.limit && !t.forget() {
		return nil, errkind.New(errkind.Overloaded, "%d requests are running already", len(t.byID))
	}
	r := &tracked{state: ResolveRunning, ended: make(chan struct{})}
	t.byID[id] = r
	return r, nil
}

// forget drops the oldest ended request.
func (t *requestTable) forget() bool {
	first, ok := t.ended.pop()
	if !ok {
		return false
	}
	t.forgotten = first.at.Add(-endedKept - endedMargin)
	t.bytes -= t.byID[first.id].ownBytes
	delete(t.byID, first.id)
	return true
}

// within returns how long ago a request may have been sent for it to be
// remembered if it has ended. A request that was sent after the latest
// forgotten end cannot be among the forgotten ones.
func (t *requestTable) within(now time.Time) time.Duration {
	if t.forgotten.IsZero() {
		return endedKept
	}
	return max(min(endedKept, now.Sub(t.forgotten)-endedMargin), 0)
}

// end records the end of an attempt. An attempt that did not run is forgotten:
// Resolve may block its id. owned tells that the journal counts the answer's
// bytes.
func (t *requestTable) end(now time.Time, id Digest, r *tracked, state ResolveState, answer *StoredResponse, owned bool) {
	r.state = state
	close(r.ended)
	r.ended = nil
	if state == ResolveNotRun {
		delete(t.byID, id)
		return
	}
	size := answerSize(answer)
	if answer != nil && !owned {
		if t.bytes+size > maxEndedBytes {
			answer, size = nil, 0
		}
		r.ownBytes = size
		t.bytes += size
	}
	r.answer = answer
	t.ended.add(id, now.Add(endedKept+endedMargin))
}

// bar blocks a request id for good. It returns false when there is no room.
func (t *requestTable) bar(now time.Time, id Digest) bool {
	t.sweep(now)
	if _, ok := t.barred[id]; ok {
		return true
	}
	if len(t.barred) >= t.bound {
		return false
	}
	t.barred[id] = struct{}{}
	t.bars.add(id, now.Add(barredKept))
	return true
}

func (t *requestTable) sweep(now time.Time) {
	for t.ended.due(now) {
		t.forget()
	}
	for t.bars.due(now) {
		first, _ := t.bars.pop()
		delete(t.barred, first.id)
	}
}

// expiryQueue holds ids in the order of their expiry, which is the order in
// which they are added because all are kept equally long.
type expiryQueue struct {
	items []expiring
	head  int
}

type expiring struct {
	id Digest
	at time.Time
}

func (q *expiryQueue) add(id Digest, at time.Time) {
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, expiring{id, at})
}

// due reports whether the first id has expired.
func (q *expiryQueue) due(now time.Time) bool {
	return q.head < len(q.items) && !now.Before(q.items[q.head].at)
}

func (q *expiryQueue) pop() (expiring, bool) {
	if q.head == len(q.items) {
		return expiring{}, false
	}
	q.head++
	return q.items[q.head-1], true
}
