package connlimit

import "time"

// victim returns the connection to close in favour of one of the class that is short of the
// resource, or nil.
func (b *Budget) victim(now time.Time, class Class, short *resource) *Conn {
	// Connections of routers give way only to other connections of routers.
	candidates := [classes]Class{class, Caller, Probe, Control}
	for _, p := range []Phase{Lingering, Fresh, Idle, Reading, Receiving} {
		for i, of := range candidates {
			if i > 0 && (of == class || !short.exceedsReserve(of)) {
				continue
			}
			if i > 0 && of != Caller && p != Lingering {
				continue
			}
			if c := b.queues[of][p].oldest(); c != nil && now.Sub(c.since) >= b.minAge(of, p) {
				return c
			}
		}
	}
	return nil
}

// minAge returns the time for which a connection in the phase is not closed.
func (b *Budget) minAge(of Class, p Phase) time.Duration {
	switch {
	case p == Lingering:
		return 0
	case of == Router && p == Idle:
		return b.poolTime + routerIdleMargin
	}
	return minIdleTime
}

// evict closes the connection and adds it to those that were evicted. It returns false if
// there is none.
func (b *Budget) evict(victim *Conn, evicted []*Conn) ([]*Conn, bool) {
	if victim == nil {
		return evicted, false
	}
	b.close(victim)
	return append(evicted, victim), true
}

// Expired removes the connections whose phase has lasted too long. The caller has to close
// them.
func (b *Budget) Expired(now time.Time, timeouts func(Class) Timeouts) (expired []*Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for class := range classes {
		t := timeouts(class)
		for p, longest := range [phases]time.Duration{Fresh: t.Fresh, Reading: t.Head, Idle: t.Idle, Lingering: lingerTime} {
			if p := Phase(p); p == Active || p == Receiving {
				continue
			}
			for c := b.queues[class][p].first; c != nil && now.Sub(c.since) >= longest; c = b.queues[class][p].first {
				b.close(c)
				expired = append(expired, c)
			}
		}
	}
	return expired
}

// Yield removes the connection that has to make room for a new one of the class, because the
// process got no descriptor. It returns nil if there is none.
func (b *Budget) Yield(now time.Time, class Class) *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.victim(now, class, &b.files)
	if victim != nil {
		b.close(victim)
	}
	return victim
}
