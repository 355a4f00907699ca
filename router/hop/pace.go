package hop

import (
	"encoding/binary"
	"io"
	"time"
)

// Transfer is a response that takes turns with others, because together they exceed the
// link of the host.
type Transfer interface {
	// Await blocks until the next n bytes may be sent. It returns an error once the
	// response is no longer needed.
	Await(n int) error
	// Deadline is when the response is no longer needed.
	Deadline() time.Time
}

// turnBytes is the maximum number of bytes that are sent in one turn: a chunk with its
// length.
const turnBytes = chunkBytes + binary.MaxVarintLen64

// pacedWriter writes a response in turns.
type pacedWriter struct {
	conn     *serverConn
	transfer Transfer
}

// Write implements io.Writer. A receiver that does not read is given up at the deadline.
func (w *pacedWriter) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		turn := p[:min(len(p), turnBytes)]
		if err = w.transfer.Await(len(turn)); err != nil {
			return n, err
		}
		if err = w.conn.SetWriteDeadline(w.transfer.Deadline()); err != nil {
			return n, err
		}
		var written int
		written, err = w.conn.Write(turn)
		n, p = n+written, p[written:]
		if err == nil {
			err = w.conn.SetWriteDeadline(time.Time{}) // the connection may carry further responses
		}
	}
	return n, err
}

// chargedWriter writes at once and reports the bytes.
type chargedWriter struct {
	conn *serverConn
}

// Write implements io.Writer.
func (w chargedWriter) Write(p []byte) (int, error) {
	w.conn.sentAtOnce(len(p))
	return w.conn.Write(p)
}

// writer returns the writer for a response.
func (c *serverConn) writer(resp *Response) io.Writer {
	switch {
	case resp.Transfer != nil:
		return &pacedWriter{conn: c, transfer: resp.Transfer}
	case c.sentAtOnce != nil:
		return chargedWriter{c}
	}
	return c
}
