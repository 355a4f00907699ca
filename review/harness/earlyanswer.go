package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/vhost"
)

const (
	earlyOrders   = 20
	earlyBody     = 240_000 // bytes of a request's body
	earlyPiece    = 8_000   // bytes that a consumer sends at once
	earlyGap      = 20 * time.Millisecond
	earlyReply    = 100_000 // bytes of an answer
	shortReply    = 200
	earlyReadOn   = 300 * time.Millisecond
	earlyDeadline = 4 * time.Second
)

// earlyAnswer sends orders with long bodies to a server on the same host that, with the
// disruption, answers before it has read the body, keeps the connection and reads on later.
func earlyAnswer(o options) bool {
	w := newWorld(o, "orders", "desk")
	defer w.close()
	w.publish([]vhost.Service{{Name: "orders", HealthPath: "/healthz", MaxConnections: 120}, {Name: "desk", HealthPath: "/healthz", MaxConnections: 120}}, []vhost.Route{{
		Name: "place", Host: routeHost, Prefix: "/orders/", Timeout: 5 * time.Second, TargetLatency: 2 * time.Second, MaxAttempts: 2,
		Clusters: []vhost.Cluster{{Service: "orders", Weight: 1}},
	}})
	p := &earlyPlay{w: w, reply: earlyReply, sent: &sync.Map{}, working: &sync.Map{}}
	for _, h := range w.hosts {
		p.startServer(h)
		h.heartbeats("i-"+h.name, 14)
		h.start()
	}
	w.awaitReady()
	var orders sync.WaitGroup
	for i := range earlyOrders {
		orders.Go(func() { p.place(w.hosts[0], fmt.Sprintf("order-%d", i), i%2 == 0) })
		time.Sleep(100 * time.Millisecond)
	}
	orders.Wait()
	time.Sleep(time.Second) // lets the server read on
	o.record.say("%d orders sent, %d answered by a server; the server got %d bodies whole, %d that break off, %d with other bytes",
		earlyOrders, p.answered.Load(), p.whole.Load(), p.cut.Load(), p.other.Load())
	if p.other.Load() > 0 {
		o.record.say("BROKEN: UNASKED")
	}
	return p.other.Load() > 0
}

type earlyPlay struct {
	w *world
	// reply is the size of an answer in bytes.
	reply int
	// sent holds the bodies by id, and working the ids of the requests that a server has
	// answered and on whose bodies it still works.
	sent, working                         *sync.Map
	answered, whole, cut, other, replaced atomic.Int64
}

// earlyElsewhere is earlyAnswer with servers on other hosts than the consumers, whose router
// is stopped by SIGTERM, and with short answers.
func earlyElsewhere(o options) bool {
	w := newWorld(o, "desk", "orders", "orders")
	defer w.close()
	w.publish([]vhost.Service{{Name: "orders", HealthPath: "/healthz", MaxConnections: 120}, {Name: "desk", HealthPath: "/healthz", MaxConnections: 120}}, []vhost.Route{{
		Name: "place", Host: routeHost, Prefix: "/orders/", Timeout: 5 * time.Second, TargetLatency: 2 * time.Second, MaxAttempts: 2,
		Clusters: []vhost.Cluster{{Service: "orders", Weight: 1}},
	}})
	p := &earlyPlay{w: w, reply: shortReply, sent: &sync.Map{}, working: &sync.Map{}}
	for _, h := range w.hosts {
		p.startServer(h)
		h.heartbeats("i-"+h.name, 14)
		h.start()
	}
	w.awaitReady()
	time.Sleep(lateReadCalm)
	o.record.say("SIGTERM to the router of %s", w.hosts[0].name)
	w.hosts[0].signal(syscall.SIGTERM)
	var orders sync.WaitGroup
	for i := range earlyOrders / 2 {
		orders.Go(func() { p.place(w.hosts[0], fmt.Sprintf("order-%d", i), i%2 == 0) })
		time.Sleep(100 * time.Millisecond)
	}
	orders.Wait()
	o.record.say("%d orders sent, %d answered by a server, %d answered by the router in place of a server that had answered and was at work",
		earlyOrders/2, p.answered.Load(), p.replaced.Load())
	if p.replaced.Load() > 0 {
		o.record.say("BROKEN: LOST")
	}
	return p.replaced.Load() > 0
}

