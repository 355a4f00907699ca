// Package sidecar runs the router beside one upstream of a deployment whose
// requests start on the upstreams' own hosts. The entry takes requests of the
// host's callers, chooses a host for each and passes it on in one hop; the gate
// is the only way to the local upstream and therefore knows its load. Hosts
// find each other, the configuration and the holders of keys in the store.
package sidecar

import (
	"io"
	"net/http"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
)

// Headers are the names of the header fields that callers and upstreams use.
type Headers struct {
	// RequestID identifies one attempt of a caller. Upstreams repeat it.
	RequestID string
	// DeadlineMs is the time that is left, in milliseconds.
	DeadlineMs string
	// Signature marks an answer that the upstream's work produced.
	Signature string
	// ExpectInstance makes another upstream refuse the request with status 421.
	ExpectInstance string
	// Load is the upstream's own report of its load.
	Load string
	// NotRun marks an answer that says that the request did not run.
	NotRun string
	// RetryAfter is the pause before a repeat, in seconds.
	RetryAfter string
	// Caller is the service beside which the request started.
	Caller string
	// Key is the key of a request to a keyed service.
	Key string
}

// Call is one attempt at one upstream.
type Call struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's end-to-end fields.
	Header http.Header
	// Body is the whole body, unless Stream is set.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream, or -1.
	Length int64

	RequestID string
	Service   string
	// Caller is the service beside which the request started.
	Caller   string
	Deadline time.Time
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Repeatable work may run more than once.
	Repeatable bool
	// Keyed calls may run only at the holder of Key.
	Keyed bool
	Key   uint16
	// WaitPolicy bounds the time for which the call may wait for a slot.
	WaitPolicy admit.Patience
	// Objective is the latency objective of the route. Goal is the moment up to
	// which an answer meets it, counted from the caller's first attempt: later
	// attempts come with shorter deadlines.
	Objective time.Duration
	Goal      time.Time
}

// Result is what became of a call: an answer of the upstream, or an error.
type Result struct {
	// Err is nil when the upstream answered. Its kind tells whether the work may
	// have run.
	Err *errkind.Error
	// Arrived tells that the request was sent to the upstream, whether or not it
	// ran.
	Arrived bool
	// Host is the host that the call was offered to.
	Host string
	// Holder is the host that holds the call's key as far as the refusing host
	// knows; empty when that is no other host.
	Holder string
	// Unreachable is true if the host or its upstream could not be reached.
	Unreachable bool
	// Load is the load of the upstream when the call ended, if HasLoad.
	Load    fleet.Load
	HasLoad bool

	// Config is the version of the configuration in force at another host; 0 when
	// it is not known.
	Config uint64

	Status int
	Header http.Header
	// Body must be closed when it is not nil. Length is -1 when unknown.
	Body   io.ReadCloser
	Length int64
}

// notRun reports whether the result promises that the work did not run and will
// not run.
func (r *Result) notRun() bool {
	return r.Err != nil && errkind.AnswerOf(r.Err.Kind).Outcome == errkind.NotRun
}

func refused(kind errkind.Kind, format string, args ...any) *Result {
	return &Result{Err: errkind.New(kind, format, args...)}
}

// close ends the answer, if there is one.
func (r *Result) close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}
