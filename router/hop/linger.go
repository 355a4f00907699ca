package hop

import (
	"io"
	"time"
)

// lingerTime bounds how long a server reads what remains of a stream behind its response.
const lingerTime = time.Second

// linger ends the sending direction behind the response to a request with a stream, and drops
// what remains of the stream until the client closes the connection, which it does once it has
// the response. Closing a connection with unread bytes would reset it, and the client might
// lose the response. The handler may have left a goroutine that reads the stream, so that this
// reads past the buffer.
func (c *serverConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // ends with the connection or at the deadline
}
