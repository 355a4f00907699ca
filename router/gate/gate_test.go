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

// fixture is a gate with fake dependencies, whose behaviour is set by the
// function fields.
type fixture struct {
	*Gate
	opts    Options
	service note.Service

	mu     sync.Mutex
	permit func() (ownership.Permit, error)
	do     func(ctx context.Context, call upstream.Call) (*upstream.Response, error)
	append func(standby ownership.Host, group GroupRef, entries []JournalEntry) error
	// extend handles an extension; nil acknowledges all.
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
func (f *fixture) Do(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
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

// sent returns the number of requests that were sent to the upstream.
func (f *fixture) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

var standby = ownership.Host{Name: "standby", Incarnation: 1}

// newFixture returns a gate on a host that holds group g at generation 3, under a
// lease that is always renewed.
func newFixture(t testing.TB, change func(*fixture)) *fixture {
	f := &fixture{service: note.DefaultService("s")}
	f.permit = func() (ownership.Permit, error) { return validPermit(3), nil }
	f.do = respondWith("ok")
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

// run runs the gate's background work until the test ends.
func (f *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
}

// validPermit returns a permit for group g whose lease ends after leaseTime.
func validPermit(generation uint64) ownership.Permit {
	return ownership.Permit{
		Service: "s", GroupID: "g", Generation: generation, Until: time.Now().Add(leaseTime),
		JournalComplete: true, Standby: standby,
	}
}

func lapsedPermit() (ownership.Permit, error) {
	return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "test")
}

func respondWith(body string) func(context.Context, upstream.Call) (*upstream.Response, error) {
	return func(context.Context, upstream.Call) (*upstream.Response, error) { return completeResponse(body), nil }
}

func completeResponse(body string) *upstream.Response {
	return &upstream.Response{
		Status: http.StatusOK, Header: http.Header{"X-Up": {"1"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

// truncated returns a response with a Content-Length of length whose body
// fails after the given part.
func truncated(length int64, body string) *upstream.Response {
	a := completeResponse(body)
	a.ContentLength = length
	a.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), failingReader{}))
	return a
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errkind.New(errkind.AnswerIncomplete, "test")
}

// respondAfter responds after d, unless the request is cancelled first.
func respondAfter(d time.Duration) func(context.Context, upstream.Call) (*upstream.Response, error) {
	return func(ctx context.Context, _ upstream.Call) (*upstream.Response, error) {
		select {
		case <-time.After(d):
			return completeResponse("ok"), nil
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

// post serves the request and returns the body of the response or the error. If
// the handler aborts, the error is errAborted.
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
		panic("Serve returned an error after it wrote to the response")
	}
	return w.Body.String(), err
}

type result struct {
	body string
	err  error
}

// postAsync starts post and returns once it waits or has ended.
func (f *fixture) postAsync(req Request) <-chan result {
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

// Guards against a request that is sent although the lease lapsed while it waited,
// or although it is for another generation.
func TestPermitIsRecheckedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		checks := 0
		f.permit = func() (ownership.Permit, error) {
			checks++
			if checks > 1 {
				return lapsedPermit()
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

// Guards against work that a fenced upstream starts after the lease, because the
// router's process was paused between the check of the permit and the send. The
// request carries the end of the lease that was checked.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		checked := time.Now()
		f.do = func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			if call.NotAfter.After(checked.Add(leaseTime)) {
				t.Errorf("the request may start %v after the check", call.NotAfter.Sub(checked))
			}
			time.Sleep(time.Second)
			if time.Now().After(call.NotAfter) {
				return nil, errkind.New(errkind.UpstreamRefused, "grant lapsed")
			}
			return completeResponse("ran"), nil
		}
		req := request("key")
		_, err := f.post(req)
		wantKind(t, err, errkind.UpstreamRefused)
		f.do = respondWith("ok")
		if body, err := f.post(request("key")); err != nil || body != "ok" {
			t.Errorf("work that did not run could not be retried: %q, %v", body, err)
		}
	})
}

// Guards against a NotAfter sent to the upstream that ignores the run limit or the
// deadline.
func TestNotAfterByUpstreamKind(t *testing.T) {
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

// Guards against a drain that ends too early or too late after a response was
// lost. It must last until the request's own grant, deadline or settle time has
// ended, and a later request of the group must not extend it.
func TestRequestWithoutResponseStaysInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[note.UpstreamKind]time.Duration{
			note.Fenced: leaseTime, note.Deadline: leaseTime + 300*time.Millisecond, note.Plain: 2 * time.Second,
		} {
			f := newFixture(t, func(f *fixture) { f.service.Kind = kind })
			f.do = func(context.Context, upstream.Call) (*upstream.Response, error) {
				return nil, errkind.New(errkind.OutcomeUnknown, "reset")
			}
			start := time.Now()
			f.post(request(""))
			f.do = respondWith("ok")
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

// Guards against work that continues at a plain upstream after the lease lapsed.
func TestPlainUpstreamRequestIsCancelledOnLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.service.Kind = note.Plain })
		f.run(t)
		f.do = respondAfter(3 * time.Second)
		start := time.Now()
		f.permit = func() (ownership.Permit, error) {
			if time.Since(start) > time.Second {
				return lapsedPermit()
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
		time.Sleep(f.service.SettleTime)
		synctest.Wait()
		if f.InFlight() != 0 {
			t.Error("the cancelled request counts as in flight after the settle time")
		}
	})
}

// Guards against work that runs twice because the same idempotency key arrives
// twice at once, and against a caller that gets no response.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = respondAfter(50 * time.Millisecond)
		first, second := f.postAsync(request("key")), f.postAsync(request("key"))
		for _, done := range []<-chan result{first, second} {
			if r := <-done; r.err != nil || r.body != "ok" {
				t.Errorf("got %q, %v", r.body, r.err)
			}
		}
		if body, err := f.post(request("key")); err != nil || body != "ok" {
			t.Errorf("a later duplicate got %q, %v", body, err)
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

// Guards against a duplicate that fails because the first attempt did not run, and
// against one that waits beyond its deadline.
func TestDuplicateOfWorkThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			time.Sleep(100 * time.Millisecond)
			f.do = respondWith("ok")
			return nil, errkind.New(errkind.Overloaded, "shed")
		}
		first := f.postAsync(request("key"))
		shortDeadline := request("key")
		shortDeadline.Deadline = time.Now().Add(50 * time.Millisecond)
		second, third := f.postAsync(shortDeadline), f.postAsync(request("key"))
		wantKind(t, (<-second).err, errkind.OutcomeUnknown)
		wantKind(t, (<-first).err, errkind.Overloaded)
		if r := <-third; r.err != nil || r.body != "ok" {
			t.Errorf("the duplicate got %q, %v", r.body, r.err)
		}
	})
}

