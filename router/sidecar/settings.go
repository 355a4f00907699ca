package sidecar

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"gopkg.in/ini.v1"

	"burdockglade.dev/router/connlimit"
)

// Settings are the settings of one sidecar process, an INI file with one section for each
// field. Durations are in milliseconds, as the key names say; grace_s and retry_window_s may
// stand in place of grace_ms and retry_window_ms. Whole numbers may be given as fractions,
// which are rounded down, and those of the section terms as true or false, which stand for
// the default.
type Settings struct {
	Host       HostSettings       `ini:"host"`
	Listen     ListenSettings     `ini:"listen"`
	Upstream   UpstreamSettings   `ini:"upstream"`
	Store      StoreSettings      `ini:"store"`
	Terms      TermSettings       `ini:"terms"`
	Hedge      HedgeSettings      `ini:"hedge"`
	Quarantine QuarantineSettings `ini:"quarantine"`
	// Reservation configures the reservations for requests that return after a refusal.
	Reservation ReservationSettings `ini:"reservation"`
	Calls       CallSettings        `ini:"calls"`
	Explain     ExplainSettings     `ini:"explain"`
	Log         LogSettings         `ini:"log"`
}

// HostSettings identify the host of the process and name its resources. The names are
// required.
type HostSettings struct {
	// Name is the unique name of the host.
	Name   string `ini:"name"`
	Zone   string `ini:"zone"`
	Region string `ini:"region"`
	// Service is the service of the upstream on this host. Requests that start on the
	// host are attributed to it.
	Service string `ini:"service"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s. In each zone, the host with
	// the highest bandwidth reads the fleet for the others, and large responses to other
	// hosts are sent in turns within it. Default 0: unknown; responses are sent at once.
	LinkMbps float64 `ini:"link_mbps"`
	// MemoryMB is the memory of the host in MB, which bounds what the connections of the
	// process hold. 0 or at least 32. Default 0: no bound.
	MemoryMB float64 `ini:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may open; 200 of them are
	// kept for files. 0 or at least 300. Default 0: no bound.
	MaxFDs int `ini:"max_fds"`
}

// MemoryBytes returns the memory of the host in bytes, or 0 if it is not set.
func (h HostSettings) MemoryBytes() int64 {
	return int64(h.MemoryMB * 1_000_000)
}

// ListenSettings are the addresses to listen on, each an IP address and a port. All are
// required.
type ListenSettings struct {
	// Caller serves requests that start on this host.
	Caller string `ini:"caller"`
	// Hop serves requests of other routers.
	Hop string `ini:"hop"`
	// HopAdvertised is the address of Hop that is published to other routers. Default:
	// Hop.
	HopAdvertised string `ini:"hop_advertised"`
	// Ready serves the readiness check of the platform.
	Ready string `ini:"ready"`
	// Control serves the heartbeats of the local upstream, and explanations.
	Control string `ini:"control"`
	// Metrics serves metrics under /metrics.
	Metrics string `ini:"metrics"`
}

// UpstreamSettings describe the upstream on this host.
type UpstreamSettings struct {
	// Address is where the upstream accepts requests. Required.
	Address string `ini:"address"`
	// HeartbeatMs is the time between heartbeats of the upstream. Default 1000.
	HeartbeatMs int `ini:"heartbeat_ms"`
}

// StoreSettings describe the store of the platform.
type StoreSettings struct {
	// Address is an IP address and a port. Required.
	Address string `ini:"address"`
}

