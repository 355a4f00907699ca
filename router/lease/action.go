package lease

import "time"

// Action is what a machine asks its driver to do: SendHeartbeat, SendAck,
// RenewRow, ReplaceStandby, ReadRow or TakeOver.
type Action interface {
	action()
}

// SendHeartbeat asks to send a heartbeat to the standby at once. The driver
// fills in the note version.
type SendHeartbeat struct {
	Heartbeat Heartbeat
}

// SendAck asks to send an answer to the holder at once. The driver fills in
// the note version.
type SendAck struct {
	Ack Ack
}

// RenewRow asks to write the row without a change of holder, standby or
// generation. The driver reports the end with Holder.RowRenewed.
type RenewRow struct{}

// ReplaceStandby asks to choose another standby, or none when no host is
// reachable, and to write it under the next generation. The driver reports the
// end with Holder.ReplaceDone, but not before the outcome is known.
type ReplaceStandby struct {
	// None asks for a group without a standby: several in a row did not answer.
	RemoveOnly bool
}

// ReadRow asks to read the row before a takeover. The driver reports the end
// with Standby.RowRead.
type ReadRow struct{}

// TakeOver asks to write the takeover, conditional on holder, generation and
// standby being those of the record.
type TakeOver struct {
	Record Record
}

func (SendHeartbeat) action()  {}
func (SendAck) action()        {}
func (RenewRow) action()       {}
func (ReplaceStandby) action() {}
func (ReadRow) action()        {}
func (TakeOver) action()       {}

// backoff spaces store operations that failed: each pause is twice the one
// before, up to a limit.
type backoff struct {
	first, limit time.Duration
	pause        time.Duration
}

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, b.first), b.limit)
	return b.pause
}

func (b *backoff) reset() {
	b.pause = 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// soonest returns the earlier time, where zero stands for never.
func soonest(a, b time.Time) time.Time {
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
