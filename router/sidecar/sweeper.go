package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
)

const (
	// sweepInterval is the time between probes of the hosts of a zone.
	sweepInterval = 20 * time.Second
	// lostProbes is the number of failed probes in a row after which a host is
	// taken for gone for good: restarts and partitions end sooner.
	lostProbes = 4
)

// sweeper removes the member rows of hosts that are gone for good. Hosts are
// replaced every day, and each row is read by all hosts. In each zone the host
// that reads the fleet for the others probes them; a host that is alive and
// finds its row removed writes it again.
type sweeper struct {
	host  string
	zone  string
	fleet *fleet.Directory
	log   *event.Logger
	// reads reports whether this host reads the fleet for its zone.
	reads func() bool
	// probe connects to another host's router.
	probe func(context.Context, *fleet.Host) error
	// remove deletes the row of a host as it was last read.
	remove func(ctx context.Context, host string) error

	failures map[string]int
}

// run probes the hosts of the zone until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		if !s.reads() {
			s.failures = nil
			continue
		}
		s.sweep(ctx)
	}
}

// sweep probes each host of the zone once.
func (s *sweeper) sweep(ctx context.Context) {
	failures := map[string]int{}
	for _, h := range s.fleet.InZone(s.zone) {
		name := h.Member().Host
		replaced := s.fleet.AddressReassigned(name)
		if name == s.host || (!replaced && s.probe(ctx, h) == nil) {
			continue
		}
		failures[name] = s.failures[name] + 1
		if failures[name] < lostProbes && !replaced {
			continue
		}
		err := s.remove(ctx, name)
		s.log.Log(eventMemberGone, event.F("host", name), event.F("probes", failures[name]), event.F("removed", err == nil), event.F("error", textOf(err)))
	}
	s.failures = failures
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
