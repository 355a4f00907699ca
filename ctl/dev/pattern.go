package dev

import (
	"errors"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"burdockglade.dev/stores/standin"
)

// Limits of the load patterns.
const (
	maxLargeBytes  = 8 << 20
	maxSlowRate    = 100 << 20 // bytes a second
	maxRetries     = 10
	maxBurstFactor = 20
	minSlowRate    = 1 << 10
	minLargeRatio  = 3 // of the maximum size of large responses to the mean; below, capping would change the mean by more than 5%
	// slowReadBuffer is the size of the receive buffer of slow callers' connections.
	// With the default of several megabytes, the kernel would take whole responses.
	slowReadBuffer = 16 << 10
)

// Patterns are the load patterns of LoadCmd. Each request stands for one caller, so that
// a share of the callers is a share of the requests. Zero turns a pattern off, and stands
// for the default of its numbers.
type Patterns struct {
	Pattern          string        `help:"Preset that fills the pattern options that are not given: exports or bookings. It replaces --mix." enum:",exports,bookings" default:""`
	InTime           time.Duration `help:"Time within which a response counts as in time; 0 is 500ms, or the preset's time for each kind of request." default:"0s"`
	LargeShare       float64       `help:"Share of the GETs that ask for a large response, 0 to 1." default:"0"`
	LargeMean        int           `help:"Mean size of large responses in bytes, of an exponential distribution; 0 is 90000." default:"0"`
	LargeMax         int           `help:"Maximum size of large responses in bytes, at least 3 times the mean; 0 is 6 times the mean." default:"0"`
	SlowShare        float64       `help:"Share of the callers that read slowly, 0 to 1." default:"0"`
	SlowRate         int           `help:"Bytes a second that slow callers read; 0 is 131072." default:"0"`
	Retries          int           `help:"Number of times that callers return after a refusal that did not run, at the time in Retry-After." default:"0"`
	ImpatientShare   float64       `help:"Share of the callers that ignore Retry-After and retry at once, 0 to 1." default:"0"`
	ImpatientRetries int           `help:"Number of retries of these callers; 0 is 2, so that they send up to three times as often." default:"0"`
	LeaveShare       float64       `help:"Share of the callers that disconnect before the response, 0 to 1." default:"0"`
	LeaveAfter       time.Duration `help:"Time after which these callers disconnect; 0 is 1ms, which is before most responses." default:"0s"`
	HotShare         float64       `help:"Share of the requests that go to the hot keys while these are hot, 0 to 1." default:"0"`
	HotKeys          int           `help:"Number of hot keys; 0 is 1." default:"0"`
	HotFrom          time.Duration `help:"Time from the start until the keys become hot; 0 with a preset is a third of --duration." default:"0s"`
	HotFor           time.Duration `help:"Time for which the keys are hot; 0 is until the end, or with a preset a quarter of --duration." default:"0s"`
	BurstFactor      float64       `help:"Factor on --rate during the burst; 0 is no burst." default:"0"`
	BurstFrom        time.Duration `help:"Time from the start until the burst; 0 with a preset is two thirds of --duration." default:"0s"`
	BurstFor         time.Duration `help:"Length of the burst; 0 is until the end, or with a preset a tenth of --duration." default:"0s"`
	CallService      string        `help:"Service that the runs of the preset bookings call." default:""`
}

// loadKind is a kind of request, for which the report has a line of its own.
type loadKind struct {
	name   string
	method string
	weight int
	inTime time.Duration
	// large is true if the kind asks for large responses.
	large bool
	// calls is the number of calls that a run makes.
	calls int
}

// The kinds of the presets. Their weights are percentages.
var (
	exportKinds = []loadKind{
		{name: "search", method: http.MethodGet, weight: 65, inTime: 300 * time.Millisecond},
		{name: "export", method: http.MethodGet, weight: 20, inTime: 2 * time.Second, large: true},
		{name: "confirm", method: http.MethodPost, weight: 15, inTime: 500 * time.Millisecond},
	}
	bookingKinds = []loadKind{
		{name: "lookup", method: http.MethodGet, weight: 60, inTime: 300 * time.Millisecond},
		{name: "booking", method: http.MethodPost, weight: 25, inTime: time.Second, calls: 1},
		{name: "invoice", method: http.MethodPost, weight: 15, inTime: 2 * time.Second, calls: 3},
	}
)

