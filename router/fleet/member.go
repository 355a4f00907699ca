// Package fleet keeps the directory of the deployment's hosts and their upstreams,
// and chooses the host for a request.
package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"burdockglade.dev/router/slowstart"
)

// State is the state of an upstream, which determines whether it accepts new
// requests.
type State string

// States of an upstream.
const (
	// Ready: the upstream accepts requests.
	Ready State = "ready"
	// Draining: the upstream is leaving.
	Draining State = "draining"
	// Stopping: the router of the upstream's host is stopping.
	Stopping State = "stopping"
)

// Member is the data that a host publishes about itself.
type Member struct {
	Host string `json:"host"`
	// Instance is the upstream's id, and Started the start time of its current
	// incarnation in Unix milliseconds.
	Instance string `json:"instance"`
	Started  int64  `json:"started"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// Address is the host:port at which the host's router accepts requests from
	// other routers.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// Leaving is true if the upstream has said that it leaves, also while the state is
	// Stopping. Rows of earlier versions say so by the state Draining alone.
	Leaving bool `json:"leaving,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s, or 0 if unknown.
	LinkMbps int `json:"link_mbps,omitempty"`
	// ColdUntil is about when the upstream is warm, in Unix milliseconds, and ColdRate
	// the number of requests per second that it takes until then; 0 if it is warm.
	ColdUntil int64   `json:"cold_until,omitempty"`
	ColdRate  float64 `json:"cold_per_s,omitempty"`
}

// Cold reports whether the upstream is cold according to the data.
func (m Member) Cold(now time.Time) bool {
	return m.ColdRate > 0 && now.UnixMilli() < m.ColdUntil
}

// coldSlots returns how many of the given slots the upstream can use: while it is cold, as
// many as run at the rate that it takes, if a request takes the given time.
func (m Member) coldSlots(now time.Time, slots int, latency time.Duration) int {
	if !m.Cold(now) {
		return slots
	}
	return min(slots, slowstart.Bound{PerSecond: m.ColdRate}.Slots(latency.Seconds()))
}

// Leaves reports whether the upstream has said that it leaves.
func (m Member) Leaves() bool {
	return m.Leaving || m.State == Draining
}

// Incarnation returns the incarnation of the upstream that the data is about.
func (m Member) Incarnation() Incarnation {
	return Incarnation{Instance: m.Instance, Started: m.Started}
}

// Encode returns the JSON form, the value of the member's row.
func (m Member) Encode() ([]byte, error) {
	return json.Marshal(m)
}

// DecodeMember decodes the JSON form and verifies that it identifies an upstream
// and its address.
func DecodeMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, fmt.Errorf("member: %w", err)
	}
	if err := m.validate(); err != nil {
		return Member{}, err
	}
	return m, nil
}
