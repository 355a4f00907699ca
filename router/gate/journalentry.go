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

// Digest is a truncated SHA-256. The full values come from callers, so a hash
// without collision resistance could give one caller another's answer.
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

func digestOf(parts ...string) Digest {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return Digest(sum[:len(Digest{})])
}

// HashIdempotencyKey returns the digest of an idempotency key.
func HashIdempotencyKey(idempotencyKey string) Digest {
	return digestOf(idempotencyKey)
}

// Fingerprint returns the digest of what an idempotency key stands for. The
// body is not part of it because bodies are streamed.
func Fingerprint(method, path, service, key string) Digest {
	return digestOf(method, path, service, key)
}

// EntryState is the state of a journal entry.
type EntryState string

// The states of an entry.
const (
	// Intent: the work may start or have started.
	Intent EntryState = "intent"
	// Done: the work ran. The answer is absent when it was too large to keep.
	Done EntryState = "done"
	// Unknown: the work may have run; its answer is lost.
	Unknown EntryState = "unknown"
	// Cancelled: the work did not run and the entry is removed.
	Cancelled EntryState = "cancelled"
)

// StoredResponse is an answer that is kept for a repeated request.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Entry is one journal entry in transfer between hosts.
type JournalEntry struct {
	ID          Digest        `json:"id"`
	Fingerprint Digest        `json:"fingerprint"`
	Hash        keyspace.Hash `json:"hash"`
	State       EntryState    `json:"state"`
	// Attempt identifies one attempt at the work. An entry changes or cancels
	// the entry of the same attempt only: a late message about an attempt that
	// did not run must not remove one that did.
	Attempt uint64 `json:"attempt,string"`
	// Age is the time since the intent was written, in nanoseconds. It is sent
	// in place of a time because the clocks of two hosts differ.
	Age      time.Duration   `json:"age"`
	Response *StoredResponse `json:"answer,omitempty"`
}
