package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pipeline is a caller's connection on which requests are sent without waiting for
// responses.
type pipeline struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

func newPipeline(t *testing.T, h *testHost) *pipeline {
	t.Helper()
	conn, err := net.Dial("tcp4", h.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &pipeline{t: t, conn: conn, responses: bufio.NewReader(conn)}
}

func getRequest(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: test\r\nRequest-Id: " + id + "\r\nDeadline: 4000\r\n\r\n"
}

func (p *pipeline) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.conn, text); err != nil {
		p.t.Fatal(err)
	}
}

// expect reads the next response, which must be the one to the request.
func (p *pipeline) expect(status int, id, path string) {
	p.t.Helper()
	resp := p.next()
	if resp.status != status || resp.header.Get("Request-Id") != id || (status == 200 && !strings.Contains(resp.body, path)) {
		p.t.Fatalf("response %d to %q: %q, want %d to %q for %s", resp.status, resp.header.Get("Request-Id"), resp.body, status, id, path)
	}
}

// expectUnknownOutcome reads the next response, which must be one to the request that
// says nothing about its outcome.
func (p *pipeline) expectUnknownOutcome(id string) {
	p.t.Helper()
	resp := p.next()
	unknown := resp.status == http.StatusBadGateway || resp.status == http.StatusGatewayTimeout
	if !unknown || resp.header.Get("Request-Id") != id {
		p.t.Fatalf("response %d to %q: %q, want 502 or 504 to %q", resp.status, resp.header.Get("Request-Id"), resp.body, id)
	}
}

// next reads the next response.
func (p *pipeline) next() response {
	p.t.Helper()
	resp, err := http.ReadResponse(p.responses, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// holdRequest makes the upstream hold the request with the id until the returned function
// is called. Other requests are served.
func holdRequest(h *testHost, id string) (arrived <-chan string, release func()) {
	reached, released := make(chan string, 1), make(chan struct{})
	h.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get(testHeaders.RequestID) == id {
			reached <- id
			select {
			case <-released:
			case <-r.Context().Done():
			}
		}
		return false
	})
	return reached, func() { close(released) }
}

func postRequest(path, id, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: test\r\nRequest-Id: %s\r\nDeadline: 4000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
}

// holdUntilArrived makes the upstream respond only once n requests have arrived. The
// returned channel gets the id of each request that arrives or is cancelled.
func holdUntilArrived(h *testHost, n int) <-chan string {
	arrived, all := make(chan string, 16), make(chan struct{})
	count := make(chan int, 1)
	count <- 0
	h.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		arrived <- r.Header.Get("Request-Id")
		c := <-count + 1
		count <- c
		if c == n {
			close(all)
		}
		select {
		case <-all:
		case <-r.Context().Done():
			arrived <- "left " + r.Header.Get("Request-Id")
		}
		return false
	})
	return arrived
}

// Guards against requests that wait for the responses to earlier ones on their connection
// although their upstream has free slots, and against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	for name, sends := range map[string][]string{
		"one segment":  {getRequest("/look/1", "a") + getRequest("/look/2", "b") + getRequest("/look/3", "c")},
		"one by one":   {getRequest("/look/1", "a"), getRequest("/look/2", "b"), getRequest("/look/3", "c")},
		"in fragments": {getRequest("/look/1", "a") + getRequest("/look/2", "b")[:20], getRequest("/look/2", "b")[20:] + getRequest("/look/3", "c")[:5], getRequest("/look/3", "c")[5:]},
	} {
		arrived := holdUntilArrived(c.hosts[0], 3)
		p := newPipeline(t, c.hosts[1])
		for i, text := range sends {
			p.send(text)
			if i < len(sends)-1 {
				<-arrived // the server handles the first request now
			}
		}
		for i, id := range []string{"a", "b", "c"} {
			p.expect(200, id, fmt.Sprintf("/look/%d", i+1))
		}
		p.send(getRequest("/nowhere/", "d") + getRequest("/look/4", "e"))
		p.expect(404, "d", "")
		p.expect(200, "e", "/look/4")
		t.Logf("%s: passed", name)
	}
}

// Guards against requests that continue after their caller has left: the bytes of a next
// request hide the end of the connection from net/http.
func TestLeavingCallerCancelsPipelinedRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	arrived := holdUntilArrived(c.hosts[0], 3)
	p := newPipeline(t, c.hosts[1])
	p.send(getRequest("/look/1", "a") + getRequest("/look/2", "b"))
	seen := map[string]bool{<-arrived: true, <-arrived: true}
	if err := p.conn.Close(); err != nil {
		t.Fatal(err)
	}
	timeout := time.After(2 * time.Second) // the deadline is after 4 s
	for range 2 {
		select {
		case id := <-arrived:
			seen[id] = true
		case <-timeout:
			t.Fatalf("seen %v: requests continue", seen)
		}
	}
	if !seen["left a"] || !seen["left b"] {
		t.Errorf("seen %v, want both requests to end", seen)
	}
}

