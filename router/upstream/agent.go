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
		"the upstream was announced, is draining or was removed, or this router's view of its health changed", "none")
	eventDown = event.Define(1201, log.WarnLevel, "upstream is down",
		"the upstream refused a connection or did not respond to a probe",
		"restart the upstream process and check its log")
	eventRefused = event.Define(1202, log.WarnLevel, "upstream message refused",
		"the upstream sent a message that is malformed or invalid in its state",
		"correct the upstream's message; the error names the field")
	eventBroken = event.Define(1203, log.WarnLevel, "broken response of the upstream",
		"the upstream answered a request, a grant or a probe with a head that HTTP/1.1 does not allow; nothing of the response was used, and its connection was closed",
		"check the log of the upstream process at the address; the error quotes the line")
)

const (
	// maxMessage is the maximum size of the body of an upstream's message in bytes.
	maxMessage = 4 << 10
	// maxSlots is the maximum number of announced slots and of connections.
	maxSlots     = 1 << 16
	probeTimeout = 500 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// maxPendingChanges is the number of status changes that are buffered for
	// OnChange.
	maxPendingChanges = 64
)

// SlotLimiter limits requests to the slots of the announced upstream. admit.Limiter
// implements it.
type SlotLimiter interface {
	// Reset restarts the limiter for a cold upstream with the slots. 0 slots mean
	// that there is no upstream.
	Reset(slots int)
}

// AgentOptions configures an Agent. All fields are optional.
type AgentOptions struct {
	// Service returns the definition of a service, against which announcements
	// are checked, and whether it exists. If nil, any service may be announced.
	Service func(name string) (note.Service, bool)
	Limiter SlotLimiter
	// OnChange is called by Run, one change at a time and in order. If it is slow,
	// the oldest changes are dropped.
	OnChange func(Status)
	Log      *event.Logger
	// RenewTimeout defaults to DefaultRenewTimeout.
	RenewTimeout time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
}

// Agent feeds the tracker with the upstream's messages, probe results and the
// client's observations, and updates the client's target and the limiter when the
// state changes. It is safe for concurrent use.
type Agent struct {
	opts    AgentOptions
	client  *Client
	changes chan Status
	probes  chan ProbeID

	mu      sync.Mutex
	tracker *Tracker
	// cold is set by an announcement until the limiter is adjusted. The announcing
	// process has just started, possibly in place of one whose end was not noticed.
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
		changes: make(chan Status, maxPendingChanges),
		probes:  make(chan ProbeID, 1),
	}
	a.client = NewClient(ClientOptions{
		OnConnectionRefused: func(address string) {
			a.apply(func(t *Tracker, now time.Time) ProbeID { t.ConnectionRefused(now, address); return 0 })
		},
		OnResponse: func() {
			a.apply(func(t *Tracker, now time.Time) ProbeID { t.ResponseReceived(now); return 0 })
		},
		OnBrokenResponse: func(address string, err error) {
			opts.Log.Log(eventBroken, event.F("address", address), event.F("error", err.Error()))
		},
	})
	return a
}

// Client returns the client for the announced upstream.
func (a *Agent) Client() *Client {
	return a.client
}

// Status returns the current status.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Status()
}

// Evacuated removes a withdrawn upstream. It must be called once the upstream's shards
// have moved away.
func (a *Agent) Evacuated() {
	a.apply(func(t *Tracker, now time.Time) ProbeID { t.Evacuated(now); return 0 })
}

// Run checks the upstream periodically, probes it and calls OnChange until ctx ends. It
// returns the error of ctx.
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

// apply runs one transition of the tracker and performs the resulting actions.
func (a *Agent) apply(transition func(*Tracker, time.Time) ProbeID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.tracker.Status()
	id := transition(a.tracker, a.opts.Now())
	after := a.tracker.Status()
	if before.State != after.State || before.Announcement != after.Announcement || before.Withdrawn != after.Withdrawn {
		a.statusChanged(after)
	}
	a.adjustLimiter(isAvailable(before), isAvailable(after), after.Announcement.Slots)
	if id != 0 {
		a.requestProbe(id)
	}
}

// requestProbe makes Run start the probe. It replaces a requested probe that has not
// started. The caller holds a.mu.
func (a *Agent) requestProbe(id ProbeID) {
	select {
	case <-a.probes:
	default:
	}
	a.probes <- id
}

// statusChanged updates the client's target, logs the status and queues it for
// OnChange. The caller holds a.mu.
func (a *Agent) statusChanged(status Status) {
	a.client.SetTarget(status.Announcement.Address, status.Announcement.Connections)
	a.logStatus(status)
	select {
	case a.changes <- status:
	default:
		// Drop the oldest change: only the latest status matters.
		select {
		case <-a.changes:
		default:
		}
		a.changes <- status
	}
}

// adjustLimiter resets the limiter when the upstream becomes available, becomes
// unavailable or is announced again. The caller holds a.mu.
func (a *Agent) adjustLimiter(wasAvailable, available bool, slots int) {
	cold := a.cold
	a.cold = false
	if a.opts.Limiter == nil {
		return
	}
	switch {
	case available && (cold || !wasAvailable):
		a.opts.Limiter.Reset(slots)
	case wasAvailable && !available:
		a.opts.Limiter.Reset(0)
	}
}

// isAvailable reports whether requests are sent to the upstream in the state.
func isAvailable(s Status) bool {
	return s.State != Absent && s.State != Down
}

func (a *Agent) logStatus(s Status) {
	e := eventState
	if s.State == Down {
		e = eventDown
	}
	a.opts.Log.Log(e, event.F("state", string(s.State)), event.F("service", s.Announcement.Service),
		event.F("address", s.Announcement.Address))
}

// Handler returns the HTTP handler for the upstream's messages. It refuses requests
// that do not come from a loopback address.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.messageHandler(a.announce))
	mux.HandleFunc("POST /v1/renew", a.messageHandler(a.renew))
	mux.HandleFunc("POST /v1/drain", a.messageHandler(a.drain))
	mux.HandleFunc("POST /v1/withdraw", a.messageHandler(a.withdraw))
	return mux
}

// stateResponse is the body of the response to every message.
type stateResponse struct {
	State State `json:"state"`
}

// messageHandler returns the HTTP handler that reads a message, passes it to handle
// and responds with the resulting state.
func (a *Agent) messageHandler(handle func(body []byte) error) http.HandlerFunc {
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
		_ = json.NewEncoder(w).Encode(stateResponse{State: a.Status().State})
	}
}

func readMessage(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if !fromLoopback(r.RemoteAddr) {
		return nil, errkind.New(errkind.Unauthorized, "messages are accepted from this host only, not from %s", r.RemoteAddr)
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

// decode decodes a body with exactly one JSON object without unknown fields.
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

// announce handles POST /v1/announce.
func (a *Agent) announce(body []byte) error {
	var m Announcement
	if err := decode(body, &m); err != nil {
		return err
	}
	if err := a.checkAnnouncement(m); err != nil {
		return err
	}
	a.apply(func(t *Tracker, now time.Time) ProbeID {
		a.cold = true
		return t.Announce(now, m)
	})
	return nil
}

func (a *Agent) checkAnnouncement(m Announcement) error {
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
		return fmt.Errorf("want an IP address and a port: %w", err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.New("want a unicast IP address and a port above 0")
	}
	return nil
}

// renewBody is the body of POST /v1/renew. Pointers distinguish a missing field from
// a zero value.
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
