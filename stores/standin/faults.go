package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults configures the faults of a store stand-in. The zero value injects
// none.
type Faults struct {
	// Seed reseeds the generators of jitter and probabilities. Reads and writes
	// have separate generators.
	Seed  uint64      `json:"seed"`
	Read  ClassFaults `json:"read"`
	Write ClassFaults `json:"write"`
}

// ClassFaults configures the faults of one class of requests.
type ClassFaults struct {
	// LatencyMS delays each request before it takes effect, in milliseconds.
	LatencyMS float64 `json:"latency_ms,omitempty"`
	// JitterMS adds a uniformly distributed delay from 0 to JitterMS, in
	// milliseconds.
	JitterMS float64 `json:"jitter_ms,omitempty"`
	// Outage responds with 503 to each request.
	Outage bool `json:"outage,omitempty"`
	// OutageAfter starts an outage after this many more requests; null starts
	// none.
	OutageAfter *int `json:"outage_after,omitempty"`
	// LoseRequests is the number of next requests that are lost: the connection
	// is closed and the request has no effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// LoseRequestShare is the share of requests that are lost in the same way,
	// 0 to 1.
	LoseRequestShare float64 `json:"lose_request_share,omitempty"`
	// LoseResponses is the number of next requests whose response is lost: the
	// connection is closed after the request has taken effect.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseResponseShare is the share of requests whose response is lost in the
	// same way, 0 to 1.
	LoseResponseShare float64 `json:"lose_answer_share,omitempty"`
	// Freeze holds requests before they take effect until it is reset. A held
	// write then takes effect even if its sender has disconnected.
	Freeze bool `json:"freeze,omitempty"`
}

// maxDelay limits each configured delay.
const maxDelay = 10 * time.Minute

func (f Faults) check() error {
	if err := f.Read.check(); err != nil {
		return fmt.Errorf("read faults: %w", err)
	}
	if err := f.Write.check(); err != nil {
		return fmt.Errorf("write faults: %w", err)
	}
	return nil
}

func (f ClassFaults) check() error {
	for _, ms := range []float64{f.LatencyMS, f.JitterMS} {
		if !(ms >= 0) || ms > float64(maxDelay.Milliseconds()) {
			return fmt.Errorf("delay of %v ms: want 0 to %d", ms, maxDelay.Milliseconds())
		}
	}
	for _, share := range []float64{f.LoseResponseShare, f.LoseRequestShare} {
		if !(share >= 0 && share <= 1) {
			return fmt.Errorf("share %v: want 0 to 1", share)
		}
	}
	if f.LoseResponses < 0 || f.LoseRequests < 0 || (f.OutageAfter != nil && *f.OutageAfter < 0) {
		return fmt.Errorf("number of requests is negative")
	}
	return nil
}

// faultAction is what the injector does to one request.
type faultAction int

const (
	actionPass faultAction = iota
	actionOutage
	actionLoseRequest
	actionLoseResponse
)

// requestClass is the class of requests that a fault applies to.
type requestClass int

const (
	classRead requestClass = iota
	classWrite
)

// injector injects the configured faults into requests.
type injector struct {
	mu      sync.Mutex
	faults  Faults
	rngs    [2]*rand.Rand
	changed chan struct{} // closed when the faults change
	closed  bool          // set by close; held and later requests are lost
}

func newInjector() *injector {
	i := &injector{changed: make(chan struct{})}
	i.reseed(0)
	return i
}

func (i *injector) reseed(seed uint64) {
	i.rngs[classRead] = newRand(seed, uint64(classRead))
	i.rngs[classWrite] = newRand(seed, uint64(classWrite))
}

