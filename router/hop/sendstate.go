package hop

import (
	"maps"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendState is the state of sending on a connection, as the kernel reports it.
type sendState struct {
	acked uint64 // bytes that were acknowledged
	// busy is the time in which there was something to send, receiverLimited the part of it
	// in which the receiver did not take more. Both are in microseconds.
	busy, receiverLimited uint64
}

// SampleSent returns how many bytes receivers have acknowledged since the last call, and
// how many are written and not acknowledged. Connections whose receivers limited them for
// more than half of the time since then are left out. Calls must not overlap.
func (s *Server) SampleSent() (acked, queued int64) {
	for _, c := range s.openConns() {
		before := c.sendState
		now, waiting, ok := readSendState(c.Conn)
		if !ok {
			continue
		}
		c.sendState = now
		if (now.receiverLimited-before.receiverLimited)*2 > now.busy-before.busy {
			continue
		}
		acked += int64(now.acked - before.acked)
		queued += waiting
	}
	return acked, queued
}

// openConns returns the connections, so that reading their state does not hold up requests.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// readSendState reads the state of a TCP connection, and the number of bytes that are
// written to it and not acknowledged.
func readSendState(conn any) (state sendState, queued int64, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return state, 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return state, 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// TCP_INFO counts unacknowledged segments, which may be much shorter than the
		// longest ones.
		waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil {
			return
		}
		state = sendState{acked: info.Bytes_acked, busy: info.Busy_time, receiverLimited: info.Rwnd_limited}
		queued, ok = int64(waiting), true
	})
	return state, queued, ok && err == nil
}
