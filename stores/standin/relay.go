package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a set of directions through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = 1 << iota
	FromTarget

	BothDirections = ToTarget | FromTarget
)

// RelayOptions configure a relay between two loopback addresses.
type RelayOptions struct {
	// Listen is the address to listen at; empty is 127.0.0.1:0.
	Listen string
	// Target is the address to connect to.
	Target string
}

func (o *RelayOptions) setDefaults() error {
	setDefault(&o.Listen, "127.0.0.1:0")
	if err := CheckLoopback(o.Listen); err != nil {
		return err
	}
	return CheckLoopback(o.Target)
}

const (
	relayChunkBytes = 32 << 10
	// relayQueue bounds the chunks that a delay holds in one direction.
	relayQueue = 64
	// relayDialTimeout bounds connecting to the target.
	relayDialTimeout = time.Second
)

// relayState is the part of a relay's faults that links watch.
type relayState struct {
	mu      sync.Mutex
	cut     Direction
	delay   time.Duration
	closed  bool
	held    int           // chunks that wait for a cut to heal
	dropped int64         // chunks or datagrams that were dropped
	changed chan struct{} // closed when one of these changes
}

func newRelayState() *relayState {
	return &relayState{changed: make(chan struct{})}
}

func (s *relayState) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Partition stops the given directions and lets the others pass. Partition(0) heals.
func (s *relayState) Partition(d Direction) {
	s.update(func() { s.cut = d })
}

// SetDelay holds what arrives from now on for the time, in each direction.
func (s *relayState) SetDelay(d time.Duration) {
	s.update(func() { s.delay = d })
}

// StalledDirections returns the number of directions of connections that hold bytes back
// because of a cut.
func (s *relayState) StalledDirections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Dropped returns the number of pieces of a stream that silent connections
// dropped, or of datagrams that a cut or a loss dropped.
func (s *relayState) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Changed returns a channel that is closed when StalledDirections, Dropped or a fault
// changes next.
func (s *relayState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *relayState) drop() {
	s.update(func() { s.dropped++ })
}

func (s *relayState) currentDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

func (s *relayState) isCut(d Direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut&d != 0
}

// awaitOpen waits while the direction is cut. It returns false when the relay
// or the link ends first.
func (s *relayState) awaitOpen(d Direction, ended <-chan struct{}) bool {
	if !s.isCut(d) {
		return true
	}
	s.update(func() { s.held++ })
	defer s.update(func() { s.held-- })
	for {
		s.mu.Lock()
		cut, closed, changed := s.cut&d != 0, s.closed, s.changed
		s.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// Relay forwards TCP connections from its address to a target. A cut holds
// bytes back and delivers them after it heals, as TCP does across a partition.
type Relay struct {
	*relayState
	target   string
	listener net.Listener
	running  sync.WaitGroup

	linksMu sync.Mutex
	links   map[*link]struct{}
	stopped bool
}

// StartRelay listens and forwards until Close.
func StartRelay(o RelayOptions) (*Relay, error) {
	if err := o.setDefaults(); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	listener, err := listenLoopback(o.Listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		relayState: newRelayState(),
		target:     o.Target,
		listener:   listener,
		links:      make(map[*link]struct{}),
	}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Connections returns the number of open connections through the relay.
func (r *Relay) Connections() int {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	return len(r.links)
}

// Blackhole makes the connections that are open now silent for good: nothing
// passes and neither end sees a close. New connections work.
func (r *Relay) Blackhole() {
	r.eachLink((*link).silence)
}

// Reset closes the connections that are open now with a reset at both ends.
func (r *Relay) Reset() {
	r.eachLink((*link).reset)
}

// Close resets every connection and stops listening.
func (r *Relay) Close() {
	r.linksMu.Lock()
	r.stopped = true
	r.linksMu.Unlock()
	r.update(func() { r.closed = true })
	_ = r.listener.Close()
	r.Reset()
	r.running.Wait()
}

func (r *Relay) eachLink(act func(*link)) {
	r.linksMu.Lock()
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	r.linksMu.Unlock()
	for _, l := range links {
		act(l)
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection until it ends.
func (r *Relay) serve(conn net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		resetConn(conn)
		return
	}
	l := &link{
		state:    r.relayState,
		client:   conn,
		target:   target,
		ended:    make(chan struct{}),
		silenced: make(chan struct{}),
	}
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.linksMu.Lock()
	delete(r.links, l)
	r.linksMu.Unlock()
}

// add returns false when the relay is closing.
func (r *Relay) add(l *link) bool {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	if r.stopped {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

// link is one connection through a relay.
type link struct {
	state          *relayState
	client, target net.Conn

	once        sync.Once
	ended       chan struct{} // closed by reset
	silenceOnce sync.Once
	silenced    chan struct{} // closed by silence
}

// chunk is what one read returned. The last chunk of a direction has no data.
type chunk struct {
	data []byte
	due  time.Time
}

// reset closes both ends with a reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.ended)
		resetConn(l.client)
		resetConn(l.target)
	})
}

func (l *link) silence() {
	l.silenceOnce.Do(func() { close(l.silenced) })
}

// run returns when both directions have ended. A silent link stays until it is
// reset, as neither end may see a close.
func (l *link) run() {
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(ToTarget, l.client, l.target) })
	directions.Go(func() { l.forward(FromTarget, l.target, l.client) })
	directions.Wait()
	select {
	case <-l.silenced:
		<-l.ended
	default:
	}
	l.once.Do(func() {
		close(l.ended)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

// forward passes one direction on.
func (l *link) forward(d Direction, from, to net.Conn) {
	queue := make(chan chunk, relayQueue)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		l.read(from, queue)
	})
	err := l.write(d, to, queue)
	if err != nil {
		l.abort()
	}
	for range queue {
		// Takes what the reader still holds, so that it can end.
	}
	reader.Wait()
}

// abort resets the link, unless it is silent.
func (l *link) abort() {
	select {
	case <-l.silenced:
	default:
		l.reset()
	}
}

// read queues what arrives, and at the orderly end an empty chunk.
func (l *link) read(from net.Conn, queue chan<- chunk) {
	for {
		buffer := make([]byte, relayChunkBytes)
		n, err := from.Read(buffer)
		due := time.Now().Add(l.state.currentDelay())
		if n > 0 {
			queue <- chunk{data: buffer[:n], due: due}
		}
		if errors.Is(err, io.EOF) {
			queue <- chunk{due: due}
			return
		}
		if err != nil {
			l.abort()
			return
		}
	}
}

// write passes chunks on when they are due and the direction is open. It drops
// them when the link is silent.
func (l *link) write(d Direction, to net.Conn, queue <-chan chunk) error {
	for c := range queue {
		if !l.awaitDue(c.due) || !l.state.awaitOpen(d, l.ended) {
			return net.ErrClosed
		}
		select {
		case <-l.silenced:
			l.state.drop()
			continue
		default:
		}
		if err := passChunk(to, c); err != nil {
			return err
		}
	}
	return nil
}

// passChunk writes one chunk, or ends the direction in an orderly way.
func passChunk(to net.Conn, c chunk) error {
	if len(c.data) > 0 {
		_, err := to.Write(c.data)
		return err
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// awaitDue returns false when the link ends first.
func (l *link) awaitDue(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ended:
		return false
	}
}
