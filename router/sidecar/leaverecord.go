package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

const (
	// tableLeave holds the notices of leaving. Each host has a part of its own, with a row
	// for each notice, which only its own router reads.
	tableLeave = "leave"
	// leaveLoadTimeout bounds the wait of a heartbeat for the notices of earlier processes,
	// leaveKeepTimeout the wait of a notice for its row, from the arrival of its message. The
	// upstream times out after a second.
	leaveLoadTimeout = 400 * time.Millisecond
	leaveKeepTimeout = 800 * time.Millisecond
	// minHeartbeats is the number of heartbeats of one incarnation that show that it goes on
	// sending them, if they arrive over the time of as many intervals as there are between
	// them, but for a part of one.
	minHeartbeats = 3
)

// leaveRecord keeps the notices that the upstream leaves in the store, where they outlast the
// process: a notice is acknowledged once its row is written, and the notices of earlier
// processes are known before a heartbeat is believed. It is safe for concurrent use.
type leaveRecord struct {
	host  string
	store rowstore.Store
	eras  *rowstore.Eras
	log   *event.Logger
	// found is called with the notices of earlier processes.
	found func([]acceptedWithdrawal)

	// loading is held while the rows are read.
	loading sync.Mutex
	// changes is notified when a row has been written.
	changes broadcast

	mu     sync.Mutex
	loaded bool
	// notices are at most maxWithdrawals, oldest first. obsolete are rows that the next write
	// deletes.
	notices  []recordedNotice
	obsolete []rowstore.Key
	// writing is true while a goroutine writes rows or waits to try again.
	writing bool
	closed  bool

	unverified sequence
}

// sequence counts the heartbeats of an incarnation while the notices of earlier processes are
// not known. An incarnation that has left sends none; a late one of it comes alone.
type sequence struct {
	of      fleet.Incarnation
	last    int64
	count   int
	firstAt boottime.Time
}

// observe counts a heartbeat and reports whether its incarnation goes on sending them.
func (q *sequence) observe(now boottime.Time, interval time.Duration, r Heartbeat) bool {
	of := fleet.Incarnation{Instance: r.Instance, Started: r.Started}
	if q.of != of {
		*q = sequence{of: of, firstAt: now, last: r.Sequence - 1}
	}
	if r.Sequence > q.last {
		q.last = r.Sequence
		q.count++
	}
	return q.count >= minHeartbeats && now.Sub(q.firstAt) >= interval*(minHeartbeats-1)-interval/4
}

// goesOn counts a heartbeat while the notices of earlier processes are not known.
func (r *leaveRecord) goesOn(interval time.Duration, h Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unverified.observe(boottime.Now(), interval, h)
}

// recordedNotice is a notice with the version of its row, 0 until that is written.
type recordedNotice struct {
	Withdrawal
	at      time.Time
	version int64
}

// leaveRow is the JSON form of a notice, the value of its row.
type leaveRow struct {
	Instance string `json:"instance"`
	// Started is the start of the incarnation in Unix milliseconds, 0 if the notice does not
	// tell it.
	Started int64 `json:"started,omitempty"`
	// NoticedMs is the time of the notice in Unix milliseconds.
	NoticedMs int64 `json:"noticed_ms"`
}

// leaveKey returns the key of the row of a notice.
func leaveKey(host string, w Withdrawal) rowstore.Key {
	name := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d %s", w.Started, w.Instance)))
	return rowstore.Key{Table: tableLeave, Part: host, Name: name}
}

