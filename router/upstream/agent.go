package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/note"
)

var (
	eventState = event.Define(1200, log.InfoLevel, "upstream state changed",
		"the upstream announced itself, left, or this router's judgement of it changed", "none")
	eventDown = event.Define(1201, log.WarnLevel, "upstream is down",
		"the upstream refused a connection or did not answer a probe",
		"restart the upstream process and look at its own log")
	eventRefused = event.Define(1202, log.WarnLevel, "upstream message refused",
		"the upstream sent a message that is malformed or does not fit its state",
		"correct the upstream's announcement; the detail names the field")
)

const (
	// maxMessage bounds the body of a message from the upstream in bytes.
	maxMessage = 4 << 10
	// maxSlots bounds the announced slots and connections.
	maxSlots     = 1 << 16
	probeTimeout = 500 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// changeQueue is the number of status changes that wait for OnChange.
	changeQueue = 64
)

// SlotLimiter follows the slots of the announced upstream. admit.Limiter is
// one.
type SlotLimiter interface {
	// Reset starts over for a cold upstream; 0 slots mean none.
	Reset(slots int)
}

// AgentOptions configure an Agent. All fields are optional.
type AgentOptions struct {
	// Service checks the announced service and kind.
	Service func(name string) (note.Service, bool)
	Limiter SlotLimiter
	// OnChange is called from Run, one change at a time and in order.
	OnChange func(Status)
	Log      *event.Logger
	// RenewTimeout replaces DefaultRenewTimeout.
	RenewTimeout time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
}

// Agent connects the tracker with the upstream's messages, with the client and
// with the limiter.
type Agent struct {
	opts    AgentOptions
	client  *Client
	changes chan Status
	probes  chan ProbeID

	mu      sync.Mutex
	tracker *Tracker
	// cold is set by an announcement: it comes from a process that has just
	// started, possibly in place of one whose end was not noticed.
	cold bool
}

// NewAgent returns an agent without an upstream.
func NewAgent(opts AgentOptions) *Agent {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	a := &Agent{
		opts:    opts,
		tracker: NewTracker(opts.RenewTimeout),
		changes: make(chan Status, changeQueue),
		probes:  make(chan ProbeID, 1),
	}
	a.client = NewClient(ClientOptions{
		OnConnectionRefused: func(address string) {
			a.apply(func(t *Tracker, now time.Time) ProbeID { t.ConnectionRefused(now, address); return 0 })
		},
		OnResponse: func() {
			a.apply(func(t *Tracker, now time.Time) ProbeID { t.ResponseReceived(now); return 0 })
		},
	})
	return a
}

// Client returns the client for the announced upstream.
func (a *Agent) Client() *Client {
	return a.client
}

// Status returns the present status.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Status()
}

// Evacuated tells the agent that the shards of a withdrawn upstream have moved away.
func (a *Agent) Evacuated() {
	a.apply(func(t *Tracker, now time.Time) ProbeID { t.Evacuated(now); return 0 })
}

// Run probes and ticks until ctx ends, and calls OnChange.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.apply((*Tracker).Tick)
		case id := <-a.probes:
			go a.probe(ctx, id)
		case s := <-a.changes:
			if a.opts.OnChange != nil {
				a.opts.OnChange(s)
			}
		}
	}
}

func (a *Agent) probe(ctx context.Context, id ProbeID) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := a.client.Probe(probeCtx)
	if ctx.Err() != nil {
		return
	}
	a.apply(func(t *Tracker, now time.Time) ProbeID { t.ProbeCompleted(now, id, err == nil); return 0 })
}

// apply runs one step of the tracker and carries out what follows from it.
func (a *Agent) apply(step func(*Tracker, time.Time) ProbeID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.tracker.Status()
	id := step(a.tracker, a.opts.Now())
	after := a.tracker.Status()
	if before.State != after.State || before.Announcement != after.Announcement || before.Withdrawn != after.Withdrawn {
		a.changed(after)
	}
	a.adjustLimiter(up(before), up(after), after.Announcement.Slots)
	if id != 0 {
		a.requestProbe(id)
	}
}

// requestProbe replaces a probe that has not begun.
func (a *Agent) requestProbe(id ProbeID) {
	select {
	case <-a.probes:
	default:
	}
	a.probes <- id
}

func (a *Agent) changed(after Status) {
	a.client.SetTarget(after.Announcement.Address, after.Announcement.Connections)
	a.report(after)
	select {
	case a.changes <- after:
	default:
		// The oldest change is dropped: what counts is the latest status.
		select {
		case <-a.changes:
		default:
		}
		a.changes <- after
	}
}

func (a *Agent) adjustLimiter(wasUp, isUp bool, slots int) {
	cold := a.cold
	a.cold = false
	if a.opts.Limiter == nil {
		return
	}
	switch {
	case isUp && (cold || !wasUp):
		a.opts.Limiter.Reset(slots)
	case wasUp && !isUp:
		a.opts.Limiter.Reset(0)
	}
}

func up(s Status) bool {
	return s.State != Absent && s.State != Down
}

