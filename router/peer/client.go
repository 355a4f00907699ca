package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/ownership"
)

// Timeouts of the control client.
const (
	dialTimeout = 300 * time.Millisecond
	// reuseTimeout is how long a call waits for a response on a cached
	// connection before it is sent again on a new one. A cached connection can
	// stop delivering without an error while new connections work.
	reuseTimeout = 400 * time.Millisecond
	// ClientIdleTimeout is how long a control connection stays open without calls.
	ClientIdleTimeout = time.Minute
)

// ErrNoResponse means that a call was sent and no response was received: whether
// the call had an effect is unknown.
var ErrNoResponse = errors.New("peer did not respond")

// ClientOptions configures a Client.
type ClientOptions struct {
	Secret      Secret
	Host        string
	Incarnation uint64
	// Dial opens connections. Default: TCP with a timeout of 300 ms.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope
}

// Client sends control calls to other routers. It caches one connection per
// address. It is safe for concurrent use.
type Client struct {
	opts  ClientOptions
	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is an authenticated connection.
type clientConn struct {
	rpc         *jsonrpc2.Conn
	host        string
	incarnation uint64
	lastUse     time.Time
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{opts: o, conns: map[string]*clientConn{}}
}

// Call sends a call to the process and decodes its response. If to.Incarnation is
// not 0, the process must have this incarnation.
//
// An error is an errkind.Error returned by the peer's method, has the kind
// PeerUnreachable if no connection could be established (the call had no effect)
// or PeerRefused if authentication or the call was rejected, or wraps
// ErrNoResponse. A call may be sent twice, on a cached and on a new connection.
func (c *Client) Call(ctx context.Context, to ownership.Host, method string, params, response any) error {
	return c.countFailure(c.call(ctx, to, method, params, response))
}

// countFailure counts calls that got no response from a method of the peer. Errors
// returned by the methods are responses and are not counted.
func (c *Client) countFailure(err error) error {
	reason := ""
	switch {
	case errors.Is(err, ErrNoResponse):
		reason = "no_answer"
	case errkind.Is(err, errkind.PeerUnreachable):
		reason = "unreachable"
	case errkind.Is(err, errkind.PeerRefused):
		reason = "refused"
	default:
		return err
	}
	c.opts.Scope.Tagged(map[string]string{"reason": reason}).Counter("calls_failed").Inc(1)
	return err
}

// call sends the call on the cached connection, if there is one, and on a new one
// if that gets no response.
func (c *Client) call(ctx context.Context, to ownership.Host, method string, params, response any) error {
	if cc := c.cachedConn(to); cc != nil {
		err := c.callWithTimeout(ctx, cc, reuseTimeout, method, params, response)
		if err == nil || !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
			return err
		}
		c.dropConn(to.ControlAddr, cc)
	}
	cc, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	c.cacheConn(to.ControlAddr, cc)
	err = callOn(ctx, cc, method, params, response)
	if errors.Is(err, ErrNoResponse) {
		c.dropConn(to.ControlAddr, cc)
	}
	return err
}

// CallFresh sends a call over a new connection that is closed afterwards. It is
// meant for calls whose response may take long and for queries about a request on
// an unresponsive connection.
func (c *Client) CallFresh(ctx context.Context, to ownership.Host, method string, params, response any) error {
	cc, err := c.connect(ctx, to)
	if err != nil {
		return c.countFailure(err)
	}
	defer func() { _ = cc.rpc.Close() }()
	return c.countFailure(callOn(ctx, cc, method, params, response))
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.conns {
		_ = cc.rpc.Close()
		delete(c.conns, address)
	}
}

// cachedConn returns the cached connection, or nil. It drops one that is closed or
// belongs to another incarnation.
func (c *Client) cachedConn(to ownership.Host) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.conns[to.ControlAddr]
	if cc == nil {
		return nil
	}
	if to.Incarnation != 0 && cc.incarnation != to.Incarnation || closed(cc) {
		_ = cc.rpc.Close()
		delete(c.conns, to.ControlAddr)
		return nil
	}
	cc.lastUse = time.Now()
	return cc
}

// closed reports whether the connection is closed.
func closed(cc *clientConn) bool {
	select {
	case <-cc.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// cacheConn caches the connection for later calls and closes idle ones.
func (c *Client) cacheConn(address string, cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if old := c.conns[address]; old != nil {
		_ = old.rpc.Close()
	}
	cc.lastUse = now
	c.conns[address] = cc
	for a, other := range c.conns {
		if now.Sub(other.lastUse) > ClientIdleTimeout {
			_ = other.rpc.Close()
			delete(c.conns, a)
		}
	}
}

// dropConn closes the connection and removes it from the cache.
func (c *Client) dropConn(address string, cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == cc {
		delete(c.conns, address)
	}
	_ = cc.rpc.Close()
}

// connect opens a connection and performs mutual authentication.
func (c *Client) connect(ctx context.Context, to ownership.Host) (*clientConn, error) {
	conn, err := c.opts.Dial(ctx, to.ControlAddr)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s: %w", to.Name, to.ControlAddr, err)
	}
	rejectAll := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "the client serves no methods"}
	})
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, codec{}), rejectAll, jsonrpc2.SetLogger(discardLogger{}))
	cc, err := c.authenticate(ctx, rpc)
	if err != nil {
		_ = rpc.Close()
		if errkind.Is(err, errkind.Unauthorized) {
			return nil, errkind.New(errkind.PeerRefused, "host %s at %s: %w", to.Name, to.ControlAddr, err)
		}
		// Only the handshake was sent, so the call had no effect.
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s: handshake: %w", to.Name, to.ControlAddr, err)
	}
	if to.Incarnation != 0 && cc.incarnation != to.Incarnation {
		_ = rpc.Close()
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s is incarnation %d, not %d", to.Name, to.ControlAddr, cc.incarnation, to.Incarnation)
	}
	return cc, nil
}

// authenticate verifies the server's proof and sends the client's.
func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce, err := newNonce()
	if err != nil {
		return nil, err
	}
	cc := &clientConn{rpc: rpc}
	var hello helloResponse
	err = callOn(ctx, cc, methodHello, helloRequest{Host: c.opts.Host, Incarnation: c.opts.Incarnation, Nonce: nonce}, &hello)
	if err != nil {
		return nil, err
	}
	if !c.opts.Secret.verify(hello.Proof, roleServer, nonce, hello.Nonce, []byte(hello.Host)) {
		return nil, errkind.New(errkind.Unauthorized, "%w", errBadProof)
	}
	proof := c.opts.Secret.mac(roleClient, nonce, hello.Nonce, []byte(c.opts.Host))
	if err := callOn(ctx, cc, methodProve, proveRequest{Proof: proof}, &empty{}); err != nil {
		return nil, err
	}
	cc.host = hello.Host
	cc.incarnation = hello.Incarnation
	return cc, nil
}

func (c *Client) callWithTimeout(ctx context.Context, cc *clientConn, timeout time.Duration, method string, params, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return callOn(ctx, cc, method, params, response)
}

// callOn sends a call over the connection and maps errors to kinds.
func callOn(ctx context.Context, cc *clientConn, method string, params, response any) error {
	err := cc.rpc.Call(ctx, method, params, response)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		if e, ok := decodeErrorData(rpcErr.Data); ok {
			return e
		}
		return errkind.New(errkind.PeerRefused, "%s: %s", method, rpcErr.Message)
	}
	return fmt.Errorf("%s: %w: %v", method, ErrNoResponse, err)
}
