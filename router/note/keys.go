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
	// want says in words which values are allowed.
	want string
	// fixed says why a change of the key is refused; "" permits it.
	fixed func(Service) string
	get   func(Service) string
	// set stores the value and reports whether it is allowed.
	set func(s *Service, value string) bool
}

// Reasons for keys that keep their value while the service exists.
//
// A new version is in force on some hosts before others. During that time the
// holder of a group and its standby may use different definitions, so a value
// that both must agree on for a safe takeover cannot change.
const (
	shardsFixed = "the value of the first note: the hash space is cut once, so add a service under another name"
	kindFixed   = "the value in force: hosts would disagree on the wait of a takeover, so withdraw the service, wait until that version is in force everywhere and add it again"
)

func always(reason string) func(Service) string {
	return func(Service) string { return reason }
}

func never(Service) string {
	return ""
}

// fixedForDeadline protects the run limit of deadline upstreams: the holder
// puts it into deadlines and the standby waits for it.
func fixedForDeadline(s Service) string {
	if s.Kind == Deadline {
		return kindFixed
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
	{"kind", "one of fenced, deadline, plain", always(kindFixed), func(s Service) string { return string(s.Kind) }, setKind},
	intKey("shards", 1, maxShards, always(shardsFixed), func(s *Service) *int { return &s.Shards }),
	durationKey("run_limit", time.Millisecond, time.Minute, fixedForDeadline, func(s *Service) *time.Duration { return &s.RunLimit }),
	durationKey("settle", 10*time.Millisecond, 10*time.Minute, never, func(s *Service) *time.Duration { return &s.SettleTime }),
	durationKey("request_timeout", time.Millisecond, time.Hour, never, func(s *Service) *time.Duration { return &s.RequestTimeout }),
	durationKey("max_request_timeout", time.Millisecond, time.Hour, never, func(s *Service) *time.Duration { return &s.MaxRequestTimeout }),
	maxBodyKey(),
	durationKey("idempotency_window", time.Second, 24*time.Hour, never, func(s *Service) *time.Duration { return &s.IdempotencyWindow }),
	methodsKey(),
	intKey("queue_limit", 0, maxQueueLimit, never, func(s *Service) *int { return &s.QueueLimit }),
	floatKey("retry_share", 1, func(s *Service) *float64 { return &s.RetryShare }),
	floatKey("imbalance_weight", maxWeight, func(s *Service) *float64 { return &s.ImbalanceWeight }),
	floatKey("churn_weight", maxWeight, func(s *Service) *float64 { return &s.ChurnWeight }),
	floatKey("unavailable_weight", maxWeight, func(s *Service) *float64 { return &s.UnavailableWeight }),
}

func setKind(s *Service, value string) bool {
	s.Kind = UpstreamKind(value)
	return s.Kind == Fenced || s.Kind == Deadline || s.Kind == Plain
}

func intKey(name string, low, high int, fixed func(Service) string, field func(*Service) *int) serviceKey {
	return serviceKey{
		name:  name,
		want:  fmt.Sprintf("a whole number from %d to %d", low, high),
		fixed: fixed,
		get:   func(s Service) string { return strconv.Itoa(*field(&s)) },
		set: func(s *Service, value string) bool {
			v, err := strconv.Atoi(value)
			*field(s) = v
			return err == nil && v >= low && v <= high
		},
	}
}

func maxBodyKey() serviceKey {
	return serviceKey{
		name:  "max_body",
		want:  fmt.Sprintf("a number of bytes from 1 to %d", maxBodyBytes),
		fixed: never,
		get:   func(s Service) string { return strconv.FormatInt(s.MaxBody, 10) },
		set: func(s *Service, value string) bool {
			v, err := strconv.ParseInt(value, 10, 64)
			s.MaxBody = v
			return err == nil && v >= 1 && v <= maxBodyBytes
		},
	}
}

func durationKey(name string, low, high time.Duration, fixed func(Service) string, field func(*Service) *time.Duration) serviceKey {
	return serviceKey{
		name:  name,
		want:  fmt.Sprintf("a duration from %s to %s such as 300ms or 2s", formatDuration(low), formatDuration(high)),
		fixed: fixed,
		get:   func(s Service) string { return formatDuration(*field(&s)) },
		set: func(s *Service, value string) bool {
			d, err := time.ParseDuration(value)
			*field(s) = d
			return err == nil && d >= low && d <= high
		},
	}
}

func floatKey(name string, high float64, field func(*Service) *float64) serviceKey {
	return serviceKey{
		name:  name,
		want:  fmt.Sprintf("a number from 0 to %s", formatFloat(high)),
		fixed: never,
		get:   func(s Service) string { return formatFloat(*field(&s)) },
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
		name:  "idempotent_methods",
		want:  fmt.Sprintf("up to %d distinct HTTP methods in capitals, separated by commas, or nothing", maxMethods),
		fixed: never,
		get:   func(s Service) string { return strings.Join(s.IdempotentMethods, ", ") },
		set:   setMethods,
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

// findKey returns the key with the name.
func findKey(name string) (serviceKey, bool) {
	i := slices.IndexFunc(serviceKeys, func(k serviceKey) bool { return k.name == name })
	if i < 0 {
		return serviceKey{}, false
	}
	return serviceKeys[i], true
}

// KeyNames returns the keys of a service in canonical order.
func KeyNames() []string {
	names := make([]string, len(serviceKeys))
	for i, k := range serviceKeys {
		names[i] = k.name
	}
	return names
}

// Value returns the value of the service's key as release notes write it, or
// "" when there is no such key.
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

// formatDuration formats a duration without zero parts: 1h instead of 1h0m0s.
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
