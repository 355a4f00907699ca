package hop

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// keptBodyBytes is the size up to which a body is read whole before the request
// is handled.
const keptBodyBytes = 64 << 10

// Handler answers requests. Its ctx ends when the other router gives up. A
// returned body is closed.
type Handler func(ctx context.Context, r *Request) *Response

// Server takes requests of other routers.
type Server struct {
	handler Handler

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]bool
	closing  bool
	active   sync.WaitGroup
}

// NewServer returns a server that answers with handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: map[*serverConn]bool{}}
}

// serverConn is one connection of another router.
type serverConn struct {
	net.Conn
	br       *bufio.Reader
	busy     bool // guarded by Server.mu
	sent     fieldMemory
	received fieldMemory
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closing {
				return nil
			}
			return err
		}
		c := &serverConn{Conn: nc, br: bufio.NewReader(nc)}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for {
		if err := c.SetReadDeadline(time.Now().Add(serverIdle)); err != nil {
			return
		}
		r, err := c.readRequest()
		if err != nil || !s.begin(c) {
			return
		}
		watched, err := s.answer(c, r)
		if !s.end(c) || err != nil || <-watched != nil {
			return
		}
	}
}

// begin marks the connection as busy, unless the server is closing.
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

func (s *Server) end(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	s.active.Done()
	return !s.closing
}

func (c *serverConn) readRequest() (*Request, error) {
	r := &Request{}
	if err := readHead(c.br, &r.RequestHead); err != nil {
		return nil, err
	}
	r.Fields = c.received.restore(&c.received.received, r.Fields, r.SameFields)
	if r.Length == 0 {
		return r, nil
	}
	if r.Length < unknownLength {
		return nil, fmt.Errorf("a body of %d bytes", r.Length)
	}
	body := bodyReader(c.br, r.Length)
	if r.Length == unknownLength || r.Length > keptBodyBytes {
		r.Stream = body
		return r, nil
	}
	r.Body = make([]byte, r.Length)
	if _, err := io.ReadFull(body, r.Body); err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	return r, nil
}

// answer handles a request and writes its answer. The connection is watched for
// its end meanwhile; watched yields nil when the next request begins. A request
// with a stream is the last one on its connection, because its handler may not
// have read it to its end.
func (s *Server) answer(c *serverConn, r *Request) (watched chan error, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched = make(chan error, 1)
	if r.Stream != nil {
		watched <- io.EOF
	} else {
		go func() {
			_, err := c.br.Peek(1)
			if err != nil {
				cancel()
			}
			watched <- err
		}()
	}
	resp := s.handler(ctx, r)
	if resp.Body == nil {
		resp.Body = io.NopCloser(bytes.NewReader(nil))
	}
	defer func() { _ = resp.Body.Close() }()
	return watched, c.writeResponse(resp)
}

// writeResponse sends a short answer in one write.
func (c *serverConn) writeResponse(resp *Response) error {
	head := resp.ResponseHead
	head.Fields, head.SameFields = c.sent.shorten(&c.sent.sent, resp.Fields)
	message, err := appendHead(nil, head)
	if err != nil {
		return err
	}
	if resp.Length >= 0 && resp.Length <= keptBodyBytes {
		b := bytes.NewBuffer(message)
		if err := writeBody(b, resp.Body, resp.Length); err != nil {
			return err
		}
		_, err := c.Write(b.Bytes())
		return err
	}
	if _, err := c.Write(message); err != nil {
		return err
	}
	return writeBody(c, resp.Body, resp.Length)
}

// Shutdown closes the listener and unused connections, and waits until the
// requests under way are answered or ctx ends.
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
