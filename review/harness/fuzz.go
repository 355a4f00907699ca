package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/vhost"
)

type answer struct {
	status int
	sig    string
	body   []byte
	whole  bool
	plan   string
}

type serverRun struct {
	method, uri, caller, host string
	body                      []byte
	notRun                    bool
	server                    string
	closed                    bool
}

type ledger struct {
	mu      sync.Mutex
	runs    map[string][]serverRun
	answers map[string][]answer
}

var led = &ledger{runs: map[string][]serverRun{}, answers: map[string][]answer{}}
var faultShare = 0.1
var violations atomic.Int64
var stats sync.Map

func count(s string) {
	v, _ := stats.LoadOrStore(s, new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

func violate(format string, args ...any) {
	violations.Add(1)
	fmt.Printf("VIOLATION "+format+"\n", args...)
}

func randSize(r *rand.Rand) int {
	switch r.Intn(12) {
	case 0:
		return 0
	case 1, 2, 3, 4, 5:
		return 1 + r.Intn(600)
	case 6, 7:
		return 3900 + r.Intn(400)
	case 8:
		return 16384 - 20 + r.Intn(40)
	case 9:
		return 65536 - 3 + r.Intn(6)
	case 10:
		return 65000 + r.Intn(1000)
	}
	return 70000 + r.Intn(400000)
}

func unique(id string, n int, salt int) []byte {
	return repeated(fmt.Sprintf("<%s/%d>", id, salt), n)
}

// repeated returns n bytes of the repeated text.
func repeated(text string, n int) []byte {
	return []byte(strings.Repeat(text, n/len(text)+1)[:n])
}

type fuzzServer struct {
	name, service string
	mu            sync.Mutex
	r             *rand.Rand
	slots         atomic.Int64
}

func (s *fuzzServer) rnd() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewSource(s.r.Int63()))
}

func (s *fuzzServer) listen(addr string) {
	l, err := net.Listen("tcp4", addr)
	check(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

func (s *fuzzServer) serve(c net.Conn) {
	defer c.Close()
	r := s.rnd()
	br := bufio.NewReader(c)
	var wmu sync.Mutex
	defer func() { wmu.Lock(); _ = c.Close(); wmu.Unlock() }()
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			if !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "closed") {
				violate("server %s: cannot parse a request: %v", s.name, err)
			}
			return
		}
		id := req.Header.Get(names.ID)
		early := req.ContentLength != 0 && req.Method != http.MethodHead && r.Float64() < 0.04
		if early {
			count("srv early")
			a := answer{status: 413, sig: "sig." + s.name + "." + id, body: unique(id, 100, r.Intn(1000)), whole: true, plan: "early"}
			led.mu.Lock()
			led.answers[id] = append(led.answers[id], a)
			led.runs[id] = append(led.runs[id], serverRun{method: req.Method, uri: req.RequestURI, server: s.name, closed: true})
			led.mu.Unlock()
			wmu.Lock()
			fmt.Fprintf(c, "HTTP/1.1 413 X\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.ID, id, names.Signature, a.sig, len(a.body), a.body)
			wmu.Unlock()
			time.Sleep(time.Duration(r.Intn(30)) * time.Millisecond)
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			led.mu.Lock()
			runs := led.runs[id]
			runs[len(runs)-1].body, runs[len(runs)-1].closed = body, false
			led.mu.Unlock()
			continue
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			count("srv body broken")
			return
		}
		rn := serverRun{method: req.Method, uri: req.RequestURI, caller: req.Header.Get(names.Caller), host: req.Host, body: body, server: s.name}
		if id == "" {
			violate("request without id %s %s", req.Method, req.RequestURI)
			return
		}
		if r.Float64() < 0.05 {
			rn.notRun = true
			led.mu.Lock()
			led.runs[id] = append(led.runs[id], rn)
			led.mu.Unlock()
			count("srv shed")
			wmu.Lock()
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 4\r\n\r\n", names.ID, id, names.NotRun)
			if req.Method != "HEAD" {
				fmt.Fprintf(c, "busy")
			}
			wmu.Unlock()
			continue
		}
		led.mu.Lock()
		led.runs[id] = append(led.runs[id], rn)
		led.mu.Unlock()
		time.Sleep(time.Duration(r.Intn(12)) * time.Millisecond)
		wmu.Lock()
		more := s.respond(c, r, req, id, &wmu)
		if !more {
			_ = c.Close()
		}
		wmu.Unlock()
		if !more {
			return
		}
	}
}

var statuses = []int{200, 200, 200, 200, 200, 200, 201, 206, 204, 304, 302, 404, 400, 500, 500, 503, 429, 504, 299, 226}

