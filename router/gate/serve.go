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

// job is one request on its way through the gate.
type job struct {
	gate     *Gate
	req      Request
	service  note.Service
	w        http.ResponseWriter
	r        *http.Request
	deadline time.Time
	body     *limitedBody
	// once is true for work that must not run twice.
	once bool
	// permit is the one under which the intent was written.
	permit ownership.Permit
	rec    *record
	// other is closed at the end of another attempt with the same key.
	other <-chan struct{}
	// entry is the request's entry for Resolve; nil for idempotent work.
	entry *tracked
}

// Serve runs one request at the upstream and writes the answer. A returned
// error means that nothing was written to w; it has a kind whose outcome is
// true of the work. When the answer is cut after its headers were sent, Serve
// panics with http.ErrAbortHandler so that a partial answer is never taken for
// a whole one.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, req Request) error {
	j, err := g.newJob(w, r, req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if !j.once {
		return j.serve(ctx)
	}
	return j.track(ctx)
}

// newJob checks what can be checked without waiting.
func (g *Gate) newJob(w http.ResponseWriter, r *http.Request, req Request) (*job, error) {
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
	return &job{
		gate: g, req: req, service: service, w: w, r: r, deadline: deadline,
		body: &limitedBody{from: r.Body, limit: service.MaxBody},
		once: !retry.Idempotent(r.Method, service.IdempotentMethods),
	}, nil
}

// track registers the request for Resolve while it is served.
func (j *job) track(ctx context.Context) error {
	g := j.gate
	g.mu.Lock()
	entry, err := g.requests.begin(g.now(), digestOf(j.req.ID))
	g.mu.Unlock()
	if err != nil {
		return err
	}
	j.entry = entry
	state := ResolveUnknown // stands when the handler is aborted
	defer func() { j.resolved(state, nil) }()
	err = j.serve(ctx)
	if err != nil && errkind.AnswerOf(errkind.Of(err)).Outcome == errkind.NotRun {
		state = ResolveNotRun
	}
	return err
}

// resolved records the end of the request for Resolve. Only the first call has
// an effect.
func (j *job) resolved(state ResolveState, kept *StoredResponse) {
	g := j.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.entry == nil || j.entry.state != ResolveRunning {
		return
	}
	owned := j.rec != nil
	if owned {
		kept = j.rec.answer()
	}
	g.requests.end(g.now(), digestOf(j.req.ID), j.entry, state, kept, owned)
}

// serve repeats the steps from parking to sending while the shard is closed or
// the generation changes in between.
func (j *job) serve(ctx context.Context) error {
	for {
		if err := j.gate.park(ctx, j.req.Service, j.req.Hash); err != nil {
			return err
		}
		again, err := j.pass(ctx)
		if !again {
			return err
		}
	}
}

// pass is one way through the gate. It returns true when the shard was closed
// before the request was sent, or when another attempt with the same
// idempotency key turned out not to have run.
func (j *job) pass(ctx context.Context) (again bool, err error) {
	permit, err := j.gate.permit(j.req.Service, j.req.Hash)
	if err != nil {
		return false, err
	}
	if j.req.Generation != 0 && j.req.Generation != permit.Generation {
		return false, errkind.New(errkind.WrongOwner, "the request is meant for generation %d, the present one is %d", j.req.Generation, permit.Generation)
	}
	j.permit = permit
	if !j.once || j.req.IdempotencyKey == "" {
		return j.admitted(ctx)
	}
	rec, v, err := j.begin()
	switch {
	case err != nil:
		return false, err
	case v == replay:
		return false, j.replay(rec)
	case v == wait:
		return j.await(ctx)
	}
	j.rec = rec
	defer j.endRecord()
	if err := j.replicate(ctx); err != nil {
		return false, err
	}
	return j.admitted(ctx)
}

