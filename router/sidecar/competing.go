package sidecar

import (
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/reservation"
)

const (
	// originField is the field of a request between routers with the originating host and the
	// kind of the attempt, see encodeOrigin. Routers of earlier versions pass it on to their
	// upstreams.
	originField = "Burdock-Origin"
	// roomField is the field of a refusal between routers with its errkind.Room.
	roomField = "Burdock-Retry"
	// finalAttempt marks an attempt after which no other host will be tried.
	finalAttempt = "final"
	// firstAttemptTolerance is how much shorter than the longest time left that of a first
	// attempt may be.
	firstAttemptTolerance = 10 * time.Millisecond
	// competitionLogInterval is the shortest time between two lines of event 1900.
	competitionLogInterval = 10 * time.Second
)

// encodeOrigin returns the fields that describe the attempt to the gate of another host. An
// attempt that does not wait for a slot and whose refusal is not final needs none.
func encodeOrigin(c *Call) []hop.Field {
	if c.Origin.Host == "" || (c.WaitPolicy == admit.NoWait && !c.Origin.Final && c.Origin.Return == reservation.FirstAttempt) {
		return nil
	}
	value := c.Origin.Host
	if c.Origin.Final {
		value += " " + finalAttempt
	}
	if c.Origin.Return != reservation.FirstAttempt {
		value += " " + c.Origin.Return.String()
	}
	return []hop.Field{{Name: originField, Value: value}}
}

// decodeOrigin decodes the value of originField, which is empty if there is none, and ignores
// words that it does not know.
func decodeOrigin(value string) admit.Origin {
	host, kind, _ := strings.Cut(value, " ")
	o := admit.Origin{Host: host}
	for word := range strings.FieldsSeq(kind) {
		if word == finalAttempt {
			o.Final = true
		} else if r := reservation.ParseReturn(word); r != reservation.FirstAttempt {
			o.Return = r
		}
	}
	return o
}

// encodeRoom returns the field for the time of a refusal.
func encodeRoom(err *errkind.Error) []hop.Field {
	if err.Room == errkind.RoomUnknown {
		return nil
	}
	return []hop.Field{{Name: roomField, Value: string(err.Room)}}
}

// decodeRoom decodes the value of roomField.
func decodeRoom(value string) errkind.Room {
	switch room := errkind.Room(value); room {
	case errkind.RoomLater, errkind.RoomForecast, errkind.RoomReserved:
		return room
	}
	return errkind.RoomUnknown
}

// returnTracker recognises requests that callers of this host repeat after a refusal.
type returnTracker struct {
	seed     maphash.Seed
	mu       sync.Mutex
	refusals reservation.Refusals
}

func newReturnTracker() *returnTracker { return &returnTracker{seed: maphash.MakeSeed()} }

// content returns a hash of what two attempts of a request have in common.
func (r *returnTracker) content(c *Call) uint64 {
	return maphash.Comparable(r.seed, struct {
		method, host, target string
		key                  uint16
	}{c.Method, c.Host, c.Target, c.Key})
}

