package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// rawRequest is a request to an upstream whose responses are written byte by byte.
type rawRequest struct {
	*http.Request
	id string
	// firstID is the id of the connection's first request.
	firstID string
	// number counts the requests of the connection from 1.
	number int
	conn   net.Conn
}

// write sends bytes. An error means that the router has closed the connection.
func (r *rawRequest) write(text string) {
	_, _ = io.WriteString(r.conn, text)
}

// serveRaw makes the upstream respond with the bytes that respond writes. The connection
// ends once respond returns false.
func (u *testUpstream) serveRaw(respond func(*rawRequest) bool) {
	u.setHandler(func(w http.ResponseWriter, first *http.Request) bool {
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = conn.Close() }()
		req := &rawRequest{Request: first, firstID: first.Header.Get(testHeaders.RequestID), number: 1, conn: conn}
		for {
			req.id = req.Header.Get(testHeaders.RequestID)
			if !respond(req) {
				return true
			}
			next, err := readRequest(rw.Reader)
			if err != nil {
				return true
			}
			req = &rawRequest{Request: next, firstID: req.firstID, number: req.number + 1, conn: conn}
		}
	})
}

// readRequest reads a request with its body.
func readRequest(br *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// rawResponse returns a response with the status line, header lines and body.
func rawResponse(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// rawRefusal returns a refusal with the header lines.
func rawRefusal(header string) string {
	return rawResponse("503 Service Unavailable", header+"Not-Run: 1\r\n", "full")
}

func idLine(id string) string {
	return testHeaders.RequestID + ": " + id + "\r\n"
}

// rawSuccess returns the response of an upstream that ran the request.
func rawSuccess(id, body string) string {
	return rawResponse("200 OK", idLine(id)+"Signature: s\r\n", body)
}

// runCounter counts the runs of requests by their id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[id]++
	return c.runs[id]
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// repeatRefusals makes the upstream refuse the first request of each connection and run
// each further one, before whose response it writes the refusal once more, with the
// header lines that copyHeader returns for the id of the first.
func (u *testUpstream) repeatRefusals(runs *runCounter, copyHeader func(firstID string) string) {
	u.serveRaw(func(r *rawRequest) bool {
		if r.number == 1 {
			r.write(rawRefusal(idLine(r.id)))
			return true
		}
		runs.add(r.id)
		r.write(rawRefusal(copyHeader(r.firstID)) + rawSuccess(r.id, "done"))
		return true
	})
}

// Guards against callers that are told that a request did not run although it did, and
// against requests that run at a second upstream: the refusal of an earlier request that an
// upstream writes once more does not belong to the next one.
func TestRepeatedRefusalIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		copyHeader func(firstID string) string
		want       int
	}{
		"with its id":      {idLine, http.StatusOK},
		"without its id":   {func(string) string { return "" }, http.StatusBadGateway},
		"with an empty id": {func(string) string { return idLine("") }, http.StatusBadGateway},
	} {
		for _, entry := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, entry %d", name, entry), func(t *testing.T) {
				t.Parallel()
				cl := newCluster(t, "plain", "plain", "keyed")
				cl.waitReady()
				runs := &runCounter{}
				for _, h := range cl.hosts[:2] {
					h.upstream.repeatRefusals(runs, c.copyHeader)
				}
				caller := cl.hosts[entry]
				if got := caller.request(t, "POST", "/pay/1", "first", "1"); got.status != http.StatusServiceUnavailable {
					t.Fatalf("an honest refusal: got %d", got.status)
				}
				// A request that finds no kept connection, because the last one is too long
				// ago, is refused like the first.
				var got response
				id := ""
				for i := 0; i < 20 && runs.count(id) == 0; i++ {
					id = fmt.Sprintf("next-%d", i)
					got = caller.request(t, "POST", "/pay/1", id, "1")
				}
				if n := runs.count(id); n != 1 || got.status != c.want {
					t.Errorf("got %d after %d runs; want %d after 1", got.status, n, c.want)
				}
			})
		}
	}
}

// Guards against the same for a request that is sent again under its id, which then does
// not tell the copy of the first refusal from the response to the second attempt.
func TestRepeatedRefusalOfSameRequestIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, entry := range []int{0, 1} {
		t.Run(fmt.Sprintf("entry %d", entry), func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, "keyed", "plain")
			cl.waitReady()
			cl.waitKeysHeld()
			arrivals, runs := &runCounter{}, &runCounter{}
			cl.hosts[0].upstream.serveRaw(func(r *rawRequest) bool {
				if arrivals.add(r.id) == 1 {
					r.write(rawRefusal(idLine(r.id)))
					return true
				}
				runs.add(r.id)
				if r.number > 1 {
					r.write(rawRefusal(idLine(r.firstID)))
				}
				r.write(rawSuccess(r.id, "done"))
				return true
			})
			got := cl.hosts[entry].request(t, "POST", "/keys/1", "k", "1", "Key", "7")
			if n := runs.count("k"); n != 1 || got.status != http.StatusOK || got.body != "done" {
				t.Errorf("got %d %q after %d runs; want 200 after 1", got.status, got.body, n)
			}
		})
	}
}
