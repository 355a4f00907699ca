package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockglade.dev/platform/standin"
)

// holdRow is a range that a server holds.
type holdRow struct {
	from, to int
	gen      uint64
	until    time.Time
}

// ownerWorld holds what all keyed servers hold, and finds overlaps.
type ownerWorld struct {
	mu      sync.Mutex
	rec     *record
	servers []*ownerServer
	rng     *rand.Rand
	late    float64 // share of heartbeats that are late
	taken   map[int]genOf
	// since is the time since which a pair of servers has held the same keys.
	since map[[2]string]*overlap
	worst time.Duration
	next  int64
	found []string
}

type genOf struct {
	gen    uint64
	server string
}

type overlap struct {
	since time.Time
	key   int
	began map[string]bool
}

// ownerServer is a server that holds keys, by the letter of the pages.
type ownerServer struct {
	w        *ownerWorld
	m        *machine
	id       string
	born     int64
	web      *http.Server
	cancel   context.CancelFunc
	up       bool
	seq      int64
	applied  int64
	holds    []holdRow
	leaving  []holdRow
	released []releasedRow
	working  map[int]int
}

type releasedRow struct {
	from, to int
	token    string
	n        int64
}

func (w *ownerWorld) start(m *machine, id string) (*ownerServer, error) {
	s := &ownerServer{w: w, m: m, id: id, born: time.Now().UnixMilli(), working: map[int]int{}, up: true}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp4", m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	s.web = &http.Server{Handler: s}
	go func() { _ = s.web.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go s.beat(ctx)
	return s, nil
}

func (s *ownerServer) crash() {
	s.w.mu.Lock()
	s.up = false
	s.w.rec.printf("server %s (%d) crashes", s.id, s.born)
	s.w.mu.Unlock()
	s.cancel()
	_ = s.web.Close()
}

func (s *ownerServer) beat(ctx context.Context) {
	for ctx.Err() == nil {
		more := make(chan bool, 1)
		go s.sendBeat(ctx, more)
		t := time.NewTimer(840*time.Millisecond + time.Duration(rand.IntN(60))*time.Millisecond)
		select {
		case <-ctx.Done():
		case <-t.C:
		case again := <-more:
			if again {
				time.Sleep(80 * time.Millisecond)
			} else {
				select {
				case <-ctx.Done():
				case <-t.C:
				}
			}
		}
		t.Stop()
	}
}

func (s *ownerServer) sendBeat(ctx context.Context, more chan<- bool) {
	w := s.w
	w.mu.Lock()
	s.seq++
	seq := s.seq
	s.expire()
	holds, rel := [][]any{}, [][]any{}
	for _, h := range append(append([]holdRow{}, s.holds...), s.leaving...) {
		holds = append(holds, []any{h.from, h.to, h.gen})
	}
	for _, r := range s.released {
		rel = append(rel, []any{r.from, r.to, r.token})
	}
	nrel := len(s.released)
	var upTo int64
	if nrel > 0 {
		upTo = s.released[nrel-1].n
	}
	var delay time.Duration
	if w.rng.Float64() < w.late {
		delay = time.Duration(1200+w.rng.IntN(6000)) * time.Millisecond
	}
	w.mu.Unlock()
	var body map[string]any
	if err := json.Unmarshal([]byte(fmt.Sprintf(names.Heartbeat, s.m.app, s.m.service, s.m.zone, "ready", seq, s.born)), &body); err != nil {
		panic(err)
	}
	body["Holds"], body["Released"] = holds, rel
	data, _ := json.Marshal(body)
	sent := time.Now()
	time.Sleep(delay) // also after a crash: it is on its way
	if delay > 0 {
		w.rec.printf("late heartbeat %d of %s (%d) arrives after %v, released %d", seq, s.id, s.born, delay, nrel)
	}
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+s.m.control+names.HeartbeatPath+s.id, "application/json", strings.NewReader(string(data)))
	if err != nil {
		more <- false
		return
	}
	reply, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode/100 != 2 || time.Since(sent) > time.Second || len(reply) > 4096 {
		more <- false
		return
	}
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(reply, &fields)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.up || seq < s.applied {
		more <- false
		return
	}
	s.applied = seq
	var rest []releasedRow
	for _, r := range s.released {
		if r.n > upTo {
			rest = append(rest, r)
		}
	}
	s.released = rest
	if raw, ok := fields["Holds"]; ok {
		var holdMs int64
		_ = json.Unmarshal(fields[names.HoldTime], &holdMs)
		var rows [][]any
		_ = json.Unmarshal(raw, &rows)
		s.apply(rows, sent.Add(time.Duration(holdMs)*time.Millisecond))
	}
	more <- len(s.leaving) > 0 || len(s.released) > 0
}

