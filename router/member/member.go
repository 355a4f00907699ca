// Package member knows the hosts of the cluster and spreads rows between
// routers: members, group records and the version of the release note.
//
// Rows are spread in the form in which the table service keeps them. The
// higher row version wins, so the order and number of deliveries do not matter.
package member

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

// State says whether a member takes part in placement.
type State string

// The states of a member.
const (
	Active  State = "active"
	Leaving State = "leaving"
)

// Member is one router with the upstream beside it.
type Member struct {
	Host   ownership.Host `json:"host"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	// Service is the service of the upstream; empty while none is announced.
	Service string `json:"service"`
	State   State  `json:"state"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `json:"slots"`
	// JoinedAt is when the upstream was announced, by the host's wall clock. A
	// host that joined lately is cold and gets its load step by step.
	JoinedAt time.Time `json:"joined_at"`
	// Version is the row's version. It is not stored in the row's value.
	Version int64 `json:"version"`
}

// Prefix is the prefix of all member rows.
const Prefix = "member/"

// Key returns the row key of a host's member row.
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

// Decode reads a member from its row and checks it.
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
