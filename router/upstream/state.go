// Package upstream is the agent for the one upstream beside this router: it
// receives the upstream's announcements, judges whether the upstream is alive
// and sends requests, grants and probes to it.
package upstream

import (
	"time"

	"burdockglade.dev/router/note"
)

// State is what this router knows of its upstream.
type State string

// The states.
const (
	// Absent: nothing is announced.
	Absent State = "absent"
	// Announced: the upstream takes requests.
	Announced State = "announced"
	// Suspect: signs of life are missing and a probe is due or under way.
	Suspect State = "suspect"
	// Down: the upstream refused a connection or did not answer a probe.
	Down State = "down"
	// Draining: the upstream asked to leave and still takes requests.
	Draining State = "draining"
)

// Announcement is what an upstream tells about itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP number and port for requests.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int               `json:"connections"`
	Kind        note.UpstreamKind `json:"kind"`
}

// Renewal is the upstream's periodic report.
type Renewal struct {
	// Load is the upstream's own measure of its load, 0 for idle.
	Load    float64 `json:"load"`
	Healthy bool    `json:"healthy"`
}

// Status is a snapshot of the agent.
type Status struct {
	State        State
	Announcement Announcement
	// Load is that of the latest renewal.
	Load float64
	// Withdrawn is true when the upstream asked to be removed, not only to be
	// drained.
	Withdrawn bool
	// Since is when the state began.
	Since time.Time
}
