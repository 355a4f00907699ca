package resetconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (client *Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	client = New(conn)
	client.EndMatters(MaxSettleTime)
	return client, accepted.(*net.TCPConn)
}

// writeUntilError writes until a write fails.
func writeUntilError(c *Conn) error {
	buf := make([]byte, 16<<10)
	for {
		if _, err := c.Write(buf); err != nil {
			return err
		}
	}
}

// Guards against a reset that looks like the end of the stream, because a write got the only
// report of it.
func TestResetBehindAFailedWriteIsNoEnd(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":               func(s *net.TCPConn) { _, _ = s.SetLinger(0), s.Close() },
		"close with unread":   func(s *net.TCPConn) { _ = s.Close() },
		"reset after a while": func(s *net.TCPConn) { <-time.After(20 * time.Millisecond); _, _ = s.SetLinger(0), s.Close() },
	} {
		for _, concurrent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for range 20 {
					c, s := pair(t)
					if _, err := io.WriteString(s, "part"); err != nil {
						t.Fatal(err)
					}
					failed := make(chan error, 1)
					go func() { failed <- writeUntilError(c) }()
					if _, err := s.Read(make([]byte, 1)); err != nil { // more is unread
						t.Fatal(err)
					}
					end(s)
					if !concurrent {
						if err := <-failed; !Failed(err) {
							t.Fatalf("the write ended with %v", err)
						}
					}
					got, err := io.ReadAll(c)
					if err == nil {
						t.Fatalf("read %q and the end of the stream", got)
					}
					if concurrent {
						_ = c.Close()
						<-failed
					}
				}
			})
		}
	}
}

// Guards against a regular end that is taken for a reset, or for which a read waits, because a
// write is in progress that the peer does not take.
func TestEndOfThePeerIsTheEnd(t *testing.T) {
	t.Parallel()
	c, s := pair(t)
	failed := make(chan error, 1)
	go func() { failed <- writeUntilError(c) }()
	if _, err := io.WriteString(s, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := s.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || string(got) != "whole" {
		t.Errorf("read %q, %v", got, err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("behind the end: %d bytes, %v", n, err)
	}
	_ = c.Close() // the peer takes no more
	<-failed
}

// Guards against a connection without writes whose end or reset is reported as the other.
func TestEndWithoutWrites(t *testing.T) {
	t.Parallel()
	c, s := pair(t)
	_ = s.Close()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("closed: %v", err)
	}
	c, s = pair(t)
	_, _ = s.SetLinger(0), s.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("reset: %v", err)
	}
}
