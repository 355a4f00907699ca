package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// readCounter counts the bytes that are read from a stream.
type readCounter struct {
	io.Reader
	bytes int
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes += n
	return n, err
}

func streamRequest(length int64, stream io.Reader) *Request {
	return &Request{RequestHead: RequestHead{Method: "POST", Length: length}, Stream: stream}
}

// Guards against a body that cannot be sent to another host because it was sent to one that
// refused the request without reading it.
func TestRefusedRequestKeepsItsStream(t *testing.T) {
	refuse := func(_ context.Context, r *Request) *Response {
		if r.Stream == nil {
			return &Response{ResponseHead: ResponseHead{Status: 200}}
		}
		return &Response{ResponseHead: ResponseHead{Kind: "overloaded"}}
	}
	for name, length := range map[string]int64{"in chunks": unknownLength, "with a length": 2 * maxBufferedBodyBytes} {
		t.Run(name, func(t *testing.T) {
			c, _ := startServer(t, refuse)
			sendRequest(t, c, &Request{RequestHead: RequestHead{Method: "GET"}}) // opens the connection
			stream := &readCounter{Reader: strings.NewReader(strings.Repeat("x", 2*maxBufferedBodyBytes))}
			head, _ := sendRequest(t, c, streamRequest(length, stream))
			if head.Kind != "overloaded" || stream.bytes != 0 {
				t.Errorf("kind %q after %d bytes of the stream, want a refusal after 0", head.Kind, stream.bytes)
			}
		})
	}
}

// Guards against a body that is lost or mixed with the response when the server asks for it,
// at once or after the sender no longer waits.
func TestStreamArrivesWholeWhenTheServerAsks(t *testing.T) {
	body := strings.Repeat("x", 2*maxBufferedBodyBytes)
	for name, delay := range map[string]time.Duration{"at once": 0, "late": 2 * bodyWantedTimeout} {
		t.Run(name, func(t *testing.T) {
			c, _ := startServer(t, func(_ context.Context, r *Request) *Response {
				if r.Stream == nil {
					return &Response{ResponseHead: ResponseHead{Status: 200}}
				}
				<-time.After(delay)
				data, err := io.ReadAll(r.Stream)
				if err != nil {
					t.Error(err)
				}
				return &Response{ResponseHead: ResponseHead{Status: 200, Length: int64(len(data))}, Body: io.NopCloser(strings.NewReader(string(data)))}
			})
			sendRequest(t, c, &Request{RequestHead: RequestHead{Method: "GET"}}) // opens the connection
			if head, got := sendRequest(t, c, streamRequest(unknownLength, strings.NewReader(body))); head.Status != 200 || got != body {
				t.Errorf("status %d, %d bytes came back of %d", head.Status, len(got), len(body))
			}
		})
	}
}

// Guards against a router that asks for a body in the middle of its response, because the
// upstream responds before the body is read.
func TestBodyIsNotAskedForBehindTheResponse(t *testing.T) {
	streams := make(chan io.Reader, 1)
	c, _ := startServer(t, func(_ context.Context, r *Request) *Response {
		streams <- r.Stream
		return &Response{ResponseHead: ResponseHead{Status: 200, Length: 4}, Body: io.NopCloser(strings.NewReader("done"))}
	})
	if head, body := sendRequest(t, c, streamRequest(unknownLength, strings.NewReader("x"))); head.Status != 200 || body != "done" {
		t.Errorf("status %d, body %q", head.Status, body)
	}
	if n, err := (<-streams).Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes behind the response", n)
	}
}

// Guards against a request that waits for good for a router of an earlier version, which
// does not ask for the body.
func TestStreamIsSentToServerThatDoesNotAsk(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		c := &serverConn{Conn: conn, br: bufio.NewReader(conn)}
		var head RequestHead
		if err := readHead(c.br, &head); err != nil {
			return
		}
		data, _ := io.ReadAll(bodyReader(c.br, head.Length)) // what arrived is compared
		received <- string(data)
		_ = c.writeResponse(&Response{ResponseHead: ResponseHead{Status: 200}, Body: io.NopCloser(strings.NewReader(""))})
	}()
	c := NewClient(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
	if head, _ := sendRequest(t, c, streamRequest(unknownLength, strings.NewReader("body"))); head.Status != 200 {
		t.Errorf("status %d", head.Status)
	}
	if got := <-received; got != "body" {
		t.Errorf("received %q", got)
	}
}
