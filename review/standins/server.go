package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// execution is one execution of a request by a server.
type execution struct {
	id, instance, caller, body string
	bytes                      int
	key                        int // -1 if the request has none
	fence                      int64
	began, ended               time.Time
}

// ledger records what the servers ran.
type ledger struct {
	mu   sync.Mutex
	runs []*execution
}

func (l *ledger) add(e *execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, e)
}

func (l *ledger) end(e *execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.ended = time.Now()
}

// all returns copies of the executions.
func (l *ledger) all() []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []execution
	for _, e := range l.runs {
		runs = append(runs, *e)
	}
	return runs
}

// grantRow is one range that a server holds.
type grantRow struct {
	from, to int
	fence    int64
	until    time.Time
}

// server is one lifetime of an application server.
type server struct {
	node     *node
	ledger   *ledger
	instance string
	born     int64
	slots    int
	keyed    bool
	work     func(*http.Request) time.Duration
	// answer returns the body of an answer; nil stands for a short text.
	answer func(id string) []byte
	http   *http.Server
	// keys records which keys the server holds; nil if that is not recorded.
	keys *keyLog
	stop context.CancelFunc

	mu       sync.Mutex
	busy     int
	working  map[int]int // running requests by key
	sequence int64
	draining bool
	// silent is true while the server sends no status reports.
	silent bool
	holds  []grantRow
	// releasing are ranges to be released once their work has ended.
	releasing []grantRow
	released  [][3]any
	seen      []grantRow // the highest fences that the server has seen
	ackedLeft time.Time
}

// startServer starts a server beside the router of the node.
func (n *node) startServer(instance string, slots int, keyed bool, l *ledger, work func(*http.Request) time.Duration) (*server, error) {
	s := &server{node: n, ledger: l, instance: instance, born: time.Now().Add(n.clockAhead).UnixMilli(), slots: slots, keyed: keyed, work: work, working: map[int]int{}}
	listener, err := net.Listen("tcp4", n.appAddress)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.report(ctx)
	n.server = s
	n.d.record("server %s of %s started beside %s", instance, n.service, n.name)
	return s, nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
	s.mu.Lock()
	s.holds = nil
	s.mu.Unlock()
	s.keys.update(s)
	s.node.d.record("server %s crashed", s.instance)
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	if id != "" {
		w.Header().Set(names["request_id"], id)
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		w.Header().Set("Upstream-Instance", s.instance)
		return
	}
	if target := r.Header.Get(names["instance"]); target != "" && target != s.instance {
		w.Header().Set("Upstream-Instance", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.node.d.record("server %s: request %s broke off after %d bytes: not run", s.instance, id, len(body))
		panic(http.ErrAbortHandler)
	}
	e := &execution{id: id, instance: s.instance, caller: r.Header.Get(names["caller"]), bytes: len(body), key: -1}
	sum := sha256.Sum256(body)
	e.body = hex.EncodeToString(sum[:8])
	status := s.begin(r, e)
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set(names["not_run"], "1")
		}
		w.WriteHeader(status)
		return
	}
	defer s.end(e)
	left := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get(names["deadline"])); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	work := s.work(r)
	select {
	case <-time.After(min(work, left)):
	case <-r.Context().Done():
		return
	}
	if work > left {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(names["signature"], fmt.Sprintf("sig.%s.%s", s.instance, id))
	w.Header().Set("Upstream-Load", fmt.Sprintf("%d,0,%d", s.load(), s.slots))
	if s.answer != nil {
		out := s.answer(e.id)
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes %s", s.instance, id, e.bytes, e.body)
}

func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// begin begins an execution, or returns the status of a refusal.
func (s *server) begin(r *http.Request, e *execution) (refusal int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.id == "":
		return http.StatusBadRequest
	case s.busy >= s.slots:
		return http.StatusServiceUnavailable
	}
	e.began = time.Now()
	if s.keyed {
		key, err := strconv.Atoi(r.Header.Get(names["key"]))
		if err != nil {
			return http.StatusMisdirectedRequest
		}
		held := false
		for _, h := range s.holds {
			if key >= h.from && key <= h.to && e.began.Before(h.until) {
				held, e.fence = true, h.fence
			}
		}
		if !held {
			return http.StatusMisdirectedRequest
		}
		e.key = key
		s.working[key]++
	}
	s.busy++
	s.ledger.add(e)
	return 0
}

