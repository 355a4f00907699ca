package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"testing"

	"burdockglade.dev/router/errkind"
)

// brokenResponse is what an upstream writes before it closes the connection.
type brokenResponse struct {
	name   string
	method string // POST if empty
	text   func(id string) string
	reset  bool
	// keep is true if the response is complete and the connection stays open.
	keep bool
}

// head returns a response of status 200 with an id, a signature, the header lines and
// what follows them.
func head(version, lines, rest string) func(id string) string {
	return func(id string) string {
		return "HTTP/" + version + " 200 OK\r\n" + idLine(id) + "Signature: s\r\n" + lines + rest
	}
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// bodySizes are sizes of bodies below, at and above the limit for buffering.
var bodySizes = []int{100, maxBufferedResponse, 3 * maxBufferedResponse}

// brokenResponses returns the responses that break off or whose end is not certain.
func brokenResponses() []brokenResponse {
	cases := []brokenResponse{
		{name: "nothing", text: func(string) string { return "" }},
		{name: "half of the blank line", text: head("1.1", "Content-Length: 0\r\n\r", "")},
		{name: "no blank line", text: head("1.1", "Content-Length: 0\r\n", "")},
		{name: "cut name in a complete head", text: head("1.1", "Content-Le\r\n\r\n", "")},
		{name: "folded length", text: head("1.1", "Content-Length: 1\r\n 0\r\n\r\n", "short")},
		{name: "bare line feeds, short", text: head("1.1", "Content-Length: 10\n\n", "short")},
		{name: "bare line feeds, cut head", text: head("1.1", "Content-Length: 10\n", "")},
		{name: "length twice, short", text: head("1.1", "Content-Length: 10\r\nContent-Length: 10\r\n\r\n", "short")},
		{name: "two lengths", text: head("1.1", "Content-Length: 5\r\nContent-Length: 10\r\n\r\n", "short")},
		{name: "two lengths in one field", text: head("1.1", "Content-Length: 5, 10\r\n\r\n", "short")},
		{name: "negative length", text: head("1.1", "Content-Length: -1\r\n\r\n", "short")},
		{name: "huge length", text: head("1.1", "Content-Length: 9223372036854775807\r\n\r\n", "short")},
		{name: "too huge length", text: head("1.1", "Content-Length: 99999999999999999999\r\n\r\n", "short")},
		{name: "signed length", text: head("1.1", "Content-Length: +5\r\n\r\n", "short")},
		{name: "empty length", text: head("1.1", "Content-Length: \r\n\r\n", "short")},
		{name: "length and chunks, cut", text: head("1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("short"))},
		{name: "unknown coding", text: head("1.1", "Transfer-Encoding: gzip, chunked\r\n\r\n", chunk("short"))},
		{name: "chunked twice", text: head("1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("short"))},
		{name: "1.0, short", text: head("1.0", "Content-Length: 10\r\n\r\n", "short")},
		{name: "1.0, chunked, cut", text: head("1.0", "Transfer-Encoding: chunked\r\n\r\n", chunk("short"))},
		{name: "1.0, chunked and a length, cut", text: head("1.0", "Content-Length: 100\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("short"))},
		{name: "1.0, no length", text: head("1.0", "\r\n", "short"), reset: true},
		{name: "interim only", text: func(string) string { return "HTTP/1.1 100 Continue\r\n\r\n" }},
		{name: "interim with fields only", text: func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n" + idLine(id) + "Signature: s\r\nContent-Length: 0\r\n\r\n"
		}},
		{name: "interim and a cut head", text: func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + idLine(id) + "Signature: s\r\n"
		}},
		{name: "head request, cut head", method: "HEAD", text: head("1.1", "Content-Length: 5\r\n", "")},
		{name: "no content, cut head", text: func(id string) string { return "HTTP/1.1 204 No Content\r\n" + idLine(id) + "Signature: s\r\n" }},
		{name: "not modified, cut head", text: func(id string) string { return "HTTP/1.1 304 Not Modified\r\n" + idLine(id) + "Signature: s\r\n" }},
	}
	for _, size := range bodySizes {
		cases = append(cases, brokenBodies(size)...)
	}
	return append(cases, mergedHeads()...)
}

// mergedHeads returns heads that break off and are continued by an earlier response.
func mergedHeads() []brokenResponse {
	cases := []brokenResponse{{name: "cut head of a failure and an earlier refusal", text: func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\n" + idLine(id) + "Signature: s\r\nLoad: 1," + rawRefusal("")
	}}}
	for _, id := range []string{"", idLine("earlier")} {
		for name, earlier := range map[string]string{
			"refusal":  rawRefusal(id),
			"response": rawResponse("200 OK", id+"Signature: s\r\n", "early"),
		} {
			cases = append(cases, brokenResponse{name: "cut head and an earlier " + name + " " + id, text: head("1.1", "Load: 1,", earlier)})
		}
	}
	return cases
}

// brokenBodies returns responses of which size bytes of the body arrive.
func brokenBodies(size int) []brokenResponse {
	body := strings.Repeat("b", size)
	chunked := func(rest string) func(string) string { return head("1.1", "Transfer-Encoding: chunked\r\n\r\n", rest) }
	whole := chunk(body)
	cases := []brokenResponse{
		{name: "length", text: head("1.1", fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1), body)},
		{name: "length, reset", text: head("1.1", fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1), body), reset: true},
		{name: "no length, reset", text: head("1.1", "\r\n", body), reset: true},
		{name: "chunk size", text: chunked(whole + "5")},
		{name: "chunk size without line feed", text: chunked(whole + "5\r")},
		{name: "chunk data", text: chunked(whole + "5\r\nabc")},
		{name: "end of chunk data", text: chunked(whole + "5\r\nabcde")},
		{name: "half of the end of chunk data", text: chunked(whole + "5\r\nabcde\r")},
		{name: "last chunk missing", text: chunked(whole)},
		{name: "last chunk missing, reset", text: chunked(whole), reset: true},
		{name: "last chunk without line end", text: chunked(whole + "0")},
		{name: "last chunk without trailer", text: chunked(whole + "0\r\n")},
		{name: "half of the blank line behind the last chunk", text: chunked(whole + "0\r\n\r")},
		{name: "trailer field", text: chunked(whole + "0\r\nA: b")},
		{name: "trailer field with line end", text: chunked(whole + "0\r\nA: b\r\n")},
		{name: "trailer field with a blank in its name", text: chunked(whole + "0\r\nX-Odd b: c\r\n\r\n")},
		{name: "trailer field with a control byte in its name", text: chunked(whole + "0\r\nX-Odd\x01b: c\r\n\r\n")},
		{name: "chunk size with a sign", text: chunked(whole + "+5\r\nshort\r\n0\r\n\r\n")},
		{name: "wrong end of chunk data", text: chunked(strings.TrimSuffix(whole, "\r\n") + "xx0\r\n\r\n")},
		{name: "negative chunk size", text: chunked(whole + "-1\r\n\r\n0\r\n\r\n")},
	}
	for i := range cases {
		cases[i].name = fmt.Sprintf("%d bytes, %s", size, cases[i].name)
	}
	return cases
}

// reset closes the connection with a reset.
func (r *rawRequest) reset() {
	_ = r.conn.(*net.TCPConn).SetLinger(0)
	_ = r.conn.Close()
}

// serveBroken makes the upstream write the nth response for the path /pay/n or /look/n, and
// a correct response for other paths.
func (u *testUpstream) serveBroken(cases []brokenResponse) {
	u.serveRaw(func(r *rawRequest) bool {
		n, err := strconv.Atoi(path.Base(r.URL.Path))
		if err != nil {
			r.write(rawSuccess(r.id, "answer to "+r.id))
			return true
		}
		r.write(cases[n].text(r.id))
		if cases[n].reset {
			r.reset()
		}
		return cases[n].keep
	})
}

// readWhole reads a response. It returns an error if the response is not complete.
func readWhole(br *bufio.Reader, method string) (response, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return response{}, err
	}
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// exchangeBroken sends a request for the nth response and, behind it on the same
// connection, one with a correct response.
func exchangeBroken(t *testing.T, entry *testHost, method string, n int) (response, error) {
	t.Helper()
	conn, err := net.Dial("tcp4", entry.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := func(method, path, id string) string {
		return method + " /pay/" + path + " HTTP/1.1\r\nHost: test\r\nRequest-Id: " + id + "\r\nDeadline: 4000\r\nContent-Length: 0\r\n\r\n"
	}
	if _, err := io.WriteString(conn, request(method, strconv.Itoa(n), "broken")+request("POST", "correct", "behind")); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(conn)
	got, err := readWhole(br, method)
	if err != nil {
		return got, err
	}
	behind, behindErr := readWhole(br, "POST")
	if behindErr == nil && (behind.header.Get("Request-Id") != "behind" || behind.status == http.StatusOK && behind.body != "answer to behind") {
		t.Errorf("the next response on the connection: %d %q", behind.status, behind.body)
	}
	if behindErr != nil && !errors.Is(behindErr, io.ErrUnexpectedEOF) && !errors.Is(behindErr, io.EOF) {
		t.Errorf("the next response on the connection: %v", behindErr)
	}
	return got, nil
}

// Guards against callers that take a response which broke off for a complete one, at the
// upstream's host and behind a hop.
func TestBrokenResponseIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	cases := brokenResponses()
	c.hosts[0].upstream.serveBroken(cases)
	for _, entry := range c.hosts {
		for n, b := range cases {
			method := b.method
			if method == "" {
				method = "POST"
			}
			got, err := exchangeBroken(t, entry, method, n)
			if err == nil && got.status != http.StatusBadGateway {
				t.Errorf("%s: %s: status %d with %d bytes looks complete", entry.settings.Host.Name, b.name, got.status, len(got.body))
			}
			if strings.Contains(got.body, "X-Odd") {
				t.Errorf("%s: %s: the caller got a line of the trailer: %s", entry.settings.Host.Name, b.name, got.body)
			}
		}
	}
}

// Guards against a head that is taken for complete although it broke off.
func TestHeadCutAnywhereIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	whole := head("1.1", "A: b\r\nContent-Length: 0\r\nLoad: 1,2,3\r\n\r\n", "")("broken")
	var cases []brokenResponse
	for end := range len(whole) {
		cases = append(cases, brokenResponse{name: fmt.Sprintf("%q", whole[:end]), text: func(string) string { return whole[:end] }})
	}
	c.hosts[0].upstream.serveBroken(cases)
	for n, b := range cases {
		if got, err := exchangeBroken(t, c.hosts[1], "POST", n); err == nil && got.status != http.StatusBadGateway {
			t.Errorf("%s: status %d looks complete", b.name, got.status)
		}
	}
}

// Guards against the same for a request that was sent behind another one and is processed
// before its turn.
func TestBrokenPipelinedResponseIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	cases := brokenResponses()
	c.hosts[0].upstream.serveBroken(cases)
	for _, entry := range c.hosts {
		for n, b := range cases {
			if b.method != "" {
				continue
			}
			p := newPipeline(t, entry)
			p.send(getRequest("/look/correct", "ahead") + getRequest(fmt.Sprintf("/look/%d", n), "broken"))
			if got, err := readWhole(p.responses, "GET"); err != nil || got.body != "answer to ahead" {
				t.Errorf("%s: the response ahead of %q: %d %q, %v", entry.settings.Host.Name, b.name, got.status, got.body, err)
			}
			if got, err := readWhole(p.responses, "GET"); err == nil && got.status != http.StatusBadGateway && !refusedUnsent(got) {
				t.Errorf("%s: %s: status %d with %d bytes looks complete: %s", entry.settings.Host.Name, b.name, got.status, len(got.body), got.body)
			}
			_ = p.conn.Close()
		}
	}
}

