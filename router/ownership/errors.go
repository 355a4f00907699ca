package ownership

import (
	"errors"
	"fmt"

	"burdockglade.dev/router/errkind"
)

// ConflictError reports that a write provably did not take effect and no longer
// can, because a row had changed.
type ConflictError struct {
	Op string
	// Newest holds the rows as they were read after the conflict, without rows
	// that no longer exist.
	Newest []Group
	// Deleted reports that the group's row no longer exists.
	Deleted bool
	Reason  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was not applied: %s", e.Op, e.Reason)
}

// Unwrap gives the error the kind Conflict.
func (e *ConflictError) Unwrap() error {
	return errkind.New(errkind.Conflict, "%s", e.Error())
}

// SupersededError reports that the response to a write was lost and the rows
// have been written again since. The write can no longer take effect; whether it
// was in effect in between is unknown. The newest rows are authoritative.
type SupersededError struct {
	Op     string
	Newest []Group
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s: response lost, and the rows were written again since", e.Op)
}

// Unwrap gives the error the kind Conflict.
func (e *SupersededError) Unwrap() error {
	return errkind.New(errkind.Conflict, "%s", e.Error())
}

// UnknownError reports that the context ended before the outcome of a write was
// known. The write may have taken effect or may still do so.
type UnknownError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: outcome still unknown: %v", e.Op, e.Err)
}

// Unwrap gives the error the kind OutcomeUnknown.
func (e *UnknownError) Unwrap() error {
	return errkind.New(errkind.OutcomeUnknown, "%s: outcome still unknown: %w", e.Op, e.Err)
}

// NewestFromError returns the newest row of the group from a ConflictError or a
// SupersededError. The result is false if err has no row of the group.
func NewestFromError(err error, service, id string) (Group, bool) {
	var rows []Group
	var conflict *ConflictError
	var superseded *SupersededError
	switch {
	case errors.As(err, &conflict):
		rows = conflict.Newest
	case errors.As(err, &superseded):
		rows = superseded.Newest
	}
	for _, g := range rows {
		if g.Service == service && g.ID == id {
			return g, true
		}
	}
	return Group{}, false
}
