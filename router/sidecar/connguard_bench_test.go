package sidecar

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/metrics"
)

// benchClient sends one request after another on a connection to a server of callers.
type benchClient struct {
	conn         net.Conn
	head, buffer []byte
}

// newBenchClient starts a server with the guard, or with the timeouts of the server in its
// place, and returns a client of it.
func newBenchClient(b *testing.B, guarded bool) *benchClient {
	b.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	callers := newCallerConns()
	server := httpServer(okHandler)
	server.ConnState, server.ConnContext = callers.stateChanged, withConn
	listener := net.Listener(callerListener{Listener: l, conns: callers})
	if guarded {
		g := newConnGuard(connlimit.Options{MemoryBytes: 536 << 20, Files: 8192}, (&currentConfig{}).limits, Headers{}, nil, metrics.New())
		go g.Run(b.Context())
		g.Protect(server, connguard.ServerOptions{BodyTime: defaultTimeout})
		listener = g.Listener(listener, connlimit.Caller)
	} else {
		server.ReadHeaderTimeout, server.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	}
	go func() { _ = server.Serve(listener) }() // returns after Close
	b.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return &benchClient{conn: conn, buffer: make([]byte, 4096),
		head: []byte("GET /first/x HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("Some-Field: a value of some length\r\n", 14) + "\r\n")}
}

// request sends a request and reads the response.
func (c *benchClient) request(b *testing.B) {
	if _, err := c.conn.Write(c.head); err != nil {
		b.Fatal(err)
	}
	if _, err := c.conn.Read(c.buffer); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkGuardOverhead measures a request of a caller over a connection of the loopback
// interface, with the guard and with the timeouts of the server in its place. The two take
// turns, because other load on the machine changes the time of a request by more than the
// guard adds. added-ns is the median of the differences; the requirement is below 1,000.
// Compare it with its spread in several runs.
func BenchmarkGuardOverhead(b *testing.B) {
	const batch = 10
	clients := [2]*benchClient{newBenchClient(b, false), newBenchClient(b, true)}
	var times [2][]time.Duration
	var added []time.Duration
	round := 0
	for b.Loop() {
		var took [2]time.Duration
		for i := range clients {
			of := (i + round) % 2 // each is first in every second round
			start := time.Now()
			for range batch {
				clients[of].request(b)
			}
			took[of] = time.Since(start) / batch
			times[of] = append(times[of], took[of])
		}
		added = append(added, took[1]-took[0])
		round++
	}
	median := func(d []time.Duration) float64 {
		slices.Sort(d)
		return float64(d[len(d)/2].Nanoseconds())
	}
	b.ReportMetric(median(times[0]), "unguarded-ns")
	b.ReportMetric(median(times[1]), "guarded-ns")
	b.ReportMetric(median(added), "added-ns")
	b.ReportMetric(0, "ns/op") // of a round, which has no meaning
}
