package ownership

import (
	"context"
	"errors"
	"fmt"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/stores/table"
)

// SplitShard splits the shard that contains the position, so that the position
// becomes a shard of its own. If it already is one, the shards do not change.
func (r *Records) SplitShard(ctx context.Context, base Group, at keyspace.Hash) (Group, error) {
	return r.updateRow(ctx, "split", base, func(g *Group) error {
		shard, ok := keyspace.Find(g.Shards, at)
		if !ok {
			return fmt.Errorf("position %v is not in the group", at)
		}
		rest, err := keyspace.Remove(g.Shards, []keyspace.Shard{shard})
		if err != nil {
			return err
		}
		g.Shards, err = keyspace.Add(rest, shard.SplitAt(at))
		return err
	})
}

// MoveShards moves shards from the source group to the target group in one
// transaction. If a row has changed, both are read again and the move is repeated
// as long as both holders are the same processes and the source has the shards.
// If the response was lost and the rows were written again, the error is a
// SupersededError with both rows.
func (r *Records) MoveShards(ctx context.Context, source, target Group, shards []keyspace.Shard) (newSource, newTarget Group, err error) {
	op := fmt.Sprintf("move of %d shards from group %s to %s", len(shards), source.Key(), target.Key())
	if source.Service != target.Service || source.ID == target.ID || len(shards) == 0 {
		return Group{}, Group{}, errkind.New(errkind.Internal, "%s: want shards and two groups of one service", op)
	}
	s, t := source, target
	for {
		changes, err := moveChanges(s, t, shards)
		if err != nil {
			return Group{}, Group{}, &ConflictError{Op: op, Newest: []Group{s, t}, Reason: err.Error()}
		}
		groups, err := r.commit(ctx, op, changes)
		if err == nil {
			return groups[0], groups[1], nil
		}
		superseded := errors.Is(err, errSuperseded)
		if !superseded && !errors.Is(err, table.ErrConflict) {
			return Group{}, Group{}, err
		}
		rows, err := r.readBoth(ctx, source, target)
		if superseded && err != nil {
			return Group{}, Group{}, &UnknownError{Op: op, Err: err}
		}
		if superseded {
			return Group{}, Group{}, &SupersededError{Op: op, Newest: rows}
		}
		if err != nil {
			return Group{}, Group{}, errkind.New(errkind.StoreUnavailable, "%s was not applied: %w", op, err)
		}
		if len(rows) < 2 || !rows[0].Holder.SameProcess(source.Holder) || !rows[1].Holder.SameProcess(target.Holder) {
			return Group{}, Group{}, &ConflictError{Op: op, Newest: rows, Reason: "a group changed its holder or was deleted"}
		}
		s, t = rows[0], rows[1]
	}
}

// moveChanges returns the changes of source and target, in this order. The
// target's journal is complete only when both journals were, and its window
// counts from the later change of holder.
func moveChanges(source, target Group, shards []keyspace.Shard) ([]change, error) {
	s, t := source, target
	var err error
	s.Shards, err = keyspace.Remove(source.Shards, shards)
	if err != nil {
		return nil, err
	}
	t.Shards, err = keyspace.Add(target.Shards, shards)
	if err != nil {
		return nil, err
	}
	if !source.JournalComplete {
		t.JournalComplete = false
		t.JournalUnverified = false
		if source.HolderSince.After(target.HolderSince) {
			t.HolderSince = source.HolderSince
		}
	}
	return []change{{before: source, after: s}, {before: target, after: t}}, nil
}

// readBoth returns the records of source and target, without deleted ones.
func (r *Records) readBoth(ctx context.Context, source, target Group) ([]Group, error) {
	var rows []Group
	for _, g := range []Group{source, target} {
		row, err := r.read(ctx, g.Service, g.ID)
		if errkind.Is(err, errkind.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
