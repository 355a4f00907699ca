package hop

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"burdockglade.dev/router/connpool"
)

func deferredRequest(path, body string) *Request {
	return &Request{RequestHead: RequestHead{Method: "POST", Target: path, Length: int64(len(body))}, Body: []byte(body), DeferBody: true}
}

// echoOrRefuse refuses requests for /refuse, and responds to others with their body.
func echoOrRefuse(_ context.Context, r *Request) *Response {
	if r.Target == "/refuse" {
		return &Response{ResponseHead: ResponseHead{Kind: "overloaded"}}
	}
	data, err := r.ReadBody()
	if err != nil {
		return &Response{ResponseHead: ResponseHead{Kind: "peer_unreachable"}}
	}
	return &Response{ResponseHead: ResponseHead{Status: 200, Length: int64(len(data))}, Body: io.NopCloser(strings.NewReader(string(data)))}
}

// Guards against bodies that are sent to a router which refuses the request, against bodies
// that are lost, cut or mixed with other requests, and against a new connection for each
// request: refused and admitted requests follow each other on one connection.
func TestDeferredBodyIsSentOnlyToARouterThatAdmitsTheRequest(t *testing.T) {
	const size = 16 << 10
	body := strings.Repeat("x", size)
	c, l := startCountingServer(t, echoOrRefuse)
	sendRequest(t, c, deferredRequest("/refuse", body)) // announces that bodies may be deferred
	before := l.bytes.Load()
	if before < size {
		t.Errorf("%d bytes arrived of a request to a server that is not known to defer bodies", before)
	}
	for range 3 {
		if head, _ := sendRequest(t, c, deferredRequest("/refuse", body)); head.Kind != "overloaded" {
			t.Errorf("kind %q", head.Kind)
		}
		if head, got := sendRequest(t, c, deferredRequest("/run", body)); head.Status != 200 || got != body {
			t.Errorf("status %d, %d bytes came back", head.Status, len(got))
		}
		if _, got := sendRequest(t, c, &Request{RequestHead: RequestHead{Method: "POST", Target: "/run", Length: 4}, Body: []byte("next")}); got != "next" {
			t.Errorf("got %q for a request that is not deferred", got)
		}
	}
	if n := l.bytes.Load() - before; n > 3*size+size/2 {
		t.Errorf("%d bytes arrived, want three bodies of %d and the heads", n, size)
	}
	if n := l.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against work that is taken for possibly run, and thus not offered to another host,
// although the router was lost before it had the body; and against the opposite.
func TestLossBeforeTheBodyIsAskedForIsNotSent(t *testing.T) {
	for _, asks := range []bool{false, true} {
		entered := make(chan *Request, 1)
		c, s := startServer(t, func(ctx context.Context, r *Request) *Response {
			if r.Target == "/refuse" {
				return echoOrRefuse(ctx, r)
			}
			if asks {
				if _, err := r.ReadBody(); err != nil {
					t.Error(err)
				}
			}
			entered <- r
			<-t.Context().Done()
			return &Response{ResponseHead: ResponseHead{Kind: "overloaded"}}
		})
		sendRequest(t, c, deferredRequest("/refuse", "body"))
		go func() {
			<-entered
			s.closeConnections()
		}()
		ctx, cancel := context.WithCancel(t.Context())
		_, err := c.Do(ctx, deferredRequest("/run", "body"))
		cancel()
		var failure *connpool.Error
		if !errors.As(err, &failure) || failure.Sent != asks {
			t.Errorf("asks %v: %v, want an error that says so", asks, err)
		}
	}
}

// closeConnections closes all connections.
func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
