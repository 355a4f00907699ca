package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
	relay "burdockglade.dev/stores/standin"
)

// result is the result of one request. Status 0 means no complete response.
type result struct {
	id string
	// once is true for requests that may run at most once.
	once bool
	// newRoute is true for requests that may get status 404, because the version
	// with their route may not be in force.
	newRoute bool
	// restricted is true for requests that may only run in homeRegion.
	restricted bool
	// load names the load of startDownloads that the request belongs to.
	load string
	// pause is the time for which its caller waits before each read of the response.
	pause time.Duration

	status int
	body   string
	// host is the host that got the request, sent the time of sending.
	host string
	sent time.Time
	// leaving is the instance whose response said that it leaves, or empty.
	leaving string
	// answered is the time of the response.
	answered time.Time
}

// callers sends requests and records their results.
type callers struct {
	mu   sync.Mutex
	next int
	all  []result
}

var client = &http.Client{Timeout: 4 * time.Second}

// newID returns the id of the next request.
func (c *callers) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("r%d", c.next)
}

// send sends one request with a new id and records its result.
func (c *callers) send(address, path string, key int) result {
	return c.sendAs(result{id: c.newID()}, address, path+"x", key)
}

// sendAs sends the request of r, which has an id, and records its result.
func (c *callers) sendAs(r result, address, path string, key int) result {
	once := func(prefix string) bool { return strings.HasPrefix(path, prefix) }
	r.host, r.sent, r.once = address, time.Now(), slices.ContainsFunc([]string{"/pay", "/order", runPrefix}, once)
	r.newRoute, r.restricted = strings.HasPrefix(path, "/version"), isRestricted(path)
	resp := exchange(address, "soak", path, key, r)
	r.status, r.body, r.answered = resp.status, resp.body, time.Now()
	if size := downloadBytes(path); size > 0 && r.status == http.StatusOK {
		r.body = shortened(r.id, r.body, size)
	}
	if standin.SaysLeaving(resp.header) {
		r.leaving = instanceOf(resp.header)
	}
	c.mu.Lock()
	c.all = append(c.all, r)
	c.mu.Unlock()
	return r
}

// response is a response to a caller. Status 0 means that there was none; body then says
// why.
type response struct {
	status int
	body   string
	header http.Header
}

// exchange sends the request of r and returns the response.
func exchange(address, hostName, path string, key int, r result) response {
	method := http.MethodGet
	if r.once {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return response{body: err.Error()}
	}
	names := platform.Headers()
	req.Host = hostName
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.DeadlineMs, "2500")
	req.Header.Set(names.Key, strconv.Itoa(key))
	sender := client
	if r.pause > 0 {
		sender = slowClient
	}
	resp, err := sender.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(slowReader{resp.Body, r.pause})
	if err != nil {
		return response{body: err.Error()}
	}
	return response{status: resp.StatusCode, body: string(body), header: resp.Header}
}

func (c *callers) results() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.all...)
}

// paths returns the prefixes of the routes that every version has.
func (d *deployment) paths() []string {
	paths := []string{"/look/", "/pay/", "/keys/", "/order/", "/home/"}
	if d.opts.restrictKeys {
		paths = append(paths, "/vault/")
	}
	return paths
}

// startCallers starts three callers per host that send requests until the returned
// function is called.
func (d *deployment) startCallers(seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	paths := d.paths()
	for i, h := range d.hosts {
		for j := range 3 {
			rng := rand.New(rand.NewPCG(seed, uint64(100+10*i+j)))
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
					}
					d.callers.send(h.caller, paths[rng.IntN(len(paths))], rng.IntN(65536))
				}
			})
		}
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// between returns a random duration of at least least and less than most.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// injectFaults starts overlapping random faults for the given time and waits until
// they have ended.
func (d *deployment) injectFaults(rng *rand.Rand, length time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := d.drawFault(rng)
		wg.Go(fault)
		time.Sleep(between(rng, 200*time.Millisecond, 1500*time.Millisecond))
	}
	wg.Wait()
}

// drawFault returns the next fault. It draws all random numbers before the fault
// runs, so that a seed always gives the same sequence of faults.
func (d *deployment) drawFault(rng *rand.Rand) func() {
	h := d.hosts[rng.IntN(len(d.hosts))]
	faultTime := between(rng, 300*time.Millisecond, 6*time.Second)
	delay := between(rng, 100*time.Millisecond, 1500*time.Millisecond)
	restart := func(s syscall.Signal) func() {
		return func() { d.configs.duringFault(h.name, restartFault, func() { h.restart(s, delay) }) }
	}
	on := func(fault func()) func() { return func() { d.configs.duringFault(h.name, "", fault) } }
	onAll := func(fault func()) func() { return func() { d.configs.duringFault(everyHost, "", fault) } }
	direction := []relay.Direction{relay.ToTarget, relay.FromTarget, relay.BothDirections}[rng.IntN(3)]
	r := h.storeRelay
	if rng.IntN(2) == 0 {
		r = h.hopRelay
	}
	switch rng.IntN(15) {
	case 0:
		return restart(syscall.SIGKILL)
	case 1:
		return restart(syscall.SIGTERM)
	case 2:
		return on(func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(faultTime)
			h.signal(syscall.SIGCONT)
		})
	case 3, 4:
		return on(func() {
			r.Partition(direction)
			time.Sleep(faultTime)
			r.Partition(0)
		})
	case 5:
		return on(r.Blackhole)
	case 6:
		return on(r.Reset)
	case 7:
		return on(func() {
			r.SetDelay(delay / 4)
			time.Sleep(faultTime)
			r.SetDelay(0)
		})
	case 8:
		faults := []standin.Faults{{Down: true}, {Delay: delay / 2}, {LoseResponses: 0.4}}[rng.IntN(3)]
		return onAll(func() {
			d.store.SetFaults(faults)
			time.Sleep(faultTime)
			d.store.SetFaults(standin.Faults{})
		})
	case 9:
		return onAll(d.store.DiscardHistory)
	case 10:
		return func() { h.signal(syscall.SIGHUP) }
	case 11:
		return func() { h.replaceServer(delay) }
	default:
		return d.publish
	}
}

// restart ends the process with the signal and starts it again after a delay.
func (h *host) restart(s syscall.Signal, delay time.Duration) {
	h.kill(s)
	time.Sleep(delay)
	h.start()
}

// replaceServer drains the server and starts a new incarnation after the drain time
// that the platform grants, one second and the delay. It does nothing more if the
// server was replaced meanwhile.
func (h *host) replaceServer(delay time.Duration) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	s.Drain()
	h.deployment.mu.Lock()
	h.deployment.drained = append(h.deployment.drained, s)
	h.deployment.mu.Unlock()
	time.Sleep(drainLimit + time.Second + delay)
	h.mu.Lock()
	present := h.server == s
	h.mu.Unlock()
	if present {
		h.startServer()
	}
}

// heal ends all faults, starts all processes and publishes a new configuration.
func (d *deployment) heal() {
	d.store.SetFaults(standin.Faults{})
	for _, h := range d.hosts {
		for _, r := range []*relay.Relay{h.storeRelay, h.hopRelay} {
			r.Partition(0)
			r.SetDelay(0)
		}
		h.signal(syscall.SIGCONT)
		h.start()
	}
	d.publish()
}
