package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
)

// maxReplayBytes is the size of the largest body that is buffered so that the
// request can be retried. A larger body is streamed and can be sent only once.
const maxReplayBytes = 256 << 10

// streamMargin is how long behind the deadline of its request a streamed body may still be
// read. The request has ended by then.
const streamMargin = time.Second

// body supplies the body of a caller's request to each attempt. It is either
// buffered or streamed.
type body struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	consumed atomic.Bool
}

// newBody buffers a body of at most maxReplayBytes bytes. A larger body, or one of
// unknown length, is streamed and must not exceed limit bytes.
func newBody(in *http.Request, limit int64) (*body, *errkind.Error) {
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return &body{}, nil
	}
	if in.ContentLength < 0 || in.ContentLength > maxReplayBytes {
		return &body{stream: http.MaxBytesReader(nil, in.Body, limit), length: in.ContentLength}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(in.Body, in.ContentLength))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "reading the request body: %w", err)
	}
	if int64(len(buffered)) != in.ContentLength {
		return nil, errkind.New(errkind.BadRequest, "request body truncated: got %d of %d bytes", len(buffered), in.ContentLength)
	}
	return &body{buffered: buffered, length: in.ContentLength}, nil
}

// receiveBody returns the body of a request like newBody, once it fits into the limits on
// connections. A body that is buffered and not complete at the deadline is refused.
func receiveBody(w http.ResponseWriter, in *http.Request, r *request) (*body, *errkind.Error) {
	c := connguard.Of(in.Context())
	if c == nil || in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return newBody(in, r.service.MaxBody)
	}
	cost := int64(streamBufferBytes) // of a body that is streamed
	if in.ContentLength > 0 && in.ContentLength <= maxReplayBytes {
		cost = in.ContentLength
	}
	var b *body
	refused := c.ReceiveBody(w, connguard.Body{
		Cost: cost, Deadline: r.deadline, StreamMargin: streamMargin,
		Read: func() (held int64, streams bool, err *errkind.Error) {
			if b, err = newBody(in, r.service.MaxBody); err != nil {
				return 0, false, err
			}
			return cost, b.stream != nil, nil
		},
	})
	if refused != nil {
		return nil, refused
	}
	return b, nil
}

// open returns the body for one attempt.
func (b *body) open() io.ReadCloser {
	if b.stream == nil {
		if len(b.buffered) == 0 {
			return http.NoBody
		}
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &streamBody{b}
}

// replayable reports whether another attempt can send the whole body.
func (b *body) replayable() bool {
	return b.stream == nil || !b.consumed.Load()
}

// streamBody reads the caller's body and records that reading has begun.
type streamBody struct {
	b *body
}

// Read implements io.Reader.
func (s *streamBody) Read(p []byte) (int, error) {
	s.b.consumed.Store(true)
	return s.b.stream.Read(p)
}

// Close implements io.Closer. The server closes the caller's body itself, and
// an attempt that read nothing must leave it open for the next one.
func (s *streamBody) Close() error {
	return nil
}

// isBodyTooLarge reports whether err means that a streamed body exceeds its limit.
func isBodyTooLarge(err error) bool {
	var e *http.MaxBytesError
	return errors.As(err, &e)
}
