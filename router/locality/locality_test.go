package locality

import "testing"

func TestDistance(t *testing.T) {
	here := Place{Zone: "a1", Region: "a"}
	for other, want := range map[Place]Distance{
		{Zone: "a1", Region: "a"}: SameZone,
		{Zone: "a2", Region: "a"}: SameRegion,
		{Zone: "b1", Region: "b"}: OtherRegion,
	} {
		if got := here.DistanceTo(other); got != want {
			t.Errorf("distance to %v is %d, want %d", other, got, want)
		}
	}
}

func TestChoose(t *testing.T) {
	full, idle := 1.4, 0.2
	near := Candidate{Distance: SameZone, Utilization: full, Cost: full, Healthy: true}
	region := Candidate{Distance: SameRegion, Utilization: idle, Cost: idle, Healthy: true}
	far := Candidate{Distance: OtherRegion, Utilization: idle, Cost: idle, Healthy: true}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	tried := func(c *Candidate) { c.Tried = true }
	broken := func(c *Candidate) { c.Healthy = false }
	busy := func(c *Candidate) { c.Utilization = full }
	for name, test := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"near host before idle distant ones":             {[]Candidate{far, region, near}, 2},
		"idle host of the region after the near one":     {[]Candidate{far, region, with(near, tried)}, 1},
		"other region last":                              {[]Candidate{far, with(region, tried), with(near, tried)}, 0},
		"full links everywhere, refused after one offer": {[]Candidate{with(far, busy), with(region, busy), with(near, tried)}, -1},
		"no host in the zone, full region is offered":    {[]Candidate{far, with(region, busy)}, 1},
		"broken near host is left out":                   {[]Candidate{far, with(near, broken)}, 0},
		"only broken hosts":                              {[]Candidate{with(far, broken), with(near, func(c *Candidate) { broken(c); c.Cost = 0 })}, 1},
		"all tried":                                      {[]Candidate{with(near, tried)}, -1},
		"none":                                           {nil, -1},
	} {
		if got := Choose(test.candidates); got != test.want {
			t.Errorf("%s: candidate %d, want %d", name, got, test.want)
		}
	}
}

// Guards against large responses that cross zones while the links of all zones are full: a
// load of twice the capacity of each zone must be refused near its callers.
func TestOverloadOfAllZonesStaysInThem(t *testing.T) {
	const zones, perZone = 6, 14.0
	sent := [zones]float64{}
	crossed, served := 0, 0
	for i := range 6 * 28 {
		home := i % zones
		tried := [zones]bool{}
		for {
			candidates := make([]Candidate, zones)
			for z := range zones {
				distance := OtherRegion
				if z == home {
					distance = SameZone
				}
				candidates[z] = Candidate{Distance: distance, Utilization: sent[z] / perZone, Cost: sent[z], Healthy: true, Tried: tried[z]}
			}
			z := Choose(candidates)
			if z < 0 {
				break
			}
			if tried[z] = true; sent[z] < perZone {
				sent[z]++
				served++
				if z != home {
					crossed++
				}
				break
			}
		}
	}
	if served != zones*int(perZone) || crossed != 0 {
		t.Errorf("%d responses were sent, %d of them to other zones, want %d and none", served, crossed, zones*int(perZone))
	}
}

// Guards against refusals in a busy zone while another one has idle links.
func TestBusyZoneUsesIdleOnes(t *testing.T) {
	home := Candidate{Distance: SameZone, Utilization: 1, Cost: 1, Healthy: true, Tried: true}
	other := Candidate{Distance: SameRegion, Utilization: 0.3, Cost: 0.5, Healthy: true}
	if got := Choose([]Candidate{home, other}); got != 1 {
		t.Errorf("candidate %d, want the idle one", got)
	}
}
