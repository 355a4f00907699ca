package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

const leaseTime = 500 * time.Millisecond

// fixture is a gate with fakes around it. Its fields may be changed before a
// request is served.
type fixture struct {
	*Gate
	opts    Options
	service note.Service

	mu     sync.Mutex
	permit func() (ownership.Permit, error)
	do     func(ctx context.Context, call upstream.Call) (*upstream.Answer, error)
	append func(standby ownership.Host, group GroupRef, entries []JournalEntry) error
	// extend answers an extension; nil acknowledges it.
	extend func(grant upstream.Grant) error
	calls  []upstream.Call
	grants []upstream.Grant
	syncs  []string
}

// Permit implements Authority.
func (f *fixture) Permit(string, keyspace.Hash) (ownership.Permit, error) {
	f.mu.Lock()
	permit := f.permit
	f.mu.Unlock()
	return permit()
}

// Do implements Upstream.
func (f *fixture) Do(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	do := f.do
	f.mu.Unlock()
	return do(ctx, call)
}

// Extend implements Upstream.
func (f *fixture) Extend(_ context.Context, grant upstream.Grant) error {
	f.mu.Lock()
	f.grants = append(f.grants, grant)
	extend := f.extend
	f.mu.Unlock()
	if extend == nil {
		return nil
	}
	return extend(grant)
}

// Append implements Replicator.
func (f *fixture) Append(_ context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry) error {
	if f.append == nil {
		return nil
	}
	return f.append(standby, group, entries)
}

// Sync implements Syncer.
func (f *fixture) Sync(_ context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry, first, last bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncs = append(f.syncs, fmt.Sprint(standby.Name, group.Generation, len(entries), first, last))
	return nil
}

func (f *fixture) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

var standby = ownership.Host{Name: "standby", Incarnation: 1}

// newFixture returns a gate that holds group g at generation 3 under a lease
// that is renewed for ever.
func newFixture(t testing.TB, change func(*fixture)) *fixture {
	f := &fixture{service: note.DefaultService("s")}
	f.permit = func() (ownership.Permit, error) { return validPermit(3), nil }
	f.do = answerWith("ok")
	f.opts = Options{
		Authority: f, Upstream: f, Replicator: f,
		Limiter: admit.NewLimiter(admit.LimiterOptions{Slots: 64}),
		Service: func(name string) (note.Service, bool) { return f.service, name == "s" },
	}
	if change != nil {
		change(f)
	}
	g, err := New(f.opts)
	if err != nil {
		t.Fatal(err)
	}
	f.Gate = g
	return f
}

// run starts the gate's background work until the test ends.
func (f *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
}

func validPermit(generation uint64) ownership.Permit {
	return ownership.Permit{
		Service: "s", GroupID: "g", Generation: generation, Until: time.Now().Add(leaseTime),
		JournalComplete: true, Standby: standby,
	}
}

func lapsed() (ownership.Permit, error) {
	return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "test")
}

func answerWith(body string) func(context.Context, upstream.Call) (*upstream.Answer, error) {
	return func(context.Context, upstream.Call) (*upstream.Answer, error) { return whole(body), nil }
}

func whole(body string) *upstream.Answer {
	return &upstream.Answer{
		Status: http.StatusOK, Header: http.Header{"X-Up": {"1"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

// cut is an answer that ends too early.
func cut(length int64, body string) *upstream.Answer {
	a := whole(body)
	a.ContentLength = length
	a.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), failing{}))
	return a
}

type failing struct{}

func (failing) Read([]byte) (int, error) {
	return 0, errkind.New(errkind.AnswerIncomplete, "test")
}

// after waits for d and answers, or ends with the request.
func after(d time.Duration) func(context.Context, upstream.Call) (*upstream.Answer, error) {
	return func(ctx context.Context, _ upstream.Call) (*upstream.Answer, error) {
		select {
		case <-time.After(d):
			return whole("ok"), nil
		case <-ctx.Done():
			return nil, errkind.New(errkind.OutcomeUnknown, "cancelled: %w", ctx.Err())
		}
	}
}

var lastID int

// request returns a POST with a deadline in 10 s. key may be empty.
func request(key string) Request {
	lastID++
	return Request{
		ID: fmt.Sprint("r", lastID), Service: "s", Key: "k", Path: "/s/k", IdempotencyKey: key,
		Hash: 100, Deadline: time.Now().Add(10 * time.Second),
	}
}

// post serves the request and returns the answer's body or the error. A
// handler that aborts gives errAborted.
func (f *fixture) post(req Request) (string, error) {
	return f.serve(httptest.NewRequest(http.MethodPost, "/", nil), req)
}

var errAborted = errors.New("aborted")

func (f *fixture) serve(r *http.Request, req Request) (body string, err error) {
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			err = errAborted
		}
	}()
	err = f.Serve(w, r, req)
	if err != nil && (w.Body.Len() > 0 || len(w.Header()) > 0) {
		panic("an error was returned after something was written")
	}
	return w.Body.String(), err
}

