package balance

import (
	"cmp"
	"slices"
	"time"

	"burdockglade.dev/router/keyspace"
)

const (
	// SplitShare is the share of a host's load above which a key hash becomes a
	// shard of its own. It is far above 1/64, the error of the sketch.
	SplitShare = 0.1
	// mergeShare is the share below which a single-position shard is cold. The
	// distance to SplitShare keeps a key from being split and merged in turn.
	mergeShare = 0.01
	// mergeAge is how long a single-position shard stays at least.
	mergeAge = 5 * time.Minute
	// maxSplits bounds the splits of one decision. Each writes the row.
	maxSplits = 4
)

// proposeSplits returns a split for each hot key hash that shares its shard
// with other positions, one for each shard.
func proposeSplits(in Input) []Split {
	shards := sortedShards(in.Shards)
	taken := map[keyspace.Shard]bool{}
	var splits []Split
	for _, h := range in.HotKeys {
		s, ok := findShard(shards, h.Hash)
		hot := h.Share-h.Error >= SplitShare
		if !ok || !hot || s.Shard.First == s.Shard.Last || taken[s.Shard] || len(splits) == maxSplits {
			continue
		}
		taken[s.Shard] = true
		splits = append(splits, Split{Group: s.Group, Shard: s.Shard, At: h.Hash})
	}
	return splits
}

func sortedShards(shards []ShardLoad) []ShardLoad {
	sorted := slices.Clone(shards)
	slices.SortFunc(sorted, func(a, b ShardLoad) int { return cmp.Compare(a.Shard.First, b.Shard.First) })
	return sorted
}

func findShard(sorted []ShardLoad, h keyspace.Hash) (ShardLoad, bool) {
	i, found := slices.BinarySearchFunc(sorted, h, func(s ShardLoad, h keyspace.Hash) int {
		if s.Shard.Last < h {
			return -1
		}
		if s.Shard.First > h {
			return 1
		}
		return 0
	})
	if !found {
		return ShardLoad{}, false
	}
	return sorted[i], true
}

// proposeMerges returns a merge for each cold single-position shard whose
// neighbours are in the same group at this host. A shard of a split in the same
// decision is no longer there when the merge is carried out.
func proposeMerges(now time.Time, in Input, splits []Split) []Merge {
	sorted := sortedShards(in.Shards)
	var merges []Merge
	for i := 1; i+1 < len(sorted); i++ {
		before, single, after := sorted[i-1], sorted[i], sorted[i+1]
		if !coldSingle(now, in, single) || !adjoin(before, single) || !adjoin(single, after) {
			continue
		}
		if split(splits, before) || split(splits, after) {
			continue
		}
		merges = append(merges, Merge{
			Group:  single.Group,
			Shards: []keyspace.Shard{before.Shard, single.Shard, after.Shard},
			Into:   keyspace.Shard{First: before.Shard.First, Last: after.Shard.Last},
		})
		// The shard after is part of this merge and of no other.
		i += 2
	}
	return merges
}

func split(splits []Split, s ShardLoad) bool {
	return slices.ContainsFunc(splits, func(p Split) bool { return p.Shard == s.Shard })
}

func coldSingle(now time.Time, in Input, s ShardLoad) bool {
	single := s.Shard.First == s.Shard.Last
	cold := s.SlotLoad <= mergeShare*in.Self.SlotLoad
	return single && cold && now.Sub(s.ArrivedAt) >= mergeAge && now.Sub(s.MeasuredSince) >= mergeAge
}

func adjoin(a, b ShardLoad) bool {
	return a.Group == b.Group && a.Shard.Last != keyspace.MaxHash && a.Shard.Last+1 == b.Shard.First
}
