package storehttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a broken answer of a store that is taken for one of its answers, or whose
// connection is used again: as a first answer of a connection and as a later one.
func TestBrokenHeadIsAnError(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nshort",
		"status 600":              "HTTP/1.1 600 Trouble\r\nContent-Length: 5\r\n\r\nshort",
		"blank in a name":         "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 5\r\n\r\nshort",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 5\r\n\r\nshort",
		"blank behind the length": "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nContent-Length: 5\r\n\r\nshort",
		"length and chunks":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ns\r\n0\r\n\r\n",
	} {
		for _, wholeFirst := range []int32{0, 1} {
			t.Run(name, func(t *testing.T) {
				var broken, reused atomic.Int32
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = listener.Close() })
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						go func() {
							defer func() { _ = conn.Close() }()
							br := bufio.NewReader(conn)
							for n := int32(0); ; n++ {
								if _, err := http.ReadRequest(br); err != nil {
									return
								}
								response := whole
								if n >= wholeFirst {
									broken.Add(1)
									response = text
								}
								if n > wholeFirst {
									reused.Add(1)
								}
								_, _ = io.WriteString(conn, response)
							}
						}()
					}
				}()
				c := newTestClient(t, "http://"+listener.Addr().String(), longTimeout, 100)
				send := func() (Response, error) {
					return c.SendIdempotent(t.Context(), Request{Method: http.MethodGet, Path: "/"})
				}
				// After a broken answer on a kept connection the request is sent once more, on
				// a new one, where the answer is whole.
				for range 2 {
					resp, err := send()
					if wholeFirst > 0 && (err != nil || string(resp.Body) != "whole") || wholeFirst == 0 && err == nil {
						t.Errorf("got %d %q, %v", resp.Status, resp.Body, err)
					}
				}
				if wholeFirst == 0 {
					if resp, sent, err := c.SendOnce(t.Context(), Request{Method: http.MethodGet, Path: "/"}); err == nil || !sent {
						t.Errorf("sent once: got %d %q, sent %v, %v", resp.Status, resp.Body, sent, err)
					}
				}
				if broken.Load() == 0 || reused.Load() > 0 {
					t.Errorf("%d broken answers, %d requests behind one", broken.Load(), reused.Load())
				}
			})
		}
	}
}
