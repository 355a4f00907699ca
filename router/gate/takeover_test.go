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

// silentWriter is the connection of a hop that is lost.
type silentWriter struct {
	http.ResponseWriter
}

// Write implements http.ResponseWriter.
func (silentWriter) Write([]byte) (int, error) { return 0, errors.New("lost") }

// Guards against a false not-run, and against an answer that is lost although
// the gate has it.
func TestResolve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.do = after(100 * time.Millisecond)
		req := request("")
		done := f.async(req)
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
		f.do = answerWith("ok")
		unread := request("key of an unread answer")
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		func() {
			defer func() { recover() }()
			f.Serve(silentWriter{httptest.NewRecorder()}, r, unread)
		}()
		if a := f.resolve(unread); a.State != ResolveDone || string(a.Response.Body) != "ok" {
			t.Errorf("an answer that did not get through: %+v", a)
		}
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) {
			return nil, errkind.New(errkind.OutcomeUnknown, "reset")
		}
		lost := request("key")
		f.post(lost)
		if a := f.resolve(lost); a.State != ResolveUnknown {
			t.Errorf("lost work: %s", a.State)
		}
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) { return cut(-1, "half"), nil }
		aborted := request("")
		f.post(aborted)
		if a := f.resolve(aborted); a.State != ResolveUnknown {
			t.Errorf("cut answer: %s", a.State)
		}
		get := queryFor(f, request(""))
		get.Method = http.MethodGet
		if a := f.Resolve(t.Context(), get); a.State != ResolveUnknown {
			t.Errorf("idempotent work, which is not recorded: %s", a.State)
		}
		time.Sleep(endedKept)
		if a := f.resolve(req); a.State != ResolveDone {
			t.Errorf("at the end of the promised time: %s", a.State)
		}
		if a := f.resolve(request("")); a.State != ResolveNotRun || a.MaxRequestAge != endedKept {
			t.Errorf("an unseen request: %+v", a)
		}
	})
}

// Guards against work that runs after its sender was told that it did not: the
// request arrives late, or was refused and arrives again.
func TestBlockedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		late := request("key")
		if a := f.resolve(late); a.State != ResolveNotRun {
			t.Fatalf("a request that did not arrive: %s", a.State)
		}
		_, err := f.post(late)
		wantKind(t, err, errkind.Barred)
		f.do = func(context.Context, upstream.Call) (*upstream.Answer, error) {
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
		f.do = answerWith("ok")
		again := request("")
		f.post(again)
		_, err = f.post(again)
		wantKind(t, err, errkind.OutcomeUnknown)
		if f.sent() != sent+1 {
			t.Errorf("%d requests sent, want %d", f.sent(), sent+1)
		}
		f.requests.bound = len(f.requests.barred)
		if a := f.resolve(request("")); a.State != ResolveUnknown {
			t.Errorf("without room to block the id: %s", a.State)
		}
		time.Sleep(time.Second)
		f.requests.limit, f.requests.bound = len(f.requests.byID), maxBarred
		f.post(request(""))
		time.Sleep(3 * time.Second)
		if a := f.resolve(again); a.State != ResolveNotRun || a.MaxRequestAge != 3*time.Second {
			t.Errorf("a request that was forgotten 4s after its end: %+v", a)
		}
		f.do = after(time.Second)
		running := f.async(request(""))
		_, err = f.post(request(""))
		wantKind(t, err, errkind.Overloaded)
		<-running
		time.Sleep(barredKept)
		if f.requests.sweep(time.Now()); len(f.requests.barred)+len(f.requests.byID) != 0 || f.requests.bytes != 0 {
			t.Errorf("%d blocked, %d remembered, %d bytes after an hour", len(f.requests.barred), len(f.requests.byID), f.requests.bytes)
		}
	})
}

// pair is a holder whose intents go to the replica of another host.
type pair struct {
	holder, next *fixture
	replica      *Replica
}

func newPair(t *testing.T) *pair {
	p := &pair{holder: newFixture(t, nil), next: newFixture(t, nil), replica: replicaFor(100)}
	p.holder.append = func(_ ownership.Host, group GroupRef, entries []JournalEntry) error {
		return p.replica.Append(group, entries)
	}
	p.holder.run(t)
	return p
}

// takeOver makes the second host holder, as it does when the first one is lost.
func (p *pair) takeOver(t *testing.T) {
	complete := p.replica.Freeze("s", "g", 3)
	if err := p.replica.Promote(p.next.Gate, GroupRef{"s", "g", 4}); err != nil {
		t.Fatal(err)
	}
	since := time.Now()
	p.next.permit = func() (ownership.Permit, error) {
		permit := validPermit(4)
		permit.JournalComplete, permit.HolderSince = complete, since
		return permit, nil
	}
	wantKind(t, p.replica.Append(GroupRef{"s", "g", 3}, intents("late")), errkind.Conflict)
}

