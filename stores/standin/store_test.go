package standin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// serve sends a request to a handler without a network. It returns status 0 if
// the handler aborts the connection without a response.
func serve(h http.Handler, method, target, body string) (status int, response string) {
	return serveWithContext(context.Background(), h, method, target, body)
}

func serveWithContext(ctx context.Context, h http.Handler, method, target, body string) (status int, response string) {
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			status, response = 0, ""
		}
	}()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, target, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// writeA is a transaction that writes row "a" unconditionally.
const writeA = `{"id":"1","writes":[{"key":"a","value":"eA=="}]}`

// newTable returns a table service stand-in without rows.
func newTable() *standin.TableServer { return standin.NewTableServer(table.NewMemory()) }

// Guards against a stand-in that accepts malformed requests: a fault of a
// client would show only with the real service.
func TestTableServerIsStrict(t *testing.T) {
	s := newTable()
	cases := []struct {
		method, target, body string
		status               int
	}{
		{"POST", "/v1/txn", ``, 400},
		{"POST", "/v1/txn", `[]`, 400},
		{"POST", "/v1/txn", writeA + writeA, 400},
		{"POST", "/v1/txn", `{"id":"1","writes":[{"key":"a"}],"more":1}`, 400},
		{"POST", "/v1/txn", `{"id":"1","writes":[{"key":"a","value":"not base64"}]}`, 400},
		{"POST", "/v1/txn", `{"writes":[{"key":"a"}]}`, 400},
		{"POST", "/v1/txn", strings.Repeat(" ", 4<<20) + writeA, 413},
		{"PUT", "/v1/txn", writeA, 400},
		{"GET", "/v1/rows?limit=x", ``, 400},
		{"GET", "/v1/rows?limit=0", ``, 400},
		{"GET", "/v1/rows?limit=201", ``, 400},
		{"GET", "/v1/rows?limit=1&limit=2", ``, 400},
		{"GET", "/v1/rows?from=a", ``, 400},
		{"GET", "/v1/rows?prefix=%zz", ``, 400},
		{"GET", "/v1/rows/", ``, 400},
		{"GET", "/v1/rows/a?x=1", ``, 400},
		{"GET", "/v1/rows/a%00", ``, 400},
		{"DELETE", "/v1/rows/a", ``, 400},
		{"GET", "/", ``, 400},
		{"GET", "/v1/rows/a", ``, 404},
		{"POST", "/v1/txn", writeA, 200},
		{"GET", "/v1/rows/a", ``, 200},
		{"GET", "/v1/rows", ``, 200},
	}
	for _, c := range cases {
		if status, response := serve(s, c.method, c.target, c.body); status != c.status {
			t.Errorf("%s %s %.60q: status %d %s, want %d", c.method, c.target, c.body, status, response, c.status)
		}
	}
	want := standin.Counters{Reads: 12, Writes: 8, Applied: 1, Invalid: 19}
	if diff := cmp.Diff(want, s.Counters()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a stand-in that accepts malformed object requests.
func TestObjectServerIsStrict(t *testing.T) {
	s := standin.NewObjectServer(object.NewMemory())
	cases := []struct {
		method, target, body string
		status               int
	}{
		{"PUT", "/v1/objects/", "x", 400},
		{"PUT", "/v1/objects/a%2Fb", "x", 400},
		{"PUT", "/v1/objects/a", strings.Repeat("x", object.MaxContentBytes+1), 413},
		{"POST", "/v1/objects/a", "x", 400},
		{"GET", "/v1/objects/a", "", 404},
		{"PUT", "/v1/objects/a", "x", 201},
		{"PUT", "/v1/objects/a", "x", 200},
		{"PUT", "/v1/objects/a", "y", 409},
		{"GET", "/v1/objects/a", "", 200},
	}
	for _, c := range cases {
		if status, response := serve(s, c.method, c.target, c.body); status != c.status {
			t.Errorf("%s %s: status %d %s, want %d", c.method, c.target, status, response, c.status)
		}
	}
	want := standin.Counters{Reads: 2, Writes: 6, Applied: 1, Conflicts: 1, Invalid: 4}
	if diff := cmp.Diff(want, s.Counters()); diff != "" {
		t.Error(diff)
	}
}

// Guards against faults set over HTTP that are not applied, or are applied to
// the wrong class or number of requests.
func TestFaultsOverHTTP(t *testing.T) {
	s := newTable()
	set := func(faults string) {
		t.Helper()
		if status, response := serve(s, "PUT", "/v1/faults", faults); status != 200 {
			t.Fatalf("faults %s: status %d %s", faults, status, response)
		}
	}
	write := func() int { status, _ := serve(s, "POST", "/v1/txn", writeA); return status }
	read := func() int { status, _ := serve(s, "GET", "/v1/rows/a", ""); return status }
	sequence := func(name string, call func() int, want ...int) {
		t.Helper()
		for i, w := range want {
			if got := call(); got != w {
				t.Errorf("%s: request %d got status %d, want %d", name, i, got, w)
			}
		}
	}
	set(`{"write":{"lose_requests":1}}`)
	sequence("lost request", write, 0)
	sequence("row after a lost request", read, 404)
	set(`{"write":{"lose_answers":1}}`)
	sequence("lost response", write, 0)
	sequence("row after a lost response", read, 200)
	set(`{"write":{"outage_after":2}}`)
	sequence("outage after two writes", write, 200, 200, 503, 503)
	sequence("reads during an outage of writes", read, 200)
	if _, response := serve(s, "GET", "/v1/faults", ""); !strings.Contains(response, `"write":{"outage":true}`) {
		t.Errorf("faults %s do not show the outage", response)
	}
	set(`{"read":{"outage":true}}`)
	sequence("outage of reads", read, 503)
	sequence("writes during an outage of reads", write, 200)
	for _, bad := range []string{``, `{"writes":{}}`, `{"read":{"lose_answer_share":2}}`, `{"read":{"latency_ms":-1}}`, `{"read":{"outage_after":-1}}`} {
		if status, _ := serve(s, "PUT", "/v1/faults", bad); status != 400 {
			t.Errorf("faults %s: status %d, want 400", bad, status)
		}
	}
	sequence("faults after a rejected setting", read, 503)
}

// Guards against runs that cannot be reproduced: the same seed must give the
// same faults for one class, regardless of the requests of the other class.
func TestFaultsDependOnSeed(t *testing.T) {
	actionsOf := func(seed uint64, readsBetween bool) string {
		s := newTable()
		share := standin.ClassFaults{LoseRequestShare: 0.3, LoseResponseShare: 0.3}
		if err := s.SetFaults(standin.Faults{Seed: seed, Write: share, Read: share}); err != nil {
			t.Fatal(err)
		}
		text := ""
		for range 64 {
			before := s.Counters().Applied
			status, _ := serve(s, "POST", "/v1/txn", writeA)
			switch {
			case status == 200:
				text += "."
			case s.Counters().Applied > before:
				text += "a"
			default:
				text += "r"
			}
			if readsBetween {
				serve(s, "GET", "/v1/rows/a", "")
			}
		}
		return text
	}
	first := actionsOf(1, false)
	if again := actionsOf(1, true); again != first {
		t.Errorf("seed 1 gave %s and then %s", first, again)
	}
	if other := actionsOf(2, false); other == first {
		t.Errorf("seeds 1 and 2 gave the same faults %s", first)
	}
	for _, action := range ".ar" {
		if !strings.ContainsRune(first, action) {
			t.Errorf("faults %s lack %q", first, action)
		}
	}
}

// Guards against a frozen store that responds, and against a write that is
// dropped because its sender disconnected during the freeze.
func TestFreezeHoldsWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		if err := s.SetFaults(standin.Faults{Write: standin.ClassFaults{Freeze: true}}); err != nil {
			t.Fatal(err)
		}
		ctx, disconnect := context.WithCancel(t.Context())
		done := make(chan int, 1)
		go func() {
			status, _ := serveWithContext(ctx, s, "POST", "/v1/txn", writeA)
			done <- status
		}()
		synctest.Wait()
		disconnect()
		synctest.Wait()
		if status, _ := serve(s, "GET", "/v1/rows/a", ""); status != 404 || len(done) != 0 {
			t.Fatalf("a frozen write took effect: read status %d", status)
		}
		if err := s.SetFaults(standin.Faults{}); err != nil {
			t.Fatal(err)
		}
		<-done
		if status, _ := serve(s, "GET", "/v1/rows/a", ""); status != 200 {
			t.Fatalf("read status %d after the freeze, want the write of the disconnected sender", status)
		}
	})
}

