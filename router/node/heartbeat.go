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
	"the socket refused a heartbeat or its answer",
	"check the network of the host; the lease lapses when this goes on")

// heartbeatWire is a heartbeat as it is sent: a CBOR array, which carries no
// field names and so keeps the control traffic low.
type heartbeatWire struct {
	_                  struct{} `cbor:",toarray"`
	Service            string
	GroupID            any // see packID
	Generation         uint64
	RowVersion         int64
	Seq                uint64
	HolderName         string
	HolderIncarnation  uint64
	StandbyIncarnation uint64
	NoteVersion        int64
}

// answerWire is the answer to a heartbeat as it is sent.
type answerWire struct {
	_                  struct{} `cbor:",toarray"`
	Service            string
	GroupID            any // see packID
	Generation         uint64
	Seq                uint64
	HolderIncarnation  uint64
	StandbyName        string
	StandbyIncarnation uint64
	NoteVersion        int64
}

// packID returns the id of a group as it is sent: the 16 bytes of a UUID in its
// usual form, else the text. CBOR keeps byte strings and texts apart. Heartbeats
// are most of the control traffic, and the text of a UUID has 36 bytes.
func packID(id string) any {
	u, err := uuid.Parse(id)
	if err != nil || u.String() != id {
		return id
	}
	return u[:]
}

// unpackID returns the id, or "" for a value that is none.
func unpackID(packed any) string {
	switch v := packed.(type) {
	case string:
		return v
	case []byte:
		if u, err := uuid.FromBytes(v); err == nil {
			return u.String()
		}
	}
	return ""
}

// leaseNetwork sends lease messages as datagrams.
type leaseNetwork struct {
	datagrams *peer.Datagrams
	directory *member.Directory
	log       *event.Logger
}

// SendHeartbeat implements ownership.Network.
func (n *leaseNetwork) SendHeartbeat(to ownership.Host, h lease.Heartbeat) {
	n.send(to, peer.HeartbeatDatagram, heartbeatWire{
		Service:            h.Service,
		GroupID:            packID(h.GroupID),
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
	n.send(to, peer.AckDatagram, answerWire{
		Service:            a.Service,
		GroupID:            packID(a.GroupID),
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
		// name and no address.
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

// receive hands a datagram to the lease manager. Datagrams that do not decode
// come from another version of the product and are ignored.
func (n *Node) receive(kind peer.DatagramKind, body []byte) {
	switch kind {
	case peer.HeartbeatDatagram:
		var h heartbeatWire
		if peer.DecodeDatagram(body, &h) != nil {
			return
		}
		n.noteVersionSeen(h.NoteVersion, h.HolderName)
		n.manager.HandleHeartbeat(lease.Heartbeat{
			Service:            h.Service,
			GroupID:            unpackID(h.GroupID),
			Generation:         h.Generation,
			RowVersion:         h.RowVersion,
			Seq:                h.Seq,
			HolderName:         h.HolderName,
			HolderIncarnation:  h.HolderIncarnation,
			StandbyIncarnation: h.StandbyIncarnation,
			NoteVersion:        h.NoteVersion,
		})
	case peer.AckDatagram:
		var a answerWire
		if peer.DecodeDatagram(body, &a) != nil {
			return
		}
		n.noteVersionSeen(a.NoteVersion, a.StandbyName)
		n.manager.HandleAck(lease.Ack{
			Service:            a.Service,
			GroupID:            unpackID(a.GroupID),
			Generation:         a.Generation,
			Seq:                a.Seq,
			HolderIncarnation:  a.HolderIncarnation,
			StandbyName:        a.StandbyName,
			StandbyIncarnation: a.StandbyIncarnation,
			NoteVersion:        a.NoteVersion,
		})
	}
}
