package standin

import (
	"errors"
	"net/http"
	"sync"
)

// Counters counts the requests to a store stand-in, including rejected and lost
// ones.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Applied is the number of writes that took effect.
	Applied int64 `json:"applied"`
	// Conflicts is the number of writes that were rejected because of a
	// condition or an existing object.
	Conflicts int64 `json:"conflicts"`
	// Invalid is the number of malformed requests.
	Invalid int64 `json:"invalid"`
	// Outages is the number of requests that were rejected because of an
	// outage.
	Outages int64 `json:"outages"`
	// LostRequests is the number of requests that were lost before they took
	// effect.
	LostRequests int64 `json:"lost_requests"`
	// LostResponses is the number of requests whose response was lost.
	LostResponses int64 `json:"lost_answers"`
}

// storeServer is the common part of the table and object stand-ins: faults and
// counters.
type storeServer struct {
	faults *injector

	mu       sync.Mutex
	counters Counters
	changed  chan struct{} // closed when the counters change
}

func newStoreServer() storeServer {
	return storeServer{faults: newInjector(), changed: make(chan struct{})}
}

// SetFaults replaces the faults. Requests held by a freeze continue unless the
// new faults freeze their class too.
func (s *storeServer) SetFaults(f Faults) error {
	return s.faults.set(f)
}

// Faults returns the faults, with the request counts that remain.
func (s *storeServer) Faults() Faults {
	return s.faults.get()
}

// Close ends the waits of delayed and held requests; these requests are lost.
func (s *storeServer) Close() {
	s.faults.close()
}

// Counters returns the current counters.
func (s *storeServer) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Changed returns a channel that is closed at the next change of a counter.
func (s *storeServer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// count applies change to the counters and wakes those that wait on Changed.
func (s *storeServer) count(change func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
	close(s.changed)
	s.changed = make(chan struct{})
}

// errOutage is the error of a 503 response.
var errOutage = errors.New("the service is down")

// applyFaults applies the faults of a class to a request. If ok is false, the
// response has been written. If the request is to be lost, it panics with
// http.ErrAbortHandler, which closes the connection. The caller passes
// loseResponse to abortIfResponseLost once the request has taken effect.
func (s *storeServer) applyFaults(w http.ResponseWriter, c requestClass) (loseResponse, ok bool) {
	switch s.faults.apply(c) {
	case actionOutage:
		s.count(func(c *Counters) { c.Outages++ })
		writeError(w, http.StatusServiceUnavailable, errOutage)
		return false, false
	case actionLoseRequest:
		s.count(func(c *Counters) { c.LostRequests++ })
		panic(http.ErrAbortHandler)
	case actionLoseResponse:
		return true, true
	default:
		return false, true
	}
}

// abortIfResponseLost panics with http.ErrAbortHandler, which closes the
// connection, if the response is to be lost.
func (s *storeServer) abortIfResponseLost(loseResponse bool) {
	if loseResponse {
		s.count(func(c *Counters) { c.LostResponses++ })
		panic(http.ErrAbortHandler)
	}
}

// rejectInvalid counts a malformed request and responds with the error.
func (s *storeServer) rejectInvalid(w http.ResponseWriter, status int, err error) {
	s.count(func(c *Counters) { c.Invalid++ })
	writeError(w, status, err)
}
