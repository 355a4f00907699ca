package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/linkshare"
	"burdockglade.dev/router/metrics"
)

// Guards against memory for slow readers that grows without bound, that is not released, or
// that a single body larger than the bound can never get.
func TestMemoryForLargeResponsesIsBounded(t *testing.T) {
	s := newLinkScheduler(1000, linkMemory(24), event.NewLogger(io.Discard, 0), metrics.New())
	now := time.Now()
	newCall := func() *Call {
		c := &Call{Method: http.MethodGet, Deadline: now.Add(time.Minute), Stream: &bodyStream{length: 1 << 30}}
		c.transfer = &linkTransfer{scheduler: s, ctx: t.Context(), deadline: c.Deadline, class: linkshare.Class{Large: true}}
		return c
	}
	var calls []*Call
	for {
		c := newCall()
		s.mu.Lock()
		err := s.reserveMemory(now, c, 512<<10)
		s.mu.Unlock()
		if err != nil {
			if err.Kind != errkind.Overloaded || err.RetryAfter <= 0 {
				t.Errorf("%v, retry after %v", err, err.RetryAfter)
			}
			break
		}
		calls = append(calls, c)
	}
	if held := s.memory.Held(); len(calls) != 1 || held > 3_000_000 {
		t.Errorf("%d calls hold %d bytes; want 1 within an eighth of 24 MB", len(calls), held)
	}
	s.memory.Add(3_000_000)
	long := strings.NewReader(strings.Repeat("x", 300_000))
	if head, complete, err := newCall().transfer.readResponse(long, 300_000); complete || err != nil || len(head) != maxBufferedResponse {
		t.Errorf("without memory: read %d bytes ahead, complete %v, %v", len(head), complete, err)
	}
	s.memory.Add(-3_000_000)
	for _, c := range calls {
		c.transfer.end()
		c.transfer.end()
	}
	if held := s.memory.Held(); held != 0 {
		t.Errorf("%d bytes are held after the calls", held)
	}
}

// Guards against a response that is cut or joined wrongly between the part that is read
// ahead and the part that is passed on.
func TestReadAheadOfLargeResponses(t *testing.T) {
	s := newLinkScheduler(1000, defaultLinkMemory, event.NewLogger(io.Discard, 0), metrics.New())
	for _, size := range []int{0, 100, maxBufferedResponse, 300_000, maxPacedBuffer, 3 << 20} {
		for _, length := range []int64{int64(size), -1} {
			for _, transfer := range []*linkTransfer{nil, {scheduler: s, ctx: t.Context()}} {
				body := strings.NewReader(strings.Repeat("0123456789", size/10+1)[:size])
				head, complete, err := transfer.readResponse(body, length)
				if err != nil || len(head)+body.Len() != size || (complete && body.Len() > 0) {
					t.Errorf("%d bytes of %d, complete %v, %v", len(head), size, complete, err)
				}
				if ahead := transfer != nil && size < maxPacedBuffer; ahead && !complete {
					t.Errorf("only %d of %d bytes were read ahead", len(head), size)
				}
				if transfer != nil {
					transfer.end()
				}
			}
		}
	}
	if s.memory.Held() != 0 {
		t.Errorf("%d bytes are held", s.memory.Held())
	}
}
