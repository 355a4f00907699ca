package standin_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/stores/standin"
)

// echoServer starts a server that echoes what it receives until the test ends.
// It returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startRelay starts a relay to target that is closed when the test ends.
func startRelay(t *testing.T, target string) *standin.Relay {
	t.Helper()
	r, err := standin.StartRelay(standin.RelayOptions{Target: target})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends the text and expects its echo.
func exchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	receive(t, conn, text)
}

func receive(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("received %q, %v; want %q", got, err, want)
	}
}

// Guards against a relay that loses or reorders bytes, or that does not forward
// the end of the stream.
func TestRelayPassesWholeStream(t *testing.T) {
	relay := startRelay(t, echoServer(t))
	relay.SetDelay(time.Millisecond)
	conn := dial(t, relay.Address())
	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("received %d bytes, %v; want the %d bytes sent", len(got), err, len(sent))
	}
}

// Guards against a partition that lets bytes pass, and against healing that
// loses the bytes sent during the partition.
func TestRelayPartitionHoldsDataUntilHealed(t *testing.T) {
	for _, d := range []standin.Direction{standin.ToTarget, standin.FromTarget, standin.BothDirections} {
		relay := startRelay(t, echoServer(t))
		conn := dial(t, relay.Address())
		exchange(t, conn, "before")
		relay.Partition(d)
		if _, err := io.WriteString(conn, "during"); err != nil {
			t.Fatal(err)
		}
		await(t, relay, func() bool { return relay.StalledDirections() == 1 })
		if relay.Dropped() != 0 {
			t.Fatalf("direction %d: the partition dropped bytes", d)
		}
		relay.Partition(0)
		receive(t, conn, "during")
	}
}

// Guards against a blackholed connection that passes bytes or shows an end, and
// against new connections that are blackholed too.
func TestRelayBlackhole(t *testing.T) {
	relay := startRelay(t, echoServer(t))
	old := dial(t, relay.Address())
	exchange(t, old, "before")
	relay.Blackhole()
	if _, err := io.WriteString(old, "lost"); err != nil {
		t.Fatal(err)
	}
	fresh := dial(t, relay.Address())
	exchange(t, fresh, "works")
	await(t, relay, func() bool { return relay.Dropped() == 1 })
	if relay.Connections() != 2 {
		t.Fatalf("%d connections are open, want the blackholed and the new one", relay.Connections())
	}
	relay.Close()
	if n, err := old.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read %d bytes, %v on the blackholed connection, want nothing until the relay closes", n, err)
	}
}

// Guards against a reset that looks like an orderly end of stream: a truncated
// response would seem complete.
func TestRelayReset(t *testing.T) {
	relay := startRelay(t, echoServer(t))
	conn := dial(t, relay.Address())
	exchange(t, conn, "before")
	relay.Reset()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("error %v, want a reset", err)
	}
}

// Guards against relays that are reachable from, or connect to, other machines.
func TestRelayRejectsNonLoopbackAddresses(t *testing.T) {
	for _, o := range []standin.RelayOptions{
		{Target: "192.0.2.1:80"}, {Target: "localhost:80"}, {Listen: "0.0.0.0:0", Target: "127.0.0.1:80"}, {Target: ":80"},
	} {
		if _, err := standin.StartRelay(o); err == nil {
			t.Errorf("options %+v were accepted", o)
		}
		if _, err := standin.StartUDPRelay(o); err == nil {
			t.Errorf("options %+v were accepted for UDP", o)
		}
	}
}

// Guards against a UDP relay that passes datagrams during a partition, confuses
// senders, or does not heal.
func TestUDPRelay(t *testing.T) {
	echo, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		buffer := make([]byte, 1500)
		for {
			n, from, err := echo.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = echo.WriteToUDPAddrPort(buffer[:n], from)
		}
	}()
	relay, err := standin.StartUDPRelay(standin.RelayOptions{Target: echo.LocalAddr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("udp", relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	for i, text := range []string{"first", "other"} {
		exchange(t, conns[i], text)
	}
	relay.Partition(standin.FromTarget)
	for _, text := range []string{"drop1", "drop2"} {
		if _, err := io.WriteString(conns[0], text); err != nil {
			t.Fatal(err)
		}
	}
	await(t, relay, func() bool { return relay.Dropped() == 2 })
	relay.Partition(0)
	exchange(t, conns[0], "after")
	relay.SetLoss(1, 7)
	if _, err := io.WriteString(conns[0], "drop3"); err != nil {
		t.Fatal(err)
	}
	await(t, relay, func() bool { return relay.Dropped() == 3 })
	relay.SetLoss(0, 7)
	exchange(t, conns[0], "final")
}

// await waits until the condition ok is true. It checks again at each change of
// the relay.
func await(t *testing.T, relay interface{ Changed() <-chan struct{} }, ok func() bool) {
	t.Helper()
	for {
		changed := relay.Changed()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("the relay did not reach the expected state")
		}
	}
}

// Guards against a narrow link whose connections have the bandwidth each, and against one
// that stays narrow.
func TestRelayBandwidth(t *testing.T) {
	r := startRelay(t, echoServer(t))
	first, second := dial(t, r.Address()), dial(t, r.Address())
	text := strings.Repeat("x", 20_000)
	r.SetBandwidth(400_000)
	begin := time.Now()
	if _, err := io.WriteString(first, text); err != nil {
		t.Fatal(err)
	}
	exchange(t, second, text)
	receive(t, first, text)
	if took := time.Since(begin); took < 100*time.Millisecond {
		t.Errorf("40 kB took %v, want 100 ms at least", took)
	}
	r.SetBandwidth(1)
	r.SetBandwidth(0)
	exchange(t, second, text)
}
