package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/vhost"
)

// ownerBound is the longest time for which two servers may hold the same keys.
const ownerBound = 500 * time.Millisecond

// heldRange is a range that a server holds until a time on its own clock.
type heldRange struct {
	from, to int
	fence    uint64
	until    time.Time
}

// keyedServer is one life of a server that holds keys.
type keyedServer struct {
	play     *ownerPlay
	host     *host
	id       string
	born     int64
	listener net.Listener

	mu       sync.Mutex
	up       bool
	draining bool
	seq      int
	holds    []heldRange
	leaving  []heldRange // to be released
	released [][3]any
	seen     map[int]uint64 // highest fence by key
}

// ownerPlay watches which server holds which keys.
type ownerPlay struct {
	w      *world
	o      options
	broken atomic.Int64

	mu      sync.Mutex
	servers []*keyedServer
	fence   [65536]uint64
	life    [65536]*keyedServer
	relays  []*storeRelay
	lateTx  atomic.Bool
	down    atomic.Int32 // 1: 503, 2: silent
}

// ownerFuzz disrupts routers, servers and the store at random, and checks that no two
// servers hold the same keys. FUZZ_SEED and FUZZ_SECONDS set what is played.
func ownerFuzz(o options) bool {
	seed, _ := strconv.ParseInt(cmp.Or(os.Getenv("FUZZ_SEED"), "1"), 10, 64)
	seconds, _ := strconv.Atoi(cmp.Or(os.Getenv("FUZZ_SECONDS"), "60"))
	w := newWorld(o, "ledger", "ledger", "ledger", "ledger")
	defer w.close()
	w.publish([]vhost.Service{{Name: "ledger", HealthPath: "/healthz", MaxConnections: 120, Keyed: true}}, []vhost.Route{{
		Name: "post", Host: routeHost, Prefix: "/post/", Repeatable: true, Timeout: 3 * time.Second, TargetLatency: 500 * time.Millisecond,
		MaxAttempts: 2, Clusters: []vhost.Cluster{{Service: "ledger", Weight: 1}},
	}})
	p := &ownerPlay{w: w, o: o}
	front := httptest.NewServer(http.HandlerFunc(p.serveStore))
	defer front.CloseClientConnections()
	for _, h := range w.hosts {
		r := newStoreRelay(front.Listener.Addr().String())
		p.relays = append(p.relays, r)
		text, err := os.ReadFile(h.settings)
		check(err)
		text = bytes.Replace(text, []byte("[store]\naddress = "), []byte("[store]\naddress = "+r.address+"\n#"), 1)
		check(os.WriteFile(h.settings, text, 0o600))
		p.startServer(h, "i-"+h.name)
		h.start()
	}
	w.awaitReady()
	ctx, cancel := context.WithTimeout(w.ctx, time.Duration(seconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { p.consume(ctx, rand.New(rand.NewSource(seed*10+int64(i)))) })
	}
	wg.Go(func() { p.watch(ctx) })
	if o.trouble {
		for i := range 2 {
			wg.Go(func() { p.disrupt(ctx, rand.New(rand.NewSource(seed*7+int64(i)))) })
		}
	}
	wg.Wait()
	fmt.Println("ok", okAnswers.Load(), "other", otherAnswers.Load(), "broken", p.broken.Load())
	return p.broken.Load() > 0
}

var okAnswers, otherAnswers atomic.Int64

func (p *ownerPlay) violate(format string, args ...any) {
	if p.broken.Add(1) < 40 {
		p.o.record.say("OWNER "+format, args...)
	}
}

