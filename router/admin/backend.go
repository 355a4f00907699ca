// Package admin implements the administration API of a router: HTTP with JSON and
// a bearer token, for operators. docs/ADMIN.md describes every request.
//
// Package node implements Backend. Client implements it over HTTP.
package admin

import (
	"context"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
)

// Backend executes the requests of the API. Errors have a kind of package errkind,
// which determines the status of the response.
type Backend interface {
	// Note returns the configuration in force at this router. Errors: NotReady.
	Note(ctx context.Context) (note.Config, error)
	// NoteVersion returns a published note. Errors: NotFound, StoreUnavailable.
	NoteVersion(ctx context.Context, version int64) (NoteVersion, error)
	// DiffNote returns the changes that a note would make, without publishing
	// it. Errors: NoteInvalid, NoteConflict, NotReady.
	DiffNote(ctx context.Context, text []byte) (NoteDiff, error)
	// PublishNote publishes a note. Errors are those of note.Publisher.
	PublishNote(ctx context.Context, publishID string, text []byte) (note.Result, error)
	// NoteStatus returns the version that each known host has in force.
	NoteStatus(ctx context.Context) (NoteStatus, error)
	// Owners returns the groups of a service, or of all services if the name is
	// empty, as known to this router.
	Owners(ctx context.Context, service string) (Owners, error)
	// Members returns the hosts known to this router.
	Members(ctx context.Context) (Members, error)
	// Move moves one shard to a host. It returns when the move is committed.
	Move(ctx context.Context, r MoveRequest) (MoveResult, error)
	// Drain makes a host leave the cluster: its shards are moved to other hosts
	// and its process stops. It returns when the drain has started.
	Drain(ctx context.Context, host string) (DrainResult, error)
	// TakeOver takes over a group without waiting for the renewal deadline. The
	// operator has declared that holder and standby are lost.
	TakeOver(ctx context.Context, service, group string) (TakeoverResult, error)
}

// NoteVersion is a published note.
type NoteVersion struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	Text      string `json:"text"`
}

// NoteDiff lists the changes that a note would make.
type NoteDiff struct {
	// Base is the version that the note was compared with.
	Base int64 `json:"base"`
	note.Difference
}

// NoteStatus is the progress of a version through the cluster.
type NoteStatus struct {
	// Version is the highest version known to this router. PublishID is its
	// publish id.
	Version   int64         `json:"version"`
	PublishID string        `json:"publish_id"`
	Hosts     []HostVersion `json:"hosts"`
}

// HostVersion is the version that one host last reported to have in force.
type HostVersion struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
	// Lags is true if the version is lower than the highest one known.
	Lags bool `json:"lags"`
	// LastSeenMillis is the time since the last message from the host, in
	// milliseconds; -1 if there was none.
	LastSeenMillis int64 `json:"heard_ms"`
}

// InForce reports whether every known host has this version or a higher one in
// force. It is false if no hosts are known.
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

// Owners lists the groups of one or all services.
type Owners struct {
	Groups []Group `json:"groups"`
}

// Group is a set of shards with its holder and standby.
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
	// HolderGone and StandbyGone are true if the process that the group's row
	// names has ended or was replaced: the host's member row is absent or has
	// another incarnation. The member row of a lost host is not removed at once.
	HolderGone  bool `json:"holder_gone,omitempty"`
	StandbyGone bool `json:"standby_gone,omitempty"`
}

// Members lists the hosts known to a router.
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
	// LastSeenMillis is the time since the last message from the host, in
	// milliseconds; -1 if there was none.
	LastSeenMillis int64 `json:"heard_ms"`
}

// MoveRequest requests the move of one shard. Exactly one of Shard and Key is set;
// Key selects the shard that contains it.
type MoveRequest struct {
	Service string          `json:"service"`
	Shard   *keyspace.Shard `json:"shard,omitempty"`
	Key     string          `json:"key,omitempty"`
	// Target is the name of the host to move the shard to.
	Target string `json:"target"`
}

// MoveResult describes a committed move.
type MoveResult struct {
	Service     string         `json:"service"`
	Shard       keyspace.Shard `json:"shard"`
	Source      string         `json:"source"`
	Target      string         `json:"target"`
	TargetGroup string         `json:"target_group"`
}

// DrainResult is the state of a host whose drain has started.
type DrainResult struct {
	Host string `json:"host"`
	// ShardsLeft is the number of shards that the host still holds.
	ShardsLeft int `json:"shards_left"`
}

// takeoverRequest is the body of a takeover request.
type takeoverRequest struct {
	DeclareLost bool `json:"declare_lost"`
}

// TakeoverResult describes a group after a takeover.
type TakeoverResult struct {
	Service    string `json:"service"`
	Group      string `json:"group"`
	Holder     string `json:"holder"`
	Generation uint64 `json:"generation"`
}
