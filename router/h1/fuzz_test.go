package h1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"burdockglade.dev/router/connpool"
)

// FuzzCutResponse guards against a response that is taken for complete although it broke
// off at any byte of its head or body.
func FuzzCutResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest: a\r\nContent-Length: 10\r\n\r\n0123456789",
		"HTTP/1.1 200 OK\nRequest: a\nContent-Length: 10\n\n0123456789",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nabcde\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	} {
		f.Add([]byte(text), "GET", 20)
		f.Add([]byte(text), "HEAD", 50)
	}
	f.Fuzz(func(t *testing.T, message []byte, method string, end int) {
		length, framed := parseWhole(message, method)
		if length == 0 || !framed || end < 0 {
			return
		}
		for _, cut := range []int{end % length, length - 1} {
			if n, framed := parseWhole(message[:cut], method); n > 0 && framed {
				t.Errorf("%q of %q is taken for complete", message[:cut], message[:length])
			}
		}
	})
}

// parseWhole returns the length of the first response, or 0 if it is not complete, and
// whether its end is marked.
func parseWhole(message []byte, method string) (length int, framed bool) {
	src := bytes.NewReader(message)
	br := bufio.NewReaderSize(src, maxHeadBytes)
	hr, err := readHead(&connpool.Conn{Reader: br}, method)
	if err != nil || checkFraming(hr) != nil {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, hr.Body); err != nil {
		return 0, false
	}
	return len(message) - src.Len() - br.Buffered(), !unframed(hr) || method == http.MethodHead
}
