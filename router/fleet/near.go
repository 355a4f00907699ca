package fleet

import (
	"slices"
	"time"

	"burdockglade.dev/router/locality"
)

const (
	// largeLoadHalfLife is the age at which a reported load counts half for requests with
	// large responses. A full link stays full for longer than slots stay busy, and such
	// requests are too rare for each host to hear of the load in between.
	largeLoadHalfLife = 2 * time.Second
	// unhealthyErrorRate is the error rate from which an upstream is left out as long as
	// another one responds.
	unhealthyErrorRate = 0.5
)

// NearChoice is the host for a request with a large response.
type NearChoice struct {
	// Host is nil if no host should take the request: the near ones were tried and those
	// further away have no spare capacity.
	Host *Host
	// Distance is that of the host, and HasSpare is true if it has capacity left.
	Distance locality.Distance
	HasSpare bool
}

// ChooseNear returns the host of the service for a request whose response is large. allowed
// and exclude are those of ChooseAllowed.
func (d *Directory) ChooseNear(now time.Time, service string, exclude []*Host, allowed func(Member) bool) NearChoice {
	return d.chooseNear(now, service, exclude, allowed, randomJitter)
}

// ChooseNearest is ChooseNear without the random cost that distinguishes equal hosts.
func (d *Directory) ChooseNearest(now time.Time, service string, exclude []*Host, allowed func(Member) bool) NearChoice {
	return d.chooseNear(now, service, exclude, allowed, noJitter)
}

func (d *Directory) chooseNear(now time.Time, service string, exclude []*Host, allowed func(Member) bool, jitter func() float64) NearChoice {
	views := d.eligible(now, service, nil, allowed)
	// A large response would keep a stopping router, and the link of its host, busy for long.
	views = slices.DeleteFunc(views, func(v view) bool { return v.member.State == Stopping })
	mean := meanSlowness(views)
	here := locality.Place{Zone: d.zone, Region: d.region}
	candidates := make([]locality.Candidate, 0, len(views))
	for _, v := range views {
		candidates = append(candidates, locality.Candidate{
			Distance:    here.DistanceTo(locality.Place{Zone: v.member.Zone, Region: v.member.Region}),
			Utilization: v.largeUtilization, Cost: d.cost(v, mean) + jitter(),
			Healthy: !v.unavailable && v.errorRate < unhealthyErrorRate,
			Tried:   slices.Contains(exclude, v.host),
		})
	}
	i := locality.Choose(candidates)
	if i < 0 {
		return NearChoice{}
	}
	return NearChoice{Host: views[i].host, Distance: candidates[i].Distance, HasSpare: candidates[i].HasSpare()}
}
