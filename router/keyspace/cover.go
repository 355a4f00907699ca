package keyspace

import "fmt"

// CheckCover returns an error unless the sorted shards cover the range without
// a gap and without going beyond it.
func CheckCover(shards []Shard, into Shard) error {
	if len(shards) == 0 {
		return fmt.Errorf("no shards cover %v", into)
	}
	next := into.First
	for i, s := range shards {
		if s.First != next {
			return fmt.Errorf("shard %v does not begin at %v", s, next)
		}
		if i < len(shards)-1 {
			next = s.Last + 1
		}
	}
	if last := shards[len(shards)-1].Last; last != into.Last {
		return fmt.Errorf("the shards end at %v and not at %v", last, into.Last)
	}
	return nil
}
