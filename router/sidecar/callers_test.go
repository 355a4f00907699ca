package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against requests that a stopping router reads and whose connection it then
// closes without a response: callers do not resend them.
func TestIdleConnectionsAreNotReadAfterStop(t *testing.T) {
	served := make(chan string, 4)
	conns := newCallerConns()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		served <- r.URL.Path
	}))
	idle := make(chan struct{}, 1)
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		conns.stateChanged(conn, state)
		if state != http.StateIdle {
			return
		}
		select {
		case idle <- struct{}{}:
		default:
		}
	}
	server.Listener = callerListener{Listener: server.Listener, conns: conns}
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	send := func(path string) {
		t.Helper()
		// The connection may already be closed; no response arrives then.
		_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	send("/first")
	responses := bufio.NewReader(conn)
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got := <-served; got != "/first" {
		t.Errorf("served %s", got)
	}
	<-idle
	conns.stopReading()
	// The first of these may be read at the moment of the stop. It then gets a response.
	responded := 0
	for range 2 {
		send("/later")
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			break
		}
		_ = resp.Body.Close()
		<-served
		responded++
	}
	if responded > 1 {
		t.Error("requests are read after the stop")
	}
	select {
	case path := <-served:
		t.Errorf("%s was read and got no response", path)
	default:
	}
}
