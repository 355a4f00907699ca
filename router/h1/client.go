// Package h1 is an HTTP/1.1 client that sends each request at most once and reports
// whether any part of it was sent. net/http retries requests on its own and hides
// the connection on which a response arrived.
package h1

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/resetconn"
	"burdockglade.dev/router/responsehead"
)

// maxResponsesPerRequest limits the responses read for one request: if none of them
// belongs to it, the connection is closed.
const maxResponsesPerRequest = 3

const (
	// maxHeadBytes is the maximum size of a response head, including preceding
	// interim (1xx) responses.
	maxHeadBytes = 128 << 10
	// maxSkippedBytes is the maximum size of the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Client sends requests to one address over reused connections.
type Client struct {
	*connpool.Pool
}

// New returns a client for the address of opts.
func New(opts connpool.Options) *Client {
	return &Client{Pool: connpool.New(opts)}
}

// Request is one request.
type Request struct {
	Method string
	// Target is the request target: path and query.
	Target string
	Host   string
	Header http.Header
	// Body is sent before the response is read. It is ignored if Stream is set.
	Body []byte
	// Stream is a body that is sent concurrently with reading the response. Length
	// is its length in bytes, or -1 if it is unknown. If Stream has a method Begin() error,
	// that is called before the response is read: a stream that is requested from elsewhere
	// may no longer be had once the response is passed on.
	Stream io.Reader
	Length int64
	// MaxIdle is the maximum time for which a reused connection may have been idle;
	// 0 means the IdleTimeout of the client.
	MaxIdle time.Duration
	// IDHeader is the field in which the server returns the id of a request, and ID the
	// id of this one. They tell its response from those to earlier requests on the
	// connection. An empty IDHeader accepts every response.
	IDHeader string
	ID       string
}

// Response is the head of a response with its body. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// First is true if this is the first response on its connection, which therefore
	// cannot be a copy of an earlier one.
	First bool
	Body  io.ReadCloser
}

// Do sends the request once and returns the head of its response. When ctx ends, the
// request is cancelled and its connection closed. Errors are of type
// *connpool.Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var resp *Response
	reuse := connpool.Reuse{MaxIdle: r.MaxIdle, Suits: r.mayUse}
	stop, err := c.Exchange(ctx, reuse, func(cn *connpool.Conn) (sent bool, err error) {
		resp, sent, err = exchange(cn, r)
		return sent, err
	})
	if err != nil {
		return nil, err
	}
	resp.Body.(*body).stop = stop
	return resp, nil
}

// exchange writes the request and reads the head of its response. sent is true if a
// part of the request may have been sent.
func exchange(cn *connpool.Conn, r *Request) (resp *Response, sent bool, err error) {
	head := appendHead(nil, r)
	if r.Stream == nil {
		head = append(head, r.Body...)
	}
	n, err := cn.Write(head)
	if n == 0 && err != nil {
		return nil, false, fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
	}
	if err != nil && !resetconn.Failed(err) {
		return nil, true, err
	}
	cut := err != nil
	var upload *connpool.Upload
	if b, ok := r.Stream.(interface{ Begin() error }); ok && !cut {
		if err := b.Begin(); err != nil {
			return nil, true, fmt.Errorf("requesting the body: %w", err)
		}
	}
	if r.Stream != nil && !cut {
		upload = cn.StartUpload(func(w io.Writer) error { return sendBody(w, r) })
	}
	resp, err = readResponse(cn, r)
	if err != nil {
		return nil, true, cmp.Or(upload.SourceError(), err)
	}
	b := resp.Body.(*body)
	b.upload = upload
	b.reusable = b.reusable && !cut
	return resp, true, nil
}

