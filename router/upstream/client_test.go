package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
)

func testCall(method string) Call {
	return Call{
		Method: method, Path: "/s/k?q=1", Header: http.Header{}, RequestID: "r1",
		GroupID: "g", Generation: 7, NotAfter: time.Now().Add(time.Minute),
	}
}

func clientFor(address string, connections int, opts ClientOptions) *Client {
	c := NewClient(opts)
	c.SetTarget(address, connections)
	return c
}

// rawServer answers each connection with a script.
func rawServer(t *testing.T, script func(n int, conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(n, conn)
			}()
		}
	}()
	return l.Addr().String()
}

func serverAddress(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against requests that lack the fields a fenced upstream decides by,
// and against router or connection fields of callers that reach it.
func TestRequestCarriesGrantAndNoForeignFields(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r
		w.Header().Set("Content-Length", "2")
		fmt.Fprint(w, "ok")
	}))
	defer s.Close()
	call := testCall(http.MethodPost)
	call.Header = http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Burdock-Outcome": {"not-run"},
		"Burdock-Tenant": {"t"}, "Accept": {"a/b"}, "Idempotency-Key": {"k"},
	}
	answer, err := clientFor(serverAddress(s), 4, ClientOptions{}).Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	if err != nil || string(body) != "ok" {
		t.Fatalf("body %q, error %v", body, err)
	}
	r := <-got
	micros, _ := strconv.ParseInt(r.Header.Get(HeaderNotAfter), 10, 64)
	if left := time.Until(time.UnixMicro(micros)); left < 50*time.Second || left > time.Minute {
		t.Errorf("not-after is in %v", left)
	}
	for name, want := range map[string]string{
		HeaderGroup: "g", HeaderGeneration: "7", HeaderRequestID: "r1", HeaderTenant: "t", "Accept": "a/b",
		"Idempotency-Key": "k", "X-Hop": "", errkind.HeaderOutcome: "", "User-Agent": "",
	} {
		if r.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, r.Header.Get(name), want)
		}
	}
	if r.URL.RequestURI() != "/s/k?q=1" || r.ContentLength != 0 {
		t.Errorf("request %s with length %d", r.URL.RequestURI(), r.ContentLength)
	}
}

// Guards against work that is called not-run although the upstream got it, and
// against the opposite, which would forbid harmless repeats.
func TestErrorsAreClassified(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	closed.Close()
	answering := func(text string) string {
		return rawServer(t, func(_ int, conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, text)
		})
	}
	cases := map[string]struct {
		address string
		want    errkind.Kind
	}{
		"refused":   {refusing, errkind.UpstreamDown},
		"no answer": {answering(""), errkind.OutcomeUnknown},
		"garbage":   {answering("garbage\r\n\r\n"), errkind.OutcomeUnknown},
		"old grant": {answering("HTTP/1.1 409 Conflict\r\nBurdock-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"), errkind.UpstreamRefused},
		"shed":      {answering("HTTP/1.1 503 Busy\r\nBurdock-Outcome: not-run\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"), errkind.Overloaded},
		"lapsed":    {answering("HTTP/1.1 503 Lapsed\r\nBurdock-Outcome: not-run\r\nBurdock-Error: lease_lapsed\r\nContent-Length: 0\r\n\r\n"), errkind.UpstreamRefused},
		"malformed": {answering("HTTP/1.1 400 Bad\r\nBurdock-Outcome: not-run\r\nBurdock-Error: bad_request\r\nContent-Length: 0\r\n\r\n"), errkind.BadRequest},
		"until EOF": {answering("HTTP/1.1 200 OK\r\n\r\nhalf"), errkind.AnswerIncomplete},
		"HTTP/1.0":  {answering("HTTP/1.0 200 OK\r\n\r\nhalf"), errkind.AnswerIncomplete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			refusals := 0
			client := clientFor(c.address, 4, ClientOptions{OnConnectionRefused: func(string) { refusals++ }})
			_, err := client.Do(t.Context(), testCall(http.MethodGet))
			if !errkind.Is(err, c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if (refusals == 1) != (name == "refused") {
				t.Errorf("%d refusals reported", refusals)
			}
		})
	}
}

// Guards against a cut answer that is taken for a whole one.
func TestCutAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(_ int, conn net.Conn) {
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, text)
			})
			answer, err := clientFor(address, 4, ClientOptions{}).Do(t.Context(), testCall(http.MethodGet))
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			if _, err := io.ReadAll(answer.Body); !errkind.Is(err, errkind.AnswerIncomplete) {
				t.Errorf("got %v, want answer_incomplete", err)
			}
		})
	}
}

