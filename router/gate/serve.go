package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/retry"
	"burdockglade.dev/router/upstream"
)

// requestHandler serves one request.
type requestHandler struct {
	gate     *Gate
	req      Request
	service  note.Service
	w        http.ResponseWriter
	r        *http.Request
	deadline time.Time
	body     *limitedBody
	// nonIdempotent is true if the work must not run twice.
	nonIdempotent bool
	// permit is the permit under which the intent was written.
	permit ownership.Permit
	// rec is the journal record of the request; nil if it has none.
	rec *record
	// duplicateEnded is closed when another attempt with the same idempotency
	// key ends.
	duplicateEnded <-chan struct{}
	// tracked is the state of the request for Resolve; nil for idempotent work.
	tracked *trackedRequest
}

// Serve sends one request to the upstream and writes the response to w. If it
// returns an error, nothing was written to w, and the outcome of the error's
// kind states whether the work ran. If the response is truncated after its
// headers were sent, Serve panics with http.ErrAbortHandler, so that the caller
// cannot mistake a partial response for a complete one.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, req Request) error {
	h, err := g.newHandler(w, r, req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), h.deadline)
	defer cancel()
	if !h.nonIdempotent {
		return h.serve(ctx)
	}
	return h.serveTracked(ctx)
}

// newHandler makes the checks that need no waiting and returns the handler of the
// request.
func (g *Gate) newHandler(w http.ResponseWriter, r *http.Request, req Request) (*requestHandler, error) {
	service, ok := g.opts.Service(req.Service)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %q is not defined", req.Service)
	}
	if req.ID == "" {
		return nil, errkind.New(errkind.BadRequest, "the request has no id")
	}
	if len(req.ID) > upstream.MaxRequestID {
		return nil, errkind.New(errkind.BadRequest, "the request id has %d bytes, at most %d are allowed", len(req.ID), upstream.MaxRequestID)
	}
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = g.now().Add(service.RequestTimeout)
	}
	if !deadline.After(g.now()) {
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the request arrived")
	}
	if service.MaxBody > 0 && r.ContentLength > service.MaxBody {
		return nil, errkind.New(errkind.TooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, service.MaxBody)
	}
	return &requestHandler{
		gate: g, req: req, service: service, w: w, r: r, deadline: deadline,
		body:          &limitedBody{from: r.Body, limit: service.MaxBody},
		nonIdempotent: !retry.Idempotent(r.Method, service.IdempotentMethods),
	}, nil
}

// serveTracked serves the request and records its state for Resolve.
func (h *requestHandler) serveTracked(ctx context.Context) error {
	g := h.gate
	g.mu.Lock()
	tracked, err := g.requests.register(g.now(), digestOf(h.req.ID))
	g.mu.Unlock()
	if err != nil {
		return err
	}
	h.tracked = tracked
	state := ResolveUnknown // remains if the handler panics
	defer func() { h.recordOutcome(state, nil) }()
	err = h.serve(ctx)
	if err != nil && errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.NotRun {
		state = ResolveNotRun
	}
	return err
}

// recordOutcome records the end of the request for Resolve. Only the first call
// has an effect. The response of a request with a journal record is taken from
// the journal.
func (h *requestHandler) recordOutcome(state ResolveState, response *StoredResponse) {
	g := h.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.tracked == nil || h.tracked.state != ResolveRunning {
		return
	}
	inJournal := h.rec != nil
	if inJournal {
		response = h.rec.response()
	}
	g.requests.end(g.now(), digestOf(h.req.ID), h.tracked, state, response, inJournal)
}

// serve waits until the shard is open and sends the request. It starts again if
// the shard closes or the generation changes before the request is sent.
func (h *requestHandler) serve(ctx context.Context) error {
	for {
		if err := h.gate.waitUntilOpen(ctx, h.req.Service, h.req.Hash); err != nil {
			return err
		}
		again, err := h.tryServe(ctx)
		if !again {
			return err
		}
	}
}

// tryServe checks the permit, records the intent and sends the request. It
// returns again=true if the shard was closed or the group changed before the
// request was sent, or if another attempt with the same idempotency key has
// ended.
func (h *requestHandler) tryServe(ctx context.Context) (again bool, err error) {
	permit, err := h.gate.currentPermit(h.req.Service, h.req.Hash)
	if err != nil {
		return false, err
	}
	if h.req.Generation != 0 && h.req.Generation != permit.Generation {
		return false, errkind.New(errkind.WrongOwner, "the request is for generation %d, the current one is %d", h.req.Generation, permit.Generation)
	}
	h.permit = permit
	if !h.nonIdempotent || h.req.IdempotencyKey == "" {
		return h.admitAndSend(ctx)
	}
	rec, v, err := h.beginRecord()
	switch {
	case err != nil:
		return false, err
	case v == decisionReplay:
		return false, h.writeReplay(rec)
	case v == decisionWait:
		return h.awaitDuplicate(ctx)
	}
	h.rec = rec
	defer h.cancelUnended()
	if err := h.replicateIntent(ctx); err != nil {
		return false, err
	}
	return h.admitAndSend(ctx)
}

