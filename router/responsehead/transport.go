package responsehead

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"burdockglade.dev/router/resetconn"
)

// Transport is an http.Transport that fails requests whose responses have broken heads with
// errors that wrap ErrBroken, and closes their connections. Its connections must be of type
// *Conn.
type Transport struct {
	*http.Transport
}

// NewTransport returns t with connections of the dialer that check the heads of responses, and
// on which a reset does not look like the end of a response.
func NewTransport(t *http.Transport, dialer *net.Dialer) *Transport {
	secure := &tls.Dialer{NetDialer: dialer, Config: t.TLSClientConfig}
	t.DialContext = checked(dialer.DialContext)
	t.DialTLSContext = checked(secure.DialContext)
	return &Transport{Transport: t}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	uploads := req.Body != nil && req.Body != http.NoBody
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.expectResponse()
				if uploads {
					conn.resets.BeginUpload()
				}
				used.Store(conn)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn := used.Load(); conn != nil && uploads {
				conn.resets.EndUpload()
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if conn := used.Load(); err != nil && conn != nil {
		err = cmp.Or(conn.failed(), err) // the error of net/http may not name the cause
	}
	return resp, err
}

// Conn is a connection to a server that checks the heads of its responses, and on which a reset
// does not look like the end of a response.
type Conn struct {
	net.Conn // resets
	resets   *resetconn.Conn

	mu sync.Mutex
	// expecting is true until the head of the final response to the last request has
	// arrived. head is the part of the current head that has arrived.
	expecting bool
	checker   Checker
	head      []byte
	// err is the error of a broken head, after which nothing more is read.
	err error
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn {
	resets := resetconn.New(conn)
	resets.EndMatters(0) // net/http alone knows how a response ends
	return &Conn{Conn: resets, resets: resets}
}

// NetConn returns the connection that was passed to NewConn.
func (c *Conn) NetConn() net.Conn {
	return c.resets.Conn
}

// expectResponse is called before a request is written.
func (c *Conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expecting, c.checker, c.head = true, Checker{}, nil
}

// Read implements net.Conn. It returns no part of a head behind the line that breaks it.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	first, broken := c.check(p[:n])
	switch {
	case broken == nil:
		return n, err
	case first:
		// net/http sends some requests again of whose response it has read nothing. One
		// byte shows it that there is a response; the next call returns the error.
		p[0] = versionPrefix[0]
		return 1, nil
	}
	return 0, broken
}

// failed returns the error of a broken head that has been read, or nil.
func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// check checks data if it belongs to a head. first is true if nothing of the head was read
// before.
func (c *Conn) check(data []byte) (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expecting {
		return false, nil
	}
	first = len(c.head) == 0
	c.head = append(c.head, data...)
	for c.expecting {
		size, err := c.checker.Check(c.head)
		if err != nil || size == 0 {
			c.err = err
			return first, err
		}
		c.expecting = c.checker.Interim()
		c.checker, c.head = Checker{}, c.head[size:]
	}
	c.head = nil
	return first, nil
}
