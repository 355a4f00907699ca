// Package hop implements the protocol for requests between routers. A connection
// carries one request at a time. A message is a CBOR-encoded head, prefixed with its
// length as a uvarint, and a body. The encoding is compact because traffic between
// zones and regions is charged by volume: with HTTP/1.1, header fields were more than
// half of the bytes.
package hop

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdockglade.dev/router/responsehead"
)

// maxHeadBytes is the maximum size of an encoded head.
const maxHeadBytes = 128 << 10

// unknownLength is the Length of a body that is sent in chunks.
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
	// Caller is the service whose sidecar received the request.
	Caller string
	// RemainingMs and GoalMs are the milliseconds until the deadline and until the
	// goal, up to which the response meets its latency objective. GoalMs is 0 if
	// the goal has passed.
	RemainingMs int
	GoalMs      int
	Priority    int
	// WaitPolicy is an admit.WaitPolicy.
	WaitPolicy int
	Flags      RequestFlags
	Key        uint16
	// SameFields is true if the fields equal those of the last request on the
	// connection; Fields is then empty.
	SameFields bool
	Fields     []Field
	// Length is the length of the body in bytes, or -1 if it is sent in chunks.
	Length int64
}

// RequestFlags are properties of a request.
type RequestFlags uint8

// Flags of a request.
const (
	// Repeatable marks a request that may run more than once.
	Repeatable RequestFlags = 1 << iota
	// Keyed marks a request that may run only at the holder of its key.
	Keyed
	// StoreCall marks a call to the store on behalf of the sending router. Its
	// parameters are the body.
	StoreCall
	// AsksForBody marks a request whose sender waits with a stream until the receiver asks
	// for it. Routers of earlier versions ignore the flag and do not ask.
	AsksForBody
	// Large marks a request whose response is expected to be large. Routers of earlier
	// versions ignore the flag.
	Large
	// DefersBody marks a request whose body the sender keeps until the receiver asks for it.
	// It is sent only on connections on which the receiver has announced that it knows it.
	DefersBody
)

// bodyWanted is sent in place of the length of a response head by a receiver that asks for
// the stream or the deferred body of a request.
const bodyWanted = 0

// ResponseHead is the head of a response: a refusal if Kind is set, otherwise the
// upstream's response.
type ResponseHead struct {
	_ struct{} `cbor:",toarray"`
	// Kind is the error kind of a refusal, Detail its message, and RetryMs the
	// milliseconds after which the request may be retried.
	Kind    string
	Detail  string
	RetryMs int
	// Holder is the host that holds the request's key according to the refusing
	// router; empty if that is no other host.
	Holder string
	Flags  ResponseFlags
	// Busy, Waiting and Slots are the load of the upstream.
	Busy    int
	Waiting int
	Slots   int

	// Config is the version of the configuration in use at the responding router.
	Config uint64

	// The fields below are those of the upstream's response. SameFields, Fields and
	// Length are as in RequestHead.
	Status     int
	Signature  string
	SameFields bool
	Fields     []Field
	Length     int64
}

// ResponseFlags are properties of a response, and the age of its Config.
type ResponseFlags uint8

// Flags of a response.
const (
	// Arrived means that the upstream has received the request.
	Arrived ResponseFlags = 1 << iota
	// Unreachable means that the upstream could not be reached.
	Unreachable
)

// The bits above the flags hold the age of the configuration in steps, plus one; 0 means
// that it is not known. Routers of earlier versions ignore these bits, whereas they
// reject a head with another number of fields.
const (
	configAgeShift = 2
	configAgeStep  = 50 * time.Millisecond
	maxConfigAge   = (1<<(8-configAgeShift) - 2) * configAgeStep
)

// WithConfigAge returns the flags with the age, rounded up. Ages above 3.1 s are not
// transmitted.
func (f ResponseFlags) WithConfigAge(age time.Duration) ResponseFlags {
	f &= 1<<configAgeShift - 1
	if age < 0 || age > maxConfigAge {
		return f
	}
	steps := (age + configAgeStep - 1) / configAgeStep
	return f | ResponseFlags(steps+1)<<configAgeShift
}

