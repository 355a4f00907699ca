package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"burdockglade.dev/router/upstream"
)

// writeAnswer passes an upstream's answer on. An answer that breaks off ends
// its connection, so that it cannot be taken for whole.
func writeAnswer(w http.ResponseWriter, r *Result) {
	header := w.Header()
	for name, values := range upstream.EndToEnd(r.Header) {
		header[name] = values
	}
	if header.Get("Date") == "" {
		header["Date"] = nil
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing one
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
		panic(http.ErrAbortHandler)
	}
}

// readBody reads a body of up to keptBodyBytes whole, so that it can be sent
// again; a longer one becomes a stream.
func readBody(req *http.Request, c *Call) error {
	if req.ContentLength == 0 || req.Body == nil {
		return nil
	}
	if req.ContentLength > keptBodyBytes {
		c.Stream, c.Length = req.Body, req.ContentLength
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(req.Body, keptBodyBytes+1))
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	if len(head) <= keptBodyBytes {
		c.Body = head
		return nil
	}
	c.Stream, c.Length = io.MultiReader(bytes.NewReader(head), req.Body), -1
	return nil
}

func formatKey(key uint16) string {
	return strconv.Itoa(int(key))
}
