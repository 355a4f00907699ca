package ownership

import "time"

// Permit is the right to send one request to the local upstream. It is valid
// until the end of the lease under which it was given.
type Permit struct {
	Service    string
	GroupID    string
	Generation uint64
	// Until is the end of the lease on the monotonic clock of this process.
	Until time.Time
	// JournalComplete and HolderSince come from the group's record.
	JournalComplete bool
	HolderSince     time.Time
	// Standby is zero when the group has none.
	Standby Host
}
