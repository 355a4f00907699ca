package member

import (
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

// Control methods of the gossip protocol.
const (
	MethodPush    = "gossip.push"
	MethodRecords = "gossip.records"
	MethodDigest  = "gossip.digest"
	MethodFetch   = "gossip.fetch"
)

// Push announces new row versions to a peer.
type Push struct {
	From        ownership.Host `json:"from"`
	Versions    []Version      `json:"versions"`
	Loads       Loads          `json:"loads"`
	NoteVersion int64          `json:"note_version"`
}

// PushResponse lists the keys of the rows that the peer requests.
type PushResponse struct {
	Want        []string `json:"want"`
	Loads       Loads    `json:"loads"`
	NoteVersion int64    `json:"note_version"`
}

// Records carries rows.
type Records struct {
	Rows []table.Row `json:"rows"`
}

// Digest requests a comparison of all rows. The first request of an exchange
// carries only the root, which suffices if both sides hold the same rows; the
// second carries the digests of all buckets.
type Digest struct {
	From        ownership.Host `json:"from"`
	Root        uint64         `json:"root,string"`
	Digests     *Digests       `json:"digests,omitempty"`
	Loads       Loads          `json:"loads,omitempty"`
	NoteVersion int64          `json:"note_version"`
}

// DigestResponse reports whether the rows are the same and, if the request had
// digests, holds the versions of the rows in the buckets that differ.
type DigestResponse struct {
	Same        bool      `json:"same"`
	Digests     *Digests  `json:"digests,omitempty"`
	Versions    []Version `json:"versions,omitempty"`
	Loads       Loads     `json:"loads,omitempty"`
	NoteVersion int64     `json:"note_version"`
}

// Fetch requests rows by key.
type Fetch struct {
	Keys []string `json:"keys"`
}
