// Package peer implements the communication between routers: control calls as
// JSON-RPC 2.0 over TCP, and heartbeats and their acks as datagrams over UDP. Both
// sides authenticate with the shared secret of the cluster.
//
// On a TCP connection the secret is verified only during the handshake. Traffic is
// not encrypted, and an established connection is not protected from a third party
// that can inject bytes into it.
package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// maxMessageBytes is the maximum size of a control message. The largest messages
// are batches of group records or journal entries, which senders keep far smaller.
const maxMessageBytes = 16 << 20

// lengthBytes is the size of the length prefix of a message.
const lengthBytes = 4

// compressedFlag in the length prefix marks a compressed body. No length reaches
// it, since maxMessageBytes is far smaller.
const compressedFlag = 1 << 31

// compressThreshold is the size in bytes above which a body is compressed. Group
// records, which make up most of the larger messages, shrink to less than half;
// compression saves little on smaller bodies.
const compressThreshold = 700

var errMessageTooLarge = errors.New("control message exceeds the size limit")

// compressors pools writers, because each takes several hundred KB.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an invalid level
	return w
}}

// codec frames JSON messages with a length prefix, so that an oversized message is
// rejected before it is read.
type codec struct {
	// limits bounds the messages of a connection that the server accepted; nil for that of a
	// client.
	limits *messageLimits
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encoding control message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", errMessageTooLarge, len(body))
	}
	frame, err := encodeFrame(body)
	if err != nil {
		return fmt.Errorf("encoding control message: %w", err)
	}
	_, err = stream.Write(frame)
	return err
}

// encodeFrame returns the length prefix and the body, compressed if it is larger
// than compressThreshold.
func encodeFrame(body []byte) ([]byte, error) {
	if len(body) <= compressThreshold {
		frame := make([]byte, lengthBytes, lengthBytes+len(body))
		binary.BigEndian.PutUint32(frame, uint32(len(body)))
		return append(frame, body...), nil
	}
	var compressed bytes.Buffer
	compressed.Write(make([]byte, lengthBytes))
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	frame := compressed.Bytes()
	binary.BigEndian.PutUint32(frame, compressedFlag|uint32(len(frame)-lengthBytes))
	return frame, nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(stream, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	limit := c.limits.maxBytes()
	if int64(size) > limit {
		return fmt.Errorf("%w: %d bytes", errMessageTooLarge, size)
	}
	if err := c.limits.charge(int64(size)); err != nil {
		return err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	if compressed {
		var err error
		if body, err = decompress(body, limit); err != nil {
			return err
		}
	}
	// The decoded message has its own copy of the parameters.
	if err := c.limits.charge(int64(len(body))); err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// decompress decompresses a body up to limit bytes, so that a small message cannot
// exhaust memory.
func decompress(compressed []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing control message: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, errMessageTooLarge
	}
	return body, nil
}
