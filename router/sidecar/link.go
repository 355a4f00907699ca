package sidecar

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/linkshare"
)

// linkScheduler schedules the responses to other routers on the link of this host. Nil
// schedules nothing.
type linkScheduler struct {
	log   *event.Logger
	scope tally.Scope

	mu    sync.Mutex
	link  *linkshare.Link
	sizes linkshare.Sizes
	// memory holds what is read from the upstream and not sent.
	memory *linkshare.Memory
	// open holds the transfers that are admitted and not ended.
	open map[*linkshare.Transfer]*linkTransfer
	// timer grants the next turn when it is due.
	timer *time.Timer
	// sampleSent returns how many bytes were acknowledged since its last call, and how many
	// are written and not acknowledged. Set before the first call is served.
	sampleSent func() (acked, queued int64)
	// sampling is true while the sampling of sampleSent goes on.
	sampling bool
	// narrow is true while the link carries much less than the settings say.
	narrow bool
}

// newLinkScheduler returns a scheduler for a link of the bandwidth in Mbit/s, or nil if
// that is 0. memory is the number of bytes that may be held for large responses.
func newLinkScheduler(mbps float64, memory int64, log *event.Logger, scope tally.Scope) *linkScheduler {
	if mbps <= 0 {
		return nil
	}
	return &linkScheduler{log: log, scope: scope, link: linkshare.New(mbps), memory: linkshare.NewMemory(memory), open: map[*linkshare.Transfer]*linkTransfer{}}
}

// linkTransfer is the response to a call of another router. It implements hop.Turns.
type linkTransfer struct {
	scheduler *linkScheduler
	ctx       context.Context
	deadline  time.Time
	class     linkshare.Class
	// share is the place in the schedule, or nil if the response needs none. The fields
	// from here on are guarded by linkScheduler.mu.
	share *linkshare.Transfer
	// sendTime is the expected time from the upstream's response until it has been sent.
	sendTime time.Duration
	ended    bool
	// held is the number of bytes of memory that are held for the call.
	held int64
	// stop ends the wait for the end of ctx.
	stop func() bool
	// turn receives a value when the next chunk may be sent.
	turn chan struct{}
}

// serve passes a call of another router on to the gate, unless its response could not be
// sent in time. The transfer is nil if the response is to be sent at once. It ends with
// ctx.
func (s *linkScheduler) serve(ctx context.Context, g *gate, c *Call) (*Result, *linkTransfer) {
	if s == nil {
		return g.serve(ctx, c), nil
	}
	c.transfer = &linkTransfer{
		scheduler: s, ctx: ctx, deadline: c.Deadline,
		class: linkshare.Class{Priority: c.Priority, Repeatable: c.Repeatable, Large: c.Large},
	}
	if err := s.admit(time.Now(), g, c); err != nil {
		return g.withLoad(&Result{Err: err}), nil
	}
	inTurns := false
	defer func() {
		if !inTurns { // also after a panic
			c.transfer.end()
		}
	}()
	r := g.serve(ctx, c)
	if inTurns = s.responded(time.Now(), c, r); !inTurns {
		return r, nil
	}
	return r, c.transfer
}

// admit reserves a part of the link if the response is expected to be large. It returns
// an error if the response would be late.
func (s *linkScheduler) admit(now time.Time, g *gate, c *Call) *errkind.Error {
	t := c.transfer
	s.mu.Lock()
	defer s.mu.Unlock()
	size, large := s.sizes.Expect(now, t.class)
	if !large || c.Method == http.MethodHead {
		size = 0
	}
	if (size == 0 && c.Stream == nil) || g.check(now, c) != nil {
		return nil // the gate refuses the call itself if its check fails
	}
	if err := s.reserveMemory(now, c, size); err != nil || size == 0 {
		return err
	}
	deadline := c.Deadline
	if left := g.graceLeft(); left < deadline.Sub(now) {
		deadline = now.Add(left) // this router ends
	}
	a := s.link.Admit(now, linkshare.Request{
		Bytes: size, Service: g.limiter.MeanServiceTime(c.workClass()),
		Goal: c.Goal, Deadline: deadline, Last: c.WaitPolicy == admit.UntilDeadline,
	})
	if a.Transfer == nil {
		s.hold(t, 0)
		s.sizes.Refused(now, t.class)
		return s.refused(c, size, a.RetryAfter)
	}
	t.sendTime = a.SendTime
	t.begin(a.Transfer)
	s.report(now)
	return nil
}

// refused returns the error for a call whose response of the size has no room.
func (s *linkScheduler) refused(c *Call, size int64, retryAfter time.Duration) *errkind.Error {
	s.countRefusal("backlog")
	s.log.Log(eventLinkFull, event.F("request", c.RequestID), event.F("caller", c.Caller), event.F("bytes", size),
		event.F("backlog_bytes", s.link.Backlog()), event.F("retry_ms", retryAfter.Milliseconds()))
	err := errkind.New(errkind.Overloaded, "the link has %d bytes to send; there is room for a response of %d bytes in %v", s.link.Backlog(), size, retryAfter)
	err.RetryAfter, err.Room = retryAfter, errkind.RoomForecast
	return err
}

func (s *linkScheduler) countRefusal(reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("link_refusals").Inc(1)
}