// Guards against a latency that is not applied, and against a closed stand-in
// that keeps holding requests.
func TestLatencyAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTable()
		slow := standin.ClassFaults{LatencyMS: 100, JitterMS: 50}
		if err := s.SetFaults(standin.Faults{Write: slow, Read: standin.ClassFaults{Freeze: true}}); err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		serve(s, "POST", "/v1/txn", writeA)
		if took := time.Since(begin); took < 100*time.Millisecond || took > 150*time.Millisecond {
			t.Errorf("the write took %v, want 100 to 150 ms", took)
		}
		done := make(chan int)
		for _, path := range []string{"GET /v1/rows/a", "POST /v1/txn"} {
			method, target, _ := strings.Cut(path, " ")
			go func() {
				status, _ := serve(s, method, target, writeA)
				done <- status
			}()
		}
		synctest.Wait()
		s.Close()
		for range 2 {
			if status := <-done; status != 0 {
				t.Errorf("status %d after closing, want none", status)
			}
		}
		if s.Counters().Applied != 1 {
			t.Errorf("%d writes were applied, want the first only", s.Counters().Applied)
		}
	})
}

// Guards against a read that spends its whole timeout on an idle connection
// that became unresponsive. A write must not use that connection at all.
func TestClientRecoversFromUnresponsiveConnection(t *testing.T) {
	server := newTable()
	web := httptest.NewServer(server)
	defer web.Close()
	relay := startRelay(t, web.Listener.Addr().String())
	client, err := table.NewClient(table.ClientOptions{BaseURL: "http://" + relay.Address(), Timeout: 4 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Scan(t.Context(), "", "", 1); err != nil {
		t.Fatal(err)
	}
	relay.Blackhole()
	txn := table.Txn{ID: "1", Writes: []table.Write{{Key: "a"}}}
	if _, err := client.Commit(t.Context(), txn); err != nil {
		t.Errorf("commit after the blackhole: %v", err)
	}
	if _, err := client.Get(t.Context(), "a"); err != nil {
		t.Errorf("get after the blackhole: %v", err)
	}
	if relay.Dropped() == 0 {
		t.Error("the read did not try the unresponsive connection")
	}
	if c := server.Counters(); c.Reads != 2 || c.Writes != 1 {
		t.Errorf("counters %+v, want 2 reads and 1 write", c)
	}
}

// Guards against counters that cannot be read over HTTP.
func TestCountersOverHTTP(t *testing.T) {
	web := httptest.NewServer(newTable())
	defer web.Close()
	resp, err := http.Get(web.URL + "/v1/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasPrefix(string(body), `{"reads":0,"writes":0,"applied":0,`) {
		t.Fatalf("counters %s, %v", body, err)
	}
}
