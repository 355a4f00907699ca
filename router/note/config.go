// Package note manages the configuration of the services. Release notes change
// it: each note is an INI document with changes against one version. The package
// parses, checks, compares and publishes notes and distributes configurations
// to the routers.
package note

import (
	"time"

	"burdockglade.dev/router/retry"
)

// UpstreamKind is the mechanism by which a service's upstreams are kept from
// executing requests after the lease has lapsed.
type UpstreamKind string

// The kinds of upstream.
const (
	// Fenced upstreams accept grants: they reject an older generation and
	// commit nothing after the grant has expired.
	Fenced UpstreamKind = "fenced"
	// Deadline upstreams stop executing at the absolute deadline of the
	// request.
	Deadline UpstreamKind = "deadline"
	// Plain upstreams have no such protection.
	Plain UpstreamKind = "plain"
)

// Service is the definition of one service. JSON has durations in nanoseconds.
type Service struct {
	Name string `json:"name"`
	// Kind is the kind of the upstreams. It determines how long a takeover
	// waits.
	Kind UpstreamKind `json:"kind"`
	// Shards is the number of ranges into which the hash space is divided when
	// the first host joins. It has no effect later.
	Shards int `json:"shards"`
	// RunLimit is the maximum execution time of one request at a deadline
	// upstream.
	RunLimit time.Duration `json:"run_limit"`
	// SettleTime is the extra delay before a takeover from a plain upstream.
	SettleTime time.Duration `json:"settle"`
	// RequestTimeout applies to requests without a deadline.
	RequestTimeout time.Duration `json:"request_timeout"`
	// MaxRequestTimeout is the upper limit of a deadline set by a caller.
	MaxRequestTimeout time.Duration `json:"max_request_timeout"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max_body"`
	// IdempotencyWindow is how long an idempotency key is retained.
	IdempotencyWindow time.Duration `json:"idempotency_window"`
	// IdempotentMethods are treated as idempotent in addition to those of HTTP.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// QueueLimit is the maximum number of requests queued at one gate.
	QueueLimit int `json:"queue_limit"`
	// RetryShare is the retry budget as a fraction of the service's requests.
	RetryShare float64 `json:"retry_share"`
	// The weights of the terms of the placement cost.
	ImbalanceWeight   float64 `json:"imbalance_weight"`
	ChurnWeight       float64 `json:"churn_weight"`
	UnavailableWeight float64 `json:"unavailable_weight"`
}

// Config is one version of the configuration.
type Config struct {
	Version   int64              `json:"version"`
	PublishID string             `json:"publish_id"`
	Services  map[string]Service `json:"services"`
}

// DefaultService returns a service with the default value of every key.
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
