package keyrange

import (
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// grantTimeout is the response timeout of a grant command. The upstream runs
	// on the same host and responds before it does any work.
	grantTimeout = 300 * time.Millisecond
	// releaseTimeout is the response timeout of a release command, to which the
	// upstream responds when the work on the keys has ended.
	releaseTimeout = 1500 * time.Millisecond
	// commandRetryDelay is the delay before a command without a response is
	// repeated.
	commandRetryDelay = 150 * time.Millisecond
	// refusedGrantDelay is the delay after a grant that the upstream refused.
	refusedGrantDelay = time.Second
	// arrivalMargin is the time after a command timed out within which it may
	// still arrive: its bytes may have been sent and not yet read by the upstream.
	arrivalMargin = 250 * time.Millisecond
	// renewFraction is the divisor of a hold that gives the remaining time at
	// which it is renewed.
	renewFraction = 2
)

// Command is a call that makes an upstream hold or release a range of keys.
type Command struct {
	Grant
	// Release is true if the upstream is to release the range.
	Release bool
	// HoldFor is how long a grant lasts, counted from the command's arrival.
	HoldFor time.Duration
	// Timeout is how long the sender waits for the response.
	Timeout time.Duration
}

func (c Command) span() span {
	return span{c.From, c.To, c.Generation}
}

// CommandResult is the result of a command.
type CommandResult int

// Results of a command.
const (
	// CommandApplied: the upstream carried out the command.
	CommandApplied CommandResult = iota
	// CommandRefused: the upstream has seen a higher generation on one of the keys
	// and did not accept the grant.
	CommandRefused
	// CommandUnknown: there was no response. The upstream may carry out the command
	// later, after newer ones.
	CommandUnknown
	// CommandNotApplied: nothing was sent, or the upstream responded that it did not
	// carry out the command.
	CommandNotApplied
)

// Commands decides which commands to send to an upstream whose keys are granted
// by commands, and records their results in Grants. At most one command is in
// progress for a key.
type Commands struct {
	grants *Grants
	// inProgress holds the commands without a result.
	inProgress map[span]bool
	// notBefore holds the earliest time of the next command after a failed one.
	notBefore map[span]boottime.Time
	// refused holds the grants that the upstream refused.
	refused map[span]bool
}

// NewCommands returns the commands for the upstream whose grants g tracks.
// Commands of an earlier process of this router may also have had no response.
func NewCommands(g *Grants) *Commands {
	g.predecessorUnansweredUntil = g.predecessorUntil
	return &Commands{grants: g, inProgress: map[span]bool{}, notBefore: map[span]boottime.Time{}, refused: map[span]bool{}}
}

// Due returns the commands to send now: grants of ranges that the map assigns to
// h and whose hold is missing or about to end, and releases of ranges that are
// planned to move, or of all ranges if the upstream is leaving. leaseEnd is the
// end of the host's lease; no grant lasts longer, even if it arrives as late as
// its timeout allows.
func (c *Commands) Due(now boottime.Time, m *Map, h Holder, leaving bool, leaseEnd boottime.Time, maxHold time.Duration) []Command {
	if m == nil {
		return nil
	}
	remaining := leaseEnd.Sub(now) - grantTimeout - arrivalMargin
	hold := min(maxHold, remaining-remaining/clockDrift)
	var due []Command
	for i := range m.Ranges {
		r := &m.Ranges[i]
		s := span{r.From, r.To, r.Generation}
		if _, released := c.grants.released[s]; r.Holder != h || released || c.blocked(now, s) {
			continue
		}
		command := Command{Grant: Grant{From: r.From, To: r.To, Generation: r.Generation, Handover: r.Handover}}
		switch {
		case r.Next != "" || leaving:
			command.Release, command.Timeout = true, releaseTimeout
		case hold >= minHold && !c.refused[s] && c.grants.holdEnd(s).Sub(now) < hold/renewFraction:
			command.HoldFor, command.Timeout = hold, grantTimeout
		default:
			continue
		}
		due = append(due, command)
	}
	// Releases go first, because other hosts wait for the released keys.
	slices.SortStableFunc(due, func(a, b Command) int { return releaseRank(a) - releaseRank(b) })
	return due
}

func releaseRank(c Command) int {
	if c.Release {
		return 0
	}
	return 1
}

// blocked reports whether a command for any of the keys is in progress, or one
// for the range failed a moment ago.
func (c *Commands) blocked(now boottime.Time, s span) bool {
	for other := range c.inProgress {
		if other.overlaps(s) {
			return true
		}
	}
	return now < c.notBefore[s]
}

// Begin records that a command is being sent. Once a release has begun, the
// upstream accepts no new requests for the range.
func (c *Commands) Begin(command Command) {
	s := command.span()
	c.inProgress[s] = true
	if command.Release {
		c.grants.dropHold(s)
	}
}

// Complete records the result of a command that was sent at the time sent. token
// is the handover token of a range that the upstream released.
func (c *Commands) Complete(sent, now boottime.Time, command Command, result CommandResult, token string) {
	s := command.span()
	delete(c.inProgress, s)
	delete(c.notBefore, s)
	switch {
	case result == CommandNotApplied:
		c.notBefore[s] = now.Add(commandRetryDelay)
	case result == CommandUnknown:
		c.notBefore[s] = now.Add(commandRetryDelay)
		if !command.Release {
			c.grants.recordUnanswered(s, now.Add(arrivalMargin+withDrift(command.HoldFor)))
		}
	case command.Release:
		c.grants.recordCommandRelease(s, token)
	case result == CommandRefused:
		c.refused[s] = true
		c.notBefore[s] = now.Add(refusedGrantDelay)
		c.grants.dropHold(s)
	default:
		c.grants.recordConfirmed(s, sent.Add(command.HoldFor), now.Add(withDrift(command.HoldFor)))
	}
}

// MarkUncertain records that the upstream refused a request because it does not
// hold the key. The key's range becomes due to be granted again.
func (c *Commands) MarkUncertain(key uint16) {
	for granted := range c.grants.heldUntil {
		if granted.from <= key && key <= granted.to {
			delete(c.grants.heldUntil, granted)
		}
	}
}

// Refused reports whether the upstream refused the grant of a range because it has
// seen a higher generation. The range needs a new generation.
func (c *Commands) Refused(r *Range) bool {
	return c.refused[span{r.From, r.To, r.Generation}]
}

// Reset drops the state of commands to an earlier incarnation of the upstream.
// Their results no longer matter.
func (c *Commands) Reset() {
	clear(c.inProgress)
	clear(c.notBefore)
	clear(c.refused)
}

// Prune drops the state of ranges that the map no longer assigns to the holder and
// whose grants have ended.
func (c *Commands) Prune(now boottime.Time, m *Map, h Holder) {
	known := map[span]bool{}
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Holder == h {
			known[span{r.From, r.To, r.Generation}] = true
		}
	}
	for s := range c.refused {
		if !known[s] {
			delete(c.refused, s)
		}
	}
	for s := range c.notBefore {
		if !known[s] {
			delete(c.notBefore, s)
		}
	}
	c.grants.prune(now, known)
}