// TermSettings are the limits that the deployment imposes.
type TermSettings struct {
	// DrainMs is the time after which an upstream that has announced that it leaves must
	// not get new requests. Default 2000.
	DrainMs int `ini:"drain_ms"`
	// ConfigMs is the time after which a changed configuration must be in force on all
	// hosts. Default 2000.
	ConfigMs int `ini:"config_ms"`
	// GraceMs is the time from SIGTERM until the process is killed. Default
	// 6000.
	GraceMs int `ini:"grace_ms"`
	// HoldMaxMs is the longest time for which an upstream may be granted keys. Default
	// 10000.
	HoldMaxMs int `ini:"hold_max_ms"`
	// EvacuationMs is the time after which the upstreams of an evacuated zone must not get
	// new requests. Keys that have not moved out are served for half of it. Default 5000.
	EvacuationMs int `ini:"evacuation_ms"`
	// RetryRatio, RetrySlack and RetryWindowMs bound the retries of a service's requests:
	// within each window, all hosts together may send at most RetryRatio times its
	// requests, plus RetrySlack, as retries. Defaults 0.2, 60 and 10000.
	RetryRatio    float64 `ini:"retry_ratio"`
	RetrySlack    float64 `ini:"retry_slack"`
	RetryWindowMs int     `ini:"retry_window_ms"`
	// ColdOverage and ColdSlack bound the requests to a cold upstream: in any second it
	// gets at most ColdOverage times the requests per second that its service tolerates
	// while cold, plus ColdSlack. Defaults 1.5 and 8.
	ColdOverage float64 `ini:"cold_overage"`
	ColdSlack   float64 `ini:"cold_slack"`
}

// HedgeSettings limit the requests that are sent a second time, to another host, while the
// first one is running.
type HedgeSettings struct {
	// MaxShare is the share, 0 to 1, of the repeatable requests of a service without keys
	// that may be sent a second time. Default 0: none.
	MaxShare float64 `ini:"max_share"`
}

// maxRepeatWaitMs bounds quarantine.repeat_wait_ms: callers wait meanwhile.
const maxRepeatWaitMs = 2000

// QuarantineSettings configure the refusal of requests that crash their upstreams.
type QuarantineSettings struct {
	// Enabled is true if such requests are refused. Default true.
	Enabled bool `ini:"enabled"`
	// RepeatWaitMs is the longest time for which a repeatable request that was lost in a
	// crash waits until it is known to be harmless, so that it can be sent to another host.
	// 0 switches the wait off.
	RepeatWaitMs int `ini:"repeat_wait_ms"`
}

// ReservationSettings configure the reservations for requests that return after they were
// refused for lack of room.
type ReservationSettings struct {
	// Share is the share of the capacity of the local upstream that may be reserved for those
	// that can still meet their latency objective. Default 0: no reservations are made.
	Share float64 `ini:"share"`
	// LateShare is the share that may be reserved for those that cannot. Together the two are
	// at most 0.9. Default 0.05.
	LateShare float64 `ini:"late_share"`
}

// maxReservationShare leaves capacity for new requests.
const maxReservationShare = 0.9

// CallSettings configure how calls that upstreams make for their requests are treated.
type CallSettings struct {
	// Enabled is true if such calls are served before new requests, and new requests whose
	// calls cannot be served are refused. Default false.
	Enabled bool `ini:"enabled"`
}

// ExplainSettings configure the explanation of decisions.
type ExplainSettings struct {
	// Enabled is true if Listen.Control serves it. Default true.
	Enabled bool `ini:"enabled"`
}

// LogSettings configure the log on standard output.
type LogSettings struct {
	// Level is debug, info, warn or error. Default info.
	Level string `ini:"level"`
}

// DefaultSettings returns the defaults; required settings are empty.
func DefaultSettings() Settings {
	return Settings{
		Upstream: UpstreamSettings{HeartbeatMs: 1000},
		Terms: TermSettings{
			DrainMs: 2000, ConfigMs: 2000, GraceMs: 6000, HoldMaxMs: 10000, EvacuationMs: 5000,
			RetryRatio: 0.2, RetrySlack: 60, RetryWindowMs: 10000,
			ColdOverage: 1.5, ColdSlack: 8,
		},
		Quarantine:  QuarantineSettings{Enabled: true, RepeatWaitMs: 400},
		Reservation: ReservationSettings{LateShare: 0.05},
		Explain:     ExplainSettings{Enabled: true},
		Log:         LogSettings{Level: "info"},
	}
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	dropEmpty(file)
	if err := convertFigures(file); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	s := DefaultSettings()
	if err := file.StrictMapTo(&s); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	if s.Listen.HopAdvertised == "" {
		s.Listen.HopAdvertised = s.Listen.Hop
	}
	if err := s.Check(); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// dropEmpty removes keys without a value, so that their defaults apply: a template leaves
// them empty if the deployment does not set the value.
func dropEmpty(file *ini.File) {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if key.Value() == "" {
				section.DeleteKey(key.Name())
			}
		}
	}
}

