// Package h1 is an HTTP/1.1 client that sends each request at most once and
// tells whether any part of it was sent. net/http repeats requests by itself
// and hides which connection an answer came from.
package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/connpool"
)

// maxEarlierAnswers is the number of answers to other requests that are skipped
// on a connection before it is given up.
const maxEarlierAnswers = 3

const (
	// maxHeadBytes bounds what arrives before the body of the answer: its header,
	// and interim answers.
	maxHeadBytes = 128 << 10
	// maxSkippedBytes bounds one answer to another request.
	maxSkippedBytes = 1 << 20
)

// Client sends requests to one address over reused connections.
type Client struct {
	*connpool.Pool
}

// New returns a client.
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
	// Body is sent whole before the answer is read, unless Stream is set.
	Body []byte
	// Stream is a body that is sent while the answer is awaited. Length is its
	// length, or -1 when it is unknown.
	Stream io.Reader
	Length int64
	// MaxIdle bounds how long the connection may have been unused; 0 means the
	// client's bound.
	MaxIdle time.Duration
	// Matches reports whether an answer belongs to the request. Answers that do
	// not are skipped. Nil accepts every answer.
	Matches func(http.Header) bool
}

// Response is the head of an answer with its body. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it is unknown.
	Length int64
	Body   io.ReadCloser
}

// Do sends the request once and returns the head of its answer. The request
// ends, with its connection, when ctx does.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var resp *Response
	stop, err := c.Exchange(ctx, r.MaxIdle, func(cn *connpool.Conn) (sent bool, err error) {
		resp, sent, err = exchange(cn, r)
		return sent, err
	})
	if err != nil {
		return nil, err
	}
	resp.Body.(*body).stop = stop
	return resp, nil
}

// exchange writes the request and reads the head of its answer.
func exchange(cn *connpool.Conn, r *Request) (resp *Response, sent bool, err error) {
	head := appendHead(nil, r)
	if r.Stream == nil {
		head = append(head, r.Body...)
	}
	n, err := cn.Write(head)
	if err != nil {
		if n == 0 {
			err = fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
		}
		return nil, n > 0, err
	}
	var upload *upload
	if r.Stream != nil {
		upload = startUpload(cn, r)
	}
	defer cn.ClearReadLimit()
	for range maxEarlierAnswers {
		cn.SetReadLimit(maxHeadBytes)
		hr, err := readHead(cn.Reader, r.Method)
		if err != nil {
			return nil, true, err
		}
		if r.Matches == nil || r.Matches(hr.Header) {
			return response(cn, hr, upload), true, nil
		}
		// An answer to an earlier request. Without a length it has no end.
		if hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 {
			return nil, true, errors.New("an answer to another request without a length")
		}
		cn.SetReadLimit(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return nil, true, fmt.Errorf("reading an answer to another request: %w", err)
		}
	}
	return nil, true, errors.New("only answers to other requests")
}

// readHead reads the head of the next final answer.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		hr, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("reading the answer: %w", err)
		}
		if hr.StatusCode >= http.StatusOK {
			return hr, nil
		}
		if hr.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the answer switches protocols")
		}
	}
}

func response(cn *connpool.Conn, hr *http.Response, up *upload) *Response {
	unframed := hr.ContentLength < 0 && len(hr.TransferEncoding) == 0
	cn.PeerIdleTimeout = keepAlive(hr.Header.Get("Keep-Alive"))
	return &Response{
		Status: hr.StatusCode,
		Header: hr.Header,
		Length: hr.ContentLength,
		Body:   &body{conn: cn, src: hr.Body, upload: up, reusable: !hr.Close && !unframed},
	}
}

// keepAlive returns the time that the other side keeps an unused connection,
// less a margin, or 0 when it does not say.
func keepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(seconds)*time.Second*3/4, time.Millisecond)
		}
	}
	return 0
}

// body is the body of an answer. It gives the connection back when it was read
// to its end.
type body struct {
	conn     *connpool.Conn
	src      io.ReadCloser
	upload   *upload
	stop     func() bool
	reusable bool
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close ends the answer. A connection whose answer was not read to its end, or
// whose request was not sent to its end, is closed.
func (b *body) Close() error {
	if b.stop != nil {
		b.reusable = b.stop() && b.reusable
		b.stop = nil
	}
	if b.ended && b.reusable && b.conn.Reader.Buffered() == 0 && b.upload.done() {
		b.conn.Release()
		return nil
	}
	return b.conn.Close()
}

// upload sends a body while the answer is awaited.
type upload struct {
	finished chan struct{}
	err      error
}

// startUpload sends the body. A body that cannot be read to its end closes the
// connection, so that the other side never takes it for whole.
func startUpload(cn *connpool.Conn, r *Request) *upload {
	u := &upload{finished: make(chan struct{})}
	go func() {
		defer close(u.finished)
		if u.err = sendBody(cn, r); u.err != nil {
			_ = cn.Close()
		}
	}()
	return u
}

// done reports whether the body was sent whole.
func (u *upload) done() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.finished:
		return u.err == nil
	default:
		return false
	}
}

const uploadBufferBytes = 16 << 10

func sendBody(cn *connpool.Conn, r *Request) error {
	buf := make([]byte, uploadBufferBytes)
	if r.Length >= 0 {
		n, err := io.CopyBuffer(onlyWriter{cn}, io.LimitReader(r.Stream, r.Length), buf)
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		n, err := r.Stream.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(cn, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(cn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// onlyWriter hides ReadFrom, so that the buffer is used.
type onlyWriter struct{ io.Writer }

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

// ReadAll reads a body of at most limit bytes to its end. A longer body is an
// error.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fmt.Errorf("%w: a body of more than %d bytes", connpool.ErrTooLong, limit)
	}
	return b.Bytes(), nil
}
