// Package balance is the placement policy of one holder: which of its shards
// to move and where, which hot keys to split off, and which cold ones to merge
// back. It is pure: loads, time and random source are passed in.
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
	// ClosedTime is how long past moves from this host kept shards closed; 0
	// when there was none.
	ClosedTime time.Duration
	// ArrivedAt is when this host received the shard.
	ArrivedAt time.Time
	// MeasuredSince is when this host began to measure the shard. A shard that
	// was just split off has no measured load yet.
	MeasuredSince time.Time
	// Pinned shards are not proposed for a move, such as those of a group with
	// an incomplete journal. Spread ignores it.
	Pinned bool
	// CallerRegions is the share of the requests from each region, or nil when
	// it is not known.
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
	// MeasuredAt is when the summary was made, on this host's clock: the time
	// of arrival less the age that the summary names.
	MeasuredAt time.Time
	// JoinedAt is when the host joined the service, or zero when it is not
	// known.
	JoinedAt time.Time
	Leaving  bool
}

// Input is what the policy knows at a decision. Hosts does not hold this host.
type Input struct {
	Self   HostLoad
	Shards []ShardLoad
	Hosts  []HostLoad
	// HotKeys are the heavy key hashes of this host, as shares of its load.
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
	// Gain and Cost are weighted; both are 0 for a leaving host.
	Gain float64
	Cost float64
	// Busy is set when a shard had requests in flight.
	Busy bool
	// LongestRemaining is the longest time until the deadline of a request in
	// flight at one of the shards.
	LongestRemaining time.Duration
}

// Split proposes to cut the position At out of a shard.
type Split struct {
	Group string
	Shard keyspace.Shard
	At    keyspace.Hash
}

// Merge proposes to replace adjoining shards of one group by one shard.
type Merge struct {
	Group  string
	Shards []keyspace.Shard
	Into   keyspace.Shard
}

// Output is what the policy proposes.
type Output struct {
	Moves  []Move
	Splits []Split
	Merges []Merge
}
