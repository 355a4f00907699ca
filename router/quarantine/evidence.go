package quarantine

import (
	"slices"
	"time"
)

const (
	// maxLost bounds the requests that are kept while it is not known whether their
	// upstream has crashed.
	maxLost = 256
	// proofTime is the longest time between the loss of a request and the proof that its
	// upstream has crashed: an upstream is back some seconds after its crash.
	proofTime = 10 * time.Second
	// aliveAfter is the age from which a loss is disproved by a heartbeat, which may have
	// been sent shortly before the upstream crashed.
	aliveAfter = 200 * time.Millisecond
	// maxCrashed bounds the crashed incarnations that are remembered.
	maxCrashed = 8
)

// Evidence collects the requests that the upstream of one host has lost, until it is known
// whether its process has ended.
type Evidence struct {
	lost []loss
	// crashed are the incarnations that have crashed, oldest first.
	crashed []crashRecord
}

type loss struct {
	at      time.Time
	of      Incarnation
	request Request
}

type crashRecord struct {
	at time.Time
	of Incarnation
}

// Lost records that a request got no complete response from the incarnation. It reports
// whether the incarnation is known to have crashed; otherwise Ended returns the request.
func (e *Evidence) Lost(now time.Time, of Incarnation, r Request) (crashed bool) {
	if e.HasCrashed(now, of) {
		return true
	}
	e.lost = slices.DeleteFunc(e.lost, func(l loss) bool { return now.Sub(l.at) > proofTime })
	if len(e.lost) < maxLost {
		e.lost = append(e.lost, loss{at: now, of: of, request: r.bounded()})
	}
	return false
}

// HasCrashed reports whether the incarnation is known to have crashed lately.
func (e *Evidence) HasCrashed(now time.Time, of Incarnation) bool {
	return slices.ContainsFunc(e.crashed, func(x crashRecord) bool { return x.of == of && now.Sub(x.at) <= proofTime })
}

// Ended records that the process of the incarnation has ended without a notice. It returns
// the requests that it lost.
func (e *Evidence) Ended(now time.Time, of Incarnation) []Request {
	if !e.HasCrashed(now, of) {
		e.crashed = append(e.crashed, crashRecord{at: now, of: of})
		e.crashed = e.crashed[max(len(e.crashed)-maxCrashed, 0):]
	}
	var requests []Request
	e.lost = slices.DeleteFunc(e.lost, func(l loss) bool {
		if l.of == of && now.Sub(l.at) <= proofTime {
			requests = append(requests, l.request)
		}
		return l.of == of
	})
	return requests
}

// Alive records a heartbeat of the incarnation: what it lost before was cut off in another
// way.
func (e *Evidence) Alive(now time.Time, of Incarnation) {
	e.lost = slices.DeleteFunc(e.lost, func(l loss) bool { return l.of == of && now.Sub(l.at) > aliveAfter })
	e.crashed = slices.DeleteFunc(e.crashed, func(x crashRecord) bool { return x.of == of && now.Sub(x.at) > aliveAfter })
}
