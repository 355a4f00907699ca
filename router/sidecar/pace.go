package sidecar

import (
	"math"
	"strconv"
)

// paceField is the field of a response between routers that says how long work takes at the
// upstream, in percent of the usual time. It is absent if that is 100 or not known.
const paceField = "Burdock-Pace"

// maxPacePercent is the highest pace that another router may report.
const maxPacePercent = 100_000

// percent returns a factor in whole percent, or 0 if that is 100.
func percent(factor float64) int {
	if p := int(math.Round(factor * 100)); p != 100 {
		return p
	}
	return 0
}

// decodePace returns 0 if the value is not a pace.
func decodePace(value string) int {
	p, err := strconv.Atoi(value)
	if err != nil || p <= 0 || p > maxPacePercent {
		return 0
	}
	return p
}