func (s *fuzzServer) respond(c net.Conn, r *rand.Rand, req *http.Request, id string, wmu *sync.Mutex) bool {
	status := statuses[r.Intn(len(statuses))]
	a := answer{status: status, sig: "sig." + s.name + "." + id + "." + strconv.Itoa(r.Intn(1e6)), whole: true}
	size := randSize(r)
	noBody := req.Method == "HEAD" || status == 204 || status == 304
	a.body = unique(id, size, r.Intn(1e6))
	if noBody {
		a.body = nil
	}
	framing := []string{"length", "length", "chunked", "close"}[r.Intn(4)]
	if noBody {
		framing = "length"
	}
	fault := ""
	if r.Float64() < faultShare {
		fault = []string{"truncate", "truncate-reset", "extra-garbage", "extra-copy", "extra-copy-late", "reset", "close", "garbage", "two-heads", "trunc-head", "late-garbage"}[r.Intn(11)]
	}
	a.plan = framing + " " + fault
	count("srv " + a.plan)
	var head bytes.Buffer
	if r.Intn(10) == 0 {
		fmt.Fprintf(&head, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n%s: other\r\n\r\n", names.Signature)
	}
	if r.Intn(10) == 0 {
		head.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	}
	one := head.Len()
	fmt.Fprintf(&head, "HTTP/1.1 %d Some\r\n%s: %s\r\n%s: %s\r\n%s: 1,0,64\r\n", status, names.ID, id, names.Signature, a.sig, names.Load)
	if r.Intn(6) == 0 {
		head.WriteString("Keep-Alive: timeout=5\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\n")
	}
	closing := framing == "close" || r.Intn(15) == 0
	if closing {
		head.WriteString("Connection: close\r\n")
	}
	var payload bytes.Buffer
	switch framing {
	case "length":
		if status != 204 && status != 304 {
			fmt.Fprintf(&head, "Content-Length: %d\r\n", size)
		}
		payload.Write(a.body)
	case "chunked":
		head.WriteString("Transfer-Encoding: chunked\r\n")
		for b := a.body; len(b) > 0; {
			n := min(len(b), 1+r.Intn(20000))
			fmt.Fprintf(&payload, "%x\r\n%s\r\n", n, b[:n])
			b = b[n:]
		}
		payload.WriteString("0\r\n")
		if r.Intn(4) == 0 {
			payload.WriteString("X-Trailer: 1\r\n")
		}
		payload.WriteString("\r\n")
	case "close":
		payload.Write(a.body)
	}
	head.WriteString("\r\n")
	record := func(whole bool) {
		a.whole = whole
		led.mu.Lock()
		led.answers[id] = append(led.answers[id], a)
		led.mu.Unlock()
	}
	rst := func() {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	full := append(bytes.Clone(head.Bytes()), payload.Bytes()...)
	plain := full[one:]
	switch fault {
	case "truncate", "truncate-reset":
		n := 0
		if payload.Len() > 0 {
			n = r.Intn(payload.Len())
		}
		whole := payload.Len() == 0
		if framing == "close" && fault == "truncate" {
			// Without a length, a clean end is the end: the answer is what was sent.
			a.body, whole = payload.Bytes()[:n], true
		}
		record(whole)
		_, _ = c.Write(append(bytes.Clone(head.Bytes()), payload.Bytes()[:n]...))
		if fault == "truncate-reset" {
			time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
			rst()
		}
		return false
	case "trunc-head":
		record(false)
		_, _ = c.Write(head.Bytes()[:r.Intn(head.Len())])
		return false
	case "reset":
		record(false)
		rst()
		return false
	case "close":
		record(false)
		return false
	case "garbage":
		record(false)
		_, _ = c.Write([]byte("zz\x00\x01 not http at all\r\n\r\n"))
		return true
	case "two-heads":
		record(false)
		_, _ = c.Write(head.Bytes()[:head.Len()-2])
		_, _ = c.Write(plain)
		return !closing
	}
	record(true)
	if r.Intn(5) == 0 { // in parts
		k := r.Intn(len(full))
		_, _ = c.Write(full[:k])
		time.Sleep(time.Duration(r.Intn(15)) * time.Millisecond)
		_, err := c.Write(full[k:])
		if err != nil {
			return false
		}
	} else if _, err := c.Write(full); err != nil {
		return false
	}
	if closing {
		return false
	}
	late := time.Duration(r.Intn(40)) * time.Millisecond
	switch fault {
	case "extra-garbage":
		_, _ = c.Write([]byte("extra bytes after the response\r\n"))
	case "extra-copy":
		_, _ = c.Write(plain)
	case "late-garbage":
		go func() {
			time.Sleep(late)
			wmu.Lock()
			defer wmu.Unlock()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
		}()
	case "extra-copy-late":
		go func() { time.Sleep(late); wmu.Lock(); defer wmu.Unlock(); _, _ = c.Write(plain) }()
	}
	return true
}

var nextID atomic.Int64

type sent struct {
	id, method, uri string
	body            []byte
	unsafe          bool
	router          *host
}

var paths = []string{"x", "x?q=1", "a//b", "a%20b", "a%2Fb/c", "?", "x?a=1&b=%zz", "..;p/../x", "~u/!$&'()*+,;=:@", "x#", "a%7E", "%E4%BD", "x?q=a+b%2B", "x??", "\"q\"", "x|y", "[1]", "x?[]|\"^`{}", "\xc3\xa9"}

func makeRequest(r *rand.Rand, n *host, tag string) (sent, []byte) {
	q := sent{id: fmt.Sprintf("%s%08x", tag, nextID.Add(1)), router: n}
	q.unsafe = r.Intn(2) == 0
	if q.unsafe {
		q.method = []string{"POST", "POST", "PUT", "DELETE", "PATCH"}[r.Intn(5)]
		q.uri = "/u/" + paths[r.Intn(len(paths))]
	} else {
		q.method = []string{"GET", "GET", "GET", "HEAD", "OPTIONS", "POST"}[r.Intn(6)]
		q.uri = "/s/" + paths[r.Intn(len(paths))]
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 9000\r\n", q.method, q.uri, names.ID, q.id, names.Deadline)
	for range r.Intn(4) {
		b.WriteString([]string{"Accept: */*\r\n", "X-Multi: a\r\nX-Multi: b\r\n", "cookie: a=b; c=d\r\n", "X-Empty:\r\n", "Downstream: x\r\n", "Authorization: Basic abc\r\n", "TE: trailers\r\n", "Accept-Encoding: identity\r\n", "Content-Type: text/plain\r\n", "Expect: 100-continue\r\n", "Via: 1.1 x\r\n", "User-Agent: fuzz\r\n", "Range: bytes=0-10\r\n", "If-None-Match: \"x\"\r\n"}[r.Intn(14)])
	}
	hasBody := q.method != "GET" && q.method != "HEAD" && q.method != "OPTIONS" && r.Intn(5) > 0 || r.Intn(30) == 0
	if hasBody {
		q.body = unique(q.id, randSize(r), 7)
		if r.Intn(2) == 0 {
			fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.body))
			b.Write(q.body)
		} else {
			b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for p := q.body; len(p) > 0; {
				k := min(len(p), 1+r.Intn(30000))
				ext := ""
				if r.Intn(8) == 0 {
					ext = ";x=y"
				}
				fmt.Fprintf(&b, "%x%s\r\n%s\r\n", k, ext, p[:k])
				p = p[k:]
			}
			b.WriteString("0\r\n\r\n")
		}
	} else {
		b.WriteString("\r\n")
	}
	return q, b.Bytes()
}

func client(ctx context.Context, n *host, seed int64, tag string) {
	r := rand.New(rand.NewSource(seed))
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp4", n.caller, time.Second)
		if err != nil {
			count("client dial failed")
			time.Sleep(50 * time.Millisecond)
			continue
		}
		session(ctx, c, n, r, tag)
		_ = c.Close()
	}
}