// readResponse reads the head of the response to the request. The server may have responded
// although the upload has failed.
func readResponse(cn *connpool.Conn, r *Request) (*Response, error) {
	defer cn.ClearReadLimit()
	history := historyOf(cn)
	for range maxResponsesPerRequest {
		cn.SetReadLimit(maxHeadBytes)
		hr, err := readHead(cn, r.Method)
		if err != nil {
			return nil, err
		}
		if err := checkFraming(hr); err != nil {
			return nil, err
		}
		belongs, err := history.attribute(r, hr)
		if err != nil {
			return nil, err
		}
		if belongs {
			if unframed(hr) {
				cn.EndMatters()
			}
			return newResponse(cn, hr), nil
		}
		// A response to an earlier request. Without a length its end is unknown.
		if unframed(hr) {
			return nil, errors.New("received a response to another request without a length")
		}
		cn.SetReadLimit(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return nil, fmt.Errorf("skipping a response to another request: %w", err)
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// readHead reads the head of the next final response and skips interim (1xx) ones. Heads that
// HTTP/1.1 does not allow are errors that wrap responsehead.ErrBroken.
func readHead(cn *connpool.Conn, method string) (*http.Response, error) {
	for {
		interim, err := awaitHead(cn)
		if err != nil {
			return nil, fmt.Errorf("reading the response head: %w", err)
		}
		hr, err := http.ReadResponse(cn.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("reading the response head: %w: %w", responsehead.ErrBroken, err)
		}
		if !interim {
			return hr, nil
		}
	}
}

// awaitHead waits until the whole head of a response has arrived, checks it and leaves it
// unread. interim is true if another head follows it.
func awaitHead(cn *connpool.Conn) (interim bool, err error) {
	var checker responsehead.Checker
	for {
		arrived, err := cn.Reader.Peek(cn.Reader.Buffered())
		if err != nil {
			return false, err
		}
		size, err := checker.Check(arrived)
		if err != nil || size > 0 {
			return checker.Interim(), err
		}
		if err := awaitMore(cn, len(arrived)); err != nil {
			return false, err
		}
	}
}

// awaitMore waits until more than the given number of unread bytes have arrived.
func awaitMore(cn *connpool.Conn, unread int) error {
	if unread == cn.Reader.Size() {
		if unread >= maxHeadBytes {
			return connpool.ErrTooLong
		}
		cn.EnlargeBuffer(2 * unread)
	}
	_, err := cn.Reader.Peek(unread + 1)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// unframed reports whether the body of a response ends with its connection.
func unframed(hr *http.Response) bool {
	return hr.ContentLength < 0 && len(hr.TransferEncoding) == 0
}

// checkFraming returns an error if the end of the body is not certain. net/http does not
// decode chunks in a response of HTTP/1.0 and hides that there are any, so that they would
// seem to be the body.
func checkFraming(hr *http.Response) error {
	if unframed(hr) && !hr.ProtoAtLeast(1, 1) && hr.Request.Method != http.MethodHead {
		return errors.New("received a response of HTTP/1.0 without a length")
	}
	return nil
}

// newResponse returns the response whose head is hr. A response without a length ends
// with its connection, which is then not reused.
func newResponse(cn *connpool.Conn, hr *http.Response) *Response {
	cn.PeerIdleTimeout = peerIdleTimeout(hr.Header.Get("Keep-Alive"))
	history := historyOf(cn)
	return &Response{
		Status: hr.StatusCode,
		Header: hr.Header,
		Length: hr.ContentLength,
		First:  history.responses == 1,
		Body:   &body{conn: cn, src: hr.Body, head: hr, reusable: !hr.Close && !unframed(hr) && !history.closing},
	}
}

// peerIdleTimeout returns three quarters of the timeout in a Keep-Alive header, so
// that the client stops using an idle connection before the server closes it. It
// returns 0 if the header has no timeout.
func peerIdleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(seconds)*time.Second*3/4, time.Millisecond)
		}
	}
	return 0
}

// body is the body of a response. Close returns the connection to the pool if the
// body has been read completely.
type body struct {
	conn *connpool.Conn
	src  io.ReadCloser
	// head holds the trailer once the body has been read.
	head     *http.Response
	upload   *connpool.Upload
	stop     func() bool
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		err = cmp.Or(responsehead.CheckTrailer(b.head.Trailer), io.EOF)
		b.ended = err == io.EOF
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the response was not read,
// or the request not sent, completely.
func (b *body) Close() error {
	if b.stop != nil {
		b.reusable = b.stop() && b.reusable
		b.stop = nil
	}
	if b.ended && b.reusable && b.conn.Reader.Buffered() == 0 && b.upload.Done() {
		b.conn.Release()
		return nil
	}
	return b.conn.Close()
}

const uploadBufferBytes = 16 << 10

// sendBody writes r.Stream to w, in chunks if its length is unknown. A stream shorter than
// r.Length is an error.
func sendBody(w io.Writer, r *Request) error {
	buf := make([]byte, uploadBufferBytes)
	if r.Length >= 0 {
		n, err := io.CopyBuffer(w, io.LimitReader(r.Stream, r.Length), buf)
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		n, err := r.Stream.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// appendHead appends the request line and the header.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	switch {
	case r.Stream != nil && r.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Stream != nil:
		b = fmt.Appendf(b, "Content-Length: %d\r\n", r.Length)
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut:
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(b, "\r\n"...)
}

// ReadAll reads a body of at most limit bytes. A longer body is an error that wraps
// connpool.ErrTooLong.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fmt.Errorf("%w: body of more than %d bytes", connpool.ErrTooLong, limit)
	}
	return b.Bytes(), nil
}
