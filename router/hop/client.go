package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/responsehead"
)

// Client sends requests to one router.
type Client struct {
	*connpool.Pool
}

// NewClient returns a client of the router at the address of opts.
func NewClient(opts connpool.Options) *Client {
	return &Client{Pool: connpool.New(opts)}
}

// Request is a request with its body, which is either Body or, if Stream is not
// nil, Length bytes of Stream.
type Request struct {
	RequestHead
	Body   []byte
	Stream io.Reader
	// DeferBody asks the client to send Body only once the server has admitted the request.
	// It has no effect if the server is not known to support it.
	DeferBody bool
	// deferred is set by the server if the sender keeps the body. Body is then empty.
	deferred *deferredBody
	// ChargeResponse charges n bytes of a response to the connection on which the request
	// arrived. It is set by the server.
	ChargeResponse func(n int64)
	// Reported belongs to the handler, which keeps in it the number of the last report that it
	// has sent on the connection on which the request arrived. It is 0 at first, nil if the
	// request did not arrive at a server, and used by one request at a time.
	Reported *uint64
}

// Response is a response with its body, which must be closed.
type Response struct {
	ResponseHead
	Body io.ReadCloser
	// BodyDeferred is true if the request was sent without its body at first.
	BodyDeferred bool
	// Turns is set by handlers for responses that are sent in turns with others.
	Turns Turns
}

// fieldCache holds the header fields of the last message in each direction of a
// connection, so that unchanged fields need not be sent again. A client also keeps in it what
// the server has announced.
type fieldCache struct {
	sent, received []Field
	used           bool
	// defersBodies is true once the server has announced that it knows DefersBody.
	defersBodies bool
}

// Do sends the request once and returns the head of its response. When ctx ends, the
// request is cancelled and its connection closed. Errors are of type
// *connpool.Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var resp *Response
	stop, err := c.Exchange(ctx, connpool.Reuse{}, func(cn *connpool.Conn) (sent bool, err error) {
		resp, sent, err = exchange(cn, r)
		return sent, err
	})
	if err != nil {
		return nil, err
	}
	resp.Body.(*responseBody).stop = stop
	return resp, nil
}

// exchange writes the request and reads the head of its response. sent is true if a
// part of the request may have been sent.
func exchange(cn *connpool.Conn, r *Request) (resp *Response, sent bool, err error) {
	cache, _ := cn.State.(*fieldCache)
	if cache == nil {
		cache = &fieldCache{}
		cn.State = cache
	}
	head := r.RequestHead
	head.Fields, head.SameFields = cache.elide(&cache.sent, r.Fields)
	if r.Stream != nil {
		head.Flags |= AsksForBody
	}
	body := r.Body
	deferBody := r.DeferBody && cache.defersBodies && r.Stream == nil && len(body) > 0
	if deferBody {
		head.Flags |= DefersBody
		body = nil
	}
	message, err := appendHead(nil, head)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
	}
	n, err := cn.Write(append(message, body...))
	if err != nil {
		if n == 0 {
			err = fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
		}
		return nil, n > 0, err
	}
	var upload *connpool.Upload
	if r.Stream != nil {
		if upload, err = sendStream(cn, r); err != nil {
			return nil, true, fmt.Errorf("waiting to send the request body: %w", err)
		}
	}
	if deferBody {
		if sent, err := sendDeferred(cn, r.Body); err != nil {
			return nil, sent, err
		}
	}
	resp = &Response{BodyDeferred: deferBody}
	err = readResponseHead(cn.Reader, &resp.ResponseHead)
	if errors.Is(err, errMalformedHead) {
		err = fmt.Errorf("%w: %w", responsehead.ErrBroken, err)
	}
	if source := upload.SourceError(); err != nil && source != nil {
		return nil, true, fmt.Errorf("reading the request body: %w", source)
	}
	if err != nil {
		return nil, true, fmt.Errorf("reading the response head: %w", err)
	}
	if err := resp.check(r.Flags&StoreCall != 0); err != nil {
		return nil, true, err
	}
	var announced bool
	resp.Fields, announced = takeDeferral(cache.restore(&cache.received, resp.Fields, resp.SameFields))
	cache.defersBodies = cache.defersBodies || announced
	// The server closes a connection after a request with a stream.
	resp.Body = &responseBody{conn: cn, src: bodyReader(cn.Reader, resp.Length), ended: resp.Length == 0, noReuse: r.Stream != nil}
	return resp, true, nil
}

// bodyWantedTimeout is how long a client waits until it sends a stream unasked: a router of
// an earlier version does not ask, and one that has a queue asks late.
const bodyWantedTimeout = 250 * time.Millisecond

// sendStream starts to send the stream of the request once the server asks for it. If the
// server responds at once, the stream stays unread, so that it can be sent to another server.
func sendStream(cn *connpool.Conn, r *Request) (*connpool.Upload, error) {
	responded, err := awaitBodyWanted(cn)
	if err != nil || responded {
		return nil, err
	}
	return cn.StartUpload(func(w io.Writer) error { return writeBody(w, r.Stream, r.Length) }), nil
}

// awaitBodyWanted waits until the server asks for the stream, responds or does neither in
// time. responded is true if it has responded.
func awaitBodyWanted(cn *connpool.Conn) (responded bool, err error) {
	if err := cn.SetReadDeadline(time.Now().Add(bodyWantedTimeout)); err != nil {
		return false, err
	}
	first, err := cn.Reader.Peek(1)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		err = nil
	}
	if err != nil {
		return false, err
	}
	if err := cn.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	return len(first) > 0 && first[0] != bodyWanted, nil
}

// readResponseHead reads the head of a response, behind the request for the body if the
// server has made one.
func readResponseHead(r *bufio.Reader, head *ResponseHead) error {
	first, err := r.Peek(1)
	if err != nil {
		return err
	}
	if first[0] == bodyWanted {
		if _, err := r.Discard(1); err != nil {
			return err
		}
	}
	return readHead(r, head)
}

// elide returns the fields to send: none, and same=true, if they equal those of
// the last message.
func (f *fieldCache) elide(last *[]Field, fields []Field) (short []Field, same bool) {
	if f.used && slices.Equal(*last, fields) {
		return nil, true
	}
	*last, f.used = fields, true
	return fields, false
}

// restore returns the full fields of a received message.
func (f *fieldCache) restore(last *[]Field, fields []Field, same bool) []Field {
	if same {
		return *last
	}
	*last = fields
	return fields
}

// responseBody is the body of a response. Close returns the connection to the pool if
// the body has been read completely.
type responseBody struct {
	conn *connpool.Conn
	src  io.Reader
	stop func() bool
	// ended is true once nothing of the body is left to read. An empty body need not be read.
	ended bool
	// noReuse is true if the connection carries no further requests.
	noReuse bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.stop == nil {
		return nil
	}
	notCancelled := b.stop()
	b.stop = nil
	if b.ended && notCancelled && !b.noReuse {
		b.conn.Release()
		return nil
	}
	return b.conn.Close()
}

// serverIdleTimeout is how long a server keeps an idle connection. It is longer
// than the client's idle timeout, so that the client closes the connection first.
const serverIdleTimeout = 2 * time.Minute
