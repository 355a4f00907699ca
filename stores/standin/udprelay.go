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
	// maxUDPSessions bounds the senders that a UDPRelay answers to.
	maxUDPSessions = 1024
)

// UDPRelay forwards datagrams between senders and a target. A cut drops
// datagrams.
type UDPRelay struct {
	*relayState
	target  netip.AddrPort
	conn    *net.UDPConn
	running sync.WaitGroup
	passed  atomic.Int64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	stopped  bool
	loss     float64
	draws    *rand.Rand
}

// StartUDPRelay listens and forwards until Close.
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
		draws:      newRand(0, 0),
	}
	r.running.Go(r.receive)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *UDPRelay) Address() string { return r.conn.LocalAddr().String() }

// SetLoss drops a share of the datagrams, 0 to 1, by draws from the seed.
func (r *UDPRelay) SetLoss(share float64, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.draws = share, newRand(seed, 0)
}

// Passed returns the number of datagrams that were forwarded.
func (r *UDPRelay) Passed() int64 { return r.passed.Load() }

// Close stops forwarding.
func (r *UDPRelay) Close() {
	r.update(func() { r.closed = true })
	_ = r.conn.Close()
	r.mu.Lock()
	r.stopped = true
	for _, s := range r.sessions {
		_ = s.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
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
			r.drop()
			continue
		}
		r.forward(ToTarget, buffer[:n], func(data []byte) { _, _ = session.Write(data) })
	}
}

// session returns the socket that stands for a sender at the target, or nil
// when there are too many.
func (r *UDPRelay) session(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sessions[sender]; ok {
		return s
	}
	if r.stopped || len(r.sessions) >= maxUDPSessions {
		return nil
	}
	s, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.sessions[sender] = s
	r.running.Go(func() { r.answer(sender, s) })
	return s
}

// answer forwards datagrams from the target to a sender.
func (r *UDPRelay) answer(sender netip.AddrPort, session *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := session.Read(buffer)
		if err != nil {
			if r.isStopped() {
				return
			}
			continue // the target refused a datagram
		}
		r.forward(FromTarget, buffer[:n], func(data []byte) { _, _ = r.conn.WriteToUDPAddrPort(data, sender) })
	}
}

func (r *UDPRelay) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// forward sends a datagram at once or after the delay, or drops it.
func (r *UDPRelay) forward(d Direction, data []byte, send func([]byte)) {
	if r.isCut(d) || r.lost() {
		r.drop()
		return
	}
	r.passed.Add(1)
	delay := r.currentDelay()
	if delay <= 0 {
		send(data)
		return
	}
	held := append([]byte{}, data...)
	time.AfterFunc(delay, func() { send(held) })
}

func (r *UDPRelay) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loss > 0 && r.draws.Float64() < r.loss
}
