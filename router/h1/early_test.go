package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// startEarlyServer responds to each request, of whose body it reads nothing, with the text and
// ends the connection with end.
func startEarlyServer(t *testing.T, text string, end func(*net.TCPConn)) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 64)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return New(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
}

// earlyBodyBytes is the size of the request bodies of the tests in this file.
const earlyBodyBytes = 4 << 20

// postEarly sends a body and returns that of the response.
func postEarly(t *testing.T, c *Client, stream bool) (string, error) {
	t.Helper()
	text := strings.Repeat("u", earlyBodyBytes)
	req := &Request{Method: "POST", Target: "/", Host: "test", Header: http.Header{}, Body: []byte(text), IDHeader: "Request", ID: "a"}
	if stream {
		req.Body, req.Stream, req.Length = nil, strings.NewReader(text), earlyBodyBytes
	}
	resp, err := c.Do(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := ReadAll(resp.Body, 1<<10)
	return string(data), err
}

// Guards against a response that breaks off and is taken for complete, and against a complete
// one that is lost, because the server ends the connection before it has read the request: of
// the store and of an upstream that gets a command, too, whose bodies are sent with the head.
func TestResponseBeforeTheRequestIsSent(t *testing.T) {
	const framed = "HTTP/1.1 200 OK\r\nRequest: a\r\nContent-Length: 4\r\n\r\ndone"
	const unframed = "HTTP/1.1 200 OK\r\nRequest: a\r\n\r\npart"
	chunks := "HTTP/1.1 200 OK\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	closeNow := func(c *net.TCPConn) { _ = c.Close() }
	closeLater := func(c *net.TCPConn) { <-time.After(20 * time.Millisecond); _ = c.Close() }
	readOn := func(c *net.TCPConn) {
		_, _ = c.CloseWrite(), c.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	for _, c := range []struct {
		name, text, want string
		end              func(*net.TCPConn)
	}{
		{"no length, closed", unframed, "", closeNow},
		{"no length, closed later", unframed, "", closeLater},
		{"no length, read on", unframed, "part", readOn},
		{"length, closed later", framed, "done", closeLater},
		{"length, read on", framed, "done", readOn},
		{"chunks, closed", chunks, "", closeNow},
		{"chunks, read on", chunks, "", readOn},
		{"nothing, closed", "", "", closeNow},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", c.name, stream), func(t *testing.T) {
				t.Parallel()
				client := startEarlyServer(t, c.text, c.end)
				for range 10 {
					got, err := postEarly(t, client, stream)
					if got != c.want || (err == nil) != (c.want != "") {
						t.Errorf("got %q, %v; want %q", got, err, c.want)
					}
					var failure *connpool.Error
					if errors.As(err, &failure) && !failure.Sent {
						t.Errorf("%v says that nothing was sent", err)
					}
					if err != nil && client.HasIdle() {
						t.Error("the connection is used again")
					}
					client.CloseIdle() // a body that was taken whole leaves one, which the server resets
				}
			})
		}
	}
}
