package gate

import (
	"time"

	"burdockglade.dev/router/keyspace"
)

// ResolveState is the state of a request in a ResolveAnswer.
type ResolveState string

// The states.
const (
	ResolveRunning ResolveState = "running"
	ResolveDone    ResolveState = "done"
	ResolveNotRun  ResolveState = "not_run"
	ResolveUnknown ResolveState = "unknown"
)

// ResolveQuery asks what became of a request.
type ResolveQuery struct {
	// ID is the id of the attempt, as in Request.
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	// Method is required. Idempotent work that is not running is answered with
	// unknown, because its end is not recorded.
	Method string `json:"method"`
	// IDHash is HashID of the idempotency key; zero for none.
	IDHash Digest `json:"id_hash"`
	// Fingerprint is the one of the request; zero when there is no key.
	Fingerprint Digest `json:"fingerprint"`
	// Incarnation is the gate's incarnation when the request was sent.
	Incarnation uint64 `json:"incarnation,string"`
}

// ResolveAnswer is the gate's answer to a ResolveQuery.
type ResolveAnswer struct {
	State       ResolveState `json:"state"`
	Answer      *KeptAnswer  `json:"answer,omitempty"`
	Incarnation uint64       `json:"incarnation,string"`
	// Within is how long ago, by the asker's clock, the request may have been
	// sent at most when this answer arrives, for not_run to hold. The gate
	// forgets ended requests after that time.
	Within time.Duration `json:"within"`
}
