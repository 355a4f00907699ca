package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/vhost"
)

// guardedServer is a server of callers with a guard, as a sidecar has it.
type guardedServer struct {
	guard   *connguard.Guard
	limits  atomic.Pointer[vhost.Limits]
	address string
}

func startGuarded(t *testing.T, opts connlimit.Options, handler http.Handler) *guardedServer {
	t.Helper()
	return startGuardedAhead(t, opts, handler, nil)
}

// startGuardedAhead is like startGuarded. beginPipelined starts requests before their turn.
func startGuardedAhead(t *testing.T, opts connlimit.Options, handler http.Handler, beginPipelined func(*http.Request) *pipelinedRequest) *guardedServer {
	t.Helper()
	s := &guardedServer{}
	s.limits.Store(&vhost.Limits{MaxHeaderBytes: 1000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	log := event.NewLogger(io.Discard, 0)
	s.guard = newConnGuard(opts, func() vhost.Limits { return *s.limits.Load() }, Headers{RetryAfter: "Retry-After", RequestID: "Id"}, log, metrics.New())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := newCallerConns()
	server := httpServer(handler)
	server.ConnState, server.ConnContext = callers.stateChanged, withConn
	s.guard.Protect(server, connguard.ServerOptions{BodyTime: defaultTimeout})
	go func() {
		_ = server.Serve(s.guard.Listener(callerListener{Listener: l, conns: callers, beginPipelined: beginPipelined, log: log}, connlimit.Caller)) // returns after Close
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go s.guard.Run(ctx)
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	s.address = l.Addr().String()
	return s
}

// dial returns a connection and a function that sends a request on it and returns the
// response, or an error.
func (s *guardedServer) dial(t *testing.T) (net.Conn, func(request string) (*http.Response, error)) {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(conn)
	return conn, func(request string) (*http.Response, error) {
		if _, err := io.WriteString(conn, request); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
}

var okHandler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})

// Guards against a MaxHeaderBytes that is not applied, that is applied to the body or to the
// heads before, and against a change that does not reach open connections.
func TestHeadLimitOfTheConfiguration(t *testing.T) {
	s := startGuarded(t, connlimit.Options{}, okHandler)
	_, send := s.dial(t)
	head := func(fields int) string {
		rest := "Host: a\r\nContent-Length: 3000\r\n"
		return "POST / HTTP/1.1\r\n" + rest + "A: " + strings.Repeat("x", fields-len(rest)-5) + "\r\n\r\n" + strings.Repeat("b", 3000)
	}
	for i := range 3 {
		if resp, err := send(head(1000)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d at the limit: %v, %v", i, resp, err)
		}
	}
	s.limits.Store(&vhost.Limits{MaxHeaderBytes: 900, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	if resp, err := send(head(901)); err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
		t.Errorf("request above the new limit: %v, %v, want 431 and the end of the connection", resp, err)
	}
}

// Guards against open connections that outlive a shorter IdleTimeout or HeaderTimeout.
func TestTimeoutsOfTheConfiguration(t *testing.T) {
	s := startGuarded(t, connlimit.Options{}, okHandler)
	idle, send := s.dial(t)
	if _, err := send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	slow, _ := s.dial(t)
	_, _ = io.WriteString(slow, "GET / HT") // an error shows in the read
	s.limits.Store(&vhost.Limits{MaxHeaderBytes: 1000, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	for name, conn := range map[string]net.Conn{"idle": idle, "slow": slow} {
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%s connection: %v, want its end", name, err)
		}
	}
}

// Guards against refusals that wait for a body, have no Retry-After, or reach the handler,
// and against charges that stay behind.
func TestRequestsBeyondTheBudgetAreRefused(t *testing.T) {
	var handled atomic.Int64
	s := startGuarded(t, connlimit.Options{MemoryBytes: 5 << 20}, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		handled.Add(1)
		if _, err := receiveBody(w, req, time.Now().Add(50*time.Millisecond)); err != nil {
			s := &entry{metrics: newEntryMetrics(metrics.New()), log: event.NewLogger(io.Discard, 0), headers: Headers{RetryAfter: "Retry-After"}, stoppingFor: func() time.Duration { return 0 }}
			s.writeError(w, req, nil, time.Now(), err)
		}
	}))
	s.limits.Store(&vhost.Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	expectRefusal := func(what, request string) {
		t.Helper()
		_, send := s.dial(t)
		if resp, err := send(request); err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v, %v, want 503 with Retry-After", what, resp, err)
		}
	}
	expectRefusal("many lines", "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 5000)+"\r\n")
	if handled.Load() != 0 {
		t.Error("a refused request reached the handler")
	}
	expectRefusal("slow body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
	conn, send := s.dial(t)
	for range 30 { // 30 bodies of 40 KiB are more than the budget
		if resp, err := send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40960\r\n\r\n" + strings.Repeat("x", 40960)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("ordinary request: %v, %v", resp, err)
		}
	}
	_ = conn.Close()
	deadline := time.Now().Add(20 * time.Second)
	for s.guard.Stats(connlimit.Caller).MemoryBytes != 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%+v is charged after the last connection", s.guard.Stats(connlimit.Caller))
		}
		<-time.After(10 * time.Millisecond)
	}
}

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a listener that ends at an error of Accept.
func TestListenersSurviveErrorsOfAccept(t *testing.T) {
	guard := startGuarded(t, connlimit.Options{}, okHandler).guard
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"guarded": func(l net.Listener) net.Listener { return guard.MeteredListener(l, connlimit.Router) },
		"bare":    func(l net.Listener) net.Listener { return l },
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		failing := &failingListener{Listener: l}
		failing.failures.Store(4)
		server := hop.NewServer(func(context.Context, *hop.Request) *hop.Response {
			return &hop.Response{ResponseHead: hop.ResponseHead{Status: http.StatusOK}}
		})
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(wrap(failing)) }()
		client := newHopClient(l.Addr().String())
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		resp, err := client.Do(ctx, &hop.Request{})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = resp.Body.Close()
		cancel()
		_ = server.Close()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against budgets that refuse every request, and against one that overflows.
func TestBudgetSettings(t *testing.T) {
	for _, c := range []struct {
		memory float64
		files  int
		want   bool
	}{{0, 0, true}, {184, 4100, true}, {32, 300, true}, {31.9, 0, false}, {-1, 0, false}, {math.NaN(), 0, false}, {math.Inf(1), 0, false}, {0, 299, false}, {0, -1, false}} {
		err := Settings{Host: HostSettings{MemoryMB: c.memory, MaxFDs: c.files}}.Check()
		wrong := err != nil && (strings.Contains(err.Error(), "host.memory_mb") || strings.Contains(err.Error(), "host.max_fds"))
		if wrong == c.want {
			t.Errorf("memory_mb %v, max_fds %d: %v", c.memory, c.files, err)
		}
	}
}
