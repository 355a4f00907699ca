// Package upstream manages the one upstream on this router's host. Agent receives
// the upstream's announcements and renewals, Tracker decides whether the upstream is
// alive, and Client sends requests, grants and probes to it.
package upstream

import (
	"time"

	"burdockglade.dev/router/note"
)

// State is the state of the upstream as seen by this router.
type State string

// The states.
const (
	// Absent: no upstream is announced.
	Absent State = "absent"
	// Announced: the upstream accepts requests.
	Announced State = "announced"
	// Suspect: the upstream may have failed; a probe is due or in progress.
	Suspect State = "suspect"
	// Down: the upstream refused a connection or did not respond to a probe.
	Down State = "down"
	// Draining: the upstream asked to leave and still accepts requests.
	Draining State = "draining"
)

// Announcement is the registration that an upstream sends when it starts.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port for requests.
	Address string `json:"address"`
	// Slots is the maximum number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int               `json:"connections"`
	Kind        note.UpstreamKind `json:"kind"`
}

// Renewal is the upstream's periodic report.
type Renewal struct {
	// Load is the load as measured by the upstream, 0 for idle.
	Load float64 `json:"load"`
	// Healthy is the upstream's own report of its health.
	Healthy bool `json:"healthy"`
}

// Status is a snapshot of the upstream's state.
type Status struct {
	State        State
	Announcement Announcement
	// Load is the load in the latest renewal.
	Load float64
	// Withdrawn is true if the upstream asked to be removed, not only to be
	// drained.
	Withdrawn bool
	// Since is the time of the latest change of State.
	Since time.Time
}