func session(ctx context.Context, c net.Conn, n *host, r *rand.Rand, tag string) {
	br := bufio.NewReaderSize(c, 4096)
	served := 0
	var history []string
	for ctx.Err() == nil {
		k := 1
		if r.Intn(3) == 0 {
			k = 1 + r.Intn(6)
		}
		var reqs []sent
		var wire []byte
		for range k {
			q, b := makeRequest(r, n, tag)
			reqs = append(reqs, q)
			wire = append(wire, b...)
		}
		go func() {
			if r := rand.Intn(4); r == 0 && len(wire) > 2 {
				at := 1 + rand.Intn(len(wire)-1)
				_, _ = c.Write(wire[:at])
				time.Sleep(time.Duration(rand.Intn(20)) * time.Millisecond)
				_, _ = c.Write(wire[at:])
				return
			}
			_, _ = c.Write(wire)
		}()
		if r.Intn(60) == 0 { // leave
			time.Sleep(time.Duration(r.Intn(10)) * time.Millisecond)
			for _, q := range reqs {
				verifyRuns(q, 0)
			}
			count("client left")
			return
		}
		for i, q := range reqs {
			_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
			resp, body, err := readAnswer(br, q.method)
			if err != nil {
				count("client no answer: " + short(err))
				if strings.Contains(err.Error(), "timeout") {
					violate("HANG request %s (%s %s) index %d of %d got no answer in 15 s", q.id, q.method, q.uri, i, len(reqs))
				}
				for _, q := range reqs[i:] {
					verifyRuns(q, 0)
					if os.Getenv("LAB_V") != "" {
						fmt.Println("no answer", q.id, q.method, q.uri, i, len(reqs), err, plans(q.id))
					}
				}
				return
			}
			if resp.StatusCode == 400 && resp.Header.Get(names.Signature) == "" {
				fmt.Printf("400 at %s index %d of %d after %d requests on %s; batch:", time.Now().Format("05.000"), i, len(reqs), served, n.name)
				for _, x := range reqs {
					fmt.Printf(" %s/%d", x.method, len(x.body))
				}
				fmt.Printf(" previous %v hdr %v\n", history, resp.Header)
			}
			served++
			history = append(history, fmt.Sprintf("%s/%d->%d", q.method, len(q.body), resp.StatusCode))
			history = history[max(0, len(history)-6):]
			verify(q, resp, body)
			if resp.Close {
				for _, q := range reqs[i+1:] {
					verifyRuns(q, 0)
				}
				if i+1 < len(reqs) {
					fmt.Printf("closed after %s/%d->%d len %d signed %v %s; rest:", q.method, len(q.body), resp.StatusCode, len(body), resp.Header.Get(names.Signature) != "", plans(q.id))
					for _, x := range reqs[i+1:] {
						fmt.Printf(" %s/%d{%s}", x.method, len(x.body), plans(x.id))
					}
					fmt.Println()
					count("client closed with pipelined rest")
				}
				return
			}
		}
	}
}

