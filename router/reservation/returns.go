package reservation

import (
	"slices"
	"time"
)

const (
	// maxRefusals bounds the refusals that an entry remembers.
	maxRefusals = 1024
	// deadlineTolerance is how far the deadlines of two attempts of one request may differ.
	// They are computed from the time left, which takes differently long to arrive.
	deadlineTolerance = 30 * time.Millisecond
)

// Return says how a request has come back.
type Return int

// The returns. The values are sent between hosts by name.
const (
	// FirstAttempt: the request is not known to have been refused before.
	FirstAttempt Return = iota
	// Due: the time of its reservation has come.
	Due
	// Early: it was told to return later.
	Early
	// Unreserved: it has no reservation.
	Unreserved
)

// returnNames are the values of Return that are sent between hosts.
var returnNames = [...]string{"first", "due", "early", "unreserved"}

// String returns the name of the value.
func (r Return) String() string { return returnNames[r] }

// ParseReturn returns the value with the name, or FirstAttempt if there is none.
func ParseReturn(name string) Return {
	return Return(max(slices.Index(returnNames[:], name), int(FirstAttempt)))
}

// Refusal is a request that was refused for lack of room.
type Refusal struct {
	Route string
	// Content is a hash of what two attempts of a request have in common.
	Content uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Host is the host that refused the request.
	Host string
	// RetryAt is the time at which the request was told to return, and Reserved is true if
	// capacity is reserved for it.
	RetryAt  time.Time
	Reserved bool
	// ExpectedAt is the time at which a caller that honours the refusal returns. It is before
	// RetryAt if callers do not wait as long.
	ExpectedAt time.Time
}

// Refusals holds the requests that an entry has refused and whose deadlines have not passed.
type Refusals struct {
	entries []Refusal
}

// Add records a refusal. Beyond the bound, the oldest one is forgotten.
func (r *Refusals) Add(now time.Time, f Refusal) {
	if len(r.entries) >= maxRefusals {
		r.entries = slices.DeleteFunc(r.entries, func(f Refusal) bool { return f.Deadline.Before(now) })
	}
	if len(r.entries) >= maxRefusals {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
	r.entries = append(r.entries, f)
}

// Take returns the refusal of the request that a new one with the route, content and
// deadline repeats, and forgets it. Of several, one with the same content comes first, then
// one that is due, then the one with the nearest deadline.
func (r *Refusals) Take(now time.Time, route string, content uint64, deadline time.Time) (Refusal, Return) {
	r.entries = slices.DeleteFunc(r.entries, func(f Refusal) bool { return f.Deadline.Before(now) })
	best, bestRank, bestDifference := -1, 0, time.Duration(0)
	for i := range r.entries {
		f := &r.entries[i]
		difference := f.Deadline.Sub(deadline).Abs()
		if difference > deadlineTolerance || f.Route != route {
			continue
		}
		rank := 0
		if f.Content == content {
			rank += 2
		}
		if f.returnAt(now) != Early {
			rank++
		}
		if best < 0 || rank > bestRank || (rank == bestRank && difference < bestDifference) {
			best, bestRank, bestDifference = i, rank, difference
		}
	}
	if best < 0 {
		return Refusal{}, FirstAttempt
	}
	f := r.entries[best]
	r.entries = slices.Delete(r.entries, best, best+1)
	return f, f.returnAt(now)
}

// Len returns the number of refusals that are remembered.
func (r *Refusals) Len() int { return len(r.entries) }

// returnAt says how the request has come back if it arrives now.
func (f *Refusal) returnAt(now time.Time) Return {
	switch {
	case now.Before(f.ExpectedAt.Add(-earlyTolerance)):
		return Early
	case f.Reserved && !now.Before(f.RetryAt.Add(-earlyTolerance)):
		return Due
	}
	return Unreserved
}
