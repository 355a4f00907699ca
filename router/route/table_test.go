package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// drawShard draws a shard with ends near the borders of buckets and of the hash space.
// There are few possible ends, so that shards often coincide or are adjacent.
func drawShard(t *rapid.T) keyspace.Shard {
	end := rapid.Custom(func(t *rapid.T) keyspace.Hash {
		near := keyspace.Hash(rapid.IntRange(0, 4).Draw(t, "near"))
		base := rapid.SampledFrom([]keyspace.Hash{2, 1 << bucketShift, 5 << bucketShift, keyspace.MaxHash - 2}).Draw(t, "base")
		return base + near - 2
	})
	a, b := end.Draw(t, "first"), end.Draw(t, "last")
	return keyspace.Shard{First: min(a, b), Last: max(a, b)}
}

func drawRecord(t *rapid.T) ownership.Group {
	g := ownership.Group{
		Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
		ID:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
		Version: int64(rapid.IntRange(1, 12).Draw(t, "version")),
	}
	for range rapid.IntRange(0, 3).Draw(t, "shards") {
		if sum, err := keyspace.Add(g.Shards, []keyspace.Shard{drawShard(t)}); err == nil {
			g.Shards = sum
		}
	}
	return g
}

// reference returns the record with the highest version among the groups' newest
// records that claim the hash.
func reference(latest map[string]ownership.Group, service string, h keyspace.Hash) (ownership.Group, bool) {
	var best ownership.Group
	found := false
	for _, g := range latest {
		_, claims := keyspace.Find(g.Shards, h)
		if g.Service == service && claims && (!found || newer(&g, &best)) {
			best, found = g, true
		}
	}
	return best, found
}

// testHashes returns the hashes at which the result of a lookup can change, and their
// neighbours.
func testHashes(records []ownership.Group) []keyspace.Hash {
	var all []keyspace.Hash
	for _, r := range records {
		for _, s := range r.Shards {
			all = append(all, s.First-1, s.First, s.First+1, s.Last-1, s.Last, s.Last+1)
		}
	}
	return append(all, 0, keyspace.MaxHash)
}

// Guards against lookups that depend on the order in which records arrive, on repeated
// or stale records or on how records are batched into merges, and against a claim that
// is lost because a newer one covered it temporarily.
func TestMergeEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")
		// The store gives each version of a row one value.
		latest := map[string]ownership.Group{}
		values := map[string]ownership.Group{}
		for i, r := range records {
			key := fmt.Sprint(r.Key(), r.Version)
			if v, ok := values[key]; ok {
				records[i] = v
			} else {
				values[key] = r
			}
		}
		table := NewTable()
		for rest := records; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "merged at once")
			for _, r := range table.Merge(rest[:n]...) {
				if known, ok := latest[r.Key()]; ok && known.Version >= r.Version {
					t.Fatalf("record %s of version %d returned as newer than %d", r.Key(), r.Version, known.Version)
				}
				latest[r.Key()] = r
			}
			rest = rest[n:]
		}
		for _, r := range records {
			if latest[r.Key()].Version < r.Version {
				t.Fatalf("record %s of version %d ignored", r.Key(), r.Version)
			}
			if g, ok := table.Group(r.Service, r.ID); !ok || g.Version != latest[r.Key()].Version {
				t.Fatalf("group %s: %v", r.Key(), g)
			}
		}
		for _, service := range []string{"s", "t"} {
			for _, h := range testHashes(records) {
				want, wantOK := reference(latest, service, h)
				got, ok := table.Lookup(service, h)
				if ok != wantOK || (ok && got.Key() != want.Key()) {
					t.Fatalf("hash %v: got %v, want %v %v", h, got, want, wantOK)
				}
			}
		}
	})
}

// Guards against a table that grows with every replaced host, and against one that
// removes recent records without shards.
func TestEmptyRecordsAreRetainedUpToLimit(t *testing.T) {
	table := NewTable()
	whole := keyspace.Divide(1)
	for i := range int64(3 * maxEmpty) {
		table.Merge(ownership.Group{Service: "s", ID: fmt.Sprint(i), Version: i + 1})
		if n := len(table.groups); n > maxEmpty {
			t.Fatalf("%d records without shards", n)
		}
		stale := ownership.Group{Service: "s", ID: fmt.Sprint(i), Version: i, Shards: whole}
		if newer := table.Merge(stale); len(newer) != 0 {
			t.Fatal("stale record accepted")
		}
	}
	if _, ok := table.Group("s", fmt.Sprint(3*maxEmpty-maxEmpty/2)); !ok {
		t.Fatal("a recent record was dropped")
	}
}

// Guards against records that change during a lookup because the caller reuses its
// slice of records.
func TestMergeCopiesRecords(t *testing.T) {
	table := NewTable()
	records := []ownership.Group{{Service: "s", ID: "a", Version: 1, Shards: keyspace.Divide(1)}}
	table.Merge(records...)
	records[0].ID = "b"
	if g, ok := table.Lookup("s", 5); !ok || g.ID != "a" {
		t.Fatalf("got %v", g)
	}
}

// Sizes of the deployment that is expected in two years.
const (
	benchHosts     = 780
	benchGroups    = 2 * benchHosts
	benchShards    = 78_000
	benchPerRecord = 100
)

// benchRecords assigns shards to groups at random, as after many moves. The first
// record has exactly benchPerRecord shards.
func benchRecords() []ownership.Group {
	rng := rand.New(rand.NewPCG(1, 2))
	records := make([]ownership.Group, benchGroups)
	for i := range records {
		records[i] = ownership.Group{Service: "s", ID: fmt.Sprint(i), Version: int64(i + 1)}
	}
	shards := keyspace.Divide(benchShards)
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	records[0].Shards = slices.Clone(shards[:benchPerRecord])
	for _, s := range shards[benchPerRecord:] {
		r := &records[1+rng.IntN(benchGroups-1)]
		r.Shards = append(r.Shards, s)
	}
	for i := range records {
		keyspace.Sort(records[i].Shards)
	}
	return records
}

func BenchmarkLookup(b *testing.B) {
	table := NewTable()
	table.Merge(benchRecords()...)
	rng := rand.New(rand.NewPCG(3, 4))
	hashes := make([]keyspace.Hash, 1<<16)
	for i := range hashes {
		hashes[i] = keyspace.Hash(rng.Uint64())
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, ok := table.Lookup("s", hashes[i&(len(hashes)-1)]); !ok {
			b.Fatal("no route")
		}
		i++
	}
}

// BenchmarkMerge merges a newer version of one record of 100 shards.
func BenchmarkMerge(b *testing.B) {
	table := NewTable()
	records := benchRecords()
	table.Merge(records...)
	r := records[0]
	r.Version = int64(len(records)) + 1
	b.ReportAllocs()
	for b.Loop() {
		r.Version++
		table.Merge(r)
	}
}

// BenchmarkMergeAll fills an empty table, as a router does when it starts.
func BenchmarkMergeAll(b *testing.B) {
	records := benchRecords()
	b.ReportAllocs()
	for b.Loop() {
		NewTable().Merge(records...)
	}
}