func (a *Agent) report(s Status) {
	e := eventState
	if s.State == Down {
		e = eventDown
	}
	a.opts.Log.Log(e, event.F("state", string(s.State)), event.F("service", s.Announcement.Service),
		event.F("address", s.Announcement.Address))
}

// Handler returns the handler for the upstream's messages. It belongs on a
// loopback listener.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.message(a.announce))
	mux.HandleFunc("POST /v1/renew", a.message(a.renew))
	mux.HandleFunc("POST /v1/drain", a.message(a.drain))
	mux.HandleFunc("POST /v1/withdraw", a.message(a.withdraw))
	return mux
}

// stateBody is the answer to every message.
type stateBody struct {
	State State `json:"state"`
}

func (a *Agent) message(handle func(body []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readMessage(w, r)
		if err == nil {
			err = handle(body)
		}
		if err != nil {
			a.opts.Log.Log(eventRefused, event.F("path", r.URL.Path), event.F("error", err.Error()))
			errkind.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(stateBody{State: a.Status().State})
	}
}

func readMessage(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if !fromLoopback(r.RemoteAddr) {
		return nil, errkind.New(errkind.Unauthorized, "messages are taken from this host only, not from %s", r.RemoteAddr)
	}
	if ct := r.Header.Get("Content-Type"); ct != "" {
		if kind, _, err := mime.ParseMediaType(ct); err != nil || kind != "application/json" {
			return nil, errkind.New(errkind.BadRequest, "content type %q: want application/json", ct)
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "the message exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "reading the message: %w", err)
	}
	return body, nil
}

func fromLoopback(remote string) bool {
	addr, err := netip.ParseAddrPort(remote)
	return err == nil && addr.Addr().Unmap().IsLoopback()
}

// decode reads exactly one JSON object with known fields.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errkind.New(errkind.BadRequest, "decoding the message: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "the message has data after its end")
	}
	return nil
}

// decodeEmpty accepts an empty body or an empty object.
func decodeEmpty(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	return decode(body, &struct{}{})
}

func (a *Agent) announce(body []byte) error {
	var m Announcement
	if err := decode(body, &m); err != nil {
		return err
	}
	if err := a.check(m); err != nil {
		return err
	}
	a.apply(func(t *Tracker, now time.Time) ProbeID {
		a.cold = true
		return t.Announce(now, m)
	})
	return nil
}

func (a *Agent) check(m Announcement) error {
	if m.Service == "" {
		return errkind.New(errkind.BadRequest, "service is missing")
	}
	if err := checkAddress(m.Address); err != nil {
		return errkind.New(errkind.BadRequest, "address %q: %w", m.Address, err)
	}
	if m.Slots < 1 || m.Slots > maxSlots {
		return errkind.New(errkind.BadRequest, "slots %d: want 1 to %d", m.Slots, maxSlots)
	}
	if m.Connections < 1 || m.Connections > maxSlots {
		return errkind.New(errkind.BadRequest, "connections %d: want 1 to %d", m.Connections, maxSlots)
	}
	switch m.Kind {
	case note.Fenced, note.Deadline, note.Plain:
	default:
		return errkind.New(errkind.BadRequest, "kind %q: want %s, %s or %s", m.Kind, note.Fenced, note.Deadline, note.Plain)
	}
	return a.checkService(m)
}

func (a *Agent) checkService(m Announcement) error {
	if a.opts.Service == nil {
		return nil
	}
	service, ok := a.opts.Service(m.Service)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q is in no release note", m.Service)
	}
	if service.Kind != m.Kind {
		return errkind.New(errkind.BadRequest, "kind %q: service %q is defined as %q", m.Kind, m.Service, service.Kind)
	}
	return nil
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("want an IP number and a port: %w", err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.New("want a unicast IP number and a port above 0")
	}
	return nil
}

// renewBody has pointers so that a missing field is found.
type renewBody struct {
	Load    *float64 `json:"load"`
	Healthy *bool    `json:"healthy"`
}

func (a *Agent) renew(body []byte) error {
	var m renewBody
	if err := decode(body, &m); err != nil {
		return err
	}
	if m.Load == nil || *m.Load < 0 || math.IsInf(*m.Load, 0) {
		return errkind.New(errkind.BadRequest, "load is missing or below 0")
	}
	if m.Healthy == nil {
		return errkind.New(errkind.BadRequest, "healthy is missing")
	}
	var err error
	a.apply(func(t *Tracker, now time.Time) (id ProbeID) {
		id, err = t.Renew(now, Renewal{Load: *m.Load, Healthy: *m.Healthy})
		return id
	})
	return err
}

func (a *Agent) drain(body []byte) error {
	err := decodeEmpty(body)
	if err != nil {
		return err
	}
	a.apply(func(t *Tracker, now time.Time) ProbeID { err = t.Drain(now); return 0 })
	return err
}

func (a *Agent) withdraw(body []byte) error {
	if err := decodeEmpty(body); err != nil {
		return err
	}
	a.apply(func(t *Tracker, now time.Time) ProbeID { t.Withdraw(now); return 0 })
	return nil
}
