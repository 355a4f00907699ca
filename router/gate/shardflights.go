package gate

import "burdockglade.dev/router/keyspace"

// ShardInFlight returns the number of requests for the shard that the upstream
// may be running.
func (g *Gate) ShardInFlight(service string, shard keyspace.Shard) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for f := range g.flights {
		if f.service == service && shard.Contains(f.hash) {
			n++
		}
	}
	return n
}
