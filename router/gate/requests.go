package gate

import (
	"time"

	"burdockglade.dev/router/errkind"
)

const (
	// endedKept is how long the end of a request that may not run twice is
	// remembered for Resolve. Requests last 60 s at most by default.
	endedKept = 2 * time.Minute
	// endedMargin covers the difference in rate of two hosts' clocks.
	endedMargin = time.Second
	// maxEnded bounds the requests that are remembered or running.
	maxEnded = 100_000
	// maxEndedBytes bounds the answers that are kept for Resolve only.
	maxEndedBytes = 8 << 20
	// barredKept is how long a blocked request id is refused.
	barredKept = time.Hour
	// maxBarred bounds the blocked request ids.
	maxBarred = 100_000
)

// tracked is the state of a request that may not run twice.
type tracked struct {
	state  ResolveState
	answer *KeptAnswer
	// ownBytes is the size of an answer that the journal does not hold.
	ownBytes int
	ended    chan struct{}
}

// requestTable remembers requests by the id of their attempt, so that Resolve
// can answer for them. It has no clock and no lock.
type requestTable struct {
	byID   map[string]*tracked
	ended  expiryQueue
	bytes  int
	barred map[string]struct{}
	bars   expiryQueue
	limit  int
	bound  int
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[string]*tracked{}, barred: map[string]struct{}{}, limit: maxEnded, bound: maxBarred}
}

// begin registers an attempt. The check against the blocked ids and the
// registration are one step under the gate's lock, so Resolve either sees the
// attempt or blocks it.
func (t *requestTable) begin(now time.Time, id string) (*tracked, error) {
	t.sweep(now)
	if err := t.refuseBarred(id); err != nil {
		return nil, err
	}
	if _, ok := t.byID[id]; ok {
		return nil, errkind.New(errkind.OutcomeUnknown, "request id %q arrived before", id)
	}
	if len(t.byID) >= t.limit {
		return nil, errkind.New(errkind.Overloaded, "%d requests are remembered already", len(t.byID))
	}
	r := &tracked{state: ResolveRunning, ended: make(chan struct{})}
	t.byID[id] = r
	return r, nil
}

func (t *requestTable) refuseBarred(id string) error {
	if _, ok := t.barred[id]; ok {
		return errkind.New(errkind.Barred, "request id %q was given up", id)
	}
	return nil
}

// end records the end of an attempt. An attempt that did not run is forgotten:
// Resolve may block its id. owned tells that the journal counts the answer's
// bytes.
func (t *requestTable) end(now time.Time, id string, r *tracked, state ResolveState, answer *KeptAnswer, owned bool) {
	r.state = state
	close(r.ended)
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
func (t *requestTable) bar(now time.Time, id string) bool {
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
	for id, ok := t.ended.next(now); ok; id, ok = t.ended.next(now) {
		t.bytes -= t.byID[id].ownBytes
		delete(t.byID, id)
	}
	for id, ok := t.bars.next(now); ok; id, ok = t.bars.next(now) {
		delete(t.barred, id)
	}
}

// expiryQueue holds ids in the order of their expiry, which is the order in
// which they are added because all are kept equally long.
type expiryQueue struct {
	items []expiring
	head  int
}

type expiring struct {
	id string
	at time.Time
}

func (q *expiryQueue) add(id string, at time.Time) {
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, expiring{id, at})
}

// next removes and returns an id that has expired.
func (q *expiryQueue) next(now time.Time) (string, bool) {
	if q.head == len(q.items) || now.Before(q.items[q.head].at) {
		return "", false
	}
	id := q.items[q.head].id
	q.items[q.head] = expiring{}
	q.head++
	return id, true
}
