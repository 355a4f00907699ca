package resetconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketError returns the error of the connection that the kernel has not reported to any call,
// or nil if there is none or conn is no socket.
func socketError(conn net.Conn) error {
	var code int
	ok := control(conn, func(fd int) (err error) {
		code, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		return err
	})
	if !ok || code == 0 {
		return nil
	}
	return syscall.Errno(code)
}

// unacknowledged returns the number of bytes that were written and that the peer has not
// acknowledged, or 0 if that is not known.
func unacknowledged(conn net.Conn) int {
	var bytes int
	ok := control(conn, func(fd int) (err error) {
		bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	if !ok {
		return 0
	}
	return bytes
}

// control calls f with the file descriptor of the socket. It returns false if there is none, or
// f fails.
func control(conn net.Conn, f func(fd int) error) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return err == nil && failed == nil
}
