package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/ownership"
)

// BenchmarkIdleConnection measures the memory, heap and stacks, that an idle
// control connection takes at both of its ends together.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 300
	secret, err := NewSecret([]byte("a shared secret for benchmarks only"))
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(ServerOptions{
		Secret: secret, Host: "server", Incarnation: 1, Log: event.NewLogger(io.Discard, log.ErrorLevel),
		Methods: map[string]Method{"echo": func(_ context.Context, _ Caller, p json.RawMessage) (any, error) { return p, nil }},
	})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }()
	to := ownership.Host{Name: "server", Incarnation: 1, ControlAddr: l.Addr().String()}
	var bytes float64
	n := 0
	for b.Loop() {
		before := inUse()
		clients := make([]*Client, connections)
		for i := range clients {
			clients[i] = NewClient(ClientOptions{Secret: secret, Host: "client", Incarnation: 2})
			var response string
			if err := clients[i].Call(ctx, to, "echo", "text", &response); err != nil {
				b.Fatal(err)
			}
		}
		bytes += inUse() - before
		n++
		for _, c := range clients {
			c.Close()
		}
	}
	b.ReportMetric(bytes/float64(n*connections)/1000, "both-ends-KB")
}

// inUse returns the bytes of heap and stacks in use.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