// startServer starts a sound server. It is no server of net/http, which would itself read the
// body before it answers.
func (p *earlyPlay) startServer(h *host) {
	l, err := net.Listen("tcp4", h.app)
	check(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(h, conn)
		}
	}()
}

// serve serves the requests of one connection, which it keeps.
func (p *earlyPlay) serve(h *host, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(names.ID)
		if p.w.o.trouble {
			p.answer(conn, id)
			p.working.Store(id, true)
			p.w.o.record.add("%s: the server of %s has answered, and reads on later", id, h.name)
			time.Sleep(earlyReadOn)
		}
		body, err := io.ReadAll(r.Body)
		p.judge(id, h, body, err)
		if err != nil {
			return
		}
		if !p.w.o.trouble {
			p.answer(conn, id)
		}
	}
}

func (p *earlyPlay) answer(conn net.Conn, id string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed.%s\r\nContent-Length: %d\r\n\r\n", names.ID, id, names.Signature, id, p.reply)
	_, _ = conn.Write(append([]byte(head), repeated("placed ", p.reply)...)) // the router may have left
}

// judge compares the body that a server has read with the one that was sent.
func (p *earlyPlay) judge(id string, h *host, body []byte, err error) {
	sent, _ := p.sent.Load(id)
	want := sent.([]byte)
	same := 0
	for same < len(body) && same < len(want) && body[same] == want[same] {
		same++
	}
	switch {
	case same < len(body) || (err == nil && len(body) != len(want)):
		p.other.Add(1)
		p.w.o.record.add("%s UNASKED: the server of %s has read %d bytes (%v), of %d; they differ from the body from byte %d on", id, h.name, len(body), err, len(want), same)
	case err != nil:
		p.cut.Add(1)
		p.w.o.record.add("%s: the server of %s has read %d bytes of %d as they were sent, then: %v", id, h.name, len(body), len(want), err)
	default:
		p.whole.Add(1)
		p.w.o.record.add("%s: the server of %s has read the whole body", id, h.name)
	}
}

// place sends an order, a piece of the body at a time, and reads the answer meanwhile.
func (p *earlyPlay) place(h *host, id string, chunked bool) {
	body := numbered(earlyBody)
	p.sent.Store(id, body)
	conn, err := net.DialTimeout("tcp4", h.caller, time.Second)
	check(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(earlyDeadline))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	p.w.o.record.add("%s sent to %s, %s", id, h.name, framing)
	fmt.Fprintf(conn, "POST /orders/new HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n", routeHost, names.ID, id, names.Deadline, earlyDeadline.Milliseconds(), framing)
	go func() {
		for piece := range pieces(body, earlyPiece) {
			if chunked {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := conn.Write(piece); err != nil {
				p.w.o.record.add("%s: sending the body: %v", id, err)
				return
			}
			time.Sleep(earlyGap)
		}
		if chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n") // an error shows as a missing answer
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.w.o.record.add("%s: no answer: %v", id, err)
		return
	}
	text, err := io.ReadAll(resp.Body)
	signed := resp.Header.Get(names.Signature) != ""
	_, working := p.working.Load(id)
	switch {
	case signed:
		p.answered.Add(1)
	case working && resp.StatusCode != http.StatusServiceUnavailable:
		p.replaced.Add(1)
	}
	p.w.o.record.add("%s: status %d, from a server: %v, %d bytes, %v", id, resp.StatusCode, signed, len(text), err)
	time.Sleep(time.Duration(earlyBody/earlyPiece) * earlyGap * 3 / 2) // the rest of the body is on its way
}

// numbered returns n bytes in which no two places look alike.
func numbered(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07d ", i)
	}
	return b.Bytes()[:n]
}

// pieces yields the parts of b with at most n bytes.
func pieces(b []byte, n int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			size := min(n, len(b))
			if !yield(b[:size]) {
				return
			}
			b = b[size:]
		}
	}
}
