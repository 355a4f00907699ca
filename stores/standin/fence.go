package standin

import (
	"errors"
	"fmt"
	"slices"
	"sync"
)

const (
	// maxGrantRequests limits the request ids of one extension.
	maxGrantRequests = 64
	// maxRequestIDBytes limits the length of a request id.
	maxRequestIDBytes = 128
)

// Grant is a message that extends the grants of requests of one group.
type Grant struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// NotAfter is the new end of the grants, in Unix microseconds by the host's
	// clock.
	NotAfter int64 `json:"not_after"`
	// Requests lists the ids of the requests whose grants are extended.
	Requests []string `json:"requests"`
}

func (g Grant) check() error {
	if g.Group == "" || g.Generation == 0 || g.NotAfter <= 0 {
		return errors.New("want group, generation and not_after")
	}
	if n := len(g.Requests); n == 0 || n > maxGrantRequests {
		return fmt.Errorf("%d requests: want 1 to %d", n, maxGrantRequests)
	}
	for _, id := range g.Requests {
		if id == "" || len(id) > maxRequestIDBytes {
			return fmt.Errorf("request id has %d bytes: want 1 to %d", len(id), maxRequestIDBytes)
		}
	}
	return nil
}

// requestGrant is the permission of one request to commit until its end.
type requestGrant struct {
	group, id string
	end       int64 // Unix microseconds
}

// groupFence is the fencing state of one group.
type groupFence struct {
	generation uint64                     // highest received
	active     map[*requestGrant]struct{} // grants of the running requests
}

// fence tracks the highest generation of each group and the grants of the
// running requests.
type fence struct {
	mu     sync.Mutex
	groups map[string]*groupFence
}

func newFence() *fence {
	return &fence{groups: make(map[string]*groupFence)}
}

// fenceError is a rejection by the fence.
type fenceError struct{ reason string }

func (e *fenceError) Error() string { return e.reason }

// begin creates the grant of a request, which ends at its not-after time.
// nowMicros is the current time in Unix microseconds. The caller must call
// release when the work has ended.
func (f *fence) begin(unit Unit, nowMicros int64) (*requestGrant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := f.checkAndAdvance(unit.Group, unit.Generation, unit.NotAfterMicros, nowMicros)
	if err != nil {
		return nil, err
	}
	r := &requestGrant{group: unit.Group, id: unit.RequestID, end: unit.NotAfterMicros}
	state.active[r] = struct{}{}
	return r, nil
}

// extend extends the grants of the named running requests that have not lapsed.
// A lapsed grant is not extended, because another host may have served the key
// since. A grant is never shortened. The generation may be higher than that of
// the requests, because a holder that replaces its standby raises it while its
// requests are in flight.
func (f *fence) extend(g Grant, nowMicros int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := f.checkAndAdvance(g.Group, g.Generation, g.NotAfter, nowMicros)
	if err != nil {
		return err
	}
	for r := range state.active {
		if nowMicros < r.end && slices.Contains(g.Requests, r.id) {
			r.end = max(r.end, g.NotAfter)
		}
	}
	return nil
}

// checkAndAdvance rejects a generation below the highest received and a
// not-after time in the past, and otherwise returns the group's state. It
// records the generation even if the not-after time has passed, because the
// message still proves that lower generations have ended. The caller holds mu.
func (f *fence) checkAndAdvance(group string, generation uint64, notAfter, nowMicros int64) (*groupFence, error) {
	state, ok := f.groups[group]
	if !ok {
		state = &groupFence{active: make(map[*requestGrant]struct{})}
		f.groups[group] = state
	}
	if generation < state.generation {
		return nil, &fenceError{fmt.Sprintf("group %s: generation %d is lower than %d", group, generation, state.generation)}
	}
	state.generation = generation
	if notAfter <= nowMicros {
		return nil, &fenceError{fmt.Sprintf("group %s: not-after passed %d us ago", group, nowMicros-notAfter)}
	}
	return state, nil
}

// checkCommit returns an error unless the request may commit at nowMicros.
func (f *fence) checkCommit(r *requestGrant, nowMicros int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if nowMicros >= r.end {
		return &fenceError{fmt.Sprintf("group %s: the grant of request %q ended %d us ago", r.group, r.id, nowMicros-r.end)}
	}
	return nil
}

// release discards the grant of a request whose work has ended. r may be nil.
func (f *fence) release(r *requestGrant) {
	if r == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.groups[r.group].active, r)
}
