package gate

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

var (
	eventSynced = event.Define(1252, log.InfoLevel, "journal was copied to a standby",
		"a group's standby changed, and the new one now has the whole journal", "none")
	eventSyncFailed = event.Define(1253, log.WarnLevel, "journal could not be copied to a standby",
		"the standby did not accept the journal; the copy is retried",
		"check the standby's log and the connection to it")
	eventCopyDropped = event.Define(1254, log.WarnLevel, "outcome was not copied to the standby",
		"the standby did not accept a journal entry, or the queue of entries is full; after a takeover the idempotency key is refused as outcome unknown",
		"check the connection to the standby if this repeats")
)

const (
	// copyWorkers is the number of goroutines that send queued entries.
	copyWorkers = 4
	// copyQueueLength is the maximum number of queued entries.
	copyQueueLength = 1024
	// copyBatch is the maximum number of queued entries that are sent together,
	// so that a round trip of 3 ms between zones does not limit the rate.
	copyBatch = 64
	// copyTimeout bounds one call that copies queued entries.
	copyTimeout = 500 * time.Millisecond
	// appendTimeout bounds one attempt to write an intent to the standby.
	appendTimeout = 300 * time.Millisecond
	// replicateTimeout bounds all attempts to write an intent. It allows for the
	// replacement of a lost standby, which starts after 250 ms without an ack.
	replicateTimeout = time.Second
	// appendRetryInterval is the delay between two attempts.
	appendRetryInterval = 25 * time.Millisecond
	// syncPartEntries is the maximum number of entries in one part of a journal.
	syncPartEntries = 128
	// syncPartBytes limits the size of the stored responses in one part, unless
	// the part has a single entry.
	syncPartBytes = 256 << 10
	// syncTimeout bounds one call that sends a part of a journal.
	syncTimeout = 2 * time.Second
	// syncRetryInterval is the delay before a failed copy of a journal is retried.
	syncRetryInterval = 100 * time.Millisecond
)

// noDeadline is the zero time, which removes the deadline of a connection.
var noDeadline time.Time

// replicateIntent writes the intent to the standby and waits for its
// acknowledgement. If the standby does not respond, it retries, with the new
// standby if the old one was replaced. Without a standby it returns nil.
func (h *requestHandler) replicateIntent(ctx context.Context) error {
	g := h.gate
	if g.opts.Replicator == nil && !h.permit.Standby.IsZero() {
		return errkind.New(errkind.JournalUnsafe, "no Replicator is configured")
	}
	deadline := g.now().Add(replicateTimeout)
	for {
		if h.permit.Standby.IsZero() {
			return nil
		}
		err := h.appendIntent(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return notSentError(ctx, "before the idempotency key was recorded")
		}
		if errkind.Is(err, errkind.JournalFull) {
			return errkind.New(errkind.JournalFull, "the standby refused the idempotency key: %w", err)
		}
		if g.now().After(deadline) {
			return errkind.New(errkind.JournalUnsafe, "the standby did not record the idempotency key: %w", err)
		}
		if err := h.refreshPermit(ctx); err != nil {
			return err
		}
	}
}

func (h *requestHandler) appendIntent(ctx context.Context) error {
	g := h.gate
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.mu.Lock()
	entry := g.journal.exportEntry(g.now(), h.rec)
	g.mu.Unlock()
	return g.opts.Replicator.Append(ctx, h.permit.Standby, groupRefOf(h.permit), []JournalEntry{entry})
}

// refreshPermit gets a new permit, which may name another standby, after
// appendRetryInterval.
func (h *requestHandler) refreshPermit(ctx context.Context) error {
	timer := time.NewTimer(appendRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return notSentError(ctx, "before the idempotency key was recorded")
	}
	permit, err := h.gate.currentPermit(h.req.Service, h.req.Hash)
	if err != nil {
		return err
	}
	if permit.GroupID != h.permit.GroupID {
		return errkind.New(errkind.JournalUnsafe, "the key moved to group %s before the idempotency key was recorded", permit.GroupID)
	}
	h.permit = permit
	return nil
}

func groupRefOf(p ownership.Permit) GroupRef {
	return GroupRef{Service: p.Service, GroupID: p.GroupID, Generation: p.Generation}
}

// queuedEntry is an entry to copy to the standby in the background.
type queuedEntry struct {
	service string
	hash    keyspace.Hash
	entry   JournalEntry
}

