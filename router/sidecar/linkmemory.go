package sidecar

import (
	"bytes"
	"io"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
)

const (
	// linkMemoryDivisor is the divisor of the host's memory that gives the memory for large
	// responses and bodies.
	linkMemoryDivisor = 8
	// defaultLinkMemory is that memory if the memory of the host is not known.
	defaultLinkMemory = 16 << 20
	// maxHeldResponse is the size up to which a response to another router is read at once,
	// so that it does not hold a slot of the upstream while it waits for the link.
	maxHeldResponse = 1 << 20
)

// linkMemory returns the bound on the bytes that are held for large responses and bodies,
// for a host with the memory in bytes, or 0 if that is not known.
func linkMemory(hostBytes int64) int64 {
	if hostBytes == 0 {
		return defaultLinkMemory
	}
	return hostBytes / linkMemoryDivisor
}

// reserveMemory reserves the memory for a call whose response is expected to have the
// size, or returns an error. s.mu must be held.
func (s *linkScheduler) reserveMemory(now time.Time, c *Call, size int64) *errkind.Error {
	need := min(size, maxHeldResponse) + bodyCharge(c)
	if need == 0 || s.hold(c.transfer, need) {
		return nil
	}
	retryAfter := s.link.TimeOf(now, need)
	s.countRefusal("memory")
	s.log.Log(eventLinkMemory, event.F("request", c.RequestID), event.F("caller", c.Caller), event.F("bytes", need), event.F("held_bytes", s.memory.Held()))
	err := errkind.New(errkind.Overloaded, "%d bytes of large responses and bodies are held; there is no memory for %d more", s.memory.Held(), need)
	err.RetryAfter, err.Room = retryAfter, errkind.RoomForecast
	return err
}

// bodyCharge returns the bytes that are charged for the body of a call. Shorter bodies
// arrive with the head. Of a longer one, the part that can be on its way is charged, so
// that every body that the configuration allows can be sent.
func bodyCharge(c *Call) int64 {
	if c.Stream == nil {
		return 0
	}
	if c.Stream.length < 0 {
		return maxHeldResponse
	}
	return min(c.Stream.length, maxHeldResponse)
}

// hold changes the bytes that are held for a transfer. It returns false if there is no
// memory for more. s.mu must be held.
func (s *linkScheduler) hold(t *linkTransfer, n int64) bool {
	if n > t.held && !s.memory.Reserve(n-t.held) {
		return false
	}
	if n < t.held {
		s.memory.Add(n - t.held)
	}
	t.held = n
	return true
}

// holdResponse holds the memory of a response: all of it, or the beginning of one that is
// passed on while it arrives. It is there already, whatever the bound is. s.mu must be
// held.
func (s *linkScheduler) holdResponse(t *linkTransfer, r *Result) {
	held := r.Length
	if _, streamed := r.Body.(*streamedResponse); streamed {
		held = max(t.held, maxBufferedResponse)
	}
	s.memory.Add(held - t.held)
	t.held = held
}

// mayHold reports whether a response of the length, or of unknown length if that is
// negative, may be read completely before it is sent.
func (t *linkTransfer) mayHold(length int64) bool {
	if t == nil || length > maxHeldResponse {
		return false
	}
	if length < 0 {
		length = maxHeldResponse
	}
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return !t.ended && t.scheduler.hold(t, max(length, t.held))
}

// readResponse reads a response of the upstream, or its beginning if it is not to be held
// completely.
func (t *linkTransfer) readResponse(body io.Reader, length int64) (head []byte, complete bool, err error) {
	head, err = io.ReadAll(io.LimitReader(body, maxBufferedResponse))
	if err != nil || len(head) < maxBufferedResponse || !t.mayHold(length) {
		return head, len(head) < maxBufferedResponse, err
	}
	b := bytes.NewBuffer(head)
	if length > 0 {
		b.Grow(int(length) - len(head))
	}
	_, err = io.Copy(b, io.LimitReader(body, maxHeldResponse-int64(len(head))))
	return b.Bytes(), b.Len() < maxHeldResponse || int64(b.Len()) == length, err
}
