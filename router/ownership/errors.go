package ownership

import (
	"errors"
	"fmt"

	"burdockglade.dev/router/errkind"
)

// ConflictError means that a write provably did not take effect and no longer
// can: a row had changed.
type ConflictError struct {
	Op string
	// Newest holds the rows as they were read after the conflict. A row that
	// no longer exists is missing.
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

// SupersededError means that the answer to a write was lost and the rows have
// been written again since. The write cannot take effect any more; whether it
// was in force in between is not known. The rows decide.
type SupersededError struct {
	Op     string
	Newest []Group
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s: answer lost, and the rows were written again since", e.Op)
}

// Unwrap gives the error the kind Conflict.
func (e *SupersededError) Unwrap() error {
	return errkind.New(errkind.Conflict, "%s", e.Error())
}

// UnknownError means that the context ended before the outcome of a write was
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

// NewestFromError returns the row of the group that a ConflictError or a
// SupersededError carries.
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