// refusedUnsent reports whether the router refused the request because no connection to the
// upstream could be set up in time, as on a busy machine. Nothing was sent then.
func refusedUnsent(got response) bool {
	return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, string(errkind.UpstreamDown))
}

// Guards against complete responses that are refused or altered.
func TestWholeResponseIsPassedOn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	var cases []brokenResponse
	var bodies []string
	add := func(name, method, body string, text func(id string) string) {
		framed := !strings.HasPrefix(text(""), "HTTP/1.0") && name != "no length" && name != "head without length"
		cases = append(cases, brokenResponse{name: name, method: method, text: text, keep: framed})
		bodies = append(bodies, body)
	}
	for _, size := range append([]int{0}, bodySizes...) {
		body := strings.Repeat("b", size)
		length := fmt.Sprintf("Content-Length: %d\r\n", size)
		add("length", "POST", body, head("1.1", length+"\r\n", body))
		add("length twice", "POST", body, head("1.1", length+length+"\r\n", body))
		add("1.0", "POST", body, head("1.0", length+"\r\n", body))
		add("no length", "POST", body, head("1.1", "\r\n", body))
		last := "0\r\nA: b\r\n\r\n"
		if size > 0 {
			last = chunk(body) + last
		}
		add("chunked", "POST", body, head("1.1", "Transfer-Encoding: chunked\r\n\r\n", last))
		add("head", "HEAD", "", head("1.1", length+"\r\n", ""))
		add("interim first", "POST", body, func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + head("1.1", length+"\r\n", body)(id)
		})
	}
	add("head without length", "HEAD", "", head("1.1", "\r\n", ""))
	c.hosts[0].upstream.serveBroken(cases)
	for _, entry := range c.hosts {
		for n, b := range cases {
			got, err := exchangeBroken(t, entry, b.method, n)
			if err != nil || got.status != http.StatusOK || got.body != bodies[n] {
				t.Errorf("%s: %s, %d bytes: got %d with %d bytes, %v", entry.settings.Host.Name, b.name, len(bodies[n]), got.status, len(got.body), err)
			}
		}
	}
}

// Guards against callers of HTTP/1.0 that take a response which broke off for a complete
// one: only the way in which the connection ends tells them apart.
func TestBrokenResponseOfUnknownLengthEndsWithReset(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	body := strings.Repeat("b", 3*maxBufferedResponse)
	chunked := "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)
	c.hosts[0].upstream.serveBroken([]brokenResponse{
		{text: head("1.1", chunked+"0\r\n\r\n", ""), keep: true},
		{text: head("1.1", chunked+"5\r\nab", "")},
	})
	for _, entry := range c.hosts {
		for n, whole := range []bool{true, false} {
			conn, err := net.Dial("tcp4", entry.settings.Listen.Caller)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "GET /pay/%d HTTP/1.0\r\nHost: test\r\nRequest-Id: r\r\nDeadline: 4000\r\n\r\n", n); err != nil {
				t.Fatal(err)
			}
			got, err := readWhole(bufio.NewReader(conn), "GET")
			_ = conn.Close()
			if (err == nil) != whole || (whole && got.body != body) {
				t.Errorf("%s: got %d with %d bytes, %v; want whole: %v", entry.settings.Host.Name, got.status, len(got.body), err, whole)
			}
		}
	}
}
