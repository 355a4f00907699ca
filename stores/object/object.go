// Package object is the interface to the platform's object store, with its
// HTTP client.
package object

import (
	"context"
	"errors"
)

// Errors that a Store returns, wrapped with detail.
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that an object with the name and another content exists.
	ErrExists = errors.New("object exists with another content")
	// ErrUnavailable means that the store did not answer. A write may have
	// taken effect; writing the same content again is safe.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrInvalid means that the store refused the request as malformed.
	ErrInvalid = errors.New("invalid object request")
)

// Store keeps immutable objects under names such as notes/1f0c.
type Store interface {
	// Put writes the object. Writing the same content again succeeds; another
	// content under the same name is ErrExists.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}
