package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	"syscall"
	"time"
)

// The exploration is no case: it sends many forms of proper requests through a small
// deployment, while processes are killed, stopped and started, and servers answer in all
// forms that the pages allow. It checks what servers and consumers see.

// rawServer answers with all framings, and sometimes breaks off or sends extra answers.
type rawServer struct {
	*server
	faults float64
}

func (s *rawServer) listen() error {
	l, err := net.Listen("tcp4", s.node.appAddress)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// pattern returns the body that belongs to an id.
func pattern(id string, n int) []byte {
	sum := sha256.Sum256([]byte(id))
	return bytes.Repeat([]byte(hex.EncodeToString(sum[:])), n/64+1)[:n]
}

func shortHash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		idle := 10 * time.Second
		if os.Getenv("IDLE") != "" {
			idle = time.Duration(rand.Intn(400)) * time.Millisecond
		}
		_ = c.SetReadDeadline(time.Now().Add(idle))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends.
func (s *rawServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(names["request_id"])
	refuse := func(status int, text string) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", status, names["request_id"], id, text)
		return err == nil
	}
	if target := r.Header.Get(names["instance"]); target != "" && target != s.instance {
		return refuse(421, "")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	e := &execution{id: id, instance: s.instance, caller: r.Header.Get(names["caller"]), bytes: len(body), key: -1, body: shortHash(body)}
	if r.Method+" "+r.RequestURI != r.Header.Get("X-Line") {
		s.node.d.record("BROKEN line: %s %s is not %s", r.Method, r.RequestURI, r.Header.Get("X-Line"))
	}
	if status := s.begin(r, e); status != 0 {
		return refuse(status, names["not_run"]+": 1\r\n")
	}
	time.Sleep(time.Duration(rand.Intn(60)) * time.Millisecond)
	defer s.end(e)
	if os.Getenv("ENDLESS") != "" && rand.Intn(3) == 0 {
		return s.endless(c, id)
	}
	n, _ := strconv.Atoi(r.Header.Get("X-Want"))
	out := pattern(id, n)
	head := fmt.Sprintf("%s: %s\r\n%s: sig.%s\r\n", names["request_id"], id, names["signature"], id)
	var text bytes.Buffer
	closes := false
	switch f := rand.Intn(4); {
	case r.Method == http.MethodHead:
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, n)
	case f == 0:
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, out)
		closes = true
	case f == 1:
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", head)
		for rest := out; len(rest) > 0; {
			k := min(len(rest), 1+rand.Intn(9000))
			fmt.Fprintf(&text, "%x\r\n%s\r\n", k, rest[:k])
			rest = rest[k:]
		}
		text.WriteString("0\r\n\r\n")
	case f == 2 && os.Getenv("IDLE") != "":
		fmt.Fprintf(&text, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, n, out)
		closes = true
	default:
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, n, out)
	}
	data := text.Bytes()
	x := rand.Float64()
	switch {
	case x < s.faults: // breaks off with a reset, so that no framing looks complete
		_, _ = c.Write(data[:rand.Intn(len(data))])
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case x < 2*s.faults && !closes: // one more copy, late
		_, _ = c.Write(data)
		time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
		_, err := c.Write(data)
		return err == nil
	case x < 3*s.faults: // runs, never answers
		return false
	}
	for len(data) > 0 {
		k := min(len(data), 1+rand.Intn(40000))
		if _, err := c.Write(data[:k]); err != nil {
			return false
		}
		data = data[k:]
	}
	return !closes
}

// endless sends bytes that never become an answer, until the other side closes.
func (s *rawServer) endless(c net.Conn, id string) bool {
	head := fmt.Sprintf("%s: %s\r\n%s: sig.%s\r\n", names["request_id"], id, names["signature"], id)
	first, again := "", ""
	switch rand.Intn(6) {
	case 0:
		first, again = "HTTP/1.1 200 OK\r\nX-Field: ", strings.Repeat("a", 8192)
	case 1:
		again = "HTTP/1.1 102 Processing\r\n\r\n"
	case 2:
		first, again = "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("x", 8192)
	case 3:
		first, again = "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", strings.Repeat("t", 8192)
	case 4:
		first, again = "HTTP/1.1 200 OK\r\n"+head+"\r\n", strings.Repeat("b", 8192)
	case 5:
		first, again = "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 2\r\n\r\nok", strings.Repeat("e", 8192)
	}
	if _, err := io.WriteString(c, first); err != nil {
		return false
	}
	for {
		if _, err := io.WriteString(c, again); err != nil {
			return false
		}
	}
}

