package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// Secret is a value that is not shown in logs, messages or encodings.
type Secret struct {
	value string
}

// NewSecret returns a secret with the value.
func NewSecret(value string) Secret {
	return Secret{value: value}
}

// Reveal returns the value.
func (s Secret) Reveal() string {
	return s.value
}

// IsZero reports whether the secret is empty.
func (s Secret) IsZero() bool {
	return s.value == ""
}

// redacted stands for a secret wherever it would be shown.
const redacted = "[redacted]"

// String returns a fixed text.
func (s Secret) String() string {
	return redacted
}

// GoString returns a fixed text, for the verb %#v.
func (s Secret) GoString() string {
	return redacted
}

// Format writes a fixed text for every verb.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte(redacted))
}

// MarshalText returns a fixed text, for JSON and other encodings.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// Bounds of a secret's length in bytes. 16 bytes keep a random secret beyond
// guessing.
const (
	minSecretBytes = 16
	maxSecretBytes = 4096
)

// othersMask are the permission bits of group and others.
const othersMask fs.FileMode = 0o077

// ReadSecretFile reads a secret from a file that only its owner can read.
// White space at both ends is dropped.
func ReadSecretFile(path string) (Secret, error) {
	value, found, want := readSecret(path)
	if found != "" {
		return Secret{}, fmt.Errorf("%s: %s: want %s", path, found, want)
	}
	return value, nil
}

// readSecret returns the secret, or what was found and what is allowed.
func readSecret(path string) (value Secret, found, want string) {
	file, err := os.Open(path)
	if err != nil {
		return Secret{}, cause(err), "a readable file"
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return Secret{}, cause(err), "a readable file"
	}
	if !info.Mode().IsRegular() {
		return Secret{}, "not a regular file", "a regular file"
	}
	if mode := info.Mode().Perm(); mode&othersMask != 0 {
		return Secret{}, fmt.Sprintf("permissions %04o", mode), "no permissions for group and others, such as 0600"
	}
	data := make([]byte, maxSecretBytes+1)
	n, err := file.Read(data)
	if err != nil && n > 0 {
		return Secret{}, cause(err), "a readable file"
	}
	text := bytes.TrimSpace(data[:n])
	if len(text) < minSecretBytes || n > maxSecretBytes {
		return Secret{}, fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("a secret of %d to %d bytes", minSecretBytes, maxSecretBytes)
	}
	return Secret{value: string(text)}, "", ""
}

// cause drops the path, which the message has already.
func cause(err error) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}
