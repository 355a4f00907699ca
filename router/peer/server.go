package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
)

var (
	evRefused = event.Define(1500, log.WarnLevel, "control connection rejected",
		"a process on the control port did not prove that it knows the shared secret, or called a method before authentication",
		"check the secret file of the host named in the line; otherwise identify the process that connects")
	evAcceptFailed = event.Define(1501, log.ErrorLevel, "accepting control connections failed",
		"the listener returned an error, for example because the process has too many open files",
		"raise the limit of open files or restart the router")
	evBadDatagram = event.Define(1502, log.WarnLevel, "datagram rejected",
		"a datagram on the control port was malformed or not signed with the shared secret",
		"check the secret file of the host at the address in the line; otherwise identify the sender")
)

// Limits of the control server.
const (
	handshakeTimeout = 2 * time.Second
	// maxConnections is the maximum number of open control connections. A router
	// communicates with its standbys, its holders and a few random peers at a
	// time.
	maxConnections = 2048
	// ServerIdleTimeout closes a connection without messages. It is longer than
	// ClientIdleTimeout, so that clients close first.
	ServerIdleTimeout = 5 * time.Minute
	acceptRetryDelay  = 50 * time.Millisecond
)

// Caller identifies the authenticated process at the other end of a connection.
type Caller struct {
	Host        string
	Incarnation uint64
}

// Method implements one control method. Its result is encoded as JSON. A call may
// arrive twice, so methods must be idempotent.
type Method func(ctx context.Context, from Caller, params json.RawMessage) (any, error)

// Handle adapts a typed function to a Method. Parameters that cannot be decoded are
// rejected with BadRequest.
func Handle[P, A any](f func(ctx context.Context, from Caller, params P) (A, error)) Method {
	return func(ctx context.Context, from Caller, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errkind.New(errkind.BadRequest, "parameters: %w", err)
		}
		return f(ctx, from, params)
	}
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Secret      Secret
	Host        string
	Incarnation uint64
	Methods     map[string]Method
	Log         *event.Logger
}

// Server serves control calls.
type Server struct {
	opts  ServerOptions
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that serves the methods in the options.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections until the context ends, and then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.opts.Log.Log(evAcceptFailed, event.F("error", err.Error()))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

// track registers the connection. It returns false if there are too many.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// untrack removes and closes the connection.
func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// session is the server's side of one connection.
type session struct {
	server *Server

	mu     sync.Mutex
	caller Caller
	nonces [2][]byte // of the client, of the server
	proven bool
}

// serveConn serves the calls on one connection until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.untrack(conn)
	sess := &session{server: s}
	// The deadline closes connections that do not authenticate in time, and
	// later idle ones.
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	limits := newMessageLimits(conn, sess.authenticated)
	handler := limitedHandler{limits: limits, Handler: jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		response, err := sess.handle(ctx, req)
		if err == nil && sess.authenticated() {
			_ = conn.SetReadDeadline(time.Now().Add(ServerIdleTimeout))
		}
		if errors.Is(err, errBadProof) {
			s.opts.Log.Log(evRefused, event.F("address", conn.RemoteAddr().String()), event.F("error", err.Error()))
		}
		return response, toRPCError(err)
	})}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec{limits: limits}), handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

func (s *session) authenticated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proven
}

// handle processes one call. Methods other than the handshake require
// authentication.
func (s *session) handle(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	switch req.Method {
	case methodHello:
		return s.hello(raw)
	case methodProve:
		return s.prove(raw)
	}
	s.mu.Lock()
	caller, proven := s.caller, s.proven
	s.mu.Unlock()
	if !proven {
		return nil, errkind.New(errkind.Unauthorized, "method %q before authentication: %w", req.Method, errBadProof)
	}
	method, ok := s.server.opts.Methods[req.Method]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "unknown control method %q", req.Method)
	}
	return method(ctx, caller, raw)
}

// hello stores the client's claimed identity and returns the server's proof.
func (s *session) hello(raw json.RawMessage) (any, error) {
	var p helloRequest
	if err := json.Unmarshal(raw, &p); err != nil || p.Host == "" || len(p.Nonce) != nonceBytes {
		return nil, errkind.New(errkind.BadRequest, "malformed hello request")
	}
	nonce, err := newNonce()
	if err != nil {
		return nil, errkind.New(errkind.Internal, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caller = Caller{Host: p.Host, Incarnation: p.Incarnation}
	s.nonces = [2][]byte{p.Nonce, nonce}
	s.proven = false
	o := s.server.opts
	return helloResponse{
		Host:        o.Host,
		Incarnation: o.Incarnation,
		Nonce:       nonce,
		Proof:       o.Secret.mac(roleServer, p.Nonce, nonce, []byte(o.Host)),
	}, nil
}

// prove verifies the client's proof.
func (s *session) prove(raw json.RawMessage) (any, error) {
	var p proveRequest
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errkind.New(errkind.BadRequest, "malformed proof")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nonces[0] == nil || !s.server.opts.Secret.verify(p.Proof, roleClient, s.nonces[0], s.nonces[1], []byte(s.caller.Host)) {
		return nil, errkind.New(errkind.Unauthorized, "host %q: %w", s.caller.Host, errBadProof)
	}
	s.proven = true
	return empty{}, nil
}

// toRPCError converts an error to a JSON-RPC error that has its kind.
func toRPCError(err error) error {
	if err == nil {
		return nil
	}
	return &jsonrpc2.Error{Code: codeKindedError, Message: fmt.Sprint(err), Data: encodeErrorData(err)}
}

// discardLogger discards the log output of the library. Errors are logged as
// events.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
