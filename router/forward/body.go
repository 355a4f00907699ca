package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"burdockglade.dev/router/errkind"
)

// replayLimit is the largest body, in bytes, that is kept so that the request
// can be sent again. A larger body is streamed and can be sent only once.
const replayLimit = 256 << 10

// body gives each attempt the request's body.
type body struct {
	kept     []byte
	stream   io.ReadCloser
	length   int64
	consumed atomic.Bool
}

// newBody reads a small body whole and leaves a large or unknown one to be
// streamed.
func newBody(in *http.Request, limit int64) (*body, error) {
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return &body{}, nil
	}
	if in.ContentLength < 0 || in.ContentLength > replayLimit {
		return &body{stream: http.MaxBytesReader(nil, in.Body, limit), length: in.ContentLength}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(in.Body, in.ContentLength))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "reading the body: %w", err)
	}
	if int64(len(kept)) != in.ContentLength {
		return nil, errkind.New(errkind.BadRequest, "the body ended after %d of %d bytes", len(kept), in.ContentLength)
	}
	return &body{kept: kept, length: in.ContentLength}, nil
}

// open returns the body for one attempt.
func (b *body) open() io.ReadCloser {
	if b.stream == nil {
		if len(b.kept) == 0 {
			return http.NoBody
		}
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return &streamBody{b}
}

// replayable reports whether another attempt can get the whole body.
func (b *body) replayable() bool {
	return b.stream == nil || !b.consumed.Load()
}

// streamBody passes the caller's body on and notes that it was read.
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

// tooLarge reports whether the error says that a streamed body is above its
// limit.
func tooLarge(err error) bool {
	var e *http.MaxBytesError
	return errors.As(err, &e)
}