// Guards against a non-repeatable request that runs before its turn: its connection may
// close first, and the caller then resends it.
func TestPipelinedNonRepeatableRequestWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	release := make(chan struct{})
	c.hosts[0].upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "a" {
			<-release
		}
		return false
	})
	p := newPipeline(t, c.hosts[1])
	p.send(getRequest("/look/1", "a") + getRequest("/pay/1", "b") + getRequest("/look/2", "c"))
	c.eventually("the last one ran", func() bool { return c.hosts[0].upstream.runCount("c") == 1 })
	if n := c.hosts[0].upstream.runCount("b"); n != 0 {
		t.Errorf("the payment ran %d times before its turn", n)
	}
	close(release)
	p.expect(200, "a", "/look/1")
	p.expect(200, "b", "/pay/1")
	p.expect(200, "c", "/look/2")
	if n := c.hosts[0].upstream.runCount("b"); n != 1 {
		t.Errorf("the payment ran %d times", n)
	}
}

// Guards against a body that is parsed as requests.
func TestBodiesAreNotReadAsRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	hidden := getRequest("/look/hidden", "hidden")
	part := len(hidden) / 2
	for name, sends := range map[string][]string{
		"with the head":    {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden)},
		"behind the head":  {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)), hidden},
		"in two parts":     {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden[:part]), hidden[part:]},
		"chunked":          {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
		"chunked, in part": {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
	} {
		for _, first := range []string{"", getRequest("/look/0", "zero")} {
			p := newPipeline(t, c.hosts[1])
			p.send(first + "POST /pay/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: p\r\nDeadline: 4000\r\n" + sends[0])
			for _, text := range sends[1:] {
				p.send(text)
			}
			if first != "" {
				p.expect(200, "zero", "/look/0")
			}
			p.expect(200, "p", "/pay/1")
			p.send(getRequest("/look/9", "last"))
			p.expect(200, "last", "/look/9")
			if n := c.hosts[0].upstream.runCount("hidden"); n != 0 {
				t.Errorf("%s: the body ran %d times as a request", name, n)
			}
		}
	}
}

// cuttingListener accepts connections on which the end of a long message is never sent.
type cuttingListener struct{ net.Listener }

func (l cuttingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return cuttingConn{conn}, nil
}

type cuttingConn struct{ net.Conn }

// cutFrom is the length from which a message counts as long.
const cutFrom = 10 << 10

func (c cuttingConn) Write(p []byte) (int, error) {
	if len(p) < cutFrom {
		return c.Conn.Write(p)
	}
	_, err := c.Conn.Write(p[:len(p)-1])
	return len(p), err
}

// Guards against a pipelined request that gets no response because the one before it on
// its connection reached its deadline while the body of its response was on its way.
func TestPipelinedRequestSurvivesCutResponseBeforeIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "keyed")
	c.wrapHop = func(l net.Listener) net.Listener { return cuttingListener{l} }
	c.add("h1", "plain")
	c.waitReady()
	c.hosts[1].upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(testHeaders.Signature, "s")
		if r.Header.Get(testHeaders.RequestID) == "a" {
			_, _ = io.WriteString(w, strings.Repeat("x", cutFrom))
			return true
		}
		return false
	})
	p := newPipeline(t, c.hosts[0])
	p.send(strings.Replace(getRequest("/look/1", "a"), "Deadline: 4000", "Deadline: 500", 1) + getRequest("/look/2", "b"))
	p.expectUnknownOutcome("a")
	p.expect(200, "b", "/look/2")
}

// Guards against a response that breaks off, with its connection and the requests behind
// it, because its deadline passes while it waits for its turn.
func TestPipelinedResponseOutlastsItsDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	release := make(chan struct{})
	c.hosts[0].upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		switch r.Header.Get(testHeaders.RequestID) {
		case "a":
			<-release
		case "b":
			w.Header().Set(testHeaders.Signature, "s")
			_, _ = io.WriteString(w, strings.Repeat("/look/2 ", cutFrom/4))
			return true
		}
		return false
	})
	p := newPipeline(t, c.hosts[1])
	second := strings.Replace(getRequest("/look/2", "b"), "Deadline: 4000", "Deadline: 300", 1)
	deadline := time.Now().Add(500 * time.Millisecond)
	p.send(getRequest("/look/1", "a") + second + getRequest("/look/3", "c"))
	c.eventually("the deadline of the second one", func() bool { return time.Now().After(deadline) })
	close(release)
	p.expect(200, "a", "/look/1")
	p.expect(200, "b", "/look/2")
	p.expect(200, "c", "/look/3")
}

// Guards against a pipelined request that gets no response because the one before it on
// its connection got none before its deadline.
func TestPipelinedRequestSurvivesTimeoutBeforeIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	for _, second := range []string{getRequest("/look/2", "b"), postRequest("/look/2", "b", "1")} {
		arrived, release := holdRequest(c.hosts[0], "a")
		p := newPipeline(t, c.hosts[1])
		p.send(strings.Replace(getRequest("/look/1", "a"), "Deadline: 4000", "Deadline: 300", 1) + second)
		<-arrived
		p.expectUnknownOutcome("a")
		p.expect(200, "b", "/look/2")
		release()
	}
}