func plans(id string) string {
	led.mu.Lock()
	defer led.mu.Unlock()
	s := ""
	for _, a := range led.answers[id] {
		s += fmt.Sprintf("[%d %s len %d]", a.status, a.plan, len(a.body))
	}
	return fmt.Sprintf("runs %d answers %s", len(led.runs[id]), s)
}

func short(err error) string {
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}

func readAnswer(br *bufio.Reader, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, nil, fmt.Errorf("body: %w", err)
		}
		return resp, body, nil
	}
}

func verifyRuns(q sent, status int) {
	led.mu.Lock()
	defer led.mu.Unlock()
	n := 0
	for _, x := range led.runs[q.id] {
		if x.closed {
			continue
		}
		if !x.notRun {
			n++
		}
		if x.method != q.method || x.uri != q.uri || !bytes.Equal(x.body, q.body) || (x.caller != "" && x.caller != q.router.service) {
			violate("UNASKED %s: sent %s %q body %d, server got %s %q body %d caller %s of %s", q.id, q.method, q.uri, len(q.body), x.method, x.uri, len(x.body), x.caller, q.router.service)
		}
	}
	if q.unsafe && n > 1 {
		violate("TWICE %s ran %d times", q.id, n)
	}
	if q.unsafe && n > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
		violate("REFUSED %s status %d ran %d times", q.id, status, n)
	}
}

func verify(q sent, resp *http.Response, body []byte) {
	verifyRuns(q, resp.StatusCode)
	sig := resp.Header.Get(names.Signature)
	id := resp.Header.Get(names.ID)
	count(fmt.Sprintf("client %d signed %v", resp.StatusCode, sig != ""))
	if id != "" && id != q.id {
		violate("MIXED %s got an answer for %s", q.id, id)
	}
	led.mu.Lock()
	defer led.mu.Unlock()
	if sig == "" {
		if resp.StatusCode/100 == 2 {
			violate("MIXED %s: success %d without signature", q.id, resp.StatusCode)
		}
		if resp.StatusCode < 500 && resp.StatusCode != 429 && resp.StatusCode != 408 && resp.StatusCode != 421 {
			violate("DENIED? %s %s %q status %d: %s", q.id, q.method, q.uri, resp.StatusCode, body)
		}
		return
	}
	for _, a := range led.answers[q.id] {
		if a.sig == sig {
			if a.status != resp.StatusCode {
				violate("MIXED %s: status %d, server gave %d (%s)", q.id, resp.StatusCode, a.status, a.plan)
			}
			if resp.StatusCode/100 == 2 && (!a.whole || !bytes.Equal(a.body, body)) {
				violate("MIXED %s %s: success with body of %d bytes, the server's has %d, whole %v (%s)", q.id, q.method, len(body), len(a.body), a.whole, a.plan)
			}
			if resp.StatusCode/100 != 2 && a.whole && !bytes.Equal(a.body, body) {
				violate("NOTE failure body differs %s: %d bytes of %d (%s)", q.id, len(body), len(a.body), a.plan)
			}
			return
		}
	}
	violate("MIXED %s: signature %q that no server gave for it", q.id, sig)
}

