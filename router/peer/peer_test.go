package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/ownership"
)

type echoParams struct {
	Text string `json:"text"`
}

func testSecret(t *testing.T, text string) Secret {
	t.Helper()
	s, err := NewSecret([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const secretText = "0123456789abcdef0123456789abcdef"

// startServer serves the method "echo" and returns the server's address.
func startServer(t *testing.T, incarnation uint64) ownership.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	methods := map[string]Method{
		"echo": Handle(func(_ context.Context, from Caller, p echoParams) (echoParams, error) {
			return echoParams{Text: from.Host + ":" + p.Text}, nil
		}),
		"fail": Handle(func(context.Context, Caller, echoParams) (echoParams, error) {
			return echoParams{}, &errkind.Error{Kind: errkind.Overloaded, Detail: "full", RetryAfter: time.Second}
		}),
	}
	s := NewServer(ServerOptions{Secret: testSecret(t, secretText), Host: "server", Incarnation: incarnation, Methods: methods})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ownership.Host{Name: "server", Incarnation: incarnation, ControlAddr: l.Addr().String()}
}

func testClient(t *testing.T, secret string, dial func(context.Context, string) (net.Conn, error)) *Client {
	t.Helper()
	c := NewClient(ClientOptions{Secret: testSecret(t, secret), Host: "client", Incarnation: 7, Dial: dial})
	t.Cleanup(c.Close)
	return c
}

// Guards against calls that lose their parameters or the caller's identity.
func TestCallReturnsTheResponse(t *testing.T) {
	host := startServer(t, 1)
	var response echoParams
	err := testClient(t, secretText, nil).Call(t.Context(), host, "echo", echoParams{Text: "hello"}, &response)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(echoParams{Text: "client:hello"}, response); diff != "" {
		t.Error(diff)
	}
}

// Guards against error kinds and retry delays that are lost between two routers.
func TestErrorsKeepKindAndRetryAfter(t *testing.T) {
	host := startServer(t, 1)
	err := testClient(t, secretText, nil).Call(t.Context(), host, "fail", echoParams{}, &echoParams{})
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind != errkind.Overloaded || e.RetryAfter != time.Second || e.Detail != "full" {
		t.Errorf("got %#v", err)
	}
}

// Guards against calls from a process without the secret, and against responses
// from a server without it.
func TestWrongSecretIsRefused(t *testing.T) {
	host := startServer(t, 1)
	err := testClient(t, "another secret of enough length", nil).Call(t.Context(), host, "echo", echoParams{}, &echoParams{})
	if !errkind.Is(err, errkind.PeerRefused) {
		t.Errorf("got %v, want kind %s", err, errkind.PeerRefused)
	}
}

// Guards against methods that execute before the client has authenticated.
func TestCallBeforeProofIsRefused(t *testing.T) {
	host := startServer(t, 1)
	conn, err := net.Dial("tcp", host.ControlAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	frame := []byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"text":"x"}}`)
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)); err != nil {
		t.Fatal(err)
	}
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(conn, prefix[:]); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(prefix[:]))
	if _, err := io.ReadFull(conn, body); err != nil {
		t.Fatal(err)
	}
	if !jsonContains(body, string(errkind.Unauthorized)) {
		t.Errorf("response %s: want kind %s", body, errkind.Unauthorized)
	}
}

func jsonContains(body []byte, text string) bool {
	for i := 0; i+len(text) <= len(body); i++ {
		if string(body[i:i+len(text)]) == text {
			return true
		}
	}
	return false
}

// Guards against an oversized or malformed message that uses much memory or
// disturbs the service of other connections.
func TestMalformedMessagesCloseOnlyTheirConnection(t *testing.T) {
	host := startServer(t, 1)
	for _, message := range [][]byte{
		binary.BigEndian.AppendUint32(nil, maxMessageBytes+1),
		append(binary.BigEndian.AppendUint32(nil, 4), "nope"...),
		append(binary.BigEndian.AppendUint32(nil, 2), "[]"...),
	} {
		conn, err := net.Dial("tcp", host.ControlAddr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(message); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadAll(conn); err != nil && !errors.Is(err, io.EOF) && isTimeout(err) {
			t.Errorf("message %q: the connection stays open", message)
		}
		_ = conn.Close()
	}
	var response echoParams
	if err := testClient(t, secretText, nil).Call(t.Context(), host, "echo", echoParams{Text: "x"}, &response); err != nil {
		t.Errorf("the server no longer serves calls: %v", err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Guards against a message for a process that has ended reaching its successor at
// the same address.
func TestOtherIncarnationIsUnreachable(t *testing.T) {
	host := startServer(t, 2)
	host.Incarnation = 1
	err := testClient(t, secretText, nil).Call(t.Context(), host, "echo", echoParams{}, &echoParams{})
	if !errkind.Is(err, errkind.PeerUnreachable) {
		t.Errorf("got %v, want kind %s", err, errkind.PeerUnreachable)
	}
}

// blackholeConn discards writes while dropWrites is set.
type blackholeConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a cached connection that stops delivering without an error while
// new connections work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	host := startServer(t, 1)
	var dropWrites atomic.Bool
	var dials atomic.Int32
	client := testClient(t, secretText, func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if dials.Add(1) == 1 {
			return blackholeConn{conn, &dropWrites}, err
		}
		return conn, err
	})
	var response echoParams
	if err := client.Call(t.Context(), host, "echo", echoParams{Text: "a"}, &response); err != nil {
		t.Fatal(err)
	}
	dropWrites.Store(true)
	if err := client.Call(t.Context(), host, "echo", echoParams{Text: "b"}, &response); err != nil {
		t.Fatalf("call over an unresponsive connection: %v", err)
	}
	if response.Text != "client:b" || dials.Load() != 2 {
		t.Errorf("response %q after %d connections", response.Text, dials.Load())
	}
}

// Guards against forged and damaged heartbeats.
func TestDatagramsAreAuthenticated(t *testing.T) {
	good := NewDatagrams(testSecret(t, secretText), nil)
	packet, err := good.seal(HeartbeatDatagram, map[string]int{"a": 1})
	if err != nil {
		t.Fatal(err)
	}
	if kind, _, err := good.open(packet); err != nil || kind != HeartbeatDatagram {
		t.Errorf("authentic datagram: kind %d, error %v", kind, err)
	}
	bad := NewDatagrams(testSecret(t, "another secret of enough length"), nil)
	if _, _, err := bad.open(packet); err == nil {
		t.Error("a datagram signed with another secret was accepted")
	}
	for i := range packet {
		damaged := append([]byte(nil), packet...)
		damaged[i] ^= 1
		if _, _, err := good.open(damaged); err == nil {
			t.Errorf("a datagram with a changed byte %d was accepted", i)
		}
	}
}

// FuzzOpenDatagram guards against a panic on hostile datagrams.
func FuzzOpenDatagram(f *testing.F) {
	s, err := NewSecret([]byte(secretText))
	if err != nil {
		f.Fatal(err)
	}
	d := NewDatagrams(s, nil)
	f.Add([]byte{})
	f.Add(make([]byte, 17))
	f.Fuzz(func(t *testing.T, packet []byte) {
		if _, _, err := d.open(packet); err == nil && len(packet) < 1+datagramMACBytes {
			t.Error("short datagram was accepted")
		}
	})
}