// queueForStandby queues an entry for the standby. If the entry is lost, the
// standby still has the intent, and after a takeover the idempotency key is
// refused as outcome unknown.
func (g *Gate) queueForStandby(req Request, entry JournalEntry) {
	if g.opts.Replicator == nil {
		return
	}
	select {
	case g.copyQueue <- queuedEntry{req.Service, req.Hash, entry}:
	default:
		g.opts.Log.Log(eventCopyDropped, event.F("service", req.Service), event.F("error", "the queue is full"))
	}
}

// copyQueuedEntries sends queued entries to the standbys until ctx ends.
func (g *Gate) copyQueuedEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.copyQueue:
			for target, entries := range g.collectBatches(first) {
				for _, part := range splitEntries(entries) {
					g.sendBatch(ctx, target, part)
				}
			}
		}
	}
}

// copyTarget is the standby of a group.
type copyTarget struct {
	ref     GroupRef
	standby ownership.Host
}

// collectBatches takes up to copyBatch queued entries and groups them by their
// current standby. Entries of groups that this host no longer holds are omitted.
func (g *Gate) collectBatches(first queuedEntry) map[copyTarget][]JournalEntry {
	byTarget := map[copyTarget][]JournalEntry{}
	for queued, n := first, 1; ; n++ {
		permit, err := g.currentPermit(queued.service, queued.hash)
		if err == nil && !permit.Standby.IsZero() {
			target := copyTarget{groupRefOf(permit), permit.Standby}
			byTarget[target] = append(byTarget[target], queued.entry)
		}
		if n == copyBatch {
			return byTarget
		}
		select {
		case queued = <-g.copyQueue:
		default:
			return byTarget
		}
	}
}

func (g *Gate) sendBatch(ctx context.Context, target copyTarget, entries []JournalEntry) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	err := g.opts.Replicator.Append(ctx, target.standby, target.ref, entries)
	if err != nil {
		g.opts.Log.Log(eventCopyDropped, event.F("service", target.ref.Service),
			event.F("entries", len(entries)), event.F("error", err.Error()))
	}
}

// syncTask is the copy of a group's journal to one standby.
type syncTask struct {
	ref     GroupRef
	standby ownership.Host
	shards  []keyspace.Shard
	// cancel ends the copy; nil until it is started.
	cancel context.CancelFunc
	synced bool
}

// SetGroup passes the gate the current record of a group that this host holds. If
// the generation or the standby changed, the whole journal of the group is sent
// to the standby in the background. The authority must issue permits of the
// record's generation before SetGroup is called: a request whose intent is not in
// that copy then writes the intent to the new standby itself.
func (g *Gate) SetGroup(record ownership.Group) {
	key := groupKey{record.Service, record.ID}
	ref := GroupRef{Service: record.Service, GroupID: record.ID, Generation: record.Generation}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.syncTasks[key]; old != nil {
		if old.ref == ref && old.standby.SameProcess(record.Standby) {
			old.shards = record.Shards
			return
		}
		old.stop()
	}
	g.syncTasks[key] = &syncTask{ref: ref, standby: record.Standby, shards: record.Shards}
	select {
	case g.wakeSync <- struct{}{}:
	default:
	}
}

// DropGroup ends the copy of the journal of a group that this host no longer
// holds.
func (g *Gate) DropGroup(service, groupID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := groupKey{service, groupID}
	if task := g.syncTasks[key]; task != nil {
		task.stop()
		delete(g.syncTasks, key)
	}
}

// Synced reports whether the current standby of the group has the whole journal.
func (g *Gate) Synced(service, groupID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	task := g.syncTasks[groupKey{service, groupID}]
	return task != nil && task.synced
}

func (t *syncTask) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

// startSyncs starts the copies that have not been started.
func (g *Gate) startSyncs(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, task := range g.syncTasks {
		if task.cancel != nil || task.standby.IsZero() || g.opts.Syncer == nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		task.cancel = cancel
		go g.syncGroup(taskCtx, task)
	}
}

// syncGroup retries the copy until it succeeds or ctx ends because the task was
// superseded.
func (g *Gate) syncGroup(ctx context.Context, task *syncTask) {
	for {
		err := g.sendJournal(ctx, task)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			g.mu.Lock()
			task.synced = true
			g.mu.Unlock()
			g.opts.Log.Log(eventSynced, event.F("group", task.ref.GroupID), event.F("standby", task.standby.Name))
			return
		}
		g.opts.Log.Log(eventSyncFailed, event.F("group", task.ref.GroupID), event.F("standby", task.standby.Name), event.F("error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(syncRetryInterval):
		}
	}
}

