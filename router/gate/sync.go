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
		"a group's standby changed and holds the whole journal now", "none")
	eventSyncFailed = event.Define(1253, log.WarnLevel, "journal could not be copied to a standby",
		"the standby did not take the journal; the copy is tried again",
		"look at the standby's log and at the connection to it")
	eventCopyDropped = event.Define(1254, log.WarnLevel, "answer was not copied to the standby",
		"the standby did not take an answer or the queue is full; after a takeover the idempotency key is refused as outcome unknown",
		"look at the connection to the standby when this repeats")
)

const (
	copyWorkers = 4
	copyQueue   = 1024
	// copyBatch bounds the entries of one message, so that a round trip of 3 ms
	// between zones does not limit the rate.
	copyBatch   = 64
	copyTimeout = 500 * time.Millisecond
	// appendTimeout bounds one attempt to write an intent to the standby.
	appendTimeout = 300 * time.Millisecond
	// appendPatience covers the replacement of a lost standby, which begins
	// after 250 ms without an answer.
	appendPatience = time.Second
	appendPause    = 25 * time.Millisecond
	// syncChunk is the number of entries in one part of a journal.
	syncChunk = 128
	// syncBytes bounds the kept answers in one part.
	syncBytes   = 256 << 10
	syncTimeout = 2 * time.Second
	syncPause   = 100 * time.Millisecond
)

var zeroTime time.Time

// replicate writes the intent to the standby and waits for its
// acknowledgement. When the standby does not answer, it waits for another one.
func (j *job) replicate(ctx context.Context) error {
	g := j.gate
	if g.opts.Replicator == nil && !j.permit.Standby.IsZero() {
		return errkind.New(errkind.JournalUnsafe, "no replicator is set")
	}
	giveUp := g.now().Add(appendPatience)
	for {
		if j.permit.Standby.IsZero() {
			return nil
		}
		err := j.appendIntent(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return notSent(ctx, "before the idempotency key was recorded")
		}
		if errkind.Is(err, errkind.JournalFull) {
			return errkind.New(errkind.JournalFull, "the standby refused the idempotency key: %w", err)
		}
		if g.now().After(giveUp) {
			return errkind.New(errkind.JournalUnsafe, "the standby did not record the idempotency key: %w", err)
		}
		if err := j.nextStandby(ctx); err != nil {
			return err
		}
	}
}

func (j *job) appendIntent(ctx context.Context) error {
	g := j.gate
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.mu.Lock()
	entry := g.journal.entry(g.now(), j.rec)
	g.mu.Unlock()
	return g.opts.Replicator.Append(ctx, j.permit.Standby, refOf(j.permit), []JournalEntry{entry})
}

// nextStandby pauses and takes a fresh permit, which may name another standby.
func (j *job) nextStandby(ctx context.Context) error {
	timer := time.NewTimer(appendPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return notSent(ctx, "before the idempotency key was recorded")
	}
	permit, err := j.gate.permit(j.req.Service, j.req.Hash)
	if err != nil {
		return err
	}
	if permit.GroupID != j.permit.GroupID {
		return errkind.New(errkind.JournalUnsafe, "the key moved to group %s before the idempotency key was recorded", permit.GroupID)
	}
	j.permit = permit
	return nil
}

func refOf(p ownership.Permit) GroupRef {
	return GroupRef{Service: p.Service, GroupID: p.GroupID, Generation: p.Generation}
}

// copyJob is an entry that the standby should get without anyone waiting.
type copyJob struct {
	service string
	hash    keyspace.Hash
	entry   JournalEntry
}

// copyLater queues an entry for the standby. When it is lost, the standby keeps
// the intent, which a takeover refuses as outcome unknown.
func (g *Gate) copyLater(req Request, entry JournalEntry) {
	if g.opts.Replicator == nil {
		return
	}
	select {
	case g.copies <- copyJob{req.Service, req.Hash, entry}:
	default:
		g.opts.Log.Log(eventCopyDropped, event.F("service", req.Service), event.F("error", "the queue is full"))
	}
}

func (g *Gate) copyEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.copies:
			for target, entries := range g.batches(first) {
				for _, part := range split(entries) {
					g.copyPart(ctx, target, part)
				}
			}
		}
	}
}

// copyTarget is a standby of a group.
type copyTarget struct {
	ref     GroupRef
	standby ownership.Host
}

// batches takes the queued entries and sorts them by their present standby.
// Entries of groups that this host no longer holds are left out.
func (g *Gate) batches(first copyJob) map[copyTarget][]JournalEntry {
	byTarget := map[copyTarget][]JournalEntry{}
	for c, n := first, 1; ; n++ {
		permit, err := g.permit(c.service, c.hash)
		if err == nil && !permit.Standby.IsZero() {
			target := copyTarget{refOf(permit), permit.Standby}
			byTarget[target] = append(byTarget[target], c.entry)
		}
		if n == copyBatch {
			return byTarget
		}
		select {
		case c = <-g.copies:
		default:
			return byTarget
		}
	}
}

func (g *Gate) copyPart(ctx context.Context, target copyTarget, entries []JournalEntry) {
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
	cancel  context.CancelFunc
	done    bool
}

