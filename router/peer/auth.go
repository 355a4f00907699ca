package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
)

// Sizes of authentication fields, in bytes.
const (
	nonceBytes     = 16
	minSecretBytes = 16
)

// Roles are part of each HMAC, so that a value computed for one purpose is not
// valid for another.
const (
	roleServer   = "server"
	roleClient   = "client"
	roleDatagram = "datagram"
	roleHop      = "hop"
)

// Secret is the shared secret of the cluster.
type Secret struct {
	key []byte
}

// NewSecret returns a secret with a copy of the key. It returns an error if the key
// is shorter than 16 bytes.
func NewSecret(key []byte) (Secret, error) {
	if len(key) < minSecretBytes {
		return Secret{}, fmt.Errorf("peer secret has %d bytes: want %d or more", len(key), minSecretBytes)
	}
	return Secret{key: append([]byte(nil), key...)}, nil
}

// String returns a placeholder, so that the secret does not appear in logs.
func (Secret) String() string {
	return "(secret)"
}

// mac returns the HMAC-SHA256 of the role and the length-prefixed parts.
func (s Secret) mac(role string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(role))
	for _, p := range parts {
		h.Write([]byte{byte(len(p) >> 8), byte(len(p))})
		h.Write(p)
	}
	return h.Sum(nil)
}

func (s Secret) verify(proof []byte, role string, parts ...[]byte) bool {
	return hmac.Equal(proof, s.mac(role, parts...))
}

// HopToken returns the token that authenticates forwarded requests between routers.
func (s Secret) HopToken() string {
	return base64.RawURLEncoding.EncodeToString(s.mac(roleHop))
}

// CheckHopToken reports whether the token is valid. It compares in constant time.
func (s Secret) CheckHopToken(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.HopToken())) == 1
}

func constantTimeEqual(a, b []byte) bool {
	return subtle.ConstantTimeCompare(a, b) == 1
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("generating a nonce: %w", err)
	}
	return nonce, nil
}

var errBadProof = errors.New("peer does not know the shared secret")
