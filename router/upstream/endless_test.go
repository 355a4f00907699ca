package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startEndlessUpstream starts an upstream that writes start and then piece repeatedly until
// the connection closes, and returns its address.
func startEndlessUpstream(t *testing.T, start, piece string) string {
	t.Helper()
	pieces := strings.Repeat(piece, max(1, 4096/len(piece)))
	return rawServer(t, func(_ int, conn net.Conn) {
		_, err := conn.Read(make([]byte, 4096)) // a response before the request is no response
		if err == nil {
			_, err = io.WriteString(conn, start)
		}
		for err == nil {
			_, err = io.WriteString(conn, pieces)
		}
	})
}

// Guards against running out of memory on an endless head, chunk extension or trailer of a
// faulty upstream, in responses to requests, grants and probes: what is buffered must be
// limited.
func TestEndlessHeadsAreCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ start, piece string }{
		"no response at all": {"", "x"},
		"a header field":     {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header fields":      {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"interim responses":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer field":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
		"trailer fields":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		"a refusal":          {"HTTP/1.1 503 Full\r\nBurdock-Outcome: not-run\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newClient(startEndlessUpstream(t, c.start, c.piece), 8, ClientOptions{})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			resp, err := client.Do(ctx, newCall(http.MethodGet))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err == nil || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
				t.Errorf("the response ended with %v", err)
			}
			// Each ends, with a response or an error.
			_ = client.Probe(ctx)
			_ = client.Extend(ctx, Grant{GroupID: "g", NotAfter: time.Now().Add(time.Minute), RequestIDs: []string{"r"}})
			if ctx.Err() != nil {
				t.Error("a probe or a grant ended only because the test ended")
			}
		})
	}
}
