package hop

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// recordResponse returns the bytes that a server writes for a response.
func recordResponse(t *testing.T, length int64, body string) []byte {
	t.Helper()
	client, server := net.Pipe()
	go func() {
		c := &serverConn{Conn: server}
		_ = c.writeResponse(&Response{
			ResponseHead: ResponseHead{Status: 200, Signature: "s", Fields: []Field{{Name: "A", Value: "b"}}, Length: length},
			Body:         io.NopCloser(strings.NewReader(body)),
		})
		_ = server.Close()
	}()
	message, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return message
}

// startCutServer starts a server that writes the part of a message that cut receives for
// each connection and closes or resets it, and returns a client of it.
func startCutServer(t *testing.T, parts <-chan []byte, reset bool) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for part := range parts {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c := &serverConn{Conn: conn, br: bufio.NewReader(conn)}
			_, err = c.readRequest()
			if err == nil {
				_, err = conn.Write(part)
			}
			if err == nil && reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return NewClient(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
}

// Guards against a response of another router that is taken for complete although its
// connection ended in the middle of it.
func TestCutResponseIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		body   string
	}{
		"empty":       {0, ""},
		"short":       {100, strings.Repeat("b", 100)},
		"long":        {maxBufferedBodyBytes + 1, strings.Repeat("b", maxBufferedBodyBytes+1)},
		"in chunks":   {unknownLength, strings.Repeat("b", 2*chunkBytes+1)},
		"empty chunk": {unknownLength, ""},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				message := recordResponse(t, c.length, c.body)
				parts := make(chan []byte, 1)
				defer close(parts)
				client := startCutServer(t, parts, reset)
				for end := 0; end <= len(message); end += step(end, len(message)) {
					parts <- message[:end]
					body, err := readResponse(t, client)
					if whole := end == len(message); (err == nil) != whole && !(whole && reset) {
						t.Errorf("cut behind %d of %d bytes, reset %v: got %d bytes, %v", end, len(message), reset, len(body), err)
					}
				}
			})
		}
	}
}

// step returns the distance to the next cut: all places near the start and the end, and
// some between them.
func step(end, length int) int {
	const near = 300
	if end < near || end >= length-near {
		return 1
	}
	return min(997, length-near-end)
}

func readResponse(t *testing.T, client *Client) ([]byte, error) {
	t.Helper()
	resp, err := client.Do(t.Context(), &Request{RequestHead: RequestHead{Method: "GET", Target: "/"}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return b.Bytes(), err
}