// serveStore loses answers of transactions and performs them late while lateTx is set.
func (p *ownerPlay) serveStore(rw http.ResponseWriter, r *http.Request) {
	switch p.down.Load() {
	case 1:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case 2:
		<-r.Context().Done()
		return
	}
	if r.Method == http.MethodPost && p.lateTx.Load() && rand.Intn(3) == 0 {
		body, _ := io.ReadAll(r.Body)
		again := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		go func() {
			time.Sleep(time.Second + time.Duration(rand.Intn(5000))*time.Millisecond)
			p.w.store.ServeHTTP(httptest.NewRecorder(), again)
		}()
		if rand.Intn(2) == 0 {
			<-r.Context().Done()
			return
		}
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost && p.lateTx.Load() && rand.Intn(4) == 0 {
		p.w.store.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	p.w.store.ServeHTTP(rw, r)
}

// storeRelay passes connections of one router to the store on, unless it is cut.
type storeRelay struct {
	address, target string
	cut             atomic.Bool
}

func newStoreRelay(target string) *storeRelay {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	r := &storeRelay{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relay(c)
		}
	}()
	return r
}

func (r *storeRelay) relay(c net.Conn) {
	d, err := net.Dial("tcp4", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			for r.cut.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pass(c, d)
	pass(d, c)
}

// startServer starts a new life of the server of a host.
func (p *ownerPlay) startServer(h *host, id string) *keyedServer {
	l, err := net.Listen("tcp4", h.app)
	for try := 0; err != nil && try < 50; try++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp4", h.app)
	}
	check(err)
	s := &keyedServer{play: p, host: h, id: id, born: time.Now().UnixMilli(), listener: l, up: true, seen: map[int]uint64{}}
	web := &http.Server{Handler: s}
	go func() { _ = web.Serve(l) }()
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go func() {
		s.beats()
		_ = web.Close()
	}()
	return s
}

// ServeHTTP runs a request whose key the server holds.
func (s *keyedServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(names.ID, r.Header.Get(names.ID))
	key, _ := strconv.Atoi(r.Header.Get(names.Key))
	s.mu.Lock()
	holds := false
	for _, h := range append(append([]heldRange{}, s.holds...), s.leaving...) {
		holds = holds || (key >= h.from && key <= h.to && time.Now().Before(h.until))
	}
	right := s.up && r.Header.Get(names.Instance) == s.id
	s.mu.Unlock()
	if !holds || !right {
		rw.Header().Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(time.Duration(20+rand.Intn(60)) * time.Millisecond)
	rw.Header().Set(names.Signature, "s")
	_, _ = io.WriteString(rw, "done")
}

func (s *keyedServer) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

func (s *keyedServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	_ = s.listener.Close()
}

// beats sends status reports until the server ends.
func (s *keyedServer) beats() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for s.alive() {
		sent := time.Now()
		s.mu.Lock()
		s.seq++
		for _, h := range s.leaving {
			if sent.Before(h.until) {
				s.released = append(s.released, [3]any{h.from, h.to, fmt.Sprintf("%s-%d", s.id, h.fence)})
			}
		}
		s.leaving = nil
		released := append([][3]any{}, s.released...)
		holds := [][3]any{}
		for _, h := range s.holds {
			if sent.Before(h.until) {
				holds = append(holds, [3]any{h.from, h.to, h.fence})
			}
		}
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"Address": s.host.app, "born": s.born, "Holds": holds, "Released": released,
			"Info":   map[string]any{"Service": s.host.service, "Version": "v1", "Zone": "zone-1", "Slots": 14},
			"Status": map[string]any{"State": state, "Seq": s.seq},
		})
		s.mu.Unlock()
		again := false
		resp, err := client.Post("http://"+s.host.control+"/-/rpc?call=instances.heartbeat&of="+s.id, "application/json", bytes.NewReader(body))
		if err == nil {
			data, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode/100 == 2 && len(data) <= 4096 {
				again = s.accept(sent, data)
			}
		}
		wait := 870 * time.Millisecond
		if again {
			wait = 100 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// accept applies the answer to a status report.
func (s *keyedServer) accept(sent time.Time, data []byte) (again bool) {
	var reply map[string]json.RawMessage
	if json.Unmarshal(data, &reply) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = nil
	if !s.up || reply["Holds"] == nil {
		return false
	}
	var rows [][]json.RawMessage
	var ms int64
	_ = json.Unmarshal(reply["Holds"], &rows)
	_ = json.Unmarshal(reply[names.Hold], &ms)
	if ms > 10000 {
		s.play.violate("hold of %d ms", ms)
	}
	until := sent.Add(time.Duration(ms) * time.Millisecond * 102 / 100)
	var next []heldRange
	for _, row := range rows {
		h := heldRange{until: until}
		_ = json.Unmarshal(row[0], &h.from)
		_ = json.Unmarshal(row[1], &h.to)
		_ = json.Unmarshal(row[2], &h.fence)
		next = append(next, h)
	}
	s.play.granted(s, next)
	now := time.Now()
	for _, old := range s.holds {
		if now.Before(old.until) {
			s.leaving = append(s.leaving, without(old, next)...)
		}
	}
	s.holds = next
	return len(s.leaving) > 0
}

// without returns the parts of a range that none of the others covers.
func without(old heldRange, others []heldRange) []heldRange {
	rest := []heldRange{old}
	for _, h := range others {
		var parts []heldRange
		for _, r := range rest {
			if h.to < r.from || h.from > r.to {
				parts = append(parts, r)
				continue
			}
			if r.from < h.from {
				left := r
				left.to = h.from - 1
				parts = append(parts, left)
			}
			if r.to > h.to {
				right := r
				right.from = h.to + 1
				parts = append(parts, right)
			}
		}
		rest = parts
	}
	return rest
}

// granted checks that the fences of keys that change hands rise.
func (p *ownerPlay) granted(s *keyedServer, ranges []heldRange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range ranges {
		for k := h.from; k <= h.to; k++ {
			if p.life[k] != s {
				if h.fence <= p.fence[k] {
					p.violate("key %d granted to %s (%d) with fence %d, %v had %d", k, s.id, s.born, h.fence, p.life[k] != nil, p.fence[k])
					break
				}
				p.life[k] = s
			}
			p.fence[k] = max(p.fence[k], h.fence)
		}
	}
}

// watch looks for keys that two servers hold at the same time.
func (p *ownerPlay) watch(ctx context.Context) {
	since := map[string]time.Time{}
	for ctx.Err() == nil {
		time.Sleep(15 * time.Millisecond)
		now := time.Now()
		var by [65536]*keyedServer
		seen := map[string]bool{}
		p.mu.Lock()
		servers := append([]*keyedServer{}, p.servers...)
		p.mu.Unlock()
		for _, s := range servers {
			s.mu.Lock()
			for _, h := range append(append([]heldRange{}, s.holds...), s.leaving...) {
				if !s.up || !now.Before(h.until) {
					continue
				}
				for k := h.from; k <= h.to; k++ {
					if by[k] != nil && by[k] != s {
						seen[fmt.Sprintf("%s/%d and %s/%d", by[k].id, by[k].born, s.id, s.born)] = true
					}
					by[k] = s
				}
			}
			s.mu.Unlock()
		}
		for pair := range seen {
			if since[pair].IsZero() {
				since[pair] = now
				p.o.record.add("both hold: %s", pair)
			}
			if now.Sub(since[pair]) > ownerBound {
				p.violate("%s hold the same keys for %v", pair, now.Sub(since[pair]))
			}
		}
		for pair := range since {
			if !seen[pair] {
				delete(since, pair)
			}
		}
	}
}

func (p *ownerPlay) consume(ctx context.Context, r *rand.Rand) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for ctx.Err() == nil {
		h := p.w.hosts[r.Intn(len(p.w.hosts))]
		req, _ := http.NewRequest(http.MethodGet, "http://"+h.caller+"/post/x", nil)
		req.Host = routeHost
		req.Header.Set(names.ID, fmt.Sprintf("%x", r.Int63()))
		req.Header.Set(names.Deadline, "2000")
		key := r.Intn(65536)
		if r.Intn(2) == 0 {
			key = 300 + r.Intn(100)
		}
		req.Header.Set(names.Key, strconv.Itoa(key))
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == 200 {
			okAnswers.Add(1)
		} else {
			otherAnswers.Add(1)
			if err == nil {
				p.o.record.add("key %d at %s: status %d", key, h.name, resp.StatusCode)
			}
		}
		time.Sleep(time.Duration(r.Intn(10)) * time.Millisecond)
	}
}

// current returns the last life of the server of a host.
func (p *ownerPlay) current(h *host) *keyedServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last *keyedServer
	for _, s := range p.servers {
		if s.host == h {
			last = s
		}
	}
	return last
}

