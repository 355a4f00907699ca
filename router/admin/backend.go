// Package admin is the administration API of a router: HTTP with JSON and a
// bearer token, for operators. docs/ADMIN.md describes every request.
//
// Package node implements Backend; Client implements it over HTTP.
package admin

import (
	"context"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
)

// Backend is what the API needs of a router. Errors have a kind of package
// errkind, which decides the status of the answer.
type Backend interface {
	// Note returns the configuration in force at this router, or NotReady.
	Note(ctx context.Context) (note.Config, error)
	// NoteVersion returns an earlier note, or NotFound.
	NoteVersion(ctx context.Context, version int64) (NoteVersion, error)
	// DiffNote returns what a note would change, without publishing it.
	// Errors: NoteInvalid, NoteConflict, NotReady.
	DiffNote(ctx context.Context, text []byte) (NoteDiff, error)
	// PublishNote publishes a note. Errors are those of note.Publisher.
	PublishNote(ctx context.Context, publishID string, text []byte) (note.Result, error)
	// NoteStatus tells which version each known host has in force.
	NoteStatus(ctx context.Context) (NoteStatus, error)
	// Owners returns the groups of a service, or of all services when the name
	// is empty, as this router knows them.
	Owners(ctx context.Context, service string) (Owners, error)
	// Members returns the hosts that this router knows.
	Members(ctx context.Context) (Members, error)
	// Move moves one shard to a host and returns when the move is committed.
	Move(ctx context.Context, r MoveRequest) (MoveResult, error)
	// Drain makes a host leave: its shards move away and its process stops.
	// It returns when the drain has begun.
	Drain(ctx context.Context, host string) (DrainResult, error)
	// TakeOver takes a group over without waiting for the horizon. The caller
	// has declared that holder and standby are lost.
	TakeOver(ctx context.Context, service, group string) (TakeoverResult, error)
}

// NoteVersion is a published note.
type NoteVersion struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	Text      string `json:"text"`
}

// NoteDiff is what a note would change.
type NoteDiff struct {
	// Base is the version in force that the note was compared with.
	Base int64 `json:"base"`
	note.Difference
}

// NoteStatus tells how far a version has spread.
type NoteStatus struct {
	// Version and PublishID are the highest that this router knows.
	Version   int64         `json:"version"`
	PublishID string        `json:"publish_id"`
	Hosts     []HostVersion `json:"hosts"`
}

// HostVersion is the version that one host was last heard to have in force.
type HostVersion struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
	// Lags is true when the version is lower than the highest known one.
	Lags bool `json:"lags"`
	// LastSeenMillis is how long ago the host was heard, in milliseconds.
	LastSeenMillis int64 `json:"heard_ms"`
}

// InForce reports whether every known host has at least the version.
func (s NoteStatus) InForce(version int64) bool {
	if s.Version < version || len(s.Hosts) == 0 {
		return false
	}
	for _, h := range s.Hosts {
		if h.Version < version {
			return false
		}
	}
	return true
}

// Owners are the groups of one or all services.
type Owners struct {
	Groups []Group `json:"groups"`
}

// Group says who owns a set of shards.
type Group struct {
	Service         string           `json:"service"`
	ID              string           `json:"id"`
	Holder          string           `json:"holder"`
	Standby         string           `json:"standby"` // "" for none
	Generation      uint64           `json:"generation"`
	RowVersion      int64            `json:"row_version"`
	HolderSince     time.Time        `json:"holder_since"`
	JournalComplete bool             `json:"journal_complete"`
	Shards          []keyspace.Shard `json:"shards"`
	// HolderGone and StandbyGone report that the row names a process that has
	// ended or was replaced: its member row is absent or names another one. A
	// host that was lost a moment ago still has its member row.
	HolderGone  bool `json:"holder_gone,omitempty"`
	StandbyGone bool `json:"standby_gone,omitempty"`
}

// Members are the hosts that a router knows.
type Members struct {
	Members []Member `json:"members"`
}

// Member is one host.
type Member struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Service     string `json:"service"` // "" without an upstream
	Incarnation uint64 `json:"incarnation,string"`
	HopAddr     string `json:"hop_addr"`
	ControlAddr string `json:"control_addr"`
	NoteVersion int64  `json:"note_version"`
	Leaving     bool   `json:"leaving"`
	// LastSeenMillis is how long ago the host was heard, in milliseconds.
	LastSeenMillis int64 `json:"heard_ms"`
}

// MoveRequest asks for the move of one shard. Exactly one of Shard and Key is
// set; Key stands for the shard that contains it.
type MoveRequest struct {
	Service string          `json:"service"`
	Shard   *keyspace.Shard `json:"shard,omitempty"`
	Key     string          `json:"key,omitempty"`
	// Target is the name of the host that gets the shard.
	Target string `json:"target"`
}

// MoveResult is a committed move.
type MoveResult struct {
	Service     string         `json:"service"`
	Shard       keyspace.Shard `json:"shard"`
	Source      string         `json:"source"`
	Target      string         `json:"target"`
	TargetGroup string         `json:"target_group"`
}

// DrainResult is the state of a host that was told to leave.
type DrainResult struct {
	Host string `json:"host"`
	// ShardsLeft is the number of shards that the host still holds.
	ShardsLeft int `json:"shards_left"`
}

// takeoverRequest is the body of a takeover.
type takeoverRequest struct {
	DeclareLost bool `json:"declare_lost"`
}

// TakeoverResult is a group after a takeover.
type TakeoverResult struct {
	Service    string `json:"service"`
	Group      string `json:"group"`
	Holder     string `json:"holder"`
	Generation uint64 `json:"generation"`
}