// Guards against a truncated response that the caller mistakes for a complete one,
// and against a second run of its work.
func TestTruncatedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) { return truncated(10, "half"), nil }
		_, err := f.post(request("small"))
		wantKind(t, err, errkind.AnswerIncomplete)
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) { return truncated(-1, "half"), nil }
		if _, err := f.post(request("long")); err != errAborted {
			t.Errorf("got %v, want an aborted response", err)
		}
		if f.InFlight() != 2 {
			t.Errorf("%d requests in flight, want the 2 truncated ones", f.InFlight())
		}
		f.do = respondWith("ok")
		for _, key := range []string{"small", "long"} {
			_, err := f.post(request(key))
			wantKind(t, err, errkind.OutcomeUnknown)
		}
		if f.sent() != 2 {
			t.Errorf("%d requests sent, want 2", f.sent())
		}
	})
}

// Guards against work that continues after its caller disconnected, and against an
// error that reports it as not run.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = respondAfter(time.Minute)
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

// Guards against a wrong outcome if the deadline passes before or after the send.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.opts.Limiter = admit.NewLimiter(admit.LimiterOptions{Slots: 1}) })
		f.do = respondAfter(time.Minute)
		req := request("")
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		running := f.postAsync(req)
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

// Guards against a body beyond the limit that reaches the upstream, and against an
// error that reports the work as not run although a part of the body did.
func TestBodyLimit(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.service.MaxBody = 10 })
	_, err := f.serve(httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345678901")), request(""))
	wantKind(t, err, errkind.TooLarge)
	for kind, want := range map[errkind.Kind]errkind.Kind{
		errkind.OutcomeUnknown: errkind.OutcomeUnknown, errkind.UpstreamDown: errkind.TooLarge,
	} {
		f.do = func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
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

// Guards against requests that are sent for closed shards, against a drain that
// ends while a request is in progress, and against blocked requests that get no
// response.
func TestClosedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = respondAfter(300 * time.Millisecond)
		long := f.postAsync(request(""))
		shard := []keyspace.Shard{{First: 50, Last: 150}}
		c := f.CloseShards("s", shard)
		blocked := f.postAsync(request("key"))
		elsewhere := request("")
		elsewhere.Hash = 200
		open := f.postAsync(elsewhere)
		shortDeadline := request("")
		shortDeadline.Deadline = time.Now().Add(50 * time.Millisecond)
		wantKind(t, (<-f.postAsync(shortDeadline)).err, errkind.DeadlinePassed)
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
			t.Errorf("the key of a blocked request was exported as %v", entries)
		}
		c.Reject(errkind.New(errkind.WrongOwner, "moved"))
		wantKind(t, (<-blocked).err, errkind.WrongOwner)
		c = f.CloseService("s")
		blocked = f.postAsync(request("key"))
		if f.sent() != 2 {
			t.Errorf("%d requests sent, want 2", f.sent())
		}
		c.Reopen()
		if r := <-blocked; r.err != nil || r.body != "ok" {
			t.Errorf("after reopening: %q, %v", r.body, r.err)
		}
	})
}