// fuzz sends random requests to servers that give random, partly faulty answers, and checks
// that answers and runs belong to the requests. FUZZ_SEED, FUZZ_SECONDS, FUZZ_FAULTS and
// FUZZ_CHAOS (kill, term or stop) set what is played.
func fuzz(o options) bool {
	seed, _ := strconv.ParseInt(cmp.Or(os.Getenv("FUZZ_SEED"), "1"), 10, 64)
	seconds, _ := strconv.Atoi(cmp.Or(os.Getenv("FUZZ_SECONDS"), "15"))
	faultShare, _ = strconv.ParseFloat(cmp.Or(os.Getenv("FUZZ_FAULTS"), "0.3"), 64)
	chaos := os.Getenv("FUZZ_CHAOS")
	w := newWorld(o, "alpha", "beta", "alpha", "beta")
	defer w.close()
	w.publish([]vhost.Service{{Name: "alpha", HealthPath: "/healthz", MaxConnections: 200}, {Name: "beta", HealthPath: "/healthz", MaxConnections: 200}},
		[]vhost.Route{
			{Name: "s", Host: routeHost, Prefix: "/s/", Repeatable: true, LargeResponses: os.Getenv("FUZZ_DOWNLOAD") != "", Timeout: 10 * time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 2, Clusters: []vhost.Cluster{{Service: "alpha", Weight: 1}}},
			{Name: "u", Host: routeHost, Prefix: "/u/", Timeout: 10 * time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 2, Clusters: []vhost.Cluster{{Service: "beta", Weight: 1}}},
		})
	ctx, cancel := context.WithTimeout(w.ctx, time.Duration(seconds)*time.Second)
	defer cancel()
	for i, n := range w.hosts {
		fs := &fuzzServer{name: "i-" + n.name, service: n.service, r: rand.New(rand.NewSource(seed*100 + int64(i)))}
		fs.listen(n.app)
		n.heartbeats(fs.name, 64)
		n.start()
	}
	w.awaitReady()
	var wg sync.WaitGroup
	for i, n := range w.hosts {
		for k := range 6 {
			wg.Go(func() { client(ctx, n, seed*1000+int64(i*10+k), fmt.Sprintf("%d%d%d-", seed, i, k)) })
		}
	}
	if chaos != "" {
		wg.Go(func() { runChaos(ctx, w, seed, chaos) })
	}
	wg.Wait()
	time.Sleep(6 * time.Second)
	for _, n := range w.hosts {
		if resp, err := http.Get("http://" + n.metrics + "/metrics"); err == nil {
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			for _, l := range strings.Split(string(b), "\n") {
				if strings.Contains(l, "busy") || strings.Contains(l, "waiting") || strings.Contains(l, "goroutine") || strings.Contains(l, "connection_") || strings.Contains(l, "in_flight") || strings.Contains(l, "slots") {
					if !strings.HasPrefix(l, "#") {
						fmt.Println(n.name, l)
					}
				}
			}
		}
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		th, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
		for _, l := range strings.Split(string(th), "\n") {
			if strings.HasPrefix(l, "VmRSS") || strings.HasPrefix(l, "VmHWM") {
				fmt.Println(n.name, "fds", len(fds), l)
			}
		}
	}
	for _, n := range w.hosts {
		if !n.running() {
			violate("router %s has ended", n.name)
		}
	}
	stats.Range(func(k, v any) bool { fmt.Println("  ", k, v.(*atomic.Int64).Load()); return true })
	fmt.Println("violations", violations.Load())
	return violations.Load() > 0
}

// runChaos disrupts the routers one at a time until ctx ends.
func runChaos(ctx context.Context, w *world, seed int64, kind string) {
	r := rand.New(rand.NewSource(seed))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+r.Intn(1500)) * time.Millisecond)
		h := w.hosts[r.Intn(len(w.hosts))]
		switch kind {
		case "kill":
			h.kill()
			time.Sleep(300 * time.Millisecond)
			h.start()
		case "stop":
			h.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+r.Intn(3000)) * time.Millisecond)
			h.signal(syscall.SIGCONT)
		case "term":
			h.signal(syscall.SIGTERM)
			<-h.exited
			time.Sleep(200 * time.Millisecond)
			h.start()
		}
	}
}
