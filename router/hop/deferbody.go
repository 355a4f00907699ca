package hop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"burdockglade.dev/router/connpool"
)

// A request with a short body can be sent without the body at first (DefersBody). The server
// either responds, and the body is never sent, or asks for it with bodyWanted. Unlike a
// stream, which the client sends unasked after bodyWantedTimeout, the body never travels
// unasked, so that the connection can be used for further requests.

const (
	// deferredBodyField is the field in the first refusal of a connection by which a server
	// says that it knows deferred bodies. Routers of earlier versions ignore it.
	deferredBodyField = "Burdock-Body"
	deferredBodyValue = "deferred"
	// deferredBodyTimeout is how long a server waits for a body that it has asked for.
	deferredBodyTimeout = time.Second
)

// deferredBody is the body of a request whose sender waits until it is asked for it.
type deferredBody struct {
	conn   *serverConn
	length int64
	asked  bool
	// onRead is called when the body has been read.
	onRead func()
	data   []byte
	err    error
}

// ReadBody returns the body of a request without a stream. If it was deferred, the first call
// asks the sender for it. The handler must not call it after it has returned, or
// concurrently.
func (r *Request) ReadBody() ([]byte, error) {
	if d := r.deferred; d != nil {
		return d.get()
	}
	return r.Body, nil
}

// BodyDeferred reports whether the body is still with the sender of the request.
func (r *Request) BodyDeferred() bool {
	return r.deferred != nil && !r.deferred.asked
}

func (d *deferredBody) get() ([]byte, error) {
	if d.asked {
		return d.data, d.err
	}
	d.asked = true
	d.data, d.err = d.fetch()
	if d.err == nil {
		d.onRead()
	}
	return d.data, d.err
}

func (d *deferredBody) fetch() ([]byte, error) {
	if err := d.conn.askForBody(); err != nil {
		return nil, err
	}
	if err := d.conn.SetReadDeadline(time.Now().Add(deferredBodyTimeout)); err != nil {
		return nil, err
	}
	data := make([]byte, d.length)
	if _, err := io.ReadFull(d.conn.br, data); err != nil {
		return nil, fmt.Errorf("reading the deferred body: %w", err)
	}
	return data, d.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
}

// announceDeferral adds deferredBodyField to the first refusal of the connection.
func (c *serverConn) announceDeferral(head *ResponseHead) {
	if head.Kind == "" || c.deferralAnnounced {
		return
	}
	c.deferralAnnounced = true
	head.Fields = append(head.Fields[:len(head.Fields):len(head.Fields)], Field{Name: deferredBodyField, Value: deferredBodyValue})
}

// takeDeferral removes deferredBodyField from the fields of a response and reports whether it
// was there.
func takeDeferral(fields []Field) (rest []Field, announced bool) {
	for i, f := range fields {
		if f.Name == deferredBodyField {
			return append(fields[:i:i], fields[i+1:]...), f.Value == deferredBodyValue
		}
	}
	return fields, false
}

// sendDeferred sends a body if the server asks for it. sent is false if the server has neither
// asked for the body nor responded: it cannot have run the request without its body.
func sendDeferred(cn *connpool.Conn, body []byte) (sent bool, err error) {
	wanted, err := peekBodyWanted(cn.Reader)
	if err != nil {
		return false, fmt.Errorf("%w: the body was not asked for: %w", connpool.ErrNotSent, err)
	}
	if !wanted {
		return true, nil
	}
	if _, err := cn.Write(body); err != nil {
		return true, fmt.Errorf("sending the deferred body: %w", err)
	}
	return true, nil
}

// peekBodyWanted waits for the first byte of the server and reports whether it asks for the
// body.
func peekBodyWanted(r *bufio.Reader) (bool, error) {
	first, err := r.Peek(1)
	if err != nil {
		return false, err
	}
	return first[0] == bodyWanted, nil
}

var errDeferredLength = errors.New("a deferred body must have a length of up to 64 KiB")
