package standin

import (
	"errors"
	"net/http"
	"sync"
)

// Counters count the requests of a store stand-in, refused and lost ones
// included.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Applied counts the writes that took effect.
	Applied int64 `json:"applied"`
	// Conflicts counts the writes that were refused by a condition.
	Conflicts int64 `json:"conflicts"`
	// Invalid counts malformed requests.
	Invalid int64 `json:"invalid"`
	// Outages counts requests that an outage refused.
	Outages int64 `json:"outages"`
	// LostRequests counts requests that were lost before they took effect.
	LostRequests int64 `json:"lost_requests"`
	// LostResponses counts requests whose answer was lost.
	LostResponses int64 `json:"lost_answers"`
}

// store is the part that the table and object stand-ins share.
type store struct {
	faults *injector

	mu       sync.Mutex
	counters Counters
	watch    chan struct{} // closed when the counters change
}

func newStore() store {
	return store{faults: newInjector(), watch: make(chan struct{})}
}

// SetFaults replaces the faults. Requests that a freeze held go on when the
// new faults do not freeze their class.
func (s *store) SetFaults(f Faults) error {
	return s.faults.set(f)
}

// Faults returns the faults with the numbers of requests that remain.
func (s *store) Faults() Faults {
	return s.faults.get()
}

// Close ends requests that are delayed or held by a freeze; they are lost.
func (s *store) Close() {
	s.faults.close()
}

// Counters returns the counters.
func (s *store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Changed returns a channel that is closed when a counter changes next.
func (s *store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch
}

func (s *store) count(change func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
	close(s.watch)
	s.watch = make(chan struct{})
}

// errOutage is the error of a 503.
var errOutage = errors.New("the service is down")

// admit applies the faults of a class to a request. ok is false when the
// request was answered. It panics with http.ErrAbortHandler when the request is
// lost, which closes the connection. loseAnswer goes to finish.
func (s *store) admit(w http.ResponseWriter, c class) (loseAnswer, ok bool) {
	switch s.faults.admit(c) {
	case fateOutage:
		s.count(func(c *Counters) { c.Outages++ })
		writeError(w, http.StatusServiceUnavailable, errOutage)
		return false, false
	case fateLoseRequest:
		s.count(func(c *Counters) { c.LostRequests++ })
		panic(http.ErrAbortHandler)
	case fateLoseAnswer:
		return true, true
	default:
		return false, true
	}
}

// finish loses the answer, or lets the handler write it.
func (s *store) finish(loseAnswer bool) {
	if loseAnswer {
		s.count(func(c *Counters) { c.LostResponses++ })
		panic(http.ErrAbortHandler)
	}
}

func (s *store) invalid(w http.ResponseWriter, status int, err error) {
	s.count(func(c *Counters) { c.Invalid++ })
	writeError(w, status, err)
}
