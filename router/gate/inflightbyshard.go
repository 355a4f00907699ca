package gate

import (
	"cmp"
	"slices"

	"burdockglade.dev/router/keyspace"
)

// InFlightByShard returns, for each shard, the number of its requests that the
// upstream may be running. It examines each request once, whatever the number of
// shards. The shards must not overlap.
func (g *Gate) InFlightByShard(service string, shards []keyspace.Shard) []int {
	counts := make([]int, len(shards))
	order := make([]int, len(shards)) // the indexes of shards, sorted by the first hash
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(shards[a].First, shards[b].First) })
	for _, h := range g.inFlightHashes(service) {
		at, found := slices.BinarySearchFunc(order, h, func(i int, h keyspace.Hash) int { return cmp.Compare(shards[i].First, h) })
		if !found {
			at-- // the last shard that begins before the hash
		}
		if at >= 0 && shards[order[at]].Contains(h) {
			counts[order[at]]++
		}
	}
	return counts
}

// inFlightHashes returns a copy of the key hashes of the service's requests in
// flight, so that the gate's lock is not held during the search for their shards.
func (g *Gate) inFlightHashes(service string) []keyspace.Hash {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hashes []keyspace.Hash
	for r := range g.inFlight {
		if r.service == service {
			hashes = append(hashes, r.hash)
		}
	}
	return hashes
}
