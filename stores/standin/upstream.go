package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Kind says what an upstream checks about a request.
type Kind string

// The kinds.
const (
	// KindFenced checks generation and grant before it begins and before it
	// commits.
	KindFenced Kind = "fenced"
	// KindDeadline does not begin, go on or commit after the not-after time.
	KindDeadline Kind = "deadline"
	// KindPlain checks nothing.
	KindPlain Kind = "plain"
)

// UpstreamOptions configure an Upstream. Zero fields take the default that is
// named with them.
type UpstreamOptions struct {
	Name    string // default "upstream"
	Service string // required
	Kind    Kind   // default fenced
	// Address is the loopback address to listen at; default 127.0.0.1:0.
	Address string
	// ControlAddress serves the /burdock paths as well. It stays up while the
	// upstream refuses connections or is frozen. Default 127.0.0.1:0.
	ControlAddress string
	// Router is the base URL of the upstream listener of the router beside;
	// empty announces nothing.
	Router string
	// Slots bound the requests at work; default 16.
	Slots int
	// Connections bound the open connections; default 120.
	Connections int
	// AcceptTime is the time that accepting one connection takes; connections
	// are accepted one after another. Default 0.
	AcceptTime time.Duration
	// ProbeTime is the time for which a probe (GET or HEAD /burdock/probe)
	// holds a slot.
	ProbeTime time.Duration
	// WorkTime and WorkJitter are the time that a request takes: WorkTime plus
	// an evenly distributed part of WorkJitter.
	WorkTime, WorkJitter time.Duration
	// The first ColdRequests requests take ColdTime longer.
	ColdRequests int
	ColdTime     time.Duration
	// MinResponseBytes is the smallest size of an answer; shorter answers are
	// padded.
	MinResponseBytes int
	// IgnoreCancel goes on with work whose sender has closed the connection.
	IgnoreCancel bool
	// RenewInterval is the interval of renewals; default 250 ms.
	RenewInterval time.Duration
	// LedgerUnits bound the ledger; default 500,000.
	LedgerUnits int
	// Seed determines jitter and the shares of faults.
	Seed uint64
	// Now is the wall clock by which grants and deadlines are judged; nil is
	// the host's clock.
	Now func() time.Time
	// Logf receives messages about the announcement; nil drops them.
	Logf func(format string, args ...any)
}

const (
	defaultSlots       = 16
	defaultConnections = 120
	defaultRenewEvery  = 250 * time.Millisecond
)

func (o *UpstreamOptions) setDefaults() {
	setDefault(&o.Name, "upstream")
	setDefault(&o.Kind, KindFenced)
	setDefault(&o.Address, "127.0.0.1:0")
	setDefault(&o.ControlAddress, "127.0.0.1:0")
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.Connections, defaultConnections)
	setDefault(&o.RenewInterval, defaultRenewEvery)
	setDefault(&o.LedgerUnits, defaultLedgerUnits)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o UpstreamOptions) check() error {
	if o.Service == "" || o.Service == "burdock" {
		return fmt.Errorf("upstream: service %q: want a name other than burdock, whose paths are the upstream's own", o.Service)
	}
	switch o.Kind {
	case KindFenced, KindDeadline, KindPlain:
	default:
		return fmt.Errorf("upstream: kind %q: want fenced, deadline or plain", o.Kind)
	}
	if o.Slots < 0 || o.Connections < 0 || o.ColdRequests < 0 || o.LedgerUnits < 0 {
		return errors.New("upstream: a number is negative")
	}
	if o.MinResponseBytes < 0 || o.MinResponseBytes > maxResponseBytes {
		return fmt.Errorf("upstream: answers of %d bytes: want 0 to %d", o.MinResponseBytes, maxResponseBytes)
	}
	for _, d := range []time.Duration{o.AcceptTime, o.ProbeTime, o.WorkTime, o.WorkJitter, o.ColdTime, o.RenewInterval} {
		if d < 0 || d > maxDelay {
			return fmt.Errorf("upstream: duration %v: want 0 to %v", d, maxDelay)
		}
	}
	return nil
}

