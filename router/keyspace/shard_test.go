package keyspace

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawHash(t *rapid.T, label string) Hash {
	return rapid.OneOf(
		rapid.SampledFrom([]Hash{0, 1, 1 << 63, MaxHash - 1, MaxHash}),
		rapid.Custom(func(t *rapid.T) Hash { return Hash(rapid.Uint64().Draw(t, "hash")) }),
	).Draw(t, label)
}

func drawShard(t *rapid.T) Shard {
	a, b := drawHash(t, "a"), drawHash(t, "b")
	return Shard{First: min(a, b), Last: max(a, b)}
}

// checkCover fails the test unless the sorted shards cover the range whole without
// gaps or overlaps.
func checkCover(t *rapid.T, shards []Shard, whole Shard) {
	if err := CheckDisjoint(shards); err != nil {
		t.Fatal(err)
	}
	if shards[0].First != whole.First || shards[len(shards)-1].Last != whole.Last {
		t.Fatalf("%v to %v do not cover %v", shards[0], shards[len(shards)-1], whole)
	}
	for i := 1; i < len(shards); i++ {
		if shards[i].First != shards[i-1].Last+1 {
			t.Fatalf("gap between %v and %v", shards[i-1], shards[i])
		}
	}
}

// Guards against keys that belong to no shard or to two, and against shards of unequal
// size, for any number of shards.
func TestDivideCoversTheSpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(-1, 5000).Draw(t, "n")
		shards := Divide(n)
		if len(shards) != max(1, n) {
			t.Fatalf("%d shards", len(shards))
		}
		checkCover(t, shards, Shard{First: 0, Last: MaxHash})
		smallest, largest := MaxHash, Hash(0)
		for _, s := range shards {
			smallest = min(smallest, s.Last-s.First)
			largest = max(largest, s.Last-s.First)
		}
		if largest-smallest > 1 {
			t.Fatalf("sizes differ by %d", largest-smallest)
		}
	})
}

// Guards against a split that loses positions next to the hot key, including at the
// ends of the space.
func TestSplitAtPreservesCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShard(t)
		h := rapid.OneOf(rapid.SampledFrom([]Hash{s.First, s.Last}), rapid.Custom(func(t *rapid.T) Hash { return drawHash(t, "h") })).Draw(t, "at")
		parts := s.SplitAt(h)
		checkCover(t, parts, s)
		if s.Contains(h) != slices.Contains(parts, Shard{First: h, Last: h}) {
			t.Fatalf("split of %v at %v: %v", s, h, parts)
		}
	})
}

// Guards against shards in rows and messages that are decoded as another shard.
func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShard(t)
		text, err := json.Marshal(map[string]Shard{"shard": s})
		if err != nil {
			t.Fatal(err)
		}
		var back map[string]Shard
		if err := json.Unmarshal(text, &back); err != nil || back["shard"] != s {
			t.Fatalf("%s read back as %v: %v", text, back, err)
		}
		var h Hash
		if err := h.UnmarshalText([]byte(s.First.String())); err != nil || h != s.First {
			t.Fatalf("hash %v read back as %v: %v", s.First, h, err)
		}
	})
}

// Guards against a move that loses or duplicates shards, and against a change of the
// slices passed in, which other records share.
func TestAddAndRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 50).Draw(t, "n")
		all := Divide(n)
		before := slices.Clone(all)
		var chosen []Shard
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, n-1), rapid.ID[int]).Draw(t, "chosen") {
			chosen = append(chosen, all[i])
		}
		rest, err := Remove(all, chosen)
		if err != nil || len(rest) != n-len(chosen) {
			t.Fatalf("%d shards left of %d without %d: %v", len(rest), n, len(chosen), err)
		}
		for _, s := range chosen {
			if _, found := Find(rest, s.First); found {
				t.Fatalf("%v was not removed", s)
			}
		}
		sum, err := Add(rest, chosen)
		if err != nil || !slices.Equal(sum, all) || !slices.Equal(all, before) {
			t.Fatalf("sum %v of %v: %v", sum, before, err)
		}
		if len(chosen) > 0 {
			if _, err := Remove(rest, chosen); err == nil {
				t.Fatal("removed a shard that is not in the set")
			}
			if _, err := Add(all, chosen); err == nil {
				t.Fatal("added a shard twice")
			}
		}
	})
}

// Guards against Find returning a shard that does not contain the hash, or missing one
// that does.
func TestFindEqualsContains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shards []Shard
		for range rapid.IntRange(0, 8).Draw(t, "shards") {
			if sum, err := Add(shards, []Shard{drawShard(t)}); err == nil {
				shards = sum
			}
		}
		h := drawHash(t, "h")
		i := slices.IndexFunc(shards, func(s Shard) bool { return s.Contains(h) })
		s, found := Find(shards, h)
		if found != (i >= 0) || (found && s != shards[i]) {
			t.Fatalf("found %v %v, want index %d of %v", s, found, i, shards)
		}
	})
}

// Guards against fractions that do not add up to 1. The churn is computed from them.
func TestFractionsAddUp(t *testing.T) {
	for _, n := range []int{1, 3, 64, 78_000} {
		sum := 0.0
		for _, s := range Divide(n) {
			sum += s.Fraction()
		}
		if sum < 1-1e-9 || sum > 1+1e-9 {
			t.Errorf("%d shards: sum %v", n, sum)
		}
	}
}

// Guards against a change of the hash function, which would move every key to another
// owner, and against hash input in which service and key are not separated.
func TestHashKeyIsFixed(t *testing.T) {
	if got := HashKey("orders", "42").String(); got != "6144f65f5477ecc5" {
		t.Errorf("hash %s", got)
	}
	if HashKey("ab", "c") == HashKey("a", "bc") {
		t.Error("service and key are not separated")
	}
}

// Guards against a panic or a wrongly decoded shard on input from peers and rows.
func FuzzParseShard(f *testing.F) {
	for _, seed := range []string{
		"", "-", "0-0",
		"0000000000000000-ffffffffffffffff",
		"ffffffffffffffff-0000000000000000",
		"0000000000000001-0000000000000001-",
		"+000000000000001-0x00000000000002",
		"000000000000000_-00000000000000é",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseShard(text)
		if err != nil {
			return
		}
		if s.First > s.Last {
			t.Fatalf("%q read as %v", text, s)
		}
		if back, err := ParseShard(s.String()); err != nil || back != s {
			t.Fatalf("%q read as %v, then as %v: %v", text, s, back, err)
		}
	})
}