func (s *server) end(e *execution) {
	s.ledger.end(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	if e.key >= 0 {
		s.working[e.key]--
	}
}

// drain makes the server say in its status reports that it leaves.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// report sends status reports until ctx ends.
func (s *server) report(ctx context.Context) {
	for ctx.Err() == nil {
		wait := heartbeatInterval
		if s.reportOnce(ctx) {
			wait = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// reportBody returns the body of a status report.
func (s *server) reportBody(now time.Time) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	body := map[string]any{
		"Address": s.node.appAddress, "born": s.born,
		"Info":   map[string]any{"Service": s.node.service, "Version": "v1", "Zone": s.node.zone, "Slots": s.slots},
		"Status": map[string]any{"State": state, "Seq": s.sequence, names["cold_ms"]: 0},
	}
	if !s.keyed {
		return body
	}
	var rest []grantRow
	for _, g := range s.releasing {
		switch {
		case s.busyIn(g):
			rest = append(rest, g)
		case now.Before(g.until):
			s.released = append(s.released, [3]any{g.from, g.to, fmt.Sprintf("%08x%08x", g.from, g.fence)})
		}
	}
	s.releasing = rest
	holds := [][3]any{}
	for _, g := range append(append([]grantRow{}, s.holds...), s.releasing...) {
		if now.Before(g.until) || s.busyIn(g) {
			holds = append(holds, [3]any{g.from, g.to, g.fence})
		}
	}
	body["Holds"], body["Released"] = holds, append([][3]any{}, s.released...)
	return body
}

// busyIn reports whether work on keys of the range is in progress. s.mu must be held.
func (s *server) busyIn(g grantRow) bool {
	for key, n := range s.working {
		if n > 0 && key >= g.from && key <= g.to {
			return true
		}
	}
	return false
}

// reportOnce sends one status report. It returns true if another one is due soon, because
// ranges are to be released.
func (s *server) reportOnce(ctx context.Context) (again bool) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return false
	}
	sent := time.Now()
	body := s.reportBody(sent)
	reply, err := s.call(ctx, "instances.heartbeat", body)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && s.ackedLeft.IsZero() && body["Status"].(map[string]any)["State"] == "draining" {
		s.ackedLeft = time.Now()
		s.node.d.record("router %s confirmed that %s leaves", s.node.name, s.instance)
	}
	s.released = nil
	if rows, ok := reply["Holds"].([]any); ok && s.keyed {
		s.take(sent, rows, reply[names["hold_ms"]])
	}
	return len(s.releasing) > 0
}

// take takes the ranges of a response to a status report. s.mu must be held.
func (s *server) take(sent time.Time, rows []any, holdMs any) {
	ms, _ := holdMs.(float64)
	until := sent.Add(time.Duration(ms * float64(time.Millisecond)))
	before := s.holds
	s.holds = nil
	for _, r := range rows {
		f, ok := r.([]any)
		if !ok || len(f) < 3 {
			continue
		}
		from, _ := f[0].(float64)
		to, _ := f[1].(float64)
		fence, _ := f[2].(float64)
		g := grantRow{int(from), int(to), int64(fence), until}
		if s.sawHigher(g) {
			continue
		}
		s.seen = append(s.seen, g)
		s.holds = append(s.holds, g)
	}
	for _, old := range before {
		for _, left := range without(old, s.holds) {
			s.releasing = append(s.releasing, left)
		}
	}
	s.keys.update(s)
	if len(s.seen) > 4000 {
		s.seen = append([]grantRow{}, s.seen[2000:]...)
	}
}

func (s *server) sawHigher(g grantRow) bool {
	for _, h := range s.seen {
		if h.from <= g.to && g.from <= h.to && h.fence > g.fence {
			return true
		}
	}
	return false
}

// without returns the parts of a range that none of the others covers.
func without(g grantRow, others []grantRow) []grantRow {
	parts := []grantRow{g}
	for _, o := range others {
		var rest []grantRow
		for _, p := range parts {
			if o.to < p.from || o.from > p.to {
				rest = append(rest, p)
				continue
			}
			if p.from < o.from {
				left := p
				left.to = o.from - 1
				rest = append(rest, left)
			}
			if p.to > o.to {
				right := p
				right.from = o.to + 1
				rest = append(rest, right)
			}
		}
		parts = rest
	}
	return parts
}

// call makes a call to the router's control address.
func (s *server) call(ctx context.Context, name string, body map[string]any) (map[string]any, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + s.node.ctrl + "/-/rpc?call=" + name + "&of=" + s.instance
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var reply map[string]any
	if err := json.NewDecoder(io.LimitReader(resp.Body, 4<<10)).Decode(&reply); err != nil && err != io.EOF {
		return nil, err
	}
	return reply, nil
}

// reportLate makes a status report now that arrives after the delay.
func (s *server) reportLate(delay time.Duration) {
	body := s.reportBody(time.Now())
	s.node.d.record("server %s sends a status report %v that will arrive %v late", s.instance, body["Status"], delay)
	time.AfterFunc(delay, func() {
		_, err := s.call(context.Background(), "instances.heartbeat", body)
		s.node.d.record("the late status report of %s arrived: %v", s.instance, err)
	})
}

// mute ends the server's status reports.
func (s *server) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// deregister says that the server leaves. It returns the time of the confirmation.
func (s *server) deregister() (time.Time, error) {
	s.mute()
	if _, err := s.call(context.Background(), "instances.deregister", map[string]any{"born": s.born}); err != nil {
		return time.Time{}, err
	}
	s.node.d.record("router %s confirmed that %s leaves", s.node.name, s.instance)
	return time.Now(), nil
}
