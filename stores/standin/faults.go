package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults of a store stand-in. The zero value has none.
type Faults struct {
	// Seed starts the draws of jitter and probabilities again. The read and
	// write classes draw from streams of their own.
	Seed  uint64      `json:"seed"`
	Read  ClassFaults `json:"read"`
	Write ClassFaults `json:"write"`
}

// ClassFaults are the faults of one class of requests.
type ClassFaults struct {
	// LatencyMS delays each request before it takes effect, in milliseconds.
	LatencyMS float64 `json:"latency_ms,omitempty"`
	// JitterMS adds an evenly distributed delay from 0 to JitterMS.
	JitterMS float64 `json:"jitter_ms,omitempty"`
	// Outage answers 503 to each request.
	Outage bool `json:"outage,omitempty"`
	// OutageAfter begins an outage after this many more requests; null begins
	// none.
	OutageAfter *int `json:"outage_after,omitempty"`
	// LoseRequests closes the connection of the next requests of this number
	// without an effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// LoseRequestShare does the same to a share of the requests, 0 to 1.
	LoseRequestShare float64 `json:"lose_request_share,omitempty"`
	// LoseResponses closes the connection of the next requests of this number
	// after they took effect.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseResponseShare does the same to a share of the requests, 0 to 1.
	LoseResponseShare float64 `json:"lose_answer_share,omitempty"`
	// Freeze holds requests before they take effect until it is false again.
	// A held write takes effect then, even when its sender has left.
	Freeze bool `json:"freeze,omitempty"`
}

// maxDelay bounds latency and jitter.
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
		return fmt.Errorf("a number of requests is negative")
	}
	return nil
}

// fate is what happens to one request.
type fate int

const (
	fatePass fate = iota
	fateOutage
	fateLoseRequest
	fateLoseAnswer
)

// class of a request.
type class int

const (
	classRead class = iota
	classWrite
)

// injector decides the fate of each request.
type injector struct {
	mu      sync.Mutex
	faults  Faults
	draws   [2]*rand.Rand
	changed chan struct{} // closed when the faults change
	closed  bool
}

func newInjector() *injector {
	i := &injector{changed: make(chan struct{})}
	i.reseed(0)
	return i
}

func (i *injector) reseed(seed uint64) {
	i.draws[classRead] = newRand(seed, uint64(classRead))
	i.draws[classWrite] = newRand(seed, uint64(classWrite))
}

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
	i.wake()
	return nil
}

// wake tells waiting requests to look at the faults again. Callers hold mu.
func (i *injector) wake() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// get returns the faults with the remaining numbers of requests.
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

// close releases the requests that are held or delayed; they are lost.
func (i *injector) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.closed = true
		i.wake()
	}
}

// admit holds and delays a request and returns its fate. It does not end early
// when the sender leaves: a slow store still applies what it was sent.
func (i *injector) admit(c class) fate {
	fate, delay := i.draw(c)
	if !i.wait(delay) {
		return fateLoseRequest
	}
	if !i.thawed(c) {
		return fateLoseRequest
	}
	return fate
}

func (i *injector) classFaults(c class) *ClassFaults {
	if c == classRead {
		return &i.faults.Read
	}
	return &i.faults.Write
}

// draw takes the same number of draws for each request, so that a request's
// fate depends on the seed and on its place in the sequence only.
func (i *injector) draw(c class) (fate, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.classFaults(c)
	jitter, request, answer := i.draws[c].Float64(), i.draws[c].Float64(), i.draws[c].Float64()
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
		return fateOutage, delay
	case f.LoseRequests > 0:
		f.LoseRequests--
		return fateLoseRequest, delay
	case request < f.LoseRequestShare:
		return fateLoseRequest, delay
	case f.LoseResponses > 0:
		f.LoseResponses--
		return fateLoseAnswer, delay
	case answer < f.LoseResponseShare:
		return fateLoseAnswer, delay
	default:
		return fatePass, delay
	}
}

// wait returns false when the injector was closed before the delay ended.
func (i *injector) wait(delay time.Duration) bool {
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

// thawed waits while the class is frozen. It returns false when the injector
// was closed.
func (i *injector) thawed(c class) bool {
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

// maxFaultsBytes bounds the body of a request that sets faults.
const maxFaultsBytes = 16 << 10

// serveFaults answers GET and PUT /v1/faults.
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
		refuseMethod(w, r, "GET, PUT")
	}
}

func refuseMethod(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	writeError(w, http.StatusMethodNotAllowed, fmt.Errorf("method %s: want %s", r.Method, allow))
}
