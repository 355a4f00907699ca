package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a set of directions of traffic through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = 1 << iota
	FromTarget

	BothDirections = ToTarget | FromTarget
)

// RelayOptions configures a relay between two loopback addresses.
type RelayOptions struct {
	// Listen is the address to listen at; default 127.0.0.1:0.
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
	// relayQueueChunks is the maximum number of delayed chunks per direction of
	// a connection.
	relayQueueChunks = 64
	// narrowBufferBytes is the receive buffer of connections through a narrow link.
	narrowBufferBytes = 64 << 10
	// relayDialTimeout limits dialing the target.
	relayDialTimeout = time.Second
)

// relayState holds the faults and counters of a relay, which its connections
// watch.
type relayState struct {
	mu          sync.Mutex
	partitioned Direction
	delay       time.Duration
	closed      bool
	stalled     int           // directions of connections whose data waits for a partition to heal
	dropped     int64         // number of chunks or datagrams dropped
	changed     chan struct{} // closed when one of the fields above changes
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

// Partition blocks the given directions and unblocks the others. Partition(0)
// heals the partition.
func (s *relayState) Partition(d Direction) {
	s.update(func() { s.partitioned = d })
}

// SetDelay delays the data that arrives from now on by d in each direction.
func (s *relayState) SetDelay(d time.Duration) {
	s.update(func() { s.delay = d })
}

// StalledDirections returns the number of directions of connections that hold
// back data because of a partition.
func (s *relayState) StalledDirections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

// Dropped returns the number of chunks that blackholed connections dropped, or
// of datagrams that a partition or loss dropped.
func (s *relayState) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Changed returns a channel that is closed at the next change of
// StalledDirections, Dropped or a fault.
func (s *relayState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *relayState) countDropped() {
	s.update(func() { s.dropped++ })
}

func (s *relayState) currentDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

func (s *relayState) isPartitioned(d Direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned&d != 0
}

// awaitHealed waits while the direction is partitioned. It returns false if the
// relay or the connection closes first.
func (s *relayState) awaitHealed(d Direction, connClosed <-chan struct{}) bool {
	if !s.isPartitioned(d) {
		return true
	}
	s.update(func() { s.stalled++ })
	defer s.update(func() { s.stalled-- })
	for {
		s.mu.Lock()
		partitioned, closed, changed := s.partitioned&d != 0, s.closed, s.changed
		s.mu.Unlock()
		if closed {
			return false
		}
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-connClosed:
			return false
		}
	}
}

// bandwidth limits the bytes that all connections of a relay carry in each direction.
type bandwidth struct {
	mu             sync.Mutex
	bytesPerSecond int
	free           map[Direction]time.Time // when the bytes accepted so far have been carried
}

// set changes the bandwidth; 0 is unlimited.
func (b *bandwidth) set(bytesPerSecond int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesPerSecond, b.free = bytesPerSecond, make(map[Direction]time.Time)
}

func (b *bandwidth) isLimited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesPerSecond > 0
}

// reserve returns the time at which n more bytes have been carried.
func (b *bandwidth) reserve(d Direction, n int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytesPerSecond == 0 {
		return time.Time{}
	}
	begin := time.Now()
	if b.free[d].After(begin) {
		begin = b.free[d]
	}
	b.free[d] = begin.Add(time.Duration(n) * time.Second / time.Duration(b.bytesPerSecond))
	return b.free[d]
}

// Relay forwards TCP connections from its address to a target. A partition
// holds data back and delivers it after healing, as TCP does.
type Relay struct {
	*relayState
	bandwidth  bandwidth
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	connsMu sync.Mutex
	conns   map[*relayedConn]struct{}
	closing bool
}

// StartRelay starts a relay, which listens and forwards until Close.
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
		conns:      make(map[*relayedConn]struct{}),
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Connections returns the number of open connections through the relay.
func (r *Relay) Connections() int {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	return len(r.conns)
}

// SetBandwidth limits the bytes a second of all connections together, in each direction;
// 0 removes the limit. The relay reads from a sender only what it can carry, so that the
// sender sees the narrow link.
func (r *Relay) SetBandwidth(bytesPerSecond int) {
	r.bandwidth.set(bytesPerSecond)
	if bytesPerSecond > 0 {
		r.forEachConn((*relayedConn).limitBuffers)
	}
}

// Blackhole makes the currently open connections permanently unresponsive: no
// data passes and neither end sees a close. New connections are not affected.
func (r *Relay) Blackhole() {
	r.forEachConn((*relayedConn).blackhole)
}

// Reset closes the currently open connections with a reset at both ends.
func (r *Relay) Reset() {
	r.forEachConn((*relayedConn).reset)
}

// Close resets every connection and stops listening.
func (r *Relay) Close() {
	r.connsMu.Lock()
	r.closing = true
	r.connsMu.Unlock()
	r.update(func() { r.closed = true })
	_ = r.listener.Close()
	r.Reset()
	r.goroutines.Wait()
}

