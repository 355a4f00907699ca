package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/connlimit"
)

// keyDef defines one key of the settings file.
type keyDef struct {
	section  string
	name     string
	required bool
	// want describes the allowed values in words.
	want string
	// set parses and stores the value and reports whether it is allowed.
	set func(s *Settings, value string) bool
}

var keys = slices.Concat(hostKeys(), listenKeys(), peerKeys(), platformKeys(), leaseKeys(), otherKeys(), limitKeys())

func hostKeys() []keyDef {
	return []keyDef{
		required(nameKey("host", "name", func(s *Settings) *string { return &s.Host.Name })),
		required(nameKey("host", "zone", func(s *Settings) *string { return &s.Host.Zone })),
		required(nameKey("host", "region", func(s *Settings) *string { return &s.Host.Region })),
		optional(nameKey("host", "service", func(s *Settings) *string { return &s.Host.Service })),
		{
			section: "host", name: "memory_mb",
			want: fmt.Sprintf("0, or a number from %d to %d", connlimit.MinMemoryMB, connlimit.MaxMemoryMB),
			set:  setMemory,
		},
		{
			section: "host", name: "max_fds",
			want: fmt.Sprintf("0, or a whole number of at least %d", connlimit.MinFiles),
			set:  setMaxFDs,
		},
	}
}

func setMemory(s *Settings, value string) bool {
	v, err := strconv.ParseFloat(value, 64)
	s.Host.MemoryMB = v
	return err == nil && connlimit.ValidMemoryMB(v)
}

func setMaxFDs(s *Settings, value string) bool {
	v, err := strconv.Atoi(value)
	s.Host.MaxFDs = v
	return err == nil && connlimit.ValidFiles(v)
}

func listenKeys() []keyDef {
	return []keyDef{
		addrKey("listen", "caller", func(s *Settings) *string { return &s.Listen.Caller }),
		addrKey("listen", "upstream", func(s *Settings) *string { return &s.Listen.Upstream }),
		addrKey("listen", "hop", func(s *Settings) *string { return &s.Listen.Hop }),
		addrKey("listen", "control", func(s *Settings) *string { return &s.Listen.Control }),
		addrKey("listen", "admin", func(s *Settings) *string { return &s.Listen.Admin }),
		addrKey("listen", "metrics", func(s *Settings) *string { return &s.Listen.Metrics }),
		boolKey("listen", "allow_public", func(s *Settings) *bool { return &s.Listen.AllowPublic }),
		addrKey("advertise", "hop", func(s *Settings) *string { return &s.Advertise.Hop }),
		addrKey("advertise", "control", func(s *Settings) *string { return &s.Advertise.Control }),
	}
}

func peerKeys() []keyDef {
	return []keyDef{
		{
			section: "peers", name: "seeds",
			want: "distinct addresses such as 10.0.0.7:8083, separated by commas",
			set:  setSeeds,
		},
		required(pathKey("peers", "secret_file", func(s *Settings) *string { return &s.Peers.SecretFile })),
	}
}

func platformKeys() []keyDef {
	return []keyDef{
		required(urlKey("platform", "table_url", func(s *Settings) *string { return &s.Platform.TableURL })),
		required(urlKey("platform", "object_url", func(s *Settings) *string { return &s.Platform.ObjectURL })),
		durationKey("platform", "timeout", 50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
	}
}

func leaseKeys() []keyDef {
	return []keyDef{
		durationKey("lease", "heartbeat", 10*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Lease.Heartbeat }),
		durationKey("lease", "duration", 50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Lease.Duration }),
		durationKey("lease", "replace_after", 20*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Lease.ReplaceAfter }),
		durationKey("lease", "drift_margin", time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Lease.DriftMargin }),
		// The key horizon is the renewal deadline of the rows.
		durationKey("lease", "horizon", 10*time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Lease.RenewDeadline }),
		intKey("lease", "groups", 1, 16, func(s *Settings, v int64) { s.Lease.Groups = int(v) }),
	}
}

func otherKeys() []keyDef {
	return []keyDef{
		durationKey("notes", "poll_interval", 100*time.Millisecond, 15*time.Second, func(s *Settings) *time.Duration { return &s.Notes.PollInterval }),
		durationKey("drain", "stop_timeout", time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Drain.StopTimeout }),
		required(pathKey("admin", "token_file", func(s *Settings) *string { return &s.Admin.TokenFile })),
		oneOfKey("log", "level", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	}
}

