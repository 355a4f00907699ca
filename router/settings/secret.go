package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// Secret is a value that is redacted in logs, messages and encodings.
type Secret struct {
	value string
}

// NewSecret returns a Secret that holds the value.
func NewSecret(value string) Secret {
	return Secret{value: value}
}

// Reveal returns the value in plain text.
func (s Secret) Reveal() string {
	return s.value
}

// IsZero reports whether the secret is empty.
func (s Secret) IsZero() bool {
	return s.value == ""
}

// redacted replaces a secret in all output.
const redacted = "[redacted]"

// String returns a placeholder.
func (s Secret) String() string {
	return redacted
}

// GoString returns a placeholder, for the verb %#v.
func (s Secret) GoString() string {
	return redacted
}

// Format writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte(redacted))
}

// MarshalText returns a placeholder, for JSON and other encodings.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// Limits of the length of a secret in bytes. A random secret of 16 bytes cannot be
// guessed.
const (
	minSecretBytes = 16
	maxSecretBytes = 4096
)

// groupOtherMask has the permission bits of group and others.
const groupOtherMask fs.FileMode = 0o077

// ReadSecretFile reads a secret from a file that only its owner may access. Leading
// and trailing white space is removed.
func ReadSecretFile(path string) (Secret, error) {
	value, found, want := readSecret(path)
	if found != "" {
		return Secret{}, fmt.Errorf("%s: %s: want %s", path, found, want)
	}
	return value, nil
}

// readSecret returns the secret. If found is not empty, there is a problem: found is
// what was found, want what is allowed.
func readSecret(path string) (value Secret, found, want string) {
	file, err := os.Open(path)
	if err != nil {
		return Secret{}, withoutPath(err), "a readable file"
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return Secret{}, withoutPath(err), "a readable file"
	}
	if !info.Mode().IsRegular() {
		return Secret{}, "not a regular file", "a regular file"
	}
	if mode := info.Mode().Perm(); mode&groupOtherMask != 0 {
		return Secret{}, fmt.Sprintf("permissions %04o", mode), "no permissions for group and others, such as 0600"
	}
	data := make([]byte, maxSecretBytes+1)
	n, err := file.Read(data)
	if err != nil && n > 0 {
		return Secret{}, withoutPath(err), "a readable file"
	}
	text := bytes.TrimSpace(data[:n])
	if len(text) < minSecretBytes || n > maxSecretBytes {
		return Secret{}, fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("a secret of %d to %d bytes", minSecretBytes, maxSecretBytes)
	}
	return Secret{value: string(text)}, "", ""
}

// withoutPath returns the text of err without the path, which the message already
// contains.
func withoutPath(err error) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}