// set replaces the faults, reseeds the generators and wakes held requests.
func (i *injector) set(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.Read.OutageAfter != nil {
		f.Read.OutageAfter = new(*f.Read.OutageAfter)
	}
	if f.Write.OutageAfter != nil {
		f.Write.OutageAfter = new(*f.Write.OutageAfter)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.reseed(f.Seed)
	i.notifyChanged()
	return nil
}

// notifyChanged wakes the waiting requests to check the faults again. The
// caller holds mu.
func (i *injector) notifyChanged() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// get returns a copy of the faults, with the request counts that remain.
func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	if f.Read.OutageAfter != nil {
		f.Read.OutageAfter = new(*f.Read.OutageAfter)
	}
	if f.Write.OutageAfter != nil {
		f.Write.OutageAfter = new(*f.Write.OutageAfter)
	}
	return f
}

// close ends the waits of held and delayed requests; these requests are lost.
func (i *injector) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.closed = true
		i.notifyChanged()
	}
}

// apply delays and holds a request as configured and returns the action for it.
// It does not return early if the sender disconnects, because a slow store
// still applies what it has received.
func (i *injector) apply(c requestClass) faultAction {
	action, delay := i.draw(c)
	if !i.sleep(delay) {
		return actionLoseRequest
	}
	if !i.awaitUnfrozen(c) {
		return actionLoseRequest
	}
	return action
}

// classFaults returns the faults of the class. The caller holds mu.
func (i *injector) classFaults(c requestClass) *ClassFaults {
	if c == classRead {
		return &i.faults.Read
	}
	return &i.faults.Write
}

// draw decides the action and the delay of the next request. It draws the same
// number of random values for each request, so that the decision depends only
// on the seed and on the position of the request in its class.
func (i *injector) draw(c requestClass) (faultAction, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.classFaults(c)
	jitter, requestDraw, responseDraw := i.rngs[c].Float64(), i.rngs[c].Float64(), i.rngs[c].Float64()
	delay := time.Duration((f.LatencyMS + jitter*f.JitterMS) * float64(time.Millisecond))
	if f.OutageAfter != nil {
		if *f.OutageAfter == 0 {
			f.Outage, f.OutageAfter = true, nil
		} else {
			*f.OutageAfter--
		}
	}
	switch {
	case f.Outage:
		return actionOutage, delay
	case f.LoseRequests > 0:
		f.LoseRequests--
		return actionLoseRequest, delay
	case requestDraw < f.LoseRequestShare:
		return actionLoseRequest, delay
	case f.LoseResponses > 0:
		f.LoseResponses--
		return actionLoseResponse, delay
	case responseDraw < f.LoseResponseShare:
		return actionLoseResponse, delay
	default:
		return actionPass, delay
	}
}

// sleep waits for the delay. It returns false if the injector is closed first.
func (i *injector) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		i.mu.Lock()
		closed, changed := i.closed, i.changed
		i.mu.Unlock()
		if closed {
			return false
		}
		select {
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// awaitUnfrozen waits while the class is frozen. It returns false if the
// injector is closed first.
func (i *injector) awaitUnfrozen(c requestClass) bool {
	for {
		i.mu.Lock()
		closed, frozen, changed := i.closed, i.classFaults(c).Freeze, i.changed
		i.mu.Unlock()
		if closed {
			return false
		}
		if !frozen {
			return true
		}
		<-changed
	}
}

// maxFaultsBytes limits the body of a request that sets faults.
const maxFaultsBytes = 16 << 10

// serveFaults handles GET and PUT /v1/faults.
func (i *injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, http.StatusOK, i.get())
	case http.MethodPut:
		var f Faults
		if err := decodeStrict(http.MaxBytesReader(w, r.Body, maxFaultsBytes), &f); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		if err := i.set(f); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		writeJSON(w, http.StatusOK, i.get())
	default:
		writeMethodNotAllowed(w, r, "GET, PUT")
	}
}

// writeMethodNotAllowed responds with 405. allow lists the methods that are
// allowed.
func writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	writeError(w, http.StatusMethodNotAllowed, fmt.Errorf("method %s: want %s", r.Method, allow))
}
