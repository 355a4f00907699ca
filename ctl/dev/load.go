package dev

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	mathrand "math/rand/v2"

	"burdockglade.dev/stores/standin"
)

// Limits of the load tool, which runs on the same machine as the routers that it
// measures.
const (
	maxLoadRate     = 50_000 // requests a second
	maxLoadWorkers  = 512
	maxLoadDuration = 15 * time.Minute
	maxLoadKeys     = 10_000_000
	maxLoadBody     = 1 << 20
	maxLoadTimeout  = time.Minute
	maxLoadTenants  = 10_000
	// maxLoadBacklog is the maximum number of arrivals of an open loop that wait for
	// a worker; further arrivals are counted as not sent.
	maxLoadBacklog = 10_000
	// failureDelay keeps a worker from using a whole core while connections are
	// refused.
	failureDelay = 10 * time.Millisecond
)

// LoadCmd sends limited load to routers and checks that each response is complete and
// belongs to its request. It needs upstreams that respond like standin.Upstream.
type LoadCmd struct {
	Targets     []string       `name:"target" help:"Base URL of a router's caller address, on a loopback IP; may be repeated." required:""`
	Service     string         `help:"Service to call." required:""`
	Rate        float64        `help:"Requests a second in an open loop with Poisson arrivals; 0 runs a closed loop." default:"0"`
	Workers     int            `help:"Maximum number of requests in flight." default:"16"`
	Duration    time.Duration  `help:"Time for which requests are sent." default:"10s"`
	Keys        int            `help:"Number of keys." default:"1000"`
	Zipf        float64        `help:"Exponent of the Zipf distribution of keys, above 1; 0 draws keys uniformly." default:"0"`
	Mix         map[string]int `help:"Weights of the methods." default:"GET=80;POST=15;PUT=4;DELETE=1"`
	Idempotency bool           `help:"Send an Idempotency-Key with each POST." default:"true" negatable:""`
	Repeat      float64        `help:"Share of the POSTs with an Idempotency-Key that are sent a second time, 0 to 1." default:"0"`
	Tenants     int            `help:"Number of tenants; 0 sends no Burdock-Tenant." default:"0"`
	BodyBytes   int            `help:"Size of the bodies of POST and PUT." default:"64"`
	Timeout     time.Duration  `help:"Request-Timeout and the client's own limit." default:"2s"`
	Seed        uint64         `help:"Seed of keys, methods and arrivals." default:"1"`
	JSON        bool           `help:"Print the report as JSON."`
	Patterns    `embed:""`
	Out         io.Writer `kong:"-"`
}

// ErrWrongResponses is returned if responses did not belong to their requests.
var ErrWrongResponses = errors.New("wrong responses")

// Run implements the command. It returns ErrWrongResponses if a response that looked
// complete was wrong.
func (c *LoadCmd) Run(ctx context.Context) error {
	report, err := c.Measure(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(outputOrStdout(c.Out)).Encode(report)
	} else {
		err = report.print(outputOrStdout(c.Out))
	}
	if err == nil && report.Wrong > 0 {
		err = fmt.Errorf("%w: %d", ErrWrongResponses, report.Wrong)
	}
	return err
}

// Measure sends the load and returns the report. It ends early when ctx is done.
func (c *LoadCmd) Measure(ctx context.Context) (Report, error) {
	plan, err := c.plan()
	if err != nil {
		return Report{}, err
	}
	// When sending is done no new requests are sent; those in flight continue until
	// their own timeout.
	sending, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	begin := time.Now()
	plan.begin = begin
	var arrivals chan time.Time
	notSent := make(chan int64, 1)
	if c.Rate > 0 {
		arrivals = make(chan time.Time, maxLoadBacklog)
		go func() { notSent <- plan.generateArrivals(sending, arrivals) }()
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
	plan.slowClient.CloseIdleConnections()
	return merge(plan.kinds, tallies, took, <-notSent), nil
}

// generateArrivals sends the times of Poisson arrivals until ctx is done. It returns
// the number of arrivals that were dropped because the backlog was full.
func (p *loadPlan) generateArrivals(ctx context.Context, arrivals chan<- time.Time) (notSent int64) {
	defer close(arrivals)
	random := mathrand.New(mathrand.NewPCG(p.Seed, 1<<32))
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
			rate := p.Rate * p.factorAt(next.Sub(p.begin))
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		timer.Reset(time.Until(next))
	}
}

// loadPlan is a validated LoadCmd with the state that its workers share.
type loadPlan struct {
	*LoadCmd
	begin      time.Time
	client     *http.Client
	slowClient *http.Client // for callers that read slowly
	runID      string       // distinguishes the idempotency keys of runs with the same seed
	kinds      []loadKind
	// draws has the index of each kind in kinds, repeated according to its weight.
	draws []int
	// large is the index of largeKind in kinds, or -1.
	large int
}