type sentRequest struct {
	id, body string
	unsafe   bool
	status   int
	entry    string
	sentAt   time.Time
	endedAt  time.Time
	err      string
}

type explorer struct {
	d      *deployment
	runs   *ledger
	mu     sync.Mutex
	sent   map[string]*sentRequest
	broken int
	seq    int
}

func (x *explorer) fail(format string, args ...any) {
	x.mu.Lock()
	x.broken++
	x.mu.Unlock()
	x.d.record("BROKEN "+format, args...)
}

func (x *explorer) size() int {
	if os.Getenv("SMALL") != "" {
		return rand.Intn(64<<10 - 1)
	}
	switch rand.Intn(5) {
	case 0:
		return 0
	case 1:
		return rand.Intn(200)
	case 2:
		return 64<<10 - 3 + rand.Intn(6)
	case 3:
		return rand.Intn(300 << 10)
	}
	return rand.Intn(3000)
}

// build returns a request and its record.
func (x *explorer) build(noBody bool) (*sentRequest, []byte, string, int) {
	x.mu.Lock()
	x.seq++
	id := fmt.Sprintf("%016x", x.seq)
	x.mu.Unlock()
	q := &sentRequest{id: id, unsafe: !noBody && rand.Intn(2) == 0}
	path, method := "/safe/", "GET"
	if q.unsafe {
		path, method = "/pay/", "POST"
	} else if rand.Intn(6) == 0 {
		method = "HEAD"
	}
	path += "x?q=" + id
	n := x.size()
	if method != "POST" {
		n = 0
		if !noBody && rand.Intn(6) == 0 {
			n = x.size()
		}
	}
	body := pattern(id+"b", n)
	q.body = shortHash(body)
	want := x.size()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x.example\r\n%s: %s\r\n%s: 4000\r\nX-Want: %d\r\nX-Line: %s %s\r\n", method, path, names["request_id"], id, names["deadline"], want, method, path)
	switch {
	case n == 0 && method != "POST":
		b.WriteString("\r\n")
	case n > 0 && rand.Intn(2) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; {
			k := min(len(rest), 1+rand.Intn(30000))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", k, rest[:k])
			rest = rest[k:]
		}
		b.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", n, body)
	}
	return q, b.Bytes(), method, want
}

// consumer uses one connection for some requests, at times several at once.
func (x *explorer) consumer(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp4", n.outbound, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		x.useConn(ctx, n, c)
		_ = c.Close()
	}
}

func (x *explorer) useConn(ctx context.Context, n *node, c net.Conn) {
	br := bufio.NewReader(c)
	for i := 0; i < 20 && ctx.Err() == nil; i++ {
		depth := 1
		if os.Getenv("DEPTH") == "" && rand.Intn(4) == 0 {
			depth = 2 + rand.Intn(5)
		}
		type item struct {
			q      *sentRequest
			method string
			want   int
			n      int
		}
		var items []item
		var all []byte
		for k := range depth {
			q, data, method, want := x.build(k > 0 && rand.Intn(3) > 0)
			q.entry, q.sentAt = n.name, time.Now()
			x.mu.Lock()
			x.sent[q.id] = q
			x.mu.Unlock()
			items = append(items, item{q, method, want, len(data)})
			all = append(all, data...)
		}
		go func() {
			for len(all) > 0 {
				k := min(len(all), 1+rand.Intn(60000))
				if _, err := c.Write(all[:k]); err != nil {
					return
				}
				all = all[k:]
				if rand.Intn(8) == 0 {
					time.Sleep(time.Duration(rand.Intn(20)) * time.Millisecond)
				}
			}
		}()
		for j, it := range items {
			_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
			err := x.readAnswer(br, it.q, it.method, it.want)
			it.q.endedAt = time.Now()
			if err != nil {
				it.q.err = err.Error()
				x.d.record("ENDED %s %s via %s: %v; pipelined %d of %d, wanted %d, request bytes %d", it.method, it.q.id, n.name, err, j, len(items), it.want, it.n)
				var to net.Error
				if errors.As(err, &to) && to.Timeout() {
					x.d.record("NO ANSWER %s via %s", it.q.id, n.name)
				}
				return
			}
		}
	}
}

