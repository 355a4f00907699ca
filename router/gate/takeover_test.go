package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

func queryFor(f *fixture, req Request) ResolveQuery {
	return ResolveQuery{
		ID: req.ID, Service: "s", Hash: req.Hash, Method: http.MethodPost,
		IdempotencyKeyHash: HashIdempotencyKey(req.IdempotencyKey), Fingerprint: Fingerprint(http.MethodPost, req.Path, "s", req.Key),
		Incarnation: f.Incarnation(),
	}
}

func (f *fixture) resolve(req Request) ResolveResponse {
	return f.Resolve(context.Background(), queryFor(f, req))
}

// failingWriter is a response writer whose connection is lost.
type failingWriter struct {
	http.ResponseWriter
}

// Write implements http.ResponseWriter.
func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("lost") }

// Guards against a wrong not_run, and against a response that is lost although the
// gate has stored it.
func TestResolve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = respondAfter(100 * time.Millisecond)
		req := request("")
		done := f.postAsync(req)
		short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if a := f.Resolve(short, queryFor(f, req)); a.State != ResolveRunning {
			t.Errorf("while running: %s", a.State)
		}
		a := f.resolve(req)
		if a.State != ResolveDone || a.Response == nil || string(a.Response.Body) != "ok" || a.Incarnation != f.Incarnation() {
			t.Errorf("after the end: %+v", a)
		}
		<-done
		f.do = respondWith("ok")
		unread := request("key of an unread answer")
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		func() {
			defer func() { recover() }()
			f.Serve(failingWriter{httptest.NewRecorder()}, r, unread)
		}()
		if a := f.resolve(unread); a.State != ResolveDone || string(a.Response.Body) != "ok" {
			t.Errorf("a response that did not reach the caller: %+v", a)
		}
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) {
			return nil, errkind.New(errkind.OutcomeUnknown, "reset")
		}
		lost := request("key")
		f.post(lost)
		if a := f.resolve(lost); a.State != ResolveUnknown {
			t.Errorf("work without an outcome: %s", a.State)
		}
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) { return truncated(-1, "half"), nil }
		aborted := request("")
		f.post(aborted)
		if a := f.resolve(aborted); a.State != ResolveUnknown {
			t.Errorf("truncated response: %s", a.State)
		}
		get := queryFor(f, request(""))
		get.Method = http.MethodGet
		if a := f.Resolve(t.Context(), get); a.State != ResolveUnknown {
			t.Errorf("idempotent work, whose state is not recorded: %s", a.State)
		}
		time.Sleep(endedRetention)
		if a := f.resolve(req); a.State != ResolveDone {
			t.Errorf("at the end of the retention: %s", a.State)
		}
		if a := f.resolve(request("")); a.State != ResolveNotRun || a.MaxRequestAge != endedRetention {
			t.Errorf("a request that did not arrive: %+v", a)
		}
	})
}

// Guards against work that runs after Resolve returned not_run to its sender,
// because the request is delayed, or was refused and arrives again.
func TestBlockedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		delayed := request("key")
		if a := f.resolve(delayed); a.State != ResolveNotRun {
			t.Fatalf("a request that did not arrive: %s", a.State)
		}
		_, err := f.post(delayed)
		wantKind(t, err, errkind.Barred)
		f.do = func(context.Context, upstream.Call) (*upstream.Response, error) {
			return nil, errkind.New(errkind.UpstreamRefused, "test")
		}
		refused := request("")
		f.post(refused)
		if a := f.resolve(refused); a.State != ResolveNotRun {
			t.Errorf("a refused request: %s", a.State)
		}
		sent := f.sent()
		_, err = f.post(refused)
		wantKind(t, err, errkind.Barred)
		f.do = respondWith("ok")
		repeated := request("")
		f.post(repeated)
		_, err = f.post(repeated)
		wantKind(t, err, errkind.OutcomeUnknown)
		if f.sent() != sent+1 {
			t.Errorf("%d requests sent, want %d", f.sent(), sent+1)
		}
		f.requests.cancelledLimit = len(f.requests.cancelled)
		if a := f.resolve(request("")); a.State != ResolveUnknown {
			t.Errorf("without room to cancel the id: %s", a.State)
		}
		time.Sleep(time.Second)
		f.requests.trackedLimit, f.requests.cancelledLimit = len(f.requests.byID), maxCancelled
		f.post(request(""))
		time.Sleep(3 * time.Second)
		if a := f.resolve(repeated); a.State != ResolveNotRun || a.MaxRequestAge != 3*time.Second {
			t.Errorf("a request that was removed 4s after its end: %+v", a)
		}
		f.do = respondAfter(time.Second)
		running := f.postAsync(request(""))
		_, err = f.post(request(""))
		wantKind(t, err, errkind.Overloaded)
		<-running
		time.Sleep(cancelledRetention)
		if f.requests.removeExpired(time.Now()); len(f.requests.cancelled)+len(f.requests.byID) != 0 || f.requests.responseBytes != 0 {
			t.Errorf("%d cancelled, %d tracked, %d bytes after an hour", len(f.requests.cancelled), len(f.requests.byID), f.requests.responseBytes)
		}
	})
}

// pair is a holder and its standby. The holder's intents are copied to replica.
type pair struct {
	holder, standby *fixture
	replica         *Replica
}

func newPair(t *testing.T) *pair {
	p := &pair{holder: newFixture(t, nil), standby: newFixture(t, nil), replica: newTestReplica(100)}
	p.holder.append = func(_ ownership.Host, group GroupRef, entries []JournalEntry) error {
		return p.replica.Append(group, entries)
	}
	p.holder.run(t)
	return p
}

