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

// startServer starts a server that sends the next of the responses for each request
// on any connection, and returns a client of it.
func startServer(t *testing.T, responses ...string) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(responses))
	for _, a := range responses {
		next <- a
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go respondAll(conn, next)
		}
	}()
	return New(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
}

// respondAll responds to the requests on conn. It closes the connection after a
// response without a length.
func respondAll(conn net.Conn, next chan string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		response := <-next
		if _, err := io.WriteString(conn, response); err != nil || !strings.Contains(response, "Content-Length") {
			return
		}
	}
}

// response returns a response with the id and body.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get sends a request that accepts only the response with the id, and returns the
// body.
func get(t *testing.T, c *Client, id string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), &Request{
		Method: "GET", Target: "/", Host: "test", Header: http.Header{},
		IDHeader: "Request", ID: id,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := ReadAll(resp.Body, 1<<10)
	return string(data), err
}

// Guards against returning the response to another request: an upstream may send an
// extra response before the expected one.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	c := startServer(t, response("a", "first"), response("a", "extra")+response("b", "second"))
	for id, want := range map[string]string{"a": "first"} {
		if got, err := get(t, c, id); err != nil || got != want {
			t.Fatalf("%s: got %q, %v", id, got, err)
		}
	}
	if got, err := get(t, c, "b"); err != nil || got != "second" {
		t.Errorf("got %q, %v; want the second response", got, err)
	}
}

// Guards against reusing a connection on which bytes arrived that belong to no
// request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	c := startServer(t, response("a", "first")+"HTTP/1.1 200 OK\r\nRequest: b\r\nContent-Length: 5\r\n\r\nwrong", response("b", "right"))
	if got, err := get(t, c, "a"); err != nil || got != "first" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := get(t, c, "b"); err != nil || got != "right" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against a truncated response that looks complete, and against a complete
// response without a length that looks truncated.
func TestEndOfResponse(t *testing.T) {
	c := startServer(t, "HTTP/1.1 200 OK\r\nRequest: a\r\n\r\nto the end")
	if got, err := get(t, c, "a"); err != nil || got != "to the end" {
		t.Errorf("without a length: got %q, %v", got, err)
	}
	c = startServer(t, "HTTP/1.1 200 OK\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf")
	if got, err := get(t, c, "a"); err == nil {
		t.Errorf("truncated: got %q without an error", got)
	}
}

// Guards against reporting a request as not sent although a part of it was sent, and
// vice versa.
func TestSentIsReported(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.Close()
		}
	}()
	c := New(connpool.Options{Address: address, DialTimeout: time.Second, IdleTimeout: time.Minute})
	var failure *connpool.Error
	if _, err := get(t, c, "a"); !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("closed connection: got %v, want sent", err)
	}
	_ = l.Close()
	if _, err := get(t, c, "a"); !errors.As(err, &failure) || failure.Sent || !errors.Is(err, connpool.ErrRefused) {
		t.Errorf("no listener: got %v, want refused and not sent", err)
	}
}
