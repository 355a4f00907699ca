package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxDescriptors is MaxFds of the settings.
	maxDescriptors = 4100
	// ownDescriptors is the number of descriptors that the consumers need.
	ownDescriptors = 6000
	// requestsPerSecond is the traffic of the consumers of one machine.
	requestsPerSecond = 62
	// pressTime is how long the consumers send, quietTime how long they send nothing after
	// that, with all their connections closed. quietTime is long enough for idle connections
	// between the routers to be given up.
	pressTime = 74 * time.Second
	quietTime = 21 * time.Second
	// answerTime is how long a consumer waits for its answer.
	answerTime = time.Second
	// minTries is the number of consumers that must have tried in vain.
	minTries = 7
)

// attempt is one request of a consumer on a new connection.
type attempt struct {
	at       time.Time
	answered bool
}

// idleConnections sends requests of many consumers to one machine. Each opens a connection,
// gets its answer and leaves the connection idle, so that the router may close it after
// IdleTimeoutMs, which is 15 s. Without the trouble, the consumers keep and reuse
// connections.
func idleConnections(d *deployment) (broken int, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return 0, fmt.Errorf("this process may have only %d descriptors, %v; it needs %d for the consumers", limit.Cur, err, ownDescriptors)
	}
	d.store.publish(1, []route{
		{name: "list", host: "list.example", prefix: "/list/", kind: "safe", service: "almoxarifado", timeoutMs: 1200, targetMs: 500, priority: 1, attempts: 2},
		{name: "show", host: "show.example", prefix: "/show/", kind: "safe", service: "vitrine", timeoutMs: 1200, targetMs: 500, priority: 1, attempts: 2},
	}, []string{"vitrine", "almoxarifado"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	for i, service := range []string{"vitrine", "almoxarifado"} {
		n, err := d.addNode(fmt.Sprintf("sidecar-%d", i+1), "pe-caruaru", service)
		if err != nil {
			return 0, err
		}
		n.descriptors = maxDescriptors
		if err := n.start(); err != nil {
			return 0, err
		}
		if err := n.waitReady(10 * time.Second); err != nil {
			return 0, err
		}
		if _, err := n.startServer(fmt.Sprintf("i-%d", i+1), 14, false, runs, work); err != nil {
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)

	pressed, other := d.nodes[0], d.nodes[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var readiness probeLog
	go readiness.run(ctx, d, pressed)
	before := crossRequests(d, other, "before")

	pool := &connPool{limit: requestsPerSecond, reuse: !d.trouble}
	var mu sync.Mutex
	var attempts []attempt
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() {
		for time.Since(start) < pressTime {
			time.Sleep(time.Second)
			crossBatch(other, 5+rand.IntN(crossMost))
		}
	})
	for i := range int(pressTime.Seconds()) * requestsPerSecond {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / requestsPerSecond)))
		wg.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			at := time.Now()
			fresh, result := pool.request(pressed, id)
			d.record("sent %s, new connection %v, answered %s", id, fresh, result)
			if fresh {
				mu.Lock()
				attempts = append(attempts, attempt{at, answered(result)})
				mu.Unlock()
			}
		})
		if i%(5*requestsPerSecond) == 0 {
			d.record("descriptors of %s: %d; idle connections of its consumers: %d", pressed.name, pressed.openFiles(), pool.size())
		}
	}
	wg.Wait()
	pool.closeAll()
	time.Sleep(quietTime)
	d.record("descriptors of %s with all consumers gone: %d", pressed.name, pressed.openFiles())
	after := crossRequests(d, other, "after")
	cancel()

	from, to, tries := longestSilence(attempts)
	if tries >= minTries && to.Sub(from) >= contactTime {
		d.record("%d consumers tried from %.3f to %.3f, and none got an answer on a new connection", tries, from.Sub(d.started).Seconds(), to.Sub(d.started).Seconds())
		if readiness.ready(from, to) {
			broken++
			d.record("BROKEN: the router said all the time that it is ready")
		}
	}
	d.record("requests from %s to the service of %s: %d of %d without any answer before, %d of %d after", other.name, pressed.name, before, crossCount, after, crossCount)
	if before > 0 {
		return 0, fmt.Errorf("requests had no answer before the run")
	}
	return broken, nil
}

