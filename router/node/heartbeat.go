package node

import (
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

var evHeartbeatNotSent = event.Define(1010, log.WarnLevel, "heartbeat not sent",
	"sending a heartbeat or its acknowledgement failed",
	"check the network of the host; the lease lapses if this continues")

// heartbeatWire is the wire format of a heartbeat: a CBOR array, which contains no
// field names and thus reduces control traffic.
type heartbeatWire struct {
	_                  struct{} `cbor:",toarray"`
	Service            string
	GroupID            any // encoded by encodeGroupID
	Generation         uint64
	RowVersion         int64
	Seq                uint64
	HolderName         string
	HolderIncarnation  uint64
	StandbyIncarnation uint64
	NoteVersion        int64
}

// ackWire is the wire format of the acknowledgement of a heartbeat.
type ackWire struct {
	_                  struct{} `cbor:",toarray"`
	Service            string
	GroupID            any // encoded by encodeGroupID
	Generation         uint64
	Seq                uint64
	HolderIncarnation  uint64
	StandbyName        string
	StandbyIncarnation uint64
	NoteVersion        int64
}

// encodeGroupID returns the wire format of a group ID: the 16 bytes of a UUID in
// canonical form, or the text of any other ID. CBOR distinguishes byte strings from
// text strings. Heartbeats are most of the control traffic, and the text of a UUID
// has 36 bytes.
func encodeGroupID(id string) any {
	u, err := uuid.Parse(id)
	if err != nil || u.String() != id {
		return id
	}
	return u[:]
}

// decodeGroupID returns the group ID, or "" if encoded is not a valid one.
func decodeGroupID(encoded any) string {
	switch v := encoded.(type) {
	case string:
		return v
	case []byte:
		if u, err := uuid.FromBytes(v); err == nil {
			return u.String()
		}
	}
	return ""
}

// leaseNetwork implements ownership.Network with datagrams.
type leaseNetwork struct {
	datagrams *peer.Datagrams
	directory *member.Directory
	log       *event.Logger
}

// SendHeartbeat implements ownership.Network.
func (n *leaseNetwork) SendHeartbeat(to ownership.Host, h lease.Heartbeat) {
	n.send(to, peer.HeartbeatDatagram, heartbeatWire{
		Service:            h.Service,
		GroupID:            encodeGroupID(h.GroupID),
		Generation:         h.Generation,
		RowVersion:         h.RowVersion,
		Seq:                h.Seq,
		HolderName:         h.HolderName,
		HolderIncarnation:  h.HolderIncarnation,
		StandbyIncarnation: h.StandbyIncarnation,
		NoteVersion:        h.NoteVersion,
	})
}

// SendAck implements ownership.Network.
func (n *leaseNetwork) SendAck(to ownership.Host, a lease.Ack) {
	n.send(to, peer.AckDatagram, ackWire{
		Service:            a.Service,
		GroupID:            encodeGroupID(a.GroupID),
		Generation:         a.Generation,
		Seq:                a.Seq,
		HolderIncarnation:  a.HolderIncarnation,
		StandbyName:        a.StandbyName,
		StandbyIncarnation: a.StandbyIncarnation,
		NoteVersion:        a.NoteVersion,
	})
}

func (n *leaseNetwork) send(to ownership.Host, kind peer.DatagramKind, value any) {
	if to.ControlAddr == "" {
		// A standby that knows a group only from a heartbeat has the holder's
		// name but not its address.
		m, ok := n.directory.Get(to.Name)
		if !ok || !m.Host.SameProcess(to) {
			return
		}
		to = m.Host
	}
	if err := n.datagrams.Send(to.ControlAddr, kind, value); err != nil {
		n.log.Log(evHeartbeatNotSent, event.F("host", to.Name), event.F("error", err.Error()))
	}
}

// handleDatagram passes a datagram to the lease manager. It ignores datagrams that
// cannot be decoded, because they come from another version of the router.
func (n *Node) handleDatagram(kind peer.DatagramKind, body []byte) {
	switch kind {
	case peer.HeartbeatDatagram:
		var h heartbeatWire
		if peer.DecodeDatagram(body, &h) != nil {
			return
		}
		n.observeNoteVersion(h.NoteVersion, h.HolderName)
		n.manager.HandleHeartbeat(lease.Heartbeat{
			Service:            h.Service,
			GroupID:            decodeGroupID(h.GroupID),
			Generation:         h.Generation,
			RowVersion:         h.RowVersion,
			Seq:                h.Seq,
			HolderName:         h.HolderName,
			HolderIncarnation:  h.HolderIncarnation,
			StandbyIncarnation: h.StandbyIncarnation,
			NoteVersion:        h.NoteVersion,
		})
	case peer.AckDatagram:
		var a ackWire
		if peer.DecodeDatagram(body, &a) != nil {
			return
		}
		n.observeNoteVersion(a.NoteVersion, a.StandbyName)
		n.manager.HandleAck(lease.Ack{
			Service:            a.Service,
			GroupID:            decodeGroupID(a.GroupID),
			Generation:         a.Generation,
			Seq:                a.Seq,
			HolderIncarnation:  a.HolderIncarnation,
			StandbyName:        a.StandbyName,
			StandbyIncarnation: a.StandbyIncarnation,
			NoteVersion:        a.NoteVersion,
		})
	}
}
