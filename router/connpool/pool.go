// Package connpool pools TCP connections to one address. A connection carries one
// request at a time.
package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"burdockglade.dev/router/resetconn"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 4 << 10

// ErrNotSent is wrapped by errors of requests of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrRefused is wrapped by errors of connections that were refused because nothing
// listens at the address.
var ErrRefused = errors.New("the connection was refused")

// ErrTooLong is wrapped by errors of connections on which more bytes arrived than
// allowed.
var ErrTooLong = errors.New("received more bytes than allowed")

// Options configure a Pool.
type Options struct {
	// Address is an IPv4 address and a port.
	Address string
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time for which an idle connection is kept for reuse.
	IdleTimeout time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT, after which a connection with
	// unacknowledged data is closed; 0 means the system's default.
	UserTimeout time.Duration
	// MayDial reports whether a new connection may be opened. Nil means always.
	MayDial func() bool
	// KeepAlive is the idle time before a keep-alive probe, in whole seconds; 0
	// disables probes. The connection fails keepAliveTimeout after an unacknowledged
	// probe.
	KeepAlive time.Duration
}

const (
	// keepAliveTimeout is the time within which a keep-alive probe must be
	// acknowledged. One second is the minimum that the system supports.
	keepAliveTimeout = time.Second
	// maxUnackedProbes is the number of unacknowledged probes after which a
	// connection fails. One suffices: requests on a dead connection are already
	// delayed, and a new connection is cheap.
	maxUnackedProbes = 1
)

// Pool holds the idle connections to one address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle []*Conn
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	return &Pool{opts: opts}
}

// Address returns the address to which the pool connects.
func (p *Pool) Address() string {
	return p.opts.Address
}

// Conn is one connection. Its reads return io.EOF only at the end that the peer has set.
type Conn struct {
	net.Conn
	// Reader reads from the connection.
	Reader *bufio.Reader
	// PeerIdleTimeout is how long the peer keeps the connection open while it is
	// idle; 0 if unknown.
	PeerIdleTimeout time.Duration
	// State is the state of the protocol in use on the connection.
	State any

	resets    *resetconn.Conn // Conn
	limiter   *readLimiter
	pool      *Pool
	idleSince time.Time // time of the last Release
}

// Reuse restricts the idle connections that a request may use.
type Reuse struct {
	// MaxIdle is the maximum time for which the connection may have been idle; 0 means
	// the IdleTimeout of the pool.
	MaxIdle time.Duration
	// Suits reports whether a connection may be used. Nil accepts every connection.
	Suits func(*Conn) bool
}

// EndMatters is called for a response that ends with the connection: its reader must not take a
// reset for the end.
func (cn *Conn) EndMatters() {
	cn.resets.EndMatters(resetconn.MaxSettleTime)
}

// Get returns an idle connection that reuse allows, or a new one.
func (p *Pool) Get(ctx context.Context, reuse Reuse) (cn *Conn, reused bool, err error) {
	for {
		cn = p.popIdle(reuse.Suits)
		if cn == nil {
			break
		}
		if cn.fresh(reuse.MaxIdle) && cn.usable() {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	if p.opts.MayDial != nil && !p.opts.MayDial() {
		return nil, false, fmt.Errorf("%w: no new connection may be opened now", ErrNotSent)
	}
	cn, err = p.dial(ctx)
	return cn, false, err
}

// popIdle removes the most recently used idle connection that suits from the pool and
// returns it, or nil if there is none.
func (p *Pool) popIdle(suits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, cn := range slices.Backward(p.idle) {
		if suits == nil || suits(cn) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// fresh reports whether the connection has been idle for less than maxIdle and the
// idle timeouts of the pool and the peer.
func (cn *Conn) fresh(maxIdle time.Duration) bool {
	limit := cn.pool.opts.IdleTimeout
	if cn.PeerIdleTimeout > 0 {
		limit = min(limit, cn.PeerIdleTimeout)
	}
	if maxIdle > 0 {
		limit = min(limit, maxIdle)
	}
	return time.Since(cn.idleSince) < limit
}

// usable reports whether an idle connection is open and has no unread bytes. Bytes
// that arrived while it was idle do not belong to the next request's response.
func (cn *Conn) usable() bool {
	if cn.Reader.Buffered() > 0 {
		return false
	}
	raw, err := cn.resets.SyscallConn()
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

// Release returns a connection to the pool after a completed exchange.
func (cn *Conn) Release() {
	cn.idleSince = time.Now()
	cn.pool.mu.Lock()
	cn.pool.idle = append(cn.pool.idle, cn)
	cn.pool.mu.Unlock()
}

// HasIdle reports whether the pool has a usable idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*Conn).usable)
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// Probe opens a connection and closes it.
func (p *Pool) Probe(ctx context.Context) error {
	cn, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return cn.Close()
}

// dial opens a connection. Its errors wrap ErrNotSent, and ErrRefused if the
// connection was refused.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	if p.opts.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.opts.KeepAlive, Interval: keepAliveTimeout, Count: maxUnackedProbes}
	}
	if p.opts.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, p.opts.UserTimeout) }
	}
	nc, err := d.DialContext(ctx, "tcp4", p.opts.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resets := resetconn.New(nc)
	cn := &Conn{Conn: resets, resets: resets, pool: p, limiter: &readLimiter{src: resets, remaining: math.MaxInt64}}
	cn.Reader = bufio.NewReaderSize(cn.limiter, readBufferBytes)
	return cn, nil
}

// readLimiter limits the bytes that are read from a connection.
type readLimiter struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.src.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// EnlargeBuffer replaces Reader by one whose buffer holds size bytes. Unread bytes stay unread.
func (cn *Conn) EnlargeBuffer(size int) {
	unread, _ := cn.Reader.Peek(cn.Reader.Buffered()) // what is buffered is there
	cn.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(unread)), cn.limiter), size)
}

// SetReadLimit limits the bytes that Reader reads from the connection from now on.
// Reading more fails with ErrTooLong.
func (cn *Conn) SetReadLimit(bytes int64) {
	cn.limiter.remaining = bytes
}

// ClearReadLimit removes the limit of SetReadLimit.
func (cn *Conn) ClearReadLimit() {
	cn.limiter.remaining = math.MaxInt64
}

// setUserTimeout sets TCP_USER_TIMEOUT.
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

// Exchange gets a connection and calls exchange with it, which reports whether a part
// of the request may have been sent. The connection is closed if ctx ends before stop
// is called, and if exchange fails. Errors are of type *Error.
func (p *Pool) Exchange(ctx context.Context, reuse Reuse, exchange func(*Conn) (sent bool, err error)) (stop func() bool, err error) {
	cn, _, err := p.Get(ctx, reuse)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	sent, err := exchange(cn)
	if err == nil {
		return stop, nil
	}
	stop()
	_ = cn.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, &Error{Connected: true, Sent: sent, Err: err}
}

// Error is a failure of an exchange before the head of the response was read.
type Error struct {
	// Connected is true if there was a connection.
	Connected bool
	// Sent is true if a part of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
