package note

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// serviceKey describes one key of a service in a release note.
type serviceKey struct {
	name string
	// want describes the allowed values in words.
	want string
	// immutableReason returns why the key of an existing service must not
	// change, or "" if it may.
	immutableReason func(Service) string
	get             func(Service) string
	// set parses and stores the value and reports whether it is allowed.
	set func(s *Service, value string) bool
}

// Reasons why keys are immutable while the service exists.
//
// A new version comes into force on some hosts before others. Until it is in
// force on all, the holder of a group and its standby may use different
// definitions. A value on which both must agree for a safe takeover must
// therefore not change.
const (
	shardsImmutable = "the value of the first note: the hash space is divided once, so add a service under another name"
	kindImmutable   = "the value in force: hosts would disagree on the delay of a takeover, so withdraw the service, wait until that version is in force everywhere and add it again"
)

// immutable returns an immutableReason function for a key that never changes.
func immutable(reason string) func(Service) string {
	return func(Service) string { return reason }
}

// mutable is the immutableReason function of a key that may change.
func mutable(Service) string {
	return ""
}

// immutableIfDeadline makes the run limit of deadline upstreams immutable: the
// holder derives request deadlines from it and the standby waits for it.
func immutableIfDeadline(s Service) string {
	if s.Kind == Deadline {
		return kindImmutable
	}
	return ""
}

// Ranges of the keys.
const (
	maxShards     = 1 << 17
	maxBodyBytes  = 1 << 30
	maxQueueLimit = 100_000
	maxWeight     = 1000
	maxMethods    = 16
)

var serviceKeys = []serviceKey{
	{"kind", "one of fenced, deadline, plain", immutable(kindImmutable), func(s Service) string { return string(s.Kind) }, setKind},
	intKey("shards", 1, maxShards, immutable(shardsImmutable), func(s *Service) *int { return &s.Shards }),
	durationKey("run_limit", time.Millisecond, time.Minute, immutableIfDeadline, func(s *Service) *time.Duration { return &s.RunLimit }),
	durationKey("settle", 10*time.Millisecond, 10*time.Minute, mutable, func(s *Service) *time.Duration { return &s.SettleTime }),
	durationKey("request_timeout", time.Millisecond, time.Hour, mutable, func(s *Service) *time.Duration { return &s.RequestTimeout }),
	durationKey("max_request_timeout", time.Millisecond, time.Hour, mutable, func(s *Service) *time.Duration { return &s.MaxRequestTimeout }),
	maxBodyKey(),
	durationKey("idempotency_window", time.Second, 24*time.Hour, mutable, func(s *Service) *time.Duration { return &s.IdempotencyWindow }),
	methodsKey(),
	intKey("queue_limit", 0, maxQueueLimit, mutable, func(s *Service) *int { return &s.QueueLimit }),
	floatKey("retry_share", 1, func(s *Service) *float64 { return &s.RetryShare }),
	floatKey("imbalance_weight", maxWeight, func(s *Service) *float64 { return &s.ImbalanceWeight }),
	floatKey("churn_weight", maxWeight, func(s *Service) *float64 { return &s.ChurnWeight }),
	floatKey("unavailable_weight", maxWeight, func(s *Service) *float64 { return &s.UnavailableWeight }),
}

func setKind(s *Service, value string) bool {
	s.Kind = UpstreamKind(value)
	return s.Kind == Fenced || s.Kind == Deadline || s.Kind == Plain
}

func intKey(name string, low, high int, immutableReason func(Service) string, field func(*Service) *int) serviceKey {
	return serviceKey{
		name:            name,
		want:            fmt.Sprintf("a whole number from %d to %d", low, high),
		immutableReason: immutableReason,
		get:             func(s Service) string { return strconv.Itoa(*field(&s)) },
		set: func(s *Service, value string) bool {
			v, err := strconv.Atoi(value)
			*field(s) = v
			return err == nil && v >= low && v <= high
		},
	}
}

func maxBodyKey() serviceKey {
	return serviceKey{
		name:            "max_body",
		want:            fmt.Sprintf("a number of bytes from 1 to %d", maxBodyBytes),
		immutableReason: mutable,
		get:             func(s Service) string { return strconv.FormatInt(s.MaxBody, 10) },
		set: func(s *Service, value string) bool {
			v, err := strconv.ParseInt(value, 10, 64)
			s.MaxBody = v
			return err == nil && v >= 1 && v <= maxBodyBytes
		},
	}
}

func durationKey(name string, low, high time.Duration, immutableReason func(Service) string, field func(*Service) *time.Duration) serviceKey {
	return serviceKey{
		name:            name,
		want:            fmt.Sprintf("a duration from %s to %s such as 300ms or 2s", formatDuration(low), formatDuration(high)),
		immutableReason: immutableReason,
		get:             func(s Service) string { return formatDuration(*field(&s)) },
		set: func(s *Service, value string) bool {
			d, err := time.ParseDuration(value)
			*field(s) = d
			return err == nil && d >= low && d <= high
		},
	}
}

func floatKey(name string, high float64, field func(*Service) *float64) serviceKey {
	return serviceKey{
		name:            name,
		want:            fmt.Sprintf("a number from 0 to %s", formatFloat(high)),
		immutableReason: mutable,
		get:             func(s Service) string { return formatFloat(*field(&s)) },
		set: func(s *Service, value string) bool {
			v, err := strconv.ParseFloat(value, 64)
			*field(s) = v
			return err == nil && !math.IsNaN(v) && !math.Signbit(v) && v <= high
		},
	}
}

var methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)

func methodsKey() serviceKey {
	return serviceKey{
		name:            "idempotent_methods",
		want:            fmt.Sprintf("up to %d distinct HTTP methods in capitals, separated by commas, or nothing", maxMethods),
		immutableReason: mutable,
		get:             func(s Service) string { return strings.Join(s.IdempotentMethods, ", ") },
		set:             setMethods,
	}
}

func setMethods(s *Service, value string) bool {
	s.IdempotentMethods = nil
	if value == "" {
		return true
	}
	for part := range strings.SplitSeq(value, ",") {
		method := strings.TrimSpace(part)
		if !methodPattern.MatchString(method) || slices.Contains(s.IdempotentMethods, method) {
			return false
		}
		s.IdempotentMethods = append(s.IdempotentMethods, method)
	}
	slices.Sort(s.IdempotentMethods)
	return len(s.IdempotentMethods) <= maxMethods
}

// findKey returns the service key with the name.
func findKey(name string) (serviceKey, bool) {
	i := slices.IndexFunc(serviceKeys, func(k serviceKey) bool { return k.name == name })
	if i < 0 {
		return serviceKey{}, false
	}
	return serviceKeys[i], true
}

// KeyNames returns the names of a service's keys in canonical order.
func KeyNames() []string {
	names := make([]string, len(serviceKeys))
	for i, k := range serviceKeys {
		names[i] = k.name
	}
	return names
}

// Value returns the value of a key in the text form of release notes, or "" if
// the key does not exist.
func (s Service) Value(key string) string {
	k, ok := findKey(key)
	if !ok {
		return ""
	}
	return k.get(s)
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// formatDuration formats a duration without trailing zero units: 1h, not 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
