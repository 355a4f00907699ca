package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/upstream"
)

// writeResponse passes a response of an upstream on. If the body breaks off, it closes
// the caller's connection, so that the caller cannot take the response for complete.
func writeResponse(w http.ResponseWriter, req *http.Request, r *Result) {
	header := w.Header()
	for name, values := range upstream.EndToEndHeader(r.Header) {
		header[name] = values
	}
	if header.Get("Date") == "" {
		header["Date"] = nil
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	if r.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if r.Body == nil {
		return
	}
	n, err := io.Copy(w, r.Body)
	if err != nil || (r.Length >= 0 && n < r.Length) {
		abortResponse(req, r)
	}
}

// abortResponse closes the caller's connection in the middle of a response. A response of
// unknown length to a request of HTTP/1.0 ends with its connection, so that only a reset
// shows that it is not complete.
func abortResponse(req *http.Request, r *Result) {
	if conn := connOf(req); conn != nil && r.Length < 0 && !req.ProtoAtLeast(1, 1) {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is closed already
		}
	}
	panic(http.ErrAbortHandler)
}

// requestBody is the body of a request: data, or stream if it is too long to be kept.
type requestBody struct {
	data   []byte
	stream io.Reader
	// length is the length of stream in bytes, or -1 if unknown.
	length int64
}

// readBody reads a body of up to maxBufferedBody bytes completely, so that it can be sent
// again; a longer one becomes a stream.
func readBody(req *http.Request) (requestBody, *errkind.Error) {
	if req.ContentLength == 0 || req.Body == nil {
		return requestBody{}, nil
	}
	if req.ContentLength > maxBufferedBody {
		return requestBody{stream: req.Body, length: req.ContentLength}, nil
	}
	head, err := io.ReadAll(io.LimitReader(req.Body, maxBufferedBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return requestBody{}, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return requestBody{}, errkind.New(errkind.CallerLeft, "reading the body: %w", err)
	case len(head) <= maxBufferedBody:
		return requestBody{data: head}, nil
	}
	return requestBody{stream: io.MultiReader(bytes.NewReader(head), req.Body), length: -1}, nil
}

func formatKey(key uint16) string {
	return strconv.Itoa(int(key))
}
