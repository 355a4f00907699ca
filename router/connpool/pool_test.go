package connpool

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silenceLimit is the time within which a silent connection must be found: what
// waits on it still has to be asked for again on a new one.
const silenceLimit = 2 * time.Second

// Guards against a change that comes late because the connection that waits for it
// went silent, and is kept too long.
func TestSilentConnectionIsFoundInTime(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := New(Options{Address: l.Addr().String(), DialTimeout: time.Second, KeepAlive: time.Second})
	cn, _, err := p.Get(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cn.Close() }()
	option := func(name int) time.Duration {
		raw, err := cn.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var value int
		var optErr error
		err = raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })
		if err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		return time.Duration(value)
	}
	found := option(unix.TCP_KEEPIDLE)*time.Second + option(unix.TCP_KEEPINTVL)*time.Second*option(unix.TCP_KEEPCNT)
	if found > silenceLimit {
		t.Errorf("a silent connection is found after %v, want %v at most", found, silenceLimit)
	}
}