// begin asks the journal.
func (j *job) begin() (*record, verdict, error) {
	g := j.gate
	key := j.req.IdempotencyKey
	a := attempt{
		service: j.req.Service, group: j.permit.GroupID,
		id: HashIdempotencyKey(key), fingerprint: Fingerprint(j.r.Method, j.req.Path, j.req.Service, j.req.Key),
		hash: j.req.Hash, window: j.service.IdempotencyWindow, issued: issuedAt(key),
		complete: g.complete(j.permit, j.service.IdempotencyWindow),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rec, v, err := g.journal.Begin(g.now(), a)
	if rec != nil {
		j.other = rec.ended()
	}
	return rec, v, err
}

// issuedAt returns the time in a UUIDv7, or zero.
func issuedAt(key string) time.Time {
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

// endRecord ends an entry that no other step has ended: the work did not run.
func (j *job) endRecord() {
	g := j.gate
	rec := j.rec
	g.mu.Lock()
	if !rec.running() {
		g.mu.Unlock()
		return
	}
	g.journal.Cancel(rec)
	entry := g.journal.entry(g.now(), rec)
	g.mu.Unlock()
	j.rec = nil
	g.copyLater(j.req, entry)
}

// replay writes the kept answer.
func (j *job) replay(rec *record) error {
	j.gate.mu.Lock()
	answer := rec.answer()
	j.gate.mu.Unlock()
	if answer == nil {
		return errkind.New(errkind.OutcomeUnknown, "the answer is no longer kept")
	}
	j.rec = rec
	j.resolved(ResolveDone, answer)
	j.writeKept(answer)
	return nil
}

// await waits for the end of another attempt with the same key.
func (j *job) await(ctx context.Context) (again bool, err error) {
	select {
	case <-j.other:
		return true, nil
	case <-ctx.Done():
		return false, errkind.New(errkind.OutcomeUnknown, "another request with the idempotency key is still running")
	}
}

// admitted waits for a slot and sends the request.
func (j *job) admitted(ctx context.Context) (again bool, err error) {
	g := j.gate
	queued := g.now()
	release, err := g.opts.Limiter.Acquire(ctx, j.req.Tenant, j.deadline)
	g.metrics.of(j.req.Service, j.req.Tenant).queueWait.RecordDuration(g.now().Sub(queued))
	if err != nil {
		return false, err
	}
	result := admit.Failed
	defer func() { release(result) }()
	f := &flight{
		id: j.req.ID, service: j.req.Service, hash: j.req.Hash, groupID: j.permit.GroupID,
		kind: j.service.Kind, settle: j.service.Settle, deadline: j.deadline,
	}
	if !g.enter(f, j.rec) {
		return true, nil
	}
	ok, err := j.confirm(ctx)
	if !ok || err != nil {
		g.leave(f)
		return !ok && err == nil, err
	}
	result, err = j.send(ctx, f)
	return false, err
}

// confirm checks the permit again, immediately before the request is sent. It
// returns false when the group changed: its standby may be another one, which
// must get the intent first.
func (j *job) confirm(ctx context.Context) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, notSent(ctx, "before the request was sent")
	}
	permit, err := j.gate.permit(j.req.Service, j.req.Hash)
	if err != nil {
		return false, err
	}
	if permit.GroupID != j.permit.GroupID || permit.Generation != j.permit.Generation || !permit.Standby.Same(j.permit.Standby) {
		// A generation that the sender named was checked on arrival. The
		// request did not arrive after the change.
		j.req.Generation = 0
		return false, nil
	}
	j.permit = permit
	return true, nil
}