func (r *Relay) forEachConn(act func(*relayedConn)) {
	r.connsMu.Lock()
	conns := make([]*relayedConn, 0, len(r.conns))
	for rc := range r.conns {
		conns = append(conns, rc)
	}
	r.connsMu.Unlock()
	for _, rc := range conns {
		act(rc)
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection until it ends.
func (r *Relay) serve(conn net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		resetConn(conn)
		return
	}
	rc := &relayedConn{
		state:      r.relayState,
		bandwidth:  &r.bandwidth,
		client:     conn,
		target:     target,
		closed:     make(chan struct{}),
		blackholed: make(chan struct{}),
	}
	if !r.register(rc) {
		rc.reset()
		return
	}
	if r.bandwidth.isLimited() {
		rc.limitBuffers()
	}
	rc.run()
	r.connsMu.Lock()
	delete(r.conns, rc)
	r.connsMu.Unlock()
}

// register adds a connection. It returns false if the relay is closing.
func (r *Relay) register(rc *relayedConn) bool {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	if r.closing {
		return false
	}
	r.conns[rc] = struct{}{}
	return true
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	state          *relayState
	bandwidth      *bandwidth
	client, target net.Conn

	closeOnce     sync.Once
	closed        chan struct{} // closed when both ends are closed
	blackholeOnce sync.Once
	blackholed    chan struct{} // closed by blackhole
}

// chunk is the data of one read. A chunk without data marks the end of the
// stream.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// reset closes both ends with a reset.
func (rc *relayedConn) reset() {
	rc.closeOnce.Do(func() {
		close(rc.closed)
		resetConn(rc.client)
		resetConn(rc.target)
	})
}

// limitBuffers limits what the kernel takes from the senders. Otherwise it would take several
// megabytes, so that a narrow link would hold back small messages for seconds.
func (rc *relayedConn) limitBuffers() {
	for _, conn := range []net.Conn{rc.client, rc.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(narrowBufferBytes) // fails only if the connection is closed
		}
	}
}

func (rc *relayedConn) blackhole() {
	rc.blackholeOnce.Do(func() { close(rc.blackholed) })
}

// run forwards both directions and returns when both have ended. A blackholed
// connection stays open until it is reset, because neither end may see a close.
func (rc *relayedConn) run() {
	var directions sync.WaitGroup
	directions.Go(func() { rc.forward(ToTarget, rc.client, rc.target) })
	directions.Go(func() { rc.forward(FromTarget, rc.target, rc.client) })
	directions.Wait()
	select {
	case <-rc.blackholed:
		<-rc.closed
	default:
	}
	rc.closeOnce.Do(func() {
		close(rc.closed)
		_ = rc.client.Close()
		_ = rc.target.Close()
	})
}

// forward forwards one direction.
func (rc *relayedConn) forward(d Direction, from, to net.Conn) {
	queue := make(chan chunk, relayQueueChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		rc.readChunks(d, from, queue)
	})
	err := rc.writeChunks(d, to, queue)
	if err != nil {
		rc.resetUnlessBlackholed()
	}
	for range queue {
		// Drain the queue so that the reader can end.
	}
	reader.Wait()
}

func (rc *relayedConn) resetUnlessBlackholed() {
	select {
	case <-rc.blackholed:
	default:
		rc.reset()
	}
}

// readChunks queues the data that arrives, and a chunk without data at the end
// of the stream. It reads on when the link has carried the data.
func (rc *relayedConn) readChunks(d Direction, from net.Conn, queue chan<- chunk) {
	for {
		buffer := make([]byte, relayChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 && !rc.waitUntil(rc.bandwidth.reserve(d, n)) {
			return
		}
		deliverAt := time.Now().Add(rc.state.currentDelay())
		if n > 0 {
			queue <- chunk{data: buffer[:n], deliverAt: deliverAt}
		}
		if errors.Is(err, io.EOF) {
			queue <- chunk{deliverAt: deliverAt}
			return
		}
		if err != nil {
			rc.resetUnlessBlackholed()
			return
		}
	}
}

// writeChunks writes chunks when their delay has passed and the direction is
// not partitioned. It drops them if the connection is blackholed.
func (rc *relayedConn) writeChunks(d Direction, to net.Conn, queue <-chan chunk) error {
	for c := range queue {
		if !rc.waitUntil(c.deliverAt) || !rc.state.awaitHealed(d, rc.closed) {
			return net.ErrClosed
		}
		select {
		case <-rc.blackholed:
			rc.state.countDropped()
			continue
		default:
		}
		if err := writeChunk(to, c); err != nil {
			return err
		}
	}
	return nil
}

// writeChunk writes one chunk, or closes the direction at the end of the
// stream.
func writeChunk(to net.Conn, c chunk) error {
	if len(c.data) > 0 {
		_, err := to.Write(c.data)
		return err
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// waitUntil waits until deliverAt. It returns false if the connection closes
// first.
func (rc *relayedConn) waitUntil(deliverAt time.Time) bool {
	remaining := time.Until(deliverAt)
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-rc.closed:
		return false
	}
}
