package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
)

// brokenHead is a head that is not one of HTTP/1.1, although its lines can be told apart.
type brokenHead struct {
	name string
	// status is the status line with its line end, that of a success if it is empty.
	status string
	// lines stand in front of the fields that frame the body.
	lines string
	// framing replaces the fields that frame the body.
	framing func(fields string) string
	// only names the framing for which the head is broken; any if it is empty.
	only string
}

// brokenHeads returns the heads. "X-Odd" is part of each line that must not be passed on.
func brokenHeads() []brokenHead {
	spaced := func(fields string) string { return strings.Replace(fields, ":", " :", 1) }
	blank := func(fields string) string { return strings.Replace(fields, "-", " ", 1) }
	led := func(fields string) string { return " " + fields }
	tabbed := func(fields string) string { return strings.Replace(fields, ":", "\t:", 1) }
	heads := []brokenHead{
		{name: "name of the framing field ends with a blank", framing: spaced},
		{name: "name of the framing field holds a blank", framing: blank},
		{name: "name of the framing field begins with a blank", framing: led},
		{name: "name of the framing field ends with a tab", framing: tabbed},
		{name: "length and chunks", lines: "Content-Length: 5\r\n", only: "chunks"},
		{name: "length and long chunks", lines: "Content-Length: 5\r\n", only: "long chunks"},
		{name: "chunks in HTTP/1.0", status: "HTTP/1.0 200 OK\r\n", only: "chunks"},
		{name: "chunks and a length in HTTP/1.0", status: "HTTP/1.0 200 OK\r\n", lines: "Transfer-Encoding: chunked\r\n", only: "length"},
		{name: "no content with a length", status: "HTTP/1.1 204 No Content\r\n", only: "length"},
		{name: "no content with chunks", status: "HTTP/1.1 204 No Content\r\n", only: "chunks"},
		{name: "interim with a length", status: "HTTP/1.1 100 Continue\r\n", only: "length"},
		{name: "interim with chunks", status: "HTTP/1.1 100 Continue\r\n", only: "chunks"},
		{name: "another protocol", status: "HTTP/1.1 101 Switching Protocols\r\n"},
	}
	for _, status := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 099 Trouble", "HTTP/1.1 020 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1 ",
		"HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP 200 OK", "200 OK", "",
	} {
		heads = append(heads, brokenHead{name: fmt.Sprintf("status line %q", status), status: status + "\r\n"})
	}
	for _, line := range []string{
		"X Odd: v", "X-Odd : v", " X-Odd: v", "\tX-Odd: v", "X\tOdd: v", "X-Odd\t: v", "X\x00Odd: v", "X\x01Odd: v", "X\x1fOdd: v", "X\x7fOdd: v",
		"X\rOdd: v", "\rX-Odd: v", "X-Odd\r: v", "X(Odd): v", "X-\xc3\x96dd: v", ": X-Odd", "X-Odd", "X-Odd: a\x00b", "X-Odd: a\x01b", "X-Odd: a\x7fb", "X-Odd: a\rb",
		"X-Odd: a\r\n b",
	} {
		heads = append(heads, brokenHead{name: fmt.Sprintf("line %q", line), lines: line + "\r\n"})
	}
	return heads
}

// text returns the response with the head and the body in the framing.
func (b brokenHead) text(id string, f framing) string {
	status := "HTTP/1.1 200 OK\r\n"
	if b.status != "" {
		status = b.status
	}
	fields := f.fields
	if b.framing != nil {
		fields = b.framing(fields)
	}
	return status + idLine(id) + "Signature: s\r\n" + b.lines + fields + "\r\n" + f.body
}

// framing is a way to mark the end of a body.
type framing struct {
	name, fields, body string
	// closes is true if the body ends with the connection.
	closes bool
}

func framings() []framing {
	long := strings.Repeat("b", 3*maxBufferedResponse)
	return []framing{
		{name: "length", fields: "Content-Length: 5\r\n", body: "short"},
		{name: "chunks", fields: "Transfer-Encoding: chunked\r\n", body: chunk("short") + "0\r\n\r\n"},
		{name: "close", body: "short", closes: true},
		{name: "empty", fields: "Content-Length: 0\r\n"},
		{name: "long length", fields: fmt.Sprintf("Content-Length: %d\r\n", len(long)), body: long},
		{name: "long chunks", fields: "Transfer-Encoding: chunked\r\n", body: chunk(long) + "0\r\n\r\n"},
	}
}

// suits reports whether the head is broken in the framing.
func (b brokenHead) suits(f framing) bool {
	return (b.only == "" || b.only == f.name) && (b.framing == nil || f.fields != "")
}

// troubledUpstream writes responses with broken heads, each once per request.
type troubledUpstream struct {
	framing framing
	// later is true if the broken response follows a whole one on its connection.
	later bool

	mu   sync.Mutex
	head brokenHead
	// broken counts the broken responses by the id of their requests.
	broken map[string]int
	// brokenOn are the connections with a broken response, and reused the ids of requests that
	// arrived on one of them behind it.
	brokenOn map[net.Conn]bool
	reused   []string
}

