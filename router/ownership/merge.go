package ownership

import (
	"context"

	"burdockglade.dev/router/keyspace"
)

// MergeShards replaces the given shards of the group by the shard into, which
// must cover the same range.
func (r *Records) MergeShards(ctx context.Context, base Group, shards []keyspace.Shard, into keyspace.Shard) (Group, error) {
	return r.updateRow(ctx, "merge", base, func(g *Group) error {
		rest, err := keyspace.Remove(g.Shards, shards)
		if err != nil {
			return err
		}
		if err := keyspace.CheckCover(shards, into); err != nil {
			return err
		}
		g.Shards, err = keyspace.Add(rest, []keyspace.Shard{into})
		return err
	})
}
