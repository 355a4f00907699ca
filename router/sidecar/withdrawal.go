package sidecar

import (
	"slices"
	"time"

	"burdockglade.dev/router/fleet"
)

const (
	// maxWithdrawals bounds the notices that are kept. The newest ones stay.
	maxWithdrawals = 16
	// withdrawalMemory is the time for which a notice is kept: longer than a heartbeat can
	// be late and than an upstream serves after its notice.
	withdrawalMemory = 10 * time.Minute
	// maxClockStep is how far the time of day may have stepped back between the start of an
	// incarnation and its notice.
	maxClockStep = 5 * time.Second
)

// Withdrawal is the notice of an incarnation of the upstream that it leaves and will send
// no more heartbeats.
type Withdrawal struct {
	Instance string
	// Started is the start of the incarnation in Unix milliseconds, or 0 if the notice does
	// not tell it.
	Started int64
}

// concerns reports whether the notice can be about the incarnation.
func (w Withdrawal) concerns(of fleet.Incarnation) bool {
	return w.Instance == of.Instance && (w.Started == 0 || w.Started == of.Started)
}

// withdrawals are the notices that a router has acknowledged, oldest first. Without them a
// late heartbeat of an incarnation that leaves would be the first one of a new upstream.
type withdrawals []acceptedWithdrawal

type acceptedWithdrawal struct {
	Withdrawal
	at time.Time
	// earlier is true if an earlier process of this router acknowledged the notice. at is
	// the time then at which this process learned of it, and the upstream may go on sending
	// heartbeats.
	earlier bool
}

// add keeps a notice. The first one of an incarnation counts.
func (ws *withdrawals) add(w acceptedWithdrawal) {
	kept := slices.DeleteFunc(*ws, func(k acceptedWithdrawal) bool { return w.at.Sub(k.at) > withdrawalMemory })
	if !slices.ContainsFunc(kept, func(k acceptedWithdrawal) bool { return k.Withdrawal == w.Withdrawal && k.earlier == w.earlier }) {
		kept = append(kept, w)
	}
	*ws = kept[max(len(kept)-maxWithdrawals, 0):]
}

// apply records the notices that the incarnation leaves, if there are any. A notice that does
// not tell the start is about an incarnation that started before it, and about the first such
// one only; a later one under the same id is another.
func (ws withdrawals) apply(now time.Time, s *upstreamState) {
	of := s.incarnation()
	for i := range ws {
		w := &ws[i]
		startedBefore := of.Started <= w.at.Add(maxClockStep).UnixMilli()
		if !w.concerns(of) || (w.Started == 0 && !startedBefore) || now.Sub(w.at) > withdrawalMemory {
			continue
		}
		w.Started = of.Started
		if w.earlier {
			s.leaveEarlier(w.at)
			continue
		}
		s.leave(w.at)
		s.withdrawn = true
	}
}
