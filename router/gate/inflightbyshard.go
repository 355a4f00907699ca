package gate

import (
	"cmp"
	"slices"

	"burdockglade.dev/router/keyspace"
)

// InFlightByShard returns for each shard the number of its requests that the
// upstream may be running. It looks at every request once, whatever the number
// of shards. The shards must not overlap.
func (g *Gate) InFlightByShard(service string, shards []keyspace.Shard) []int {
	counts := make([]int, len(shards))
	order := make([]int, len(shards))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(shards[a].First, shards[b].First) })
	for _, h := range g.flightHashes(service) {
		at, found := slices.BinarySearchFunc(order, h, func(i int, h keyspace.Hash) int { return cmp.Compare(shards[i].First, h) })
		if !found {
			at-- // the last shard that begins before the position
		}
		if at >= 0 && shards[order[at]].Contains(h) {
			counts[order[at]]++
		}
	}
	return counts
}

// flightHashes copies the positions, so that requests do not wait for the
// search.
func (g *Gate) flightHashes(service string) []keyspace.Hash {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hashes []keyspace.Hash
	for f := range g.flights {
		if f.service == service {
			hashes = append(hashes, f.hash)
		}
	}
	return hashes
}
