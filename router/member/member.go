// Package member maintains cluster membership and disseminates rows between
// routers: members, group records and the version of the release note.
//
// Rows are sent in the form in which the table service stores them. The higher
// row version wins, so deliveries may be repeated and reordered.
package member

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

// State determines whether shards and standbys may be placed on a member.
type State string

// The states of a member.
const (
	Active  State = "active"
	Leaving State = "leaving"
)

// Member is one router and the upstream on its host.
type Member struct {
	Host   ownership.Host `json:"host"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	// Service is the service of the upstream; empty while none is announced.
	Service string `json:"service"`
	State   State  `json:"state"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// JoinedAt is when the upstream was announced, on the host's wall clock. A
	// host that joined recently is cold and receives load gradually.
	JoinedAt time.Time `json:"joined_at"`
	// Version is the row's version. It is not stored in the row's value.
	Version int64 `json:"version"`
}

// Prefix is the prefix of all member rows.
const Prefix = "member/"

// Key returns the key of a host's member row.
func Key(host string) string {
	return Prefix + host
}

// Encode returns the row value of a member.
func Encode(m Member) ([]byte, error) {
	m.Version = 0
	value, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding member %s: %w", m.Host.Name, err)
	}
	return value, nil
}

// Decode decodes and validates a member row.
func Decode(row table.Row) (Member, error) {
	var m Member
	if err := json.Unmarshal(row.Value, &m); err != nil {
		return Member{}, fmt.Errorf("decoding row %q: %w", row.Key, err)
	}
	if row.Key != Key(m.Host.Name) || strings.Contains(m.Host.Name, "/") {
		return Member{}, fmt.Errorf("row %q holds member %q", row.Key, m.Host.Name)
	}
	if m.State != Active && m.State != Leaving {
		return Member{}, fmt.Errorf("row %q: unknown state %q", row.Key, m.State)
	}
	m.Version = row.Version
	return m, nil
}
