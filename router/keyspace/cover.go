package keyspace

import "fmt"

// CheckCover returns an error unless the sorted shards cover exactly the range whole,
// without gaps or overlaps.
func CheckCover(shards []Shard, whole Shard) error {
	if len(shards) == 0 {
		return fmt.Errorf("no shards cover %v", whole)
	}
	next := whole.First
	for i, s := range shards {
		if s.First != next {
			return fmt.Errorf("shard %v does not start at %v", s, next)
		}
		if i < len(shards)-1 {
			next = s.Last + 1
		}
	}
	if last := shards[len(shards)-1].Last; last != whole.Last {
		return fmt.Errorf("the shards end at %v instead of %v", last, whole.Last)
	}
	return nil
}
