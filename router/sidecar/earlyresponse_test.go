package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

// earlyResponse is a response that an upstream writes before it has read the body of the
// request, and the way in which it ends.
type earlyResponse struct {
	framing framing
	// part is the number of bytes of the body that are written, in the framing.
	part int
	// end ends the connection, or reads on.
	end earlyEnd
	// head replaces the head if it is not nil.
	head *brokenHead
}

// earlyEnd is what an upstream does behind an early response.
type earlyEnd struct {
	name string
	// whole is true if the response is complete.
	whole bool
	play  func(conn *net.TCPConn, unread io.Reader)
}

var (
	// readOn reads the rest of the upload. The sending direction ends if the body of the
	// response ends with it.
	readOn = earlyEnd{name: "reads on", whole: true, play: func(conn *net.TCPConn, unread io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, unread)
		_ = conn.Close()
	}}
	// closeUnread closes the connection although a part of the upload is unread, which resets
	// it.
	closeUnread = earlyEnd{name: "closes", play: func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }}
	// reset and resetLater reset the connection.
	resetAtOnce = earlyEnd{name: "resets", play: func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}}
	resetLater = earlyEnd{name: "resets later", play: func(conn *net.TCPConn, _ io.Reader) {
		<-time.After(50 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}}
)

// text returns what the upstream writes for the request.
func (r earlyResponse) text(id string) string {
	if r.head != nil {
		return r.head.text(id, r.framing)
	}
	return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Signature: s\r\n" + r.framing.fields + "\r\n" + r.framing.body[:r.part]
}

// upload is the body that a caller sends with a request.
type upload struct {
	name  string
	bytes int
	// pause is the time between parts of the body, chunked is true if its length is not sent.
	pause   time.Duration
	chunked bool
}

// uploadPart is the size of the parts in which bodies are sent.
const uploadPart = 16 << 10

var uploads = []upload{
	{name: "none"},
	{name: "short", bytes: 48 << 10},
	{name: "short in chunks", bytes: 48 << 10, chunked: true},
	{name: "long", bytes: 8 << 20},
	{name: "long in chunks", bytes: 8 << 20, chunked: true},
	{name: "long and slow", bytes: 4 << 20, pause: 20 * time.Millisecond},
	{name: "long and slow in chunks", bytes: 4 << 20, pause: 20 * time.Millisecond, chunked: true},
}

// send writes the body until it ends or the connection breaks.
func (u upload) send(conn io.Writer) {
	part := strings.Repeat("u", uploadPart)
	if u.chunked {
		part = chunk(part)
	}
	for range u.bytes / uploadPart {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		if u.pause > 0 {
			<-time.After(u.pause)
		}
	}
	if u.chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// fields returns the header lines that frame the body.
func (u upload) fields() string {
	if u.chunked {
		return "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n", u.bytes)
}

// earlyUpstream responds early to requests for paths that end in "early", and behind the body
// to others.
type earlyUpstream struct {
	listener net.Listener

	mu       sync.Mutex
	response earlyResponse
	// runs counts the requests by id; numbers are their places on their connections.
	runs, numbers map[string]int
	// reused are the ids of requests that arrived behind an early response.
	reused []string
}

func startEarlyUpstream(t *testing.T) *earlyUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &earlyUpstream{listener: l, runs: map[string]int{}, numbers: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn.(*net.TCPConn))
		}
	}()
	return u
}

func (u *earlyUpstream) set(r earlyResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.response = r
}

// serve serves a connection until it ends.
func (u *earlyUpstream) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	early := false
	for number := 1; ; number++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get(testHeaders.RequestID)
		u.mu.Lock()
		u.runs[id]++
		u.numbers[id] = number
		response := u.response
		if early {
			u.reused = append(u.reused, id)
		}
		u.mu.Unlock()
		if path.Base(req.URL.Path) != "early" {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, rawSuccess(id, "answer to "+id)); err != nil {
				return
			}
			continue
		}
		early = true
		if _, err := io.WriteString(conn, response.text(id)); err != nil {
			return
		}
		if response.end.whole && !response.framing.closes {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			continue
		}
		response.end.play(conn, br)
		return
	}
}

