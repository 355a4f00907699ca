package gate

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/upstream"
)

// Guards against requests that are counted for another shard, another service
// or not at all when many shards are counted in one pass. The model looks at
// each shard by itself.
func TestInFlightByShardMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Custom(func(t *rapid.T) keyspace.Hash {
			return rapid.SampledFrom([]keyspace.Hash{0, 1, 9, 10, 11, 50, 99, 100, math.MaxUint64 - 1, math.MaxUint64}).Draw(t, "hash")
		})
		cuts := rapid.SliceOfDistinct(hash, func(h keyspace.Hash) keyspace.Hash { return h }).Draw(t, "cuts")
		var shards []keyspace.Shard
		all := []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}}
		for _, h := range cuts {
			var next []keyspace.Shard
			for _, s := range all {
				next = append(next, s.SplitAt(h)...)
			}
			all = next
		}
		for _, s := range all {
			if rapid.Bool().Draw(t, "held") {
				shards = append(shards, s)
			}
		}
		if len(shards) > 1 {
			shards = rapid.Permutation(shards).Draw(t, "order")
		}
		g := &Gate{flights: map[*flight]struct{}{}}
		for range rapid.IntRange(0, 20).Draw(t, "flights") {
			g.flights[&flight{service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), hash: hash.Draw(t, "hash")}] = struct{}{}
		}
		want := make([]int, len(shards))
		for i, s := range shards {
			for f := range g.flights {
				if f.service == "s" && s.Contains(f.hash) {
					want[i]++
				}
			}
		}
		if diff := cmp.Diff(want, g.InFlightByShard("s", shards)); diff != "" {
			t.Fatalf("shards %v: %s", shards, diff)
		}
	})
}

// Guards against a stopping host that takes a shard for idle although the
// upstream may still run one of its requests, and against one that takes it for
// busy after the request's end.
func TestInFlightByShardFollowsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = func(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
			if call.Path == "/lost" {
				return nil, errkind.New(errkind.OutcomeUnknown, "reset")
			}
			return after(time.Second)(ctx, call)
		}
		shards := []keyspace.Shard{{First: 200, Last: 300}, {First: 0, Last: 99}, {First: 100, Last: 150}}
		check := func(when string, want ...int) {
			t.Helper()
			if diff := cmp.Diff(want, f.InFlightByShard("s", shards)); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
		}
		check("before", 0, 0, 0)
		long := f.async(request(""))
		lost := request("")
		lost.Path, lost.Hash = "/lost", 300
		f.post(lost)
		outside := request("")
		outside.Path, outside.Hash = "/lost", 199
		f.post(outside)
		check("at work", 1, 0, 1)
		time.Sleep(leaseTime)
		synctest.Wait()
		check("after the grant of the lost request", 0, 0, 1)
		<-long
		check("after the answer", 0, 0, 0)
	})
}

// BenchmarkInFlightByShard counts the requests of the shards of one host.
func BenchmarkInFlightByShard(b *testing.B) {
	g := &Gate{flights: map[*flight]struct{}{}}
	for i := range 1000 {
		g.flights[&flight{service: "s", hash: keyspace.Hash(i) << 54}] = struct{}{}
	}
	shards := []keyspace.Shard{{First: 0, Last: keyspace.MaxHash}}
	for i := 1; i < 500; i++ {
		last := shards[len(shards)-1]
		cut := keyspace.Hash(i) << 55
		shards[len(shards)-1].Last = cut - 1
		shards = append(shards, keyspace.Shard{First: cut, Last: last.Last})
	}
	for b.Loop() {
		g.InFlightByShard("s", shards)
	}
}