// load reads the notices of earlier processes unless they are known.
func (r *leaveRecord) load(ctx context.Context) error {
	r.loading.Lock()
	defer r.loading.Unlock()
	if r.isLoaded() {
		return nil
	}
	rows, _, err := r.store.List(ctx, tableLeave, r.host)
	if err != nil {
		return err
	}
	earlier := r.decode(rows)
	if len(earlier) > 0 {
		r.log.Log(eventEarlierNotices, event.F("notices", len(earlier)))
		r.found(withdrawalsOf(earlier))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.notices { // of this process
		if !slices.ContainsFunc(earlier, func(e recordedNotice) bool { return e.Withdrawal == n.Withdrawal }) {
			earlier = append(earlier, n)
		}
	}
	r.notices, r.loaded = earlier, true
	r.dropOldest()
	return nil
}

func (r *leaveRecord) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// decode returns the notices of the rows, oldest first. Rows of another writer are left out.
func (r *leaveRecord) decode(rows []rowstore.Row) []recordedNotice {
	var notices []recordedNotice
	for _, row := range rows {
		var value leaveRow
		if err := json.Unmarshal(row.Value, &value); err != nil || value.Instance == "" {
			r.log.Log(eventRowInvalid, event.F("row", row.Name), event.F("error", "not a notice of leaving"))
			continue
		}
		w := Withdrawal{Instance: value.Instance, Started: value.Started}
		notices = append(notices, recordedNotice{Withdrawal: w, at: time.UnixMilli(value.NoticedMs), version: row.Version})
	}
	slices.SortFunc(notices, func(a, b recordedNotice) int { return cmp.Compare(a.version, b.version) })
	return notices
}

// withdrawalsOf returns the notices as those of an earlier process.
func withdrawalsOf(notices []recordedNotice) []acceptedWithdrawal {
	var ws []acceptedWithdrawal
	for _, n := range notices {
		ws = append(ws, acceptedWithdrawal{Withdrawal: n.Withdrawal, at: n.at, earlier: true})
	}
	return ws
}

// add has a notice written. A notice that tells the start of its incarnation replaces the one
// of the same instance that does not.
func (r *leaveRecord) add(at time.Time, w Withdrawal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index(w) >= 0 {
		return
	}
	if unknown := (Withdrawal{Instance: w.Instance}); w.Started != 0 {
		r.remove(r.index(unknown))
	}
	r.notices = append(r.notices, recordedNotice{Withdrawal: w, at: at})
	r.dropOldest()
	r.startWriting()
}

// index returns the index of a notice, or -1. r.mu must be held.
func (r *leaveRecord) index(w Withdrawal) int {
	return slices.IndexFunc(r.notices, func(n recordedNotice) bool { return n.Withdrawal == w })
}

// remove removes the notice with the index, if that is not -1. r.mu must be held.
func (r *leaveRecord) remove(i int) {
	if i < 0 {
		return
	}
	r.obsolete = append(r.obsolete, leaveKey(r.host, r.notices[i].Withdrawal))
	r.notices = slices.Delete(r.notices, i, i+1)
}

// dropOldest bounds the notices. r.mu must be held.
func (r *leaveRecord) dropOldest() {
	for len(r.notices) > maxWithdrawals {
		r.remove(0)
	}
}

// keep has a notice written and waits for it until ctx ends. It reports whether the row is
// written.
func (r *leaveRecord) keep(ctx context.Context, at time.Time, w Withdrawal) bool {
	r.add(at, w)
	for {
		changed := r.changes.next()
		if r.isWritten(w) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *leaveRecord) isWritten(w Withdrawal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.index(w)
	return i >= 0 && r.notices[i].version != 0
}

// writeAgain has all notices written again: the store was put back to a copy that may lack
// them.
func (r *leaveRecord) writeAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.notices {
		r.notices[i].version = 0
	}
	r.startWriting()
}

// close ends the attempts to write.
func (r *leaveRecord) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// startWriting starts the goroutine that writes, unless it runs. r.mu must be held.
func (r *leaveRecord) startWriting() {
	if !r.writing {
		r.writing = true
		go r.writeNext()
	}
}

// writeNext writes notices until all are written. After an error it goes on later.
func (r *leaveRecord) writeNext() {
	for {
		n, obsolete, ok := r.nextUnwritten()
		if !ok {
			return
		}
		version, deleted, err := r.write(n, obsolete)
		if err != nil {
			r.log.Log(eventNoticeNotWritten, event.F("instance", n.Instance), event.F("started", n.Started), event.F("error", err.Error()))
			time.AfterFunc(publishRetryDelay, r.writeNext)
			return
		}
		r.written(n, version, deleted)
	}
}

// nextUnwritten returns the next notice to write, and the rows to delete with it. If there is
// none, the goroutine that writes ends.
func (r *leaveRecord) nextUnwritten() (n recordedNotice, obsolete []rowstore.Key, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.notices, func(n recordedNotice) bool { return n.version == 0 })
	if i < 0 || r.closed {
		r.writing = false
		return n, nil, false
	}
	return r.notices[i], slices.Clone(r.obsolete), true
}

// written records the version of the row of a notice, and that the first rows of obsolete are
// deleted.
func (r *leaveRecord) written(n recordedNotice, version int64, deleted int) {
	r.mu.Lock()
	if i := r.index(n.Withdrawal); i >= 0 {
		r.notices[i].version = version
	}
	r.obsolete = slices.Delete(r.obsolete, 0, deleted)
	r.mu.Unlock()
	r.changes.notify()
}

// write writes the row of a notice, on the condition that it does not exist, and returns its
// version and the number of rows that were deleted with it. A row that exists holds the same
// notice.
func (r *leaveRecord) write(n recordedNotice, obsolete []rowstore.Key) (version int64, deleted int, err error) {
	value, err := json.Marshal(leaveRow{Instance: n.Instance, Started: n.Started, NoticedMs: n.at.UnixMilli()})
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	key := leaveKey(r.host, n.Withdrawal)
	version, err = r.store.Commit(ctx, rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key}},
		Writes:     []rowstore.Write{{Key: key, Value: value}},
		Deletes:    obsolete,
		Era:        r.eras.Newest(),
	})
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 {
		return conflict.Rows[0].Version, 0, nil
	}
	return version, len(obsolete), err
}

// believes reports whether a heartbeat can be believed: the notices of earlier processes are
// known, or its incarnation goes on sending heartbeats that do not say that it leaves.
func (s *Sidecar) believes(ctx context.Context, r Heartbeat) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveLoadTimeout)
	defer cancel()
	err := s.leaves.load(ctx)
	if err == nil {
		return true
	}
	believed := s.leaves.goesOn(millis(s.settings.Upstream.HeartbeatMs), r)
	s.log.Log(eventEarlierNoticesUnknown, event.F("instance", r.Instance), event.F("believed", believed), event.F("error", err.Error()))
	return believed
}

// earlierNoticesFound applies the notices of earlier processes of this router.
func (s *Sidecar) earlierNoticesFound(ws []acceptedWithdrawal) {
	if s.local.recordEarlier(time.Now(), ws) {
		s.upstreamChanged(s.local.get())
	}
}
