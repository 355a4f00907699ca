package sidecar

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// publishRetryDelay is the delay before the write of this host's own row is retried.
const publishRetryDelay = 250 * time.Millisecond

// publisher keeps this host's member row up to date.
type publisher struct {
	store rowstore.Store
	eras  *rowstore.Eras
	log   *event.Logger
	// member returns the content of the row, or false while it is not known.
	member func() (fleet.Member, bool)
	// foundRow is called with the content of a row that another process has written, such
	// as an earlier one of this host.
	foundRow func(fleet.Member)
	wakeCh   chan struct{}

	mu      sync.Mutex // held during a call to the store
	written fleet.Member
	version int64
}

func (p *publisher) wake() {
	select {
	case p.wakeCh <- struct{}{}:
	default:
	}
}

// run writes the row whenever its content has changed.
func (p *publisher) run(ctx context.Context) {
	for {
		m, ok := p.member()
		if ok && p.stale(m) {
			if err := p.write(ctx, m); err != nil {
				p.log.Log(eventPublishFailed, event.F("error", err.Error()))
				if !sleep(ctx, publishRetryDelay) {
					return
				}
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wakeCh:
		}
	}
}

// stale reports whether the stored row differs from m.
func (p *publisher) stale(m fleet.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m != p.written
}

func memberKey(host string) rowstore.Key {
	return rowstore.Key{Table: tableFleet, Part: partMembers, Name: host}
}

// write stores the row on the condition that it is unchanged, so that a delayed earlier
// write cannot replace a later one.
func (p *publisher) write(ctx context.Context, m fleet.Member) error {
	value, err := m.Encode()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	key := memberKey(m.Host)
	version, err := p.store.Commit(ctx, rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key, Version: p.version}},
		Writes:     []rowstore.Write{{Key: key, Value: value}},
		Era:        p.eras.Newest(),
	})
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		p.version = 0
		for _, r := range conflict.Rows {
			p.version = r.Version
			if bytes.Equal(r.Value, value) {
				p.written = m
				return nil
			}
			if found, err := fleet.DecodeMember(r.Value); err == nil { // else the row is replaced
				p.foundRow(found)
			}
		}
		return err
	}
	if err != nil {
		return err
	}
	p.version, p.written = version, m
	return nil
}

// remove deletes the row of this host, whose upstream has left permanently.
func (p *publisher) remove(ctx context.Context, host string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return removeMember(ctx, p.store, host, p.version)
}

// removeMember deletes the row of a host if it is still at the given version.
func removeMember(ctx context.Context, store rowstore.Store, host string, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	key := memberKey(host)
	_, err := store.Commit(ctx, rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key, Version: version}},
		Deletes:    []rowstore.Key{key},
		Era:        rowstore.EraOf(version),
	})
	return err
}

// writeAgain has the row of this host written again: another host removed it because it
// considered this one failed, or the store was put back to a copy that may have an older
// row or none.
func (p *publisher) writeAgain() {
	p.mu.Lock()
	p.version, p.written = 0, fleet.Member{}
	p.mu.Unlock()
	p.wake()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// applyFleetRow applies a row of the fleet table.
func (s *Sidecar) applyFleetRow(r rowstore.Row) {
	s.eras.Observe(rowstore.EraOf(r.Version)) // another host may know of a later era
	name, era := splitEraName(r.Name)
	switch {
	case r.Part == partMembers && r.Deleted:
		s.memberVersions.Delete(r.Name)
		if r.Name == s.settings.Host.Name && !s.stopping.Load() {
			s.publisher.writeAgain()
			return
		}
		s.fleet.Remove(r.Name)
		s.log.Log(eventMember, event.F("host", r.Name), event.F("state", "removed"), event.F("version", r.Version))
	case r.Part == partMembers:
		m, err := fleet.DecodeMember(r.Value)
		if err != nil || m.Host != r.Name {
			s.log.Log(eventRowInvalid, event.F("row", r.Name), event.F("error", rowErrorText(err)))
			return
		}
		s.ownRowFound(m)
		s.memberVersions.Store(m.Host, r.Version)
		s.fleet.PutRow(m, r.Version)
		s.log.Log(eventMember, event.F("host", m.Host), event.F("service", m.Service), event.F("instance", m.Instance),
			event.F("state", string(m.State)), event.F("address", m.Address), event.F("version", r.Version))
	case name == partKeys && !r.Deleted:
		m, err := keyrange.DecodeMap(r.Value)
		if err != nil {
			s.log.Log(eventRowInvalid, event.F("row", r.Part), event.F("error", err.Error()))
			return
		}
		if era != rowstore.EraOf(r.Version) {
			s.index.putLeftover(r, era, m.Generation)
			return
		}
		s.index.put(r.Part, r.Version, m)
		s.keys.wake()
	}
}

// ownRowFound processes a member row of this host that was read. If it says that the upstream
// leaves, an earlier process of this router has acknowledged that.
func (s *Sidecar) ownRowFound(m fleet.Member) {
	if m.Host != s.settings.Host.Name || !m.Leaves() {
		return
	}
	if s.local.recordOwnRow(time.Now(), m.Incarnation()) {
		s.upstreamChanged(s.local.get())
	}
}

func rowErrorText(err error) string {
	if err == nil {
		return "host name in the row's content differs from the row's name"
	}
	return err.Error()
}
