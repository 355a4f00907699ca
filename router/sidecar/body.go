package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"burdockglade.dev/router/errkind"
)

// requestBody is the body of a request: data, or stream if it is too long to be kept.
type requestBody struct {
	data   []byte
	stream *bodyStream
}

// bodyStream is a body that is too long to be kept, so that only one attempt can send it.
type bodyStream struct {
	src io.Reader
	// length is the length in bytes, or -1 if unknown.
	length int64
	// begun is true once an attempt has begun to read the body, and ended once the end of
	// the body has been returned.
	begun, ended atomic.Bool
}

// Read implements io.Reader. The end of the body is returned once: for a second reader the
// rest of the body, which is nothing, must not look like a complete body.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.begun.Store(true)
	if b.ended.Load() {
		return 0, errBodySent
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// errBodySent is the error of reading a body that an earlier attempt has read to its end.
var errBodySent = errors.New("the body has been sent already")

// readBody reads a body of up to maxBufferedBody bytes completely, so that it can be sent
// again; a longer one becomes a stream.
func readBody(req *http.Request) (requestBody, *errkind.Error) {
	if req.ContentLength == 0 || req.Body == nil {
		return requestBody{}, nil
	}
	if req.ContentLength > maxBufferedBody {
		return requestBody{stream: &bodyStream{src: req.Body, length: req.ContentLength}}, nil
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
	return requestBody{stream: &bodyStream{src: io.MultiReader(bytes.NewReader(head), req.Body), length: -1}}, nil
}
