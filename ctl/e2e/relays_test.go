package e2e

import (
	"strings"

	"burdockglade.dev/stores/standin"
)

// relays forward a host's inbound traffic and its traffic to the table service.
// Other hosts know only the relays' addresses.
type relays struct {
	hop, control, store *standin.Relay
	heartbeats          *standin.UDPRelay
}

// startRelays starts the relays of a host. Control connections and heartbeats use
// the same address because the host advertises one address for both.
func (c *cluster) startRelays(h *host) *relays {
	c.t.Helper()
	r := &relays{
		hop:     c.relay(h.hop),
		control: c.relay(h.control),
		store:   c.relay(strings.TrimPrefix(c.tableURL, "http://")),
	}
	heartbeats, err := standin.StartUDPRelay(standin.RelayOptions{Listen: r.control.Address(), Target: h.control})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(heartbeats.Close)
	r.heartbeats = heartbeats
	return r
}

func (c *cluster) relay(target string) *standin.Relay {
	c.t.Helper()
	r, err := standin.StartRelay(standin.RelayOptions{Listen: freeAddress(c.t), Target: target})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(r.Close)
	return r
}

// cutInbound partitions the traffic of connections that other hosts open to this
// host: datagrams are dropped and bytes of streams are held back, including
// responses to their requests.
func (h *host) cutInbound(d standin.Direction) {
	h.relays.hop.Partition(d)
	h.relays.control.Partition(d)
	h.relays.heartbeats.Partition(d)
}
