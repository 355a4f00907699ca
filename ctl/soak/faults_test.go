package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
	relay "burdockglade.dev/stores/standin"
)

// result is what a caller saw of one request. Status 0 means no answer.
type result struct {
	id   string
	once bool
	// newRoute requests may be denied until the configuration is in force.
	newRoute bool
	status   int
	body     string
}

// callers send requests and keep what became of them.
type callers struct {
	mu   sync.Mutex
	next int
	all  []result
}

var client = &http.Client{Timeout: 4 * time.Second}

// send sends one request and records its result.
func (c *callers) send(address, path string, key int) result {
	c.mu.Lock()
	c.next++
	r := result{id: fmt.Sprintf("r%d", c.next), once: strings.HasPrefix(path, "/pay") || strings.HasPrefix(path, "/order"), newRoute: strings.HasPrefix(path, "/version")}
	c.mu.Unlock()
	r.status, r.body = exchange(address, path, key, r)
	c.mu.Lock()
	c.all = append(c.all, r)
	c.mu.Unlock()
	return r
}

func exchange(address, path string, key int, r result) (int, string) {
	method := http.MethodGet
	if r.once {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+path+"x", nil)
	if err != nil {
		return 0, err.Error()
	}
	names := platform.Headers()
	req.Host = "soak"
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.DeadlineMs, "2500")
	req.Header.Set(names.Key, strconv.Itoa(key))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func (c *callers) results() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.all...)
}

// startCallers lets callers on all hosts send requests until the returned
// function is called.
func (w *world) startCallers(seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	paths := []string{"/look/", "/pay/", "/keys/", "/order/"}
	for i, h := range w.hosts {
		for j := range 3 {
			rng := rand.New(rand.NewPCG(seed, uint64(100+10*i+j)))
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
					}
					w.callers.send(h.caller, paths[rng.IntN(len(paths))], rng.IntN(65536))
				}
			})
		}
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// playFaults starts faults that overlap, for the time, and waits for their ends.
func (w *world) playFaults(rng *rand.Rand, length time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := w.draw(rng)
		wg.Go(fault)
		time.Sleep(between(rng, 200*time.Millisecond, 1500*time.Millisecond))
	}
	wg.Wait()
}

// draw returns the next fault. All random numbers are drawn here, so that a seed
// gives the same series.
func (w *world) draw(rng *rand.Rand) func() {
	h := w.hosts[rng.IntN(len(w.hosts))]
	lasts := between(rng, 300*time.Millisecond, 6*time.Second)
	short := between(rng, 100*time.Millisecond, 1500*time.Millisecond)
	on := func(fault func()) func() { return func() { w.configs.disturb(h.name, fault) } }
	onAll := func(fault func()) func() { return func() { w.configs.disturb(everyHost, fault) } }
	direction := []relay.Direction{relay.ToTarget, relay.FromTarget, relay.BothDirections}[rng.IntN(3)]
	r := h.storeRelay
	if rng.IntN(2) == 0 {
		r = h.hopRelay
	}
	switch rng.IntN(15) {
	case 0:
		return on(func() { h.restart(syscall.SIGKILL, short) })
	case 1:
		return on(func() { h.restart(syscall.SIGTERM, short) })
	case 2:
		return on(func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			h.signal(syscall.SIGCONT)
		})
	case 3, 4:
		return on(func() {
			r.Partition(direction)
			time.Sleep(lasts)
			r.Partition(0)
		})
	case 5:
		return on(r.Blackhole)
	case 6:
		return on(r.Reset)
	case 7:
		return on(func() {
			r.SetDelay(short / 4)
			time.Sleep(lasts)
			r.SetDelay(0)
		})
	case 8:
		faults := []standin.Faults{{Down: true}, {Delay: short / 2}, {LoseResponses: 0.4}}[rng.IntN(3)]
		return onAll(func() {
			w.store.SetFaults(faults)
			time.Sleep(lasts)
			w.store.SetFaults(standin.Faults{})
		})
	case 9:
		return onAll(w.store.DiscardHistory)
	case 10:
		return func() { h.signal(syscall.SIGHUP) }
	case 11:
		return func() { h.replaceServer(short) }
	default:
		return w.publish
	}
}

// restart ends the process and starts it again after a pause.
func (h *host) restart(s syscall.Signal, pause time.Duration) {
	h.kill(s)
	time.Sleep(pause)
	h.start()
}

// replaceServer lets the server give notice and starts a new run after the time
// that the platform gives it.
func (h *host) replaceServer(pause time.Duration) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	s.Drain()
	h.w.mu.Lock()
	h.w.notice = append(h.w.notice, s)
	h.w.mu.Unlock()
	time.Sleep(drainLimit + time.Second + pause)
	h.mu.Lock()
	present := h.server == s
	h.mu.Unlock()
	if present {
		h.startServer()
	}
}

// heal ends all faults and publishes a configuration.
func (w *world) heal() {
	w.store.SetFaults(standin.Faults{})
	for _, h := range w.hosts {
		for _, r := range []*relay.Relay{h.storeRelay, h.hopRelay} {
			r.Partition(0)
			r.SetDelay(0)
		}
		h.signal(syscall.SIGCONT)
		h.start()
	}
	w.publish()
}
