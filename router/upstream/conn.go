package upstream

import (
	"errors"
	"net"
	"sync"
)

// errSealed is the error of writes on a sealed connection.
var errSealed = errors.New("the connection is sealed")

// sealableConn counts the bytes that were handed to the connection and can be
// sealed against further ones. net/http writes a request in its own goroutine,
// possibly after the round trip has failed; sealing makes sure that a request
// that was reported as not sent is not sent later.
type sealableConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts before it writes, so that no byte is out uncounted.
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

// seal refuses all further writes if no byte was handed over beyond count. It
// returns whether that is so.
func (c *sealableConn) seal(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != count {
		return false
	}
	c.sealed = true
	return true
}
