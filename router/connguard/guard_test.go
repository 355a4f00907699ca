package connguard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
)

func longTimeouts(connlimit.Class) connlimit.Timeouts {
	return connlimit.Timeouts{Fresh: 2 * time.Minute, Head: 2 * time.Minute, Idle: 2 * time.Minute}
}

// Guards against clients that never read their responses and so keep connections for ever.
func TestUnreadResponsesEnd(t *testing.T) {
	scope := metrics.New() // has a goroutine of its own
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		g := New(Options{Timeouts: longTimeouts, Scope: scope, Log: event.NewLogger(io.Discard, 0)})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.Run(ctx)
		c := g.open(near, connlimit.Router, true)
		c.SetBusy(true)
		start := time.Now()
		if err := c.SetWriteDeadline(start.Add(2 * unreadTime)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) != 2*unreadTime {
			t.Errorf("with a deadline of the server: %v after %v", err, time.Since(start))
		}
		if err := c.SetWriteDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		start = time.Now()
		if _, err := c.Write([]byte("x")); err == nil || time.Since(start) < unreadTime || time.Since(start) > unreadTime+time.Second {
			t.Errorf("unread response: %v after %v", err, time.Since(start))
		}
	})
}

// scriptedConn yields the same head at each read.
type scriptedConn struct {
	net.Conn
	head []byte
}

func (c scriptedConn) Read(p []byte) (int, error) { return copy(p, c.head), nil }

// BenchmarkGuardedRequest measures what the guard adds to an ordinary request, with and
// without 1,000 other connections.
func BenchmarkGuardedRequest(b *testing.B) {
	head := []byte("GET /first/x HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("Some-Field: a value of some length\r\n", 14) + "\r\n")
	for _, others := range []int{0, 1000} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			g := New(Options{Budget: connlimit.Options{MemoryBytes: 536 << 20, Files: 8192}, MaxHeadBytes: func(connlimit.Class) int { return 64 << 10 }, Scope: metrics.New()})
			for range others {
				g.open(scriptedConn{}, connlimit.Caller, false)
			}
			c := g.open(scriptedConn{head: head}, connlimit.Caller, false)
			req := &http.Request{Header: http.Header{}}
			buffer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.Read(buffer)
				c.stateChanged(http.StateActive)
				if refused := c.admit(req, 0); refused != nil || err != nil {
					b.Fatal(refused, err)
				}
				c.ChargeResponse(1000)
				c.stateChanged(http.StateIdle)
			}
		})
	}
}
