package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an upstream that gets no requests because callers that do not read their
// long responses keep its slots, also behind the deadline.
func TestStalledCallerDoesNotKeepASlot(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain")
	c.waitReady()
	h := c.hosts[0]
	piece := []byte(strings.Repeat("x", 64<<10))
	h.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(testHeaders.Signature, "s")
		for err := error(nil); err == nil; _, err = w.Write(piece) {
			if r.Context().Err() != nil {
				break
			}
		}
		return true
	})
	for i := range 4 {
		conn, err := net.Dial("tcp4", h.settings.Listen.Caller)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: test\r\n%s: s%d\r\n%s: 500\r\n\r\n", testHeaders.RequestID, i, testHeaders.DeadlineMs); err != nil {
			t.Fatal(err)
		}
	}
	busy := func() int {
		_, n, _ := h.gate.limiter.Stats()
		return n
	}
	c.eventually("slots are busy", func() bool { return busy() > 0 })
	c.eventually("the slots are free behind the deadline", func() bool { return busy() == 0 })
}
