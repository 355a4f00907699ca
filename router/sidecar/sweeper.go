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
	// maxFailedProbes is the number of consecutive failed probes after which the row of a
	// host is removed. Restarts and partitions are shorter.
	maxFailedProbes = 4
)

// sweeper removes the member rows of hosts that have left permanently: hosts are replaced
// every day, and each row is read by all hosts. In each zone, the host that reads the
// fleet for the others probes them. A live host that finds its row removed writes it
// again.
type sweeper struct {
	host  string
	zone  string
	fleet *fleet.Directory
	log   *event.Logger
	// readsForZone reports whether this host reads the fleet for its zone.
	readsForZone func() bool
	// probe connects to the router of another host.
	probe func(context.Context, *fleet.Host) error
	// remove deletes the row of a host if it is unchanged since it was last read.
	remove func(ctx context.Context, host string) error

	failures map[string]int
}

// run probes the hosts of the zone until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		if !s.readsForZone() {
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
		if failures[name] < maxFailedProbes && !replaced {
			continue
		}
		err := s.remove(ctx, name)
		s.log.Log(eventMemberRemoved, event.F("host", name), event.F("probes", failures[name]), event.F("removed", err == nil), event.F("error", errorText(err)))
	}
	s.failures = failures
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