func (u *troubledUpstream) set(head brokenHead) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.head, u.broken, u.brokenOn, u.reused = head, map[string]int{}, map[net.Conn]bool{}, nil
}

// respond implements the function of serveRaw.
func (u *troubledUpstream) respond(r *rawRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.brokenOn[r.conn] {
		u.reused = append(u.reused, r.id)
	}
	if path.Base(r.URL.Path) != "broken" || u.later && r.number == 1 {
		r.write(u.whole(r.id))
		return u.later
	}
	u.broken[r.id]++
	u.brokenOn[r.conn] = true
	r.write(u.head.text(r.id, u.framing))
	return !u.framing.closes
}

// whole returns a whole response. Its connection is kept only if a broken one is to follow.
func (u *troubledUpstream) whole(id string) string {
	header := idLine(id) + "Signature: s\r\n"
	if !u.later {
		header += "Connection: close\r\n"
	}
	return rawResponse("200 OK", header, "answer to "+id)
}

func (u *troubledUpstream) brokenCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.broken[id]
}

func (u *troubledUpstream) reusedBy() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.reused)
}

// rawTimeout ends tests whose caller gets no response.
const rawTimeout = 30 * time.Second

// rawExchange is a connection of a caller.
type rawExchange struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func (h *testHost) dialRaw(t *testing.T) *rawExchange {
	t.Helper()
	conn, err := net.Dial("tcp4", h.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(rawTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawExchange{t: t, conn: conn, br: bufio.NewReader(conn)}
}

// send sends a request that may run once, and returns the head and the body of its response
// as they arrive.
func (e *rawExchange) send(target, id string) (head, body string, resp *http.Response) {
	e.t.Helper()
	if _, err := fmt.Fprintf(e.conn, "POST %s HTTP/1.1\r\nHost: test\r\nRequest-Id: %s\r\nDeadline: 4000\r\nContent-Length: 0\r\n\r\n", target, id); err != nil {
		e.t.Fatal(err)
	}
	for !strings.HasSuffix(head, "\r\n\r\n") {
		line, err := e.br.ReadString('\n')
		if err != nil {
			e.t.Fatalf("%s: the response broke off behind %q: %v", id, head+line, err)
		}
		head += line
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), e.br)), nil)
	if err != nil {
		e.t.Fatalf("%s: %q: %v", id, head, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		e.t.Fatalf("%s: %q: %v", id, head, err)
	}
	return head, string(data), resp
}

// expectWrongAnswer checks the response to a request whose server answered wrongly: it says
// that the request may have run, and holds nothing of the server's answer.
func expectWrongAnswer(t *testing.T, id, head, body string, resp *http.Response) {
	t.Helper()
	var problem errkind.Problem
	err := json.Unmarshal([]byte(body), &problem)
	if resp.StatusCode != http.StatusBadGateway || err != nil || errkind.ResponseOf(problem.Kind).Outcome != errkind.Unknown {
		t.Errorf("%s: got %q %.100q; want a 502 that says that the request may have run", id, head, body)
	}
	if strings.Contains(body, "deadline") {
		t.Errorf("%s: got %q when its deadline had passed", id, body)
	}
	for name := range resp.Header {
		if !slices.Contains([]string{"Request-Id", "Content-Type", "Content-Length"}, name) {
			t.Errorf("%s: field %q in %q", id, name, head)
		}
	}
	if strings.Contains(head+body, "Odd") || resp.Header.Get(testHeaders.RequestID) != id {
		t.Errorf("%s: head %q", id, head)
	}
}

// Guards against answers with broken heads that reach callers, at the host of the upstream
// and behind a hop, for each framing of a body, as a first answer of a connection and as a
// later one: odd statuses, odd names and values of fields, and fields that do not say where
// the body ends. The request may have run, so that it is not sent again, the caller is not
// told that it did not run, and the connection is not used again.
func TestBrokenHeadIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, f := range framings() {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, later %v", f.name, later), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, "plain", "keyed")
				c.waitReady()
				u := &troubledUpstream{framing: f, later: later}
				u.set(brokenHead{})
				c.hosts[0].upstream.serveRaw(u.respond)
				for _, head := range brokenHeads() {
					if !head.suits(f) {
						continue
					}
					for _, entry := range c.hosts {
						t.Run(head.name+", entry "+entry.settings.Host.Name, func(t *testing.T) {
							u.set(head)
							checkBrokenHead(t, u, entry)
						})
					}
				}
			})
		}
	}
}

// checkBrokenHead sends requests until one is answered with the broken head, and one more.
func checkBrokenHead(t *testing.T, u *troubledUpstream, entry *testHost) {
	caller := entry.dialRaw(t)
	var head, body string
	var resp *http.Response
	for i := range 20 {
		if u.later {
			caller.send("/pay/warm", fmt.Sprint("warm-", i))
		}
		id := fmt.Sprint("broken-", i)
		head, body, resp = caller.send("/pay/broken", id)
		n := u.brokenCount(id)
		if n == 0 { // it found no kept connection, because the last request is too long ago
			continue
		}
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		expectWrongAnswer(t, id, head, body, resp)
		if _, body, resp := caller.send("/pay/whole", "behind"); resp.StatusCode != http.StatusOK || body != "answer to behind" {
			t.Errorf("the next request got %d %q", resp.StatusCode, body)
		}
		if reused := u.reusedBy(); len(reused) > 0 {
			t.Errorf("requests %q used the connection again", reused)
		}
		return
	}
	t.Errorf("no request was answered with the broken head; the last one got %q %q", head, body)
}

