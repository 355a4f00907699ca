// Package locality chooses the host for requests whose responses are large. Traffic between
// zones and regions is billed by volume and takes bandwidth of two links, so that a large
// response travels only if a distant host has capacity that the near ones lack. The package
// has no clock, network or goroutine.
package locality

// Distance is the distance between the host of a caller and that of an upstream.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String returns the name of the distance in metrics and logs.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	}
	return "other_region"
}

// spareUtilization is the utilization of slots and link up to which a host has capacity for
// distant callers. Above it, its own zone is about to need the rest.
const spareUtilization = 0.7

// Place is the place of a host.
type Place struct {
	Zone, Region string
}

// DistanceTo returns the distance between two places.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p.Zone == other.Zone:
		return SameZone
	case p.Region == other.Region:
		return SameRegion
	}
	return OtherRegion
}

// Candidate is a host that accepts requests of the service.
type Candidate struct {
	Distance Distance
	// Utilization is the higher one of the shares of slots and link that are taken.
	Utilization float64
	// Cost ranks candidates at the same distance; the lowest is chosen.
	Cost float64
	// Healthy is false for hosts that do not respond or whose upstream mostly fails.
	Healthy bool
	// Tried is true if the request was offered to the host before.
	Tried bool
}

// HasSpare reports whether the host has capacity for distant callers.
func (c Candidate) HasSpare() bool {
	return c.Utilization <= spareUtilization
}

// Choose returns the index of the host to which a request with a large response is offered
// next, or -1 if there is none. Hosts at the distance of the nearest healthy one are chosen
// first, whatever their load, because they refuse at once what they cannot send in time.
// Those further away are chosen only if they have spare capacity. Without any healthy host,
// the cheapest one is chosen.
func Choose(candidates []Candidate) int {
	nearest, healthy := nearestHealthy(candidates)
	best := -1
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		if healthy && (!c.Healthy || (c.Distance > nearest && !c.HasSpare())) {
			continue
		}
		if best < 0 || c.before(candidates[best], healthy) {
			best = i
		}
	}
	return best
}

// nearestHealthy returns the distance of the nearest healthy host, and whether there is one.
func nearestHealthy(candidates []Candidate) (nearest Distance, found bool) {
	for _, c := range candidates {
		if c.Healthy && (!found || c.Distance < nearest) {
			nearest, found = c.Distance, true
		}
	}
	return nearest, found
}

// before reports whether the host is chosen rather than the other one.
func (c Candidate) before(other Candidate, byDistance bool) bool {
	if byDistance && c.Distance != other.Distance {
		return c.Distance < other.Distance
	}
	return c.Cost < other.Cost
}
