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
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// maxMessageBytes bounds one control message. The largest is a batch of group
// records or journal entries, which senders cut into batches far below it.
const maxMessageBytes = 16 << 20

// lengthBytes is the size of the length prefix of a message.
const lengthBytes = 4

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
		return fmt.Errorf("control message of %d bytes is above the limit of %d", len(body), maxMessageBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = stream.Write(append(frame, body...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(stream, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxMessageBytes {
		return fmt.Errorf("control message of %d bytes is above the limit of %d", size, maxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
