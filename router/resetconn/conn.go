// Package resetconn makes connections on which a reset never looks like the end of the stream.
//
// The kernel reports the failure of a connection (a reset, or a timeout of the peer) once, to
// the call that comes first. If that is a write, because a request body is still being sent,
// the reads behind it return io.EOF, as at the end of a stream that the peer has closed. A
// response that ends with its connection would then be taken for complete. The same holds for
// a peer that closes the connection just before more of the body arrives: the end of its
// stream comes first, and the reset that answers the body behind it.
package resetconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrReset is wrapped by the errors of reads at the end of a connection that failed.
var ErrReset = errors.New("the connection failed before its end")

const (
	// settleTime is the time in which a reset follows the end of a stream if the peer did not
	// take what was being sent to it.
	settleTime = 100 * time.Millisecond
	// MaxSettleTime bounds the wait for something to be sent in that time, which would show
	// whether the peer takes it.
	MaxSettleTime = time.Second
	// settlePoll is the time between looks at what the peer has acknowledged.
	settlePoll = time.Millisecond
)

// Conn is a connection whose Read returns io.EOF only if the peer has closed its sending
// direction: if a write has failed, Read returns an error that wraps ErrReset. Behind EndMatters
// it does so also if the peer did not take what was being sent. It is safe for concurrent use.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writing counts the writes in progress, uploads those that are announced.
	writing, uploads int
	// writes counts the writes that have ended without an error.
	writes int
	// changed is signalled when one of the fields around it changes.
	changed *sync.Cond
	// maxWait bounds the wait at the end of the stream; 0 if the end does not matter.
	maxWait time.Duration
	// failure is the error of the first write that shows that the connection has failed.
	failure error
	// ended is true once the end of the stream was found to be that of the peer.
	ended bool
}

// New returns a Conn that uses conn.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// EndMatters makes Read wait at the end of the stream until it is known whether the peer took
// what was being sent: for settleTime, and up to maxWait for something to be sent. It is called
// for a response that ends with its connection; others are not complete there in any case.
func (c *Conn) EndMatters(maxWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxWait = max(maxWait, settleTime)
}

// BeginUpload announces writes. They are expected until EndUpload is called.
func (c *Conn) BeginUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploads++
}

// EndUpload ends the announcement of BeginUpload.
func (c *Conn) EndUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploads--
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err == nil {
		c.writes++
	}
	if c.failure == nil && Failed(err) {
		c.failure = err
	}
	c.changed.Broadcast()
	return n, err
}

// Failed reports whether the error of a write shows that the connection has failed, and not
// that this process has closed it or ended the write.
func Failed(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the stream has ended regularly.
func (c *Conn) checkEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return io.EOF
	}
	if c.maxWait > 0 {
		c.settle()
	}
	if c.failure != nil {
		return fmt.Errorf("%w: %w", ErrReset, c.failure)
	}
	c.ended = c.maxWait > 0
	return io.EOF
}

// settle waits until it is known whether the peer took what was being sent at the end of its
// stream, and ends the writes in progress. c.mu must be held.
func (c *Conn) settle() {
	start, writes := time.Now(), c.writes
	for c.failure == nil && c.unsettled(time.Since(start), c.writes > writes) {
		c.waitChanged(settlePoll)
	}
	if c.failure == nil {
		c.failure = socketError(c.Conn)
	}
	for c.writing > 0 {
		if c.Conn.SetWriteDeadline(time.Unix(1, 0)) != nil { // the writes return at once
			return // the connection is closed
		}
		c.changed.Wait()
	}
}

// unsettled reports whether a reset may still follow the end of the stream after the time.
// wrote is true if something was written since the end. c.mu must be held.
func (c *Conn) unsettled(after time.Duration, wrote bool) bool {
	if c.writing == 0 && c.uploads == 0 && !wrote {
		return after < settleTime && unacknowledged(c.Conn) > 0
	}
	sending := c.uploads > 0 && c.writing == 0 && !wrote
	return after < settleTime || sending && after < c.maxWait
}

// waitChanged waits until changed is signalled, at most for the time. c.mu must be held.
func (c *Conn) waitChanged(limit time.Duration) {
	timer := time.AfterFunc(limit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer timer.Stop()
	c.changed.Wait()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