// Guards against net/http sending a request again by itself when a reused
// connection is lost: for work that may run once only, a repeat runs it twice.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var requests atomic.Int32
			address := rawServer(t, func(_ int, conn net.Conn) {
				reader := bufio.NewReader(conn)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					requests.Add(1)
					if i == 1 {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			client := clientFor(address, 4, ClientOptions{})
			call := testCall(method)
			call.Header.Set("Idempotency-Key", "k") // net/http repeats such work
			answer, err := client.Do(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.OutcomeUnknown) {
				t.Errorf("got %v, want outcome_unknown", err)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("the upstream got %d requests, want 2", n)
			}
		})
	}
}

// Guards against a request that was reported as not sent and is sent later by
// the transport's own goroutine.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &sealableConn{Conn: near}
	if !conn.seal(0) {
		t.Fatal("an unused connection could not be sealed")
	}
	if _, err := conn.Write([]byte("late")); !errors.Is(err, errSealed) {
		t.Errorf("write on a sealed connection: %v", err)
	}
	used := &sealableConn{Conn: near, written: 1}
	if used.seal(0) {
		t.Error("a connection with written bytes counts as unused")
	}
}

// Guards against more connections than the upstream announced, and against a
// request that waits for a connection past its deadline and is then called
// unknown.
func TestConnectionsAreCapped(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer s.Close()
	client := clientFor(serverAddress(s), 1+ownConnections, ClientOptions{})
	done := make(chan error, 1)
	go func() {
		answer, err := client.Do(t.Context(), testCall(http.MethodGet))
		if err == nil {
			answer.Body.Close()
		}
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, testCall(http.MethodPost)); !errkind.Is(err, errkind.DeadlinePassed) {
		t.Errorf("got %v, want deadline_passed", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a request whose right has ended and that is sent all the same.
func TestLapsedCallIsNotSent(t *testing.T) {
	client := clientFor("127.0.0.1:1", 4, ClientOptions{})
	call := testCall(http.MethodGet)
	call.NotAfter = time.Now()
	if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.LeaseLapsed) {
		t.Errorf("got %v, want lease_lapsed", err)
	}
}

// Guards against grants that do not reach the upstream in the agreed form and
// against a refused grant that is taken for granted.
func TestExtendSendsGrant(t *testing.T) {
	status := http.StatusNoContent
	var body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(status)
	}))
	defer s.Close()
	client := clientFor(serverAddress(s), 4, ClientOptions{})
	grant := Grant{GroupID: "g", Generation: 3, NotAfter: time.Now().Add(time.Second), RequestIDs: []string{"r1.0", "r2.1"}}
	if err := client.Extend(t.Context(), grant); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(body, `PUT /burdock/grants {"group":"g","generation":3,"not_after":`) ||
		!strings.HasSuffix(body, `,"requests":["r1.0","r2.1"]}`) {
		t.Errorf("got %s", body)
	}
	status = http.StatusConflict
	if err := client.Extend(t.Context(), grant); !errkind.Is(err, errkind.UpstreamRefused) {
		t.Errorf("got %v, want upstream_refused", err)
	}
}

// Guards against grants of unbounded size, and against ones for no request,
// which an upstream refuses.
func TestExtendBoundsTheRequests(t *testing.T) {
	var messages, largest atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		messages.Add(1)
		largest.Store(max(largest.Load(), r.ContentLength))
	}))
	defer s.Close()
	client := clientFor(serverAddress(s), 4, ClientOptions{})
	id := strings.Repeat("i", MaxRequestID)
	for n, wantSent := range map[int]bool{0: false, 1: true, MaxGrantRequests: true, MaxGrantRequests + 1: false} {
		before := messages.Load()
		grant := Grant{GroupID: "g", Generation: 3, NotAfter: time.Now().Add(time.Second), RequestIDs: slices.Repeat([]string{id}, n)}
		err := client.Extend(t.Context(), grant)
		if sent := messages.Load() > before; sent != wantSent || (err == nil) != wantSent {
			t.Errorf("%d requests: sent %v, %v", n, sent, err)
		}
	}
	if largest.Load() > 10<<10 {
		t.Errorf("the largest grant has %d bytes", largest.Load())
	}
}
