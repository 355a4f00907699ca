package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/route"
)

// startRawOwner starts the hop port of a host that responds to each request with what respond
// returns for its id, and returns the host. n counts the requests of a connection from 0.
func startRawOwner(t *testing.T, respond func(id string, n int) string) ownership.Host {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if _, err := io.WriteString(conn, respond(req.Header.Get(headerAttempt), n)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ownership.Host{Name: "b", Incarnation: 1, HopAddr: l.Addr().String()}
}

// Guards against broken answers of another router that reach callers, for which a request
// is sent again, or of which operators learn nothing.
func TestBrokenAnswerOfOwnerIsNotPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 Trouble\r\nBurdock-Request-Id: %s\r\nContent-Length: 5\r\n\r\nshort",
		"status 600":              "HTTP/1.1 600 Trouble\r\nBurdock-Request-Id: %s\r\nContent-Length: 5\r\n\r\nshort",
		"status 101":              "HTTP/1.1 101 Switching Protocols\r\nBurdock-Request-Id: %s\r\n\r\n",
		"blank in a name":         "HTTP/1.1 200 OK\r\nBurdock-Request-Id: %s\r\nX Odd: v\r\nContent-Length: 5\r\n\r\nshort",
		"blank behind the length": "HTTP/1.1 200 OK\r\nBurdock-Request-Id: %s\r\nContent-Length : 5\r\n\r\nshort",
		"length and chunks":       "HTTP/1.1 200 OK\r\nBurdock-Request-Id: %s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ns\r\n0\r\n\r\n",
	} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, later %v", name, later), func(t *testing.T) {
				var broken, reused atomic.Int32
				holder := startRawOwner(t, func(id string, n int) string {
					if later && n == 0 {
						return fmt.Sprintf("HTTP/1.1 200 OK\r\nBurdock-Request-Id: %s\r\nContent-Length: 5\r\n\r\nwhole", id)
					}
					broken.Add(1)
					if n > 1 || !later && n > 0 {
						reused.Add(1)
					}
					return fmt.Sprintf(text, id)
				})
				routes := route.NewTable()
				routes.Merge(fullRangeGroup(holder, 1))
				var lines bytes.Buffer
				url := startLoggingEntry(t, routes, echoGate("local"), noPeers, 10, event.NewLogger(&lines, log.InfoLevel))
				if later {
					if g := sendRequest(t, http.MethodPost, url+"/orders/k", "body"); g.body != "whole" {
						t.Fatalf("got %d %q, want the whole answer", g.status, g.body)
					}
				}
				g := sendRequest(t, http.MethodPost, url+"/orders/k", "body")
				g.wantRefusal(t, errkind.OutcomeUnknown, errkind.Unknown)
				if g.status != http.StatusBadGateway || broken.Load() != 1 || strings.Contains(g.body, "short") || strings.Contains(g.body, "Odd") {
					t.Errorf("got %d %q after %d broken answers; want a 502 after one", g.status, g.body, broken.Load())
				}
				_ = sendRequest(t, http.MethodPost, url+"/orders/k", "body")
				if reused.Load() > 0 {
					t.Error("the connection was used again")
				}
				for _, want := range []string{`"event":1601`, `"host":"b"`, `"address":"` + holder.HopAddr + `"`, "broken head"} {
					if !strings.Contains(lines.String(), want) {
						t.Errorf("no %s in %s", want, &lines)
					}
				}
			})
		}
	}
}
