package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/connpool"
)

// countedTurns records the turns that a response takes, and fails at one of them.
type countedTurns struct {
	turns []int
	fails int
}

func (c *countedTurns) Await(n int) error {
	if c.turns = append(c.turns, n); len(c.turns) == c.fails {
		return context.Canceled
	}
	return nil
}

func (c *countedTurns) Deadline() time.Time { return time.Now().Add(time.Minute) }

// Guards against a response that changes when it is sent in turns, against turns that are
// longer than a chunk, and against a response that goes on after its call has ended.
func TestResponseInTurns(t *testing.T) {
	for _, size := range []int{20_000, maxBufferedBodyBytes, 200_000} {
		body := strings.Repeat("0123456789", size/10)
		for _, length := range []int64{int64(len(body)), unknownLength} {
			for fails, counted := range []*countedTurns{{}, {fails: 1}, {fails: 2}} {
				client, server := net.Pipe()
				written := make(chan error, 1)
				go func() {
					c := &serverConn{Conn: server, beforeUnscheduledWrite: func(int) { t.Error("bytes were sent at once") }}
					resp := &Response{ResponseHead: ResponseHead{Length: length}, Body: io.NopCloser(strings.NewReader(body)), Turns: counted}
					written <- c.writeResponse(resp)
					_ = server.Close()
				}()
				var head ResponseHead
				br, got := bufio.NewReader(client), []byte(nil)
				err := readHead(br, &head)
				if err == nil {
					got, err = io.ReadAll(bodyReader(br, head.Length))
				}
				if (fails == 0) != (err == nil && string(got) == body) || slices.Max(counted.turns) > turnBytes {
					t.Errorf("%d bytes, failing turn %d: got %d bytes in turns %v, %v", size, fails, len(got), counted.turns, err)
				}
				if err := <-written; fails > 0 && !errors.Is(err, context.Canceled) {
					t.Errorf("%d bytes: %v after the call has ended", size, err)
				}
			}
		}
	}
}

// Guards against a slow reader that is taken for a narrow link, and against bytes that are
// not counted as carried.
func TestSampleSentLeavesSlowReadersOut(t *testing.T) {
	for _, reads := range []bool{true, false} {
		size := int64(32 << 20)
		if reads {
			size = 32 << 10 // fits into the first receive window, however slow the reader is
		}
		s := NewServer(func(context.Context, *Request) *Response {
			return &Response{ResponseHead: ResponseHead{Status: 200, Length: size}, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
		})
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		resp, err := NewClient(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second}).Do(ctx, &Request{})
		if err == nil && reads {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			t.Fatal(err)
		}
		var acked, queued, unread int64
		tick := time.NewTicker(10 * time.Millisecond)
		for done := false; !done && ctx.Err() == nil; <-tick.C {
			s.mu.Lock()
			for c := range s.conns {
				_, unread, _ = readSendState(c.Conn)
			}
			s.mu.Unlock()
			more, left := s.SampleSent()
			acked, queued = acked+more, left
			done = queued == 0 && ((reads && acked >= size) || (!reads && unread > 64<<10))
		}
		if ctx.Err() != nil {
			t.Errorf("reads %v: %d bytes acknowledged, %d queued, %d unread", reads, acked, queued, unread)
		}
		cancel()
		_ = s.Close()
	}
}
