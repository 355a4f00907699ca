package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
)

// brokenResponses are responses with heads that HTTP/1.1 does not allow, most of which end
// without the end of their connection.
var brokenResponses = map[string]string{
	"status 000":                 "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
	"status 000 with a body":     "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nshort",
	"status 101":                 "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"status 600":                 "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n",
	"signed status":              "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
	"another version":            "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
	"blank in a name":            "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 0\r\n\r\n",
	"continued line":             "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
	"blank behind the length":    "HTTP/1.1 200 OK\r\nContent-Length : 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no content with a length":   "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nshort",
	"interim, then broken":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
}

// troubledUpstream writes a whole response to the first requests of each connection and a
// broken one to the next, and counts the requests to which it wrote it.
type troubledUpstream struct {
	whole  int
	broken string

	mu     sync.Mutex
	counts int
	// reused is true if a request followed on a connection with a broken response.
	reused bool
}

func (u *troubledUpstream) serve(_ int, conn net.Conn) {
	br := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		u.mu.Lock()
		if n >= u.whole {
			u.counts, u.reused = u.counts+1, u.reused || n > u.whole
			text = u.broken
		}
		u.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func (u *troubledUpstream) seen() (counts int, reused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts, u.reused
}

// Guards against answers with broken heads that are passed on, or for which a request is sent
// again, and against a connection that is used further: as a first answer of a connection
// and as a later one, to requests, grants and probes.
func TestBrokenHeadsAreErrors(t *testing.T) {
	for name, text := range brokenResponses {
		for _, whole := range []int{0, 1} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				t.Run(name+" "+method, func(t *testing.T) { checkBrokenResponse(t, text, whole, method) })
			}
		}
	}
}

func checkBrokenResponse(t *testing.T, text string, whole int, method string) {
	u := &troubledUpstream{whole: whole, broken: text}
	var reports []string
	var address string
	client := newClient(rawServer(t, u.serve), 8, ClientOptions{OnBrokenResponse: func(from string, err error) {
		address = from
		reports = append(reports, err.Error())
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	do := func(method string) error {
		resp, err := client.Do(ctx, newCall(method))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return err
	}
	for range whole {
		if err := do(http.MethodPost); err != nil {
			t.Fatal(err)
		}
	}
	if err := do(method); !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
		t.Errorf("got %v, want an unknown outcome", err)
	}
	if n, _ := u.seen(); n != 1 {
		t.Errorf("the request was sent %d times", n)
	}
	if len(reports) != 1 || !strings.Contains(reports[0], "broken head") || address != client.target.Load().address {
		t.Errorf("reports %q of %s", reports, address)
	}
	_ = do(method) // on a new connection, where a whole response comes first if whole is 1
	if _, reused := u.seen(); reused {
		t.Error("the connection was used again")
	}
	if whole > 0 {
		return
	}
	if err := client.Probe(ctx); err == nil {
		t.Error("a probe took the response for a sign of life")
	}
	if err := client.Extend(ctx, Grant{GroupID: "g", NotAfter: time.Now().Add(time.Minute), RequestIDs: []string{"r"}}); err == nil || ctx.Err() != nil {
		t.Errorf("a grant got %v", err)
	}
}

// Guards against a body in chunks that is taken for complete although a broken trailer ends it.
func TestBrokenTrailerIsAnError(t *testing.T) {
	u := &troubledUpstream{broken: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nA b: c\r\n\r\n"}
	client := newClient(rawServer(t, u.serve), 8, ClientOptions{})
	resp, err := client.Do(t.Context(), newCall(http.MethodGet))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against whole answers that are refused or altered, in each framing of a body.
func TestUnusualHeadsAreAllowed(t *testing.T) {
	long := strings.Repeat("v", 60<<10)
	for name, text := range map[string]string{
		"no reason":           "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nshort",
		"reason beyond ASCII": "HTTP/1.1 200 \xc3\x96K\r\nContent-Length: 5\r\n\r\nshort",
		"bare line feeds":     "HTTP/1.1 200 OK\nContent-Length: 5\n\nshort",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nshort",
		"interim first":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshort",
		"long head":           "HTTP/1.1 200 OK\r\nA: " + long + "\r\nContent-Length: 5\r\n\r\nshort",
		"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nA: b\r\n\r\n",
	} {
		u := &troubledUpstream{broken: text}
		client := newClient(rawServer(t, u.serve), 8, ClientOptions{})
		for range 3 {
			resp, err := client.Do(t.Context(), newCall(http.MethodPost))
			if err != nil {
				t.Errorf("%s: %v", name, err)
				break
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(body) != "short" || resp.Status != http.StatusOK {
				t.Errorf("%s: got %d %q, %v", name, resp.Status, body, err)
			}
		}
	}
}
