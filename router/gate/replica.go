package gate

import (
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
)

// ReplicaOptions configure a replica. Service is required.
type ReplicaOptions struct {
	Service func(name string) (note.Service, bool)
	// Limits hold for all groups together.
	Limits JournalLimits
	// Now defaults to time.Now.
	Now func() time.Time
}

// Replica keeps the copies of journals for which this host is standby.
type Replica struct {
	opts ReplicaOptions

	mu     sync.Mutex
	groups map[groupKey]*replicaGroup
}

// replicaGroup is the copy of one group's journal. Each group has a journal of
// its own, because the copy of a group may hold entries of shards that moved to
// another group since.
type replicaGroup struct {
	generation uint64
	// frozen is the highest generation that is refused.
	frozen uint64
	// syncing is set by the first part of a whole journal and complete by the
	// last one.
	syncing, complete bool
	journal           *Journal
}

// NewReplica returns an empty replica.
func NewReplica(opts ReplicaOptions) *Replica {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Limits = opts.Limits.withDefaults()
	return &Replica{opts: opts, groups: map[groupKey]*replicaGroup{}}
}

// Append takes entries of the group's present generation. It refuses an older
// or frozen generation with errkind.Conflict and entries beyond the limits with
// errkind.JournalFull; then it takes none.
func (r *Replica) Append(group GroupRef, entries []JournalEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.take(group, entries)
	return err
}

// Sync takes a part of the group's whole journal. The copy is complete once the
// last part was taken, because the holder sends each part only after the one
// before it was acknowledged.
func (r *Replica) Sync(group GroupRef, entries []JournalEntry, first, last bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, err := r.take(group, entries)
	if err != nil {
		return err
	}
	if first {
		c.syncing = true
	}
	if !c.syncing {
		return errkind.New(errkind.Conflict, "the first part of the journal is missing")
	}
	if last {
		c.syncing, c.complete = false, true
	}
	return nil
}

func (r *Replica) take(group GroupRef, entries []JournalEntry) (*replicaGroup, error) {
	service, ok := r.opts.Service(group.Service)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %q is not defined", group.Service)
	}
	c := r.group(groupKey{group.Service, group.GroupID})
	if group.Generation <= c.frozen || group.Generation < c.generation {
		return nil, errkind.New(errkind.Conflict, "generation %d of group %s is no longer accepted", group.Generation, group.GroupID)
	}
	if group.Generation > c.generation {
		c.generation = group.Generation
		c.syncing, c.complete = false, false
	}
	now := r.opts.Now()
	r.sweep(now)
	c.journal.limits.Entries = r.opts.Limits.Entries - r.entriesBesides(c)
	c.journal.limits.TotalBytes = r.opts.Limits.TotalBytes - r.bytesBesides(c)
	if !c.journal.room(group.Service, entries) {
		return nil, errkind.New(errkind.JournalFull, "the standby has no room for %d journal entries", len(entries))
	}
	c.journal.Merge(now, group.Service, group.GroupID, entries, service.IdempotencyWindow)
	return c, nil
}

func (r *Replica) group(key groupKey) *replicaGroup {
	c := r.groups[key]
	if c == nil {
		c = &replicaGroup{journal: NewJournal(r.opts.Limits, 0)}
		r.groups[key] = c
	}
	return c
}

func (r *Replica) sweep(now time.Time) {
	for _, c := range r.groups {
		c.journal.sweep(now)
	}
}

func (r *Replica) entriesBesides(c *replicaGroup) int {
	n := 0
	for _, o := range r.groups {
		if o != c {
			n += o.journal.Len()
		}
	}
	return n
}

func (r *Replica) bytesBesides(c *replicaGroup) int64 {
	n := int64(0)
	for _, o := range r.groups {
		if o != c {
			n += o.journal.bytes
		}
	}
	return n
}

// Freeze stops accepting the generation and all before it. It is called before
// a takeover: what the holder accepted until then is in the copy, and later
// intents are refused. It returns whether the copy holds everything that the
// holder knew.
func (r *Replica) Freeze(service, groupID string, generation uint64) (complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.group(groupKey{service, groupID})
	c.frozen = max(c.frozen, generation)
	return c.complete && c.generation == generation
}

// Promote moves the copy of the group to the journal of the gate, when this
// host became the group's holder. It must be called before the authority gives
// permits for the group. An intent without an answer is refused as unknown.
func (r *Replica) Promote(g *Gate, group GroupRef) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.group(groupKey{group.Service, group.GroupID})
	entries := c.journal.Export(r.opts.Now(), func(*record) bool { return true })
	if err := g.merge(group, entries, true); err != nil {
		return err
	}
	r.clear(c)
	return nil
}

// Drop discards the copy of a group for which this host is no longer standby.
// Frozen generations stay refused.
func (r *Replica) Drop(service, groupID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.groups[groupKey{service, groupID}]; c != nil {
		r.clear(c)
	}
}

func (r *Replica) clear(c *replicaGroup) {
	c.journal = NewJournal(r.opts.Limits, 0)
	c.syncing, c.complete = false, false
}