type result struct {
	body string
	err  error
}

func (f *fixture) async(req Request) <-chan result {
	done := make(chan result, 1)
	go func() {
		body, err := f.post(req)
		done <- result{body, err}
	}()
	synctest.Wait()
	return done
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("got %v, want %s", err, kind)
	}
}

// Guards against work sent under a lease that lapsed while the request waited,
// and against work meant for another generation.
func TestPermitIsCheckedImmediatelyBeforeTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		checks := 0
		f.permit = func() (ownership.Permit, error) {
			checks++
			if checks > 1 {
				return lapsed()
			}
			return validPermit(3), nil
		}
		_, err := f.post(request(""))
		wantKind(t, err, errkind.LeaseLapsed)
		f.permit = func() (ownership.Permit, error) {
			p := validPermit(3)
			p.Until = time.Now()
			return p, nil
		}
		_, err = f.post(request(""))
		wantKind(t, err, errkind.LeaseLapsed)
		f.permit = func() (ownership.Permit, error) { return validPermit(4), nil }
		old := request("")
		old.Generation = 3
		_, err = f.post(old)
		wantKind(t, err, errkind.WrongOwner)
		if f.sent() != 0 || f.InFlight() != 0 {
			t.Errorf("%d requests sent, %d in flight", f.sent(), f.InFlight())
		}
	})
}

// Guards against work that a fenced upstream starts after a pause of the
// router between check and send: the request carries the end of the lease that
// was checked.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		checked := time.Now()
		f.do = func(_ context.Context, call upstream.Call) (*upstream.Answer, error) {
			if call.NotAfter.After(checked.Add(leaseTime)) {
				t.Errorf("the request may start %v after the check", call.NotAfter.Sub(checked))
			}
			time.Sleep(time.Second)
			if time.Now().After(call.NotAfter) {
				return nil, errkind.New(errkind.UpstreamRefused, "grant lapsed")
			}
			return whole("ran"), nil
		}
		req := request("key")
		_, err := f.post(req)
		wantKind(t, err, errkind.UpstreamRefused)
		f.do = answerWith("ok")
		if body, err := f.post(request("key")); err != nil || body != "ok" {
			t.Errorf("work that did not run could not be repeated: %q, %v", body, err)
		}
	})
}

// Guards against a run limit or a deadline that is ignored in the end that the
// upstream is told.
func TestNotAfterByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[note.UpstreamKind]time.Duration{
			note.Fenced: leaseTime, note.Deadline: leaseTime + 300*time.Millisecond, note.Plain: leaseTime,
		} {
			f := newFixture(t, func(f *fixture) { f.service.Kind = kind })
			f.post(request(""))
			short := request("")
			short.Deadline = time.Now().Add(100 * time.Millisecond)
			f.post(short)
			if got := time.Until(f.calls[0].NotAfter); got != want {
				t.Errorf("%s: not-after in %v, want %v", kind, got, want)
			}
			if got := time.Until(f.calls[1].NotAfter); got != 100*time.Millisecond {
				t.Errorf("%s: not-after in %v with a deadline in 100ms", kind, got)
			}
		}
	})
}

// Guards against a drain that ends too early or too late after a lost answer:
// it lasts until the request's own grant, deadline or settle time has ended. A
// later request of the group does not prolong it.
func TestLostRequestStaysInFlightByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[note.UpstreamKind]time.Duration{
			note.Fenced: leaseTime, note.Deadline: leaseTime + 300*time.Millisecond, note.Plain: 2 * time.Second,
		} {
			f := newFixture(t, func(f *fixture) { f.service.Kind = kind })
			f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) {
				return nil, errkind.New(errkind.OutcomeUnknown, "reset")
			}
			start := time.Now()
			f.post(request(""))
			f.do = answerWith("ok")
			c := f.CloseService("s")
			time.Sleep(400 * time.Millisecond)
			c.Reopen()
			f.post(request(""))
			if err := f.CloseService("s").WaitDrained(t.Context()); err != nil || time.Since(start) != want {
				t.Errorf("%s: drained after %v, want %v (%v)", kind, time.Since(start), want, err)
			}
		}
	})
}

