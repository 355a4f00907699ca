package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/h1"
	"burdockglade.dev/router/upstream"
)

const (
	// keptAnswerBytes is the size up to which an answer is read whole before it
	// is passed on, so that a broken one can be told from a whole one in time.
	keptAnswerBytes = 64 << 10
	// upstreamIdle is the longest time that a connection to the upstream is kept
	// unused.
	upstreamIdle = 8 * time.Second
	// onceIdle is that time for requests that must not run twice: a connection
	// that the upstream has forgotten loses the request, and nothing tells
	// whether it ran.
	onceIdle = 1500 * time.Millisecond
	// upstreamDial bounds the set-up of a local connection.
	upstreamDial = 250 * time.Millisecond
	// unackedLimit ends connections whose data the other side does not
	// acknowledge.
	unackedLimit = 500 * time.Millisecond
)

// gate passes calls on to the local upstream.
type gate struct {
	host    string
	headers Headers
	local   *localUpstream
	keys    *keyDriver
	limiter *admit.RankedLimiter
	client  *h1.Client
	log     *event.Logger
	// drainLimit is the time after the notice that the upstream leaves until
	// the last new request may be sent.
	drainLimit time.Duration
	// stopping is the time since this router began to stop, or 0.
	stopping func() time.Duration
}

// newUpstreamClient needs no bound on connections: the limiter keeps them below
// the upstream's slots, of which there are fewer.
func newUpstreamClient(address string) *h1.Client {
	return h1.New(connpool.Options{
		Address:     address,
		DialTimeout: upstreamDial,
		IdleTimeout: upstreamIdle,
		UserTimeout: unackedLimit,
	})
}

// serve passes one call on and returns what became of it.
func (g *gate) serve(ctx context.Context, c *Call) *Result {
	if err := g.check(time.Now(), c); err != nil {
		return g.withLoad(&Result{Err: err, Unreachable: err.Kind == errkind.UpstreamDown, Holder: g.otherHolder(c)})
	}
	work := admit.Work{Rank: c.Priority, Repeatable: c.Repeatable}
	if c.Keyed {
		g.keys.asked(c.Key, g.limiter.ServiceTime(work))
	}
	release, err := g.limiter.Acquire(ctx, work, admit.Wait{Patience: c.WaitPolicy, Goal: c.Goal, Deadline: c.Deadline})
	if err != nil {
		return g.withLoad(&Result{Err: asKind(err)})
	}
	if err := g.check(time.Now(), c); err != nil {
		release(admit.Failed)
		return g.withLoad(&Result{Err: err})
	}
	start := time.Now()
	r := g.send(ctx, c, release)
	if r.Err != nil {
		g.log.Log(eventUpstreamFailed, event.F("request", c.RequestID), event.F("caller", c.Caller), event.F("kind", string(r.Err.Kind)),
			event.F("instance", g.local.get().holder.Instance), event.F("arrived", r.Arrived), event.F("took_ms", time.Since(start).Milliseconds()), event.F("detail", r.Err.Detail))
	}
	return g.withLoad(r)
}

// otherHolder returns the other host that holds the call's key, if one is known.
func (g *gate) otherHolder(c *Call) string {
	if !c.Keyed {
		return ""
	}
	m, _ := g.keys.index.get(c.Service)
	if m == nil {
		return ""
	}
	if r := m.Find(c.Key); r != nil && r.Holder.Host != g.host {
		return r.Holder.Host
	}
	return ""
}

func asKind(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	return errkind.New(errkind.Internal, "%w", err)
}

func (g *gate) withLoad(r *Result) *Result {
	r.Load, r.HasLoad = g.load(), true
	return r
}

func (g *gate) load() fleet.Load {
	allowed, busy, waiting := g.limiter.Stats()
	return fleet.Load{Busy: busy, Waiting: waiting, Slots: allowed}
}

// check decides whether the local upstream may get the call.
func (g *gate) check(now time.Time, c *Call) *errkind.Error {
	s := g.local.get()
	switch {
	case !s.known:
		return errkind.New(errkind.UpstreamDown, "the upstream of %s has not announced itself", g.host)
	case s.service != c.Service:
		return errkind.New(errkind.WrongOwner, "the upstream of %s serves %s, not %s", g.host, s.service, c.Service)
	case !s.leaving.IsZero() && now.Sub(s.leaving) > g.drainLimit:
		return errkind.New(errkind.Draining, "the upstream of %s is leaving", g.host)
	case g.stopping() > otherNoticeTime && !c.Keyed, g.stopping() > noticeTime:
		return errkind.New(errkind.Draining, "the router of %s is stopping", g.host)
	case c.Keyed && !g.keys.holds(c.Key):
		return errkind.New(errkind.NoOwner, "the upstream of %s does not hold key %d", g.host, c.Key)
	}
	return nil
}

