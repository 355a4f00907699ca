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

// Gate runs requests for the keys that this host holds.
type Gate interface {
	Serve(w http.ResponseWriter, r *http.Request, req gate.Request) error
}

// Peers sends control calls to other routers. CallFresh uses a new connection.
type Peers interface {
	Call(ctx context.Context, to ownership.Host, method string, params, response any) error
	CallFresh(ctx context.Context, to ownership.Host, method string, params, response any) error
}

// Budget limits the retries of each service.
type Budget interface {
	// RecordRequest counts a new request. share is the fraction of the requests
	// that may be retried.
	RecordRequest(service string, share float64)
	// AllowRetry deducts one retry from the budget and reports whether the budget
	// allowed it.
	AllowRetry(service string) bool
}

// Options configure an Entry.
type Options struct {
	// Self is this host.
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
	// MergeRecords merges ownership records received from other routers or from
	// the store into the route table.
	MergeRecords func(...ownership.Group)
	// ReadGroup reads the row of a group from the store. It is the last resort
	// when neither the holder nor the standby responds.
	ReadGroup func(ctx context.Context, service, id string) (ownership.Group, error)
	// AnyPeer returns another router to query for a record that this one lacks.
	// It may be nil.
	AnyPeer func() (ownership.Host, bool)
	// Budget limits retries.
	Budget Budget
	// OnCallerRegion is called with the region of the entry of each request, so
	// that placement can prefer that region. It may be nil.
	OnCallerRegion func(service string, h keyspace.Hash, region string)
	// Region is the region of this host. RegionOf returns the region of another
	// host, or "" if it is unknown, and may be nil. Both are used to count the
	// bytes sent between regions.
	Region   string
	RegionOf func(host string) string
	Log      *event.Logger
	Scope    tally.Scope
}

// Entry is the HTTP handler for callers.
type Entry struct {
	opts   Options
	hops   *hopClient
	owners *ownerLookup
	stats  *stats
	active atomic.Int64
}

// NewEntry returns an Entry.
func NewEntry(opts Options) *Entry {
	stats := newStats(opts)
	e := &Entry{opts: opts, hops: newHopClient(opts, stats), stats: stats}
	e.owners = newOwnerLookup(opts)
	return e
}

// Limits of retries.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
	// maxFreeRedirects is the number of first attempts of a request after which a
	// wrong-owner refusal is retried outside the budget. Such a retry only follows
	// a newer record, and the refused attempt costs the host nothing.
	maxFreeRedirects = 4
)

