package storehttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const longTimeout = 30 * time.Second

func newTestClient(t *testing.T, url string, timeout time.Duration, maxAnswer int64) *Client {
	t.Helper()
	c, err := New(Options{Service: "test service", BaseURL: url, Timeout: timeout, MaxResponseBytes: maxAnswer})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against settings that fail only at the first call.
func TestNewRefusesBadOptions(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:7000", "ftp://127.0.0.1", "http://", "http://127.0.0.1?a=b", ":"} {
		if _, err := New(Options{Service: "s", BaseURL: url, Timeout: time.Second}); err == nil {
			t.Errorf("address %q was accepted", url)
		}
	}
	if _, err := New(Options{Service: "s", BaseURL: "http://127.0.0.1:1"}); err == nil {
		t.Error("timeout 0 was accepted")
	}
}

// Guards against a write that counts as sent although no connection was made:
// its outcome would be reported as unknown.
func TestOnceTellsUnsentRequests(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	c := newTestClient(t, "http://"+closed.Addr().String(), longTimeout, 100)
	if _, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")}); err == nil || sent {
		t.Errorf("refused connection: sent %v, error %v", sent, err)
	}
}

// Guards against a timeout during the dial that counts as a lost answer.
func TestTimeoutWhileDialingIsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, "http://192.0.2.1:1", time.Millisecond, 100)
		// net/http does not pass the request's cancellation on to the dial.
		end := make(chan struct{})
		defer close(end)
		hang := func(context.Context, string, string) (net.Conn, error) {
			<-end
			return nil, net.ErrClosed
		}
		c.fresh.Transport.(*http.Transport).DialContext = hang
		_, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")})
		if !errors.Is(err, context.DeadlineExceeded) || sent {
			t.Errorf("sent %v, error %v; want an unsent request", sent, err)
		}
	})
}

// Guards against a write that net/http sends again by itself, and against one
// that goes over a connection that may have gone silent.
func TestOnceSendsOnceOnFreshConnections(t *testing.T) {
	var requests, conns atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := newTestClient(t, server.URL, longTimeout, 100)
	for range 3 {
		if _, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")}); err == nil || !sent {
			t.Errorf("sent %v, error %v; want a lost answer", sent, err)
		}
	}
	if requests.Load() != 3 || conns.Load() != 3 {
		t.Errorf("%d requests on %d connections, want 3 on 3", requests.Load(), conns.Load())
	}
}

// Guards against a read that waits its whole timeout on an idle connection
// that went silent, and against retries without end.
func TestRepeatableLeavesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, "http://192.0.2.1:1", time.Minute, 100)
		var dials []*pipeServer
		dialer := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			s := &pipeServer{conn: far, silent: make(chan struct{})}
			dials = append(dials, s)
			go s.serve()
			return near, nil
		}
		c.pooled.Transport.(*http.Transport).DialContext = dialer
		c.fresh.Transport.(*http.Transport).DialContext = dialer
		read := func() {
			t.Helper()
			if a, err := c.SendIdempotent(t.Context(), Request{Method: http.MethodGet, Path: "/"}); err != nil || string(a.Body) != "ok" {
				t.Fatalf("answer %q, error %v", a.Body, err)
			}
		}
		read()
		read()
		if len(dials) != 1 {
			t.Fatalf("%d connections for two reads, want 1", len(dials))
		}
		close(dials[0].silent)
		synctest.Wait()
		begin := time.Now()
		read()
		if len(dials) != 2 || time.Since(begin) != 30*time.Second {
			t.Fatalf("%d connections after %v, want a second one after half of the timeout", len(dials), time.Since(begin))
		}
		c.pooled.CloseIdleConnections()
		for _, s := range dials {
			_ = s.conn.Close()
		}
	})
}

// pipeServer answers each request with "ok" until it is silent.
type pipeServer struct {
	conn   net.Conn
	silent chan struct{}
}

func (s *pipeServer) serve() {
	buffer := make([]byte, 4096)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
		select {
		case <-s.silent:
			continue
		default:
		}
		if _, err := io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// Guards against answers that are cut or too large and count as whole.
func TestBadAnswers(t *testing.T) {
	answers := map[string]string{
		"cut":            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}",
		"cut chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
		"too large":      "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
		"not HTTP":       "hello\r\n\r\n",
	}
	for name, text := range answers {
		server := httptest.NewServer(rawAnswer(text))
		c := newTestClient(t, server.URL, longTimeout, 100)
		if a, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")}); err == nil || !sent {
			t.Errorf("%s: answer %+v, sent %v, error %v", name, a, sent, err)
		}
		if a, err := c.SendIdempotent(t.Context(), Request{Method: http.MethodGet, Path: "/"}); err == nil {
			t.Errorf("%s: answer %+v", name, a)
		}
		server.Close()
	}
}

// rawAnswer writes the text to the connection and closes it.
func rawAnswer(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
}

// Guards against a redirect that sends a write to another place.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			http.Redirect(w, r, "/elsewhere", status)
		}))
		c := newTestClient(t, server.URL, longTimeout, 1000)
		a, _, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")})
		if err != nil || a.Status != status || requests.Load() != 1 {
			t.Errorf("status %d: answer %+v, error %v, %d requests", status, a, err, requests.Load())
		}
		server.Close()
	}
}