// presets are the options that --pattern fills in.
var presets = map[string]Patterns{
	"exports":  {SlowShare: 0.05, Retries: 1, ImpatientShare: 0.2, LeaveShare: 0.02, HotShare: 0.16, HotKeys: 1, BurstFactor: 2},
	"bookings": {Retries: 1, ImpatientShare: 0.3, LeaveShare: 0.02, HotShare: 0.35, HotKeys: 60, BurstFactor: 3},
}

// setZero sets the field to value if it is zero.
func setZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// complete fills in the values of the preset and the defaults, for a load with the given
// duration. Closed loops have no burst from a preset.
func (p *Patterns) complete(duration time.Duration, openLoop bool) {
	if preset, ok := presets[p.Pattern]; ok {
		if openLoop {
			setZero(&p.BurstFactor, preset.BurstFactor)
		}
		setZero(&p.SlowShare, preset.SlowShare)
		setZero(&p.Retries, preset.Retries)
		setZero(&p.ImpatientShare, preset.ImpatientShare)
		setZero(&p.LeaveShare, preset.LeaveShare)
		setZero(&p.HotShare, preset.HotShare)
		setZero(&p.HotKeys, preset.HotKeys)
		setZero(&p.HotFrom, duration/3)
		setZero(&p.HotFor, duration/4)
		setZero(&p.BurstFrom, duration*2/3)
		setZero(&p.BurstFor, duration/10)
	} else {
		setZero(&p.InTime, 500*time.Millisecond)
	}
	setZero(&p.LargeMean, 90_000)
	setZero(&p.LargeMax, 6*p.LargeMean)
	setZero(&p.SlowRate, 128<<10)
	setZero(&p.ImpatientRetries, 2)
	setZero(&p.LeaveAfter, time.Millisecond)
	setZero(&p.HotKeys, 1)
	setZero(&p.HotFor, duration)
	setZero(&p.BurstFor, duration)
}

// check validates the completed options of a load with the given rate and number of keys.
func (p *Patterns) check(rate float64, keys int) error {
	if _, ok := presets[p.Pattern]; p.Pattern != "" && !ok {
		return fmt.Errorf("pattern %q: want exports or bookings", p.Pattern)
	}
	if p.Pattern == "bookings" && p.CallService == "" {
		return errors.New("the pattern bookings needs --call-service")
	}
	if p.Pattern != "bookings" && p.CallService != "" {
		return errors.New("--call-service applies to the pattern bookings only")
	}
	if p.BurstFactor > 0 && rate == 0 {
		return errors.New("a burst needs --rate")
	}
	maxSeconds := maxLoadDuration.Seconds()
	return errors.Join(
		checkRange("in-time limit", p.InTime.Seconds(), 0, maxLoadTimeout.Seconds()),
		checkRange("large share", p.LargeShare, 0, 1),
		checkRange("large mean", float64(p.LargeMean), 1, maxLargeBytes),
		checkRange("large maximum", float64(p.LargeMax), minLargeRatio*float64(p.LargeMean), maxLargeBytes),
		checkRange("slow share", p.SlowShare, 0, 1),
		checkRange("slow rate", float64(p.SlowRate), minSlowRate, maxSlowRate),
		checkRange("retries", float64(p.Retries), 0, maxRetries),
		checkRange("impatient share", p.ImpatientShare, 0, 1),
		checkRange("impatient retries", float64(p.ImpatientRetries), 1, maxRetries),
		checkRange("leave share", p.LeaveShare, 0, 1),
		checkRange("leave after", p.LeaveAfter.Seconds(), 0, maxLoadTimeout.Seconds()),
		checkRange("hot share", p.HotShare, 0, 1),
		checkRange("hot keys", float64(p.HotKeys), 1, float64(keys)),
		checkRange("hot from", p.HotFrom.Seconds(), 0, maxSeconds),
		checkRange("hot for", p.HotFor.Seconds(), 0, maxSeconds),
		checkRange("burst factor", p.BurstFactor, 0, maxBurstFactor),
		checkRange("burst from", p.BurstFrom.Seconds(), 0, maxSeconds),
		checkRange("burst for", p.BurstFor.Seconds(), 0, maxSeconds),
		checkRange("rate in the burst", rate*max(p.BurstFactor, 1), 0, maxLoadRate),
	)
}

