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
	"time"

	"burdockglade.dev/router/vhost"
)

const (
	earlyOrders = 95
	earlyPause  = 50 * time.Millisecond // between the orders
	// earlyEach is the number of requests of which one is answered early: 1 in 20, and only
	// by one of two servers.
	earlyEach     = 20
	earlyBody     = 120_000 // bytes of a request's body
	earlyPiece    = 8_000   // bytes that a consumer sends at once
	earlyGap      = 10 * time.Millisecond
	earlyReply    = 100_000 // bytes of an answer
	earlyReadOn   = 300 * time.Millisecond
	earlyDeadline = 4 * time.Second
)

// earlyAnswer sends orders with long bodies, for less than 5 s. With the disruption, the
// server on the consumers' host answers one request in 20 before it has read the body, keeps
// the connection and reads on later.
func earlyAnswer(o options) bool {
	w := newWorld(o, "orders", "orders")
	defer w.close()
	w.publish([]vhost.Service{{Name: "orders", HealthPath: "/healthz", MaxConnections: 120}}, []vhost.Route{{
		Name: "place", Host: routeHost, Prefix: "/orders/", Timeout: 5 * time.Second, TargetLatency: 2 * time.Second, MaxAttempts: 2,
		Clusters: []vhost.Cluster{{Service: "orders", Weight: 1}},
	}})
	p := &earlyPlay{w: w, sent: &sync.Map{}}
	for _, h := range w.hosts {
		p.startServer(h)
		h.heartbeats("i-"+h.name, 14)
		h.start()
	}
	w.awaitReady()
	var orders sync.WaitGroup
	for i := range earlyOrders {
		orders.Go(func() { p.place(w.hosts[0], fmt.Sprintf("order-%d", i), i%2 == 0) })
		time.Sleep(earlyPause)
	}
	orders.Wait()
	time.Sleep(time.Second) // lets the server read on
	o.record.say("%d orders sent, %d answered by a server, %d of them early; servers got %d bodies whole, %d that break off, %d with other bytes",
		earlyOrders, p.answered.Load(), p.early.Load(), p.whole.Load(), p.cut.Load(), p.other.Load())
	if p.other.Load() > 0 {
		o.record.say("BROKEN: UNASKED")
	}
	return p.other.Load() > 0
}

type earlyPlay struct {
	w *world
	// sent holds the bodies by id.
	sent *sync.Map
	// received counts the requests at the server of the first host.
	received                           atomic.Int64
	answered, early, whole, cut, other atomic.Int64
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
		early := p.w.o.trouble && h == p.w.hosts[0] && p.received.Add(1)%earlyEach == 0
		if early {
			p.early.Add(1)
			p.answer(conn, id)
			p.w.o.record.add("%s: the server of %s has answered, and reads on later", id, h.name)
			time.Sleep(earlyReadOn)
		}
		body, err := io.ReadAll(r.Body)
		p.judge(id, h, body, err)
		if err != nil {
			return
		}
		if !early {
			p.answer(conn, id)
		}
	}
}

func (p *earlyPlay) answer(conn net.Conn, id string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed.%s\r\nContent-Length: %d\r\n\r\n", names.ID, id, names.Signature, id, earlyReply)
	_, _ = conn.Write(append([]byte(head), repeated("placed ", earlyReply)...)) // the router may have left
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
	if signed {
		p.answered.Add(1)
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
