package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a consumer.
type sent struct {
	id      string
	machine *machine
	unsafe  bool
	at      time.Time
	status  int // 0: no complete answer
	err     string
}

// consumers send requests to their machines.
type consumers struct {
	rec  *record
	next atomic.Int64
	// keyed is true if each request has a random key, and all may be repeated.
	keyed bool
	// path is that of requests that may be repeated.
	path string
	stop chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	all map[string]*sent
}

func newConsumers(rec *record) *consumers {
	return &consumers{rec: rec, path: "/look/1", stop: make(chan struct{}), all: map[string]*sent{}}
}

// start lets n consumers send to the machine, each a request every pause. They send none after
// two missed readiness checks, until one gets a 200 again.
func (c *consumers) start(m *machine, n int, pause time.Duration) {
	var in atomic.Bool
	in.Store(true)
	c.wg.Go(func() {
		for misses := 0; !c.ended(time.Second); {
			if m.ready() {
				misses = 0
			} else {
				misses++
			}
			in.Store(misses < 2)
		}
	})
	for i := range n {
		c.wg.Go(func() {
			client := newClient()
			for j := 0; !c.ended(pause); j++ {
				if in.Load() {
					c.send(client, m, !c.keyed && (i+j)%2 == 0)
				}
			}
		})
	}
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// ended waits for d and reports whether the consumers are to stop.
func (c *consumers) ended(d time.Duration) bool {
	select {
	case <-c.stop:
		return true
	case <-time.After(d):
		return false
	}
}

func (c *consumers) finish() {
	close(c.stop)
	c.wg.Wait()
}

// send sends one request.
func (c *consumers) send(client *http.Client, m *machine, unsafe bool) *sent {
	s := &sent{id: fmt.Sprintf("%016x", 0x1c41000000000000+c.next.Add(1)), machine: m, unsafe: unsafe, at: time.Now()}
	c.mu.Lock()
	c.all[s.id] = s
	c.mu.Unlock()
	method, path, body := http.MethodGet, c.path, io.Reader(nil)
	if unsafe {
		method, path, body = http.MethodPost, "/pay/1", strings.NewReader("pay "+s.id)
	}
	req, err := http.NewRequest(method, "http://"+m.outbound+path, body)
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // the client must not send it again by itself
	req.Host = "review.example"
	req.Header.Set(headers.RequestID, s.id)
	req.Header.Set(headers.DeadlineMs, "2500")
	if c.keyed {
		req.Header.Set(headers.Key, strconv.Itoa(rand.IntN(65536)))
	}
	c.rec.printf("request %s (%s %s) sent to %s", s.id, method, path, m.name)
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		s.err = err.Error()
		c.rec.printf("request %s gets no answer: %v", s.id, err)
		return s
	}
	s.status = resp.StatusCode
	c.rec.printf("request %s is answered %d", s.id, s.status)
	return s
}

// share returns the share of the requests sent between two times that were answered 200, and
// their number.
func (c *consumers) share(from, to time.Time) (served float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := 0
	for _, s := range c.all {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		n++
		if s.status == http.StatusOK {
			ok++
		}
	}
	return float64(ok) / float64(max(n, 1)), n
}
