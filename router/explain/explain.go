// Package explain describes where a router would send a request, and why. It has the form of
// the question and of the explanation on the wire, and derives the verdict. It has no
// network, clock or goroutine; package sidecar fills an explanation from its state, and
// burdockctl shows it.
package explain

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
)

// Path is the path of the call. Its method is GET.
const Path = "/v1/explain"

const (
	// MaxHosts is the number of hosts that are listed, of all services of the route.
	MaxHosts = 256
	// MaxResponseBytes bounds the response. A host takes about 500 bytes, and so does what
	// else is said of a service.
	MaxResponseBytes = 4 << 20
	maxMethodBytes   = 32
	maxHostBytes     = 255
	maxPathBytes     = 8 << 10
)

// Question is the request that is explained.
type Question struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path and query.
	Path string `json:"path"`
	// Key is the key as a caller would send it, or empty.
	Key string `json:"key,omitempty"`
	// Service limits the explanation to one service of the route; empty for all.
	Service string `json:"service,omitempty"`
	// DeadlineMs is the time until the caller's deadline, or 0 for the timeout of the route.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
}

// Encode returns the query of the call.
func (q Question) Encode() string {
	v := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}}
	if q.Key != "" {
		v.Set("key", q.Key)
	}
	if q.Service != "" {
		v.Set("service", q.Service)
	}
	if q.DeadlineMs > 0 {
		v.Set("deadline_ms", strconv.FormatInt(q.DeadlineMs, 10))
	}
	return v.Encode()
}

// parameters are the names of the parameters of the call.
var parameters = map[string]bool{"method": true, "host": true, "path": true, "key": true, "service": true, "deadline_ms": true}

// Decode reads and checks the query of the call. Errors have the kind BadRequest.
func Decode(query string) (Question, error) {
	v, err := url.ParseQuery(query)
	if err != nil {
		return Question{}, errkind.New(errkind.BadRequest, "query: %w", err)
	}
	for name, values := range v {
		if !parameters[name] || len(values) != 1 {
			return Question{}, errkind.New(errkind.BadRequest, "parameter %q: want method, host, path, key, service and deadline_ms, each at most once", name)
		}
	}
	q := Question{Method: v.Get("method"), Host: v.Get("host"), Path: v.Get("path"), Key: v.Get("key"), Service: v.Get("service")}
	if text := v.Get("deadline_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
			return Question{}, errkind.New(errkind.BadRequest, "deadline_ms %q: want milliseconds from 1 to a day", text)
		}
		q.DeadlineMs = ms
	}
	return q, q.Check()
}

// Check returns an error of the kind BadRequest if no caller could send the request.
func (q Question) Check() error {
	switch {
	case q.Method == "" || len(q.Method) > maxMethodBytes || strings.Trim(strings.ToUpper(q.Method), "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "":
		return errkind.New(errkind.BadRequest, "method %q: want the name of a method", q.Method)
	case q.Host == "" || len(q.Host) > maxHostBytes || strings.ContainsAny(q.Host, " /\r\n"):
		return errkind.New(errkind.BadRequest, "host %q: want the value of the Host field", q.Host)
	case !strings.HasPrefix(q.Path, "/") || len(q.Path) > maxPathBytes:
		return errkind.New(errkind.BadRequest, "path: want at most %d bytes that begin with a slash", maxPathBytes)
	}
	if _, err := url.ParseRequestURI(q.Path); err != nil {
		return errkind.New(errkind.BadRequest, "path: %w", err)
	}
	return nil
}

// Explanation is the response. Times are in milliseconds; -1 stands for unknown ones.
type Explanation struct {
	Router  Router   `json:"router"`
	Request Question `json:"request"`
	// Config is the configuration in force, or nil if there is none.
	Config *Config `json:"config"`
	// Route is the route that matched, or nil.
	Route *Route `json:"route"`
	// Services are those to which the route sends requests.
	Services []Service `json:"services"`
	Outcome  Outcome   `json:"outcome"`
}

// Router is the router that was asked.
type Router struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Config is the configuration that decides.
type Config struct {
	Version uint64 `json:"version"`
	// AgeMs is the time since it was last known to be the newest in the store.
	AgeMs int64 `json:"age_ms"`
}

// Route is the route that matched.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Priority        int    `json:"priority"`
	Repeatable      bool   `json:"repeatable"`
	LargeResponses  bool   `json:"large_responses"`
	TimeoutMs       int64  `json:"timeout_ms"`
	TargetLatencyMs int64  `json:"target_latency_ms"`
	MaxAttempts     int    `json:"max_attempts"`
	// Regions are the regions in which requests may run; empty for any, unless
	// RegionsUnreadable is true: then they may run nowhere.
	Regions           []string `json:"allowed_regions"`
	RegionsUnreadable bool     `json:"regions_unreadable,omitempty"`
}

