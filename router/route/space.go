package route

import (
	"cmp"
	"slices"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// The hash space of a service is divided into equal buckets, so that a merge copies
// only the buckets that its records overlap. With 78,000 shards, each of the 1,024
// buckets holds about 76.
const (
	bucketBits = 10
	buckets    = 1 << bucketBits
	// bucketShift is the right shift that maps a hash to the index of its bucket.
	bucketShift = 64 - bucketBits
)

// span is a range of hashes with the group that claims it.
type span struct {
	shard keyspace.Shard
	group *ownership.Group
}

// bucket is immutable. claims holds every shard of the groups' newest records that
// overlaps the bucket, sorted by first hash, even if a newer claim covers it. spans is
// used by lookups: it is sorted and without overlaps, and maps each hash to its
// newest claim. Both share the same memory if no claims overlap, which is the usual
// case.
type bucket struct {
	claims []span
	spans  []span
}

// space is the immutable lookup table of one service.
type space struct {
	buckets [buckets]bucket
}

// lookup returns the group with the newest claim to the hash, or nil.
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

// change is the replacement of one record. old is nil for a new group.
type change struct {
	old *ownership.Group
	new *ownership.Group
}

// withChanges returns a copy of the space with the changes applied. Changes of
// records without shards before and after have no effect.
func (s *space) withChanges(changes []change) *space {
	replaced := make(map[*ownership.Group]bool, len(changes))
	added := map[int][]span{}
	for _, c := range changes {
		if c.old != nil {
			replaced[c.old] = true
			addClaims(added, c.old, nil)
		}
		addClaims(added, c.new, c.new)
	}
	if len(added) == 0 {
		return s
	}
	next := *s
	for i, claims := range added {
		next.buckets[i] = s.buckets[i].withClaims(replaced, claims)
	}
	return &next
}

// addClaims adds the buckets that the record's shards overlap to the map, with a
// claim of the group for each shard unless group is nil.
func addClaims(added map[int][]span, record, group *ownership.Group) {
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

// withClaims returns a copy of the bucket without the claims of the replaced records
// and with the added claims.
func (b bucket) withClaims(replaced map[*ownership.Group]bool, added []span) bucket {
	claims := make([]span, 0, len(b.claims)+len(added))
	for _, c := range b.claims {
		if !replaced[c.group] {
			claims = append(claims, c)
		}
	}
	claims = append(claims, added...)
	slices.SortFunc(claims, func(a, b span) int { return cmp.Compare(a.shard.First, b.shard.First) })
	return bucket{claims: claims, spans: newestSpans(claims)}
}

// newestSpans returns spans that map each hash to its newest claim. The claims must be
// sorted by first hash.
func newestSpans(claims []span) []span {
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
		if group := newestClaim(claims, first); group != nil {
			spans = appendSpan(spans, span{shard: keyspace.Shard{First: first, Last: last}, group: group})
		}
	}
	return spans
}

// overlap reports whether any of the sorted claims overlap.
func overlap(claims []span) bool {
	for i := 1; i < len(claims); i++ {
		if claims[i].shard.First <= claims[i-1].shard.Last {
			return true
		}
	}
	return false
}

// boundaries returns the sorted hashes at which the set of claims changes. Between two
// boundaries, each claim covers either all hashes or none.
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

// newestClaim returns the group with the newest claim to the hash, or nil.
func newestClaim(claims []span, h keyspace.Hash) *ownership.Group {
	var best *ownership.Group
	for _, c := range claims {
		if c.shard.Contains(h) && (best == nil || newer(c.group, best)) {
			best = c.group
		}
	}
	return best
}

// newer reports whether record a is newer than b by row version. Two rows of one
// transaction share a version; the group id breaks the tie identically on all routers.
func newer(a, b *ownership.Group) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.ID > b.ID
}

// appendSpan appends a span, merged with the last one if they are adjacent and belong
// to the same group.
func appendSpan(spans []span, s span) []span {
	if n := len(spans); n > 0 && spans[n-1].group == s.group && spans[n-1].shard.Last+1 == s.shard.First {
		spans[n-1].shard.Last = s.shard.Last
		return spans
	}
	return append(spans, s)
}