// Guards against a request that is sent to a drained shard because the shard is
// closed between the check for closed shards and the count of requests in flight.
// Many requests run while the shards are closed and reopened.
func TestNothingRunsWhileClosedAndDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var running, closed atomic.Int32
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) {
			running.Add(1)
			defer running.Add(-1)
			time.Sleep(3 * time.Millisecond)
			if closed.Load() > 0 {
				t.Error("a request ran while its shard was closed and drained")
			}
			return completeResponse("ok"), nil
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

// Guards against the export of an intent whose request is blocked after the intent
// was written. The target of the move would refuse the idempotency key, because
// its work seems to have started.
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
		done := f.postAsync(request("key"))
		if err := c.WaitDrained(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.Reopen()
		if r := <-done; r.err != nil || f.sent() != 1 {
			t.Errorf("error %v, %d requests sent", r.err, f.sent())
		}
	})
}

// Guards against long requests whose grants are not extended, and against grants
// that outlast the lease.
func TestGrantExtensionsFollowLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.run(t)
		f.do = respondAfter(2 * time.Second)
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

// Guards against an unlimited number of requests that wait for closed shards.
func TestBlockedRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(f *fixture) { f.opts.BlockedLimit = 1 })
		c := f.CloseService("s")
		blocked := f.postAsync(request(""))
		wantKind(t, (<-f.postAsync(request(""))).err, errkind.Overloaded)
		c.Reopen()
		if r := <-blocked; r.err != nil {
			t.Error(r.err)
		}
	})
}

// Guards against work without a recorded intent: with a full journal, with a
// standby that refuses the intent and with one that is unreachable.
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
			t.Errorf("work without an idempotency key was refused by a full journal: %v", err)
		}
	})
}

// Guards against an intent that only a former standby holds, because the standby
// was replaced between the ack and the send.
func TestIntentIsReplicatedToNewStandby(t *testing.T) {
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
			if host.SameProcess(standby) && time.Since(start) > 0 {
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
		// The old standby acknowledged the intent, but was replaced before the send.
		if diff := cmp.Diff([]string{"standby3", "next4"}, acknowledged); diff != "" {
			t.Error(diff)
		}
		if f.calls[0].Generation != 4 || f.sent() != 1 {
			t.Errorf("%d requests sent, under generation %d", f.sent(), f.calls[0].Generation)
		}
	})
}

// Guards against an unlimited number of histograms, and against requests that are
// not reported to OnRequest.
func TestMetricsAndRequestCallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		var seen []string
		f := newFixture(t, func(f *fixture) {
			f.opts.Scope, f.opts.MaxTenants = scope, 2
			f.opts.OnRequest = func(service string, h keyspace.Hash, took time.Duration) {
				seen = append(seen, fmt.Sprint(service, uint64(h), " ", took))
			}
		})
		f.do = respondAfter(5 * time.Millisecond)
		for i := range 5 {
			req := request("")
			req.Tenant = fmt.Sprint(i)
			f.post(req)
		}
		if len(seen) != 5 || seen[0] != "s100 5ms" {
			t.Errorf("reported %v", seen)
		}
		if n := len(scope.Snapshot().Histograms()); n != 6 {
			t.Errorf("%d histograms, want 2 for each of 2 tenants and for all others", n)
		}
	})
}

// Guards against bodies of requests and responses that are not streamed, against
// the router's header fields in the upstream's response, and against a truncated
// response that the caller cannot detect. It uses real connections.
func TestStreamingOverHTTP(t *testing.T) {
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
		t.Errorf("the caller got %q without an error", rest)
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
