package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
)

// idleListener is a listener at which nobody connects.
type idleListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func newIdleListener(l net.Listener) *idleListener {
	return &idleListener{Listener: l, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *idleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// newClusterWithBrokenHop returns a cluster of a plain and a keyed host. Another process serves
// the port for other routers of the plain one.
func newClusterWithBrokenHop(t *testing.T, lines io.Writer, handler hop.Handler) *cluster {
	t.Helper()
	c := newUnconfiguredCluster(t, nil)
	c.log = event.NewLogger(lines, log.InfoLevel)
	first := true
	c.wrapHop = func(l net.Listener) net.Listener {
		if !first {
			return l
		}
		first = false
		s := hop.NewServer(handler)
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.Serve(l)
		}()
		t.Cleanup(func() {
			_ = s.Close()
			_ = l.Close()
			<-served
		})
		return newIdleListener(l)
	}
	c.addFirst("plain", "keyed")
	c.waitReady()
	return c
}

// brokenHopHeads returns heads that no router sends.
func brokenHopHeads() []hop.ResponseHead {
	fields := func(name, value string) hop.ResponseHead {
		return hop.ResponseHead{Status: http.StatusOK, Fields: []hop.Field{{Name: name, Value: value}}}
	}
	heads := []hop.ResponseHead{
		{Status: http.StatusOK, Length: -2},
		{Status: http.StatusOK, Signature: "s\x00"},
		{Status: http.StatusOK, Signature: "s\r\nX-Odd: v"},
		fields("X Odd", "v"), fields("X-Odd ", "v"), fields(" X-Odd", "v"), fields("", "X-Odd"), fields("X\x01Odd", "v"), fields("X-Odd\r\nA", "v"), fields("x-odd", "v"),
		fields("X-Odd", "a\x00b"), fields("X-Odd", "a\r\nb"), fields("content-length", "3"), fields("transfer-encoding", "chunked"),
	}
	for _, status := range []int{-200, 0, 1, 99, 100, 101, 150, 199, 600, 999, 1000} {
		heads = append(heads, hop.ResponseHead{Status: status})
	}
	return heads
}

// Guards against broken answers of another router that reach callers, as a first answer of
// a connection and as a later one.
func TestBrokenHopResponseIsNotPassedOn(t *testing.T) {
	t.Parallel()
	heads := brokenHopHeads()
	lines := &logText{}
	var mu sync.Mutex
	runs, reused, brokenOn := map[string]int{}, 0, map[*uint64]bool{}
	c := newClusterWithBrokenHop(t, lines, func(_ context.Context, r *hop.Request) *hop.Response {
		mu.Lock()
		defer mu.Unlock()
		if brokenOn[r.Reported] {
			reused++
		}
		if r.Flags&hop.StoreCall != 0 {
			return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.NotReady)}}
		}
		runs[r.RequestID]++
		n, err := strconv.Atoi(path.Base(r.Target))
		head := hop.ResponseHead{Status: http.StatusOK, Signature: "s", Flags: hop.Arrived}
		if err == nil {
			brokenOn[r.Reported] = true
			head = heads[n]
			head.Flags |= hop.Arrived
		}
		if head.Length == 0 {
			head.Length = 5
		}
		return &hop.Response{ResponseHead: head, Body: io.NopCloser(bytes.NewReader([]byte("short")))}
	})
	caller := c.hosts[1]
	for n, broken := range heads {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d %d %q %q, later %v", broken.Status, broken.Length, broken.Signature, broken.Fields, later), func(t *testing.T) {
				raw := caller.dialRaw(t)
				if later {
					raw.send("/pay/whole", fmt.Sprint("before-", n))
				}
				id := fmt.Sprintf("broken-%d-%v", n, later)
				head, body, resp := raw.send(fmt.Sprint("/pay/", n), id)
				expectWrongAnswer(t, id, head, body, resp)
				mu.Lock()
				defer mu.Unlock()
				if runs[id] != 1 || reused > 0 {
					t.Errorf("%s was sent %d times; %d requests followed on a connection with a broken response", id, runs[id], reused)
				}
				reused = 0
			})
		}
	}
	c.eventually("the event", func() bool { return len(lines.ofEvent(eventBrokenHop.Number)) > 0 })
	for _, want := range []string{`"request":"broken-0-false"`, `"host":"h0"`, `"address":"` + c.hosts[0].settings.Listen.Hop + `"`, `body length -2`} {
		if line := lines.ofEvent(eventBrokenHop.Number)[0]; !strings.Contains(line, want) {
			t.Errorf("no %s in %s", want, line)
		}
	}
}
