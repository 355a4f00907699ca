// Package settings reads and validates the INI settings of one router process.
//
// docs/burdockglade.sample.ini lists every key with its default. Durations are
// written as Go durations such as 150ms or 10m, and sizes in bytes.
package settings

import "time"

// Settings are the settings of one router process.
type Settings struct {
	Host      Host
	Listen    Listen
	Advertise Advertise
	Peers     Peers
	Platform  Platform
	Lease     Lease
	Notes     Notes
	Drain     Drain
	Admin     Admin
	Log       Log
	Limits    Limits
}

// Host identifies the process and its location. Names have 1 to 63 characters out of
// a-z, 0-9, dot, hyphen and underscore and start with a letter or digit.
type Host struct {
	// Name identifies the host in rows and messages. Required. Running hosts
	// must have distinct names.
	Name string
	// Zone is the availability zone. Required. The standby of a group is
	// chosen in another zone where one exists.
	Zone string
	// Region is the region of the zone. Required. The standby of a group is
	// chosen in the same region.
	Region string
	// Service is the service that the local upstream is expected to serve.
	// Default: none. The service that the upstream announces is
	// authoritative.
	Service string
	// MemoryMB is the memory of the host in MB, which bounds what the connections of the
	// process hold. 0 or 32 to 16777216. Default 0: no bound.
	MemoryMB float64
	// MaxFDs is the number of file descriptors that the process may open; 200 of them are
	// kept for files. 0 or at least 300. Default 0: no bound.
	MaxFDs int
}

// MemoryBytes returns the memory of the host in bytes, or 0 if it is not set.
func (h Host) MemoryBytes() int64 {
	return int64(h.MemoryMB * 1_000_000)
}

// Listen has the addresses that the process listens on, each an IP address and a
// port from 1 to 65535. The addresses must be distinct.
type Listen struct {
	// Caller accepts requests from callers (HTTP). Default 127.0.0.1:8080.
	Caller string
	// Upstream accepts announcements from the local upstream (HTTP). Default
	// 127.0.0.1:8081. It has no authentication, so it must be a loopback
	// address.
	Upstream string
	// Hop accepts requests forwarded by other routers (HTTP). Default
	// 127.0.0.1:8082.
	Hop string
	// Control accepts control messages (TCP) and heartbeats (UDP, same port).
	// Default 127.0.0.1:8083.
	Control string
	// Admin accepts requests from operators (HTTP). Default 127.0.0.1:8084.
	Admin string
	// Metrics serves metrics (HTTP). Default 127.0.0.1:8085.
	Metrics string
	// AllowPublic permits listeners on addresses other than loopback. Default
	// false.
	AllowPublic bool
}

// Advertise has the addresses at which other routers reach this process.
type Advertise struct {
	// Hop is the address for forwarded requests. Default: Listen.Hop.
	// Required when Listen.Hop is a wildcard address.
	Hop string
	// Control is the address for control messages and heartbeats. Default:
	// Listen.Control. Required when Listen.Control is a wildcard address.
	Control string
}

// Peers configures the discovery and authentication of other routers.
type Peers struct {
	// Seeds are control addresses of other routers to contact first. Default:
	// none; the process then starts from the member rows.
	Seeds []string
	// SecretFile is the path of the file with the cluster's shared secret.
	// Required. A relative path starts at the directory of the settings file.
	SecretFile string
	// Secret is the content of SecretFile. Only Load sets it.
	Secret Secret
}

// Platform configures access to the platform's services.
type Platform struct {
	// TableURL is the address of the table service, such as
	// http://10.0.0.5:7000. Required.
	TableURL string
	// ObjectURL is the address of the object store. Required.
	ObjectURL string
	// Timeout is the timeout of one call. Default 2s, range 50ms to 1m.
	Timeout time.Duration
}

// Lease has the durations of the lease protocol and the number of groups.
// Heartbeat, Duration, ReplaceAfter, DriftMargin and RenewDeadline must be the same
// on all hosts of a cluster: the holder's lease is sure to end before the standby's
// lease grace only if both use the same durations.
type Lease struct {
	// Heartbeat is the interval between heartbeats of a holder. Default 150ms,
	// range 10ms to 10s. Shorter than ReplaceAfter.
	Heartbeat time.Duration
	// Duration is how long a heartbeat with an ack extends the lease. Default
	// 500ms, range 50ms to 1m.
	Duration time.Duration
	// ReplaceAfter is how long a holder waits for an ack before it replaces its
	// standby. Default 250ms, range 20ms to 1m. Shorter than Duration.
	ReplaceAfter time.Duration
	// DriftMargin is added to the standby's lease grace to compensate for clock
	// drift. Default 25ms, range 1ms to 10s, at least 1% of Duration.
	DriftMargin time.Duration
	// RenewDeadline is how long a holder serves without a successful renewal of
	// its row (settings key horizon). Default 1h, range 10s to 24h, at least 20
	// times Duration.
	RenewDeadline time.Duration
	// Groups is the number of groups that a host creates. Default 2, range 1 to
	// 16. With 2, the load of a lost host is divided between two standbys.
	Groups int
}

// Notes has the settings of release notes.
type Notes struct {
	// PollInterval is the mean interval between two reads of the head row.
	// Default 5s, range 100ms to 15s: a version must come into force within 15s
	// even if no peer forwards it.
	PollInterval time.Duration
}

// Drain has the settings of a shutdown.
type Drain struct {
	// StopTimeout is how long a shutdown waits for a store outage to end, so
	// that shards can be moved. Default 10m, range 1s to 24h.
	StopTimeout time.Duration
}

// Admin has the settings of the administration API.
type Admin struct {
	// TokenFile is the path of the file with the bearer token of operators.
	// Required. A relative path starts at the directory of the settings file.
	TokenFile string
	// Token is the content of TokenFile. Only Load sets it.
	Token Secret
}

// Log has the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string
}

// Limits has the limits of the HTTP listeners.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request header in bytes. Default
	// 32768, range 4096 to 1048576. Larger ones are rejected.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body in bytes, regardless
	// of the limit of the service. Default 67108864, range 1024 to 1073741824.
	MaxBodyBytes int64
	// ReadHeaderTimeout is the timeout for receiving a request header. Default
	// 5s, range 100ms to 1m.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is
	// closed. Default 1m, range 1s to 1h.
	IdleTimeout time.Duration
}

// Default returns the default settings. Required keys are empty.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Caller:   "127.0.0.1:8080",
			Upstream: "127.0.0.1:8081",
			Hop:      "127.0.0.1:8082",
			Control:  "127.0.0.1:8083",
			Admin:    "127.0.0.1:8084",
			Metrics:  "127.0.0.1:8085",
		},
		Advertise: Advertise{
			Hop:     "127.0.0.1:8082",
			Control: "127.0.0.1:8083",
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Lease: Lease{
			Heartbeat:     150 * time.Millisecond,
			Duration:      500 * time.Millisecond,
			ReplaceAfter:  250 * time.Millisecond,
			DriftMargin:   25 * time.Millisecond,
			RenewDeadline: time.Hour,
			Groups:        2,
		},
		Notes: Notes{PollInterval: 5 * time.Second},
		Drain: Drain{StopTimeout: 10 * time.Minute},
		Log:   Log{Level: "info"},
		Limits: Limits{
			MaxHeaderBytes:    32 << 10,
			MaxBodyBytes:      64 << 20,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       time.Minute,
		},
	}
}
