package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// scriptedServer responds to the nth request of each connection, counted from 1, with
// the parts that script returns, each in a write of its own.
type scriptedServer struct {
	client *Client
	// connections is the number of accepted connections.
	connections atomic.Int32
}

func startScriptedServer(t *testing.T, script func(req *http.Request, n int) (parts []string)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{client: New(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go playScript(conn, script)
		}
	}()
	return s
}

func playScript(conn net.Conn, script func(req *http.Request, n int) []string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		for _, part := range script(req, n) {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}
}

// refusal returns a refusal with the id, or without one if it is empty.
func refusal(id string) string {
	field := ""
	if id != "" {
		field = "Request: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + field + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// post sends a request with the id and returns the status and the body of its response.
func post(t *testing.T, c *Client, id string) (status int, body string, err error) {
	t.Helper()
	header := http.Header{}
	if id != "" {
		header.Set("Request", id)
	}
	resp, err := c.Do(t.Context(), &Request{Method: "POST", Target: "/", Host: "test", Header: header, Body: []byte("x"), IDHeader: "Request", ID: id})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := ReadAll(resp.Body, 1<<10)
	return resp.Status, string(data), err
}

// Guards against a copy of an earlier refusal that is taken for the response to the next
// request on the connection, which the server runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		first, copied []string
		// want is the status of the second request, or 0 for an error.
		want int
	}{
		"with its id":                  {[]string{refusal("a")}, []string{refusal("a")}, 200},
		"with its id, twice":           {[]string{refusal("a")}, []string{refusal("a"), refusal("a")}, 200},
		"with its id, too often":       {[]string{refusal("a")}, []string{refusal("a"), refusal("a"), refusal("a")}, 0},
		"with its id, in parts":        {[]string{refusal("a")}, []string{refusal("a")[:9], refusal("a")[9:40], refusal("a")[40:]}, 200},
		"with its id, interim first":   {[]string{refusal("a")}, []string{"HTTP/1.1 100 Continue\r\n\r\n", refusal("a")}, 200},
		"with its id, without length":  {[]string{refusal("a")}, []string{"HTTP/1.1 503 Full\r\nRequest: a\r\nNot-Run: 1\r\n\r\n"}, 0},
		"without an id":                {[]string{refusal("a")}, []string{refusal("")}, 0},
		"without an id, both":          {[]string{refusal("")}, []string{refusal("")}, 0},
		"without an id, in parts":      {[]string{refusal("")}, []string{refusal("")[:9], refusal("")[9:]}, 0},
		"with an empty id":             {[]string{refusal("a")}, []string{strings.Replace(refusal("a"), "Request: a", "Request: ", 1)}, 0},
		"without an id, misdirected":   {[]string{refusal("a")}, []string{"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}, 0},
		"behind a head that broke off": {[]string{refusal("a")}, []string{"HTTP/1.1 200 OK\r\nRequest: b\r\nA: ", refusal("a")}, 0},
		"without an id, behind a copy": {[]string{refusal("a")}, []string{refusal("a"), refusal("")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(req *http.Request, n int) []string {
				if n == 1 {
					return c.first
				}
				return append(c.copied, response(req.Header.Get("Request"), "done"))
			})
			if status, _, err := post(t, s.client, "a"); err != nil || status != 503 {
				t.Fatalf("first: got %d, %v; want the refusal", status, err)
			}
			status, body, err := post(t, s.client, "b")
			if status != c.want || (c.want == 200 && body != "done") || (c.want == 0) != (err != nil) {
				t.Fatalf("second: got %d %q, %v; want %d", status, body, err, c.want)
			}
			var failure *connpool.Error
			if err != nil && (!errors.As(err, &failure) || !failure.Sent) {
				t.Errorf("got %v; want an error that says that the request was sent", err)
			}
			if n := s.connections.Load(); n != 1 {
				t.Errorf("%d connections; the second request did not use the first one's", n)
			}
		})
	}
}

// Guards against a copy of a refusal that is taken for the response to the same request
// when it is sent again: the id does not tell them apart.
func TestRepeatedRefusalOfSameRequestIsNotBelieved(t *testing.T) {
	var served atomic.Int32
	s := startScriptedServer(t, func(req *http.Request, n int) []string {
		id := req.Header.Get("Request")
		if served.Add(1) == 1 {
			return []string{refusal(id)}
		}
		if n > 1 {
			return []string{refusal(id), response(id, "done")}
		}
		return []string{response(id, "done")}
	})
	if status, _, err := post(t, s.client, "a"); err != nil || status != 503 {
		t.Fatalf("first: got %d, %v; want the refusal", status, err)
	}
	if status, body, err := post(t, s.client, "a"); err != nil || body != "done" {
		t.Errorf("second: got %d %q, %v; want the response", status, body, err)
	}
}

// Guards against a connection that is used further although the server sent a response
// on it that belongs to no request: more of them may follow.
func TestConnectionWithExtraResponseIsNotReused(t *testing.T) {
	s := startScriptedServer(t, func(req *http.Request, _ int) []string {
		return []string{response("earlier", "x"), response(req.Header.Get("Request"), "done")}
	})
	for i := range 3 {
		if _, body, err := post(t, s.client, fmt.Sprint(i)); err != nil || body != "done" {
			t.Fatalf("got %q, %v", body, err)
		}
		if n := s.connections.Load(); n != int32(i+1) {
			t.Errorf("%d connections after %d requests", n, i+1)
		}
	}
}

// Guards against a response to a request without an id that belongs to another one.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	s := startScriptedServer(t, func(*http.Request, int) []string { return []string{refusal("")} })
	for i := range 2 {
		if status, _, err := post(t, s.client, ""); err != nil || status != 503 {
			t.Errorf("got %d, %v; want the refusal", status, err)
		}
		if n := s.connections.Load(); n != int32(i+1) {
			t.Errorf("%d connections after %d requests", n, i+1)
		}
	}
}

// Guards against new connections under load: a server that refuses many requests gets
// them on few connections.
func TestRefusalsKeepTheirConnection(t *testing.T) {
	s := startScriptedServer(t, func(req *http.Request, _ int) []string { return []string{refusal(req.Header.Get("Request"))} })
	const requests = 3 * maxFailedIDs
	for i := range requests {
		if status, _, err := post(t, s.client, fmt.Sprint(i)); err != nil || status != 503 {
			t.Fatalf("got %d, %v; want the refusal", status, err)
		}
	}
	if n := s.connections.Load(); n != requests/maxFailedIDs {
		t.Errorf("%d connections for %d refusals, want %d", n, requests, requests/maxFailedIDs)
	}
}

// Guards against a response that arrives after its request was cancelled and is taken for
// the one to the next request: responses of the store have no id.
func TestLateResponseIsNotTakenForNext(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	var served atomic.Int32
	s := startScriptedServer(t, func(*http.Request, int) []string {
		if served.Add(1) > 1 {
			return []string{response("", "right")}
		}
		close(arrived)
		<-release
		return []string{response("", "late")}
	})
	request := &Request{Method: "GET", Target: "/", Host: "test", Header: http.Header{}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := s.client.Do(ctx, request); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want that the request was cancelled", err)
	}
	close(release)
	resp, err := s.client.Do(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := ReadAll(resp.Body, 1<<10); err != nil || string(body) != "right" {
		t.Errorf("got %q, %v", body, err)
	}
}
