package ownership

import (
	"context"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
)

// Join creates this host's groups of a service. It does nothing if this process
// holds a group of the service. A host whose groups were taken over gets new
// ones, because without a group it could not receive shards. Errors have the
// kind UnknownService, Conflict, StoreUnavailable or OutcomeUnknown; after
// OutcomeUnknown the groups may exist, and another call may create more.
func (m *Manager) Join(ctx context.Context, service string, groups int) error {
	s, ok := m.o.Service(service)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q is not in the release note in force", service)
	}
	m.lock()
	if m.holds(service) || m.joining[service] {
		busy := m.joining[service]
		m.unlock()
		if busy {
			return errkind.New(errkind.Conflict, "a join of service %q is already in progress", service)
		}
		return nil
	}
	m.joining[service] = true
	m.unlock()

	sentAt := time.Now()
	created, err := m.o.Records.Join(ctx, JoinRequest{
		Service: service,
		Shards:  s.Shards,
		Holder:  m.o.Self,
		Groups:  groups,
		Standby: func() Host { return m.pickStandby(service) },
	})

	m.lock()
	defer m.unlock()
	delete(m.joining, service)
	if err != nil {
		return err
	}
	m.joined[service] = true
	for _, g := range created {
		m.installWritten(g, sentAt)
		m.log(evJoined, g, event.F("shards", len(g.Shards)))
	}
	for key, g := range m.newest {
		if g.Service == service {
			m.reconcileWatcher(time.Now(), key, g)
		}
	}
	m.wakeUp()
	return nil
}

// holds reports whether this host holds a group of the service. The lock must
// be held.
func (m *Manager) holds(service string) bool {
	for _, role := range m.held {
		if role.rec.Service == service {
			return true
		}
	}
	return false
}