// Guards against a whole answer that is refused or altered because its head is unusual.
func TestUnusualHeadIsPassedOn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	type field struct{ line, name, value string }
	var cases []brokenResponse
	var fields []field
	for _, status := range []string{"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 \xc3\x96K", "HTTP/1.0 200 OK"} {
		for _, f := range []field{
			{"x-odd.!#$%&'*+^_`|~9:\r\n", "X-Odd.!#$%&'*+^_`|~9", ""},
			{"X-Odd:\t a\tb \xc3\x96 \r\n", "X-Odd", "a\tb \xc3\x96"},
			{"X-Odd: \xd6\xff\r\n", "X-Odd", "\xd6\xff"},
			{"X-Odd: " + strings.Repeat("v", 60<<10) + "\r\n", "X-Odd", strings.Repeat("v", 60<<10)},
			{strings.Repeat("X-Odd: v\r\n", 1000), "X-Odd", "v"},
		} {
			fields = append(fields, f)
			cases = append(cases, brokenResponse{name: fmt.Sprintf("%q, %.40q", status, f.line), keep: true, text: func(id string) string {
				return status + "\r\n" + idLine(id) + "Signature: s\r\n" + f.line + "Content-Length: 5\r\n\r\nshort"
			}})
		}
	}
	c.hosts[0].upstream.serveBroken(cases)
	for _, entry := range c.hosts {
		for n, b := range cases {
			head, body, resp := entry.dialRaw(t).send(fmt.Sprint("/pay/", n), "r")
			if resp.StatusCode != http.StatusOK || body != "short" || resp.Header.Get("Signature") != "s" {
				t.Errorf("%s, entry %s: got %.200q %q", b.name, entry.settings.Host.Name, head, body)
			}
			if values := resp.Header.Values(fields[n].name); len(values) == 0 || values[0] != fields[n].value {
				t.Errorf("%s, entry %s: got %.200q", b.name, entry.settings.Host.Name, head)
			}
		}
	}
}

// ofEvent returns the lines of the event with the number.
func (l *logText) ofEvent(number int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, fmt.Sprintf(`"event":%d,`, number)) {
			found = append(found, line)
		}
	}
	return found
}

// Guards against broken answers of which operators learn nothing: broken heads, and long
// bodies that break off when a part of them was passed on.
func TestBrokenResponseIsLogged(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ text, cause string }{
		"head":      {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", "status"},
		"trailer":   {head("1.1", "Transfer-Encoding: chunked\r\n\r\n", chunk("short")+"0\r\nX-Odd b: c\r\n\r\n")("r"), "X-Odd b"},
		"long body": {head("1.1", fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*maxBufferedResponse), strings.Repeat("b", 3*maxBufferedResponse))("r"), "unexpected EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newUnconfiguredCluster(t, nil)
			lines := &logText{}
			cl.log = event.NewLogger(lines, log.InfoLevel)
			cl.addFirst("plain", "keyed")
			cl.waitReady()
			cl.hosts[0].upstream.serveRaw(func(r *rawRequest) bool {
				r.write(c.text)
				return false
			})
			got := cl.hosts[1].request(t, "POST", "/pay/1", "r", "1")
			if got.status != 0 && got.status != http.StatusBadGateway {
				t.Errorf("got %d, want a 502 or a response that breaks off", got.status)
			}
			cl.eventually("the event", func() bool { return len(lines.ofEvent(eventBrokenResponse.Number)) > 0 })
			for _, want := range []string{`"request":"r"`, `"instance":"i-h0"`, `"address":"` + cl.hosts[0].upstream.address() + `"`, c.cause} {
				if line := lines.ofEvent(eventBrokenResponse.Number)[0]; !strings.Contains(line, want) {
					t.Errorf("no %s in %s", want, line)
				}
			}
		})
	}
}

// Guards against a repeatable request that ends with the broken answer of one upstream
// although another one can serve it.
func TestRepeatableRequestIsServedDespiteBrokenHead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain", "keyed")
	c.waitReady()
	c.hosts[0].upstream.serveRaw(func(r *rawRequest) bool {
		r.write("HTTP/1.1 000 Trouble\r\n" + idLine(r.id) + "Signature: s\r\nContent-Length: 5\r\n\r\nshort")
		return true
	})
	for i := range 8 {
		entry := c.hosts[i%len(c.hosts)]
		id := fmt.Sprint("r", i)
		got := entry.request(t, "GET", "/look/1", id, "")
		if got.status != http.StatusOK || !strings.HasPrefix(got.body, "i-h1 ") {
			t.Errorf("%s at %s: got %d %q", id, entry.settings.Host.Name, got.status, got.body)
		}
	}
}
