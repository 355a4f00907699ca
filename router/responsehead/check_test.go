package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

const success = "HTTP/1.1 200 OK\r\n"

// check checks a head that arrives in pieces of the given size.
func check(text string, piece int) (size int, interim bool, err error) {
	var c Checker
	for end := 0; size == 0 && err == nil && end < len(text); {
		end = min(end+piece, len(text))
		size, err = c.Check([]byte(text[:end]))
	}
	return size, c.Interim(), err
}

// Guards against heads that HTTP/1.1 does not allow, however they arrive.
func TestBrokenHeads(t *testing.T) {
	for _, text := range []string{
		"", "garbage", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK",
		success + "A B: c", success + "A : b", success + " A: b", success + "\tA: b", success + "A\t: b", success + "A\x00B: c", success + "A\x7f: b", success + "A\r: b",
		success + ": b", success + "A", success + "A(b): c", success + "\xc3\x84: b", success + "A: \x00", success + "A: b\rc", success + "A: b\x7f", success + "A: b\r\n c: d",
		success + "Content-Length: 5\r\ntransfer-encoding: chunked", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
		"HTTP/1.1 204 No Content\r\ncontent-length: 5", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked",
		"HTTP/1.1 100 Continue\r\nContent-Length: 5", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked",
	} {
		for _, piece := range []int{1, 7, 1 << 10} {
			if size, _, err := check(text+"\r\n\r\n", piece); !errors.Is(err, ErrBroken) {
				t.Errorf("%q in pieces of %d: got a head of %d bytes, %v", text, piece, size, err)
			}
		}
	}
}

// Guards against heads that are refused although HTTP/1.1 allows them, and against a head
// whose end is not found.
func TestAllowedHeads(t *testing.T) {
	for _, text := range []string{
		success, "HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.0 599 \xff\t!\r\n", "HTTP/1.1 200 OK\n",
		success + "!#$%&'*+-.^_`|~09azAZ: \t\x21\x7e\x80\xff \r\n", success + "A:\r\n", success + "A:b:c\r\nA: d\n",
		success + "Content-Length: 5\r\nContent-Length: 5\r\n", success + "Transfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n",
	} {
		text += "\r\n"
		for _, piece := range []int{1, 7, 1 << 10} {
			size, interim, err := check(text+"HTTP/1.1 ", piece)
			if err != nil || size != len(text) || interim != strings.HasPrefix(text, "HTTP/1.1 1") {
				t.Errorf("%q in pieces of %d: got a head of %d bytes, interim %v, %v", text, piece, size, interim, err)
			}
		}
	}
}

// Guards against a broken head for whose end a caller waits although the line that breaks it
// has arrived.
func TestBrokenHeadIsFoundBeforeItsEnd(t *testing.T) {
	for _, text := range []string{"x", "HTTP/2", success[:5] + "x", "HTTP/1.1 000 OK\r\n", success + "A b: c\r\n", success + "A: b\r\n c\r\n"} {
		if _, _, err := check(text, len(text)); !errors.Is(err, ErrBroken) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzCheck guards against a head whose end depends on how it arrives, and against one that
// is allowed although net/http finds another end, another status, or fields that it would
// not pass on.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(success+"A: b\r\nContent-Length: 5\r\n\r\nshort"), 1)
	f.Add([]byte("HTTP/1.0 204\n\n"), 3)
	f.Add([]byte(success+"A : b\r\n c\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var c Checker
		size, err := c.Check(data)
		inPieces, interim, errInPieces := check(string(data), max(piece, 1))
		if size != inPieces || interim != c.Interim() || errors.Is(err, ErrBroken) != errors.Is(errInPieces, ErrBroken) {
			t.Fatalf("%q: %d bytes, %v; in pieces %d bytes, %v", data, size, err, inPieces, errInPieces)
		}
		if size == 0 {
			return
		}
		src := bytes.NewReader(data)
		br := bufio.NewReader(src)
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
		if err != nil {
			return // the value of a field that frames the body
		}
		if read := len(data) - src.Len() - br.Buffered(); read != size || resp.StatusCode != c.head.status {
			t.Errorf("%q: %d bytes of status %d; net/http finds %d bytes of status %d", data, size, c.head.status, read, resp.StatusCode)
		}
		for name, values := range resp.Header {
			for _, value := range values {
				if !ValidName(name) || !ValidValue(value) || name != http.CanonicalHeaderKey(name) {
					t.Errorf("%q: field %q with value %q", data, name, value)
				}
			}
		}
	})
}
