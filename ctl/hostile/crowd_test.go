package hostile

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/hop"
)

// payload is what one client sends on one connection: open, then repeat until it has sent
// repeatBytes of it, and after a while end, which completes a request if there is one.
type payload struct {
	open, repeat string
	repeatBytes  int
	end          string
}

const (
	// readTime is how long a client reads before it sends the end of its payload, and again
	// before it closes the connection.
	readTime = 1200 * time.Millisecond
	// writeTime bounds each write.
	writeTime = 2 * time.Second
	// rounds is the number of connections that a client opens, one after another.
	rounds = 2
	// headBytes is a size of heads below MaxHeaderBytes of the configuration.
	headBytes = 15 << 10
)

// run sends the payload on new connections, one after another. All errors are expected:
// the router may refuse the client or close its connection at any time.
func (p payload) run(address string, stop <-chan struct{}) {
	for range rounds {
		select {
		case <-stop:
			return
		default:
		}
		p.sendOnce(address)
	}
}

func (p payload) sendOnce(address string) {
	conn, err := net.DialTimeout("tcp4", address, writeTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if p.write(conn, p.open) != nil {
		return
	}
	if p.repeat != "" {
		piece := strings.Repeat(p.repeat, 1+4096/len(p.repeat))
		for sent := 0; sent < p.repeatBytes; sent += len(piece) {
			if p.write(conn, piece) != nil {
				return
			}
		}
	}
	if !readFor(conn, readTime) || p.write(conn, p.end) != nil {
		return
	}
	readFor(conn, readTime)
}

func (p payload) write(conn net.Conn, data string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, data)
	return err
}

// readFor discards what arrives. It returns false if the connection ends within the time.
func readFor(conn net.Conn, d time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, conn)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Heads without their last line break.
const (
	getHead  = "GET /first/x HTTP/1.1\r\nHost: hostile\r\n"
	postHead = "POST /second/x HTTP/1.1\r\nHost: hostile\r\n"
)

// lines returns lines of about total bytes. %d in a line stands for its number.
func lines(line func(i int) string, total int) string {
	var b strings.Builder
	for i := 0; b.Len() < total; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

func repeated(line string, total int) string {
	return strings.Repeat(line, total/len(line))
}

// encodeHop returns the bytes that a router sends for a request.
func encodeHop(t *testing.T, r *hop.Request) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err)
	defer func() { _ = l.Close() }()
	client := hop.NewClient(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Second})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Do(t.Context(), r) // the connection is closed without a response
	}()
	conn, err := l.Accept()
	must(t, err)
	// The client sends the whole request at once and then waits.
	must(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	data, err := io.ReadAll(conn)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("reading the request of a router:", err)
	}
	_ = conn.Close()
	<-done
	return string(data)
}

// hopRequest returns a request of a router with the fields.
func hopRequest(fields []hop.Field, body []byte) *hop.Request {
	return &hop.Request{Body: body, RequestHead: hop.RequestHead{
		Method: "GET", Target: "/first/x", Host: "hostile", RequestID: "1", Service: services[0], Caller: "c",
		RemainingMs: 2000, GoalMs: 500, Flags: hop.Repeatable, Fields: fields, Length: int64(len(body)),
	}}
}
