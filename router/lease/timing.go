package lease

import (
	"fmt"
	"time"
)

// Defaults of Timing.
const (
	DefaultHeartbeatInterval = 150 * time.Millisecond
	DefaultLeaseDuration     = 500 * time.Millisecond
	DefaultStandbyTimeout    = 250 * time.Millisecond
	DefaultDriftMargin       = 25 * time.Millisecond
	// DefaultRenewDeadline lets 0.25% to 0.53% of store outages stop service when
	// they last 10 minutes on average.
	DefaultRenewDeadline = time.Hour
	// DefaultRowRenewDivisor leaves seven more attempts before the horizon ends.
	DefaultRowRenewDivisor = 8
	// DefaultRenewDeadlineMargin is the waiter's margin for clock drift, as a share
	// of the horizon.
	DefaultRenewDeadlineMargin = 0.01
	// DefaultRetryDelay is the first pause after a store operation that failed.
	// The pause doubles up to DefaultMaxRetryDelay.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultMaxRetryDelay keeps the retries of 1,560 groups below the store's
	// 2,000 reads a second.
	DefaultMaxRetryDelay = 2 * time.Second
)

// Timing holds the durations of the lease protocol. All routers of a cluster
// must use the same values: the safety of a takeover depends on the holder's
// Duration and the standby's DriftMargin fitting together.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// Duration is how long an answered heartbeat lets the holder serve, from
	// its sending.
	LeaseDuration time.Duration
	// StandbyTimeout is the time without an answer after which the holder replaces
	// its standby.
	StandbyTimeout time.Duration
	// DriftMargin is added to Duration in the standby's promise.
	DriftMargin time.Duration
	// RenewDeadline is how long the holder serves after the sending of its last
	// successful write of the row.
	RenewDeadline time.Duration
	// RowRenewInterval is the time between two touches of the row.
	RowRenewInterval time.Duration
	// RenewDeadlineMargin is the share of RenewDeadline that a waiter adds.
	RenewDeadlineMargin float64
	// RetryDelay and MaxRetryDelay bound the pauses between store operations
	// that failed.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// DefaultTiming returns the timing of section 3.2 of the design page.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:   DefaultHeartbeatInterval,
		LeaseDuration:       DefaultLeaseDuration,
		StandbyTimeout:      DefaultStandbyTimeout,
		DriftMargin:         DefaultDriftMargin,
		RenewDeadline:       DefaultRenewDeadline,
		RowRenewInterval:    DefaultRenewDeadline / DefaultRowRenewDivisor,
		RenewDeadlineMargin: DefaultRenewDeadlineMargin,
		RetryDelay:          DefaultRetryDelay,
		MaxRetryDelay:       DefaultMaxRetryDelay,
	}
}

// TakeoverGrace is how long the standby's answer forbids it to take the group over.
func (t Timing) TakeoverGrace() time.Duration {
	return t.LeaseDuration + t.DriftMargin
}

// WatcherDeadline is how long a waiter must see the row unchanged.
func (t Timing) WatcherDeadline() time.Duration {
	return t.RenewDeadline + time.Duration(float64(t.RenewDeadline)*t.RenewDeadlineMargin)
}

// Check returns an error when values are missing or contradict each other.
func (t Timing) Check() error {
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"heartbeat interval", t.HeartbeatInterval},
		{"lease duration", t.LeaseDuration},
		{"silence", t.StandbyTimeout},
		{"drift margin", t.DriftMargin},
		{"horizon", t.RenewDeadline},
		{"touch interval", t.RowRenewInterval},
		{"retry pause", t.RetryDelay},
		{"longest retry pause", t.MaxRetryDelay},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return fmt.Errorf("lease timing: %s %v: want more than 0", p.name, p.value)
		}
	}
	switch {
	case t.HeartbeatInterval >= t.StandbyTimeout:
		return fmt.Errorf("lease timing: heartbeat interval %v: want less than the silence %v", t.HeartbeatInterval, t.StandbyTimeout)
	case t.StandbyTimeout >= t.LeaseDuration:
		return fmt.Errorf("lease timing: silence %v: want less than the lease duration %v", t.StandbyTimeout, t.LeaseDuration)
	case t.DriftMargin >= t.LeaseDuration:
		return fmt.Errorf("lease timing: drift margin %v: want less than the lease duration %v", t.DriftMargin, t.LeaseDuration)
	case t.RowRenewInterval <= t.LeaseDuration:
		return fmt.Errorf("lease timing: touch interval %v: want more than the lease duration %v", t.RowRenewInterval, t.LeaseDuration)
	case t.RowRenewInterval > t.RenewDeadline/2:
		return fmt.Errorf("lease timing: touch interval %v: want at most half of the horizon %v", t.RowRenewInterval, t.RenewDeadline)
	case t.RenewDeadlineMargin <= 0 || t.RenewDeadlineMargin >= 1:
		return fmt.Errorf("lease timing: horizon margin %v: want between 0 and 1", t.RenewDeadlineMargin)
	case t.RetryDelay > t.MaxRetryDelay:
		return fmt.Errorf("lease timing: retry pause %v: want at most %v", t.RetryDelay, t.MaxRetryDelay)
	}
	return nil
}
