// Package errkind defines the error kinds and the HTTP response that a caller gets
// for each of them.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is a class of errors. The list is closed: every error that is reported to a
// caller or an operator has one of these kinds. The values are part of the protocol.
type Kind string

// The kinds.
const (
	BadRequest        Kind = "bad_request"
	Unauthorized      Kind = "unauthorized"
	NotFound          Kind = "not_found"
	UnknownService    Kind = "unknown_service"
	TooLarge          Kind = "too_large"
	NotReady          Kind = "not_ready"
	NoOwner           Kind = "no_owner"
	WrongOwner        Kind = "wrong_owner"
	LeaseLapsed       Kind = "lease_lapsed"
	Draining          Kind = "draining"
	Overloaded        Kind = "overloaded"
	JournalFull       Kind = "journal_full"
	JournalUnsafe     Kind = "journal_unavailable"
	DeadlinePassed    Kind = "deadline_passed"
	CallerLeft        Kind = "caller_left"
	PeerUnreachable   Kind = "peer_unreachable"
	PeerRefused       Kind = "peer_refused"
	UpstreamRefused   Kind = "upstream_refused"
	UpstreamDown      Kind = "upstream_unreachable"
	FingerprintDiffer Kind = "idempotency_key_reused"
	Barred            Kind = "request_barred"
	OutcomeUnknown    Kind = "outcome_unknown"
	AnswerIncomplete  Kind = "answer_incomplete"
	StoreUnavailable  Kind = "store_unavailable"
	NoteInvalid       Kind = "note_invalid"
	NoteConflict      Kind = "note_conflict"
	Conflict          Kind = "conflict"
	RegionUnavailable Kind = "region_unavailable"
	Quarantined       Kind = "quarantined"
	CallsRefused      Kind = "calls_refused"
	Internal          Kind = "internal"
)

// Outcome states whether the work of a refused request may have run.
type Outcome string

// The outcomes.
const (
	// NotRun guarantees that the work did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the work may have run, may be running or may still
	// run.
	Unknown Outcome = "unknown"
)

// Response describes the HTTP response for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status  int
	Outcome Outcome
	// Retryable is true if another attempt of a router, possibly at another host,
	// can succeed without a change by the caller.
	Retryable bool
	// RetryAfter is the value of the Retry-After header, 0 for none.
	RetryAfter time.Duration
	// Title is the title of the problem document.
	Title string
}

const (
	shortDelay = time.Second
	longDelay  = 5 * time.Second
)

// responses holds the response for each kind. Statuses and titles are part of the
// protocol.
var responses = map[Kind]Response{
	BadRequest:        {http.StatusBadRequest, NotRun, false, 0, "the request is malformed"},
	Unauthorized:      {http.StatusUnauthorized, NotRun, false, 0, "a valid token is needed"},
	NotFound:          {http.StatusNotFound, NotRun, false, 0, "there is no such resource"},
	UnknownService:    {http.StatusNotFound, NotRun, false, 0, "there is no such service"},
	TooLarge:          {http.StatusRequestEntityTooLarge, NotRun, false, 0, "the request is too large"},
	NotReady:          {http.StatusServiceUnavailable, NotRun, true, shortDelay, "this router has no configuration yet"},
	NoOwner:           {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the key has no owner at present"},
	WrongOwner:        {http.StatusMisdirectedRequest, NotRun, true, 0, "another host owns the key"},
	LeaseLapsed:       {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the owner's lease has lapsed"},
	Draining:          {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the owner is leaving"},
	Overloaded:        {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the upstream is at its limit"},
	JournalFull:       {http.StatusServiceUnavailable, NotRun, false, longDelay, "no room to record the idempotency key"},
	JournalUnsafe:     {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the idempotency key could not be recorded at the standby"},
	DeadlinePassed:    {http.StatusGatewayTimeout, NotRun, false, 0, "the deadline passed before the work began"},
	CallerLeft:        {499, NotRun, false, 0, "the caller left before the work began"},
	PeerUnreachable:   {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the owner's host cannot be reached"},
	PeerRefused:       {http.StatusBadGateway, NotRun, false, 0, "the owner's host refused this router"},
	UpstreamRefused:   {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the upstream refused the work"},
	UpstreamDown:      {http.StatusServiceUnavailable, NotRun, true, shortDelay, "the upstream cannot be reached"},
	FingerprintDiffer: {http.StatusUnprocessableEntity, NotRun, false, 0, "the idempotency key names another request"},
	Barred:            {http.StatusConflict, NotRun, false, 0, "the request was given up before it arrived"},
	OutcomeUnknown:    {http.StatusBadGateway, Unknown, false, 0, "the work may or may not have run"},
	AnswerIncomplete:  {http.StatusBadGateway, Unknown, false, 0, "the upstream's answer was cut short"},
	StoreUnavailable:  {http.StatusServiceUnavailable, NotRun, true, longDelay, "the platform's store does not answer"},
	NoteInvalid:       {http.StatusUnprocessableEntity, NotRun, false, 0, "the release note is not valid"},
	NoteConflict:      {http.StatusConflict, NotRun, false, 0, "another release note was published first"},
	Conflict:          {http.StatusConflict, NotRun, true, 0, "the state changed at the same time"},
	RegionUnavailable: {http.StatusServiceUnavailable, NotRun, true, shortDelay, "no host in an allowed region can take the request"},
	Quarantined:       {http.StatusServiceUnavailable, NotRun, false, longDelay, "the request has crashed the upstreams that ran it"},
	CallsRefused:      {http.StatusServiceUnavailable, NotRun, false, shortDelay, "a service that the request would call refuses its calls"},
	Internal:          {http.StatusInternalServerError, Unknown, false, 0, "internal error"},
}

// Kinds returns every kind, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ResponseOf returns the response for a kind, or that for Internal if the kind is
// unknown.
func ResponseOf(k Kind) Response {
	if a, ok := responses[k]; ok {
		return a
	}
	return responses[Internal]
}

// Room says what is known of the capacity at the time at which a refused request should
// return. The values are part of the protocol.
type Room string

// The values of Room.
const (
	// RoomUnknown: the time is an estimate.
	RoomUnknown Room = ""
	// RoomLater: there is no capacity earlier.
	RoomLater Room = "later"
	// RoomForecast: there is no capacity earlier on a link.
	RoomForecast Room = "forecast"
	// RoomReserved: capacity is reserved for the request from then on.
	RoomReserved Room = "reserved"
)

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter overrides Response.RetryAfter if it is above 0.
	RetryAfter time.Duration
	// Room says what is known of the capacity after RetryAfter.
	Room Room
	// Err is the cause, or nil.
	Err error
}

// New returns an error of the kind with a formatted detail. The format may wrap an
// error with %w, as for fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Detail: err.Error(), Err: errors.Unwrap(err)}
}

// WithCause returns e with a cause that is no part of the detail.
func (e *Error) WithCause(cause error) *Error {
	e.Err = cause
	return e
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// Of returns the kind of the first Error in err's chain, or Internal if there is none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err has the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