// recognise sets what is known of an earlier attempt of the call. longest is the time left
// of first attempts, left that of the call.
func (r *returnTracker) recognise(now time.Time, c *Call, longest, left time.Duration) {
	if r == nil || left >= longest-firstAttemptTolerance {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals.Len() == 0 {
		return
	}
	c.earlierRefusal, c.Origin.Return = r.refusals.Take(now, c.route.Name, r.content(c), c.Deadline)
	c.returnKind = c.Origin.Return
}

// recordRefusal records the refusal of a call if it names a time with capacity. A call that
// came back too early is told its time again.
func (r *returnTracker) recordRefusal(now time.Time, c *Call, res *Result) {
	if r == nil || c.ofRun.known || !res.notRun() || res.Err.Kind != errkind.Overloaded {
		return
	}
	f := reservation.Refusal{
		Route: c.route.Name, Content: r.content(c), Deadline: c.Deadline, Host: res.Host,
		RetryAt: now.Add(res.Err.RetryAfter), Reserved: res.Err.Room == errkind.RoomReserved,
	}
	if c.returnKind == reservation.Early {
		earlier := &c.earlierRefusal
		f.Host, f.RetryAt, f.Reserved, f.ExpectedAt = earlier.Host, earlier.RetryAt, earlier.Reserved, earlier.ExpectedAt
		res.Err.RetryAfter, res.Err.Room = f.RetryAt.Sub(now), errkind.RoomLater
	} else {
		if res.Err.Room != errkind.RoomLater && res.Err.Room != errkind.RoomReserved {
			return // the gate has no account of the refusal
		}
		f.ExpectedAt = now.Add(min(res.Err.RetryAfter, c.Deadline.Sub(now)/retryAfterDivisor))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals.Add(now, f)
}

// markAttempt sets what the gate of the host has to know of the attempt.
func (e *entry) markAttempt(c *Call, h *fleet.Host, tried []*fleet.Host) {
	if e.returnTracker == nil {
		return
	}
	c.Origin.Host = e.host
	c.Origin.Final = e.isFinal(c, h, tried)
	c.Origin.Return = c.returnKind
	if c.returnKind == reservation.Due && c.earlierRefusal.Host != h.Member().Host {
		c.Origin.Return = reservation.FirstAttempt // the reservation is at another host
	}
}

// isFinal reports whether no other host is tried if the host refuses the call for lack of
// room.
func (e *entry) isFinal(c *Call, h *fleet.Host, tried []*fleet.Host) bool {
	if c.Keyed || c.trialHost != "" || len(tried) >= maxHosts-1 {
		return true
	}
	now, allowed := time.Now(), e.regions.filter(c)
	if c.Large {
		return e.fleet.ChooseNearest(now, c.Service, append(slices.Clone(tried), h), allowed).Host == nil
	}
	return !e.fleet.HasOther(now, c.Service, h, tried, allowed)
}

// chooseReserving returns the host that has made the reservation of a returning call, or nil.
func (e *entry) chooseReserving(c *Call, tried []*fleet.Host) *fleet.Host {
	if c.returnKind != reservation.Due || len(tried) > 0 {
		return nil
	}
	now, allowed := time.Now(), e.regions.filter(c)
	h := e.fleet.ChooseAllowed(now, c.Service, nil, func(m fleet.Member) bool {
		return m.Host == c.earlierRefusal.Host && (allowed == nil || allowed(m))
	})
	if h == nil || !c.allowRequest(now, h) {
		return nil
	}
	return h
}

// competition counts the reservations of the local gate.
type competition struct {
	log      *event.Logger
	counters map[admit.ReservationEvent]tally.Counter

	mu sync.Mutex
	// counts are the events since the last line of event 1900.
	counts   map[admit.ReservationEvent]int
	loggedAt time.Time
}

// buildReservations lets the limiter of the gate make reservations if the settings allow it.
func (s *Sidecar) buildReservations(l *admit.PriorityLimiter) *returnTracker {
	if s.settings.Reservation.Share <= 0 {
		return nil
	}
	c := &competition{log: s.log, counters: map[admit.ReservationEvent]tally.Counter{}, counts: map[admit.ReservationEvent]int{}}
	for _, e := range admit.ReservationEvents {
		c.counters[e] = s.scope.Tagged(map[string]string{"event": string(e)}).Counter("reservations")
	}
	l.Reserve(admit.ReservationOptions{
		Options:         reservation.Options{Share: s.settings.Reservation.Share, LateShare: s.settings.Reservation.LateShare, Random: rand.Float64},
		HonouredDivisor: retryAfterDivisor,
		Count:           func(e admit.ReservationEvent, n int) { c.count(time.Now(), e, n) },
	})
	return newReturnTracker()
}

// count counts n events and logs a summary from time to time.
func (c *competition) count(now time.Time, e admit.ReservationEvent, n int) {
	c.counters[e].Inc(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[e] += n
	if now.Sub(c.loggedAt) < competitionLogInterval {
		return
	}
	c.loggedAt = now
	fields := make([]event.Field, 0, len(c.counts))
	for _, name := range admit.ReservationEvents {
		fields = append(fields, event.F(string(name), c.counts[name]))
	}
	clear(c.counts)
	go c.log.Log(eventCompetition, fields...) // the limiter is locked, and writing may block
}

// takeOrigin decodes the origin of a call of another router and removes its field.
func takeOrigin(header http.Header) admit.Origin {
	o := decodeOrigin(header.Get(originField))
	header.Del(originField)
	return o
}
