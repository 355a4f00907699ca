// Package balance is the placement policy of one holder. It decides which of its
// shards to move and where, which hot keys to split off, and which cold ones to merge
// back. It performs no I/O: loads, time and random source are passed in.
package balance

import (
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Weights are the placement weights of a service.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// ShardLoad is the load of one shard of this host.
type ShardLoad struct {
	Group string
	Shard keyspace.Shard
	// RequestRate is in requests/s.
	RequestRate float64
	// SlotLoad is in slot-seconds/s, which is the mean number of slots in use.
	SlotLoad float64
	InFlight int
	// LongestRemaining is the longest time until the deadline of a request in
	// flight.
	LongestRemaining time.Duration
	// ClosedTime is how long past moves from this host kept shards closed, or 0 if
	// there were none.
	ClosedTime time.Duration
	// ArrivedAt is when this host received the shard.
	ArrivedAt time.Time
	// MeasuredSince is when this host began to measure the shard. A shard that was
	// just split off has no measured load yet.
	MeasuredSince time.Time
	// Pinned shards are not proposed for a move, such as those of a group with an
	// incomplete journal. Evacuate ignores Pinned.
	Pinned bool
	// CallerRegions is the share of the requests from each region, or nil if
	// unknown.
	CallerRegions map[string]float64
}

// HostLoad is the load summary of a host.
type HostLoad struct {
	Host   ownership.Host
	Region string
	Zone   string
	// SlotLoad is in slot-seconds/s.
	SlotLoad float64
	// Capacity is in slots.
	Capacity float64
	// MeasuredAt is when the summary was made, on this host's clock: its time of
	// arrival minus its reported age.
	MeasuredAt time.Time
	// JoinedAt is when the host joined the service, or zero if unknown.
	JoinedAt time.Time
	Leaving  bool
}

// Input is the input of a decision. Hosts does not include this host.
type Input struct {
	Self   HostLoad
	Shards []ShardLoad
	Hosts  []HostLoad
	// HotKeys are the hashes of this host's keys with the highest load, with their
	// shares of its load.
	HotKeys []HotKey
}

// Move proposes to move shards of one group to a host.
type Move struct {
	Group  string
	Shards []keyspace.Shard
	Target ownership.Host
	// RequestRate is in requests/s, SlotLoad in slot-seconds/s.
	RequestRate float64
	SlotLoad    float64
	// Gain and Cost are weighted; both are 0 in moves of a leaving host.
	Gain float64
	Cost float64
	// Busy is true if a shard had requests in flight.
	Busy bool
	// LongestRemaining is the longest time until the deadline of a request in
	// flight at one of the shards.
	LongestRemaining time.Duration
}

// Split proposes to split the key hash At off a shard, into a shard of its own.
type Split struct {
	Group string
	Shard keyspace.Shard
	At    keyspace.Hash
}

// Merge proposes to merge adjacent shards of one group into one shard.
type Merge struct {
	Group  string
	Shards []keyspace.Shard
	Into   keyspace.Shard
}

// Output holds the proposals of a decision.
type Output struct {
	Moves  []Move
	Splits []Split
	Merges []Merge
}
