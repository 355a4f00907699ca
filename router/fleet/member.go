// Package fleet knows the hosts of the deployment and the upstreams beside
// them, and chooses the host for a request.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
)

// State says whether an upstream takes new work.
type State string

// The states.
const (
	Ready State = "ready"
	// Draining: the upstream is leaving.
	Draining State = "draining"
	// Stopping: the router beside the upstream is stopping.
	Stopping State = "stopping"
)

// Member is what a host tells the others of itself.
type Member struct {
	Host string `json:"host"`
	// Instance is the upstream's id, and Started the start of its present run
	// in Unix milliseconds.
	Instance string `json:"instance"`
	Started  int64  `json:"started"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// Address is where the host's router takes requests from other routers.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 when unknown.
	LinkMbps int `json:"link_mbps,omitempty"`
}

// Encode returns the stored form.
func (m Member) Encode() ([]byte, error) {
	return json.Marshal(m)
}

// DecodeMember reads the stored form.
func DecodeMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, fmt.Errorf("member: %w", err)
	}
	if m.Host == "" || m.Service == "" || m.Address == "" || m.Instance == "" {
		return Member{}, errors.New("member: host, service, instance and address are needed")
	}
	return m, nil
}
