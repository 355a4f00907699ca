package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"burdockglade.dev/router/connlimit"
)

// maxBufferedBodyBytes is the maximum size of a body that is buffered: such a
// request body is read before the request is handled, and such a response is sent
// in one write.
const maxBufferedBodyBytes = 64 << 10

// Handler handles a request. Its ctx ends if the client closes the connection. The
// server closes the body of the response.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts requests from other routers.
type Server struct {
	handler Handler
	// BeforeUnscheduledWrite is called with the number of bytes before they are written in
	// responses without Turns. It may be nil, and is set before Serve.
	BeforeUnscheduledWrite func(n int)

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]bool
	closing  bool
	active   sync.WaitGroup
}

// NewServer returns a server that calls handler for each request.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: map[*serverConn]bool{}}
}

// serverConn is a connection from another router.
type serverConn struct {
	net.Conn
	br *bufio.Reader
	// beforeUnscheduledWrite is Server.BeforeUnscheduledWrite.
	beforeUnscheduledWrite func(n int)
	// sendState is that of the last call of SampleSent, which alone uses it.
	sendState sendState
	busy      bool // guarded by Server.mu
	// reported is Request.Reported.
	reported uint64
	sent     fieldCache
	received fieldCache
	// writeMu orders the request for a body, which another goroutine may make, before the
	// response. responding is true once the response to the last request has begun.
	writeMu    sync.Mutex
	responding bool
	// deferralAnnounced is true once a refusal has announced DefersBody to the client.
	deferralAnnounced bool
}

// Serve accepts connections until Shutdown, Close, or the end of the listener. After other
// errors of Accept it goes on.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	var retry connlimit.AcceptRetry
	for {
		nc, err := l.Accept()
		if err != nil {
			switch {
			case s.isClosing():
				return nil
			case errors.Is(err, net.ErrClosed):
				return err
			}
			time.Sleep(retry.Next())
			continue
		}
		retry = connlimit.AcceptRetry{}
		c := &serverConn{Conn: nc, br: bufio.NewReader(nc), beforeUnscheduledWrite: s.BeforeUnscheduledWrite}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// serve handles the requests of one connection until it ends.
func (s *Server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for {
		if err := c.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
			return
		}
		r, err := c.readRequest()
		if errors.Is(err, errNoCapacity) {
			c.refuse()
		}
		if err != nil || !s.begin(c) {
			return
		}
		watchResult, err := s.handle(c, r)
		if r.Stream != nil && err == nil {
			c.linger()
		}
		c.meter().SetBusy(false)
		if !s.end(c) || err != nil || <-watchResult != nil {
			return
		}
	}
}

// begin marks the connection as busy. It reports false if the server is closing.
func (s *Server) begin(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	c.busy = true
	s.active.Add(1)
	return true
}

// end marks the connection as idle. It reports false if the server is closing.
func (s *Server) end(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	s.active.Done()
	return !s.closing
}

// readRequest reads a request with a short body, or the head of one with a longer
// body, which is then its Stream.
func (c *serverConn) readRequest() (*Request, error) {
	r := &Request{ChargeResponse: c.meter().ChargeResponse, Reported: &c.reported}
	if err := readHeadWithin(c.br, &r.RequestHead, c.reserveHead, c.reserveFields); err != nil {
		return nil, err
	}
	r.Fields = c.received.restore(&c.received.received, r.Fields, r.SameFields)
	if r.Length == 0 {
		return r, c.startRequest()
	}
	if r.Length < unknownLength {
		return nil, fmt.Errorf("invalid body length %d", r.Length)
	}
	if err := c.reserve(bufferedBytes(r.Length)); err != nil {
		return nil, err
	}
	if r.Flags&DefersBody != 0 {
		if r.Length < 0 || r.Length > maxBufferedBodyBytes {
			return nil, errDeferredLength
		}
		c.setResponding(false)
		r.deferred = &deferredBody{conn: c, length: r.Length}
		return r, c.startRequest()
	}
	body := bodyReader(c.br, r.Length)
	if r.Length == unknownLength || r.Length > maxBufferedBodyBytes {
		r.Stream = body
		if r.Flags&AsksForBody != 0 {
			c.setResponding(false)
			r.Stream = &askedStream{Reader: body, conn: c}
		}
		return r, c.startRequest()
	}
	r.Body = make([]byte, r.Length)
	if _, err := io.ReadFull(body, r.Body); err != nil {
		return nil, fmt.Errorf("reading the request body: %w", err)
	}
	return r, c.startRequest()
}

// askedStream is the stream of a request whose sender waits until it is asked for it, which
// Begin or the first Read does.
type askedStream struct {
	io.Reader
	conn  *serverConn
	asked bool
}

// Begin asks for the stream.
func (s *askedStream) Begin() error {
	if s.asked {
		return nil
	}
	s.asked = true
	return s.conn.askForBody()
}

// Read implements io.Reader.
func (s *askedStream) Read(p []byte) (int, error) {
	if err := s.Begin(); err != nil {
		return 0, err
	}
	return s.Reader.Read(p)
}

// askForBody asks the sender for the stream or the deferred body of the request. Once the
// response has begun it returns an error: the sender then sends nothing.
func (c *serverConn) askForBody() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.responding {
		return errResponded
	}
	_, err := c.Write([]byte{bodyWanted})
	return err
}

var errResponded = errors.New("the response has begun before the body was read")

// handle handles a request and writes the response. Meanwhile a goroutine watches
// the connection and cancels the handler's context if the connection ends.
// watchResult then yields the error, or nil once the next request arrives. A request
// with a stream is the last one on its connection, because its handler may not have
// read the stream to its end; its connection is not watched. That of a request with a
// deferred body is watched once the body has been read.
func (s *Server) handle(c *serverConn, r *Request) (watchResult chan error, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchResult = make(chan error, 1)
	watch := func() {
		go func() {
			_, err := c.br.Peek(1)
			if err != nil {
				cancel()
			}
			watchResult <- err
		}()
	}
	switch {
	case r.Stream != nil:
		watchResult <- io.EOF
	case r.deferred != nil:
		r.deferred.onRead = watch
	default:
		watch()
	}
	resp := emptyBody(s.handler(ctx, r))
	defer func() { _ = resp.Body.Close() }()
	if d := r.deferred; d != nil && (!d.asked || d.err != nil) {
		watchResult <- d.err
	}
	return watchResult, c.writeResponse(resp)
}

// emptyBody gives a response without a body an empty one.
func emptyBody(resp *Response) *Response {
	if resp.Body == nil {
		resp.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return resp
}

// writeResponse sends a response. A short one without Turns is sent in a single write.
func (c *serverConn) writeResponse(resp *Response) error {
	head := resp.ResponseHead
	c.announceDeferral(&head)
	head.Fields, head.SameFields = c.sent.elide(&c.sent.sent, head.Fields)
	message, err := appendHead(nil, head)
	if err != nil {
		return err
	}
	c.setResponding(true)
	if resp.Turns != nil {
		return c.writeInTurns(message, resp)
	}
	w := c.writer()
	if resp.Length >= 0 && resp.Length <= maxBufferedBodyBytes {
		b := bytes.NewBuffer(message)
		if err := writeBody(b, resp.Body, resp.Length); err != nil {
			return err
		}
		_, err := w.Write(b.Bytes())
		return err
	}
	if _, err := w.Write(message); err != nil {
		return err
	}
	return writeBody(w, resp.Body, resp.Length)
}

func (c *serverConn) setResponding(responding bool) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.responding = responding
}

// Shutdown closes the listener and idle connections, and waits until the requests in
// progress have completed or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		if !c.busy {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	return nil
}
