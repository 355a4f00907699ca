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

func newCall(method string) Call {
	return Call{
		Method: method, Path: "/s/k?q=1", Header: http.Header{}, RequestID: "r1",
		GroupID: "g", Generation: 7, NotAfter: time.Now().Add(time.Minute),
	}
}

func newClient(address string, connections int, opts ClientOptions) *Client {
	c := NewClient(opts)
	c.SetTarget(address, connections)
	return c
}

// rawServer runs the script on each connection and returns its address. n counts the
// connections from 0.
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

// Guards against requests without the header fields that a fenced upstream needs, and
// against the upstream receiving hop-by-hop or Burdock- fields of callers.
func TestRequestCarriesGrantAndOnlyEndToEndFields(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r
		w.Header().Set("Content-Length", "2")
		fmt.Fprint(w, "ok")
	}))
	defer s.Close()
	call := newCall(http.MethodPost)
	call.Header = http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Burdock-Outcome": {"not-run"},
		"Burdock-Tenant": {"t"}, "Accept": {"a/b"}, "Idempotency-Key": {"k"},
	}
	response, err := newClient(serverAddress(s), 4, ClientOptions{}).Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
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

// Guards against the outcome not-run for requests that the upstream received, and
// against the outcome unknown for others, which would prevent safe retries.
func TestErrorsAreClassified(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	closed.Close()
	responding := func(text string) string {
		return rawServer(t, func(_ int, conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, text)
		})
	}
	cases := map[string]struct {
		address string
		want    errkind.Kind
	}{
		"refused":     {refusing, errkind.UpstreamDown},
		"no response": {responding(""), errkind.OutcomeUnknown},
		"garbage":     {responding("garbage\r\n\r\n"), errkind.OutcomeUnknown},
		"old grant":   {responding("HTTP/1.1 409 Conflict\r\nBurdock-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"), errkind.UpstreamRefused},
		"shed":        {responding("HTTP/1.1 503 Busy\r\nBurdock-Outcome: not-run\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"), errkind.Overloaded},
		"lapsed":      {responding("HTTP/1.1 503 Lapsed\r\nBurdock-Outcome: not-run\r\nBurdock-Error: lease_lapsed\r\nContent-Length: 0\r\n\r\n"), errkind.UpstreamRefused},
		"malformed":   {responding("HTTP/1.1 400 Bad\r\nBurdock-Outcome: not-run\r\nBurdock-Error: bad_request\r\nContent-Length: 0\r\n\r\n"), errkind.BadRequest},
		"until EOF":   {responding("HTTP/1.1 200 OK\r\n\r\nhalf"), errkind.AnswerIncomplete},
		"HTTP/1.0":    {responding("HTTP/1.0 200 OK\r\n\r\nhalf"), errkind.AnswerIncomplete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			refusals := 0
			client := newClient(c.address, 4, ClientOptions{OnConnectionRefused: func(string) { refusals++ }})
			_, err := client.Do(t.Context(), newCall(http.MethodGet))
			if !errkind.Is(err, c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if (refusals == 1) != (name == "refused") {
				t.Errorf("%d refusals reported", refusals)
			}
		})
	}
}

// Guards against a truncated response that is taken for a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(_ int, conn net.Conn) {
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, text)
			})
			response, err := newClient(address, 4, ClientOptions{}).Do(t.Context(), newCall(http.MethodGet))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if _, err := io.ReadAll(response.Body); !errkind.Is(err, errkind.AnswerIncomplete) {
				t.Errorf("got %v, want answer_incomplete", err)
			}
		})
	}
}

// Guards against net/http retrying a request by itself when a reused connection is
// lost: work that must not run twice would do so.
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
			client := newClient(address, 4, ClientOptions{})
			call := newCall(method)
			call.Header.Set("Idempotency-Key", "k") // net/http retries such requests
			response, err := client.Do(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.OutcomeUnknown) {
				t.Errorf("got %v, want outcome_unknown", err)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("the upstream received %d requests, want 2", n)
			}
		})
	}
}

// Guards against a request that was reported as not sent but is sent later by a
// goroutine of the transport.
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

// Guards against more connections than the upstream announced, and against the
// outcome unknown for a request that waited for a connection until its deadline.
func TestConnectionsAreCapped(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer s.Close()
	client := newClient(serverAddress(s), 1+reservedConnections, ClientOptions{})
	done := make(chan error, 1)
	go func() {
		response, err := client.Do(t.Context(), newCall(http.MethodGet))
		if err == nil {
			response.Body.Close()
		}
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, newCall(http.MethodPost)); !errkind.Is(err, errkind.DeadlinePassed) {
		t.Errorf("got %v, want deadline_passed", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against requests that are sent after their NotAfter time.
func TestLapsedCallIsNotSent(t *testing.T) {
	client := newClient("127.0.0.1:1", 4, ClientOptions{})
	call := newCall(http.MethodGet)
	call.NotAfter = time.Now()
	if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.LeaseLapsed) {
		t.Errorf("got %v, want lease_lapsed", err)
	}
}

// Guards against grants whose encoding does not follow the upstream's protocol, and
// against a refused grant that counts as acknowledged.
func TestExtendSendsGrant(t *testing.T) {
	status := http.StatusNoContent
	var body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(status)
	}))
	defer s.Close()
	client := newClient(serverAddress(s), 4, ClientOptions{})
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

// Guards against grants of unbounded size, and against ones without requests, which
// an upstream refuses.
func TestExtendBoundsTheRequests(t *testing.T) {
	var messages, largest atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		messages.Add(1)
		largest.Store(max(largest.Load(), r.ContentLength))
	}))
	defer s.Close()
	client := newClient(serverAddress(s), 4, ClientOptions{})
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