// kinds returns the kinds of requests of a load whose methods have the given weights.
// Large responses of a mix without a preset are the kind largeKind, which has no weight:
// it replaces a share of the GETs.
func (p *Patterns) kinds(mix map[string]int) ([]loadKind, error) {
	switch p.Pattern {
	case "exports":
		return p.withInTime(exportKinds), nil
	case "bookings":
		return p.withInTime(bookingKinds), nil
	}
	kinds, err := kindsOfMix(mix)
	if p.LargeShare > 0 {
		kinds = append(kinds, loadKind{name: largeKind, method: http.MethodGet, large: true})
	}
	return p.withInTime(kinds), err
}

// largeKind is the name of the kind of GETs with large responses.
const largeKind = "GET large"

// withInTime returns a copy of the kinds with the time within which responses are in time,
// if one is given.
func (p *Patterns) withInTime(kinds []loadKind) []loadKind {
	kinds = slices.Clone(kinds)
	for i := range kinds {
		if p.InTime > 0 {
			kinds[i].inTime = p.InTime
		}
	}
	return kinds
}

// factorAt returns the factor on the rate at a time from the start of the load.
func (p *Patterns) factorAt(elapsed time.Duration) float64 {
	if p.BurstFactor > 0 && elapsed >= p.BurstFrom && elapsed-p.BurstFrom < p.BurstFor {
		return p.BurstFactor
	}
	return 1
}

// isHot draws whether a request at a time from the start of the load is for a hot key.
func (p *Patterns) isHot(elapsed time.Duration, random *mathrand.Rand) bool {
	return p.HotShare > 0 && elapsed >= p.HotFrom && elapsed-p.HotFrom < p.HotFor && random.Float64() < p.HotShare
}

// largeBytes draws the size of a large response. Sizes above the maximum become the
// maximum, which lowers the mean by 0.25% if the maximum is six times the mean.
func (p *Patterns) largeBytes(random *mathrand.Rand) int {
	return int(math.Min(random.ExpFloat64()*float64(p.LargeMean), float64(p.LargeMax)))
}

// caller is how the caller of one request behaves.
type caller struct {
	slow bool
	// impatient callers retry at once.
	impatient bool
	retries   int
	// leaveAfter is the time after which the caller disconnects; 0 is never.
	leaveAfter time.Duration
}

// drawCaller draws the behaviour of a caller. It takes no draws for patterns that are
// off, so that a seed gives the same load as before these were added.
func (p *Patterns) drawCaller(random *mathrand.Rand) caller {
	is := func(share float64) bool { return share > 0 && random.Float64() < share }
	c := caller{slow: is(p.SlowShare), impatient: is(p.ImpatientShare), retries: p.Retries}
	if c.impatient {
		c.retries = p.ImpatientRetries
	}
	if is(p.LeaveShare) {
		c.leaveAfter = p.LeaveAfter
	}
	return c
}

// query returns the parameters that tell a stand-in upstream how to respond to a request
// of the kind, and the size of a large response. called draws the keys of its calls.
func (p *Patterns) query(k *loadKind, random *mathrand.Rand, called func() string) (text string, answerBytes int) {
	if k.large {
		answerBytes = p.largeBytes(random)
		text = "&" + standin.QueryAnswerBytes + "=" + strconv.Itoa(answerBytes)
	}
	for range k.calls {
		text += "&" + standin.QueryCall + "=" + url.QueryEscape(p.CallService+"/"+called())
	}
	return text, answerBytes
}