// send sends the call to the upstream. release is called when the upstream is
// done with it.
func (g *gate) send(ctx context.Context, c *Call, release func(admit.Result)) *Result {
	left := time.Until(c.Deadline)
	if left <= 0 {
		release(admit.Failed)
		return refused(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	instance := g.local.get().holder.Instance
	req := g.request(c, instance, left)
	resp, err := g.client.Do(ctx, req)
	if err != nil {
		release(admit.Failed)
		return g.sendFailed(ctx, err)
	}
	g.local.connected()
	return g.answer(c, resp, release)
}

func (g *gate) request(c *Call, instance string, left time.Duration) *h1.Request {
	header := upstream.EndToEnd(c.Header)
	header.Set(g.headers.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(g.headers.ExpectInstance, instance)
	header.Set(g.headers.Caller, c.Caller)
	req := &h1.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
		Matches: g.matches(c.RequestID),
	}
	if !c.Repeatable {
		req.MaxIdle = onceIdle
	}
	return req
}

// matches tells answers to the request from those to earlier ones.
func (g *gate) matches(id string) func(http.Header) bool {
	return func(h http.Header) bool {
		got := h.Get(g.headers.RequestID)
		return got == "" || got == id
	}
}

// sendFailed turns a request without an answer into a result.
func (g *gate) sendFailed(ctx context.Context, err error) *Result {
	var failure *connpool.Error
	if !errors.As(err, &failure) || failure.Sent {
		if ctx.Err() == nil {
			g.client.CloseIdle()
		}
		return &Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "the upstream got the request and did not answer: %w", err)}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refused(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	case ctx.Err() != nil:
		return refused(errkind.CallerLeft, "the caller left before the request was sent")
	}
	if errors.Is(err, connpool.ErrRefused) {
		g.local.refused(time.Now())
	}
	r := refused(errkind.UpstreamDown, "the upstream could not be reached: %w", err)
	r.Unreachable = true
	return r
}

// answer checks the upstream's answer.
func (g *gate) answer(c *Call, resp *h1.Response, release func(admit.Result)) *Result {
	if err := g.refusal(resp); err != nil {
		if c.Keyed && err.Kind == errkind.WrongOwner {
			g.keys.doubted(c.Key)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, keptAnswerBytes))
		_ = resp.Body.Close()
		release(admit.Shed)
		return &Result{Arrived: true, Err: err}
	}
	if err := g.distrust(c, resp); err != nil {
		_ = resp.Body.Close()
		release(admit.Failed)
		return &Result{Arrived: true, Err: err}
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, keptAnswerBytes))
	if err != nil {
		_ = resp.Body.Close()
		release(admit.Failed)
		return &Result{Arrived: true, Err: errkind.New(errkind.AnswerIncomplete, "the upstream's answer was cut: %w", err)}
	}
	r := &Result{Arrived: true, Status: resp.Status, Header: resp.Header, Length: resp.Length}
	if len(head) < keptAnswerBytes {
		_ = resp.Body.Close()
		release(admit.Completed)
		if c.Method != http.MethodHead {
			r.Length = int64(len(head))
		}
		r.Body = io.NopCloser(bytes.NewReader(head))
		return r
	}
	r.Body = &longAnswer{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), body: resp.Body, release: release}
	return r
}

// refusal returns an error for an answer that says that the work did not run.
func (g *gate) refusal(resp *h1.Response) *errkind.Error {
	if resp.Header.Get(g.headers.NotRun) == "" && resp.Status != http.StatusMisdirectedRequest {
		return nil
	}
	kind := errkind.UpstreamRefused
	if resp.Status == http.StatusMisdirectedRequest {
		kind = errkind.WrongOwner
	}
	return errkind.New(kind, "the upstream refused the work: status %d", resp.Status)
}

// distrust returns an error for an answer that must not be passed on: its
// status would promise that the work did not run, or it claims a success that
// the upstream's work did not sign.
func (g *gate) distrust(c *Call, resp *h1.Response) *errkind.Error {
	success := resp.Status/100 == 2
	switch {
	case promisesNotRun(resp.Status):
		return errkind.New(errkind.OutcomeUnknown, "the upstream answered status %d without saying that the work did not run", resp.Status)
	case success && resp.Header.Get(g.headers.Signature) == "":
		return errkind.New(errkind.OutcomeUnknown, "the upstream's answer is not signed")
	case success && resp.Header.Get(g.headers.RequestID) != c.RequestID:
		return errkind.New(errkind.OutcomeUnknown, "the upstream's answer names no request")
	case resp.Header.Get("Content-Encoding") != "":
		return errkind.New(errkind.OutcomeUnknown, "the upstream's answer is encoded")
	}
	return nil
}

// promisesNotRun reports whether callers take a status for a promise that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// longAnswer is an answer that is passed on while it arrives.
type longAnswer struct {
	io.Reader
	body    io.Closer
	release func(admit.Result)
}

// Close ends the answer.
func (a *longAnswer) Close() error {
	err := a.body.Close()
	if a.release != nil {
		a.release(admit.Completed)
		a.release = nil
	}
	return err
}