var ownerBusy sync.Map

// disrupt causes one disruption after another.
func (p *ownerPlay) disrupt(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+r.Intn(2500)) * time.Millisecond)
		i := r.Intn(len(p.w.hosts))
		h := p.w.hosts[i]
		if _, busy := ownerBusy.LoadOrStore(h, true); busy {
			continue
		}
		length := time.Duration(500+r.Intn(4000)) * time.Millisecond
		kind := r.Intn(10)
		p.o.record.add("disruption %d of %s for %v", kind, h.name, length)
		switch kind {
		case 0:
			h.kill()
			time.Sleep(length / 4)
			h.start()
		case 1:
			h.signal(syscall.SIGTERM)
			<-h.exited
			time.Sleep(300 * time.Millisecond)
			h.start()
		case 2:
			h.signal(syscall.SIGSTOP)
			time.Sleep(length)
			h.signal(syscall.SIGCONT)
		case 3, 4:
			p.relays[i].cut.Store(true)
			time.Sleep(length * 3)
			p.relays[i].cut.Store(false)
		case 5:
			s := p.current(h)
			s.end()
			time.Sleep(time.Duration(r.Intn(1500)) * time.Millisecond)
			id := s.id
			if r.Intn(2) == 0 {
				id = fmt.Sprintf("i-%x", r.Int63())
			}
			p.startServer(h, id)
		case 6:
			s := p.current(h)
			s.mu.Lock()
			s.draining = true
			s.mu.Unlock()
			time.Sleep(3 * time.Second)
			s.end()
			p.startServer(h, fmt.Sprintf("i-%x", r.Int63()))
		case 7:
			p.lateTx.Store(true)
			time.Sleep(length)
			p.lateTx.Store(false)
		case 8:
			p.down.Store(int32(1 + r.Intn(2)))
			time.Sleep(length * 2)
			p.down.Store(0)
		case 9:
			h.kill()
			s := p.current(h)
			s.end()
			time.Sleep(length)
			h.start()
			p.startServer(h, s.id)
		}
		ownerBusy.Delete(h)
	}
}
