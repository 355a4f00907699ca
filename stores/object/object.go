// Package object is the interface to the platform's object store, with its
// HTTP client.
package object

import (
	"context"
	"errors"
)

// Errors that a Store returns, wrapped with detail.
var (
	// ErrNotFound means that no object with the name exists.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that an object with the name and different content
	// exists.
	ErrExists = errors.New("object exists with different content")
	// ErrUnavailable means that no valid response arrived. A write may have
	// taken effect; writing the same content again is safe.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrInvalid means that the request was rejected as malformed.
	ErrInvalid = errors.New("invalid object request")
)

// Store stores immutable objects under names such as notes/1f0c.
type Store interface {
	// Put writes the object. Writing the same content again succeeds; different
	// content under an existing name is ErrExists.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}
