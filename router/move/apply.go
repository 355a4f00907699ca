package move

import (
	"fmt"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Apply returns the records of both groups after the move. Versions and write
// ids are those of the records passed in. It fails when the source lacks a
// shard, when the target has one that overlaps, or when the groups are the
// same or of different services.
func Apply(source, target ownership.Group, shards []keyspace.Shard) (ownership.Group, ownership.Group, error) {
	if source.Service != target.Service || source.ID == target.ID {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move from %s to %s: want two groups of one service", source.Key(), target.Key())
	}
	rest, err := keyspace.Remove(source.Shards, shards)
	if err != nil {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move from %s: %w", source.Key(), err)
	}
	sum, err := keyspace.Add(target.Shards, shards)
	if err != nil {
		return ownership.Group{}, ownership.Group{}, fmt.Errorf("move to %s: %w", target.Key(), err)
	}
	source.Shards = rest
	target.Shards = sum
	// The target knows no more than the source did about ids of the moved
	// shards. The later time of the two keeps the target's journal incomplete
	// until the source's would have become complete.
	if !source.JournalComplete {
		target.JournalComplete = false
		if source.HolderSince.After(target.HolderSince) {
			target.HolderSince = source.HolderSince
		}
	}
	return source, target, nil
}
