package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/route"
)

// Gate is the gate of this host.
type Gate interface {
	Serve(w http.ResponseWriter, r *http.Request, req gate.Request) error
}

// Peers sends control calls.
type Peers interface {
	Call(ctx context.Context, to ownership.Host, method string, params, answer any) error
	CallFresh(ctx context.Context, to ownership.Host, method string, params, answer any) error
}

// Budget limits the attempts of a service beyond the first.
type Budget interface {
	// RecordRequest counts a new request; share is the part of the requests that may
	// be repeated.
	RecordRequest(service string, share float64)
	// Retry takes one attempt from the budget and reports whether there was
	// one.
	AllowRetry(service string) bool
}

// Options configure an Entry.
type Options struct {
	Self ownership.Host
	// Services returns the definition of a service.
	Services func(name string) (note.Service, bool)
	// Ready reports whether the router has a configuration.
	Ready  func() bool
	Routes *route.Table
	Gate   Gate
	Peers  Peers
	// HopToken authenticates this router to the routers of owners.
	HopToken string
	// MergeRecords takes in records that came with answers.
	MergeRecords func(...ownership.Group)
	// ReadGroup reads a group row from the table service, as the last resort
	// when neither holder nor standby answers.
	ReadGroup func(ctx context.Context, service, id string) (ownership.Group, error)
	// AnyPeer returns some other router to ask for a record that this one lacks.
	// Nil is allowed.
	AnyPeer func() (ownership.Host, bool)
	// Budget limits attempts beyond the first.
	Budget Budget
	// OnCallerRegion is told the region through which a request for a position
	// entered, so that placement can prefer it. Nil is allowed.
	OnCallerRegion func(service string, h keyspace.Hash, region string)
	// Region is the region of this host, and RegionOf returns that of another
	// host or "". They serve the count of bytes between regions; RegionOf may
	// be nil.
	Region   string
	RegionOf func(host string) string
	Log      *event.Logger
	Scope    tally.Scope
}

// Entry is the caller-facing handler.
type Entry struct {
	o      Options
	hops   *hopClient
	finder *ownerLookup
	stats  *stats
	active atomic.Int64
}

// NewEntry returns the handler.
func NewEntry(o Options) *Entry {
	stats := newStats(o)
	e := &Entry{o: o, hops: newHopClient(o, stats), stats: stats}
	e.finder = newOwnerLookup(o)
	return e
}

// Times of repeated attempts.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
	// freeCorrections is the number of attempts per request that only follow a
	// newer record; they cost the owner nothing and are outside the budget.
	freeCorrections = 4
)

// InFlight returns the number of callers' requests that are being answered.
func (e *Entry) InFlight() int64 {
	return e.active.Load()
}

// ServeHTTP answers one caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	start := time.Now()
	if !e.o.Ready() {
		e.refuse(w, nil, errkind.New(errkind.NotReady, "no release note is in force yet"))
		return
	}
	r, err := newRequest(in, e.o.Services, start)
	if err == nil {
		r.body, err = newBody(in, r.service.MaxBody)
	}
	if err != nil {
		e.refuse(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	w.Header().Set(HeaderRequestID, r.id)
	defer e.stats.request(r, start)
	if err := e.serve(ctx, w, r); err != nil {
		e.refuse(w, r, err)
	}
}

// serve makes attempts until one answers the caller or no further attempt is
// allowed. The error is the reason of the last attempt.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, r *request) error {
	e.o.Budget.RecordRequest(r.service.Name, r.service.RetryShare)
	mayHaveRun := false
	for n := 0; ; n++ {
		err := e.attempt(ctx, w, r, n)
		if err == nil {
			return nil
		}
		unknown := errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown
		mayHaveRun = mayHaveRun || unknown
		wait, again := e.decide(ctx, r, n, err)
		if !again || !sleep(ctx, wait) {
			return finalError(ctx, r, err, mayHaveRun)
		}
		e.stats.retry(r, err)
	}
}

// finalError keeps a later not-run refusal from hiding that an earlier attempt
// may have run.
func finalError(ctx context.Context, r *request, err error, mayHaveRun bool) error {
	if !mayHaveRun || errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown {
		return err
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run, and the deadline passed: %w", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run: %w", err)
}

