// Package keyspace maps keys to a 64-bit hash space and implements ranges of that
// space (shards) and sets of shards.
package keyspace

import (
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Hash is a position in the hash space of a service.
type Hash uint64

// MaxHash is the highest position of the hash space.
const MaxHash = Hash(math.MaxUint64)

// HashKey returns the position of the key in the hash space of the service. The
// service name is part of the hash, so that a key that is hot in two services has
// different positions in them.
func HashKey(service, key string) Hash {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return Hash(d.Sum64())
}

// String formats the hash as 16 hexadecimal digits.
func (h Hash) String() string {
	return fmt.Sprintf("%016x", uint64(h))
}

// MarshalText encodes the hash as 16 hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText decodes 16 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := parseHash(string(text))
	if err != nil {
		return err
	}
	*h = v
	return nil
}

// hashDigits is the length of a formatted hash.
const hashDigits = 16

func parseHash(s string) (Hash, error) {
	if len(s) != hashDigits {
		return 0, fmt.Errorf("hash %q: want %d hexadecimal digits", s, hashDigits)
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("hash %q: %w", s, err)
	}
	return Hash(v), nil
}
