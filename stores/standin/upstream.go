package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Kind determines what an upstream checks for each request.
type Kind string

// The kinds.
const (
	// KindFenced checks generation and grant before work begins and before it
	// commits.
	KindFenced Kind = "fenced"
	// KindDeadline does not begin, continue or commit work after the not-after
	// time.
	KindDeadline Kind = "deadline"
	// KindPlain checks nothing.
	KindPlain Kind = "plain"
)

// UpstreamOptions configures an Upstream. Zero fields get the defaults stated
// here.
type UpstreamOptions struct {
	Name    string // default "upstream"
	Service string // required
	Kind    Kind   // default KindFenced
	// Address is the loopback address for requests; default 127.0.0.1:0.
	Address string
	// ControlAddress is a second loopback address that serves the ledger and
	// the faults. It stays available while the upstream refuses connections or
	// is frozen. Default 127.0.0.1:0.
	ControlAddress string
	// Router is the base URL of the upstream listener of the router on the same
	// host; if empty, the upstream does not announce itself.
	Router string
	// Slots is the maximum number of requests that run at the same time;
	// default 16.
	Slots int
	// Connections is the maximum number of open connections; default 120.
	Connections int
	// AcceptTime is the time that accepting one connection takes; connections
	// are accepted one after another. Default 0.
	AcceptTime time.Duration
	// ProbeTime is the time for which a probe (GET or HEAD /burdock/probe)
	// occupies a slot.
	ProbeTime time.Duration
	// WorkTime and WorkJitter determine the time that a request takes: WorkTime
	// plus a uniformly distributed part of WorkJitter.
	WorkTime, WorkJitter time.Duration
	// ColdRequests is the number of requests after the start that take ColdTime
	// longer.
	ColdRequests int
	ColdTime     time.Duration
	// MinResponseBytes is the minimum size of a response; shorter ones are
	// padded.
	MinResponseBytes int
	// CallRouter is the base URL of the caller listener, on a loopback address, of the
	// router through which running requests call other services; if empty, requests that
	// ask for calls are refused.
	CallRouter string
	// IgnoreCancel continues work whose sender has disconnected.
	IgnoreCancel bool
	// RenewInterval is the interval of the renewals at the router; default 250
	// ms.
	RenewInterval time.Duration
	// LedgerUnits is the capacity of the ledger; default 500,000.
	LedgerUnits int
	// Seed seeds the work jitter and the shares of faults.
	Seed uint64
	// Now is the wall clock for grants and deadlines; nil means the host's
	// clock.
	Now func() time.Time
	// Logf logs failures of the announcement; nil discards them.
	Logf func(format string, args ...any)
}

const (
	defaultSlots         = 16
	defaultConnections   = 120
	defaultRenewInterval = 250 * time.Millisecond
)

func (o *UpstreamOptions) setDefaults() {
	setDefault(&o.Name, "upstream")
	setDefault(&o.Kind, KindFenced)
	setDefault(&o.Address, "127.0.0.1:0")
	setDefault(&o.ControlAddress, "127.0.0.1:0")
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.Connections, defaultConnections)
	setDefault(&o.RenewInterval, defaultRenewInterval)
	setDefault(&o.LedgerUnits, defaultLedgerUnits)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
}

// setDefault sets the field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o UpstreamOptions) check() error {
	if o.Service == "" || o.Service == "burdock" {
		return fmt.Errorf("upstream: service %q: want a name other than burdock, which is reserved for the upstream's own paths", o.Service)
	}
	switch o.Kind {
	case KindFenced, KindDeadline, KindPlain:
	default:
		return fmt.Errorf("upstream: kind %q: want fenced, deadline or plain", o.Kind)
	}
	if o.Slots < 0 || o.Connections < 0 || o.ColdRequests < 0 || o.LedgerUnits < 0 {
		return errors.New("upstream: slots, connections, cold requests or ledger units are negative")
	}
	if o.MinResponseBytes < 0 || o.MinResponseBytes > maxResponseBytes {
		return fmt.Errorf("upstream: response of %d bytes: want 0 to %d", o.MinResponseBytes, maxResponseBytes)
	}
	if o.CallRouter != "" {
		router, err := url.Parse(o.CallRouter)
		if err != nil || router.Scheme != "http" {
			return fmt.Errorf("upstream: router for calls %q: want http://ip:port", o.CallRouter)
		}
		if err := CheckLoopback(router.Host); err != nil {
			return fmt.Errorf("upstream: router for calls: %w", err)
		}
	}
	for _, d := range []time.Duration{o.AcceptTime, o.ProbeTime, o.WorkTime, o.WorkJitter, o.ColdTime, o.RenewInterval} {
		if d < 0 || d > maxDelay {
			return fmt.Errorf("upstream: duration %v: want 0 to %v", d, maxDelay)
		}
	}
	return nil
}

// Upstream is a stand-in for a server that owns keys. It stores state per key
// and records every unit of work in its ledger.
type Upstream struct {
	options UpstreamOptions
	fence   *fence
	ledger  *ledger
	faults  *upstreamFaults
	state   *keyState
	slots   chan struct{}

	data       *limitedListener // for requests
	control    net.Listener     // for ledger and faults
	callClient *http.Client     // for calls of running requests
	servers    []*http.Server
	ctx        context.Context // ends when the upstream closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu             sync.Mutex
	rng            *rand.Rand
	served         int64 // requests that acquired a slot, including probes
	workTimesDrawn int   // number of work times drawn so far
	inFlight       int
	idle           chan struct{} // closed when inFlight drops to 0; nil while it is 0
	draining       bool
}