// SetGroup tells the gate the record of a group that this host holds. When its
// generation or standby changed, the whole journal of the group is sent to the
// standby in the background. The authority must give permits of the record's
// generation before SetGroup is called: an intent that the copy misses is then
// written to the new standby by its own request.
func (g *Gate) SetGroup(record ownership.Group) {
	key := groupKey{record.Service, record.ID}
	ref := GroupRef{Service: record.Service, GroupID: record.ID, Generation: record.Generation}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.syncs[key]; old != nil {
		if old.ref == ref && old.standby.Same(record.Standby) {
			old.shards = record.Shards
			return
		}
		old.stop()
	}
	g.syncs[key] = &syncTask{ref: ref, standby: record.Standby, shards: record.Shards}
	select {
	case g.resync <- struct{}{}:
	default:
	}
}

// DropGroup tells the gate that this host no longer holds the group.
func (g *Gate) DropGroup(service, groupID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := groupKey{service, groupID}
	if task := g.syncs[key]; task != nil {
		task.stop()
		delete(g.syncs, key)
	}
}

// Synced reports whether the present standby of the group has the whole
// journal.
func (g *Gate) Synced(service, groupID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	task := g.syncs[groupKey{service, groupID}]
	return task != nil && task.done
}

func (t *syncTask) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

// startSyncs starts the copies that are not under way.
func (g *Gate) startSyncs(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, task := range g.syncs {
		if task.cancel != nil || task.standby.IsZero() || g.opts.Syncer == nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		task.cancel = cancel
		go g.syncGroup(taskCtx, task)
	}
}

// syncGroup repeats the copy until it succeeds or is superseded.
func (g *Gate) syncGroup(ctx context.Context, task *syncTask) {
	for {
		err := g.sendJournal(ctx, task)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			g.mu.Lock()
			task.done = true
			g.mu.Unlock()
			g.opts.Log.Log(eventSynced, event.F("group", task.ref.GroupID), event.F("standby", task.standby.Name))
			return
		}
		g.opts.Log.Log(eventSyncFailed, event.F("group", task.ref.GroupID), event.F("standby", task.standby.Name), event.F("error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(syncPause):
		}
	}
}

func (g *Gate) sendJournal(ctx context.Context, task *syncTask) error {
	parts := split(g.exportGroup(task))
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

// exportGroup returns the entries that belong to the group by name or by
// position.
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

// split cuts entries into parts of bounded size. It returns at least one part.
func split(entries []JournalEntry) [][]JournalEntry {
	parts := [][]JournalEntry{nil}
	size := 0
	for _, e := range entries {
		last := len(parts) - 1
		size += answerSize(e.Response)
		if len(parts[last]) > 0 && (len(parts[last]) >= syncChunk || size > syncBytes) {
			parts = append(parts, nil)
			last++
			size = answerSize(e.Response)
		}
		parts[last] = append(parts[last], e)
	}
	return parts
}

// ExportJournal returns the journal entries of the shards. Call it after the
// closure of the shards has drained. Intents that were not sent to the upstream
// are left out: their requests are parked and cannot be sent.
func (g *Gate) ExportJournal(service string, shards []keyspace.Shard) []JournalEntry {
	match := inShards(service, shards)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.journal.Export(g.now(), func(rec *record) bool {
		return match(rec) && !rec.unsent()
	})
}

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

// ImportJournal adds entries of another holder to the journal of the group. It
// refuses with errkind.JournalFull, and then adds none. When the other holder's
// journal is not complete, that of the group is not complete either: its record
// must say so.
func (g *Gate) ImportJournal(group GroupRef, entries []JournalEntry) error {
	return g.merge(group, entries, false)
}

// merge adds entries. Entries that this host kept as standby are taken beyond
// the limit, because they were within the limits of the replica.
func (g *Gate) merge(group GroupRef, entries []JournalEntry, beyondLimit bool) error {
	service, ok := g.opts.Service(group.Service)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q is not defined", group.Service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !beyondLimit && !g.journal.room(group.Service, entries) {
		return errkind.New(errkind.JournalFull, "there is no room for %d journal entries", len(entries))
	}
	g.journal.Merge(g.now(), group.Service, group.GroupID, entries, service.IdempotencyWindow)
	return nil
}

// ReplicateEntries copies imported entries to the standby of the group and
// waits for its acknowledgement.
func (g *Gate) ReplicateEntries(ctx context.Context, group GroupRef, standby ownership.Host, entries []JournalEntry) error {
	if standby.IsZero() || len(entries) == 0 {
		return nil
	}
	if g.opts.Replicator == nil {
		return errkind.New(errkind.JournalUnsafe, "no replicator is set")
	}
	for _, part := range split(entries) {
		if err := g.opts.Replicator.Append(ctx, standby, group, part); err != nil {
			return err
		}
	}
	return nil
}

// DiscardJournal drops the entries of shards that moved away.
func (g *Gate) DiscardJournal(service string, shards []keyspace.Shard) {
	match := inShards(service, shards)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journal.Discard(match)
}
