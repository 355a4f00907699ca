// Package peer carries messages between routers: control calls as JSON-RPC 2.0
// over TCP and heartbeats as datagrams over UDP. Both sides of every channel
// prove that they know the cluster's shared secret.
//
// The secret proves identity when a connection is set up. It does not encrypt
// the traffic and does not protect an established connection from a third
// party that can inject bytes into it.
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

// maxMessageBytes bounds one control message. The largest is a batch of group
// records or journal entries, which senders cut into batches far below it.
const maxMessageBytes = 16 << 20

// lengthBytes is the size of the length prefix of a message.
const lengthBytes = 4

// packedFlag in the length prefix marks a compressed body. maxMessageBytes is
// far below it.
const packedFlag = 1 << 31

// packAbove is the size in bytes from which a body is compressed. Records of
// groups, which are most of the larger messages, shrink to less than half;
// below this size compression saves little.
const packAbove = 700

var errTooLong = errors.New("control message is above the limit")

// packers holds writers for reuse, because each takes several 100 KB.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // the level is valid
	return w
}}

// codec frames JSON messages with a length prefix, so that an oversized
// message is refused before it is read.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encoding control message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", errTooLong, len(body))
	}
	frame, err := frameOf(body)
	if err != nil {
		return fmt.Errorf("encoding control message: %w", err)
	}
	_, err = stream.Write(frame)
	return err
}

func frameOf(body []byte) ([]byte, error) {
	if len(body) <= packAbove {
		frame := make([]byte, lengthBytes, lengthBytes+len(body))
		binary.BigEndian.PutUint32(frame, uint32(len(body)))
		return append(frame, body...), nil
	}
	var packed bytes.Buffer
	packed.Write(make([]byte, lengthBytes))
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	frame := packed.Bytes()
	binary.BigEndian.PutUint32(frame, packedFlag|uint32(len(frame)-lengthBytes))
	return frame, nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(stream, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	packed := size&packedFlag != 0
	size &^= packedFlag
	if size > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", errTooLong, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	if packed {
		var err error
		if body, err = unpack(body); err != nil {
			return err
		}
	}
	return json.Unmarshal(body, v)
}

// unpack decompresses a body and stops at the limit, so that a small message
// cannot take much memory.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing control message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return nil, errTooLong
	}
	return body, nil
}