// notAfter is the time until which the upstream may run the request.
func (j *job) notAfter() time.Time {
	end := j.permit.Until
	switch j.service.Kind {
	case note.Deadline:
		end = end.Add(j.service.RunLimit)
	case note.Fenced:
		end = j.gate.grantEnd(j.permit)
	}
	return earlier(end, j.deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// send passes the request to the upstream and its answer to the caller.
func (j *job) send(ctx context.Context, f *flight) (admit.Result, error) {
	g := j.gate
	notAfter := j.notAfter()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if j.service.Kind == note.Plain {
		defer j.cancelAtLapse(cancel)()
	}
	if j.r.ContentLength != 0 {
		// The upstream may answer before it has read the whole body. An error
		// means that the connection cannot do both at once.
		_ = http.NewResponseController(j.w).EnableFullDuplex()
	}
	g.depart(f, notAfter)
	start := g.now()
	answer, err := g.opts.Upstream.Do(ctx, upstream.Call{
		Method: j.r.Method, Path: j.req.Path, Host: j.r.Host, Header: j.r.Header,
		Body: j.body.reader(j.r.ContentLength), ContentLength: j.r.ContentLength,
		RequestID: j.req.ID, GroupID: j.permit.GroupID, Generation: j.permit.Generation,
		NotAfter: notAfter,
	})
	if err != nil {
		return j.failed(f, err)
	}
	defer answer.Body.Close()
	whole, err := j.deliver(f, answer)
	took := g.now().Sub(start)
	g.metrics.of(j.req.Service, j.req.Tenant).upstreamTime.RecordDuration(took)
	if g.opts.OnRequest != nil {
		g.opts.OnRequest(j.req.Service, j.req.Hash, took)
	}
	if !whole {
		return admit.Failed, err
	}
	if answer.Status == http.StatusServiceUnavailable {
		return admit.Shed, err
	}
	return admit.Completed, err
}

// cancelAtLapse cancels a request to a plain upstream when the lease ends
// without having been renewed. The returned function stops the watch.
func (j *job) cancelAtLapse(cancel context.CancelCauseFunc) (stop func()) {
	g := j.gate
	done := make(chan struct{})
	go func() {
		until := j.permit.Until
		for {
			timer := time.NewTimer(until.Sub(g.now()))
			select {
			case <-done:
				timer.Stop()
				return
			case <-timer.C:
			}
			permit, err := g.permit(j.req.Service, j.req.Hash)
			if err != nil || permit.GroupID != j.permit.GroupID {
				cancel(errkind.New(errkind.LeaseLapsed, "the lease lapsed while the request was under way"))
				return
			}
			until = permit.Until
		}
	}()
	return func() { close(done) }
}

// failed ends a request that got no answer.
func (j *job) failed(f *flight, err error) (admit.Result, error) {
	g := j.gate
	kind := errkind.Of(err)
	if errkind.AnswerOf(kind).Outcome == errkind.NotRun {
		g.leave(f)
		if j.body.exceeded() {
			err = errkind.New(errkind.TooLarge, "the body has more than the allowed %d bytes", j.service.MaxBody)
		}
		if kind == errkind.Overloaded {
			return admit.Shed, err
		}
		return admit.Failed, err
	}
	j.lose(f)
	if j.body.exceeded() {
		err = errkind.New(errkind.OutcomeUnknown, "the body has more than the allowed %d bytes, of which the upstream got a part", j.service.MaxBody)
	}
	return admit.Failed, err
}

// lose ends a request whose work may have run.
func (j *job) lose(f *flight) {
	g := j.gate
	g.linger(f)
	if j.rec == nil {
		return
	}
	g.mu.Lock()
	g.journal.MarkUnknown(g.now(), j.rec)
	entry := g.journal.entry(g.now(), j.rec)
	g.mu.Unlock()
	g.copyLater(j.req, entry)
}

// finish ends a request whose answer is whole. It runs before the answer is
// written where possible, so that a silent connection to the caller does not
// keep the answer from Resolve.
func (j *job) finish(f *flight, kept *StoredResponse) {
	g := j.gate
	g.leave(f)
	if j.rec == nil {
		j.resolved(ResolveDone, kept)
		return
	}
	g.mu.Lock()
	g.journal.MarkDone(g.now(), j.rec, kept)
	entry := g.journal.entry(g.now(), j.rec)
	g.mu.Unlock()
	j.resolved(ResolveDone, nil)
	g.copyLater(j.req, entry)
}

// limitedBody counts the bytes of a request body against the service's limit.
type limitedBody struct {
	from  io.Reader
	limit int64
	read  int64
	over  chan struct{}
}

var errBodyTooLarge = errors.New("the request body exceeds the limit")

// reader returns nil for a request without a body.
func (b *limitedBody) reader(length int64) io.Reader {
	if b.from == nil || b.from == http.NoBody || length == 0 {
		return nil
	}
	b.over = make(chan struct{})
	return b
}

// Read implements io.Reader. It is called by one goroutine.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		if n > 0 {
			select {
			case <-b.over:
			default:
				close(b.over)
			}
		}
		return 0, errBodyTooLarge
	}
	return n, err
}

// exceeded may be called by another goroutine than Read.
func (b *limitedBody) exceeded() bool {
	if b.over == nil {
		return false
	}
	select {
	case <-b.over:
		return true
	default:
		return false
	}
}