// sendJournal sends the whole journal of the group to the standby.
func (g *Gate) sendJournal(ctx context.Context, task *syncTask) error {
	parts := splitEntries(g.exportGroup(task))
	for i, part := range parts {
		if err := g.sendPart(ctx, task, part, i == 0, i == len(parts)-1); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gate) sendPart(ctx context.Context, task *syncTask, part []JournalEntry, first, last bool) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return g.opts.Syncer.Sync(ctx, task.standby, task.ref, part, first, last)
}

// exportGroup returns the entries that were recorded for the group or whose key is
// in its shards.
func (g *Gate) exportGroup(task *syncTask) []JournalEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.journal.Export(g.now(), func(rec *record) bool {
		if rec.service() != task.ref.Service {
			return false
		}
		_, inside := keyspace.Find(task.shards, rec.hash)
		return inside || rec.group() == task.ref.GroupID
	})
}

// splitEntries splits the entries into parts of bounded size. It returns at least
// one part.
func splitEntries(entries []JournalEntry) [][]JournalEntry {
	parts := [][]JournalEntry{nil}
	size := 0
	for _, e := range entries {
		last := len(parts) - 1
		size += responseSize(e.Response)
		if len(parts[last]) > 0 && (len(parts[last]) >= syncPartEntries || size > syncPartBytes) {
			parts = append(parts, nil)
			last++
			size = responseSize(e.Response)
		}
		parts[last] = append(parts[last], e)
	}
	return parts
}

// ExportJournal returns the journal entries of the shards, which must be closed
// and drained. Intents that were not sent to the upstream are omitted: their
// requests are blocked and cannot be sent.
func (g *Gate) ExportJournal(service string, shards []keyspace.Shard) []JournalEntry {
	match := inShards(service, shards)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.journal.Export(g.now(), func(rec *record) bool {
		return match(rec) && !rec.unsent()
	})
}

// inShards returns a function that reports whether a record belongs to the shards.
func inShards(service string, shards []keyspace.Shard) func(*record) bool {
	sorted := slices.Clone(shards)
	keyspace.Sort(sorted)
	return func(rec *record) bool {
		if rec.service() != service {
			return false
		}
		_, ok := keyspace.Find(sorted, rec.hash)
		return ok
	}
}

// ImportJournal adds entries of another holder to the journal of the group. If
// there is no room, it fails with errkind.JournalFull and adds none. If the other
// holder's journal is not complete, the caller must mark the journal as
// incomplete in the record of the group.
func (g *Gate) ImportJournal(group GroupRef, entries []JournalEntry) error {
	return g.merge(group, entries, false)
}

// merge adds entries of the group to the journal. ignoreLimit is set for the
// entries that this host held as standby, because they were within the limits of
// the replica.
func (g *Gate) merge(group GroupRef, entries []JournalEntry, ignoreLimit bool) error {
	service, ok := g.opts.Service(group.Service)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q is not defined", group.Service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ignoreLimit && !g.journal.hasRoom(group.Service, entries) {
		return errkind.New(errkind.JournalFull, "the journal has no room for %d entries", len(entries))
	}
	g.journal.Merge(g.now(), group.Service, group.GroupID, entries, service.IdempotencyWindow)
	return nil
}

// ReplicateEntries copies imported entries to the standby of the group and waits
// for its acknowledgement. Without a standby it returns nil.
func (g *Gate) ReplicateEntries(ctx context.Context, group GroupRef, standby ownership.Host, entries []JournalEntry) error {
	if standby.IsZero() || len(entries) == 0 {
		return nil
	}
	if g.opts.Replicator == nil {
		return errkind.New(errkind.JournalUnsafe, "no Replicator is configured")
	}
	for _, part := range splitEntries(entries) {
		if err := g.opts.Replicator.Append(ctx, standby, group, part); err != nil {
			return err
		}
	}
	return nil
}

// DiscardJournal removes the entries of shards that moved to another host.
func (g *Gate) DiscardJournal(service string, shards []keyspace.Shard) {
	match := inShards(service, shards)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journal.Discard(match)
}
