package standin

import (
	"sync"

	"golang.org/x/sys/unix"
)

// UnitState is the state of a unit of work.
type UnitState string

// The states.
const (
	// UnitRunning means that the work has begun and has not ended.
	UnitRunning UnitState = "running"
	// UnitCommitted means that the work took effect; a read is committed once
	// its response is determined.
	UnitCommitted UnitState = "committed"
	// UnitAbandoned means that the work ended without effect.
	UnitAbandoned UnitState = "abandoned"
)

// Unit is one unit of work that an upstream began.
type Unit struct {
	Seq            int64     `json:"seq"` // position in the order of start, from 1
	Upstream       string    `json:"upstream"`
	Service        string    `json:"service"`
	Key            string    `json:"key"`
	Method         string    `json:"method"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Group          string    `json:"group,omitempty"`
	Generation     uint64    `json:"generation,omitempty"`
	NotAfterMicros int64     `json:"not_after,omitempty"` // as sent with the request
	State          UnitState `json:"state"`
	Reason         string    `json:"reason,omitempty"` // why the work was abandoned
	Start          Instant   `json:"start"`
	End            Instant   `json:"end"` // zero while running
}

// Instant is a point in time on two clocks of the host. MonoNanos is
// CLOCK_MONOTONIC, which all processes of a host share.
type Instant struct {
	MonoNanos  int64 `json:"mono_ns"`
	WallMicros int64 `json:"wall_us"`
}

// monotonicNanos reads CLOCK_MONOTONIC.
func monotonicNanos() int64 {
	var ts unix.Timespec
	// The call fails only for an unknown clock.
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano()
}

// Ledger is the record of every unit of work that an upstream began.
type Ledger struct {
	Upstream string `json:"upstream"`
	// Dropped is the number of units that were not recorded because the ledger
	// was full. A check of a ledger with dropped units proves nothing.
	Dropped int64  `json:"dropped"`
	Units   []Unit `json:"units"`
}

// defaultLedgerUnits limits a ledger to about 200 MB of memory.
const defaultLedgerUnits = 500_000

// ledger records the units of work of an Upstream.
type ledger struct {
	mu      sync.Mutex
	limit   int // of units
	units   []Unit
	dropped int64
	watch   chan struct{} // closed when a unit begins or ends
}

func newLedger(limit int) *ledger {
	return &ledger{limit: limit, watch: make(chan struct{})}
}

// begin records a unit and returns its sequence number, or 0 if the ledger is
// full.
func (l *ledger) begin(u Unit) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.units) >= l.limit {
		l.dropped++
		return 0
	}
	u.Seq = int64(len(l.units) + 1)
	u.State = UnitRunning
	l.units = append(l.units, u)
	l.notify()
	return u.Seq
}

// end records the end of a unit. seq 0 is ignored.
func (l *ledger) end(seq int64, state UnitState, reason string, at Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seq == 0 {
		return
	}
	u := &l.units[seq-1]
	u.State, u.Reason, u.End = state, reason, at
	l.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (l *ledger) notify() {
	close(l.watch)
	l.watch = make(chan struct{})
}

// snapshot returns the units whose sequence number is greater than after.
func (l *ledger) snapshot(upstream string, after int64) Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	units := []Unit{}
	if after < int64(len(l.units)) {
		units = append(units, l.units[after:]...)
	}
	return Ledger{Upstream: upstream, Dropped: l.dropped, Units: units}
}

// changed returns a channel that is closed when the next unit begins or ends.
func (l *ledger) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch
}