// InFlight returns the number of callers' requests in progress.
func (e *Entry) InFlight() int64 {
	return e.active.Load()
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	start := time.Now()
	if !e.opts.Ready() {
		e.refuse(w, nil, errkind.New(errkind.NotReady, "no release note has been loaded yet"))
		return
	}
	r, err := newRequest(in, e.opts.Services, start)
	if err == nil {
		var refused *errkind.Error
		if r.body, refused = receiveBody(w, in, r); refused != nil {
			err = refused
		}
	}
	if err != nil {
		e.refuse(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	w.Header().Set(HeaderRequestID, r.id)
	defer e.stats.recordRequest(r, start)
	if err := e.serve(ctx, w, r); err != nil {
		e.refuse(w, r, err)
	}
}

// serve makes attempts until one has responded to the caller or no retry is
// allowed. The error is that of the last attempt.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, r *request) error {
	e.opts.Budget.RecordRequest(r.service.Name, r.service.RetryShare)
	mayHaveRun := false
	for n := 0; ; n++ {
		err := e.attempt(ctx, w, r, n)
		if err == nil {
			return nil
		}
		unknown := errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown
		mayHaveRun = mayHaveRun || unknown
		delay, retry := e.shouldRetry(ctx, r, n, err)
		if !retry || !sleep(ctx, delay) {
			return finalError(ctx, r, err, mayHaveRun)
		}
		e.stats.countRetry(r, err)
	}
}

// finalError returns the error for the caller. If an earlier attempt may have
// run, the outcome is unknown even if the last attempt did not run.
func finalError(ctx context.Context, r *request, err error, mayHaveRun bool) error {
	if !mayHaveRun || errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown {
		return err
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run, and the deadline passed: %w", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run: %w", err)
}

// shouldRetry decides whether the request is retried after attempt n (from 0)
// failed with err, and returns the delay before the retry.
func (e *Entry) shouldRetry(ctx context.Context, r *request, n int, err error) (time.Duration, bool) {
	if ctx.Err() != nil || !r.body.replayable() {
		return 0, false
	}
	kind := errkind.Of(err)
	response := errkind.ResponseOf(kind)
	if response.Outcome == errkind.Unknown && !r.retrySafe() {
		return 0, false
	}
	if response.Outcome == errkind.Unknown && !r.idempotent && errors.Is(err, errRefusedByOwner) {
		// The owner's journal has recorded the outcome of this id as unknown, which
		// is final.
		return 0, false
	}
	if response.Outcome == errkind.NotRun && !response.Retryable && kind != errkind.Barred {
		return 0, false
	}
	if kind == errkind.NoOwner {
		// The owner lookup has already waited for a record.
		return 0, false
	}
	if kind == errkind.WrongOwner && n < maxFreeRedirects {
		return 0, true
	}
	if !e.opts.Budget.AllowRetry(r.service.Name) {
		return 0, false
	}
	return retryDelay(n, err), true
}

// errRefusedByOwner marks a refusal by the owner's gate, as opposed to a failure
// to reach it.
var errRefusedByOwner = errors.New("refused by the owner's gate")

// markOwnerRefusal returns err marked as a refusal by the owner's gate, with the
// same kind and detail.
func markOwnerRefusal(err error) error {
	var e *errkind.Error
	if !errors.As(err, &e) {
		e = errkind.New(errkind.Internal, "%w", err)
	}
	marked := *e
	marked.Err = errors.Join(errRefusedByOwner, e.Err)
	return &marked
}

// retryDelay returns the delay before the retry of attempt n: a random part of an
// exponential backoff, or at least the delay that the refusing host asks for, up to
// backoffMax. The delay of an overload refusal is not used.
func retryDelay(n int, err error) time.Duration {
	limit := min(backoffBase<<min(n, 10), backoffMax)
	delay := rand.N(limit)
	var e *errkind.Error
	if errors.As(err, &e) && e.Kind != errkind.Overloaded && e.RetryAfter > 0 {
		delay = max(delay, min(e.RetryAfter, backoffMax))
	}
	return delay
}

// sleep waits for d and reports whether ctx is still open.
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

// attempt makes attempt n: it sends the request once to the current owner. It
// returns nil if the caller has received a response.
func (e *Entry) attempt(ctx context.Context, w http.ResponseWriter, r *request, n int) error {
	record, err := e.owners.find(ctx, r)
	if err != nil {
		return err
	}
	if record.Holder.SameProcess(e.opts.Self) {
		return e.serveLocal(ctx, w, r, record, n)
	}
	err = e.hops.send(ctx, w, r, record, n)
	if err == nil {
		return nil
	}
	e.updateRoute(ctx, r, record, err)
	return err
}

// updateRoute updates the route table after a refused or failed attempt. If a retry
// is possible, it waits for a newer record.
func (e *Entry) updateRoute(ctx context.Context, r *request, record *ownership.Group, err error) {
	var wrong *wrongOwnerError
	if errors.As(err, &wrong) && wrong.record != nil {
		e.opts.MergeRecords(*wrong.record)
	}
	if !r.mayRetryAfter(err) {
		return
	}
	switch errkind.Of(err) {
	case errkind.PeerUnreachable, errkind.UpstreamDown:
		timeout := liveOwnerTimeout
		if errors.Is(err, errNoConnection) || errors.Is(err, errRefusedByOwner) {
			timeout = takeoverTimeout
		}
		e.owners.awaitNewer(ctx, r, record, timeout)
	case errkind.OutcomeUnknown, errkind.WrongOwner, errkind.LeaseLapsed, errkind.Draining:
		e.owners.awaitNewer(ctx, r, record, liveOwnerTimeout)
	}
}

// mayRetryAfter reports whether a retry is possible after err. If it is not, the
// request is refused without waiting for a newer record.
func (r *request) mayRetryAfter(err error) bool {
	unknown := errkind.ResponseOf(errkind.Of(err)).Outcome == errkind.Unknown
	return r.body.replayable() && (!unknown || r.idempotent || r.retrySafe() && !errors.Is(err, errRefusedByOwner))
}

// serveLocal makes attempt n at the gate of this host.
func (e *Entry) serveLocal(ctx context.Context, w http.ResponseWriter, r *request, record *ownership.Group, n int) error {
	in := r.in.Clone(ctx)
	in.Header = endToEndHeaders(r.in.Header)
	in.Body = r.body.open()
	in.ContentLength = r.body.length
	setOwnerHeaders(w, record)
	if e.opts.OnCallerRegion != nil && n == 0 {
		e.opts.OnCallerRegion(r.service.Name, r.hash, e.opts.Region)
	}
	err := e.opts.Gate.Serve(w, in, r.gateRequest(attemptID(r.id, n), record.Generation))
	if err == nil {
		return nil
	}
	clearOwnerHeaders(w)
	err = markOwnerRefusal(err)
	e.updateRoute(ctx, r, record, err)
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

// refuse writes err as the response. r is nil if the request was not parsed.
func (e *Entry) refuse(w http.ResponseWriter, r *request, err error) {
	if r != nil && r.in.Context().Err() != nil {
		// The caller has disconnected and does not read the response.
		e.stats.countRefusal(r, errkind.CallerLeft)
	} else {
		e.stats.countRefusal(r, errkind.Of(err))
	}
	clearOwnerHeaders(w)
	errkind.Write(w, err)
}
