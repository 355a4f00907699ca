package object

import (
	"fmt"
	"strings"
)

// Limits of the store. Memory and Client check them alike, so that a caller
// sees the same refusal with either.
const (
	MaxNameBytes    = 256
	MaxContentBytes = 4 << 20
)

// CheckName returns ErrInvalid unless the name is made of segments of the
// characters A-Z a-z 0-9 . _ -, separated by single slashes, and no segment is
// "." or "..". Such a name is its own URL path.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: a name of %d bytes: want 1 to %d", ErrInvalid, len(name), MaxNameBytes)
	}
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, notInName) {
			return fmt.Errorf("%w: name %q", ErrInvalid, name)
		}
	}
	return nil
}

func notInName(r rune) bool {
	return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '.' || r == '_' || r == '-')
}

func check(name string, content []byte) error {
	if err := CheckName(name); err != nil {
		return err
	}
	if len(content) > MaxContentBytes {
		return fmt.Errorf("%w: %q has %d bytes: want at most %d", ErrInvalid, name, len(content), MaxContentBytes)
	}
	return nil
}
