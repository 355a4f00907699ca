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
	// DefaultRenewDeadline lets 0.25% to 0.53% of store outages interrupt service
	// when outages last 10 minutes on average.
	DefaultRenewDeadline = time.Hour
	// DefaultRowRenewDivisor leaves seven more attempts before the renewal
	// deadline.
	DefaultRowRenewDivisor = 8
	// DefaultRenewDeadlineMargin is a share of the renewal deadline.
	DefaultRenewDeadlineMargin = 0.01
	// DefaultRetryDelay is the first delay after a store operation that failed.
	// The delay doubles up to DefaultMaxRetryDelay.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultMaxRetryDelay keeps the retries of 1,560 groups below the store's
	// capacity of 2,000 reads per second.
	DefaultMaxRetryDelay = 2 * time.Second
)

// Timing holds the durations of the lease protocol. All routers of a cluster
// must use the same values: a takeover is safe only if the standby waits for
// the holder's LeaseDuration plus DriftMargin.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long the holder may serve after sending a heartbeat
	// that is acked.
	LeaseDuration time.Duration
	// StandbyTimeout is the time without an ack after which the holder replaces
	// its standby.
	StandbyTimeout time.Duration
	// DriftMargin is the margin for clock drift by which the standby's lease
	// grace is longer than LeaseDuration.
	DriftMargin time.Duration
	// RenewDeadline is how long the holder may serve after sending its last
	// successful write of the row.
	RenewDeadline time.Duration
	// RowRenewInterval is the time between two renewals of the row.
	RowRenewInterval time.Duration
	// RenewDeadlineMargin is the margin for clock drift that a watcher adds to
	// RenewDeadline, as a share of it.
	RenewDeadlineMargin float64
	// RetryDelay and MaxRetryDelay are the shortest and the longest delay before
	// a store operation that failed is retried.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// DefaultTiming returns the default timing.
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

// TakeoverGrace returns the lease grace: how long the standby may not take the
// group over after it acked a heartbeat or learned of its role.
func (t Timing) TakeoverGrace() time.Duration {
	return t.LeaseDuration + t.DriftMargin
}

// WatcherDeadline returns how long a watcher must see the row unchanged before
// it may take the group over.
func (t Timing) WatcherDeadline() time.Duration {
	return t.RenewDeadline + time.Duration(float64(t.RenewDeadline)*t.RenewDeadlineMargin)
}

// Check returns an error if values are missing or inconsistent.
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
		{"row renewal interval", t.RowRenewInterval},
		{"retry delay", t.RetryDelay},
		{"longest retry delay", t.MaxRetryDelay},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return fmt.Errorf("lease timing: %s %v: want more than 0", p.name, p.value)
		}
	}
	switch {
	case t.HeartbeatInterval >= t.StandbyTimeout:
		return fmt.Errorf("lease timing: heartbeat interval %v: want less than the standby timeout %v", t.HeartbeatInterval, t.StandbyTimeout)
	case t.StandbyTimeout >= t.LeaseDuration:
		return fmt.Errorf("lease timing: standby timeout %v: want less than the lease duration %v", t.StandbyTimeout, t.LeaseDuration)
	case t.DriftMargin >= t.LeaseDuration:
		return fmt.Errorf("lease timing: drift margin %v: want less than the lease duration %v", t.DriftMargin, t.LeaseDuration)
	case t.RowRenewInterval <= t.LeaseDuration:
		return fmt.Errorf("lease timing: row renewal interval %v: want more than the lease duration %v", t.RowRenewInterval, t.LeaseDuration)
	case t.RowRenewInterval > t.RenewDeadline/2:
		return fmt.Errorf("lease timing: row renewal interval %v: want at most half of the renewal deadline %v", t.RowRenewInterval, t.RenewDeadline)
	case t.RenewDeadlineMargin <= 0 || t.RenewDeadlineMargin >= 1:
		return fmt.Errorf("lease timing: renewal deadline margin %v: want between 0 and 1", t.RenewDeadlineMargin)
	case t.RetryDelay > t.MaxRetryDelay:
		return fmt.Errorf("lease timing: retry delay %v: want at most %v", t.RetryDelay, t.MaxRetryDelay)
	}
	return nil
}