// beginRecord looks up the idempotency key in the journal and begins a new record
// if the work may run.
func (h *requestHandler) beginRecord() (*record, decision, error) {
	g := h.gate
	key := h.req.IdempotencyKey
	a := attempt{
		service: h.req.Service, group: h.permit.GroupID,
		id: HashIdempotencyKey(key), fingerprint: Fingerprint(h.r.Method, h.req.Path, h.req.Service, h.req.Key),
		hash: h.req.Hash, window: h.service.IdempotencyWindow, issuedAt: uuidTime(key),
		journalComplete: g.journalComplete(h.permit, h.service.IdempotencyWindow),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rec, v, err := g.journal.Begin(g.now(), a)
	if rec != nil {
		h.duplicateEnded = rec.ended()
	}
	return rec, v, err
}

// uuidTime returns the timestamp in a UUIDv7, or the zero time for other keys.
func uuidTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// cancelUnended cancels the journal record if no other step has ended it: the
// work did not run.
func (h *requestHandler) cancelUnended() {
	g := h.gate
	rec := h.rec
	g.mu.Lock()
	if !rec.running() {
		g.mu.Unlock()
		return
	}
	g.journal.Cancel(rec)
	entry := g.journal.exportEntry(g.now(), rec)
	g.mu.Unlock()
	h.rec = nil
	g.queueForStandby(h.req, entry)
}

// writeReplay writes the stored response of an earlier attempt.
func (h *requestHandler) writeReplay(rec *record) error {
	h.gate.mu.Lock()
	response := rec.response()
	h.gate.mu.Unlock()
	if response == nil {
		return errkind.New(errkind.OutcomeUnknown, "the response is no longer stored")
	}
	h.rec = rec
	h.recordOutcome(ResolveDone, response)
	h.writeStored(response)
	return nil
}

// awaitDuplicate waits for the end of another attempt with the same idempotency
// key.
func (h *requestHandler) awaitDuplicate(ctx context.Context) (again bool, err error) {
	select {
	case <-h.duplicateEnded:
		return true, nil
	case <-ctx.Done():
		return false, errkind.New(errkind.OutcomeUnknown, "another request with the idempotency key is still running")
	}
}

// admitAndSend waits for a slot and sends the request. It returns again=true if
// the shard was closed or the group changed before the request was sent.
func (h *requestHandler) admitAndSend(ctx context.Context) (again bool, err error) {
	g := h.gate
	queuedAt := g.now()
	release, err := g.opts.Limiter.Acquire(ctx, h.req.Tenant, h.deadline)
	g.metrics.histogramsFor(h.req.Service, h.req.Tenant).queueWait.RecordDuration(g.now().Sub(queuedAt))
	if err != nil {
		return false, err
	}
	result := admit.Failed
	defer func() { release(result) }()
	inFlight := &inFlightRequest{
		id: h.req.ID, service: h.req.Service, hash: h.req.Hash, groupID: h.permit.GroupID,
		kind: h.service.Kind, settle: h.service.SettleTime, deadline: h.deadline,
	}
	if !g.addInFlight(inFlight, h.rec) {
		return true, nil
	}
	ok, err := h.recheckPermit(ctx)
	if !ok || err != nil {
		g.removeInFlight(inFlight)
		return !ok && err == nil, err
	}
	result, err = h.send(ctx, inFlight)
	return false, err
}

// recheckPermit checks the permit again, immediately before the request is sent.
// It returns false if the group changed: a new standby must acknowledge the
// intent before the request is sent.
func (h *requestHandler) recheckPermit(ctx context.Context) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, notSentError(ctx, "before the request was sent")
	}
	permit, err := h.gate.currentPermit(h.req.Service, h.req.Hash)
	if err != nil {
		return false, err
	}
	if permit.GroupID != h.permit.GroupID || permit.Generation != h.permit.Generation || !permit.Standby.SameProcess(h.permit.Standby) {
		// The generation that the sender expects was checked on arrival. The
		// request arrived before the change, so it must not be refused for it.
		h.req.Generation = 0
		return false, nil
	}
	h.permit = permit
	return true, nil
}

