package lease

import (
	"fmt"
	"time"
)

// Defaults of Timing.
const (
	DefaultHeartbeatEvery = 150 * time.Millisecond
	DefaultDuration       = 500 * time.Millisecond
	DefaultSilence        = 250 * time.Millisecond
	DefaultDriftMargin    = 25 * time.Millisecond
	// DefaultHorizon lets 0.25% to 0.53% of store outages stop service when
	// they last 10 minutes on average.
	DefaultHorizon = time.Hour
	// DefaultTouchDivisor leaves seven more attempts before the horizon ends.
	DefaultTouchDivisor = 8
	// DefaultHorizonMargin is the waiter's margin for clock drift, as a share
	// of the horizon.
	DefaultHorizonMargin = 0.01
	// DefaultRetryPause is the first pause after a store operation that failed.
	// The pause doubles up to DefaultMaxRetryPause.
	DefaultRetryPause = 100 * time.Millisecond
	// DefaultMaxRetryPause keeps the retries of 1,560 groups below the store's
	// 2,000 reads a second.
	DefaultMaxRetryPause = 2 * time.Second
)

// Timing holds the durations of the lease protocol. All routers of a cluster
// must use the same values: the safety of a takeover depends on the holder's
// Duration and the standby's DriftMargin fitting together.
type Timing struct {
	// HeartbeatEvery is the time between two heartbeats.
	HeartbeatEvery time.Duration
	// Duration is how long an answered heartbeat lets the holder serve, from
	// its sending.
	Duration time.Duration
	// Silence is the time without an answer after which the holder replaces
	// its standby.
	Silence time.Duration
	// DriftMargin is added to Duration in the standby's promise.
	DriftMargin time.Duration
	// Horizon is how long the holder serves after the sending of its last
	// successful write of the row.
	Horizon time.Duration
	// TouchEvery is the time between two touches of the row.
	TouchEvery time.Duration
	// HorizonMargin is the share of Horizon that a waiter adds.
	HorizonMargin float64
	// RetryPause and MaxRetryPause bound the pauses between store operations
	// that failed.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
}

// DefaultTiming returns the timing of section 3.2 of the design page.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatEvery: DefaultHeartbeatEvery,
		Duration:       DefaultDuration,
		Silence:        DefaultSilence,
		DriftMargin:    DefaultDriftMargin,
		Horizon:        DefaultHorizon,
		TouchEvery:     DefaultHorizon / DefaultTouchDivisor,
		HorizonMargin:  DefaultHorizonMargin,
		RetryPause:     DefaultRetryPause,
		MaxRetryPause:  DefaultMaxRetryPause,
	}
}

// Promise is how long the standby's answer forbids it to take the group over.
func (t Timing) Promise() time.Duration {
	return t.Duration + t.DriftMargin
}

// WaiterHorizon is how long a waiter must see the row unchanged.
func (t Timing) WaiterHorizon() time.Duration {
	return t.Horizon + time.Duration(float64(t.Horizon)*t.HorizonMargin)
}

// Check returns an error when values are missing or contradict each other.
func (t Timing) Check() error {
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"heartbeat interval", t.HeartbeatEvery},
		{"lease duration", t.Duration},
		{"silence", t.Silence},
		{"drift margin", t.DriftMargin},
		{"horizon", t.Horizon},
		{"touch interval", t.TouchEvery},
		{"retry pause", t.RetryPause},
		{"longest retry pause", t.MaxRetryPause},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return fmt.Errorf("lease timing: %s %v: want more than 0", p.name, p.value)
		}
	}
	switch {
	case t.HeartbeatEvery >= t.Silence:
		return fmt.Errorf("lease timing: heartbeat interval %v: want less than the silence %v", t.HeartbeatEvery, t.Silence)
	case t.Silence >= t.Duration:
		return fmt.Errorf("lease timing: silence %v: want less than the lease duration %v", t.Silence, t.Duration)
	case t.DriftMargin >= t.Duration:
		return fmt.Errorf("lease timing: drift margin %v: want less than the lease duration %v", t.DriftMargin, t.Duration)
	case t.TouchEvery <= t.Duration:
		return fmt.Errorf("lease timing: touch interval %v: want more than the lease duration %v", t.TouchEvery, t.Duration)
	case t.TouchEvery > t.Horizon/2:
		return fmt.Errorf("lease timing: touch interval %v: want at most half of the horizon %v", t.TouchEvery, t.Horizon)
	case t.HorizonMargin <= 0 || t.HorizonMargin >= 1:
		return fmt.Errorf("lease timing: horizon margin %v: want between 0 and 1", t.HorizonMargin)
	case t.RetryPause > t.MaxRetryPause:
		return fmt.Errorf("lease timing: retry pause %v: want at most %v", t.RetryPause, t.MaxRetryPause)
	}
	return nil
}
