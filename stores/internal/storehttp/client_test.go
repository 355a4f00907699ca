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

	"burdockglade.dev/router/responsehead"
)

const longTimeout = 30 * time.Second

// newTestClient returns a client of the server at url.
func newTestClient(t *testing.T, url string, timeout time.Duration, maxResponseBytes int64) *Client {
	t.Helper()
	c, err := New(Options{Service: "test service", BaseURL: url, Timeout: timeout, MaxResponseBytes: maxResponseBytes})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against invalid options that are detected only by the first call.
func TestNewRejectsInvalidOptions(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:7000", "ftp://127.0.0.1", "http://", "http://127.0.0.1?a=b", ":"} {
		if _, err := New(Options{Service: "s", BaseURL: url, Timeout: time.Second}); err == nil {
			t.Errorf("address %q was accepted", url)
		}
	}
	if _, err := New(Options{Service: "s", BaseURL: "http://127.0.0.1:1"}); err == nil {
		t.Error("timeout 0 was accepted")
	}
}

// Guards against a write that is reported as sent although the connection was
// refused: its outcome would be reported as unknown.
func TestSendOnceReportsUnsentRequests(t *testing.T) {
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

// Guards against a timeout while dialing that is reported as a lost response.
func TestTimeoutWhileDialingIsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, "http://192.0.2.1:1", time.Millisecond, 100)
		// net/http does not propagate the request's cancellation to the dial.
		end := make(chan struct{})
		defer close(end)
		hang := func(context.Context, string, string) (net.Conn, error) {
			<-end
			return nil, net.ErrClosed
		}
		c.singleUse.Transport.(*responsehead.Transport).DialContext = hang
		_, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")})
		if !errors.Is(err, context.DeadlineExceeded) || sent {
			t.Errorf("sent %v, error %v; want an unsent request", sent, err)
		}
	})
}

// Guards against a write that net/http resends by itself, and against a write on a
// reused connection, which may be unresponsive.
func TestSendOnceUsesNewConnections(t *testing.T) {
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
			t.Errorf("sent %v, error %v; want a lost response", sent, err)
		}
	}
	if requests.Load() != 3 || conns.Load() != 3 {
		t.Errorf("%d requests on %d connections, want 3 on 3", requests.Load(), conns.Load())
	}
}

// Guards against a read that spends its whole timeout on an idle connection that
// became unresponsive, and against unlimited retries.
func TestSendIdempotentRetriesOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, "http://192.0.2.1:1", time.Minute, 100)
		var dials []*pipeServer
		dialer := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			s := &pipeServer{conn: far, unresponsive: make(chan struct{})}
			dials = append(dials, s)
			go s.serve()
			return near, nil
		}
		c.pooled.Transport.(*responsehead.Transport).DialContext = dialer
		c.singleUse.Transport.(*responsehead.Transport).DialContext = dialer
		read := func() {
			t.Helper()
			if a, err := c.SendIdempotent(t.Context(), Request{Method: http.MethodGet, Path: "/"}); err != nil || string(a.Body) != "ok" {
				t.Fatalf("response %q, error %v", a.Body, err)
			}
		}
		read()
		read()
		if len(dials) != 1 {
			t.Fatalf("%d connections for two reads, want 1", len(dials))
		}
		close(dials[0].unresponsive)
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

// pipeServer responds "ok" to each request until unresponsive is closed.
type pipeServer struct {
	conn         net.Conn
	unresponsive chan struct{}
}

func (s *pipeServer) serve() {
	buffer := make([]byte, 4096)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
		select {
		case <-s.unresponsive:
			continue
		default:
		}
		if _, err := io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// Guards against responses that are truncated or too large and taken for complete.
func TestIncompleteOrOversizedResponses(t *testing.T) {
	responses := map[string]string{
		"cut":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}",
		"truncated chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"without length":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
		"too large":       "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
		"not HTTP":        "hello\r\n\r\n",
	}
	for name, text := range responses {
		server := httptest.NewServer(rawResponse(text))
		c := newTestClient(t, server.URL, longTimeout, 100)
		if a, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b")}); err == nil || !sent {
			t.Errorf("%s: response %+v, sent %v, error %v", name, a, sent, err)
		}
		if a, err := c.SendIdempotent(t.Context(), Request{Method: http.MethodGet, Path: "/"}); err == nil {
			t.Errorf("%s: response %+v", name, a)
		}
		server.Close()
	}
}

// rawResponse returns a handler that writes text to the connection and closes it.
func rawResponse(text string) http.Handler {
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

// Guards against a write that follows a redirect to another server.
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
			t.Errorf("status %d: response %+v, error %v, %d requests", status, a, err, requests.Load())
		}
		server.Close()
	}
}
