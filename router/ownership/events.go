package ownership

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

// Log events of ownership and leases.
var (
	evJoined = event.Define(1100, log.InfoLevel, "joined a service",
		"this host created its groups of a service", "none")
	evTookOver = event.Define(1101, log.WarnLevel, "took over a group as its standby",
		"no heartbeat of the holder arrived before this standby's lease grace ended",
		"find out why the former holder stopped")
	evTookOverExpired = event.Define(1102, log.WarnLevel, "took over a group after the renewal deadline",
		"neither holder nor standby wrote the row within the renewal deadline and its margin",
		"find out why both hosts stopped")
	evDeclaredLost = event.Define(1103, log.WarnLevel, "took over a group declared lost",
		"an operator declared holder and standby of a group lost", "none")
	evReplaced = event.Define(1104, log.InfoLevel, "replaced a standby",
		"the standby did not ack heartbeats, was leaving or was missing", "none")
	evHolderChanged = event.Define(1105, log.WarnLevel, "another host holds the group",
		"a newer record names another holder",
		"none after a planned hand-over; otherwise look for a process pause or a network partition of this host")
	evHandedOver = event.Define(1106, log.InfoLevel, "handed a group over to its standby",
		"the local upstream withdrew or failed", "none")
	evLapsed = event.Define(1107, log.WarnLevel, "the lease of a held group lapsed",
		"the standby did not ack heartbeats in time, or the row could not be renewed before the renewal deadline",
		"check the network to the standby and the table service")
	evWriteFailed = event.Define(1108, log.WarnLevel, "a write of a group record failed",
		"the table service refused the write or another host changed the row first",
		"check the table service if this continues")
	evOutcomeUnknown = event.Define(1109, log.ErrorLevel, "the outcome of a write is unknown",
		"the router stopped before the outcome of a write was known",
		"none; the rows are authoritative, and other routers follow them")
)
