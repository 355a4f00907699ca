package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// startEndlessServer starts a server that writes start and then piece repeatedly
// until the connection closes, and returns a client of it.
func startEndlessServer(t *testing.T, start, piece string) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	pieces := strings.Repeat(piece, max(1, 4096/len(piece)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = io.WriteString(conn, pieces)
				}
			}()
		}
	}()
	return New(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
}

// Guards against running out of memory on an endless response of a faulty upstream:
// the part that is buffered must be limited.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ start, piece string }{
		"no response at all":    {"", "x"},
		"a header field":        {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header fields":         {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"continuation lines":    {"HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
		"interim responses":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"an earlier response":   {"HTTP/1.1 200 OK\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"earlier responses":     {"", response("a", "x")},
		"an earlier long body":  {"HTTP/1.1 200 OK\r\nRequest: a\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"an earlier unframed":   {"HTTP/1.1 200 OK\r\nRequest: a\r\n\r\n", "x"},
		"an earlier extension":  {"HTTP/1.1 200 OK\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"an earlier trailer":    {"HTTP/1.1 200 OK\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		"a chunk extension":     {"HTTP/1.1 200 OK\r\nRequest: b\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer field":       {"HTTP/1.1 200 OK\r\nRequest: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
		"trailer fields":        {"HTTP/1.1 200 OK\r\nRequest: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		"chunks":                {"HTTP/1.1 200 OK\r\nRequest: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"a body without length": {"HTTP/1.1 200 OK\r\nRequest: b\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := get(t, startEndlessServer(t, c.start, c.piece), "b")
			if err == nil {
				t.Fatalf("got a response of %d bytes", len(got))
			}
			if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
				t.Errorf("the response ended only because the test ended: %v", err)
			}
		})
	}
}
