package standin

import (
	"errors"
	"fmt"
	"slices"
	"sync"
)

const (
	// maxGrantRequests bounds the requests that one extension names.
	maxGrantRequests = 64
	// maxRequestID bounds the bytes of a request id.
	maxRequestID = 128
)

// Grant extends the grants of requests of a group.
type Grant struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// NotAfter is in Unix microseconds on the host's clock.
	NotAfter int64 `json:"not_after"`
	// Requests are the ids of the requests that the extension is for.
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
		if id == "" || len(id) > maxRequestID {
			return fmt.Errorf("request id of %d bytes: want 1 to %d", len(id), maxRequestID)
		}
	}
	return nil
}

// requestGrant is the right of one request to commit.
type requestGrant struct {
	group, id string
	end       int64 // Unix microseconds
}

// groupFence is what a fenced upstream knows of one group.
type groupFence struct {
	generation uint64 // highest seen
	running    map[*requestGrant]struct{}
}

// fence keeps the highest generation of each group and the grants of the
// requests at work.
type fence struct {
	mu     sync.Mutex
	groups map[string]*groupFence
}

func newFence() *fence {
	return &fence{groups: make(map[string]*groupFence)}
}

// fenceError is a refusal by the fence.
type fenceError struct{ reason string }

func (e *fenceError) Error() string { return e.reason }

// begin gives a request a grant of its own until its not-after time, at the
// time at in Unix microseconds. The caller must end it with release.
func (f *fence) begin(unit Unit, at int64) (*requestGrant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	have, err := f.pass(unit.Group, unit.Generation, unit.NotAfterMicros, at)
	if err != nil {
		return nil, err
	}
	r := &requestGrant{group: unit.Group, id: unit.RequestID, end: unit.NotAfterMicros}
	have.running[r] = struct{}{}
	return r, nil
}

// extend raises the grants of the named requests that are at work and have not
// lapsed: another host may have run the key since a lapse. A grant never
// shortens. The generation may be higher than that of the requests, because a
// holder that replaces its standby raises it while its requests are in flight.
func (f *fence) extend(g Grant, at int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	have, err := f.pass(g.Group, g.Generation, g.NotAfter, at)
	if err != nil {
		return err
	}
	for r := range have.running {
		if at < r.end && slices.Contains(g.Requests, r.id) {
			r.end = max(r.end, g.NotAfter)
		}
	}
	return nil
}

// pass refuses a generation below the highest seen and a passed not-after time.
// A message whose time has passed still proves that lower generations are over.
// The lock is held.
func (f *fence) pass(group string, generation uint64, notAfter, at int64) (*groupFence, error) {
	have, ok := f.groups[group]
	if !ok {
		have = &groupFence{running: make(map[*requestGrant]struct{})}
		f.groups[group] = have
	}
	if generation < have.generation {
		return nil, &fenceError{fmt.Sprintf("group %s: generation %d is lower than %d", group, generation, have.generation)}
	}
	have.generation = generation
	if notAfter <= at {
		return nil, &fenceError{fmt.Sprintf("group %s: not-after passed %d us ago", group, at-notAfter)}
	}
	return have, nil
}

// allows reports whether the request may commit at the time at.
func (f *fence) allows(r *requestGrant, at int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at >= r.end {
		return &fenceError{fmt.Sprintf("group %s: the grant of request %q ended %d us ago", r.group, r.id, at-r.end)}
	}
	return nil
}

// release forgets a request whose work has ended. r may be nil.
func (f *fence) release(r *requestGrant) {
	if r == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.groups[r.group].running, r)
}