// ConfigAge returns the time that had passed at the responding router since its
// configuration was known to be the newest in the store, or false if that is not known.
func (f ResponseFlags) ConfigAge() (age time.Duration, known bool) {
	steps := f >> configAgeShift
	if steps == 0 {
		return 0, false
	}
	return time.Duration(steps-1) * configAgeStep, true
}

// check returns an error that wraps responsehead.ErrBroken if no router sends such a head.
// Responses to calls of the store have no status.
func (h *ResponseHead) check(storeCall bool) error {
	noStatus := h.Kind != "" || storeCall
	if !noStatus && (h.Status < http.StatusOK || h.Status > responsehead.MaxStatus) {
		return fmt.Errorf("%w: status %d", responsehead.ErrBroken, h.Status)
	}
	if h.Length < unknownLength {
		return fmt.Errorf("%w: body length %d", responsehead.ErrBroken, h.Length)
	}
	if !responsehead.ValidValue(h.Signature) {
		return fmt.Errorf("%w: signature %q", responsehead.ErrBroken, h.Signature)
	}
	for _, f := range h.Fields {
		if !responsehead.ValidName(f.Name) || f.Name != http.CanonicalHeaderKey(f.Name) || !responsehead.ValidValue(f.Value) {
			return fmt.Errorf("%w: field %q with value %.60q", responsehead.ErrBroken, f.Name, f.Value)
		}
	}
	return nil
}

// appendHead appends the length of the encoded head and the encoded head to b.
func appendHead(b []byte, head any) ([]byte, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encoding a head: %w", err)
	}
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...), nil
}

// headDecoding decodes heads. The values of header fields may be in any encoding.
var headDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// errMalformedHead is wrapped by errors of heads that cannot be decoded.
var errMalformedHead = errors.New("malformed head")

// readHead reads a head and decodes it into head.
func readHead(r *bufio.Reader, head any) error {
	return readHeadWithin(r, head, func(uint64) error { return nil }, func([]byte) error { return nil })
}

// readHeadWithin is like readHead, and calls reserve before it allocates the encoded head and
// reserveFields before it decodes it.
func readHeadWithin(r *bufio.Reader, head any, reserve func(n uint64) error, reserveFields func([]byte) error) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > maxHeadBytes {
		return fmt.Errorf("%w: %d bytes exceed the limit", errMalformedHead, n)
	}
	if err := reserve(n); err != nil {
		return err
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	if err := reserveFields(data); err != nil {
		return err
	}
	if err := headDecoding.Unmarshal(data, head); err != nil {
		return fmt.Errorf("%w: %w", errMalformedHead, err)
	}
	return nil
}

// writeBody writes a body of the given length. A body that ends early is an error:
// the connection is then closed, so that the receiver does not take a truncated body
// for a complete one.
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

// chunkBytes is the maximum size of a chunk.
const chunkBytes = 16 << 10

// writeChunks writes a body in chunks, each prefixed with its length as a uvarint. A
// chunk of length 0 ends the body.
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

// bodyReader returns a reader of a body of the given length. It returns io.EOF only
// at the end of the complete body, and io.ErrUnexpectedEOF if the body is truncated.
func bodyReader(r *bufio.Reader, length int64) io.Reader {
	if length >= 0 {
		return &fixedBody{src: r, remaining: length}
	}
	return &chunkedBody{src: r}
}

// fixedBody reads a body of known length.
type fixedBody struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body that is sent in chunks.
type chunkedBody struct {
	src       *bufio.Reader
	remaining uint64
	ended     bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.remaining == 0 {
		n, err := binary.ReadUvarint(b.src)
		if err != nil {
			return 0, notEOF(err)
		}
		if n == 0 {
			b.ended = true
			return 0, io.EOF
		}
		b.remaining = n
	}
	if uint64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	b.remaining -= uint64(n)
	return n, notEOF(err)
}

// notEOF replaces io.EOF by io.ErrUnexpectedEOF.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
