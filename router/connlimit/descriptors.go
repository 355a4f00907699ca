package connlimit

import "time"

// RequestStarted records that the head of a request was read. If ok is false, there is no
// descriptor for the connection that the request may need, or the connection was closed.
func (b *Budget) RequestStarted(now time.Time, c *Conn) (evicted []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed || c.phase == Lingering {
		return nil, false // the server reports a request also for a head that was refused
	}
	b.rotatePeaks(now)
	if c.phase == Active {
		return nil, true
	}
	b.setPhase(now, c, Active)
	c.inProgress = true
	b.active[c.class]++
	needed := b.active[c.class] - max(b.peaks[0][c.class], b.peaks[1][c.class])
	if !c.class.forwards() || needed <= 0 {
		return nil, true
	}
	for ok = true; ok && !b.files.fits(c.class, needed); {
		evicted, ok = b.evict(b.victim(now, c.class, &b.files), evicted)
	}
	if !ok {
		return evicted, false
	}
	b.peaks[0][c.class] = b.active[c.class]
	b.files.used[c.class] += needed
	return evicted, true
}

// rotatePeaks begins a new period once the current one is over. Descriptors of the largest
// number of requests in the period before the last are released.
func (b *Budget) rotatePeaks(now time.Time) {
	if now.Sub(b.periodSince) < b.poolTime {
		return
	}
	b.periodSince = now
	for class := range classes {
		before := max(b.peaks[0][class], b.peaks[1][class])
		b.peaks[1][class], b.peaks[0][class] = b.peaks[0][class], min(b.active[class], before)
		b.files.used[class] -= before - max(b.peaks[0][class], b.peaks[1][class])
	}
}