// Guards against work at a plain upstream that goes on after the lease.
func TestPlainUpstreamIsCancelledAtTheEndOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.service.Kind = note.Plain })
		f.run(t)
		f.do = after(3 * time.Second)
		start := time.Now()
		f.permit = func() (ownership.Permit, error) {
			if time.Since(start) > time.Second {
				return lapsed()
			}
			return validPermit(3), nil
		}
		_, err := f.post(request(""))
		wantKind(t, err, errkind.OutcomeUnknown)
		if took := time.Since(start); took < time.Second || took > time.Second+leaseTime {
			t.Errorf("cancelled after %v", took)
		}
		if len(f.grants) > 0 {
			t.Errorf("a plain upstream got %d grants", len(f.grants))
		}
		if f.InFlight() != 1 {
			t.Error("the cancelled request does not count as in flight")
		}
		time.Sleep(f.service.Settle)
		synctest.Wait()
		if f.InFlight() != 0 {
			t.Error("the cancelled request counts as in flight after the settle time")
		}
	})
}

// Guards against work that runs twice when the same key arrives twice at once,
// and against one of the callers getting no answer.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = after(50 * time.Millisecond)
		first, second := f.async(request("key")), f.async(request("key"))
		for _, done := range []<-chan result{first, second} {
			if r := <-done; r.err != nil || r.body != "ok" {
				t.Errorf("got %q, %v", r.body, r.err)
			}
		}
		if body, err := f.post(request("key")); err != nil || body != "ok" {
			t.Errorf("a later repeat got %q, %v", body, err)
		}
		if f.sent() != 1 {
			t.Errorf("the work ran %d times", f.sent())
		}
		other := request("key")
		other.Path = "/s/k/other"
		_, err := f.post(other)
		wantKind(t, err, errkind.FingerprintDiffer)
	})
}

// Guards against a duplicate that is lost when the first attempt did not run,
// and against one that waits past its deadline.
func TestDuplicateOfWorkThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = func(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
			time.Sleep(100 * time.Millisecond)
			f.do = answerWith("ok")
			return nil, errkind.New(errkind.Overloaded, "shed")
		}
		first := f.async(request("key"))
		impatient := request("key")
		impatient.Deadline = time.Now().Add(50 * time.Millisecond)
		second, third := f.async(impatient), f.async(request("key"))
		wantKind(t, (<-second).err, errkind.OutcomeUnknown)
		wantKind(t, (<-first).err, errkind.Overloaded)
		if r := <-third; r.err != nil || r.body != "ok" {
			t.Errorf("the duplicate got %q, %v", r.body, r.err)
		}
	})
}

// Guards against a partial answer that is taken for a whole one, and against a
// second run of its work.
func TestCutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) { return cut(10, "half"), nil }
		_, err := f.post(request("small"))
		wantKind(t, err, errkind.AnswerIncomplete)
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) { return cut(-1, "half"), nil }
		if _, err := f.post(request("long")); err != errAborted {
			t.Errorf("got %v, want an aborted answer", err)
		}
		if f.InFlight() != 2 {
			t.Errorf("%d requests in flight, want the 2 cut ones", f.InFlight())
		}
		f.do = answerWith("ok")
		for _, key := range []string{"small", "long"} {
			_, err := f.post(request(key))
			wantKind(t, err, errkind.OutcomeUnknown)
		}
		if f.sent() != 2 {
			t.Errorf("%d requests sent, want 2", f.sent())
		}
	})
}

// Guards against work that goes on for a caller that left, and against a
// refusal that calls it not run.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = after(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		req := request("key")
		_, err := f.serve(httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx), req)
		wantKind(t, err, errkind.OutcomeUnknown)
		_, err = f.serve(httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx), request(""))
		wantKind(t, err, errkind.CallerLeft)
		_, err = f.post(request("key"))
		wantKind(t, err, errkind.OutcomeUnknown)
	})
}

