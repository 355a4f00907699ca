package keyspace

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// Shard is a range of the hash space that includes both ends. Unlike a half-open
// range, it can represent the whole space without a value above MaxHash.
type Shard struct {
	First Hash
	Last  Hash
}

// Contains reports whether h lies in the shard.
func (s Shard) Contains(h Hash) bool {
	return s.First <= h && h <= s.Last
}

// Overlaps reports whether the shards have a position in common.
func (s Shard) Overlaps(o Shard) bool {
	return s.First <= o.Last && o.First <= s.Last
}

// Fraction returns the share of the hash space that the shard covers, between
// 0 and 1.
func (s Shard) Fraction() float64 {
	const space = float64(1<<63) * 2
	return (float64(s.Last-s.First) + 1) / space
}

// String formats the shard as "first-last" in hexadecimal.
func (s Shard) String() string {
	return s.First.String() + "-" + s.Last.String()
}

// MarshalText encodes the shard as "first-last" in hexadecimal.
func (s Shard) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes "first-last" like ParseShard.
func (s *Shard) UnmarshalText(text []byte) error {
	v, err := ParseShard(string(text))
	if err != nil {
		return err
	}
	*s = v
	return nil
}

// ParseShard decodes "first-last" in hexadecimal. It returns an error if first is
// above last.
func ParseShard(text string) (Shard, error) {
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		return Shard{}, fmt.Errorf("shard %q: want first-last", text)
	}
	f, err := parseHash(first)
	if err != nil {
		return Shard{}, fmt.Errorf("shard %q: %w", text, err)
	}
	l, err := parseHash(last)
	if err != nil {
		return Shard{}, fmt.Errorf("shard %q: %w", text, err)
	}
	if f > l {
		return Shard{}, fmt.Errorf("shard %q: first is after last", text)
	}
	return Shard{First: f, Last: l}, nil
}

// Divide splits the whole hash space into n shards whose sizes differ by at most one
// position. It returns one shard if n is below 2.
func Divide(n int) []Shard {
	if n < 2 {
		return []Shard{{First: 0, Last: MaxHash}}
	}
	shards := make([]Shard, n)
	for i := range shards {
		shards[i].First = boundary(i, n)
		if i > 0 {
			shards[i-1].Last = shards[i].First - 1
		}
	}
	shards[n-1].Last = MaxHash
	return shards
}

// boundary returns i*2^64/n, rounded down. i must be below n.
func boundary(i, n int) Hash {
	quotient, _ := bits.Div64(uint64(i), 0, uint64(n))
	return Hash(quotient)
}

// SplitAt splits the shard so that the position h is a shard of its own, which allows
// a hot key to be moved alone. It returns one to three shards that cover the same
// range, and the shard itself if it does not contain h.
func (s Shard) SplitAt(h Hash) []Shard {
	if !s.Contains(h) {
		return []Shard{s}
	}
	var parts []Shard
	if s.First < h {
		parts = append(parts, Shard{First: s.First, Last: h - 1})
	}
	parts = append(parts, Shard{First: h, Last: h})
	if h < s.Last {
		parts = append(parts, Shard{First: h + 1, Last: s.Last})
	}
	return parts
}

// Sort sorts shards by their first position.
func Sort(shards []Shard) {
	slices.SortFunc(shards, func(a, b Shard) int {
		if a.First < b.First {
			return -1
		}
		if a.First > b.First {
			return 1
		}
		return 0
	})
}

// CheckDisjoint returns an error unless the shards are valid, sorted and do not
// overlap.
func CheckDisjoint(shards []Shard) error {
	for i, s := range shards {
		if s.First > s.Last {
			return fmt.Errorf("shard %v: first is after last", s)
		}
		if i > 0 && shards[i-1].Last >= s.First {
			return fmt.Errorf("shards %v and %v overlap or are not sorted", shards[i-1], s)
		}
	}
	return nil
}

// Find returns the shard of the sorted slice that contains h, and whether there is one.
func Find(shards []Shard, h Hash) (Shard, bool) {
	i, found := slices.BinarySearchFunc(shards, h, func(s Shard, h Hash) int {
		if s.Last < h {
			return -1
		}
		if s.First > h {
			return 1
		}
		return 0
	})
	if !found {
		return Shard{}, false
	}
	return shards[i], true
}

// Remove returns a copy of shards without the removed ones. It returns an error if a
// removed shard is not an element of shards.
func Remove(shards, removed []Shard) ([]Shard, error) {
	rest := slices.Clone(shards)
	for _, r := range removed {
		i := slices.Index(rest, r)
		if i < 0 {
			return nil, fmt.Errorf("shard %v is not in the set", r)
		}
		rest = slices.Delete(rest, i, i+1)
	}
	return rest, nil
}

// Add returns a sorted copy of shards with the added ones. It returns an error if any
// of them overlap.
func Add(shards, added []Shard) ([]Shard, error) {
	sum := slices.Concat(shards, added)
	Sort(sum)
	if err := CheckDisjoint(sum); err != nil {
		return nil, err
	}
	return sum, nil
}
