package quarantine

import "time"

// Repeat says whether a request that was lost at an upstream may be sent to another one.
type Repeat int

const (
	// RepeatNow: nothing speaks against it.
	RepeatNow Repeat = iota
	// RepeatLater: the request may have crashed the upstream. It may be sent again if that
	// is disproved within RepeatWait.
	RepeatLater
	// RepeatNever: it is refused, or has too many crashes for a disproof to be expected.
	RepeatNever
)

// repeatWaitDivisor is the divisor of the time left that bounds that wait as well.
const repeatWaitDivisor = 4

// RepeatWait returns how long a lost request waits at most, by the setting and by the time
// that is left until its deadline.
func RepeatWait(setting, left time.Duration) time.Duration {
	return max(min(left/repeatWaitDivisor, setting), 0)
}

// AfterLoss decides on a request that was lost at an upstream. It allows nothing that
// AtEntry does not.
func (s *Set) AfterLoss(now time.Time, r Request, keyed bool) Repeat {
	switch d := s.AtEntry(now, r, keyed); {
	case d.Verdict == Free:
		return RepeatNow
	case d.Verdict == Alone && d.Crashes < quarantineAfter:
		return RepeatLater
	}
	return RepeatNever
}