// Guards against a wrong outcome at the deadline, before and after the send.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.opts.Limiter = admit.NewLimiter(admit.LimiterOptions{Slots: 1}) })
		f.do = after(time.Minute)
		req := request("")
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		running := f.async(req)
		early := request("")
		early.Deadline = time.Now().Add(100 * time.Millisecond)
		_, err := f.post(early)
		wantKind(t, err, errkind.DeadlinePassed)
		wantKind(t, (<-running).err, errkind.OutcomeUnknown)
		late := request("")
		late.Deadline = time.Now()
		_, err = f.post(late)
		wantKind(t, err, errkind.DeadlinePassed)
		get := request("")
		get.Deadline = time.Now().Add(time.Millisecond)
		_, err = f.serve(httptest.NewRequest(http.MethodGet, "/", nil), get)
		wantKind(t, err, errkind.OutcomeUnknown)
	})
}

// Guards against a body above the limit that reaches the upstream, and against
// a refusal as not run when a part of it did.
func TestBodyLimit(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.service.MaxBody = 10 })
	_, err := f.serve(httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345678901")), request(""))
	wantKind(t, err, errkind.TooLarge)
	for kind, want := range map[errkind.Kind]errkind.Kind{
		errkind.OutcomeUnknown: errkind.OutcomeUnknown, errkind.UpstreamDown: errkind.TooLarge,
	} {
		f.do = func(_ context.Context, call upstream.Call) (*upstream.Answer, error) {
			got, err := io.ReadAll(call.Body)
			if err == nil || len(got) > 10 {
				t.Errorf("the upstream got %d bytes, error %v", len(got), err)
			}
			return nil, errkind.New(kind, "sending the body: %w", err)
		}
		r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("1234567890"), strings.NewReader("1")))
		r.ContentLength = -1
		_, err := f.serve(r, request(""))
		wantKind(t, err, want)
	}
}

// Guards against work for closed shards, against a drain that ends while a
// request is under way, and against parked requests that are lost.
func TestClosedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = after(300 * time.Millisecond)
		long := f.async(request(""))
		shard := []keyspace.Shard{{First: 50, Last: 150}}
		c := f.CloseShards("s", shard)
		parked := f.async(request("key"))
		elsewhere := request("")
		elsewhere.Hash = 200
		open := f.async(elsewhere)
		impatient := request("")
		impatient.Deadline = time.Now().Add(50 * time.Millisecond)
		wantKind(t, (<-f.async(impatient)).err, errkind.DeadlinePassed)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		wantKind(t, c.WaitDrained(ctx), errkind.Conflict)
		if r := <-long; r.err != nil {
			t.Error(r.err)
		}
		if err := c.WaitDrained(t.Context()); err != nil {
			t.Error(err)
		}
		if r := <-open; r.err != nil {
			t.Errorf("a request for an open shard: %v", r.err)
		}
		if entries := f.ExportJournal("s", shard); len(entries) != 0 {
			t.Errorf("the key of a parked request was exported as %v", entries)
		}
		c.Reject(errkind.New(errkind.WrongOwner, "moved"))
		wantKind(t, (<-parked).err, errkind.WrongOwner)
		c = f.CloseService("s")
		parked = f.async(request("key"))
		if f.sent() != 2 {
			t.Errorf("%d requests sent, want 2", f.sent())
		}
		c.Reopen()
		if r := <-parked; r.err != nil || r.body != "ok" {
			t.Errorf("after reopening: %q, %v", r.body, r.err)
		}
	})
}

// Guards against a request that slips through between the check of the closed
// shards and the count, under many closures and requests at once.
func TestNothingRunsWhileClosedAndDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var running, closed atomic.Int32
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) {
			running.Add(1)
			defer running.Add(-1)
			time.Sleep(3 * time.Millisecond)
			if closed.Load() > 0 {
				t.Error("a request ran while its shard was closed and drained")
			}
			return whole("ok"), nil
		}
		requests := make([]Request, 400)
		for i := range requests {
			requests[i] = request("")
			requests[i].IdempotencyKey = []string{"", requests[i].ID}[i%2]
		}
		var wg sync.WaitGroup
		for worker := range 20 {
			wg.Go(func() {
				for i := worker; i < len(requests); i += 20 {
					time.Sleep(time.Duration(i%7) * time.Millisecond)
					if _, err := f.post(requests[i]); err != nil {
						t.Error(err)
					}
				}
			})
		}
		for range 15 {
			time.Sleep(4 * time.Millisecond)
			c := f.CloseShards("s", []keyspace.Shard{{First: 0, Last: 1000}})
			<-c.Drained()
			closed.Add(1)
			time.Sleep(2 * time.Millisecond)
			if n := running.Load(); n != 0 || f.InFlight() != 0 {
				t.Errorf("%d requests run, %d in flight", n, f.InFlight())
			}
			closed.Add(-1)
			c.Reopen()
		}
		wg.Wait()
	})
}