// Service is what happens if the request goes to one service.
type Service struct {
	Name string `json:"name"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// Kind is plain, keyed, or keyed_by_command.
	Kind string `json:"kind"`
	// DeadlineMs is the time until the request's deadline.
	DeadlineMs int64 `json:"deadline_ms"`
	// Key is the key of the request, or nil if the service has none or the request names
	// none.
	Key *Key `json:"key,omitempty"`
	// Hosts are the hosts of the service: first the candidates in ranking order, then those
	// that are excluded. OmittedHosts is the number of those beyond MaxHosts.
	Hosts        []Host `json:"hosts"`
	OmittedHosts int    `json:"omitted_hosts"`
	// CostJitter bounds the random cost that is added to each host when a request is sent.
	CostJitter float64 `json:"cost_jitter"`
	// Attempts are the hosts to which the request would be offered, in order.
	Attempts []Attempt `json:"attempts"`
	// LocalGate is the decision of the gate of the asked host; nil if its upstream serves
	// another service.
	LocalGate *Gate `json:"local_gate,omitempty"`
	// Hedging is nil if it is switched off.
	Hedging     *Hedging    `json:"hedging,omitempty"`
	RetryBudget RetryBudget `json:"retry_budget"`
	// Quarantine is nil if it is switched off.
	Quarantine *Quarantine `json:"quarantine,omitempty"`
	Outcome    Outcome     `json:"outcome"`
}

// Key is the key of a request.
type Key struct {
	Key uint16 `json:"key"`
	// Holder is the host that holds the key, or empty. Instance is its upstream.
	Holder     string `json:"holder"`
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	// Next is the host to which the key is to move, or empty.
	Next string `json:"next"`
	// MapVersion is the version of the key map's row, 0 if there is none, and MapAgeMs the
	// time since it came into force at the asked router.
	MapVersion int64 `json:"map_version"`
	MapAgeMs   int64 `json:"map_age_ms"`
}

// Host is one host of the service.
type Host struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  string `json:"state"`
	// Excluded is empty, or not_allowed, leaving, stopping or evacuated.
	Excluded string `json:"excluded,omitempty"`
	// Cost ranks the candidates; the lowest comes first. A key has one candidate, its holder,
	// whatever the cost.
	Cost float64 `json:"cost"`
	// MayBeFirst is true if the host is the holder of the key, or, for a request without a
	// key, if jitter can make it the first one.
	MayBeFirst bool `json:"may_be_first"`
	// Utilization is the share of the slots that counts for the cost, Reported the one that
	// the host reported LoadAgeMs ago.
	Utilization float64 `json:"utilization"`
	Reported    float64 `json:"reported_utilization"`
	LoadAgeMs   int64   `json:"load_age_ms"`
	Slots       int     `json:"slots"`
	InFlight    int     `json:"in_flight"`
	// Pace is the time that work takes, as a multiple of the usual time.
	Pace float64 `json:"pace"`
	// Link is the share of the host's link that is taken, LinkMbps its bandwidth.
	Link     float64 `json:"link"`
	LinkMbps int     `json:"link_mbps"`
	// ErrorRate is the share of requests that failed there, Slowness the mean latency as a
	// multiple of the latency objective.
	ErrorRate float64 `json:"error_rate"`
	Slowness  float64 `json:"slowness"`
	Cold      bool    `json:"cold"`
	ColdForMs int64   `json:"cold_for_ms,omitempty"`
	// ColdRate is the number of requests per second that the cold upstream takes.
	ColdRate float64 `json:"cold_per_second,omitempty"`
	// Unreachable is true if the last request did not reach the host or it is silent;
	// ProbeDue if the next request that only it can serve is sent all the same.
	Unreachable bool `json:"unreachable"`
	Silent      bool `json:"silent"`
	ProbeDue    bool `json:"probe_due"`
	Local       bool `json:"local"`
}

// Decisions on an attempt.
const (
	DecisionAdmitted = "admitted"
	DecisionQueued   = "queued"
	DecisionRefused  = "refused"
	// DecisionSent: the request is sent to the other host, whose gate decides.
	DecisionSent = "sent"
)

// Bases of a decision.
const (
	// BasisLocalGate: the gate of the asked host has decided.
	BasisLocalGate = "local_gate"
	// BasisLastReport: the decision follows from what the other host reported last.
	BasisLastReport = "last_report"
	// BasisEntry: the request is not sent to the host.
	BasisEntry = "entry"
)

// Attempt is one host to which the request would be offered.
type Attempt struct {
	Host string `json:"host"`
	// WaitPolicy is none, until_goal or until_deadline.
	WaitPolicy string `json:"wait_policy"`
	Basis      string `json:"basis"`
	Gate
}

// Gate is a decision on the request.
type Gate struct {
	Decision string `json:"decision"`
	// ExpectedWaitMs is the expected wait for a slot if Decision is queued or refused.
	ExpectedWaitMs int64 `json:"expected_wait_ms"`
	// Late is true if the response is expected to miss its goal.
	Late bool `json:"late"`
	// Kind, Detail and RetryAfterMs describe a refusal.
	Kind         errkind.Kind `json:"kind,omitempty"`
	Detail       string       `json:"detail,omitempty"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	// Slots, InFlight and Waiting are the load of the local gate, absent for other hosts.
	Slots    int `json:"slots,omitempty"`
	InFlight int `json:"in_flight,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
}

// Hedging says when the request would be sent a second time.
type Hedging struct {
	// Eligible is false if the request is never sent twice.
	Eligible bool `json:"eligible"`
	// DelayMs is the delay after which it would be, or -1 if too few responses are known.
	DelayMs int64 `json:"delay_ms"`
	// ShareTokens is the number of second requests that the limit of the service allows now.
	ShareTokens float64 `json:"share_tokens"`
	// Denied is the reason for which it would not be sent a second time, or empty.
	Denied string `json:"denied,omitempty"`
	// Host is the second host, or empty.
	Host string `json:"host,omitempty"`
}

// RetryBudget is the retry budget of the service at the asked host.
type RetryBudget struct {
	// Tokens is the number of retries that it allows now.
	Tokens float64 `json:"tokens"`
}

// Quarantine is what is known of requests like this one that crashed their upstreams.
type Quarantine struct {
	// Verdict is free, alone, refused or trial.
	Verdict string `json:"verdict"`
	Crashes int    `json:"crashes"`
	// RetryAfterMs is the time until the next trial if Verdict is refused.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// TrialHost is the only host that may run the trial, or empty.
	TrialHost string `json:"trial_host,omitempty"`
	// OtherBodies is the number of suspected requests with the same method, host and path
	// and another body.
	OtherBodies int `json:"other_bodies"`
}

// Outcome is the response that the caller would get.
type Outcome struct {
	// Served is true if an upstream would get the request.
	Served bool `json:"served"`
	// Host is the host that would get it.
	Host string `json:"host,omitempty"`
	// Status, Kind, Detail and RetryAfterMs describe the refusal.
	Status       int          `json:"status,omitempty"`
	Kind         errkind.Kind `json:"kind,omitempty"`
	Detail       string       `json:"detail,omitempty"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

// JoinAttempts adds the attempt, unless it repeats the last one: a request for a key is
// offered to its holder again after a newer key map, which an explanation does not wait for.
func JoinAttempts(attempts []Attempt, next Attempt) []Attempt {
	if n := len(attempts); n > 0 && attempts[n-1].Host == next.Host && attempts[n-1].Kind == next.Kind {
		return attempts
	}
	return append(attempts, next)
}

// LimitHosts shortens the list of hosts if more than most are listed with those of other
// services, and returns how many are listed now.
func (s *Service) LimitHosts(most, listed int) int {
	if room := max(most-listed, 0); len(s.Hosts) > room {
		s.Hosts, s.OmittedHosts = s.Hosts[:room], len(s.Hosts)-room
	}
	return listed + len(s.Hosts)
}

// Conclude returns the outcome over all services: served only if the request is served
// whichever service is drawn, otherwise the first refusal.
func Conclude(services []Service) Outcome {
	var served Outcome
	for _, s := range services {
		if !s.Outcome.Served {
			return s.Outcome
		}
		if served.Host == "" {
			served = s.Outcome
		}
	}
	return served
}

// Millis returns a duration in milliseconds, rounded up so that a short one does not look
// like none.
func Millis(d time.Duration) int64 {
	return int64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