// notAfter returns the time until which the upstream may run the request.
func (h *requestHandler) notAfter() time.Time {
	end := h.permit.Until
	switch h.service.Kind {
	case note.Deadline:
		end = end.Add(h.service.RunLimit)
	case note.Fenced:
		end = h.gate.grantEnd(h.permit)
	}
	return earlier(end, h.deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// send sends the request to the upstream and the response to the caller.
func (h *requestHandler) send(ctx context.Context, inFlight *inFlightRequest) (admit.Result, error) {
	g := h.gate
	notAfter := h.notAfter()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if h.service.Kind == note.Plain {
		defer h.cancelOnLapse(cancel)()
	}
	if h.r.ContentLength != 0 {
		// The upstream may respond before it has read the whole body. If the
		// connection does not support full duplex, the request is sent without.
		_ = http.NewResponseController(h.w).EnableFullDuplex()
	}
	g.markSent(inFlight, notAfter)
	start := g.now()
	response, err := g.opts.Upstream.Do(ctx, upstream.Call{
		Method: h.r.Method, Path: h.req.Path, Host: h.r.Host, Header: h.r.Header,
		Body: h.body.reader(h.r.ContentLength), ContentLength: h.r.ContentLength,
		RequestID: h.req.ID, GroupID: h.permit.GroupID, Generation: h.permit.Generation,
		NotAfter: notAfter,
	})
	if err != nil {
		return h.endFailed(inFlight, err)
	}
	defer response.Body.Close()
	complete, err := h.forwardResponse(inFlight, response)
	elapsed := g.now().Sub(start)
	g.metrics.histogramsFor(h.req.Service, h.req.Tenant).upstreamTime.RecordDuration(elapsed)
	if g.opts.OnRequest != nil {
		g.opts.OnRequest(h.req.Service, h.req.Hash, elapsed)
	}
	if !complete {
		return admit.Failed, err
	}
	if response.Status == http.StatusServiceUnavailable {
		return admit.Shed, err
	}
	return admit.Completed, err
}

// cancelOnLapse cancels a request to a plain upstream once the lease expires
// without renewal. The returned function stops the watch of the lease.
func (h *requestHandler) cancelOnLapse(cancel context.CancelCauseFunc) (stop func()) {
	g := h.gate
	done := make(chan struct{})
	go func() {
		until := h.permit.Until
		for {
			timer := time.NewTimer(until.Sub(g.now()))
			select {
			case <-done:
				timer.Stop()
				return
			case <-timer.C:
			}
			permit, err := g.currentPermit(h.req.Service, h.req.Hash)
			if err != nil || permit.GroupID != h.permit.GroupID {
				cancel(errkind.New(errkind.LeaseLapsed, "the lease lapsed while the request was in progress"))
				return
			}
			until = permit.Until
		}
	}()
	return func() { close(done) }
}

// endFailed ends a request that got no response.
func (h *requestHandler) endFailed(inFlight *inFlightRequest, err error) (admit.Result, error) {
	g := h.gate
	kind := errkind.Of(err)
	if errkind.ResponseOf(kind).Outcome == errkind.NotRun {
		g.removeInFlight(inFlight)
		if h.body.exceeded() {
			err = errkind.New(errkind.TooLarge, "the body has more than the allowed %d bytes", h.service.MaxBody)
		}
		if kind == errkind.Overloaded {
			return admit.Shed, err
		}
		return admit.Failed, err
	}
	h.endUnknown(inFlight)
	if h.body.exceeded() {
		err = errkind.New(errkind.OutcomeUnknown, "the body has more than the allowed %d bytes, and the upstream received a part of it", h.service.MaxBody)
	}
	return admit.Failed, err
}

// endUnknown ends a request whose work may have run.
func (h *requestHandler) endUnknown(inFlight *inFlightRequest) {
	g := h.gate
	g.retainUntilEnd(inFlight)
	if h.rec == nil {
		return
	}
	g.mu.Lock()
	g.journal.MarkUnknown(g.now(), h.rec)
	entry := g.journal.exportEntry(g.now(), h.rec)
	g.mu.Unlock()
	g.queueForStandby(h.req, entry)
}

// endDone ends a request whose response arrived completely. Where possible it is
// called before the response is written, so that Resolve can return the response
// even if the connection to the caller stalls. response is nil if it is too large
// to store.
func (h *requestHandler) endDone(inFlight *inFlightRequest, response *StoredResponse) {
	g := h.gate
	g.removeInFlight(inFlight)
	if h.rec == nil {
		h.recordOutcome(ResolveDone, response)
		return
	}
	g.mu.Lock()
	g.journal.MarkDone(g.now(), h.rec, response)
	entry := g.journal.exportEntry(g.now(), h.rec)
	g.mu.Unlock()
	h.recordOutcome(ResolveDone, nil)
	g.queueForStandby(h.req, entry)
}

// limitedBody reads a request body and fails once it exceeds limit bytes; 0 means
// no limit.
type limitedBody struct {
	from  io.Reader
	limit int64
	read  int64
	// limitExceeded is closed once the body exceeds the limit; nil without a body.
	limitExceeded chan struct{}
}

var errBodyTooLarge = errors.New("the request body exceeds the limit")

// reader returns the reader of the body, or nil if the request has none.
func (b *limitedBody) reader(length int64) io.Reader {
	if b.from == nil || b.from == http.NoBody || length == 0 {
		return nil
	}
	b.limitExceeded = make(chan struct{})
	return b
}

// Read implements io.Reader. It must not be called concurrently.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		if n > 0 {
			select {
			case <-b.limitExceeded:
			default:
				close(b.limitExceeded)
			}
		}
		return 0, errBodyTooLarge
	}
	return n, err
}

// exceeded reports whether the body exceeds the limit. It is safe to call
// concurrently with Read.
func (b *limitedBody) exceeded() bool {
	if b.limitExceeded == nil {
		return false
	}
	select {
	case <-b.limitExceeded:
		return true
	default:
		return false
	}
}
