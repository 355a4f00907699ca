package connpool

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// maxDetectionTime is the time within which a dead connection must be detected: the
// request that waits on it then has to be retried on a new one.
const maxDetectionTime = 2 * time.Second

// Guards against configuration changes that arrive late because a dead connection, on
// which a request waits for them, is kept too long.
func TestSilentConnectionIsFoundInTime(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := New(Options{Address: l.Addr().String(), DialTimeout: time.Second, KeepAlive: time.Second})
	cn, _, err := p.Get(t.Context(), Reuse{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cn.Close() }()
	option := func(name int) time.Duration {
		raw, err := cn.Conn.(syscall.Conn).SyscallConn()
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
	detection := option(unix.TCP_KEEPIDLE)*time.Second + option(unix.TCP_KEEPINTVL)*time.Second*option(unix.TCP_KEEPCNT)
	if detection > maxDetectionTime {
		t.Errorf("a dead connection is detected after %v, want at most %v", detection, maxDetectionTime)
	}
}
