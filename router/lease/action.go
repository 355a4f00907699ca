package lease

import "time"

// Action is an operation that a state machine requests from its driver:
// SendHeartbeat, SendAck, RenewRow, ReplaceStandby, ReadRow or TakeOver.
type Action interface {
	action()
}

// SendHeartbeat requests that the heartbeat be sent to the standby at once. The
// driver fills in NoteVersion.
type SendHeartbeat struct {
	Heartbeat Heartbeat
}

// SendAck requests that the ack be sent to the holder at once. The driver fills
// in NoteVersion.
type SendAck struct {
	Ack Ack
}

// RenewRow requests a write of the row that keeps its holder, standby and
// generation. The driver reports the result with Holder.RowRenewed.
type RenewRow struct{}

// ReplaceStandby requests that the driver pick another standby, or none when no
// host is reachable, and write it to the row under the next generation. The
// driver reports the result with Holder.ReplaceDone once the outcome of the
// write is known, and not before.
type ReplaceStandby struct {
	// RemoveOnly requests a group without a standby, because several new
	// standbys in a row did not ack a heartbeat.
	RemoveOnly bool
}

// ReadRow requests a read of the row before a takeover. The driver reports the
// result with Standby.RowRead.
type ReadRow struct{}

// TakeOver requests that the takeover be written, on condition that the row
// still has the holder, generation and standby of Record.
type TakeOver struct {
	Record Record
}

func (SendHeartbeat) action()  {}
func (SendAck) action()        {}
func (RenewRow) action()       {}
func (ReplaceStandby) action() {}
func (ReadRow) action()        {}
func (TakeOver) action()       {}

// backoff computes the delays between retries of a store operation. Each delay
// is twice the previous one, up to a maximum.
type backoff struct {
	initial, limit time.Duration
	delay          time.Duration
}

func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, b.initial), b.limit)
	return b.delay
}

func (b *backoff) reset() {
	b.delay = 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierNonZero returns the earlier of two times. The zero time means never.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	if b.IsZero() {
		return a
	}
	return earlier(a, b)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