// takeOver makes the standby the holder, as after the loss of the former holder.
func (p *pair) takeOver(t *testing.T) {
	complete := p.replica.Freeze("s", "g", 3)
	if err := p.replica.Promote(p.standby.Gate, GroupRef{"s", "g", 4}); err != nil {
		t.Fatal(err)
	}
	since := time.Now()
	p.standby.permit = func() (ownership.Permit, error) {
		permit := validPermit(4)
		permit.JournalComplete, permit.HolderSince = complete, since
		return permit, nil
	}
	wantKind(t, p.replica.Append(GroupRef{"s", "g", 3}, intents("late")), errkind.Conflict)
}

// Guards against a second run of work after a takeover, and against the refusal of
// work that cannot have run.
func TestTakeoverWithCompleteJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.replica.Sync(GroupRef{"s", "g", 3}, nil, true, true)
		done, running := request("done"), request("running")
		p.holder.post(done)
		synctest.Wait()
		p.holder.do = respondAfter(time.Second)
		ended := p.holder.postAsync(running)
		p.takeOver(t)
		if body, err := p.standby.post(request("done")); err != nil || body != "ok" {
			t.Errorf("finished work: %q, %v", body, err)
		}
		_, err := p.standby.post(request("running"))
		wantKind(t, err, errkind.OutcomeUnknown)
		if p.standby.sent() != 0 {
			t.Error("work ran again after the takeover")
		}
		if _, err := p.standby.post(request("new")); err != nil {
			t.Errorf("new work: %v", err)
		}
		other := queryFor(p.holder, done)
		if a := p.standby.Resolve(t.Context(), other); a.State != ResolveDone || string(a.Response.Body) != "ok" {
			t.Errorf("resolve of finished work at the new holder: %+v", a)
		}
		for _, req := range []Request{running, request("unseen"), request("")} {
			if a := p.standby.Resolve(t.Context(), queryFor(p.holder, req)); a.State != ResolveUnknown {
				t.Errorf("resolve of %q at the new holder: %s", req.IdempotencyKey, a.State)
			}
		}
		<-ended
	})
}

// Guards against work with a new key that runs although the former holder may have
// run it, until one window has passed since the takeover.
func TestTakeoverWithIncompleteJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		time.Sleep(2 * p.standby.service.IdempotencyWindow) // the process is older than the window
		done := request("done")
		p.holder.post(done)
		synctest.Wait()
		p.takeOver(t)
		if body, err := p.standby.post(request("done")); err != nil || body != "ok" {
			t.Errorf("finished work: %q, %v", body, err)
		}
		_, err := p.standby.post(request("unseen"))
		wantKind(t, err, errkind.OutcomeUnknown)
		if a := p.standby.Resolve(t.Context(), queryFor(p.holder, done)); a.State != ResolveUnknown {
			t.Errorf("resolve with an incomplete journal: %s", a.State)
		}
		if _, err := p.standby.post(request("")); err != nil {
			t.Errorf("work without a key: %v", err)
		}
		time.Sleep(p.standby.service.IdempotencyWindow - time.Nanosecond)
		_, err = p.standby.post(request("unseen"))
		wantKind(t, err, errkind.OutcomeUnknown)
		time.Sleep(time.Nanosecond)
		if _, err := p.standby.post(request("unseen")); err != nil {
			t.Errorf("one window after the takeover: %v", err)
		}
	})
}

// Guards against a step of the wall clock after which a new process trusts an
// incomplete journal, because a window seems to have passed since its takeover.
func TestNewProcessDoesNotTrustOldTakeoverTime(t *testing.T) {
	f := newFixture(t, nil)
	permit := ownership.Permit{HolderSince: time.Now().Add(-2 * time.Hour)}
	if f.journalComplete(permit, time.Hour) {
		t.Error("the journal of a new process is reported as complete")
	}
}

// Guards against a cancelled attempt that is refused as outcome unknown after a
// takeover, because the standby still has its intent.
func TestStandbyReceivesCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.replica.Sync(GroupRef{"s", "g", 3}, nil, true, true)
		p.holder.do = func(context.Context, upstream.Call) (*upstream.Response, error) {
			return nil, errkind.New(errkind.Overloaded, "shed")
		}
		_, err := p.holder.post(request("key"))
		wantKind(t, err, errkind.Overloaded)
		synctest.Wait()
		p.takeOver(t)
		if _, err := p.standby.post(request("key")); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a new standby that does not get the entries written before it was
// chosen, and against copies for group records that did not change.
func TestJournalIsSentToNewStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.run(t)
		for i := range syncPartEntries + 2 {
			f.post(request(fmt.Sprint(i)))
		}
		record := ownership.Group{
			Service: "s", ID: "g", Generation: 4, Standby: ownership.Host{Name: "x"},
			Shards: []keyspace.Shard{{First: 0, Last: 50}},
		}
		f.SetGroup(record)
		synctest.Wait()
		f.SetGroup(record)
		synctest.Wait()
		if !f.Synced("s", "g") {
			t.Error("the standby does not have the journal")
		}
		record.Generation, record.Standby = 5, ownership.Host{Name: "y"}
		record.ID, record.Shards = "h", []keyspace.Shard{{First: 0, Last: 100}}
		f.SetGroup(record)
		record.ID, record.Shards = "empty", nil
		f.SetGroup(record)
		synctest.Wait()
		f.DropGroup("s", "g")
		if f.Synced("s", "g") {
			t.Error("a dropped group is reported as synced")
		}
		want := map[string]int{
			"x4 128 true false": 1, "x4 2 false true": 1,
			"y5 128 true false": 1, "y5 2 false true": 1, "y5 0 true true": 1,
		}
		got := map[string]int{}
		for _, s := range f.syncs {
			got[s]++
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
