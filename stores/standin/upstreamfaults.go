package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// UpstreamFaults are the faults of an Upstream. The zero value has none.
type UpstreamFaults struct {
	// Seed starts the draws of the shares again.
	Seed uint64 `json:"seed"`
	// Freeze stops everything but the control paths, as a stopped process: no
	// request goes on and no renewal is sent. All go on when it is false again.
	Freeze bool `json:"freeze,omitempty"`
	// Refuse closes every connection and refuses new ones.
	Refuse bool `json:"refuse,omitempty"`
	// Shed refuses each request as if all slots were taken.
	Shed bool `json:"shed,omitempty"`
	// TruncateResponses closes the connection in the middle of the next answers of
	// this number, after the work was committed.
	TruncateResponses int `json:"cut_answers,omitempty"`
	// TruncateShare does the same to a share of the answers, 0 to 1.
	TruncateShare float64 `json:"cut_share,omitempty"`
	// ResponseDelayMS delays answers after the work was committed, in milliseconds.
	ResponseDelayMS float64 `json:"late_ms,omitempty"`
	// ResponseDelayShare is the share of answers that ResponseDelayMS delays; 0 means all.
	ResponseDelayShare float64 `json:"late_share,omitempty"`
	// WorkMS replaces the work time; null keeps the configured one.
	WorkMS *float64 `json:"work_ms,omitempty"`
	// HoldWork keeps requests at work until it is false again. Unlike Freeze it
	// stops nothing else, and a cancelled request ends.
	HoldWork bool `json:"hold_work,omitempty"`
	// ReportLoad and ReportHealthy replace the true values in renewals.
	ReportLoad    *float64 `json:"report_load,omitempty"`
	ReportHealthy *bool    `json:"report_healthy,omitempty"`
	// NoRenew sends no renewals while the upstream goes on serving.
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

// clone returns faults that share no memory with f.
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

// upstreamFaults holds the faults of a running Upstream.
type upstreamFaults struct {
	setting  sync.Mutex // serialises set, which calls onRefuse
	onRefuse func(refuse bool) error

	mu      sync.Mutex
	faults  UpstreamFaults
	draws   *rand.Rand
	changed chan struct{} // closed when the faults change
	closed  bool
}

func newUpstreamFaults(seed uint64) *upstreamFaults {
	return &upstreamFaults{draws: newRand(seed, 1), changed: make(chan struct{})}
}

func (f *upstreamFaults) set(faults UpstreamFaults) error {
	if err := faults.check(); err != nil {
		return err
	}
	f.setting.Lock()
	defer f.setting.Unlock()
	if err := f.onRefuse(faults.Refuse); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults.clone()
	f.draws = newRand(faults.Seed, 1)
	f.wake()
	return nil
}

// wake tells waiting requests to look at the faults again. Callers hold mu.
func (f *upstreamFaults) wake() {
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
		f.wake()
	}
}

// errClosed means that the upstream was closed.
var errClosed = errors.New("the upstream was closed")

// thawed waits while the upstream is frozen.
func (f *upstreamFaults) thawed() error {
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

// work lets the time pass and then waits while work is held or the upstream is
// frozen. It ends early with the error of ctx, but not while frozen: a stopped
// process sees no cancellation.
func (f *upstreamFaults) work(ctx context.Context, d time.Duration) error {
	cause := pass(ctx, d)
	if cause == nil {
		cause = f.released(ctx)
	}
	if err := f.thawed(); err != nil {
		return err
	}
	return cause
}

// pass waits for the time, or until ctx ends.
func pass(ctx context.Context, d time.Duration) error {
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

// released waits while work is held, or until ctx ends.
func (f *upstreamFaults) released(ctx context.Context) error {
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

// answerFate draws what happens to an answer.
func (f *upstreamFaults) answerFate() (cut bool, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cutDraw, lateDraw := f.draws.Float64(), f.draws.Float64()
	if f.faults.TruncateResponses > 0 {
		f.faults.TruncateResponses--
		cut = true
	}
	cut = cut || cutDraw < f.faults.TruncateShare
	if f.faults.ResponseDelayShare == 0 || lateDraw < f.faults.ResponseDelayShare {
		late = milliseconds(f.faults.ResponseDelayMS)
	}
	return cut, late
}