// Guards against a second run after a takeover, and against refusals of work
// that provably never ran.
func TestTakeoverWithCompleteJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.replica.Sync(GroupRef{"s", "g", 3}, nil, true, true)
		done, running := request("done"), request("running")
		p.holder.post(done)
		synctest.Wait()
		p.holder.do = after(time.Second)
		ended := p.holder.async(running)
		p.takeOver(t)
		if body, err := p.next.post(request("done")); err != nil || body != "ok" {
			t.Errorf("finished work: %q, %v", body, err)
		}
		_, err := p.next.post(request("running"))
		wantKind(t, err, errkind.OutcomeUnknown)
		if p.next.sent() != 0 {
			t.Error("work ran again after the takeover")
		}
		if _, err := p.next.post(request("new")); err != nil {
			t.Errorf("new work: %v", err)
		}
		other := queryFor(p.holder, done)
		if a := p.next.Resolve(t.Context(), other); a.State != ResolveDone || string(a.Response.Body) != "ok" {
			t.Errorf("resolve of finished work at the new holder: %+v", a)
		}
		for _, req := range []Request{running, request("unseen"), request("")} {
			if a := p.next.Resolve(t.Context(), queryFor(p.holder, req)); a.State != ResolveUnknown {
				t.Errorf("resolve of %q at the new holder: %s", req.IdempotencyKey, a.State)
			}
		}
		<-ended
	})
}

// Guards against unseen keys that run although an earlier holder may have run
// them, until one window has passed since the takeover.
func TestTakeoverWithIncompleteJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		time.Sleep(2 * p.next.service.IdempotencyWindow) // the process is older than the window
		done := request("done")
		p.holder.post(done)
		synctest.Wait()
		p.takeOver(t)
		if body, err := p.next.post(request("done")); err != nil || body != "ok" {
			t.Errorf("finished work: %q, %v", body, err)
		}
		_, err := p.next.post(request("unseen"))
		wantKind(t, err, errkind.OutcomeUnknown)
		if a := p.next.Resolve(t.Context(), queryFor(p.holder, done)); a.State != ResolveUnknown {
			t.Errorf("resolve with an incomplete journal: %s", a.State)
		}
		if _, err := p.next.post(request("")); err != nil {
			t.Errorf("work without a key: %v", err)
		}
		time.Sleep(p.next.service.IdempotencyWindow - time.Nanosecond)
		_, err = p.next.post(request("unseen"))
		wantKind(t, err, errkind.OutcomeUnknown)
		time.Sleep(time.Nanosecond)
		if _, err := p.next.post(request("unseen")); err != nil {
			t.Errorf("one window after the takeover: %v", err)
		}
	})
}

// Guards against a step of the wall clock that makes a new process believe that
// a window has passed since its takeover.
func TestYoungProcessDoesNotTrustAnOldTakeover(t *testing.T) {
	f := newFixture(t, nil)
	permit := ownership.Permit{HolderSince: time.Now().Add(-2 * time.Hour)}
	if f.complete(permit, time.Hour) {
		t.Error("the journal of a new process counts as complete")
	}
}

// Guards against a cancelled attempt that the standby takes for begun work.
func TestStandbyLearnsOfWorkThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.replica.Sync(GroupRef{"s", "g", 3}, nil, true, true)
		p.holder.do = func(context.Context, upstream.Call) (*upstream.Answer, error) {
			return nil, errkind.New(errkind.Overloaded, "shed")
		}
		_, err := p.holder.post(request("key"))
		wantKind(t, err, errkind.Overloaded)
		synctest.Wait()
		p.takeOver(t)
		if _, err := p.next.post(request("key")); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a standby that never gets the journal that was written before
// it was chosen, and against copies for records that did not change.
func TestJournalIsSentToANewStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.run(t)
		for i := range syncChunk + 2 {
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
			t.Error("the standby is not synchronised")
		}
		record.Generation, record.Standby = 5, ownership.Host{Name: "y"}
		record.ID, record.Shards = "h", []keyspace.Shard{{First: 0, Last: 100}}
		f.SetGroup(record)
		record.ID, record.Shards = "empty", nil
		f.SetGroup(record)
		synctest.Wait()
		f.DropGroup("s", "g")
		if f.Synced("s", "g") {
			t.Error("a dropped group counts as synchronised")
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
