package ownership

import "time"

// Permit allows one request to be sent to the local upstream. It is valid until
// Until, which is at most the end of the lease under which it was granted.
type Permit struct {
	Service    string
	GroupID    string
	Generation uint64
	// Until is the end of the permit on the monotonic clock of this process.
	Until time.Time
	// JournalComplete and HolderSince come from the group's record.
	JournalComplete bool
	HolderSince     time.Time
	// Standby is zero when the group has none.
	Standby Host
}
