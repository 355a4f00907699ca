package move

import (
	"fmt"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Apply returns the records of both groups after the move, with the versions
// and write IDs of the records passed in. It returns an error if the source
// lacks one of the shards, if the target has an overlapping one, or if the
// groups are the same or belong to different services.
func Apply(source, target ownership.Group, shards []keyspace.Shard) (ownership.Group, ownership.Group, error) {
	if source.Service != target.Service || source.ID == target.ID {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move from %s to %s: want two groups of one service", source.Key(), target.Key())
	}
	remaining, err := keyspace.Remove(source.Shards, shards)
	if err != nil {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move from %s: %w", source.Key(), err)
	}
	merged, err := keyspace.Add(target.Shards, shards)
	if err != nil {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move to %s: %w", target.Key(), err)
	}
	source.Shards = remaining
	target.Shards = merged
	// The target knows only the idempotency keys that the source knew for the
	// moved shards. The later HolderSince of the two keeps the target's journal
	// incomplete until the source's would have become complete.
	if !source.JournalComplete {
		target.JournalComplete = false
		if source.HolderSince.After(target.HolderSince) {
			target.HolderSince = source.HolderSince
		}
	}
	return source, target, nil
}
