package responsehead

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// startServers starts a server without and one with TLS. Both respond with the text and keep the
// connection.
func startServers(t *testing.T, text string) []*httptest.Server {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
		_, _ = rw.ReadByte() // waits until the client closes the connection
	})
	servers := []*httptest.Server{httptest.NewServer(handler), httptest.NewTLSServer(handler)}
	for _, s := range servers {
		t.Cleanup(s.Close)
	}
	return servers
}

func newTestClient(t *testing.T) *http.Client {
	transport := NewTransport(&http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}, &net.Dialer{})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against heads that are not checked behind TLS, and against errors that do not tell
// a broken head from a lost connection.
func TestTransportChecksHeads(t *testing.T) {
	for _, s := range startServers(t, success+"A b: c\r\nContent-Length: 2\r\n\r\nok") {
		if _, err := newTestClient(t).Get(s.URL); !errors.Is(err, ErrBroken) {
			t.Errorf("%s, broken: %v", s.URL, err)
		}
	}
	for _, s := range startServers(t, success+"A: c\r\nContent-Length: 2\r\n\r\nok") {
		resp, err := newTestClient(t).Get(s.URL)
		if err != nil {
			t.Errorf("%s, allowed: %v", s.URL, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "ok" {
			t.Errorf("%s, allowed: got %q, %v", s.URL, body, err)
		}
	}
}

// bodyConn is a connection on which a body arrives.
type bodyConn struct{ net.Conn }

// Read implements net.Conn.
func (bodyConn) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies that are copied, or kept, because they are taken for heads.
func TestBodiesAreNotCopied(t *testing.T) {
	conn := NewConn(bodyConn{})
	buffer := make([]byte, 4<<10)
	allocations := testing.AllocsPerRun(100, func() {
		if n, err := conn.Read(buffer); n != len(buffer) || err != nil {
			t.Fatalf("got %d bytes, %v", n, err)
		}
	})
	if allocations > 0 {
		t.Errorf("%v allocations for a part of a body", allocations)
	}
}
