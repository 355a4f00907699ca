package sidecar

import (
	"context"
	"slices"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

const (
	// sweepInterval is the time between probes of the hosts of a zone.
	sweepInterval = 20 * time.Second
	// maxFailedProbes is the number of consecutive failed probes after which the row of a
	// host is removed. Restarts and partitions are shorter.
	maxFailedProbes = 4
	// sweepsPerNoticeSweep is the number of sweeps between two looks for notices of leaving
	// whose hosts are not known any more.
	sweepsPerNoticeSweep = 30
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
	// store holds the notices of leaving.
	store rowstore.Store

	failures map[string]int
	// sweeps counts the sweeps. unknown are the hosts that have notices and were not known at
	// the last look.
	sweeps  int
	unknown []string
}

// run probes the hosts of the zone until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		if !s.readsForZone() {
			s.failures, s.unknown = nil, nil
			continue
		}
		s.sweep(ctx)
		s.sweeps++
		if s.sweeps%sweepsPerNoticeSweep == 0 {
			s.sweepNotices(ctx)
		}
	}
}

// sweepNotices deletes the notices of leaving of hosts that were not known the last time and
// still are not. A router that is started again beside its upstream is known sooner.
func (s *sweeper) sweepNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	hosts, _, err := s.store.Parts(ctx, tableLeave)
	if err != nil {
		return // the next look comes
	}
	unknown := slices.DeleteFunc(hosts, func(host string) bool { return s.fleet.Host(host) != nil })
	for _, host := range unknown {
		if !slices.Contains(s.unknown, host) {
			continue
		}
		deleted, err := s.deleteNotices(ctx, host)
		s.log.Log(eventNoticesRemoved, event.F("host", host), event.F("notices", deleted), event.F("error", errorText(err)))
	}
	s.unknown = unknown
}

// deleteNotices deletes the notices of a host, unless they change meanwhile.
func (s *sweeper) deleteNotices(ctx context.Context, host string) (deleted int, err error) {
	rows, version, err := s.store.List(ctx, tableLeave, host)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	txn := rowstore.Txn{Era: rowstore.EraOf(version)}
	for _, r := range rows {
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: r.Key, Version: r.Version})
		txn.Deletes = append(txn.Deletes, r.Key)
	}
	if _, err := s.store.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return len(rows), nil
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
