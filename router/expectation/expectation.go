// Package expectation decides whether a request is sent to another router along with its
// body, or without it until that router has admitted the request, as with Expect:
// 100-continue in HTTP. While many requests to distant hosts are refused, their bodies are
// most of the traffic between regions. The package has no clock, network or goroutine.
package expectation

import (
	"math"
	"sync"
	"time"

	"burdockglade.dev/router/locality"
)

const (
	// minBodyBytes is the size below which a body is sent along: the request for it, and the
	// packets of its own, take as many bytes.
	minBodyBytes = 512
	// minRefusedShare is the share of refused requests from which bodies wait. Below it, the
	// round trip of the admitted requests costs more than the bodies of the refused ones.
	minRefusedShare = 0.25
	// minOffered is the number of requests that the share must rest on.
	minOffered = 4
	// memory is the time constant with which requests are forgotten.
	memory = 2 * time.Second
	// roundTripDivisor: the round trip takes at most 1/roundTripDivisor of the latency
	// objective.
	roundTripDivisor = 10
	// roundTripRise is the weight of a longer sample in the round trip. Refusals of requests
	// that waited in a queue come late, so that the shortest samples count.
	roundTripRise = 0.02
	// maxTargets bounds the targets that are known.
	maxTargets = 256
)

// Target is a set of hosts that are expected to refuse requests equally often: those of a
// service at the same distance.
type Target struct {
	Service  string
	Distance locality.Distance
}

// record is what is known of a target.
type record struct {
	// offered and refused are the numbers of requests, as of at, with older ones counting
	// less.
	offered, refused float64
	at               time.Time
	// roundTrip is about the shortest time until a refusal arrives.
	roundTrip time.Duration
}

// age reduces the weight of earlier requests.
func (r *record) age(now time.Time) {
	if r.at.IsZero() || !now.After(r.at) {
		r.at = now
		return
	}
	factor := math.Exp(-float64(now.Sub(r.at)) / float64(memory))
	r.offered, r.refused, r.at = r.offered*factor, r.refused*factor, now
}

// Refusals records which requests other routers refuse. The zero value is empty. It is safe
// for concurrent use.
type Refusals struct {
	mu       sync.Mutex
	byTarget map[Target]*record
}

// Observe records the response to a request. took is the time until it came.
func (r *Refusals) Observe(now time.Time, to Target, refused bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.byTarget[to]
	if rec == nil {
		if r.byTarget == nil || len(r.byTarget) >= maxTargets {
			r.byTarget = map[Target]*record{}
		}
		rec = &record{}
		r.byTarget[to] = rec
	}
	rec.age(now)
	rec.offered++
	if !refused {
		return
	}
	rec.refused++
	if rec.roundTrip == 0 || took < rec.roundTrip {
		rec.roundTrip = took
		return
	}
	rec.roundTrip += time.Duration(roundTripRise * float64(took-rec.roundTrip))
}

// Defers reports whether a request with the body and the latency objective is sent without
// its body at first. Bodies within a zone are sent along: their traffic is not billed.
func (r *Refusals) Defers(now time.Time, to Target, bodyBytes int, objective time.Duration) bool {
	if bodyBytes < minBodyBytes || to.Distance == locality.SameZone {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.byTarget[to]
	if rec == nil {
		return false
	}
	rec.age(now)
	return rec.offered >= minOffered && rec.refused >= minRefusedShare*rec.offered && rec.roundTrip <= objective/roundTripDivisor
}
