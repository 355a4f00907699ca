package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/lease"
)

// watcherJitterShare is the longest random wait of a watcher, as a share of the
// renewal deadline: the hosts of a service spread their takeovers over it.
// watcherRetryShare is the delay after a takeover that failed, as a share of the
// renewal deadline.
const (
	watcherJitterShare = 1.0 / 64
	watcherRetryShare  = 1.0 / 64
)

// reconcileWatcher keeps a watcher of each group of a joined service for which
// this host is neither holder nor standby.
func (m *Manager) reconcileWatcher(now time.Time, key string, g Group) {
	if !m.joined[g.Service] || m.held[key] != nil || m.standbys[key] != nil {
		delete(m.watchers, key)
		return
	}
	if w := m.watchers[key]; w != nil && w.Version() == g.Version {
		return
	}
	jitter := time.Duration(float64(m.o.Timing.RenewDeadline) * watcherJitterShare * rand.Float64())
	w := lease.NewWatcher(lease.WatcherOptions{
		Timing:       m.o.Timing,
		UpstreamWait: m.upstreamWait(g.Service),
		Jitter:       jitter,
		Version:      g.Version,
		Now:          now,
	})
	m.watchers[key] = &w
}

// takeOverExpired takes over a group whose row did not change before a watcher's
// deadline.
func (m *Manager) takeOverExpired(ctx context.Context, base Group) {
	current, err := m.o.Records.Get(ctx, base.Service, base.ID)
	if err == nil && current.Version == base.Version {
		sentAt := time.Now()
		var g Group
		next := m.pickStandby(base.Service, base.Holder.Name, base.Standby.Name)
		g, err = m.o.Records.TakeOverExpired(ctx, base, m.o.Self, next)
		if err == nil {
			m.startAfterTakeover(evTookOverExpired, "horizon", g, sentAt)
			return
		}
	}
	m.lock()
	defer m.unlock()
	switch {
	case err == nil:
		m.adopt(current)
	case errkind.Is(err, errkind.NotFound):
		m.removeGroup(base.Key())
	case errkind.Is(err, errkind.Conflict):
		m.adoptResult(base, Group{}, err)
	case !errkind.Is(err, errkind.OutcomeUnknown):
		m.logFailure(base, err)
		m.restartWatcher(base)
	}
}

// restartWatcher schedules another takeover attempt for the same row version.
func (m *Manager) restartWatcher(base Group) {
	key := base.Key()
	if m.newest[key].Version != base.Version || m.watchers[key] != nil {
		return
	}
	now := time.Now()
	delay := time.Duration(float64(m.o.Timing.RenewDeadline) * watcherRetryShare)
	// The renewal deadline has already passed for this version, so the watcher
	// waits only for the delay.
	w := lease.NewWatcher(lease.WatcherOptions{Version: base.Version, Now: now})
	w.Postpone(now.Add(delay))
	m.watchers[key] = &w
	m.wakeUp()
}
