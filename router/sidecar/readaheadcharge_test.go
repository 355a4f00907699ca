package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"burdockglade.dev/router/connlimit"
)

// aheadServer is a guarded server that starts every request before its turn.
type aheadServer struct {
	*guardedServer
	// lateCharges are the functions that charge the responses to requests started before
	// their turn.
	lateCharges chan func(int64)
	// handled gets the path of each request, and whether it was started before its turn.
	handled chan string
}

func startAhead(t *testing.T) *aheadServer {
	s := &aheadServer{lateCharges: make(chan func(int64), 8), handled: make(chan string, 8)}
	ended := make(chan struct{})
	close(ended)
	s.guardedServer = startGuardedAhead(t, connlimit.Options{MemoryBytes: 184 << 20}, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		ahead := connOf(req).ahead
		pipelined := ahead.begin(req, func() {})
		defer ahead.finish()
		if pipelined != nil {
			pipelined.release()
		}
		s.handled <- fmt.Sprint(req.URL.Path, " ", pipelined != nil)
	}), func(req *http.Request) *pipelinedRequest {
		s.lateCharges <- responseCharge(req)
		return &pipelinedRequest{request: req, done: ended, result: &Result{}, cancel: func(error) {}}
	})
	return s
}

// awaitCharge waits until only the connection is charged.
func (s *aheadServer) awaitCharge(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for s.charged() != oneConnection() {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are charged to an idle connection, want %d", s.charged(), oneConnection())
		}
		<-time.After(time.Millisecond)
	}
}

func (s *aheadServer) charged() int64 {
	return s.guard.Stats(connlimit.Caller).MemoryBytes
}

// exchange sends the text on a connection that has served a request before, and reads n
// responses.
func (s *aheadServer) exchange(t *testing.T, text string, n int) {
	t.Helper()
	_, send := s.dial(t)
	if _, err := send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-s.handled
	s.awaitCharge(t)
	for i := range n {
		resp, err := send(text)
		text = ""
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %v, %v", i, resp, err)
		}
	}
}

// oneConnection returns what is charged for a connection.
func oneConnection() int64 {
	b := connlimit.New(connlimit.Options{MemoryBytes: 184 << 20})
	b.Open(time.Now(), connlimit.Caller, nil)
	return b.Stats()[connlimit.Caller].MemoryBytes
}

// Guards against a charge for the response of a losing second attempt that arrives after the
// request was answered, and that stays until the connection closes.
func TestLateResponsesOfPipelinedRequestsAreNotCharged(t *testing.T) {
	s := startAhead(t)
	s.exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n", 2)
	if a, b := <-s.handled, <-s.handled; a != "/a false" || b != "/b true" {
		t.Fatalf("handled %s and %s, want the second one to be started before its turn", a, b)
	}
	s.awaitCharge(t)
	(<-s.lateCharges)(1000)
	s.awaitCharge(t)
}

// Guards against a charge for the response of a losing second attempt that arrives while the
// connection is idle, and that stays until the end of its next request.
func TestLateResponsesAreNotChargedToIdleConnections(t *testing.T) {
	b := connlimit.New(connlimit.Options{MemoryBytes: 184 << 20})
	now := time.Now()
	c, _, _ := b.Open(now, connlimit.Caller, nil)
	b.ReadStarted(now, c)
	b.RequestStarted(now, c)
	b.ChargeResponse(c, 1000)
	b.RequestDone(now, c)
	b.ChargeResponse(c, 1000)
	if got := b.Stats()[connlimit.Caller].MemoryBytes; got != oneConnection() {
		t.Errorf("%d bytes are charged to an idle connection, want %d", got, oneConnection())
	}
}

// Guards against requests that were started before a turn that never comes, so that what is
// charged for them stays, and the limits do not apply to later requests of the connection.
func TestRequestsWithoutTurnAreDropped(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		responses int
		handled   []string
	}{
		// The server takes the empty line without carriage returns as the end of a head. What
		// it reads as the body of /c was taken as a request.
		"bare line feeds": {"GET /a HTTP/1.1\r\nHost: a\r\n\r\n" +
			"GET /b HTTP/1.1\nHost: a\n\nPOST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 28\r\n\r\n" + "GET /d HTTP/1.1\r\nHost: a\r\n\r\n",
			3, []string{"/a false", "/b false", "/c false"}},
		// net/http responds to this request itself.
		"not passed on": {"GET /a HTTP/1.1\r\nHost: a\r\n\r\nOPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
			3, []string{"/a false", "/b true"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startAhead(t)
			s.exchange(t, c.text, c.responses)
			for _, want := range c.handled {
				select {
				case got := <-s.handled:
					if got != want {
						t.Errorf("handled %s, want %s", got, want)
					}
				case <-time.After(20 * time.Second):
					t.Fatal("not handled:", want)
				}
			}
			s.awaitCharge(t)
		})
	}
}
