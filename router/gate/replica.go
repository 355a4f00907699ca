package gate

import (
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
)

// ReplicaOptions configures a Replica. Service is required.
type ReplicaOptions struct {
	// Service returns the definition of a service, or false if there is none.
	Service func(name string) (note.Service, bool)
	// Limits apply to all groups together, except ResponseBytes.
	Limits JournalLimits
	// Now defaults to time.Now.
	Now func() time.Time
}

// Replica holds the copies of the journals of the groups for which this host is
// the standby. Its methods are safe for concurrent use.
type Replica struct {
	opts ReplicaOptions

	mu     sync.Mutex
	groups map[groupKey]*replicaGroup
}

// replicaGroup is the copy of one group's journal. The groups have separate
// journals, because the copy for a group may still hold entries of shards that
// have moved to another group.
type replicaGroup struct {
	generation uint64
	// frozenGeneration is the highest generation that is refused because of
	// Freeze.
	frozenGeneration uint64
	// syncing is set by the first part of a whole journal and complete by the
	// last one.
	syncing, complete bool
	journal           *Journal
}

// NewReplica returns an empty Replica.
func NewReplica(opts ReplicaOptions) *Replica {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Limits = opts.Limits.withDefaults()
	return &Replica{opts: opts, groups: map[groupKey]*replicaGroup{}}
}

// Append adds entries of the group's current generation. It adds none if it
// fails: with errkind.Conflict for an older or frozen generation and with
// errkind.JournalFull for entries beyond the limits.
func (r *Replica) Append(group GroupRef, entries []JournalEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.merge(group, entries)
	return err
}

// Sync adds a part of the group's whole journal. It fails as Append does. The copy
// is complete after the last part, because the holder sends each part only after
// this host acknowledged the previous one.
func (r *Replica) Sync(group GroupRef, entries []JournalEntry, first, last bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, err := r.merge(group, entries)
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

// merge adds entries to the copy of the group after the checks of Append. The
// caller holds the lock.
func (r *Replica) merge(group GroupRef, entries []JournalEntry) (*replicaGroup, error) {
	service, ok := r.opts.Service(group.Service)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %q is not defined", group.Service)
	}
	c := r.group(groupKey{group.Service, group.GroupID})
	if group.Generation <= c.frozenGeneration || group.Generation < c.generation {
		return nil, errkind.New(errkind.Conflict, "generation %d of group %s is no longer accepted", group.Generation, group.GroupID)
	}
	if group.Generation > c.generation {
		c.generation = group.Generation
		c.syncing, c.complete = false, false
	}
	now := r.opts.Now()
	r.removeExpired(now)
	c.journal.limits.Entries = r.opts.Limits.Entries - r.entriesOfOthers(c)
	c.journal.limits.TotalBytes = r.opts.Limits.TotalBytes - r.storedBytesOfOthers(c)
	if !c.journal.hasRoom(group.Service, entries) {
		return nil, errkind.New(errkind.JournalFull, "the standby has no room for %d journal entries", len(entries))
	}
	c.journal.Merge(now, group.Service, group.GroupID, entries, service.IdempotencyWindow)
	return c, nil
}

// group returns the copy of the group and creates an empty one if needed.
func (r *Replica) group(key groupKey) *replicaGroup {
	c := r.groups[key]
	if c == nil {
		c = &replicaGroup{journal: NewJournal(r.opts.Limits, 0)}
		r.groups[key] = c
	}
	return c
}

func (r *Replica) removeExpired(now time.Time) {
	for _, c := range r.groups {
		c.journal.removeExpired(now)
	}
}

func (r *Replica) entriesOfOthers(c *replicaGroup) int {
	n := 0
	for _, o := range r.groups {
		if o != c {
			n += o.journal.Len()
		}
	}
	return n
}

func (r *Replica) storedBytesOfOthers(c *replicaGroup) int64 {
	n := int64(0)
	for _, o := range r.groups {
		if o != c {
			n += o.journal.storedBytes
		}
	}
	return n
}

// Freeze refuses further entries of the generation and of earlier ones. It must be
// called before a takeover: the copy then has every intent that this host
// acknowledged, and the holder cannot have later ones acknowledged. Freeze
// reports whether the copy is complete, that is, has everything that was in the
// holder's journal.
func (r *Replica) Freeze(service, groupID string, generation uint64) (complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.group(groupKey{service, groupID})
	c.frozenGeneration = max(c.frozenGeneration, generation)
	return c.complete && c.generation == generation
}

// Promote moves the copy of the group into the gate's journal, after this host
// became the group's holder. It must be called before the authority issues
// permits for the group. Repeats of an intent without an outcome are then refused
// as outcome unknown.
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

// Drop discards the copy of a group for which this host is no longer the standby.
// Frozen generations remain refused.
func (r *Replica) Drop(service, groupID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.groups[groupKey{service, groupID}]; c != nil {
		r.clear(c)
	}
}

// clear empties the copy of a group but keeps its generations.
func (r *Replica) clear(c *replicaGroup) {
	c.journal = NewJournal(r.opts.Limits, 0)
	c.syncing, c.complete = false, false
}
