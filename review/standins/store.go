package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store, as it stands in bodies.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// historyTime is the length of the history that feeds can go back to.
const historyTime = 20 * time.Second

// change is a change of the history.
type change struct {
	row
	at time.Time
}

// store is the platform's store of rows.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	history []change
	// forgotten is the version up to which the history is gone.
	forgotten int64
	changed   chan struct{}

	// down makes the store refuse all calls, delay is added to each call; lost is the share of
	// the transactions that are done without an answer, late that of those done later.
	down       bool
	delay      time.Duration
	lost, late float64
}

// setFaults sets the faults.
func (s *store) setFaults(down bool, delay time.Duration, lost, late float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.delay, s.lost, s.late = down, delay, lost, late
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// result is the body of a response.
type result struct {
	Rows    []row
	HasMore bool
	Ver     int64
	NowMs   int64
	Parts   []string `json:"parts,omitempty"`
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 1000 }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.version})
	s.signal()
}

// apply writes or removes a row. s.mu must be held.
func (s *store) apply(r row) {
	if r.Removed {
		delete(s.rows, r.key())
	} else {
		s.rows[r.key()] = r
	}
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.forgotten = s.history[0].Ver
		s.history = s.history[1:]
	}
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.version, nil
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, delay := s.down, s.delay
	s.mu.Unlock()
	time.Sleep(2*time.Millisecond + delay)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case names["tx_path"]:
		s.serveTransaction(w, r)
	case names["get_path"]:
		s.respond(w, http.StatusOK, func(out *result) { out.Rows, out.HasMore = s.list(q) })
	case names["parts_path"]:
		s.respond(w, http.StatusOK, func(out *result) { out.Parts = s.parts(q.Get("Table"), q.Get("after")) })
	case names["feed_path"]:
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// respond writes the result that fill returns. fill is called with s.mu held.
func (s *store) respond(w http.ResponseWriter, status int, fill func(*result)) {
	s.mu.Lock()
	out := result{Rows: []row{}}
	fill(&out)
	out.Ver, out.NowMs = s.version, s.now()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) list(q map[string][]string) (rows []row, more bool) {
	get := func(name string) string {
		if v := q[name]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	limit, err := strconv.Atoi(get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	for k, r := range s.rows {
		if k.table == get("Table") && k.part == get("part") && k.key >= get("From") && (get("Target") == "" || k.key < get("Target")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		return rows[:limit], true
	}
	if rows == nil {
		rows = []row{}
	}
	return rows, false
}

func (s *store) parts(table, after string) []string {
	found := map[string]bool{}
	for k := range s.rows {
		if k.table == table && (after == "" || k.part > after) {
			found[k.part] = true
		}
	}
	parts := []string{}
	for p := range found {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	return parts
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		changed, rows := s.changed, s.since(q.Get("Table"), after)
		gone := after < s.forgotten
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || !waiting {
			s.respond(w, http.StatusOK, func(out *result) { out.Rows = s.since(q.Get("Table"), after) })
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changed rows of a table, each in its newest form. s.mu must be held.
func (s *store) since(table string, after int64) []row {
	newest := map[rowKey]row{}
	for _, c := range s.history {
		if c.Table == table && c.Ver > after {
			newest[c.key()] = c.row
		}
	}
	rows := []row{}
	for _, r := range newest {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	return rows
}

// txRow is a row in a transaction.
type txRow struct {
	Table string
	Part  string `json:"part"`
	Key   string
	Value []byte
	Ver   int64
}

func (t txRow) key() rowKey { return rowKey{t.Table, t.Part, t.Key} }

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition, Puts, Remove []txRow
		Across                     bool
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, t := range append(append([]txRow{}, body.Puts...), body.Remove...) {
		if t.Table == "op" || t.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	lost, late := rand.Float64() < s.lost, rand.Float64() < s.late
	s.mu.Unlock()
	if late {
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { s.commit(body.Precondition, body.Puts, body.Remove) })
		panic(http.ErrAbortHandler)
	}
	current, ok := s.commit(body.Precondition, body.Puts, body.Remove)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.respond(w, http.StatusPreconditionFailed, func(out *result) { out.Rows = append(out.Rows, current...) })
		return
	}
	s.respond(w, http.StatusOK, func(*result) {})
}

// commit makes a transaction. If a condition does not hold, it returns the current rows.
func (s *store) commit(conditions, puts, removes []txRow) (current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, c := range conditions {
		if r, ok := s.rows[c.key()]; ok {
			current = append(current, r)
		}
		failed = failed || s.rows[c.key()].Ver != c.Ver
	}
	if failed {
		return current, false
	}
	s.version++
	for _, p := range puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.version})
	}
	for _, p := range removes {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.version, Removed: true})
	}
	s.signal()
	return nil, true
}

// route is a route of a manifest.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs               int
	priority, attempts                int
}

// publish writes a manifest. keyed names the services whose keys are divided.
func (s *store) publish(version int, routes []route, services []string, keyed map[string]bool) {
	var rows, serviceRows [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.targetMs, r.priority, nil, r.attempts, r.service})
	}
	for _, name := range services {
		var sharded, warmup, grants any
		if keyed[name] {
			sharded, warmup, grants = true, 3.0, "heartbeat"
		}
		serviceRows = append(serviceRows, []any{name, "/healthz", 120, "h1", false, sharded, warmup, grants})
	}
	value, err := json.Marshal(map[string]any{
		"Version": "r" + strconv.Itoa(version),
		"Routes": map[string]any{
			"Columns": []string{"Name", "Host", "Prefix", names["route_type"], "TimeoutMs", "TargetLatencyMs", "Priority", "WeightedClusters", "MaxAttempts", "Service"},
			"Rows":    rows,
		},
		"Services": map[string]any{
			"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls", "Sharded", "WarmupS", "Grants"},
			"Rows":    serviceRows,
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.put("op", "config", value)
}