// StartUpstream starts an upstream, which serves and announces itself at its
// router until Close or Stop.
func StartUpstream(o UpstreamOptions) (*Upstream, error) {
	o.setDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	u := &Upstream{
		options: o,
		fence:   newFence(),
		ledger:  newLedger(o.LedgerUnits),
		faults:  newUpstreamFaults(o.Seed),
		state:   newKeyState(),
		slots:   make(chan struct{}, o.Slots),
		rng:     newRand(o.Seed, 0),
		// Each slot makes one call at a time.
		callClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots, DisableCompression: true}},
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	if err := u.listen(); err != nil {
		u.cancel()
		return nil, err
	}
	if o.Router != "" {
		u.goroutines.Go(u.announceLoop)
	}
	return u, nil
}

func (u *Upstream) listen() error {
	control, err := listenLoopback(u.options.ControlAddress)
	if err != nil {
		return err
	}
	data, err := newLimitedListener(u.options.Address, u.options.Connections, u.options.AcceptTime)
	if err != nil {
		_ = control.Close()
		return err
	}
	u.control, u.data = control, data
	u.faults.onRefuse = data.setRefusing
	u.serve(control, http.HandlerFunc(u.serveControl))
	u.serve(data, u)
	return nil
}

func (u *Upstream) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	u.servers = append(u.servers, s)
	u.goroutines.Go(func() { _ = s.Serve(l) })
}

// Address returns the address for requests.
func (u *Upstream) Address() string { return u.data.address }

// ControlURL returns the base URL of the control listener.
func (u *Upstream) ControlURL() string { return "http://" + u.control.Addr().String() }

// Ledger returns the units of work that have begun so far.
func (u *Upstream) Ledger() Ledger { return u.ledger.snapshot(u.options.Name, 0) }

// LedgerChanged returns a channel that is closed when the next unit of work
// begins or ends.
func (u *Upstream) LedgerChanged() <-chan struct{} { return u.ledger.changed() }

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) error { return u.faults.set(f) }

// Faults returns the faults, with the counts that remain.
func (u *Upstream) Faults() UpstreamFaults { return u.faults.get() }

// Close stops the upstream immediately, like a crashed process: it closes every
// connection and sends nothing to the router.
func (u *Upstream) Close() {
	u.cancel()
	u.faults.close()
	for _, s := range u.servers {
		_ = s.Close()
	}
	u.goroutines.Wait()
	u.callClient.CloseIdleConnections()
}

// Stop shuts the upstream down gracefully. It notifies the router that the
// upstream is draining, waits until no request has run or arrived for
// quietPeriod, withdraws and closes. When ctx ends, it stops waiting and
// continues with the withdrawal.
func (u *Upstream) Stop(ctx context.Context, quietPeriod time.Duration) error {
	err := u.Drain(ctx)
	u.awaitIdle(ctx, quietPeriod)
	if e := u.Withdraw(context.WithoutCancel(ctx)); err == nil {
		err = e
	}
	u.Close()
	return err
}

// awaitIdle returns when no request has run for quietPeriod, or when ctx ends.
func (u *Upstream) awaitIdle(ctx context.Context, quietPeriod time.Duration) {
	for {
		u.mu.Lock()
		served, idle := u.served, u.idle
		u.mu.Unlock()
		if idle != nil {
			select {
			case <-idle:
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case <-time.After(quietPeriod):
		case <-ctx.Done():
			return
		}
		u.mu.Lock()
		stillIdle := u.served == served && u.inFlight == 0
		u.mu.Unlock()
		if stillIdle {
			return
		}
	}
}

// acquireSlot acquires a slot without waiting. It returns false if all are
// occupied.
func (u *Upstream) acquireSlot() bool {
	select {
	case u.slots <- struct{}{}:
	default:
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	u.inFlight++
	if u.idle == nil {
		u.idle = make(chan struct{})
	}
	return true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	u.inFlight--
	if u.inFlight == 0 {
		close(u.idle)
		u.idle = nil
	}
	u.mu.Unlock()
	<-u.slots
}

// load returns the share of occupied slots, 0 to 1.
func (u *Upstream) load() float64 {
	return float64(len(u.slots)) / float64(cap(u.slots))
}

// workTime draws the time that the next request takes.
func (u *Upstream) workTime() time.Duration {
	work, jitter := u.options.WorkTime, u.options.WorkJitter
	f := u.faults.get()
	if f.WorkMS != nil {
		work = milliseconds(*f.WorkMS)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	work += time.Duration(u.rng.Float64() * float64(jitter))
	u.workTimesDrawn++
	if u.workTimesDrawn <= u.options.ColdRequests {
		work += u.options.ColdTime
	}
	return work
}

// now returns the current time of both clocks.
func (u *Upstream) now() Instant {
	return Instant{MonoNanos: monotonicNanos(), WallMicros: u.options.Now().UnixMicro()}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
