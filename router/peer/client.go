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

// Times of the control client.
const (
	dialTimeout = 300 * time.Millisecond
	// silentAfter is how long a call waits on a connection that was used
	// before until it is sent again on a new one. An open connection can go
	// silent for good while new ones work.
	silentAfter    = 400 * time.Millisecond
	clientIdleTime = time.Minute
)

// ErrNoResponse means that a call was sent and no answer came: its effect is
// unknown.
var ErrNoResponse = errors.New("peer did not answer")

// ClientOptions configure a Client.
type ClientOptions struct {
	Secret      Secret
	Host        string
	Incarnation uint64
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Scope may be nil.
	Scope tally.Scope
}

// Client sends control calls to other routers. It keeps one connection per
// address.
type Client struct {
	o     ClientOptions
	mu    sync.Mutex
	links map[string]*link
}

// link is an authenticated connection.
type link struct {
	rpc         *jsonrpc2.Conn
	host        string
	incarnation uint64
	lastUse     time.Time
}

// NewClient returns a client.
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
	return &Client{o: o, links: map[string]*link{}}
}

// Call sends a call to the process and decodes its answer. A non-zero
// incarnation of the host must match that of the process that answers.
//
// The error is an errkind.Error sent by the peer, an errkind.PeerUnreachable
// when no connection could be made (the call had no effect), or wraps
// ErrNoResponse. A call may be sent twice, on an old and on a new connection.
func (c *Client) Call(ctx context.Context, to ownership.Host, method string, params, answer any) error {
	return c.count(c.call(ctx, to, method, params, answer))
}

// count counts calls that found no peer. Refusals by the peer's methods are
// answers and are not counted.
func (c *Client) count(err error) error {
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
	c.o.Scope.Tagged(map[string]string{"reason": reason}).Counter("calls_failed").Inc(1)
	return err
}

func (c *Client) call(ctx context.Context, to ownership.Host, method string, params, answer any) error {
	if l := c.existing(to); l != nil {
		err := c.callWithin(ctx, l, silentAfter, method, params, answer)
		if err == nil || !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
			return err
		}
		c.drop(to.ControlAddr, l)
	}
	l, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	c.keep(to.ControlAddr, l)
	err = callOn(ctx, l, method, params, answer)
	if errors.Is(err, ErrNoResponse) {
		c.drop(to.ControlAddr, l)
	}
	return err
}

// CallFresh sends a call over a connection of its own. It serves calls that
// may wait long for their answer and questions about a silent connection.
func (c *Client) CallFresh(ctx context.Context, to ownership.Host, method string, params, answer any) error {
	l, err := c.connect(ctx, to)
	if err != nil {
		return c.count(err)
	}
	defer func() { _ = l.rpc.Close() }()
	return c.count(callOn(ctx, l, method, params, answer))
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		_ = l.rpc.Close()
		delete(c.links, address)
	}
}

func (c *Client) existing(to ownership.Host) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to.ControlAddr]
	if l == nil {
		return nil
	}
	if to.Incarnation != 0 && l.incarnation != to.Incarnation || closed(l) {
		_ = l.rpc.Close()
		delete(c.links, to.ControlAddr)
		return nil
	}
	l.lastUse = time.Now()
	return l
}

func closed(l *link) bool {
	select {
	case <-l.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// keep stores the connection for later calls and closes idle ones.
func (c *Client) keep(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if old := c.links[address]; old != nil {
		_ = old.rpc.Close()
	}
	l.lastUse = now
	c.links[address] = l
	for a, other := range c.links {
		if now.Sub(other.lastUse) > clientIdleTime {
			_ = other.rpc.Close()
			delete(c.links, a)
		}
	}
}

func (c *Client) drop(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	_ = l.rpc.Close()
}

// connect opens a connection and authenticates both sides.
func (c *Client) connect(ctx context.Context, to ownership.Host) (*link, error) {
	conn, err := c.o.Dial(ctx, to.ControlAddr)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s: %w", to.Name, to.ControlAddr, err)
	}
	noRequests := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods on this side"}
	})
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, codec{}), noRequests, jsonrpc2.SetLogger(discard{}))
	l, err := c.authenticate(ctx, rpc)
	if err != nil {
		_ = rpc.Close()
		if errkind.Is(err, errkind.Unauthorized) {
			return nil, errkind.New(errkind.PeerRefused, "host %s at %s: %w", to.Name, to.ControlAddr, err)
		}
		// Nothing but the handshake was sent, so the call had no effect.
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s: handshake: %w", to.Name, to.ControlAddr, err)
	}
	if to.Incarnation != 0 && l.incarnation != to.Incarnation {
		_ = rpc.Close()
		return nil, errkind.New(errkind.PeerUnreachable, "host %s at %s is incarnation %d, not %d", to.Name, to.ControlAddr, l.incarnation, to.Incarnation)
	}
	return l, nil
}

func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce, err := newNonce()
	if err != nil {
		return nil, err
	}
	l := &link{rpc: rpc}
	var hello helloAnswer
	err = callOn(ctx, l, methodHello, helloRequest{Host: c.o.Host, Incarnation: c.o.Incarnation, Nonce: nonce}, &hello)
	if err != nil {
		return nil, err
	}
	if !c.o.Secret.verify(hello.Proof, roleServer, nonce, hello.Nonce, []byte(hello.Host)) {
		return nil, errkind.New(errkind.Unauthorized, "%w", errBadProof)
	}
	proof := c.o.Secret.mac(roleClient, nonce, hello.Nonce, []byte(c.o.Host))
	if err := callOn(ctx, l, methodProve, proveRequest{Proof: proof}, &empty{}); err != nil {
		return nil, err
	}
	l.host = hello.Host
	l.incarnation = hello.Incarnation
	return l, nil
}

func (c *Client) callWithin(ctx context.Context, l *link, limit time.Duration, method string, params, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return callOn(ctx, l, method, params, answer)
}

func callOn(ctx context.Context, l *link, method string, params, answer any) error {
	err := l.rpc.Call(ctx, method, params, answer)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		if e, ok := decodeFailure(rpcErr.Data); ok {
			return e
		}
		return errkind.New(errkind.PeerRefused, "%s: %s", method, rpcErr.Message)
	}
	return fmt.Errorf("%s: %w: %v", method, ErrNoResponse, err)
}