// responded records the result of a call. It reports whether the response is sent in
// turns.
func (s *linkScheduler) responded(now time.Time, c *Call, r *Result) bool {
	if r.Err != nil || r.Body == nil || c.Method == http.MethodHead {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := c.transfer
	if r.Length >= 0 && r.Status/100 == 2 {
		s.sizes.Observe(t.class, r.Length)
	}
	if t.ended || (r.Length >= 0 && r.Length <= linkshare.ChunkBytes) {
		return false
	}
	if t.share == nil {
		expected, _ := s.sizes.Expect(now, t.class)
		t.begin(s.link.Open(now, max(r.Length, expected, maxBufferedResponse)))
	}
	s.link.Ready(now, t.share, r.Length)
	s.holdResponse(t, r)
	s.report(now)
	return true
}

// charge records bytes that are sent at once.
func (s *linkScheduler) charge(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.Charge(time.Now(), n)
}

// Await implements hop.Turns.
func (t *linkTransfer) Await(n int) error {
	s := t.scheduler
	s.mu.Lock()
	if !t.ended {
		s.link.Queue(t.share, n)
		s.grant()
	}
	s.mu.Unlock()
	select {
	case <-t.turn:
		return nil
	case <-t.ctx.Done():
		return t.ctx.Err()
	}
}

// Deadline implements hop.Turns.
func (t *linkTransfer) Deadline() time.Time {
	return t.deadline
}

// begin gives the response a place in the schedule, until ctx ends. The mutex of
// the scheduler must be held.
func (t *linkTransfer) begin(share *linkshare.Transfer) {
	t.share, t.turn = share, make(chan struct{}, 1)
	t.scheduler.open[share] = t
	t.stop = context.AfterFunc(t.ctx, t.end)
	t.scheduler.startSampling()
}

// end frees the place in the schedule.
func (t *linkTransfer) end() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	s.hold(t, 0)
	if t.share != nil {
		t.stop()
		s.link.End(t.share)
		delete(s.open, t.share)
		s.report(time.Now())
	}
}

// expectedSendTime returns the expected time from the upstream's response until it has
// been sent to the other router.
func (t *linkTransfer) expectedSendTime() time.Duration {
	if t == nil {
		return 0
	}
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return t.sendTime
}

// grant lets the transfers whose turn it is go on. s.mu must be held.
func (s *linkScheduler) grant() {
	for {
		share, wait := s.link.Next(time.Now())
		if share != nil {
			s.open[share].turn <- struct{}{}
			continue
		}
		if wait > 0 {
			s.grantAfter(wait)
		}
		return
	}
}

func (s *linkScheduler) grantAfter(wait time.Duration) {
	if s.timer != nil {
		s.timer.Reset(wait)
		return
	}
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.grant()
	})
}

// report updates the metrics. s.mu must be held.
func (s *linkScheduler) report(now time.Time) {
	s.scope.Gauge("link_backlog_bytes").Update(float64(s.link.Backlog()))
	s.scope.Gauge("link_held_bytes").Update(float64(s.memory.Held()))
	s.scope.Gauge("link_taken").Update(s.link.Taken(now))
}

// startSampling samples what the link carries until no large response is left. s.mu must
// be held.
func (s *linkScheduler) startSampling() {
	if !s.sampling && s.sampleSent != nil {
		s.sampling = true
		time.AfterFunc(linkshare.SampleInterval, s.sample)
	}
}

func (s *linkScheduler) sample() {
	acked, queued := s.sampleSent()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.link.Observe(now, linkshare.Sample{Carried: acked, Queued: queued})
	s.report(now)
	s.reportRate(queued)
	s.sampling = false
	if len(s.open) > 0 {
		s.startSampling()
	}
}

// narrowShare and wideShare are the shares of the configured bandwidth below which a link
// is reported as narrow, and above which no more.
const (
	narrowShare = 0.7
	wideShare   = 0.9
)

// reportRate logs when the link becomes narrow or wide. s.mu must be held.
func (s *linkScheduler) reportRate(queued int64) {
	share := s.link.RateShare()
	s.scope.Gauge("link_rate_share").Update(share)
	if before := s.narrow; share < narrowShare || (before && share < wideShare) {
		s.narrow = true
		if !before {
			s.log.Log(eventLinkNarrow, event.F("share", share), event.F("queued_bytes", queued))
		}
	} else if s.narrow = false; before {
		s.log.Log(eventLinkWide, event.F("share", share))
	}
}

// linkField is the field of a response between routers that names the share of the
// responding host's link that is taken. Routers of earlier versions ignore it.
const linkField = "Burdock-Link"

const (
	// minReportedShare is the share of a link up to which it is not reported.
	minReportedShare = 0.25
	// maxReportedShare bounds the share that is sent and accepted.
	maxReportedShare = 10
)

// share returns the share of the link that is taken, for linkField, or "" if it is not
// reported. It is rounded to tenths, because the fields of a response are sent only if
// they differ from those of the one before.
func (s *linkScheduler) share(now time.Time) string {
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.link.Taken(now)
	if taken <= minReportedShare {
		return ""
	}
	return strconv.FormatFloat(math.Ceil(min(taken, maxReportedShare)*10)/10, 'f', 1, 64)
}

// decodeLinkShare returns 0 if the value is not one of share.
func decodeLinkShare(value string) float64 {
	share, err := strconv.ParseFloat(value, 64)
	if err != nil || !(share >= 0 && share <= maxReportedShare) {
		return 0
	}
	return share
}
