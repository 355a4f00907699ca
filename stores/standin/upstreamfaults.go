package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// UpstreamFaults configures the faults of an Upstream. The zero value injects
// none.
type UpstreamFaults struct {
	// Seed reseeds the generator of the shares.
	Seed uint64 `json:"seed"`
	// Freeze suspends everything but the control paths, like a stopped process:
	// no request makes progress and no renewal is sent. All continue when it is
	// reset.
	Freeze bool `json:"freeze,omitempty"`
	// Refuse closes every connection and refuses new ones.
	Refuse bool `json:"refuse,omitempty"`
	// Shed rejects each request as if all slots were occupied.
	Shed bool `json:"shed,omitempty"`
	// TruncateResponses is the number of next responses that are truncated: the
	// connection is closed in the middle of the body, after the work was
	// committed.
	TruncateResponses int `json:"cut_answers,omitempty"`
	// TruncateShare is the share of responses that are truncated in the same
	// way, 0 to 1.
	TruncateShare float64 `json:"cut_share,omitempty"`
	// ResponseDelayMS delays responses after the work was committed, in
	// milliseconds.
	ResponseDelayMS float64 `json:"late_ms,omitempty"`
	// ResponseDelayShare is the share of responses that ResponseDelayMS delays;
	// 0 means all.
	ResponseDelayShare float64 `json:"late_share,omitempty"`
	// WorkMS replaces the work time, in milliseconds; null keeps the configured
	// one.
	WorkMS *float64 `json:"work_ms,omitempty"`
	// HoldWork keeps running requests from completing until it is reset. Unlike
	// Freeze, it suspends nothing else, and a cancelled request ends.
	HoldWork bool `json:"hold_work,omitempty"`
	// ReportLoad and ReportHealthy replace the actual values in renewals.
	ReportLoad    *float64 `json:"report_load,omitempty"`
	ReportHealthy *bool    `json:"report_healthy,omitempty"`
	// NoRenew suppresses renewals while the upstream continues to serve.
	NoRenew bool `json:"no_renew,omitempty"`
}

func (f UpstreamFaults) check() error {
	times := []float64{f.ResponseDelayMS}
	if f.WorkMS != nil {
		times = append(times, *f.WorkMS)
	}
	for _, ms := range times {
		if !(ms >= 0) || ms > float64(maxDelay.Milliseconds()) {
			return fmt.Errorf("delay of %v ms: want 0 to %d", ms, maxDelay.Milliseconds())
		}
	}
	for _, share := range []float64{f.TruncateShare, f.ResponseDelayShare} {
		if !(share >= 0 && share <= 1) {
			return fmt.Errorf("share %v: want 0 to 1", share)
		}
	}
	if f.TruncateResponses < 0 {
		return errors.New("cut_answers is negative")
	}
	return nil
}

// clone returns a copy that shares no memory with f.
func (f UpstreamFaults) clone() UpstreamFaults {
	f.WorkMS = clonePointer(f.WorkMS)
	f.ReportLoad = clonePointer(f.ReportLoad)
	f.ReportHealthy = clonePointer(f.ReportHealthy)
	return f
}

func clonePointer[T any](p *T) *T {
	if p == nil {
		return nil
	}
	return new(*p)
}

// upstreamFaults injects the configured faults into a running Upstream.
type upstreamFaults struct {
	setMu    sync.Mutex // serializes set, which calls onRefuse
	onRefuse func(refuse bool) error

	mu      sync.Mutex
	faults  UpstreamFaults
	rng     *rand.Rand
	changed chan struct{} // closed when the faults change
	closed  bool
}

func newUpstreamFaults(seed uint64) *upstreamFaults {
	return &upstreamFaults{rng: newRand(seed, 1), changed: make(chan struct{})}
}

func (f *upstreamFaults) set(faults UpstreamFaults) error {
	if err := faults.check(); err != nil {
		return err
	}
	f.setMu.Lock()
	defer f.setMu.Unlock()
	if err := f.onRefuse(faults.Refuse); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults.clone()
	f.rng = newRand(faults.Seed, 1)
	f.notifyChanged()
	return nil
}

// notifyChanged wakes the waiting requests to check the faults again. The
// caller holds mu.
func (f *upstreamFaults) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *upstreamFaults) get() UpstreamFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.clone()
}

func (f *upstreamFaults) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.closed = true
		f.notifyChanged()
	}
}

// errClosed means that the upstream was closed.
var errClosed = errors.New("the upstream was closed")

// awaitUnfrozen waits while the upstream is frozen. It returns errClosed if the
// upstream is closed.
func (f *upstreamFaults) awaitUnfrozen() error {
	for {
		f.mu.Lock()
		closed, frozen, changed := f.closed, f.faults.Freeze, f.changed
		f.mu.Unlock()
		if closed {
			return errClosed
		}
		if !frozen {
			return nil
		}
		<-changed
	}
}

// simulateWork waits for the duration d and then while work is held or the
// upstream is frozen. It returns early, with the cause, when ctx ends, but not
// while frozen: a stopped process does not notice a cancellation.
func (f *upstreamFaults) simulateWork(ctx context.Context, d time.Duration) error {
	cause := sleep(ctx, d)
	if cause == nil {
		cause = f.awaitWorkReleased(ctx)
	}
	if err := f.awaitUnfrozen(); err != nil {
		return err
	}
	return cause
}

// sleep waits for the duration d. It returns the cause if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// awaitWorkReleased waits while work is held. It returns the cause if ctx ends
// first.
func (f *upstreamFaults) awaitWorkReleased(ctx context.Context) error {
	for {
		f.mu.Lock()
		closed, held, changed := f.closed, f.faults.HoldWork, f.changed
		f.mu.Unlock()
		if closed {
			return errClosed
		}
		if !held {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// responseFault decides whether the next response is truncated and by how much
// it is delayed.
func (f *upstreamFaults) responseFault() (truncate bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	truncateDraw, delayDraw := f.rng.Float64(), f.rng.Float64()
	if f.faults.TruncateResponses > 0 {
		f.faults.TruncateResponses--
		truncate = true
	}
	truncate = truncate || truncateDraw < f.faults.TruncateShare
	if f.faults.ResponseDelayShare == 0 || delayDraw < f.faults.ResponseDelayShare {
		delay = milliseconds(f.faults.ResponseDelayMS)
	}
	return truncate, delay
}
