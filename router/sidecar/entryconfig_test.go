package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// movedRoutesConfig returns version 1, in which the routes look and pay lead to the service
// old, or a later version, in which they lead to the service new.
func movedRoutesConfig(data []byte) (vhost.Config, error) {
	c, err := decodeTestConfig(data)
	c.Services = append(c.Services, vhost.Service{Name: "old"}, vhost.Service{Name: "new"})
	service := "new"
	if c.Version == 1 {
		service = "old"
	}
	for i := range c.Routes[:2] {
		c.Routes[i].Clusters = []vhost.Cluster{{Service: service, Weight: 1}}
	}
	return c, err
}

// newLoneEntry returns an entry that knows no hosts. Its refusals name the service that
// was chosen.
func newLoneEntry(version string) *entry {
	config := &currentConfig{source: ConfigSource{Key: configKey, Decode: movedRoutesConfig}, changed: func() {}}
	config.applyRow(rowstore.Row{Key: configKey, Value: []byte(version), Version: 1})
	return &entry{
		headers: testHeaders, config: config, fleet: fleet.NewDirectory("z1", "r1", newHopClient), keys: newKeyIndex(),
		service:     func() string { return "plain" },
		budgets:     newBudgets(BudgetLimits{}, func() int { return 1 }),
		metrics:     newEntryMetrics(tally.NoopScope),
		stoppingFor: func() time.Duration { return 0 },
		graceLeft:   func() time.Duration { return time.Hour },
	}
}

// pipeListener accepts a single connection.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveCaller serves one connection of a caller as a sidecar does and returns the caller's
// end.
func serveCaller(t *testing.T, e *entry) net.Conn {
	t.Helper()
	l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	server := httpServer(e)
	server.ConnContext = withConn
	callers := newCallerConns()
	server.ConnState = callers.stateChanged
	go func() {
		_ = server.Serve(callerListener{Listener: l, conns: callers, beginPipelined: e.beginPipelined})
	}()
	near, far := net.Pipe()
	l.conns <- far
	t.Cleanup(func() {
		_ = near.Close()
		_ = server.Close()
	})
	return near
}

// Guards against a request that is sent, or of which a part is sent, after a configuration
// has come into force on the host, and that goes where only an earlier one allows.
func TestServiceIsChosenByConfigurationOfLastByte(t *testing.T) {
	post := func(body string) string {
		return "POST /pay/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: p\r\nDeadline: 4000\r\n" + body
	}
	// waiting is a request that waits for a key while the ones after it are sent.
	waiting := "GET /keys/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: k\r\nDeadline: 4000\r\nKey: 1\r\n\r\n"
	look := getRequest("/look/1", "l")
	for name, c := range map[string]struct {
		before, after string
		responses     int
	}{
		"sent after it":                               {"", look, 1},
		"body of known length":                        {post("Content-Length: 4\r\n\r\nab"), "cd", 1},
		"body in chunks":                              {post("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), "0\r\n\r\n", 1},
		"head in two parts":                           {look[:30], look[30:], 1},
		"behind a request in progress":                {waiting, look, 2},
		"behind one, must not be repeated":            {waiting, post("Content-Length: 0\r\n\r\n"), 2},
		"behind one, with a body":                     {waiting, post("Content-Length: 2\r\n\r\nab"), 2},
		"behind one, head in two parts":               {waiting + look[:30], look[30:], 2},
		"behind one, must not be repeated, two parts": {waiting + post(""), "Content-Length: 0\r\n\r\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newLoneEntry("1")
				conn := serveCaller(t, e)
				write := func(text string) {
					if _, err := io.WriteString(conn, text); err != nil {
						t.Error(err)
					}
				}
				write(c.before)
				synctest.Wait()
				e.config.applyRow(rowstore.Row{Key: configKey, Value: []byte("2"), Version: 2})
				go write(c.after)
				responses := bufio.NewReader(conn)
				var last string
				for range c.responses {
					resp, err := http.ReadResponse(responses, nil)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(resp.Body)
					if err != nil {
						t.Fatal(err)
					}
					last = string(body)
				}
				if !strings.Contains(last, "no upstream of new ") {
					t.Errorf("got %s", last)
				}
			})
		})
	}
}

// Guards against a route that was dropped while a body arrived and that is still served.
func TestRouteDroppedDuringBodyIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoneEntry("1")
		e.config.source.Decode = func(data []byte) (vhost.Config, error) {
			c, err := decodeTestConfig(data)
			c.Routes = slices.DeleteFunc(c.Routes, func(r vhost.Route) bool { return r.Name == "pay" })
			return c, err
		}
		conn := serveCaller(t, e)
		if _, err := io.WriteString(conn, "POST /pay/1 HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		e.config.applyRow(rowstore.Row{Key: configKey, Value: []byte("2"), Version: 2})
		go func() { _, _ = io.WriteString(conn, "cd") }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("status %d, want 404", resp.StatusCode)
		}
	})
}