// connPool holds the idle connections of the consumers.
type connPool struct {
	limit int
	reuse bool
	mu    sync.Mutex
	idle  []net.Conn
}

func (p *connPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// request sends one request, and leaves its connection idle once the answer is complete.
func (p *connPool) request(n *node, id string) (fresh bool, result string) {
	var c net.Conn
	p.mu.Lock()
	if p.reuse && len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
	}
	p.mu.Unlock()
	if c == nil {
		fresh = true
		var err error
		if c, err = net.DialTimeout("tcp4", n.outbound, answerTime); err != nil {
			return fresh, err.Error()
		}
	}
	result, err := exchange(c, "/list/1", "list.example", id)
	if err != nil {
		_ = c.Close()
		return fresh, err.Error()
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return fresh, result
}

func exchange(c net.Conn, path, host, id string) (string, error) {
	_ = c.SetDeadline(time.Now().Add(answerTime))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\n\r\n", path, host, names["request_id"], id, names["deadline"]); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %.80s", resp.StatusCode, text), nil
}

// crossCount is the number of requests of crossRequests.
const crossCount = 10

// crossRequests sends requests from the consumers of a machine to the service of the other
// one, and returns how many got no answer, not even a refusal.
func crossRequests(d *deployment, n *node, when string) (unanswered int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range crossCount {
		wg.Go(func() {
			id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i)
			result := "no connection"
			if c, err := net.DialTimeout("tcp4", n.outbound, answerTime); err == nil {
				if result, err = exchange(c, "/show/1", "show.example", id); err != nil {
					result = err.Error()
				}
				_ = c.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if !answered(result) {
				unanswered++
			}
			d.record("%s: %s via %s: %s", when, id, n.name, result)
		})
	}
	wg.Wait()
	return unanswered
}

// crossMost bounds the requests that crossBatch sends at once.
const crossMost = 20

// crossBatch sends requests to the service of the other machine at the same time.
func crossBatch(n *node, count int) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			if c, err := net.DialTimeout("tcp4", n.outbound, answerTime); err == nil {
				_, _ = exchange(c, "/show/1", "show.example", fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i+1000))
				_ = c.Close()
			}
		})
	}
	wg.Wait()
}

// openFiles returns the number of open descriptors of the router.
func (n *node) openFiles() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil {
		return -1
	}
	return len(files)
}

// probeLog holds the results of the readiness checks, which use one kept connection.
type probeLog struct {
	mu     sync.Mutex
	probes []attempt
}

func (l *probeLog) run(ctx context.Context, d *deployment, n *node) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		at := time.Now()
		resp, err := client.Get("http://" + n.ready + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if !ok {
			d.record("router %s is not ready: %v", n.name, err)
		}
		l.mu.Lock()
		l.probes = append(l.probes, attempt{at, ok})
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// ready reports whether all checks in the time said that the router is ready.
func (l *probeLog) ready(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := 0
	for _, p := range l.probes {
		if p.at.After(from) && p.at.Before(to) {
			checks++
			if !p.answered {
				return false
			}
		}
	}
	return checks > 0
}

// answered reports whether a result begins with the status of an answer.
func answered(result string) bool {
	return strings.HasPrefix(result, "200 ") || strings.HasPrefix(result, "50")
}

// longestSilence returns the longest time in which no attempt was answered, and the number
// of attempts in it.
func longestSilence(attempts []attempt) (from, to time.Time, tries int) {
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].at.Before(attempts[j].at) })
	first := -1
	for i, a := range attempts {
		if a.answered {
			first = -1
			continue
		}
		if first < 0 {
			first = i
		}
		if span := a.at.Sub(attempts[first].at); from.IsZero() || span > to.Sub(from) {
			from, to, tries = attempts[first].at, a.at, i-first+1
		}
	}
	return from, to, tries
}
