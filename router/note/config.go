// Package note holds the services' configuration and the release notes that
// change it: parsing, checks, differences, publication and spread.
package note

import (
	"time"

	"burdockglade.dev/router/retry"
)

// UpstreamKind says how a service's upstreams guard against work under a
// lapsed lease.
type UpstreamKind string

// The kinds of upstream.
const (
	// Fenced upstreams accept grants: they refuse an older generation and
	// commit nothing after the end of the grant.
	Fenced UpstreamKind = "fenced"
	// Deadline upstreams stop work at the absolute deadline of the request.
	Deadline UpstreamKind = "deadline"
	// Plain upstreams check nothing.
	Plain UpstreamKind = "plain"
)

// Service is the definition of one service. Durations are encoded in
// nanoseconds.
type Service struct {
	Name string `json:"name"`
	// Kind of the upstreams. It decides how long a takeover waits.
	Kind UpstreamKind `json:"kind"`
	// Shards is the number of ranges that the hash space is cut into when the
	// first host joins. It has no effect later.
	Shards int `json:"shards"`
	// RunLimit is the longest run of one request at a deadline upstream.
	RunLimit time.Duration `json:"run_limit"`
	// SettleTime is the extra wait of a takeover from a plain upstream.
	SettleTime time.Duration `json:"settle"`
	// RequestTimeout is the deadline of a request that brings none.
	RequestTimeout time.Duration `json:"request_timeout"`
	// MaxRequestTimeout caps the deadline that a caller may ask for.
	MaxRequestTimeout time.Duration `json:"max_request_timeout"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max_body"`
	// IdempotencyWindow is how long an idempotency key is remembered.
	IdempotencyWindow time.Duration `json:"idempotency_window"`
	// IdempotentMethods are treated as idempotent besides those of HTTP.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// QueueLimit is the number of requests that may wait at one gate.
	QueueLimit int `json:"queue_limit"`
	// RetryShare is the retry budget as a share of the service's requests.
	RetryShare float64 `json:"retry_share"`
	// Weights of placement.
	ImbalanceWeight   float64 `json:"imbalance_weight"`
	ChurnWeight       float64 `json:"churn_weight"`
	UnavailableWeight float64 `json:"unavailable_weight"`
}

// Config is the configuration that a release note version puts in force.
type Config struct {
	Version   int64              `json:"version"`
	PublishID string             `json:"publish_id"`
	Services  map[string]Service `json:"services"`
}

// DefaultService returns a definition with every default filled in.
func DefaultService(name string) Service {
	return Service{
		Name:              name,
		Kind:              Fenced,
		Shards:            64,
		RunLimit:          300 * time.Millisecond,
		SettleTime:        2 * time.Second,
		RequestTimeout:    10 * time.Second,
		MaxRequestTimeout: 60 * time.Second,
		MaxBody:           8 << 20,
		IdempotencyWindow: time.Hour,
		QueueLimit:        256,
		RetryShare:        retry.DefaultShare,
		ImbalanceWeight:   1,
		ChurnWeight:       1,
		UnavailableWeight: 1,
	}
}
