package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"burdockglade.dev/router/event"
)

// Sizes of datagrams, in bytes.
const (
	// datagramMACBytes is the length of the HMAC, truncated to 16 bytes to keep
	// the control traffic of a host within its limit.
	datagramMACBytes = 16
	// maxDatagramBytes is below the smallest path MTU in use.
	maxDatagramBytes = 1200
)

// DatagramKind is the type of a datagram's value.
type DatagramKind byte

// The kinds of datagram.
const (
	HeartbeatDatagram DatagramKind = 1
	AckDatagram       DatagramKind = 2
)

// Datagrams sends and receives authenticated datagrams. A datagram consists of a
// kind byte, a CBOR value and a truncated HMAC over both.
type Datagrams struct {
	secret Secret
	conn   *net.UDPConn
}

// NewDatagrams returns a sender and receiver that uses the socket.
func NewDatagrams(secret Secret, conn *net.UDPConn) *Datagrams {
	return &Datagrams{secret: secret, conn: conn}
}

// Send sends the value to the address. Delivery is not confirmed.
func (d *Datagrams) Send(address string, kind DatagramKind, value any) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("datagram address %q: %w", address, err)
	}
	packet, err := d.seal(kind, value)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteToUDPAddrPort(packet, to)
	return err
}

// seal encodes a datagram.
func (d *Datagrams) seal(kind DatagramKind, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding datagram: %w", err)
	}
	packet := make([]byte, 0, 1+len(body)+datagramMACBytes)
	packet = append(packet, byte(kind))
	packet = append(packet, body...)
	if len(packet)+datagramMACBytes > maxDatagramBytes {
		return nil, fmt.Errorf("datagram of %d bytes exceeds the limit of %d", len(packet)+datagramMACBytes, maxDatagramBytes)
	}
	mac := d.secret.mac(roleDatagram, packet)
	return append(packet, mac[:datagramMACBytes]...), nil
}

// errNotAuthentic is returned for a datagram that is too short or has a wrong HMAC.
var errNotAuthentic = errors.New("datagram is not authentic")

// open verifies a datagram and returns its kind and encoded value.
func (d *Datagrams) open(packet []byte) (DatagramKind, []byte, error) {
	if len(packet) < 1+datagramMACBytes {
		return 0, nil, errNotAuthentic
	}
	macStart := len(packet) - datagramMACBytes
	want := d.secret.mac(roleDatagram, packet[:macStart])[:datagramMACBytes]
	if !constantTimeEqual(packet[macStart:], want) {
		return 0, nil, errNotAuthentic
	}
	return DatagramKind(packet[0]), packet[1:macStart], nil
}

// Serve calls handle for each authentic datagram until the context ends, and then
// closes the socket. The body is valid only during the call.
func (d *Datagrams) Serve(ctx context.Context, l *event.Logger, handle func(kind DatagramKind, body []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An earlier send to a closed port can cause an error here; the
			// socket remains usable.
			continue
		}
		kind, body, err := d.open(buffer[:n])
		if err != nil {
			l.Log(evBadDatagram, event.F("address", from.String()), event.F("bytes", n))
			continue
		}
		handle(kind, body)
	}
}

// DecodeDatagram decodes the body of a datagram into value.
func DecodeDatagram(body []byte, value any) error {
	return cbor.Unmarshal(body, value)
}
