package e2e

import (
	"strings"

	"burdockglade.dev/stores/standin"
)

// relays are the ways into a host and its way to the table service. Other hosts
// know the host by the addresses of the relays only.
type relays struct {
	hop, control, store *standin.Relay
	heartbeats          *standin.UDPRelay
}

// startRelays starts the relays of a host. Control connections and heartbeats
// have the same address, as the host advertises one for both.
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
	r, err := standin.StartRelay(standin.RelayOptions{Listen: address(c.t), Target: target})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(r.Close)
	return r
}

// cutInbound drops all that other hosts send to the host and holds back the
// bytes of their streams, answers to their requests included.
func (h *host) cutInbound(d standin.Direction) {
	h.relays.hop.Partition(d)
	h.relays.control.Partition(d)
	h.relays.heartbeats.Partition(d)
}
