package hop

import (
	"encoding/binary"
	"io"
	"time"
)

// Turns schedules a response that takes turns with others, because together they exceed the
// link of the host.
type Turns interface {
	// Await blocks until the next n bytes may be sent. It returns an error once the
	// response is no longer needed.
	Await(n int) error
	// Deadline is when the response is no longer needed.
	Deadline() time.Time
}

// turnBytes is the maximum number of bytes that are sent in one turn: a chunk with its
// length.
const turnBytes = chunkBytes + binary.MaxVarintLen64

// turnWriter writes the body of a response in turns.
type turnWriter struct {
	conn  *serverConn
	turns Turns
	// head is the head of the response, which is sent with the first part of the body.
	head []byte
}

// Write implements io.Writer. A receiver that does not read is given up at the deadline.
func (w *turnWriter) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		turn := p[:min(len(p), max(turnBytes-len(w.head), 1))]
		size := len(turn)
		if w.head != nil {
			turn, w.head = append(w.head, turn...), nil
		}
		if err = w.turns.Await(len(turn)); err != nil {
			return n, err
		}
		if err = w.conn.SetWriteDeadline(w.turns.Deadline()); err != nil {
			return n, err
		}
		if _, err = w.conn.Write(turn); err != nil {
			return n, err
		}
		n, p = n+size, p[size:]
		err = w.conn.SetWriteDeadline(time.Time{}) // the connection may carry further responses
	}
	return n, err
}

// writeInTurns sends a response in turns.
func (c *serverConn) writeInTurns(head []byte, resp *Response) error {
	return writeBody(&turnWriter{conn: c, turns: resp.Turns, head: head}, resp.Body, resp.Length)
}

// chargedWriter writes at once and reports the bytes.
type chargedWriter struct {
	conn *serverConn
}

// Write implements io.Writer.
func (w chargedWriter) Write(p []byte) (int, error) {
	w.conn.beforeUnscheduledWrite(len(p))
	return w.conn.Write(p)
}

// writer returns the writer for a response that is sent at once.
func (c *serverConn) writer() io.Writer {
	if c.beforeUnscheduledWrite != nil {
		return chargedWriter{c}
	}
	return c
}
