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

// countedTransfer records the turns that a response takes, and fails after some.
type countedTransfer struct {
	turns []int
	fails int
}

func (c *countedTransfer) Await(n int) error {
	c.turns = append(c.turns, n)
	if len(c.turns) == c.fails {
		return context.Canceled
	}
	return nil
}

func (c *countedTransfer) Deadline() time.Time { return time.Now().Add(time.Minute) }

// writeTo returns what is written for a response of the length, and the error.
func writeTo(t *testing.T, length int64, body string, transfer Transfer) (message []byte, atOnce int, err error) {
	t.Helper()
	client, server := net.Pipe()
	done := make(chan error)
	go func() {
		c := &serverConn{Conn: server, sentAtOnce: func(n int) { atOnce += n }}
		err := c.writeResponse(&Response{
			ResponseHead: ResponseHead{Status: 200, Length: length}, Body: io.NopCloser(strings.NewReader(body)), Transfer: transfer,
		})
		_ = server.Close()
		done <- err
	}()
	message, readErr := io.ReadAll(client)
	if readErr != nil {
		t.Fatal(readErr)
	}
	return message, atOnce, <-done
}

// Guards against a response that changes when it is sent in turns, against turns that are
// longer than a chunk, and against a response that goes on after its call has ended.
func TestResponseInTurns(t *testing.T) {
	for _, size := range []int{20_000, maxBufferedBodyBytes, 200_000} {
		body := strings.Repeat("0123456789", size/10)
		for _, length := range []int64{int64(len(body)), unknownLength} {
			plain, atOnce, err := writeTo(t, length, body, nil)
			if err != nil || atOnce != len(plain) {
				t.Fatalf("%d bytes: %v, %d of %d bytes charged", size, err, atOnce, len(plain))
			}
			turns := &countedTransfer{}
			paced, atOnce, err := writeTo(t, length, body, turns)
			if err != nil || atOnce != 0 || slices.Max(turns.turns) > turnBytes {
				t.Errorf("%d bytes: %v, turns %v, %d bytes at once", size, err, turns.turns, atOnce)
			}
			var head ResponseHead
			br := bufio.NewReader(bytes.NewReader(paced))
			if err := readHead(br, &head); err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(bodyReader(br, head.Length)); err != nil || string(got) != body {
				t.Errorf("%d bytes: got %d, %v", size, len(got), err)
			}
			if _, _, err := writeTo(t, length, body, &countedTransfer{fails: 2}); !errors.Is(err, context.Canceled) {
				t.Errorf("%d bytes: %v after the call has ended", size, err)
			}
		}
	}
}

// Guards against a slow reader that is taken for a narrow link, and against bytes that are
// not counted as carried.
func TestSendStateLeavesSlowReadersOut(t *testing.T) {
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
		client := NewClient(connpool.Options{Address: l.Addr().String(), DialTimeout: time.Second, IdleTimeout: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		resp, err := client.Do(ctx, &Request{RequestHead: RequestHead{Method: "GET"}})
		if err != nil {
			t.Fatal(err)
		}
		var acked, queued int64
		if reads {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
		}
		tick := time.NewTicker(10 * time.Millisecond)
		for done := false; !done; <-tick.C {
			var more, unread int64
			s.mu.Lock()
			for c := range s.conns {
				_, unread, _ = readSendState(c.Conn)
			}
			s.mu.Unlock()
			more, queued = s.SendState()
			acked += more
			done = (reads && acked >= size && queued == 0) || (!reads && unread > 64<<10 && queued == 0) || ctx.Err() != nil
		}
		if ctx.Err() != nil {
			t.Errorf("reads %v: %d bytes acknowledged, %d queued", reads, acked, queued)
		}
		cancel()
		tick.Stop()
		_ = resp.Body.Close()
		_ = s.Close()
	}
}