const maxMixWeight = 1000

// kindsOfMix returns a kind for each method of the mix. It removes the methods from mix.
func kindsOfMix(mix map[string]int) ([]loadKind, error) {
	var kinds []loadKind
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		weight := mix[method]
		if weight < 0 || weight > maxMixWeight {
			return nil, fmt.Errorf("weight %d of %s: want 0 to %d", weight, method, maxMixWeight)
		}
		if weight > 0 {
			kinds = append(kinds, loadKind{name: method, method: method, weight: weight})
		}
		delete(mix, method)
	}
	for method := range mix {
		return nil, fmt.Errorf("method %q: want GET, POST, PUT or DELETE", method)
	}
	if len(kinds) == 0 {
		return nil, errors.New("the mix contains no method with a weight above 0")
	}
	return kinds, nil
}

func (c *LoadCmd) plan() (*loadPlan, error) {
	completed := *c
	c = &completed
	c.complete(c.Duration, c.Rate > 0)
	if err := c.check(); err != nil {
		return nil, err
	}
	mix := make(map[string]int, len(c.Mix))
	for method, weight := range c.Mix {
		mix[strings.ToUpper(method)] += weight
	}
	kinds, err := c.kinds(mix)
	if err != nil {
		return nil, err
	}
	p := &loadPlan{LoadCmd: c, runID: rand.Text()[:10], kinds: kinds, large: -1, client: c.newClient(0), slowClient: c.newClient(slowReadBuffer)}
	for i, k := range kinds {
		for range k.weight {
			p.draws = append(p.draws, i)
		}
		if k.name == largeKind {
			p.large = i
		}
	}
	return p, nil
}

// newClient returns a client whose connections have receive buffers of the given size; 0
// leaves the size to the system.
func (c *LoadCmd) newClient(readBuffer int) *http.Client {
	var dialer net.Dialer
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: c.Workers,
			DisableCompression:  true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if tcp, ok := conn.(*net.TCPConn); ok && readBuffer > 0 {
					_ = tcp.SetReadBuffer(readBuffer)
				}
				return conn, err
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
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
		c.Patterns.check(c.Rate, c.Keys),
		checkRange("rate", c.Rate, 0, maxLoadRate),
		checkRange("workers", float64(c.Workers), 1, maxLoadWorkers),
		checkRange("duration", c.Duration.Seconds(), 0.001, maxLoadDuration.Seconds()),
		checkRange("keys", float64(c.Keys), 1, maxLoadKeys),
		checkRange("repeat", c.Repeat, 0, 1),
		checkRange("tenants", float64(c.Tenants), 0, maxLoadTenants),
		checkRange("body bytes", float64(c.BodyBytes), 0, maxLoadBody),
		checkRange("timeout", c.Timeout.Seconds(), 0.001, maxLoadTimeout.Seconds()),
	)
}

func checkRange(what string, value, low, high float64) error {
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
	random *mathrand.Rand
	zipf   *mathrand.Zipf
	tally  *tally
}

func (p *loadPlan) worker(number uint64) *loadWorker {
	w := &loadWorker{
		loadPlan: p,
		number:   number,
		random:   mathrand.New(mathrand.NewPCG(p.Seed, number)),
		tally:    newTally(p.kinds),
	}
	if p.Zipf > 0 {
		w.zipf = mathrand.NewZipf(w.random, p.Zipf, 1, uint64(p.Keys-1))
	}
	return w
}

// run sends requests until sending is done. With arrivals, it sends one request per
// arrival and measures the latency from the arrival. Arrivals that are still queued
// when sending is done are counted as not sent.
func (w *loadWorker) run(ctx, sending context.Context, arrivals <-chan time.Time) {
	if arrivals == nil {
		for sending.Err() == nil {
			w.request(ctx, sending, time.Now())
		}
		return
	}
	for arrival := range arrivals {
		if sending.Err() != nil {
			w.tally.notSent++
			continue
		}
		w.request(ctx, sending, arrival)
	}
}

