// Package hop carries requests between routers. A connection carries one
// request at a time. Messages are a head in CBOR behind its length, and the
// body. The form is compact because traffic between zones and regions is paid
// for by volume: HTTP/1.1 fields were more than half of the bytes.
package hop

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxHeadBytes bounds the head of a message.
const maxHeadBytes = 128 << 10

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// Field is one header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// RequestHead is the head of a request.
type RequestHead struct {
	_         struct{} `cbor:",toarray"`
	Method    string
	Target    string // path and query
	Host      string
	RequestID string
	Service   string
	// Caller is the service beside which the request started.
	Caller string
	// RemainingMs and GoalMs are the times left until the deadline and until the
	// latency objective; GoalMs is 0 when the latter has passed.
	RemainingMs int
	GoalMs      int
	Priority    int
	// WaitPolicy is the admit.WaitPolicy of the request.
	WaitPolicy int
	Flags      RequestFlags
	Key        uint16
	// SameFields tells that the fields are those of the last request on the
	// connection; Fields is empty then.
	SameFields bool
	Fields     []Field
	// Length is the length of the body, or -1 when it is sent in chunks.
	Length int64
}

// RequestFlags are properties of a request.
type RequestFlags uint8

// The flags.
const (
	// Repeatable work may run more than once.
	Repeatable RequestFlags = 1 << iota
	// Keyed requests may run only at the holder of the key.
	Keyed
	// StoreCall marks a call to the store on behalf of the other router, whose
	// parameters are the body.
	StoreCall
)

// ResponseHead is the head of an answer: a refusal when Kind is set, and
// otherwise the upstream's answer.
type ResponseHead struct {
	_ struct{} `cbor:",toarray"`
	// Kind is the error kind of a refusal. Detail and RetryMs belong to it.
	Kind    string
	Detail  string
	RetryMs int
	// Holder is the host that holds the request's key as far as the refusing
	// router knows; empty when that is no other host.
	Holder string
	Flags  ResponseFlags
	// Busy, Waiting and Slots are the load of the upstream.
	Busy    int
	Waiting int
	Slots   int

	// Config is the version of the configuration in force at the answering router.
	Config uint64

	Status     int
	Signature  string
	SameFields bool
	Fields     []Field
	Length     int64
}

// ResponseFlags are properties of an answer.
type ResponseFlags uint8

// The flags.
const (
	// Arrived tells that the upstream got the request.
	Arrived ResponseFlags = 1 << iota
	// Unreachable tells that the upstream could not be reached.
	Unreachable
)

// appendHead appends the length and the encoded head.
func appendHead(b []byte, head any) ([]byte, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encoding a head: %w", err)
	}
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...), nil
}

func readHead(r *bufio.Reader, head any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > maxHeadBytes {
		return fmt.Errorf("a head of %d bytes", n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, head); err != nil {
		return fmt.Errorf("decoding a head: %w", err)
	}
	return nil
}

// writeBody sends a body of the length. A body that ends early is an error, so
// that the connection is closed and nobody takes it for whole.
func writeBody(w io.Writer, body io.Reader, length int64) error {
	if length >= 0 {
		n, err := io.Copy(w, io.LimitReader(body, length))
		if err == nil && n < length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return writeChunks(w, body)
}

const chunkBytes = 16 << 10

func writeChunks(w io.Writer, body io.Reader) error {
	buf := make([]byte, binary.MaxVarintLen64+chunkBytes)
	for {
		n, err := body.Read(buf[binary.MaxVarintLen64:])
		if n > 0 {
			size := binary.AppendUvarint(nil, uint64(n))
			if _, werr := w.Write(append(size, buf[binary.MaxVarintLen64:binary.MaxVarintLen64+n]...)); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = w.Write([]byte{0})
			return err
		}
		if err != nil {
			return err
		}
	}
}

// bodyReader reads a body of the length. It returns io.EOF only at the end of
// the whole body.
func bodyReader(r *bufio.Reader, length int64) io.Reader {
	if length >= 0 {
		return &fixedBody{src: r, left: length}
	}
	return &chunkedBody{src: r}
}

type fixedBody struct {
	src  io.Reader
	left int64
}

func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.src.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type chunkedBody struct {
	src   *bufio.Reader
	left  uint64
	ended bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.left == 0 {
		n, err := binary.ReadUvarint(b.src)
		if err != nil {
			return 0, notEOF(err)
		}
		if n == 0 {
			b.ended = true
			return 0, io.EOF
		}
		b.left = n
	}
	if uint64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.src.Read(p)
	b.left -= uint64(n)
	return n, notEOF(err)
}

func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
