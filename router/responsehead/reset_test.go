package responsehead

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of a request body that does not fit into the buffers of a connection.
const uploadBytes = 32 << 20

// startResettingServer responds to each request, before it has read the body, with a head
// without a length and ten bytes, and ends the connection. It responds to requests without a
// body with a whole response.
func startResettingServer(t *testing.T, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if req.ContentLength != 0 {
				_, _ = io.WriteString(conn, success+"\r\n0123456789")
				end(conn)
				return
			}
			_, _ = io.WriteString(conn, success+"Content-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a response without a length that is taken for whole, in burdockglade run and
// in the clients of the stores and of the administration API, although its connection was
// reset while the request body was being sent.
func TestResetDuringUploadIsNoEndOfTheResponse(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close":       func(c *net.TCPConn) { _ = c.Close() },
		"reset":       func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
		"reset later": func(c *net.TCPConn) { <-time.After(50 * time.Millisecond); _, _ = c.SetLinger(0), c.Close() },
	} {
		for _, later := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				url := startResettingServer(t, end)
				for range 10 {
					client := newTestClient(t)
					if later {
						resp, err := client.Get(url)
						if err != nil {
							t.Fatal(err)
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					resp, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
					if err != nil {
						continue
					}
					got, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil {
						t.Errorf("later %v: a response of which %d bytes arrived is taken for whole", later, len(got))
					}
				}
			})
		}
	}
}
