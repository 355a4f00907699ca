package ownership

import (
	"context"
	"errors"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/note"
)

// Network sends lease messages. The calls must not block; a message may be
// lost, delayed or doubled.
type Network interface {
	SendHeartbeat(to Host, hb lease.Heartbeat)
	SendAnswer(to Host, a lease.Answer)
}

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	Self    Host
	Records *Records
	Network Network
	// PickStandby chooses a host of the service that may become a standby,
	// other than the named ones.
	PickStandby func(service string, exclude ...string) (Host, bool)
	// Service returns the definition in force.
	Service func(name string) (note.Service, bool)
	// NoteVersion returns the release note version in force.
	NoteVersion func() int64
	// FreezeJournal is called before a takeover. From then on this host
	// accepts no journal entries of that generation. It returns whether this
	// host's copy of the journal is complete.
	FreezeJournal func(service, groupID string, generation uint64) (complete bool)
	// OnChange is called with each newer record that this host wrote or
	// learned, outside all locks.
	OnChange func(Group)
	Timing   lease.Timing
	Log      *event.Logger
	Scope    tally.Scope
}

// Manager drives the leases of all groups of this host, as holder and as
// standby.
type Manager struct {
	o ManagerOptions
}

// NewManager returns a manager, or an error when an option is missing or the
// timing contradicts itself.
func NewManager(o ManagerOptions) (*Manager, error) {
	if o.Self.IsZero() || o.Records == nil || o.Network == nil || o.PickStandby == nil || o.Service == nil {
		return nil, errors.New("ownership manager needs self, records, network, standby choice and services")
	}
	if err := o.Timing.Check(); err != nil {
		return nil, err
	}
	return &Manager{o: o}, nil
}

// Run drives the leases until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Join creates this host's groups of a service.
func (m *Manager) Join(ctx context.Context, service string, groups int) error {
	return errkind.New(errkind.NotReady, "joining is not built yet")
}

// Adopt takes in records learned from peers, scans or moves.
func (m *Manager) Adopt(records ...Group) {}

// HandleHeartbeat takes in a heartbeat from a holder.
func (m *Manager) HandleHeartbeat(hb lease.Heartbeat) {}

// HandleAnswer takes in a standby's answer.
func (m *Manager) HandleAnswer(a lease.Answer) {}

// Permit returns the right to run one request at the position. Errors have the
// kind WrongOwner or LeaseLapsed.
func (m *Manager) Permit(service string, h keyspace.Hash) (Permit, error) {
	return Permit{}, errkind.New(errkind.WrongOwner, "this host does not hold position %v of service %s", h, service)
}

// Held returns the groups that this host holds.
func (m *Manager) Held() []Group { return nil }

// Standbys returns the groups for which this host is the standby.
func (m *Manager) Standbys() []Group { return nil }

// ReplaceStandby replaces a leaving host as standby of all groups held here.
func (m *Manager) ReplaceStandby(ctx context.Context, leavingHost string) error {
	return errkind.New(errkind.NotReady, "replacing a standby is not built yet")
}

// Relinquish hands a group to its standby.
func (m *Manager) Relinquish(ctx context.Context, service, groupID string) error {
	return errkind.New(errkind.NotReady, "handing a group over is not built yet")
}

// DeclareLost takes over a group whose holder and standby are off.
func (m *Manager) DeclareLost(ctx context.Context, service, groupID string) (Group, error) {
	return Group{}, errkind.New(errkind.NotReady, "declaring a group lost is not built yet")
}

// NewestOf returns the newest known record of a group.
func (m *Manager) NewestOf(service, groupID string) (Group, bool) { return Group{}, false }