// expire drops what has ended.
func (s *ownerServer) expire() {
	now := time.Now()
	keep := func(rows []holdRow) (out []holdRow) {
		for _, h := range rows {
			if now.Before(h.until) {
				out = append(out, h)
			}
		}
		return out
	}
	s.holds, s.leaving = keep(s.holds), keep(s.leaving)
	s.finishLeaving()
}

func (s *ownerServer) finishLeaving() {
	var rest []holdRow
	for _, h := range s.leaving {
		if s.busy(h) {
			rest = append(rest, h)
			continue
		}
		s.w.next++
		s.released = append(s.released, releasedRow{h.from, h.to, fmt.Sprintf("%016x", s.w.next), s.w.next})
	}
	s.leaving = rest
}

func (s *ownerServer) busy(h holdRow) bool {
	for k, n := range s.working {
		if n > 0 && k >= h.from && k <= h.to {
			return true
		}
	}
	return false
}

func (s *ownerServer) apply(rows [][]any, until time.Time) {
	s.expire()
	before := s.holds
	s.holds = nil
	for _, r := range rows {
		h := holdRow{int(r[0].(float64)), int(r[1].(float64)), uint64(r[2].(float64)), until}
		s.holds = append(s.holds, h)
		s.w.checkGen(s, h)
	}
	for _, old := range before {
		parts := []holdRow{old}
		for _, h := range s.holds {
			var next []holdRow
			for _, p := range parts {
				if h.to < p.from || h.from > p.to {
					next = append(next, p)
					continue
				}
				if p.from < h.from {
					next = append(next, holdRow{p.from, h.from - 1, p.gen, p.until})
				}
				if p.to > h.to {
					next = append(next, holdRow{h.to + 1, p.to, p.gen, p.until})
				}
			}
			parts = next
		}
		s.leaving = append(s.leaving, parts...)
	}
	s.finishLeaving()
}

// checkGen finds generations that are not above those of other servers.
func (w *ownerWorld) checkGen(s *ownerServer, h holdRow) {
	me := fmt.Sprintf("%s/%d", s.id, s.born)
	for k := h.from &^ 31; k <= h.to; k += 32 {
		if k < h.from {
			continue
		}
		t := w.taken[k]
		if t.server != me && t.server != "" && h.gen <= t.gen {
			w.report("GENERATION key %d: %s takes %d after %s had %d", k, me, h.gen, t.server, t.gen)
		}
		if h.gen >= t.gen {
			w.taken[k] = genOf{h.gen, me}
		}
	}
}

func (w *ownerWorld) report(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.rec.printf("%s", line)
	if len(w.found) < 20 {
		w.found = append(w.found, line)
	}
}

// sample finds servers that hold the same keys now.
func (w *ownerWorld) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	seen := map[[2]string]bool{}
	for i, a := range w.servers {
		if !a.up {
			continue
		}
		for _, b := range w.servers[i+1:] {
			if !b.up || a.m == b.m {
				continue
			}
			pair := [2]string{a.id, b.id}
			for _, x := range append(append([]holdRow{}, a.holds...), a.leaving...) {
				if !now.Before(x.until) {
					continue
				}
				for _, y := range append(append([]holdRow{}, b.holds...), b.leaving...) {
					if now.Before(y.until) && x.from <= y.to && y.from <= x.to && !seen[pair] {
						seen[pair] = true
						o := w.since[pair]
						if o == nil {
							o = &overlap{since: now, key: max(x.from, y.from), began: map[string]bool{}}
							w.since[pair] = o
							w.rec.printf("overlap of %v begins at key %d: %d-%d gen %d and %d-%d gen %d", pair, o.key, x.from, x.to, x.gen, y.from, y.to, y.gen)
						}
						if d := now.Sub(o.since); d > w.worst {
							w.worst = d
							if d > 500*time.Millisecond && d < 520*time.Millisecond {
								w.report("OVERLAP of %v for over half a second at key %d", pair, o.key)
							}
						}
					}
				}
			}
		}
	}
	for pair, o := range w.since {
		if !seen[pair] {
			w.rec.printf("overlap of %v ends after %v", pair, now.Sub(o.since))
			delete(w.since, pair)
		}
	}
}