// Guards against an intent of a request that is parked after it was written:
// the target of a move would refuse the key as begun.
func TestShardClosedBetweenIntentAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var c *ClosedShards
		f.append = func(_ ownership.Host, _ GroupRef, entries []JournalEntry) error {
			if c == nil && entries[0].State == Intent {
				c = f.CloseService("s")
				if exported := f.ExportJournal("s", c.shards); len(exported) != 0 {
					t.Errorf("exported %v", exported)
				}
			}
			return nil
		}
		done := f.async(request("key"))
		if err := c.WaitDrained(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.Reopen()
		if r := <-done; r.err != nil || f.sent() != 1 {
			t.Errorf("error %v, %d requests sent", r.err, f.sent())
		}
	})
}

// Guards against grants that are not extended for long requests, or that
// outlast the lease.
func TestGrantsFollowTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.run(t)
		f.do = after(2 * time.Second)
		start := time.Now()
		f.permit = func() (ownership.Permit, error) {
			p := validPermit(3)
			if time.Since(start) > time.Second {
				p.Until = start.Add(time.Second + leaseTime)
			}
			return p, nil
		}
		if _, err := f.post(request("")); err != nil {
			t.Fatal(err)
		}
		if len(f.grants) < 5 || len(f.grants) > 20 {
			t.Errorf("%d grants in a second", len(f.grants))
		}
		for _, g := range f.grants {
			if g.NotAfter.After(start.Add(time.Second+leaseTime)) || g.Generation != 3 || g.GroupID != "g" {
				t.Errorf("grant %+v, lease ended at %v", g, start.Add(time.Second+leaseTime))
			}
		}
	})
}

// Guards against unbounded waiting for closed shards.
func TestParkedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.opts.BlockedLimit = 1 })
		c := f.CloseService("s")
		parked := f.async(request(""))
		wantKind(t, (<-f.async(request(""))).err, errkind.Overloaded)
		c.Reopen()
		if r := <-parked; r.err != nil {
			t.Error(r.err)
		}
	})
}

// Guards against work without a recorded intent: at a full journal, at a
// standby that refuses and at one that cannot be reached.
func TestIntentMustBeRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.opts.Journal.Entries = 1 })
		refuse := func(kind errkind.Kind) func(ownership.Host, GroupRef, []JournalEntry) error {
			return func(ownership.Host, GroupRef, []JournalEntry) error { return errkind.New(kind, "test") }
		}
		f.append = refuse(errkind.JournalFull)
		_, err := f.post(request("a"))
		wantKind(t, err, errkind.JournalFull)
		f.append = refuse(errkind.PeerUnreachable)
		_, err = f.post(request("a"))
		wantKind(t, err, errkind.JournalUnsafe)
		if f.sent() != 0 {
			t.Fatal("work was sent without a recorded intent")
		}
		f.append = nil
		if _, err := f.post(request("a")); err != nil {
			t.Error(err)
		}
		_, err = f.post(request("b"))
		wantKind(t, err, errkind.JournalFull)
		if _, err := f.post(request("")); err != nil {
			t.Errorf("work without a key was refused at a full journal: %v", err)
		}
	})
}