// Check returns all errors of the settings, joined.
func (s Settings) Check() error {
	var errs []error
	for _, f := range []struct{ key, value string }{
		{"host.name", s.Host.Name},
		{"host.zone", s.Host.Zone},
		{"host.region", s.Host.Region},
		{"host.service", s.Host.Service},
	} {
		if f.value == "" {
			errs = append(errs, fmt.Errorf("%s is missing", f.key))
		}
	}
	for _, f := range []struct{ key, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.hop", s.Listen.Hop},
		{"listen.hop_advertised", s.Listen.HopAdvertised},
		{"listen.ready", s.Listen.Ready},
		{"listen.control", s.Listen.Control},
		{"listen.metrics", s.Listen.Metrics},
		{"upstream.address", s.Upstream.Address},
		{"store.address", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			errs = append(errs, fmt.Errorf("%s = %q: want an IP address and a port", f.key, f.value))
		}
	}
	for _, f := range []struct {
		key   string
		value int
	}{
		{"upstream.heartbeat_ms", s.Upstream.HeartbeatMs},
		{"terms.drain_ms", s.Terms.DrainMs},
		{"terms.config_ms", s.Terms.ConfigMs},
		{"terms.grace_ms", s.Terms.GraceMs},
		{"terms.hold_max_ms", s.Terms.HoldMaxMs},
		{"terms.evacuation_ms", s.Terms.EvacuationMs},
		{"terms.retry_window_ms", s.Terms.RetryWindowMs},
	} {
		if f.value <= 0 {
			errs = append(errs, fmt.Errorf("%s = %d: want more than 0", f.key, f.value))
		}
	}
	if s.Host.LinkMbps < 0 || math.IsNaN(s.Host.LinkMbps) || math.IsInf(s.Host.LinkMbps, 0) {
		errs = append(errs, fmt.Errorf("host.link_mbps = %v: want 0 or more", s.Host.LinkMbps))
	}
	if m := s.Host.MemoryMB; !connlimit.ValidMemoryMB(m) {
		errs = append(errs, fmt.Errorf("host.memory_mb = %v: want 0, or %d to %d", m, connlimit.MinMemoryMB, connlimit.MaxMemoryMB))
	}
	if n := s.Host.MaxFDs; !connlimit.ValidFiles(n) {
		errs = append(errs, fmt.Errorf("host.max_fds = %d: want 0, or at least %d", n, connlimit.MinFiles))
	}
	if s.Terms.RetryRatio < 0 || s.Terms.RetrySlack < 0 {
		errs = append(errs, errors.New("terms.retry_ratio and terms.retry_slack: want 0 or more"))
	}
	if t := s.Terms; !(t.ColdOverage > 0) || !(t.ColdSlack >= 0) || math.IsInf(t.ColdOverage+t.ColdSlack, 1) {
		errs = append(errs, fmt.Errorf("terms.cold_overage = %v, terms.cold_slack = %v: want a number above 0 and one of 0 or more", t.ColdOverage, t.ColdSlack))
	}
	if !(s.Hedge.MaxShare >= 0 && s.Hedge.MaxShare <= 1) { // also refuses NaN
		errs = append(errs, fmt.Errorf("hedge.max_share = %v: want 0 to 1", s.Hedge.MaxShare))
	}
	if r := s.Reservation; !(r.Share >= 0 && r.LateShare >= 0 && r.Share+r.LateShare <= maxReservationShare) {
		errs = append(errs, fmt.Errorf("reservation.share = %v, reservation.late_share = %v: want 0 or more, and %v together at most", r.Share, r.LateShare, maxReservationShare))
	}
	if w := s.Quarantine.RepeatWaitMs; w < 0 || w > maxRepeatWaitMs {
		errs = append(errs, fmt.Errorf("quarantine.repeat_wait_ms = %d: want 0 to %d", w, maxRepeatWaitMs))
	}
	return errors.Join(errs...)
}

func millis(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
