package sidecar

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"burdockglade.dev/router/upstream"
)

// lateWriteTime is how long behind its deadline a caller may take to read a long response.
const lateWriteTime = time.Second

// writeResponse passes a response of an upstream on. If the body breaks off, it closes
// the caller's connection, so that the caller cannot take the response for complete. A
// response that was not read completely from the upstream keeps a slot, so that a caller who
// does not read it is cut off some time behind its deadline.
func writeResponse(w http.ResponseWriter, req *http.Request, deadline time.Time, r *Result) {
	if r.Length < 0 || r.Length > maxBufferedResponse {
		control := http.NewResponseController(w)
		if control.SetWriteDeadline(deadline.Add(lateWriteTime)) == nil {
			// The connection may carry further requests.
			defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
		}
	}
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

// respondsEarly lets the response to a request with a stream begin before the stream has been
// read. Otherwise net/http reads up to 256 KiB of the body first: the response would wait for
// the caller, and the upstream would not get these bytes.
func respondsEarly(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex() // all writers here are net/http's
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

func formatKey(key uint16) string {
	return strconv.Itoa(int(key))
}
