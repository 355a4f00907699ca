package dev

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	mathrand "math/rand/v2"

	"burdockglade.dev/stores/standin"
)

// Bounds of the load tool. It shares a machine with what it measures.
const (
	maxLoadRate     = 50_000 // requests a second
	maxLoadWorkers  = 512
	maxLoadDuration = 15 * time.Minute
	maxLoadKeys     = 10_000_000
	maxLoadBody     = 1 << 20
	maxLoadTimeout  = time.Minute
	maxLoadTenants  = 10_000
	// maxLoadBacklog bounds the requests of an open loop that wait for a
	// worker; more are counted as not sent.
	maxLoadBacklog = 10_000
	// failurePause keeps a worker from using a whole core while connections
	// are refused.
	failurePause = 10 * time.Millisecond
)

// LoadCmd sends bounded load to routers and checks that each answer belongs to
// its request and is whole. It needs upstreams that answer as standin.Upstream
// does.
type LoadCmd struct {
	Targets     []string       `name:"target" help:"Base URL of a router's caller address, on a loopback IP; may be repeated." required:""`
	Service     string         `help:"Service to call." required:""`
	Rate        float64        `help:"Requests a second in an open loop with Poisson arrivals; 0 runs a closed loop." default:"0"`
	Workers     int            `help:"Requests in flight at most." default:"16"`
	Duration    time.Duration  `help:"Time for which requests are sent." default:"10s"`
	Keys        int            `help:"Number of keys." default:"1000"`
	Zipf        float64        `help:"Exponent of the Zipf distribution of keys, above 1; 0 draws evenly." default:"0"`
	Mix         map[string]int `help:"Weights of the methods." default:"GET=80;POST=15;PUT=4;DELETE=1"`
	Idempotency bool           `help:"Send an Idempotency-Key with each POST." default:"true" negatable:""`
	Repeat      float64        `help:"Share of the POSTs with an Idempotency-Key that are sent a second time, 0 to 1." default:"0"`
	Tenants     int            `help:"Number of tenants; 0 sends no Burdock-Tenant." default:"0"`
	BodyBytes   int            `help:"Size of the bodies of POST and PUT." default:"64"`
	Timeout     time.Duration  `help:"Request-Timeout and the client's own limit." default:"2s"`
	Seed        uint64         `help:"Seed of keys, methods and arrivals." default:"1"`
	JSON        bool           `help:"Print the report as JSON."`
	Out         io.Writer      `kong:"-"`
}

// ErrWrongAnswers means that answers did not belong to their requests.
var ErrWrongAnswers = errors.New("wrong answers")

// Run implements the command. It returns ErrWrongAnswers when an answer that
// looked whole was wrong.
func (c *LoadCmd) Run(ctx context.Context) error {
	report, err := c.Measure(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(output(c.Out)).Encode(report)
	} else {
		err = report.print(output(c.Out))
	}
	if err == nil && report.Wrong > 0 {
		err = fmt.Errorf("%w: %d", ErrWrongAnswers, report.Wrong)
	}
	return err
}

// Measure sends the load and returns what was counted. It ends early when ctx
// ends.
func (c *LoadCmd) Measure(ctx context.Context) (Report, error) {
	plan, err := c.plan()
	if err != nil {
		return Report{}, err
	}
	// Ends the sending; requests in flight go on to their own timeout.
	sending, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	begin := time.Now()
	var arrivals chan time.Time
	notSent := make(chan int64, 1)
	if c.Rate > 0 {
		arrivals = make(chan time.Time, maxLoadBacklog)
		go func() { notSent <- c.arrive(sending, arrivals) }()
	} else {
		notSent <- 0
	}
	tallies := make([]*tally, c.Workers)
	var workers sync.WaitGroup
	for i := range tallies {
		w := plan.worker(uint64(i))
		tallies[i] = w.tally
		workers.Go(func() { w.run(ctx, sending, arrivals) })
	}
	workers.Wait()
	took := time.Since(begin)
	plan.client.CloseIdleConnections()
	return merge(tallies, took, <-notSent), nil
}

// arrive sends the times of arrivals until ctx ends. It returns the number of
// arrivals that found the backlog full.
func (c *LoadCmd) arrive(ctx context.Context, arrivals chan<- time.Time) (notSent int64) {
	defer close(arrivals)
	draws := mathrand.New(mathrand.NewPCG(c.Seed, 1<<32))
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return notSent
		}
		for !next.After(time.Now()) {
			select {
			case arrivals <- next:
			default:
				notSent++
			}
			next = next.Add(time.Duration(draws.ExpFloat64() / c.Rate * float64(time.Second)))
		}
		timer.Reset(time.Until(next))
	}
}

// loadPlan is a checked LoadCmd.
type loadPlan struct {
	*LoadCmd
	client  *http.Client
	runID   string   // distinguishes idempotency keys of runs with one seed
	methods []string // each as often as its weight
}

const maxMixWeight = 1000

// methodsOfMix lists each method as often as its weight.
func methodsOfMix(mix map[string]int) ([]string, error) {
	var methods []string
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		weight := mix[method]
		if weight < 0 || weight > maxMixWeight {
			return nil, fmt.Errorf("weight %d of %s: want 0 to %d", weight, method, maxMixWeight)
		}
		for range weight {
			methods = append(methods, method)
		}
		delete(mix, method)
	}
	for method := range mix {
		return nil, fmt.Errorf("method %q: want GET, POST, PUT or DELETE", method)
	}
	if len(methods) == 0 {
		return nil, errors.New("the mix has no method")
	}
	return methods, nil
}