var errClose = errors.New("connection: close")

func (x *explorer) readAnswer(br *bufio.Reader, q *sentRequest, method string, want int) error {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	q.status = resp.StatusCode
	if resp.StatusCode/100 == 2 {
		good := method == "HEAD" || bytes.Equal(body, pattern(q.id, want))
		if resp.Header.Get(names["request_id"]) != q.id || resp.Header.Get(names["signature"]) != "sig."+q.id || !good {
			x.fail("MIXED %s: id %s, signature %s, %d bytes for %d", q.id, resp.Header.Get(names["request_id"]), resp.Header.Get(names["signature"]), len(body), want)
		}
	} else if resp.Header.Get(names["signature"]) != "" {
		x.fail("MIXED failure with signature %s", q.id)
	} else if resp.StatusCode != 502 && resp.StatusCode != 503 && resp.StatusCode != 504 {
		x.d.record("STATUS %d %s %.200s", resp.StatusCode, q.id, body)
	}
	if resp.Close {
		return errClose
	}
	return nil
}

func explore(d *deployment) (int, error) {
	faults, _ := strconv.ParseFloat(os.Getenv("FAULTS"), 64)
	how := strings.Split(os.Getenv("HOW"), ",")
	length, err := time.ParseDuration(os.Getenv("LENGTH"))
	if err != nil {
		length = 30 * time.Second
	}
	d.store.publish(1, []route{
		{name: "pay", host: "x.example", prefix: "/pay/", kind: "unsafe", service: "a", timeoutMs: 4000, targetMs: 1000, priority: 1, attempts: 2},
		{name: "safe", host: "x.example", prefix: "/safe/", kind: "safe", service: "b", timeoutMs: 4000, targetMs: 1000, priority: 2, attempts: 3},
	}, []string{"a", "b"}, nil)
	x := &explorer{d: d, runs: &ledger{}, sent: map[string]*sentRequest{}}
	for i := range 6 {
		n, err := d.addNode(fmt.Sprintf("n-%d", i+1), fmt.Sprintf("z%d", i%2), []string{"a", "b"}[i%2])
		if err != nil {
			return 0, err
		}
		if err := n.start(); err != nil {
			return 0, err
		}
		if err := n.waitReady(10 * time.Second); err != nil {
			return 0, err
		}
		s := &rawServer{&server{node: n, ledger: x.runs, instance: fmt.Sprintf("i-%d", i+1), born: time.Now().UnixMilli(), slots: 8, working: map[int]int{}}, faults}
		if err := s.listen(); err != nil {
			return 0, err
		}
		go s.report(context.Background())
	}
	time.Sleep(3 * time.Second)
	if os.Getenv("ODD") != "" {
		return 0, x.odd()
	}
	if os.Getenv("LATIN") != "" {
		return 0, x.latin()
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() { x.consumer(ctx, d.nodes[i%6]) })
	}
	version := 1
	for ctx.Err() == nil && d.trouble {
		time.Sleep(time.Duration(500+rand.Intn(1500)) * time.Millisecond)
		n := d.nodes[rand.Intn(6)]
		switch how[rand.Intn(len(how))] {
		case "kill":
			n.kill()
			time.Sleep(100 * time.Millisecond)
			_ = n.start()
		case "term":
			_ = n.restart()
		case "stop":
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		case "config":
			version++
			to := []string{"a", "b"}
			rand.Shuffle(2, func(i, j int) { to[i], to[j] = to[j], to[i] })
			d.store.publish(version, []route{
				{name: "pay", host: "x.example", prefix: "/pay/", kind: "unsafe", service: to[0], timeoutMs: 4000, targetMs: 1000, priority: 1, attempts: 2},
				{name: "safe", host: "x.example", prefix: "/safe/", kind: "safe", service: to[1], timeoutMs: 4000, targetMs: 1000, priority: 2, attempts: 3},
			}, []string{"a", "b"}, nil)
		case "hup":
			n.signal(syscall.SIGHUP)
		}
	}
	wg.Wait()
	for _, n := range d.nodes {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
		for line := range strings.Lines(string(status)) {
			if strings.HasPrefix(line, "VmHWM") {
				d.record("%s %s", n.name, strings.TrimSpace(line))
			}
		}
	}
	time.Sleep(2 * time.Second)
	x.check()
	return x.broken, nil
}

