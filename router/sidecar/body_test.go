package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
)

// longBody is a request body that is too long to be kept for another attempt.
var longBody = strings.Repeat("payout ", (maxBufferedBody+8<<10)/7)

// scriptedHosts are hosts of the service old that accept requests as their script says.
type scriptedHosts struct {
	mu sync.Mutex
	// refusals is the number of requests that are still to be refused.
	refusals int
	// readFirst makes a host read the body before it refuses.
	readFirst bool
	// offers counts the requests that arrived; bodies are the whole bodies of those that ran.
	offers int
	bodies []string
}

func (s *scriptedHosts) serve(_ context.Context, r *hop.Request) *hop.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offers++
	refuse := s.refusals > 0
	s.refusals--
	if refuse && !s.readFirst {
		return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.Overloaded), Detail: "no slot is free"}}
	}
	body, err := io.ReadAll(r.Stream)
	switch {
	case refuse:
		return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.Overloaded), Detail: "no slot is free"}}
	case err != nil:
		return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.OutcomeUnknown), Detail: err.Error(), Flags: hop.Arrived}}
	}
	s.bodies = append(s.bodies, string(body))
	return &hop.Response{ResponseHead: hop.ResponseHead{Status: http.StatusOK, Signature: "s", Flags: hop.Arrived}}
}

// entryOfScriptedHosts returns an entry that knows two hosts that act by the script.
func entryOfScriptedHosts(t *testing.T, s *scriptedHosts) *entry {
	t.Helper()
	e := newLoneEntry("1")
	e.host = "caller"
	e.exchange = &configExchange{version: e.config.version, confirm: func(uint64, time.Time) {}, wakeCh: make(chan struct{}, 1)}
	for _, name := range []string{"h1", "h2"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := hop.NewServer(s.serve)
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		t.Cleanup(func() {
			_ = server.Close()
			<-served
		})
		e.fleet.Put(fleet.Member{Host: name, Instance: "i-" + name, Service: "old", Zone: "z1", Region: "r1", Address: l.Addr().String(), Slots: 4, State: fleet.Ready})
	}
	return e
}

// sendLongBody sends a request with the long body, in chunks unless it names its length.
func sendLongBody(t *testing.T, e *entry, withLength bool) *http.Response {
	t.Helper()
	server := httptest.NewServer(e)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/pay/1", io.MultiReader(strings.NewReader(longBody)))
	if err != nil {
		t.Fatal(err)
	}
	if withLength {
		req.ContentLength = int64(len(longBody))
	}
	req.Host = "test"
	req.Header.Set(testHeaders.RequestID, "p1")
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp
}

// Guards against a request that runs with an empty or a short body, because a host that
// refused it had read the body and the next one was offered what was left.
func TestReadBodyIsNotOfferedAgain(t *testing.T) {
	t.Parallel()
	for name, withLength := range map[string]bool{"in chunks": false, "with a length": true} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedHosts{refusals: 1, readFirst: true}
			resp := sendLongBody(t, entryOfScriptedHosts(t, s), withLength)
			if len(s.bodies) > 0 || s.offers != 1 {
				t.Errorf("offered %d times; ran with %d bytes, want the %d that were sent or no run", s.offers, len(strings.Join(s.bodies, "")), len(longBody))
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(testHeaders.RetryAfter) == "" {
				t.Errorf("status %d, want 503 with a delay: the request has not run", resp.StatusCode)
			}
		})
	}
}

// Guards against avoidable refusals: a host that refuses a request before it asks for the
// body leaves it to the next one.
func TestUnreadBodyIsOfferedAgain(t *testing.T) {
	t.Parallel()
	for name, withLength := range map[string]bool{"in chunks": false, "with a length": true} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedHosts{refusals: 1}
			resp := sendLongBody(t, entryOfScriptedHosts(t, s), withLength)
			if resp.StatusCode != http.StatusOK || len(s.bodies) != 1 || s.bodies[0] != longBody {
				t.Errorf("status %d after %d offers and %d runs, want 200 after one run with the whole body", resp.StatusCode, s.offers, len(s.bodies))
			}
		})
	}
}

// Guards against a body that has been read and looks like a complete, empty one to whoever
// reads it next.
func TestBodyStreamEndsOnce(t *testing.T) {
	t.Parallel()
	b := &bodyStream{src: strings.NewReader("body"), length: -1}
	if c := (&Call{Stream: b}); !c.bodySendable() {
		t.Error("a body that nobody has read cannot be sent")
	}
	if got, err := io.ReadAll(b); err != nil || string(got) != "body" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := io.ReadAll(b); !errors.Is(err, errBodySent) {
		t.Errorf("second reader: got %q, %v; want %v", got, err, errBodySent)
	}
	if c := (&Call{Stream: b}); c.bodySendable() {
		t.Error("a body that has been read can be sent again")
	}
}
