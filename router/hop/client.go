package hop

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"burdockglade.dev/router/connpool"
)

// Client sends requests to one router.
type Client struct {
	*connpool.Pool
}

// NewClient returns a client.
func NewClient(opts connpool.Options) *Client {
	return &Client{Pool: connpool.New(opts)}
}

// Request is a request with its body: Body, or Stream of the head's length.
type Request struct {
	RequestHead
	Body   []byte
	Stream io.Reader
}

// Response is an answer with its body, which must be closed.
type Response struct {
	ResponseHead
	Body io.ReadCloser
}

// fieldMemory holds the fields of the last messages on a connection.
type fieldMemory struct {
	sent, received []Field
	used           bool
}

// Do sends the request once and returns the head of its answer. The request
// ends, with its connection, when ctx does. Errors are of type *connpool.Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var resp *Response
	stop, err := c.Exchange(ctx, 0, func(cn *connpool.Conn) (sent bool, err error) {
		resp, sent, err = exchange(cn, r)
		return sent, err
	})
	if err != nil {
		return nil, err
	}
	resp.Body.(*answerBody).stop = stop
	return resp, nil
}

func exchange(cn *connpool.Conn, r *Request) (resp *Response, sent bool, err error) {
	memory, _ := cn.State.(*fieldMemory)
	if memory == nil {
		memory = &fieldMemory{}
		cn.State = memory
	}
	head := r.RequestHead
	head.Fields, head.SameFields = memory.shorten(&memory.sent, r.Fields)
	message, err := appendHead(nil, head)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
	}
	n, err := cn.Write(append(message, r.Body...))
	if err != nil {
		if n == 0 {
			err = fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
		}
		return nil, n > 0, err
	}
	if r.Stream != nil {
		if err := writeBody(cn, r.Stream, r.Length); err != nil {
			return nil, true, fmt.Errorf("sending the body: %w", err)
		}
	}
	resp = &Response{}
	if err := readHead(cn.Reader, &resp.ResponseHead); err != nil {
		return nil, true, fmt.Errorf("reading the answer: %w", err)
	}
	resp.Fields = memory.restore(&memory.received, resp.Fields, resp.SameFields)
	// The other side ends a connection after a request with a stream.
	resp.Body = &answerBody{conn: cn, src: bodyReader(cn.Reader, resp.Length), last: r.Stream != nil}
	return resp, true, nil
}

// shorten returns no fields when they are those of the last message.
func (m *fieldMemory) shorten(last *[]Field, fields []Field) (short []Field, same bool) {
	if m.used && slices.Equal(*last, fields) {
		return nil, true
	}
	*last, m.used = fields, true
	return fields, false
}

// restore returns the fields of a message.
func (m *fieldMemory) restore(last *[]Field, fields []Field, same bool) []Field {
	if same {
		return *last
	}
	*last = fields
	return fields
}

// answerBody gives the connection back when the answer was read to its end.
type answerBody struct {
	conn  *connpool.Conn
	src   io.Reader
	stop  func() bool
	ended bool
	// last tells that the connection carries no further request.
	last bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close ends the answer.
func (b *answerBody) Close() error {
	if b.stop == nil {
		return nil
	}
	inTime := b.stop()
	b.stop = nil
	if b.ended && inTime && !b.last {
		b.conn.Release()
		return nil
	}
	return b.conn.Close()
}

// serverIdle is how long a router keeps an unused connection of another one. It
// is longer than the other side keeps it.
const serverIdle = 2 * time.Minute
