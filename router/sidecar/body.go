package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/quarantine"
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

	mu     sync.Mutex
	prefix bodyPrefix
}

// Begin requests the body from another router that has kept it. The sender of a request calls it
// before it reads the response.
func (b *bodyStream) Begin() error {
	b.begun.Store(true)
	b.mu.Lock()
	src := b.src
	b.mu.Unlock()
	if kept, ok := src.(interface{ Begin() error }); ok {
		return kept.Begin()
	}
	return nil
}

// Read implements io.Reader. The end of the body is returned once: for a second reader the
// rest of the body, which is nothing, must not look like a complete body.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.begun.Store(true)
	if b.ended.Load() {
		return 0, errBodySent
	}
	n, err := b.src.Read(p)
	b.mu.Lock()
	b.prefix.add(p[:n], errors.Is(err, io.EOF))
	b.mu.Unlock()
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// abandon ends the reading of the body, unless it has ended, behind the response. net/http would
// close the connection at once if the read of an upload is interrupted, and the caller might
// lose the response.
func (b *bodyStream) abandon(conn *connguard.Conn) {
	if !b.ended.Load() {
		conn.Linger()
	}
}

// bodyPrefix hashes the beginning of a body for its fingerprint.
type bodyPrefix struct {
	digest xxhash.Digest
	length int
	// complete is true if the beginning was hashed completely.
	complete bool
}

func (p *bodyPrefix) add(data []byte, last bool) {
	if p.complete {
		return
	}
	if p.length == 0 {
		p.digest.Reset()
	}
	data = data[:min(len(data), quarantine.MaxBodyBytes-p.length)]
	_, _ = p.digest.Write(data) // never fails
	p.length += len(data)
	p.complete = last || p.length == quarantine.MaxBodyBytes
}

// prefixHash returns the hash of the beginning of the body. If read is true, it reads the
// beginning, which is then kept for the attempt that sends the body, unless an attempt has
// begun to read it. complete is false if the beginning is not known.
func (b *bodyStream) prefixHash(read bool) (hash uint64, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if read && !b.prefix.complete && !b.begun.Load() {
		beginning := make([]byte, quarantine.MaxBodyBytes)
		n, err := io.ReadFull(b.src, beginning)
		b.prefix.add(beginning[:n], errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
		b.src = io.MultiReader(bytes.NewReader(beginning[:n]), b.src)
	}
	return b.prefix.digest.Sum64(), b.prefix.complete
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
