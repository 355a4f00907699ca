package connpool

import (
	"errors"
	"fmt"
	"io"
)

// Upload sends a request body concurrently with reading the response: the server may respond
// before it has read the body.
type Upload struct {
	finished chan struct{}
	err      error
}

// StartUpload starts send, which writes a body to w. If it fails because the body cannot be
// read, the connection is closed, so that the server does not take a truncated body for a
// complete one. If the connection fails, what the server has sent before can still be read.
func (cn *Conn) StartUpload(send func(w io.Writer) error) *Upload {
	u := &Upload{finished: make(chan struct{})}
	cn.resets.BeginUpload()
	go func() {
		u.err = send(uploadWriter{cn})
		close(u.finished)
		cn.resets.EndUpload()
		if u.SourceError() != nil {
			_ = cn.Close()
		}
	}()
	return u
}

// Done reports whether the body was sent completely. It is true for a nil Upload.
func (u *Upload) Done() bool {
	return u == nil || u.ended() && u.err == nil
}

// SourceError returns the error of reading the body, or nil if there was none so far.
func (u *Upload) SourceError() error {
	if u == nil || !u.ended() || errors.Is(u.err, errWrite) {
		return nil
	}
	return u.err
}

func (u *Upload) ended() bool {
	select {
	case <-u.finished:
		return true
	default:
		return false
	}
}

// errWrite is wrapped by the errors of writing to the connection.
var errWrite = errors.New("writing the request body")

// uploadWriter marks the errors of a writer with errWrite. It hides the ReadFrom method of
// connections, so that io.CopyBuffer uses its buffer.
type uploadWriter struct{ w io.Writer }

// Write implements io.Writer.
func (u uploadWriter) Write(p []byte) (int, error) {
	n, err := u.w.Write(p)
	if err != nil {
		err = fmt.Errorf("%w: %w", errWrite, err)
	}
	return n, err
}