func (c *LoadCmd) plan() (*loadPlan, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	mix := make(map[string]int, len(c.Mix))
	for method, weight := range c.Mix {
		mix[strings.ToUpper(method)] += weight
	}
	methods, err := methodsOfMix(mix)
	if err != nil {
		return nil, err
	}
	return &loadPlan{
		LoadCmd: c,
		runID:   rand.Text()[:10],
		methods: methods,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: c.Workers,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

func (c *LoadCmd) check() error {
	if len(c.Targets) == 0 || c.Service == "" {
		return errors.New("want a target and a service")
	}
	for _, target := range c.Targets {
		u, err := url.Parse(target)
		if err != nil || u.Scheme != "http" {
			return fmt.Errorf("target %q: want http://ip:port", target)
		}
		if err := standin.CheckLoopback(u.Host); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	if c.Zipf != 0 && !(c.Zipf > 1) {
		return fmt.Errorf("exponent of the Zipf distribution %v: want 0 or more than 1", c.Zipf)
	}
	return errors.Join(
		within("rate", c.Rate, 0, maxLoadRate),
		within("workers", float64(c.Workers), 1, maxLoadWorkers),
		within("duration", c.Duration.Seconds(), 0.001, maxLoadDuration.Seconds()),
		within("keys", float64(c.Keys), 1, maxLoadKeys),
		within("repeat", c.Repeat, 0, 1),
		within("tenants", float64(c.Tenants), 0, maxLoadTenants),
		within("body bytes", float64(c.BodyBytes), 0, maxLoadBody),
		within("timeout", c.Timeout.Seconds(), 0.001, maxLoadTimeout.Seconds()),
	)
}

func within(what string, value, low, high float64) error {
	if value >= low && value <= high {
		return nil
	}
	return fmt.Errorf("%s %v: want %v to %v", what, value, low, high)
}

// loadWorker sends requests one after another.
type loadWorker struct {
	*loadPlan
	number uint64
	sent   int
	draws  *mathrand.Rand
	zipf   *mathrand.Zipf
	tally  *tally
}

func (p *loadPlan) worker(number uint64) *loadWorker {
	w := &loadWorker{
		loadPlan: p,
		number:   number,
		draws:    mathrand.New(mathrand.NewPCG(p.Seed, number)),
		tally:    newTally(),
	}
	if p.Zipf > 0 {
		w.zipf = mathrand.NewZipf(w.draws, p.Zipf, 1, uint64(p.Keys-1))
	}
	return w
}

// run sends requests until sending ends. With arrivals, it sends one for each
// and counts the latency from the arrival on. Arrivals that still wait when
// sending ends are counted as not sent.
func (w *loadWorker) run(ctx, sending context.Context, arrivals <-chan time.Time) {
	if arrivals == nil {
		for sending.Err() == nil {
			w.request(ctx, time.Now())
		}
		return
	}
	for arrival := range arrivals {
		if sending.Err() != nil {
			w.tally.notSent++
			continue
		}
		w.request(ctx, arrival)
	}
}

// request sends one request, and for a share of the POSTs the same again.
func (w *loadWorker) request(ctx context.Context, arrival time.Time) {
	r := w.next()
	first := w.send(ctx, r)
	w.tally.add(first, time.Since(arrival))
	if first.kind == verdictNoAnswer {
		pause(ctx, failurePause)
	}
	if r.idempotencyKey == "" || w.draws.Float64() >= w.Repeat {
		return
	}
	begin := time.Now()
	second := w.send(ctx, r)
	w.tally.repeats++
	if first.kind == verdictOK && second.kind == verdictOK && first.body != second.body {
		second = verdict{kind: verdictWrong, detail: "a repeated request got another answer"}
	}
	w.tally.add(second, time.Since(begin))
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next draws the next request.
func (w *loadWorker) next() loadRequest {
	w.sent++
	key := uint64(w.draws.IntN(w.Keys))
	if w.zipf != nil {
		key = w.zipf.Uint64()
	}
	id := w.runID + "-" + strconv.FormatUint(w.number, 36) + "-" + strconv.Itoa(w.sent)
	r := loadRequest{
		method:  w.methods[w.draws.IntN(len(w.methods))],
		service: w.Service,
		key:     "key-" + strconv.FormatUint(key, 10),
		query:   "n=" + id,
	}
	if r.method == http.MethodPost || r.method == http.MethodPut {
		r.body = []byte(standin.Padding(r.method, id, w.BodyBytes))
	}
	if r.method == http.MethodPost && w.Idempotency {
		r.idempotencyKey = id
	}
	return r
}

// send sends a request and judges its answer.
func (w *loadWorker) send(ctx context.Context, r loadRequest) verdict {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	target := w.Targets[w.draws.IntN(len(w.Targets))]
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(target, "/")+r.uri(), strings.NewReader(string(r.body)))
	if err != nil {
		return verdict{kind: verdictNoAnswer, detail: "request not made"}
	}
	// Keeps net/http from sending a request again by itself.
	req.GetBody = nil
	req.Header.Set("Request-Timeout", strconv.FormatInt(w.Timeout.Milliseconds(), 10))
	if r.idempotencyKey != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, r.idempotencyKey)
	}
	if w.Tenants > 0 {
		req.Header.Set("Burdock-Tenant", "tenant-"+strconv.Itoa(w.draws.IntN(w.Tenants)))
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return verdict{kind: verdictNoAnswer, detail: transportDetail(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadAnswer+1))
	if err != nil {
		return verdict{kind: verdictCut, detail: transportDetail(err)}
	}
	return judge(r, resp.StatusCode, resp.Header, body)
}
