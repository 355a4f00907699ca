package object

import (
	"fmt"
	"strings"
)

// Limits of the store. Memory and Client both enforce them, so that a caller
// gets the same error from either.
const (
	MaxNameBytes    = 256
	MaxContentBytes = 4 << 20
)

// CheckName returns ErrInvalid unless name has 1 to MaxNameBytes bytes and
// consists of segments of the characters A-Z a-z 0-9 . _ -, separated by single
// slashes, none of which is "." or "..". Such a name needs no escaping in a URL
// path.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: name has %d bytes: want 1 to %d", ErrInvalid, len(name), MaxNameBytes)
	}
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isInvalidNameRune) {
			return fmt.Errorf("%w: name %q", ErrInvalid, name)
		}
	}
	return nil
}

func isInvalidNameRune(r rune) bool {
	return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '.' || r == '_' || r == '-')
}

// checkObject returns ErrInvalid unless the name is valid and the content within
// the limit.
func checkObject(name string, content []byte) error {
	if err := CheckName(name); err != nil {
		return err
	}
	if len(content) > MaxContentBytes {
		return fmt.Errorf("%w: %q has %d bytes: want at most %d", ErrInvalid, name, len(content), MaxContentBytes)
	}
	return nil
}