// Upstream is a stand-in for a server that owns keys. It keeps state per key
// and records every unit of work in its ledger.
type Upstream struct {
	options UpstreamOptions
	fence   *fence
	ledger  *ledger
	faults  *upstreamFaults
	state   *keyState
	slots   chan struct{}

	data    *dataListener
	control net.Listener
	servers []*http.Server
	ctx     context.Context // ends when the upstream closes
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	draws    *rand.Rand
	served   int64 // requests that got a slot, probes included
	worked   int   // requests whose work time was drawn
	inFlight int
	idle     chan struct{} // closed when inFlight falls to 0
	drained  bool
}

// StartUpstream listens and serves, and announces the upstream at its router
// until Close or Stop.
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
		draws:   newRand(o.Seed, 0),
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	if err := u.listen(); err != nil {
		u.cancel()
		return nil, err
	}
	if o.Router != "" {
		u.running.Go(u.announceLoop)
	}
	return u, nil
}

func (u *Upstream) listen() error {
	control, err := listenLoopback(u.options.ControlAddress)
	if err != nil {
		return err
	}
	data, err := newDataListener(u.options.Address, u.options.Connections, u.options.AcceptTime)
	if err != nil {
		_ = control.Close()
		return err
	}
	u.control, u.data = control, data
	u.faults.onRefuse = data.setRefuse
	u.serve(control, http.HandlerFunc(u.serveControl))
	u.serve(data, u)
	return nil
}

func (u *Upstream) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	u.servers = append(u.servers, s)
	u.running.Go(func() { _ = s.Serve(l) })
}

// Address returns the address at which the upstream takes requests.
func (u *Upstream) Address() string { return u.data.address }

// ControlURL returns the base URL of the control listener.
func (u *Upstream) ControlURL() string { return "http://" + u.control.Addr().String() }

// Ledger returns the units of work that began so far.
func (u *Upstream) Ledger() Ledger { return u.ledger.snapshot(u.options.Name, 0) }

// LedgerChanged returns a channel that is closed when a unit of work begins or
// ends next.
func (u *Upstream) LedgerChanged() <-chan struct{} { return u.ledger.changed() }

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) error { return u.faults.set(f) }

// Faults returns the faults with the numbers of requests that remain.
func (u *Upstream) Faults() UpstreamFaults { return u.faults.get() }

// Close stops at once, as a lost process does: it closes every connection and
// sends nothing to the router.
func (u *Upstream) Close() {
	u.cancel()
	u.faults.close()
	for _, s := range u.servers {
		_ = s.Close()
	}
	u.running.Wait()
}

// Stop tells the router that the upstream is leaving, waits until no request is
// at work and none arrived for the time quiet, withdraws and closes. It does
// so at once when ctx ends.
func (u *Upstream) Stop(ctx context.Context, quiet time.Duration) error {
	err := u.Drain(ctx)
	u.awaitQuiet(ctx, quiet)
	if e := u.Withdraw(context.WithoutCancel(ctx)); err == nil {
		err = e
	}
	u.Close()
	return err
}

// awaitQuiet returns when no request has been at work for the time quiet.
func (u *Upstream) awaitQuiet(ctx context.Context, quiet time.Duration) {
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
		case <-time.After(quiet):
		case <-ctx.Done():
			return
		}
		u.mu.Lock()
		settled := u.served == served && u.inFlight == 0
		u.mu.Unlock()
		if settled {
			return
		}
	}
}

// enter takes a slot. It returns false when all are taken.
func (u *Upstream) enter() bool {
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

func (u *Upstream) leave() {
	u.mu.Lock()
	u.inFlight--
	if u.inFlight == 0 {
		close(u.idle)
		u.idle = nil
	}
	u.mu.Unlock()
	<-u.slots
}

// load returns the share of the slots that are taken.
func (u *Upstream) load() float64 {
	return float64(len(u.slots)) / float64(cap(u.slots))
}

// workTime draws the time of the next request.
func (u *Upstream) workTime() time.Duration {
	work, jitter := u.options.WorkTime, u.options.WorkJitter
	f := u.faults.get()
	if f.WorkMS != nil {
		work = milliseconds(*f.WorkMS)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	work += time.Duration(u.draws.Float64() * float64(jitter))
	u.worked++
	if u.worked <= u.options.ColdRequests {
		work += u.options.ColdTime
	}
	return work
}

// now reads the clocks.
func (u *Upstream) now() Instant {
	return Instant{MonoNanos: monotonicNanos(), WallMicros: u.options.Now().UnixMicro()}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