// decide tells whether and after which pause the request is sent again.
func (e *Entry) decide(ctx context.Context, r *request, n int, err error) (time.Duration, bool) {
	if ctx.Err() != nil || !r.body.replayable() {
		return 0, false
	}
	kind := errkind.Of(err)
	answer := errkind.ResponseOf(kind)
	if answer.Outcome == errkind.Unknown && !r.repeatable() {
		return 0, false
	}
	if answer.Outcome == errkind.Unknown && !r.idempotent && errors.Is(err, errOwnerAnswered) {
		// The owner's journal holds the id as unknown for good.
		return 0, false
	}
	if answer.Outcome == errkind.NotRun && !answer.Retryable && kind != errkind.Barred {
		return 0, false
	}
	if kind == errkind.NoOwner {
		// The finder has waited for a record already.
		return 0, false
	}
	if kind == errkind.WrongOwner && n < freeCorrections {
		return 0, true
	}
	if !e.o.Budget.AllowRetry(r.service.Name) {
		return 0, false
	}
	return pause(n, err), true
}

// errOwnerAnswered marks a refusal that came from the owner's gate, as opposed
// to a failure on the way there.
var errOwnerAnswered = errors.New("refused by the owner's gate")

// fromOwner marks the refusal of a gate and keeps its kind and detail.
func fromOwner(err error) error {
	var e *errkind.Error
	if !errors.As(err, &e) {
		e = errkind.New(errkind.Internal, "%w", err)
	}
	marked := *e
	marked.Err = errors.Join(errOwnerAnswered, e.Err)
	return &marked
}

func pause(n int, err error) time.Duration {
	limit := min(backoffBase<<min(n, 10), backoffMax)
	wait := rand.N(limit)
	var e *errkind.Error
	if errors.As(err, &e) && e.Kind != errkind.Overloaded && e.RetryAfter > 0 {
		wait = max(wait, min(e.RetryAfter, backoffMax))
	}
	return wait
}

// sleep waits and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends the request once to the present owner. It returns nil when the
// caller has its answer.
func (e *Entry) attempt(ctx context.Context, w http.ResponseWriter, r *request, n int) error {
	record, err := e.finder.owner(ctx, r)
	if err != nil {
		return err
	}
	if record.Holder.SameProcess(e.o.Self) {
		return e.local(ctx, w, r, record, n)
	}
	err = e.hops.send(ctx, w, r, record, n)
	if err == nil {
		return nil
	}
	e.afterHop(ctx, r, record, err)
	return err
}

// afterHop brings the route table up to date after a refused or failed hop.
func (e *Entry) afterHop(ctx context.Context, r *request, record *ownership.Group, err error) {
	var wrong *wrongOwnerError
	if errors.As(err, &wrong) && wrong.record != nil {
		e.o.MergeRecords(*wrong.record)
	}
	if !r.worthWaiting(err) {
		return
	}
	switch errkind.Of(err) {
	case errkind.PeerUnreachable, errkind.UpstreamDown:
		patience := shortPatience
		if errors.Is(err, errNoConnection) || errors.Is(err, errOwnerAnswered) {
			patience = lostPatience
		}
		e.finder.refresh(ctx, r, record, patience)
	case errkind.OutcomeUnknown, errkind.WrongOwner, errkind.LeaseLapsed, errkind.Draining:
		e.finder.refresh(ctx, r, record, shortPatience)
	}
}

// worthWaiting reports whether another attempt is allowed after the failure, so
// that a request that must be refused is refused at once.
func (r *request) worthWaiting(err error) bool {
	unknown := errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown
	return r.body.replayable() && (!unknown || r.idempotent || r.repeatable() && !errors.Is(err, errOwnerAnswered))
}

// local passes the request to the gate of this host.
func (e *Entry) local(ctx context.Context, w http.ResponseWriter, r *request, record *ownership.Group, n int) error {
	in := r.in.Clone(ctx)
	in.Header = endToEnd(r.in.Header)
	in.Body = r.body.open()
	in.ContentLength = r.body.length
	setOwner(w, record)
	if e.o.OnCallerRegion != nil && n == 0 {
		e.o.OnCallerRegion(r.service.Name, r.hash, e.o.Region)
	}
	err := e.o.Gate.Serve(w, in, r.gateRequest(attemptID(r.id, n), record.Generation))
	if err == nil {
		return nil
	}
	clearOwner(w)
	err = fromOwner(err)
	e.afterHop(ctx, r, record, err)
	return err
}

func (r *request) gateRequest(id string, generation uint64) gate.Request {
	return gate.Request{
		ID:             id,
		Service:        r.service.Name,
		Key:            r.key,
		Path:           r.in.URL.RequestURI(),
		Tenant:         r.tenant,
		IdempotencyKey: r.idempotencyKey,
		Hash:           r.hash,
		Deadline:       r.deadline,
		Generation:     generation,
	}
}

func (e *Entry) refuse(w http.ResponseWriter, r *request, err error) {
	if r != nil && r.in.Context().Err() != nil {
		// Nobody reads the answer; the outcome is still counted below.
		e.stats.refusal(r, errkind.CallerLeft)
	} else {
		e.stats.refusal(r, errkind.Of(err))
	}
	clearOwner(w)
	errkind.Write(w, err)
}
