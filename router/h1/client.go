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
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxEarlierAnswers is the number of answers to other requests that are
	// skipped on a connection before it is given up.
	maxEarlierAnswers = 3
	readBufferBytes   = 4 << 10
)

// ErrNotSent marks errors of requests of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrRefused marks errors of connections that the other side refused.
var ErrRefused = errors.New("the connection was refused")

// ErrLimit means that the limit of connections is reached.
var ErrLimit = errors.New("too many connections")

// Options configure a Client.
type Options struct {
	// Address is an IP number and a port.
	Address string
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is the longest time that a connection is kept unused.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// UserTimeout ends a connection whose data is not acknowledged; 0 means the
	// system's default.
	UserTimeout time.Duration
	// KeepAlive is the idle time before keep-alive probes; 0 turns them off.
	KeepAlive time.Duration
}

// Client sends requests to one address over reused connections.
type Client struct {
	opts Options

	mu   sync.Mutex
	idle []*conn
	open int
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts}
}

// Address is the address that the client sends to.
func (c *Client) Address() string {
	return c.opts.Address
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

// Error is a failure before the head of the answer.
type Error struct {
	// Sent tells whether a part of the request may have been sent.
	Sent bool
	// Reused tells whether the connection had carried an earlier request.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// conn is one connection.
type conn struct {
	net.Conn
	client  *Client
	br      *bufio.Reader
	since   time.Time // end of the last use
	keep    time.Duration
	closing sync.Once
}

func (cn *conn) Close() error {
	cn.closing.Do(func() {
		_ = cn.Conn.Close()
		cn.client.mu.Lock()
		cn.client.open--
		cn.client.mu.Unlock()
	})
	return nil
}

// Do sends the request once and returns the head of its answer. The request
// ends, with its connection, when ctx does.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, reused, err := c.take(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, sent, err := c.exchange(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Sent: sent, Reused: reused, Err: err}
	}
	resp.Body.(*body).stop = stop
	return resp, nil
}

// Probe makes a connection and closes it.
func (c *Client) Probe(ctx context.Context) error {
	cn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	return cn.Close()
}

// CloseIdle closes the unused connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// Open is the number of open connections.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *Client) take(ctx context.Context, maxIdle time.Duration) (cn *conn, reused bool, err error) {
	for {
		cn = c.takeIdle()
		if cn == nil {
			break
		}
		limit := c.opts.IdleTimeout
		if cn.keep > 0 && cn.keep < limit {
			limit = cn.keep
		}
		if maxIdle > 0 && maxIdle < limit {
			limit = maxIdle
		}
		if time.Since(cn.since) < limit && cn.usable() {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	cn, err = c.dial(ctx)
	return cn, false, err
}

// takeIdle returns the connection that was used last.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	cn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return cn
}

// usable reports whether an unused connection is open and silent. Bytes that
// arrive without a request belong to no later one.
func (cn *conn) usable() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	raw, err := cn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	c.mu.Lock()
	if c.opts.MaxConnections > 0 && c.open >= c.opts.MaxConnections {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w to %s: %w", ErrLimit, c.opts.Address, ErrNotSent)
	}
	c.open++
	c.mu.Unlock()
	d := net.Dialer{Timeout: c.opts.DialTimeout, KeepAlive: -1}
	if c.opts.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.opts.KeepAlive, Interval: time.Second, Count: 2}
	}
	if c.opts.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, c.opts.UserTimeout) }
	}
	nc, err := d.DialContext(ctx, "tcp4", c.opts.Address)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{Conn: nc, client: c, br: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// exchange writes the request and reads the head of its answer.
func (c *Client) exchange(cn *conn, r *Request) (resp *Response, sent bool, err error) {
	head := appendHead(nil, r)
	if r.Stream == nil {
		head = append(head, r.Body...)
	}
	n, err := cn.Write(head)
	if err != nil {
		if n == 0 {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, n > 0, err
	}
	var upload *upload
	if r.Stream != nil {
		upload = startUpload(cn, r)
	}
	for range maxEarlierAnswers {
		hr, err := readHead(cn.br, r.Method)
		if err != nil {
			return nil, true, err
		}
		if r.Matches == nil || r.Matches(hr.Header) {
			return cn.response(hr, upload), true, nil
		}
		// An answer to an earlier request. Without a length it has no end.
		if hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 {
			return nil, true, errors.New("an answer to another request without a length")
		}
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

func (cn *conn) response(hr *http.Response, up *upload) *Response {
	unframed := hr.ContentLength < 0 && len(hr.TransferEncoding) == 0
	cn.keep = keepAlive(hr.Header.Get("Keep-Alive"))
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
	conn     *conn
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
	if b.ended && b.reusable && b.conn.br.Buffered() == 0 && b.upload.done() {
		b.conn.release()
		return nil
	}
	return b.conn.Close()
}

func (cn *conn) release() {
	cn.since = time.Now()
	c := cn.client
	c.mu.Lock()
	c.idle = append(c.idle, cn)
	c.mu.Unlock()
}

// upload sends a body while the answer is awaited.
type upload struct {
	finished chan struct{}
	err      error
}

// startUpload sends the body. A body that cannot be read to its end closes the
// connection, so that the other side never takes it for whole.
func startUpload(cn *conn, r *Request) *upload {
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

func sendBody(cn *conn, r *Request) error {
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
		return nil, fmt.Errorf("a body of more than %d bytes", limit)
	}
	return b.Bytes(), nil
}