func (x *explorer) check() {
	ran := map[string]int{}
	for _, e := range x.runs.all() {
		q := x.sent[e.id]
		switch {
		case q == nil:
			x.fail("UNASKED id %s", e.id)
			continue
		case q.body != e.body:
			x.fail("UNASKED body of %s: %d bytes", e.id, e.bytes)
		}
		ran[e.id]++
		if ran[e.id] > 1 && q.unsafe {
			x.fail("TWICE %s", e.id)
		}
	}
	statuses := map[string]int{}
	for id, q := range x.sent {
		if q.status == 0 && ran[id] > 0 {
			x.d.record("LOST %s via %s after %v: unsafe %v: %s", id, q.entry, q.endedAt.Sub(q.sentAt), q.unsafe, q.err)
		}
		key := fmt.Sprintf("unsafe %v status %d", q.unsafe, q.status)
		if q.status == 0 {
			key += " " + q.err
			if len(key) > 60 {
				key = key[:60]
			}
		}
		statuses[key]++
		if q.unsafe && (q.status == 503 || q.status == 429) && ran[id] > 0 {
			x.fail("REFUSED %s", id)
		}
	}
	for k, n := range statuses {
		x.d.record("%6d %s", n, k)
	}
	x.d.record("%d sent, %d ids ran", len(x.sent), len(ran))
}

// latin sends requests that have a byte above 127 in a field that the consumer chose.
func (x *explorer) latin() error {
	for i := range 12 {
		for _, value := range []string{"plain", "caf\xe9"} {
			n := x.d.nodes[i%2]
			c, err := net.Dial("tcp4", n.outbound)
			if err != nil {
				return err
			}
			id := fmt.Sprintf("%016x", time.Now().UnixNano())
			_, _ = fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: x.example\r\nX-Line: POST /pay/1\r\nX-Name: %s\r\n%s: %s\r\n%s: 2000\r\nContent-Length: 0\r\n\r\n", value, names["request_id"], id, names["deadline"])
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				x.d.record("via %s %q: %v", n.name, value, err)
			} else {
				text, _ := io.ReadAll(resp.Body)
				x.d.record("via %s %q: %d %.150s", n.name, value, resp.StatusCode, text)
			}
			_ = c.Close()
		}
	}
	return nil
}

// odd sends a status report of another writer, which names a service that no manifest
// names, to the router of the first machine. It shows who serves requests before and after.
func (x *explorer) odd() error {
	count := func(when string) {
		before := len(x.runs.all())
		for i := range 60 {
			c, err := net.Dial("tcp4", x.d.nodes[1].outbound)
			if err != nil {
				continue
			}
			id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i)
			_, _ = fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: x.example\r\nX-Line: POST /pay/1\r\n%s: %s\r\n%s: 2000\r\nContent-Length: 0\r\n\r\n", names["request_id"], id, names["deadline"])
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = http.ReadResponse(bufio.NewReader(c), nil)
			_ = c.Close()
		}
		by := map[string]int{}
		for _, e := range x.runs.all()[before:] {
			by[e.instance]++
		}
		x.d.record("%s: run by %v", when, by)
	}
	count("before")
	stranger := &server{node: x.d.nodes[0], instance: "i-stranger"}
	body := map[string]any{"Address": "10.0.0.9:8080", "born": time.Now().UnixMilli(),
		"Info":   map[string]any{"Service": "nobody-knows", "Slots": 4},
		"Status": map[string]any{"State": "ready", "Seq": 1}}
	reply, err := stranger.call(context.Background(), "instances.heartbeat", body)
	x.d.record("an odd report was answered %v, %v", reply, err)
	time.Sleep(10 * time.Second)
	count("10 s after")
	return nil
}
