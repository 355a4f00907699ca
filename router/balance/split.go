package balance

import (
	"cmp"
	"slices"
	"time"

	"burdockglade.dev/router/keyspace"
)

const (
	// SplitShare is the share of a host's load from which a key hash becomes a shard of
	// its own. It is well above 1/64, the error of the sketch.
	SplitShare = 0.1
	// mergeShare is the share up to which a single-hash shard is cold. Its distance
	// from SplitShare prevents repeated splits and merges of the same key.
	mergeShare = 0.01
	// mergeAge is the minimum time between the split or arrival of a single-hash shard
	// and its merge.
	mergeAge = 5 * time.Minute
	// maxSplits is the maximum number of splits of one decision. Each split writes the
	// row of the group.
	maxSplits = 4
)

// proposeSplits returns a split for each hot key hash whose shard holds other hashes
// as well, at most one per shard.
func proposeSplits(in Input) []Split {
	shards := sortedShards(in.Shards)
	splitting := map[keyspace.Shard]bool{}
	var splits []Split
	for _, h := range in.HotKeys {
		s, ok := findShard(shards, h.Hash)
		hot := h.Share-h.Error >= SplitShare
		if !ok || !hot || s.Shard.First == s.Shard.Last || splitting[s.Shard] || len(splits) == maxSplits {
			continue
		}
		splitting[s.Shard] = true
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

// proposeMerges returns a merge for each cold single-hash shard whose neighbours are
// in the same group on this host. It excludes shards that are split in the same
// decision, because they no longer exist when the merge is executed.
func proposeMerges(now time.Time, in Input, splits []Split) []Merge {
	sorted := sortedShards(in.Shards)
	var merges []Merge
	for i := 1; i+1 < len(sorted); i++ {
		before, single, after := sorted[i-1], sorted[i], sorted[i+1]
		if !coldSingle(now, in, single) || !adjacent(before, single) || !adjacent(single, after) {
			continue
		}
		if isSplit(splits, before) || isSplit(splits, after) {
			continue
		}
		merges = append(merges, Merge{
			Group:  single.Group,
			Shards: []keyspace.Shard{before.Shard, single.Shard, after.Shard},
			Into:   keyspace.Shard{First: before.Shard.First, Last: after.Shard.Last},
		})
		// The shard after belongs to this merge and to no other.
		i += 2
	}
	return merges
}

// isSplit reports whether one of the splits is of the shard.
func isSplit(splits []Split, s ShardLoad) bool {
	return slices.ContainsFunc(splits, func(p Split) bool { return p.Shard == s.Shard })
}

// coldSingle reports whether the shard holds a single hash, has been cold and has been
// on this host for mergeAge.
func coldSingle(now time.Time, in Input, s ShardLoad) bool {
	single := s.Shard.First == s.Shard.Last
	cold := s.SlotLoad <= mergeShare*in.Self.SlotLoad
	return single && cold && now.Sub(s.ArrivedAt) >= mergeAge && now.Sub(s.MeasuredSince) >= mergeAge
}

// adjacent reports whether b follows a directly in the same group.
func adjacent(a, b ShardLoad) bool {
	return a.Group == b.Group && a.Shard.Last != keyspace.MaxHash && a.Shard.Last+1 == b.Shard.First
}
