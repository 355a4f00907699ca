// Package ownership manages the records of which host owns which shards: their
// format in the table service, the operations that change them, and the leases
// under which this host serves its groups. If the response to a write is lost,
// its outcome is resolved from the rows.
package ownership

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/stores/table"
)

// Host identifies a router process and holds its addresses.
type Host struct {
	Name string `json:"name"`
	// Incarnation is a random number generated when the process starts, so that
	// a restarted process is not mistaken for its predecessor.
	Incarnation uint64 `json:"incarnation,string"`
	// HopAddr is the address for requests from other routers (HTTP).
	HopAddr string `json:"hop_addr"`
	// ControlAddr is the address for control messages (TCP) and heartbeats
	// (UDP, same port).
	ControlAddr string `json:"control_addr"`
}

// IsZero reports whether h identifies no host.
func (h Host) IsZero() bool {
	return h.Name == ""
}

// SameProcess reports whether both values identify the same process. Addresses
// are ignored.
func (h Host) SameProcess(o Host) bool {
	return h.Name == o.Name && h.Incarnation == o.Incarnation
}

// Group is a set of shards of one service that have one holder and one lease.
type Group struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Holder  Host   `json:"holder"`
	// Generation increases with each change of holder or standby.
	Generation uint64 `json:"generation"`
	// Standby acks the holder's heartbeats, which extends the lease, and may take
	// the group over. It is zero when the group has none.
	Standby Host             `json:"standby"`
	Shards  []keyspace.Shard `json:"shards"`
	// JournalComplete is false when the holder may lack idempotency keys that
	// an earlier holder accepted.
	JournalComplete bool `json:"journal_complete"`
	// JournalUnverified is true after a hand-over from a holder with a complete
	// journal, until the new holder has renewed the row. In the meantime
	// JournalComplete is false; the row renewal sets it if the new holder's copy
	// is complete.
	JournalUnverified bool `json:"journal_unjudged,omitempty"`
	// HolderSince is when the current holder took the group over, by its wall
	// clock.
	HolderSince time.Time `json:"holder_since"`
	// Version is the row version. It is not stored in the row's value.
	Version int64 `json:"version"`
	// WriteID is the id of the write that created this version. It is not stored
	// in the row's value.
	WriteID string `json:"write_id"`
}

// Key returns the row key of the group.
func (g Group) Key() string {
	return GroupKey(g.Service, g.ID)
}

// GroupPrefix is the prefix of all group rows.
const GroupPrefix = "group/"

// GroupKey returns the row key of a group.
func GroupKey(service, id string) string {
	return GroupPrefix + service + "/" + id
}

// ServiceGroupPrefix returns the prefix of a service's group rows.
func ServiceGroupPrefix(service string) string {
	return GroupPrefix + service + "/"
}

// ServiceKey returns the key of a service's row, which exists once the shards of
// the service have been created.
func ServiceKey(service string) string {
	return "service/" + service
}

// EncodeGroup returns the row value of a group, without Version and WriteID,
// which the table service keeps.
func EncodeGroup(g Group) ([]byte, error) {
	g.Version = 0
	g.WriteID = ""
	value, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encoding group %s: %w", g.Key(), err)
	}
	return value, nil
}

// DecodeGroup decodes a group from its row and validates it.
func DecodeGroup(row table.Row) (Group, error) {
	var g Group
	if err := json.Unmarshal(row.Value, &g); err != nil {
		return Group{}, fmt.Errorf("decoding row %q: %w", row.Key, err)
	}
	if g.Key() != row.Key || strings.Contains(g.Service, "/") || g.ID == "" {
		return Group{}, fmt.Errorf("row %q holds group %q", row.Key, g.Key())
	}
	if err := keyspace.CheckDisjoint(g.Shards); err != nil {
		return Group{}, fmt.Errorf("row %q: %w", row.Key, err)
	}
	g.Version = row.Version
	g.WriteID = row.WriteID
	return g, nil
}
