package upstream

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("the connection is sealed")

// sealableConn counts the bytes that were passed to Write and can be sealed against
// further writes. net/http writes a request in its own goroutine, possibly after the
// round trip has failed. Sealing guarantees that a request that was reported as not
// sent is not sent later.
type sealableConn struct {
	net.Conn

	mu sync.Mutex
	// written is the number of bytes passed to Write.
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them, so that every byte that may have
// been sent is counted.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealableConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all further writes fail if exactly count bytes have been written so
// far, and reports whether it did.
func (c *sealableConn) seal(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != count {
		return false
	}
	c.sealed = true
	return true
}
