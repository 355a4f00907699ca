package hop

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// Guards against a crash caused by a malformed message: negative lengths, truncated
// heads, unterminated chunks.
func FuzzReadRequest(f *testing.F) {
	for _, length := range []int64{0, 3, unknownLength, -5, 1 << 40} {
		message, err := appendHead(nil, RequestHead{Method: "GET", Target: "/", RequestID: "r", Length: length})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(append(message, "abc"...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &serverConn{br: bufio.NewReader(bytes.NewReader(data))}
		r, err := c.readRequest()
		if err != nil {
			return
		}
		if r.Stream != nil {
			// Malformed chunks may end in an error.
			_, _ = io.Copy(io.Discard, r.Stream)
		}
		if r.Length > 0 && r.Stream == nil && int64(len(r.Body)) != r.Length {
			t.Errorf("a body of %d bytes for a length of %d", len(r.Body), r.Length)
		}
	})
}