func (u *earlyUpstream) seen(id string) (runs, number int, reused []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id], u.numbers[id], u.reused
}

// exchangeEarly sends a request with the upload and returns its response, which may break off.
func exchangeEarly(t *testing.T, entry *testHost, target, id string, u upload) (response, error) {
	t.Helper()
	conn, err := net.Dial("tcp4", entry.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(rawTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: test\r\nRequest-Id: %s\r\nDeadline: 5000\r\n%s\r\n", target, id, u.fields()); err != nil {
		t.Fatal(err)
	}
	go u.send(conn)
	return readWhole(bufio.NewReader(conn), http.MethodPost)
}

// earlyFramings are the framings of early responses, and how much of each body is written if it
// breaks off.
func earlyFramings() map[string]struct {
	framing framing
	cut     int
} {
	type cutFraming = struct {
		framing framing
		cut     int
	}
	body := strings.Repeat("b", 3*maxBufferedResponse)
	chunks := chunk("short") + "0\r\n\r\n"
	longChunks := chunk(body) + "0\r\n\r\n"
	return map[string]cutFraming{
		"length":      {framing{fields: "Content-Length: 10\r\n", body: "0123456789"}, 5},
		"long length": {framing{fields: fmt.Sprintf("Content-Length: %d\r\n", len(body)), body: body}, 2 * maxBufferedResponse},
		"chunks":      {framing{fields: "Transfer-Encoding: chunked\r\n", body: chunks}, len(chunks) - len("0\r\n\r\n")},
		"long chunks": {framing{fields: "Transfer-Encoding: chunked\r\n", body: longChunks}, len(longChunks) - len("0\r\n\r\n")},
		"close":       {framing{body: "0123456789", closes: true}, 10},
		"long close":  {framing{body: body, closes: true}, len(body)},
	}
}

// wholeBody returns the body of a whole response in the framing.
func (f framing) wholeBody() string {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+f.fields+"\r\n"+f.body)), nil)
	if err != nil {
		panic(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(err)
	}
	return string(data)
}

const (
	// earlyTimeLimit is the time within which a caller learns of an early response, whole or
	// not, also if its upload takes longer.
	earlyTimeLimit = 3 * time.Second
	// earlyRepeats is how often each response that breaks off is played: whether the reset
	// reaches the reader or the writer first varies.
	earlyRepeats = 3
)

// earlyTest is a cluster whose plain host has an earlyUpstream.
type earlyTest struct {
	t        *testing.T
	upstream *earlyUpstream
	entry    *testHost
	upload   upload
	requests int
}

// play sends a request for the response, as the first or a later one on the connection to the
// upstream, and checks what the caller gets.
func (e *earlyTest) play(name string, r earlyResponse, later bool) {
	e.t.Helper()
	e.upstream.set(r)
	if later {
		if got, err := exchangeEarly(e.t, e.entry, "/pay/usual", e.nextID(), upload{}); err != nil || got.status != http.StatusOK {
			e.t.Errorf("%s: the usual request before: %d %q, %v", name, got.status, got.body, err)
		}
	}
	id := e.nextID()
	start := time.Now()
	got, err := exchangeEarly(e.t, e.entry, "/pay/early", id, e.upload)
	if took := time.Since(start); took > earlyTimeLimit {
		e.t.Errorf("%s: the caller learned of it after %v", name, took)
	}
	switch whole := got.status == http.StatusOK && err == nil; {
	case r.end.whole && (!whole || got.body != r.framing.wholeBody()):
		e.t.Errorf("%s: a whole response came as %d with %d bytes, %v: %.200s", name, got.status, len(got.body), err, got.body)
	case !r.end.whole && whole:
		e.t.Errorf("%s: a response that breaks off came as a whole one with %d bytes", name, len(got.body))
	case !r.end.whole && err == nil && got.status != http.StatusBadGateway:
		e.t.Errorf("%s: status %d", name, got.status)
	}
	if runs, number, reused := e.upstream.seen(id); runs != 1 || later && number < 2 || len(reused) > 0 && !r.end.whole {
		e.t.Errorf("%s: %d runs, the last as number %d on its connection; on connections with an early response: %v", name, runs, number, reused)
	}
}

