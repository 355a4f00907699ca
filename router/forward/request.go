// Package forward handles callers' requests: it looks up the owner of a request's
// key, passes the request to the gate of this host or, in one hop, to the router of
// the owner's host, and retries failed attempts.
package forward

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/retry"
)

// Headers that callers send.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTenant         = "Burdock-Tenant"
	// HeaderTimeout is the timeout of the request in milliseconds.
	HeaderTimeout = "Request-Timeout"
)

// Headers of responses to callers.
const (
	// HeaderRequestID is the id of the request, a dot and the number of the
	// attempt that responded.
	HeaderRequestID  = "Burdock-Request-Id"
	HeaderOwner      = "Burdock-Owner"
	HeaderGeneration = "Burdock-Generation"
)

// Limits of callers' requests.
const (
	maxKeyBytes            = 1024
	maxTenantBytes         = 64
	maxIdempotencyKeyBytes = 255
	requestIDBytes         = 16
)

// request is a caller's request with the parameters that routing needs.
type request struct {
	id             string
	service        note.Service
	key            string
	hash           keyspace.Hash
	tenant         string
	idempotencyKey string
	deadline       time.Time
	idempotent     bool
	body           *body
	in             *http.Request
}

// retrySafe reports whether the request may be retried although an earlier
// attempt may have run. With an idempotency key, the owner's journal prevents a
// second run.
func (r *request) retrySafe() bool {
	return r.idempotent || r.idempotencyKey != ""
}

// splitPath returns the service and the key of an escaped path
// /service/key[/rest].
func splitPath(escaped string) (service, key string, err error) {
	parts := strings.SplitN(strings.TrimPrefix(escaped, "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return "", "", errkind.New(errkind.BadRequest, "path %q: want /service/key", escaped)
	}
	service, err = url.PathUnescape(parts[0])
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "service in path: %w", err)
	}
	key, err = url.PathUnescape(parts[1])
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "key in path: %w", err)
	}
	if len(key) > maxKeyBytes {
		return "", "", errkind.New(errkind.BadRequest, "key has %d bytes: the limit is %d", len(key), maxKeyBytes)
	}
	return service, key, nil
}

// newRequest validates a caller's request and assigns an id and a deadline.
func newRequest(in *http.Request, services func(string) (note.Service, bool), now time.Time) (*request, error) {
	name, key, err := splitPath(in.URL.EscapedPath())
	if err != nil {
		return nil, err
	}
	service, ok := services(name)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %q", name)
	}
	timeout, err := requestTimeout(in.Header.Get(HeaderTimeout), service)
	if err != nil {
		return nil, err
	}
	r := &request{
		id:             newRequestID(),
		service:        service,
		key:            key,
		hash:           keyspace.HashKey(name, key),
		tenant:         in.Header.Get(HeaderTenant),
		idempotencyKey: in.Header.Get(HeaderIdempotencyKey),
		deadline:       now.Add(timeout),
		idempotent:     retry.Idempotent(in.Method, service.IdempotentMethods),
		in:             in,
	}
	if len(r.tenant) > maxTenantBytes {
		return nil, errkind.New(errkind.BadRequest, "%s has %d bytes: the limit is %d", HeaderTenant, len(r.tenant), maxTenantBytes)
	}
	if len(r.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, errkind.New(errkind.BadRequest, "%s has %d bytes: the limit is %d", HeaderIdempotencyKey, len(r.idempotencyKey), maxIdempotencyKeyBytes)
	}
	if in.ContentLength > service.MaxBody {
		return nil, errkind.New(errkind.TooLarge, "body of %d bytes: the limit of service %q is %d", in.ContentLength, name, service.MaxBody)
	}
	return r, nil
}

func requestTimeout(header string, service note.Service) (time.Duration, error) {
	if header == "" {
		return service.RequestTimeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil || ms <= 0 {
		return 0, errkind.New(errkind.BadRequest, "%s %q: want a number of milliseconds above 0", HeaderTimeout, header)
	}
	return min(time.Duration(ms)*time.Millisecond, service.MaxRequestTimeout), nil
}

func newRequestID() string {
	var id [requestIDBytes]byte
	// crypto/rand.Read does not fail.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// contextError returns the error of a request that did not run because its context
// ended.
func (r *request) contextError(ctx context.Context) error {
	if r.in.Context().Err() != nil {
		return errkind.New(errkind.CallerLeft, "the caller disconnected")
	}
	return errkind.New(errkind.DeadlinePassed, "no owner accepted the request before its deadline: %w", ctx.Err())
}
