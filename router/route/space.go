package route

import (
	"cmp"
	"slices"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// The hash space of a service is cut into equal buckets so that a merge copies
// only the buckets that its records touch. 1,024 buckets hold about 76 of
// 78,000 shards each.
const (
	bucketBits = 10
	buckets    = 1 << bucketBits
	// bucketShift turns a hash into the number of its bucket.
	bucketShift = 64 - bucketBits
)

// span is one shard with the group that claims it.
type span struct {
	shard keyspace.Shard
	group *ownership.Group
}

// bucket is immutable. Claims holds every shard of a newest record that
// overlaps the bucket, sorted by first position, whether or not another record
// covers it. Spans is what look-ups see: sorted, without overlaps, each
// position with its newest claim. Both share their memory when no claims
// overlap, which is the rule.
type bucket struct {
	claims []span
	spans  []span
}

// space is the immutable table of one service.
type space struct {
	buckets [buckets]bucket
}

// lookup returns the group that claims the position, or nil.
func (s *space) lookup(h keyspace.Hash) *ownership.Group {
	spans := s.buckets[h>>bucketShift].spans
	low, high := 0, len(spans)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if spans[mid].shard.Last < h {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == len(spans) || !spans[low].shard.Contains(h) {
		return nil
	}
	return spans[low].group
}

// change is the replacement of one record. Old is nil for a new group.
type change struct {
	old *ownership.Group
	new *ownership.Group
}

// with returns a copy of the space in which the changes are made. Records
// without shards before and after change nothing.
func (s *space) with(changes []change) *space {
	replaced := make(map[*ownership.Group]bool, len(changes))
	added := map[int][]span{}
	for _, c := range changes {
		if c.old != nil {
			replaced[c.old] = true
			touch(added, c.old, nil)
		}
		touch(added, c.new, c.new)
	}
	if len(added) == 0 {
		return s
	}
	next := *s
	for i, claims := range added {
		next.buckets[i] = s.buckets[i].with(replaced, claims)
	}
	return &next
}

// touch enters the buckets of a record's shards into the map, with a claim for
// the group unless it is nil.
func touch(added map[int][]span, record, group *ownership.Group) {
	for _, shard := range record.Shards {
		last := int(shard.Last >> bucketShift)
		for i := int(shard.First >> bucketShift); i <= last; i++ {
			claims := added[i]
			if group != nil {
				claims = append(claims, span{shard: shard, group: group})
			}
			added[i] = claims
		}
	}
}

// with returns a bucket without the claims of the replaced records and with
// the added claims.
func (b bucket) with(replaced map[*ownership.Group]bool, added []span) bucket {
	claims := make([]span, 0, len(b.claims)+len(added))
	for _, c := range b.claims {
		if !replaced[c.group] {
			claims = append(claims, c)
		}
	}
	claims = append(claims, added...)
	slices.SortFunc(claims, func(a, b span) int { return cmp.Compare(a.shard.First, b.shard.First) })
	return bucket{claims: claims, spans: resolve(claims)}
}

// resolve returns the newest claim of each position. The claims are sorted.
func resolve(claims []span) []span {
	if !overlap(claims) {
		return claims
	}
	var spans []span
	starts := boundaries(claims)
	for i, first := range starts {
		last := keyspace.MaxHash
		if i+1 < len(starts) {
			last = starts[i+1] - 1
		}
		if group := newest(claims, first); group != nil {
			spans = appendSpan(spans, span{shard: keyspace.Shard{First: first, Last: last}, group: group})
		}
	}
	return spans
}

func overlap(claims []span) bool {
	for i := 1; i < len(claims); i++ {
		if claims[i].shard.First <= claims[i-1].shard.Last {
			return true
		}
	}
	return false
}

// boundaries returns the positions at which the set of claims changes, sorted.
// Between two of them each claim covers all positions or none.
func boundaries(claims []span) []keyspace.Hash {
	var starts []keyspace.Hash
	for _, c := range claims {
		starts = append(starts, c.shard.First)
		if c.shard.Last != keyspace.MaxHash {
			starts = append(starts, c.shard.Last+1)
		}
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// newest returns the group with the newest claim to the position, or nil.
func newest(claims []span, h keyspace.Hash) *ownership.Group {
	var best *ownership.Group
	for _, c := range claims {
		if c.shard.Contains(h) && (best == nil || newer(c.group, best)) {
			best = c.group
		}
	}
	return best
}

// newer orders records by row version. Two rows of one transaction share a
// version; their groups' ids keep the order the same everywhere.
func newer(a, b *ownership.Group) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.ID > b.ID
}

// appendSpan joins a span to the one before when they adjoin and have the same
// group.
func appendSpan(spans []span, s span) []span {
	if n := len(spans); n > 0 && spans[n-1].group == s.group && spans[n-1].shard.Last+1 == s.shard.First {
		spans[n-1].shard.Last = s.shard.Last
		return spans
	}
	return append(spans, s)
}