func (e *earlyTest) nextID() string {
	e.requests++
	return fmt.Sprintf("r%d", e.requests)
}

// forEachUpload calls play for each upload, beside the upstream and through another router.
func forEachUpload(t *testing.T, play func(e *earlyTest)) {
	for _, u := range uploads {
		for i, place := range []string{"beside the upstream", "through another router"} {
			t.Run(u.name+", "+place, func(t *testing.T) {
				t.Parallel()
				c := newUnconfiguredCluster(t, nil)
				var events logText
				c.log = event.NewLogger(&events, log.InfoLevel)
				t.Cleanup(func() {
					if t.Failed() {
						t.Log(events.String())
					}
				})
				up := startEarlyUpstream(t)
				c.change = func(s *Settings) {
					if s.Host.Service == "plain" {
						s.Upstream.Address = up.listener.Addr().String()
					}
				}
				c.addFirst("plain", "keyed")
				c.waitReady()
				play(&earlyTest{t: t, upstream: up, entry: c.hosts[i], upload: u})
			})
		}
	}
}

// Guards against a response that breaks off while the upload is still on its way and reaches
// the caller as a whole one: the kernel reports a reset once, and the writer may get it.
func TestEarlyResponseThatBreaksOffIsNotWhole(t *testing.T) {
	forEachUpload(t, func(e *earlyTest) {
		ends := []earlyEnd{resetAtOnce, resetLater}
		if e.upload.bytes > 0 {
			ends = append(ends, closeUnread)
		}
		for name, f := range earlyFramings() {
			for _, end := range ends {
				for i := range 2 * earlyRepeats {
					e.play(name+", "+end.name, earlyResponse{framing: f.framing, part: f.cut, end: end}, i%2 == 1)
				}
			}
		}
	})
}

// Guards against a whole response that the caller does not get, because the rest of its upload
// could not be sent or was still on its way.
func TestEarlyWholeResponseIsPassedOn(t *testing.T) {
	forEachUpload(t, func(e *earlyTest) {
		for name, f := range earlyFramings() {
			for _, later := range []bool{false, true} {
				e.play(fmt.Sprintf("%s, later %v", name, later), earlyResponse{framing: f.framing, part: len(f.framing.body), end: readOn}, later)
			}
		}
	})
}

// Guards against responses with broken heads, such as the status 000 or a blank in the name of
// a field, that reach the caller because its upload is still on its way.
func TestBrokenHeadBesideUploadIsNotPassedOn(t *testing.T) {
	forEachUpload(t, func(e *earlyTest) {
		if e.upload.name != "long" && e.upload.name != "long and slow in chunks" {
			return
		}
		for _, f := range framings() {
			for _, head := range brokenHeads() {
				if !head.suits(f) || strings.HasPrefix(f.name, "long") {
					continue
				}
				for _, end := range []earlyEnd{readOn, closeUnread} {
					e.playBrokenHead(fmt.Sprintf("%s, %s, %s", f.name, head.name, end.name), earlyResponse{framing: f, head: &head, end: end})
				}
			}
		}
	})
}

// playBrokenHead sends a request for a response with a broken head and checks that the caller
// gets a refusal of the router.
func (e *earlyTest) playBrokenHead(name string, r earlyResponse) {
	e.t.Helper()
	e.upstream.set(r)
	id := e.nextID()
	start := time.Now()
	got, err := exchangeEarly(e.t, e.entry, "/pay/early", id, e.upload)
	if took := time.Since(start); took > earlyTimeLimit {
		e.t.Errorf("%s: the caller learned of it after %v", name, took)
	}
	if err != nil || got.status != http.StatusBadGateway || got.header.Get("Signature") != "" || strings.Contains(got.body, "Odd") {
		e.t.Errorf("%s: got %d, %v: %.200s", name, got.status, err, got.body)
	}
	if runs, _, reused := e.upstream.seen(id); runs != 1 || len(reused) > 0 {
		e.t.Errorf("%s: %d runs; on connections with an early response: %v", name, runs, reused)
	}
}