func (s *ownerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	w.Header().Set(headers.RequestID, id)
	refuse := func(status int) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(status)
	}
	if instance := r.Header.Get(headers.ExpectInstance); instance != "" && instance != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get(headers.Key))
	s.w.mu.Lock()
	now, ok := time.Now(), false
	for _, h := range s.holds {
		ok = ok || (key >= h.from && key <= h.to && now.Before(h.until))
	}
	if !ok {
		s.w.mu.Unlock()
		refuse(http.StatusMisdirectedRequest)
		return
	}
	for pair, o := range s.w.since {
		if pair[0] == s.id || pair[1] == s.id {
			o.began[s.id] = true
			if len(o.began) == 2 {
				s.w.report("BOTH of %v begin requests while they hold the same keys (key %d)", pair, o.key)
			}
		}
	}
	s.working[key]++
	s.w.mu.Unlock()
	time.Sleep(time.Duration(20+rand.IntN(130)) * time.Millisecond)
	s.w.mu.Lock()
	s.working[key]--
	s.w.mu.Unlock()
	w.Header().Set(headers.Signature, fmt.Sprintf(names.Signature, id))
	_, _ = io.WriteString(w, "done "+id)
}

// ownerFuzz looks for two holders under random faults; it is no case.
func ownerFuzz(w *world) (broken bool, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	const service = "huvo11a"
	ow := &ownerWorld{rec: w.rec, rng: rand.New(rand.NewPCG(seed, 8)), late: lateShare(), taken: map[int]genOf{}, since: map[[2]string]*overlap{}}
	var machines []*machine
	servers := map[*machine]*ownerServer{}
	for i := range 5 {
		m, err := w.addMachine(fmt.Sprintf("s-%d", i), fmt.Sprintf("z%d", i%2), service, nil)
		if err != nil {
			return false, err
		}
		s, err := ow.start(m, fmt.Sprintf("i-%d", i))
		if err != nil {
			return false, err
		}
		machines, servers[m] = append(machines, m), s
	}
	config := routes(1, service)
	config.Services[0].Keyed = true
	if err := standin.Publish(context.Background(), w.store, config); err != nil {
		return false, err
	}
	c := newConsumers(w.rec)
	c.keyed = true
	for _, m := range machines {
		c.start(m, 6, 60*time.Millisecond)
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				ow.sample()
			}
		}
	}()
	time.Sleep(6 * time.Second)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		m := machines[rng.IntN(len(machines))]
		switch rng.IntN(7) {
		case 0, 1:
			m.signal(syscall.SIGKILL)
			<-m.exited
			time.Sleep(time.Duration(200+rng.IntN(700)) * time.Millisecond)
			if err := m.start(); err != nil {
				return false, err
			}
		case 2, 3:
			m.stop(grace)
			time.Sleep(time.Duration(200+rng.IntN(700)) * time.Millisecond)
			if err := m.start(); err != nil {
				return false, err
			}
		case 4:
			servers[m].crash()
			time.Sleep(time.Duration(100+rng.IntN(3000)) * time.Millisecond)
			id := servers[m].id
			if rng.IntN(2) == 0 {
				id += "x"
			}
			if servers[m], err = ow.start(m, id); err != nil {
				return false, err
			}
		case 5:
			f := []standin.Faults{{Down: true}, {Delay: 300 * time.Millisecond}, {LoseResponses: 0.4}}[rng.IntN(3)]
			w.rec.printf("store fault %+v", f)
			w.store.SetFaults(f)
			time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
			w.store.SetFaults(standin.Faults{})
		case 6:
			m.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
			m.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	c.finish()
	served, n := c.share(time.Time{}, time.Now())
	w.rec.say("seed %d: %.0f%% of %d served; longest overlap %v; found %v", seed, 100*served, n, ow.worst, ow.found)
	return len(ow.found) > 0, nil
}

// lateShare is the share of heartbeats that are late.
func lateShare() float64 {
	if f, err := strconv.ParseFloat(os.Getenv("LATE"), 64); err == nil {
		return f
	}
	return 0.12
}
