package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"burdockglade.dev/router/keyspace"
)

// Digest is a truncated SHA-256. It must resist collisions because the hashed
// values come from callers: a collision could give one caller the response to
// another.
type Digest [16]byte

// String formats the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest %q: want %d hexadecimal digits", text, hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest %q: %w", text, err)
	}
	return nil
}

// digestOf returns the digest of the parts, joined by zero bytes.
func digestOf(parts ...string) Digest {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return Digest(sum[:len(Digest{})])
}

// HashIdempotencyKey returns the digest of an idempotency key.
func HashIdempotencyKey(idempotencyKey string) Digest {
	return digestOf(idempotencyKey)
}

// Fingerprint returns the digest that identifies the request to which an
// idempotency key belongs. The body is not part of it because bodies are
// streamed.
func Fingerprint(method, path, service, key string) Digest {
	return digestOf(method, path, service, key)
}

// EntryState is the state of a journal entry.
type EntryState string

// The states of an entry.
const (
	// Intent: the work may start or have started.
	Intent EntryState = "intent"
	// Done: the work ran. The response is absent if it was too large to store.
	Done EntryState = "done"
	// Unknown: the work may have run, and its response is not available.
	Unknown EntryState = "unknown"
	// Cancelled: the work did not run, and the entry is removed.
	Cancelled EntryState = "cancelled"
)

// StoredResponse is a response that is stored for repeated requests.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// JournalEntry is one journal entry in the form that is sent between hosts.
type JournalEntry struct {
	// ID is the digest of the idempotency key.
	ID          Digest        `json:"id"`
	Fingerprint Digest        `json:"fingerprint"`
	Hash        keyspace.Hash `json:"hash"`
	State       EntryState    `json:"state"`
	// Attempt identifies one attempt to run the work. An entry changes or
	// cancels only the entry of the same attempt: a delayed message about an
	// attempt that did not run must not remove one that did.
	Attempt uint64 `json:"attempt,string"`
	// Age is the time since the latest change of the entry, in nanoseconds. It is
	// sent instead of a point in time because the clocks of hosts differ.
	Age      time.Duration   `json:"age"`
	Response *StoredResponse `json:"answer,omitempty"`
}
