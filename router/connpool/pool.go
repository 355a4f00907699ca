// Package connpool keeps TCP connections to one address for reuse. A connection
// carries one request at a time.
package connpool

import (
	"bufio"
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
)

const readBufferBytes = 4 << 10

// ErrNotSent marks errors of requests of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrRefused marks errors of connections that the other side refused, because
// nothing listens at the address.
var ErrRefused = errors.New("the connection was refused")

// ErrTooLong marks errors of connections on which more arrived than the
// exchange allows.
var ErrTooLong = errors.New("the other side sent more than is allowed")

// Options configure a Pool.
type Options struct {
	// Address is an IP number and a port.
	Address string
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is the longest time that a connection is kept unused.
	IdleTimeout time.Duration
	// UserTimeout ends a connection whose data is not acknowledged; 0 means the
	// system's default.
	UserTimeout time.Duration
	// MayDial, if set, tells whether a new connection may be opened.
	MayDial func() bool
	// KeepAlive is the idle time before a keep-alive probe, in whole seconds; 0 turns
	// probes off. A connection that does not answer one ends keepAliveAnswer later.
	KeepAlive time.Duration
}

const (
	// keepAliveAnswer is the time in which a keep-alive probe must be answered: the
	// shortest one that the system knows.
	keepAliveAnswer = time.Second
	// unansweredProbes is the number of such probes that end a connection. What waits
	// on a silent connection is late already, and a new connection costs little.
	unansweredProbes = 1
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle []*Conn
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	return &Pool{opts: opts}
}

// Address is the address of the other side.
func (p *Pool) Address() string {
	return p.opts.Address
}

// Conn is one connection.
type Conn struct {
	net.Conn
	// Reader reads from the connection.
	Reader *bufio.Reader
	// PeerIdleTimeout is how long the other side keeps the connection unused; 0 means that
	// it did not say.
	PeerIdleTimeout time.Duration
	// State belongs to the protocol that is spoken on the connection.
	State any

	allowance *allowance
	pool      *Pool
	since     time.Time // end of the last use
}

// Get returns a connection that was unused for at most maxIdle, or a new one.
// A maxIdle of 0 means the pool's bound.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (cn *Conn, reused bool, err error) {
	for {
		cn = p.takeIdle()
		if cn == nil {
			break
		}
		if cn.fresh(maxIdle) && cn.usable() {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	if p.opts.MayDial != nil && !p.opts.MayDial() {
		return nil, false, fmt.Errorf("%w: no connection may be opened now", ErrNotSent)
	}
	cn, err = p.dial(ctx)
	return cn, false, err
}

// takeIdle returns the connection that was used last.
func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	cn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return cn
}

// fresh reports whether the connection was unused for a short time only.
func (cn *Conn) fresh(maxIdle time.Duration) bool {
	limit := cn.pool.opts.IdleTimeout
	if cn.PeerIdleTimeout > 0 {
		limit = min(limit, cn.PeerIdleTimeout)
	}
	if maxIdle > 0 {
		limit = min(limit, maxIdle)
	}
	return time.Since(cn.since) < limit
}

// usable reports whether an unused connection is open and silent. Bytes that
// arrive without a request belong to no later one.
func (cn *Conn) usable() bool {
	if cn.Reader.Buffered() > 0 {
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

// Release gives a connection back after a whole exchange.
func (cn *Conn) Release() {
	cn.since = time.Now()
	cn.pool.mu.Lock()
	cn.pool.idle = append(cn.pool.idle, cn)
	cn.pool.mu.Unlock()
}

// HasIdle reports whether an unused connection is open.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*Conn).usable)
}

// CloseIdle closes the unused connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// Probe makes a connection and closes it.
func (p *Pool) Probe(ctx context.Context) error {
	cn, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return cn.Close()
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	if p.opts.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.opts.KeepAlive, Interval: keepAliveAnswer, Count: unansweredProbes}
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
	cn := &Conn{Conn: nc, pool: p, allowance: &allowance{src: nc, left: math.MaxInt64}}
	cn.Reader = bufio.NewReaderSize(cn.allowance, readBufferBytes)
	return cn, nil
}

// allowance bounds what is read from a connection.
type allowance struct {
	src  io.Reader
	left int64
}

// Read implements io.Reader.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := a.src.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	return n, err
}

// SetReadLimit bounds the bytes that Reader takes from the connection from now on;
// reading beyond them fails with ErrTooLong.
func (cn *Conn) SetReadLimit(bytes int64) {
	cn.allowance.left = bytes
}

// ClearReadLimit removes the limit of SetReadLimit.
func (cn *Conn) ClearReadLimit() {
	cn.allowance.left = math.MaxInt64
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

// Exchange takes a connection and runs an exchange on it, which reports whether a
// part of the request may have been sent. The connection is closed when ctx ends
// before stop is called, and when the exchange fails; the error is of type
// *Error then.
func (p *Pool) Exchange(ctx context.Context, maxIdle time.Duration, exchange func(*Conn) (sent bool, err error)) (stop func() bool, err error) {
	cn, _, err := p.Get(ctx, maxIdle)
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

// Error is a failure of an exchange before the head of the answer.
type Error struct {
	// Connected tells whether there was a connection.
	Connected bool
	// Sent tells whether a part of the request may have been sent.
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
