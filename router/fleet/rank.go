package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion is the reason for which a host may not be chosen.
type Exclusion string

// The exclusions.
const (
	// Eligible: the host may be chosen.
	Eligible Exclusion = ""
	// ExcludedNotAllowed: the caller of the directory does not allow the host.
	ExcludedNotAllowed Exclusion = "not_allowed"
	// ExcludedLeaving: the upstream leaves.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedStopping: the router of the host stops.
	ExcludedStopping Exclusion = "stopping"
	// ExcludedTried: the caller of the directory has excluded the host.
	ExcludedTried Exclusion = "tried"
	// ExcludedEvacuated: the zone of the host is evacuated.
	ExcludedEvacuated Exclusion = "evacuated"
)

// CostJitter bounds the random cost that Choose adds to each host.
const CostJitter = costJitter

// Candidate is a host with the figures that rank or exclude it.
type Candidate struct {
	Host *Host
	// Member is the member data, with the state that follows from notices of leaving.
	Member   Member
	Excluded Exclusion
	// Cost is the cost without jitter. It is valid if Excluded is Eligible.
	Cost float64
	// Utilization, Slowness and ErrorRate are the terms of the cost that are measured.
	Utilization, Slowness, ErrorRate float64
	// Load is the last reported load, LoadAge its age, or -1 if there was no report.
	Load    Load
	LoadAge time.Duration
	// Slots is the number of slots as Host.Slots returns it.
	Slots int
	// InFlight is the number of requests from this host that are in progress there.
	InFlight int
	// Unavailable is true if the host is unreachable or silent; Silent if it is silent.
	Unavailable, Silent bool
	// Probe is true if the next request that only this host can serve is sent to it
	// although it does not respond.
	Probe bool
	Cold  bool
}

// Rank returns all hosts of the service: first those that may be chosen, by ascending cost,
// then the others by name. It changes nothing, and draws no random number. allowed is as in
// ChooseAllowed.
func (d *Directory) Rank(now time.Time, service string, allowed func(Member) bool) []Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var eligible []view
	var candidates []Candidate
	for _, h := range d.byService[service] {
		v := h.view(now)
		c := h.candidate(now, v)
		c.Member = d.current(now, v.member)
		if c.Excluded = d.exclusion(now, &v, nil, allowed); c.Excluded == Eligible {
			eligible = append(eligible, v)
		}
		candidates = append(candidates, c)
	}
	mean := meanSlowness(eligible)
	for i, next := 0, 0; i < len(candidates); i++ {
		if candidates[i].Excluded == Eligible {
			candidates[i].Cost = d.cost(eligible[next], mean)
			next++
		}
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		excludedA, excludedB := a.Excluded != Eligible, b.Excluded != Eligible
		if excludedA != excludedB {
			if excludedA {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Member.Host, b.Member.Host))
	})
	return candidates
}

// ChooseLowest is ChooseAllowed without jitter: it draws no random number.
func (d *Directory) ChooseLowest(now time.Time, service string, exclude []*Host, allowed func(Member) bool) *Host {
	return d.cheapest(d.eligible(now, service, exclude, allowed), noJitter)
}

// Figures returns the figures of the host. Excluded and Cost are not set.
func (h *Host) Figures(now time.Time) Candidate {
	v := h.view(now)
	c := h.candidate(now, v)
	c.Member = v.member
	return c
}

// candidate returns the host with the figures of the view.
func (h *Host) candidate(now time.Time, v view) Candidate {
	c := Candidate{
		Host: h, Utilization: v.utilization, Slowness: v.slowness, ErrorRate: v.errorRate,
		Unavailable: v.unavailable, Cold: v.member.Cold(now), Slots: h.Slots(), LoadAge: -1,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.Load, c.InFlight, c.Silent = h.load, h.inFlight, h.silent(now)
	if !h.loadReportedAt.IsZero() {
		c.LoadAge = now.Sub(h.loadReportedAt)
	}
	_, c.Probe = h.allows(now)
	return c
}

func noJitter() float64 {
	return 0
}