// request sends one request, sends it again after refusals as its caller does, and sends a
// share of the keyed POSTs a second time.
func (w *loadWorker) request(ctx, sending context.Context, arrival time.Time) {
	r := w.next(arrival.Sub(w.begin))
	first := w.send(ctx, r)
	w.tally.add(first, first.took(arrival))
	if first.kind == resultNoResponse {
		sleep(ctx, failureDelay)
	}
	retries := 0
	for ; first.kind == resultRefused && first.notRun && retries < r.caller.retries; retries++ {
		if !r.caller.impatient {
			if first.retryAfter > w.Timeout {
				break
			}
			sleep(sending, first.retryAfter)
		}
		if sending.Err() != nil {
			break
		}
		begin := time.Now()
		first = w.send(ctx, r)
		w.tally.add(first, first.took(begin))
	}
	w.tally.kinds[r.kind].add(first, retries, first.took(arrival))
	if r.idempotencyKey == "" || w.random.Float64() >= w.Repeat {
		return
	}
	begin := time.Now()
	second := w.send(ctx, r)
	w.tally.repeats++
	if first.kind == resultOK && second.kind == resultOK && first.body != second.body {
		second = result{kind: resultWrong, detail: "a retry got a different response"}
	}
	w.tally.add(second, second.took(begin))
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// randomKey draws a key by the distribution of keys.
func (w *loadWorker) randomKey() string {
	key := uint64(w.random.IntN(w.Keys))
	if w.zipf != nil {
		key = w.zipf.Uint64()
	}
	return "key-" + strconv.FormatUint(key, 10)
}

// next returns the next random request, at a time from the start of the load. The hot keys
// are the last ones, which the Zipf distribution draws least.
func (w *loadWorker) next(elapsed time.Duration) loadRequest {
	w.sent++
	key := w.randomKey()
	kind := w.draws[w.random.IntN(len(w.draws))]
	if w.large >= 0 && w.kinds[kind].method == http.MethodGet && w.random.Float64() < w.LargeShare {
		kind = w.large
	}
	if w.isHot(elapsed, w.random) {
		key = "key-" + strconv.Itoa(w.Keys-1-w.random.IntN(w.HotKeys))
	}
	id := w.runID + "-" + strconv.FormatUint(w.number, 36) + "-" + strconv.Itoa(w.sent)
	query, answerBytes := w.query(&w.kinds[kind], w.random, w.randomKey)
	r := loadRequest{
		kind:        kind,
		method:      w.kinds[kind].method,
		service:     w.Service,
		key:         key,
		query:       "n=" + id + query,
		answerBytes: answerBytes,
		calls:       w.kinds[kind].calls,
		caller:      w.drawCaller(w.random),
	}
	if r.method == http.MethodPost || r.method == http.MethodPut {
		r.body = []byte(standin.Padding(r.method, id, w.BodyBytes))
	}
	if r.method == http.MethodPost && w.Idempotency {
		r.idempotencyKey = id
	}
	return r
}

// errLeft is the cause of the end of requests whose callers disconnect.
var errLeft = errors.New("the caller has left")

// send sends a request and checks its response. Slow callers have the time limit until the
// response begins, and then as long again as well as the time that they take to read it.
func (w *loadWorker) send(ctx context.Context, r loadRequest) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := time.AfterFunc(w.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer limit.Stop()
	if r.caller.leaveAfter > 0 {
		defer time.AfterFunc(r.caller.leaveAfter, func() { cancel(errLeft) }).Stop()
	}
	req, err := w.newRequest(ctx, r)
	if err != nil {
		return result{kind: resultNoResponse, detail: "request not made"}
	}
	client := w.client
	if r.caller.slow {
		client = w.slowClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return failure(ctx, resultNoResponse, err)
	}
	defer func() { _ = resp.Body.Close() }()
	began := time.Now()
	content := io.Reader(resp.Body)
	if r.caller.slow {
		reading := time.Duration(max(resp.ContentLength, 0)) * time.Second / time.Duration(w.SlowRate)
		limit.Reset(w.Timeout + reading)
		content = &slowReader{ctx: ctx, from: resp.Body, rate: w.SlowRate, begin: began}
	}
	body, err := io.ReadAll(io.LimitReader(content, maxLoadResponse+1))
	if err != nil {
		return failure(ctx, resultTruncated, err)
	}
	v := checkResponse(r, resp.StatusCode, resp.Header, body)
	if r.caller.slow {
		v.began = began
	}
	return v
}

func (w *loadWorker) newRequest(ctx context.Context, r loadRequest) (*http.Request, error) {
	target := w.Targets[w.random.IntN(len(w.Targets))]
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(target, "/")+r.uri(), strings.NewReader(string(r.body)))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not retry the request.
	req.GetBody = nil
	req.Header.Set("Request-Timeout", strconv.FormatInt(w.Timeout.Milliseconds(), 10))
	if r.idempotencyKey != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, r.idempotencyKey)
	}
	if w.Tenants > 0 {
		req.Header.Set("Burdock-Tenant", "tenant-"+strconv.Itoa(w.random.IntN(w.Tenants)))
	}
	return req, nil
}

// slowReader reads at most rate bytes a second since begin.
type slowReader struct {
	ctx   context.Context
	from  io.Reader
	rate  int
	begin time.Time
	read  int // bytes
}

// Read implements io.Reader. It reads what is due in a twentieth of a second at most.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.from.Read(p[:min(len(p), s.rate/20)])
	s.read += n
	due := time.Duration(s.read) * time.Second / time.Duration(s.rate)
	sleep(s.ctx, time.Until(s.begin.Add(due)))
	return n, err
}