// Guards against an intent that only a replaced standby holds.
func TestIntentGoesToTheNewStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		next := ownership.Host{Name: "next", Incarnation: 9}
		start := time.Now()
		f.permit = func() (ownership.Permit, error) {
			if time.Since(start) < 300*time.Millisecond {
				return validPermit(3), nil
			}
			p := validPermit(4)
			p.Standby = next
			return p, nil
		}
		var acknowledged []string
		f.append = func(host ownership.Host, group GroupRef, entries []JournalEntry) error {
			if host.Same(standby) && time.Since(start) > 0 {
				return errkind.New(errkind.PeerUnreachable, "lost")
			}
			if entries[0].State == Intent {
				acknowledged = append(acknowledged, fmt.Sprint(host.Name, group.Generation))
			}
			time.Sleep(400 * time.Millisecond)
			return nil
		}
		req := request("key")
		req.Generation = 3
		if _, err := f.post(req); err != nil {
			t.Fatal(err)
		}
		// The old standby acknowledged, but it was replaced before the send.
		if diff := cmp.Diff([]string{"standby3", "next4"}, acknowledged); diff != "" {
			t.Error(diff)
		}
		if f.calls[0].Generation != 4 || f.sent() != 1 {
			t.Errorf("%d requests sent, under generation %d", f.sent(), f.calls[0].Generation)
		}
	})
}

// Guards against histograms without bound and requests that placement does not
// see.
func TestLoadIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		var seen []string
		f := newFixture(t, func(f *fixture) {
			f.opts.Scope, f.opts.MaxTenants = scope, 2
			f.opts.OnRequest = func(service string, h keyspace.Hash, took time.Duration) {
				seen = append(seen, fmt.Sprint(service, uint64(h), " ", took))
			}
		})
		f.do = after(5 * time.Millisecond)
		for i := range 5 {
			req := request("")
			req.Tenant = fmt.Sprint(i)
			f.post(req)
		}
		if len(seen) != 5 || seen[0] != "s100 5ms" {
			t.Errorf("reported %v", seen)
		}
		if n := len(scope.Snapshot().Histograms()); n != 6 {
			t.Errorf("%d histograms, want 2 for each of 2 tenants and the rest", n)
		}
	})
}

// Guards against answers and bodies that are not streamed, router fields that
// leak out of the upstream, and a cut that the caller cannot see, over real
// connections.
func TestOverConnections(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Burdock-Error", "internal")
		http.NewResponseController(w).EnableFullDuplex()
		buffer := make([]byte, 4)
		for {
			n, err := io.ReadFull(r.Body, buffer)
			w.Write(buffer[:n])
			http.NewResponseController(w).Flush()
			if err != nil {
				break
			}
		}
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer up.Close()
	client := upstream.NewClient(upstream.ClientOptions{})
	client.SetTarget(strings.TrimPrefix(up.URL, "http://"), 8)
	f := newFixture(t, func(f *fixture) { f.opts.Upstream = client })
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := request("")
		req.Path = r.URL.Path
		if err := f.Serve(w, r, req); err != nil {
			errkind.Write(w, err)
		}
	}))
	defer front.Close()
	body, feed := io.Pipe()
	resp := make(chan *http.Response, 1)
	go func() {
		r, err := http.Post(front.URL+"/echo", "a/b", body)
		if err != nil {
			t.Error(err)
		}
		resp <- r
	}()
	feed.Write([]byte("ping"))
	r := <-resp
	defer r.Body.Close()
	got := make([]byte, 4)
	if _, err := io.ReadFull(r.Body, got); err != nil || string(got) != "ping" {
		t.Fatalf("got %q, %v before the request ended", got, err)
	}
	feed.Write([]byte("pong"))
	feed.Close()
	if rest, err := io.ReadAll(r.Body); err != nil || string(rest) != "pong" || r.Header.Get("Burdock-Error") != "" {
		t.Errorf("got %q, %v, header %v", rest, err, r.Header)
	}
	r, err := http.Post(front.URL+"/cut", "a/b", bytes.NewReader([]byte("half")))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if rest, err := io.ReadAll(r.Body); err == nil {
		t.Errorf("the caller took %q for a whole answer", rest)
	}
}

func BenchmarkServe(b *testing.B) {
	for _, key := range []string{"", "key"} {
		b.Run("key="+key, func(b *testing.B) {
			f := newFixture(b, func(f *fixture) { f.opts.Journal.Entries = 1 << 30 })
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.calls = f.calls[:0]
				f.requests = newRequestTable()
				req := Request{ID: "r", Service: "s", Key: "k", Path: "/s/k", Hash: 100, Deadline: time.Now().Add(time.Minute)}
				if key != "" {
					req.IdempotencyKey = fmt.Sprint(key, i)
				}
				if err := f.Serve(httptest.NewRecorder(), r, req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
