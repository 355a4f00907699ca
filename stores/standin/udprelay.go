package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	// maxUDPSessions limits the senders that a UDPRelay serves.
	maxUDPSessions = 1024
)

// UDPRelay forwards datagrams between senders and a target. A partition drops
// datagrams.
type UDPRelay struct {
	*relayState
	target     netip.AddrPort
	conn       *net.UDPConn
	goroutines sync.WaitGroup
	forwarded  atomic.Int64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closing  bool
	loss     float64
	rng      *rand.Rand
}

// StartUDPRelay starts a relay, which listens and forwards until Close.
func StartUDPRelay(o RelayOptions) (*UDPRelay, error) {
	if err := o.setDefaults(); err != nil {
		return nil, fmt.Errorf("UDP relay: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(o.Listen)))
	if err != nil {
		return nil, err
	}
	r := &UDPRelay{
		relayState: newRelayState(),
		target:     netip.MustParseAddrPort(o.Target),
		conn:       conn,
		sessions:   make(map[netip.AddrPort]*net.UDPConn),
		rng:        newRand(0, 0),
	}
	r.goroutines.Go(r.receive)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *UDPRelay) Address() string { return r.conn.LocalAddr().String() }

// SetLoss drops a share of the datagrams at random, 0 to 1. The seed determines
// which.
func (r *UDPRelay) SetLoss(share float64, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.rng = share, newRand(seed, 0)
}

// Forwarded returns the number of datagrams that were forwarded.
func (r *UDPRelay) Forwarded() int64 { return r.forwarded.Load() }

// Close stops forwarding.
func (r *UDPRelay) Close() {
	r.update(func() { r.closed = true })
	_ = r.conn.Close()
	r.mu.Lock()
	r.closing = true
	for _, s := range r.sessions {
		_ = s.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// receive forwards datagrams from senders to the target.
func (r *UDPRelay) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		session := r.session(sender)
		if session == nil {
			r.countDropped()
			continue
		}
		r.forward(ToTarget, buffer[:n], func(data []byte) { _, _ = session.Write(data) })
	}
}

// session returns the socket that represents a sender to the target, or nil if
// there are too many senders, the relay is closing or the socket cannot be
// opened.
func (r *UDPRelay) session(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sessions[sender]; ok {
		return s
	}
	if r.closing || len(r.sessions) >= maxUDPSessions {
		return nil
	}
	s, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.sessions[sender] = s
	r.goroutines.Go(func() { r.forwardResponses(sender, s) })
	return s
}

// forwardResponses forwards datagrams from the target to a sender.
func (r *UDPRelay) forwardResponses(sender netip.AddrPort, session *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := session.Read(buffer)
		if err != nil {
			if r.isClosing() {
				return
			}
			continue // the target refused a datagram (ECONNREFUSED)
		}
		r.forward(FromTarget, buffer[:n], func(data []byte) { _, _ = r.conn.WriteToUDPAddrPort(data, sender) })
	}
}

func (r *UDPRelay) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// forward sends a datagram, immediately or after the delay, or drops it.
func (r *UDPRelay) forward(d Direction, data []byte, send func([]byte)) {
	if r.isPartitioned(d) || r.drawLoss() {
		r.countDropped()
		return
	}
	r.forwarded.Add(1)
	delay := r.currentDelay()
	if delay <= 0 {
		send(data)
		return
	}
	dataCopy := append([]byte{}, data...)
	time.AfterFunc(delay, func() { send(dataCopy) })
}

// drawLoss decides whether the next datagram is lost.
func (r *UDPRelay) drawLoss() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loss > 0 && r.rng.Float64() < r.loss
}
