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
	resp, err := http.ReadResponse(p.responses, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	if resp.StatusCode != status || resp.Header.Get("Request-Id") != id || (status == 200 && !strings.Contains(string(body), path)) {
		p.t.Fatalf("response %d to %q: %q, want %d to %q for %s", resp.StatusCode, resp.Header.Get("Request-Id"), body, status, id, path)
	}
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