func limitKeys() []keyDef {
	return []keyDef{
		intKey("limits", "max_header_bytes", 4<<10, 1<<20, func(s *Settings, v int64) { s.Limits.MaxHeaderBytes = int(v) }),
		intKey("limits", "max_body_bytes", 1<<10, 1<<30, func(s *Settings, v int64) { s.Limits.MaxBodyBytes = v }),
		durationKey("limits", "read_header_timeout", 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Limits.ReadHeaderTimeout }),
		durationKey("limits", "idle_timeout", time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
	}
}

func required(k keyDef) keyDef {
	k.required = true
	return k
}

// optional permits an empty value, which stands for the default.
func optional(k keyDef) keyDef {
	set := k.set
	k.want += ", or nothing"
	k.set = func(s *Settings, value string) bool { return value == "" || set(s, value) }
	return k
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func nameKey(section, name string, field func(*Settings) *string) keyDef {
	return keyDef{
		section: section, name: name,
		want: "1 to 63 characters out of a-z, 0-9, dot, hyphen and underscore, the first a letter or digit",
		set: func(s *Settings, value string) bool {
			*field(s) = value
			return namePattern.MatchString(value)
		},
	}
}

func addrKey(section, name string, field func(*Settings) *string) keyDef {
	return keyDef{
		section: section, name: name,
		want: "an IP address and a port from 1 to 65535 such as 10.0.0.7:8083",
		set: func(s *Settings, value string) bool {
			addr, ok := parseAddr(value)
			if ok {
				*field(s) = addr.String()
			}
			return ok
		},
	}
}

// parseAddr parses an IP address and a port. An IPv4-mapped IPv6 address becomes an
// IPv4 address.
func parseAddr(value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	ok := err == nil && addr.Port() > 0 && addr.Addr().Zone() == ""
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), ok
}

// setSeeds parses the comma-separated seeds. It rejects wildcard addresses and
// duplicates.
func setSeeds(s *Settings, value string) bool {
	s.Peers.Seeds = nil
	if value == "" {
		return true
	}
	for part := range strings.SplitSeq(value, ",") {
		addr, ok := parseAddr(strings.TrimSpace(part))
		if !ok || addr.Addr().IsUnspecified() || slices.Contains(s.Peers.Seeds, addr.String()) {
			return false
		}
		s.Peers.Seeds = append(s.Peers.Seeds, addr.String())
	}
	return true
}

func boolKey(section, name string, field func(*Settings) *bool) keyDef {
	return keyDef{
		section: section, name: name,
		want: "true or false",
		set: func(s *Settings, value string) bool {
			*field(s) = value == "true"
			return value == "true" || value == "false"
		},
	}
}

func pathKey(section, name string, field func(*Settings) *string) keyDef {
	return keyDef{
		section: section, name: name,
		want: "the path of a file",
		set: func(s *Settings, value string) bool {
			*field(s) = value
			return value != ""
		},
	}
}

func urlKey(section, name string, field func(*Settings) *string) keyDef {
	return keyDef{
		section: section, name: name,
		want: "an address such as http://10.0.0.5:7000",
		set: func(s *Settings, value string) bool {
			u, err := url.Parse(value)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
				return false
			}
			if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
				return false
			}
			*field(s) = value
			return true
		},
	}
}

func durationKey(section, name string, low, high time.Duration, field func(*Settings) *time.Duration) keyDef {
	return keyDef{
		section: section, name: name,
		want: fmt.Sprintf("a duration from %s to %s such as 150ms or 10m", FormatDuration(low), FormatDuration(high)),
		set: func(s *Settings, value string) bool {
			d, err := time.ParseDuration(value)
			if err != nil || d < low || d > high {
				return false
			}
			*field(s) = d
			return true
		},
	}
}

func intKey(section, name string, low, high int64, assign func(*Settings, int64)) keyDef {
	return keyDef{
		section: section, name: name,
		want: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(s *Settings, value string) bool {
			v, err := strconv.ParseInt(value, 10, 64)
			if err != nil || v < low || v > high {
				return false
			}
			assign(s, v)
			return true
		},
	}
}

func oneOfKey(section, name string, allowed []string, field func(*Settings) *string) keyDef {
	return keyDef{
		section: section, name: name,
		want: "one of " + strings.Join(allowed, ", "),
		set: func(s *Settings, value string) bool {
			*field(s) = value
			return slices.Contains(allowed, value)
		},
	}
}

// FormatDuration formats a duration without trailing zero units: 1h, not 1h0m0s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
