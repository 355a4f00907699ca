package ownership

import (
	"context"
	"encoding/json"
	"errors"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/stores/table"
)

// JoinRequest describes the groups that a host creates when it joins a
// service.
type JoinRequest struct {
	Service string
	// Shards is the number of shards of the service. It is used only by the first
	// host that joins.
	Shards int
	Holder Host
	// Groups is the number of groups to create, 1 or more.
	Groups int
	// Standby picks the standby of each new group; a zero host means none.
	Standby func() Host
}

// serviceRow is the value of a service row.
type serviceRow struct {
	Service string `json:"service"`
	Shards  int    `json:"shards"`
}

// Join creates the groups of a joining host. The host whose transaction creates
// the service row gets all shards; all other hosts get empty groups.
func (r *Records) Join(ctx context.Context, q JoinRequest) ([]Group, error) {
	if q.Groups < 1 || q.Service == "" || q.Holder.IsZero() {
		return nil, errkind.New(errkind.Internal, "invalid join of service %q with %d groups by host %q", q.Service, q.Groups, q.Holder.Name)
	}
	op := "join of service " + q.Service
	_, err := r.store.Get(ctx, ServiceKey(q.Service))
	if err == nil {
		return r.joinLater(ctx, op, q)
	}
	if !errors.Is(err, table.ErrNotFound) {
		return nil, readError(err)
	}
	value, err := json.Marshal(serviceRow{Service: q.Service, Shards: q.Shards})
	if err != nil {
		return nil, errkind.New(errkind.Internal, "%s: %w", op, err)
	}
	changes := r.newGroups(q, keyspace.Divide(q.Shards))
	groups, err := r.commit(ctx, op, changes, serviceWrite{key: ServiceKey(q.Service), value: value})
	// A service row is written only once, so a row with another write id proves
	// that another host joined first.
	if errors.Is(err, table.ErrConflict) || errors.Is(err, errSuperseded) {
		return r.joinLater(ctx, op, q)
	}
	return groups, err
}

// joinLater creates groups without shards for a host that is not the first one
// to join.
func (r *Records) joinLater(ctx context.Context, op string, q JoinRequest) ([]Group, error) {
	groups, err := r.commit(ctx, op, r.newGroups(q, nil))
	if errors.Is(err, table.ErrConflict) || errors.Is(err, errSuperseded) {
		return nil, &ConflictError{Op: op, Reason: "a group id already exists"}
	}
	return groups, err
}

// newGroups returns the changes that create the groups, with the shards
// distributed round-robin.
func (r *Records) newGroups(q JoinRequest, shards []keyspace.Shard) []change {
	changes := make([]change, q.Groups)
	now := r.now()
	for i := range changes {
		g := Group{
			Service:         q.Service,
			ID:              r.newID(),
			Holder:          q.Holder,
			Generation:      1,
			JournalComplete: true,
			HolderSince:     now,
		}
		if q.Standby != nil {
			g.Standby = q.Standby()
		}
		for j := i; j < len(shards); j += q.Groups {
			g.Shards = append(g.Shards, shards[j])
		}
		changes[i].after = g
	}
	return changes
}
