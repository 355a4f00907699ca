package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/vhost"
)

const (
	pipelinedBytes     = 512_000 // size of an answer
	pipelinedConsumers = 6
	// pipelinedGap is the time between the requests of one consumer, of which at most
	// pipelinedDepth are unanswered.
	pipelinedGap   = 25 * time.Millisecond
	pipelinedDepth = 4
	// pipelinedRead is the time in which a consumer reads a byte: 10 MB a second.
	pipelinedRead     = 100 * time.Nanosecond
	pipelinedDeadline = 4 * time.Second
	pipelinedCalm     = 3 * time.Second
	pipelinedGrace    = 6 * time.Second
)

// stopPipelined stops a router by SIGTERM while consumers on its host send idempotent
// requests over kept connections without waiting for each answer.
func stopPipelined(o options) (broken bool) {
	w := newWorld(o, "catalogue", "catalogue", "catalogue")
	defer w.close()
	w.publish([]vhost.Service{{Name: "catalogue", HealthPath: "/healthz", MaxConnections: 120}}, []vhost.Route{{
		Name: "browse", Host: routeHost, Prefix: "/browse/", Repeatable: true, Timeout: 5 * time.Second,
		TargetLatency: time.Second, MaxAttempts: 2, Clusters: []vhost.Cluster{{Service: "catalogue", Weight: 1}},
	}})
	p := &pipelinedPlay{w: w, host: w.hosts[0], answered: &sync.Map{}}
	for _, h := range w.hosts {
		p.startServer(h)
		h.heartbeats("i-"+h.name, 14)
		h.start()
	}
	w.awaitReady()
	o.record.say("consumers start")
	go p.watchReadiness()
	var consumers sync.WaitGroup
	for i := range pipelinedConsumers {
		consumers.Go(func() { p.consume(i) })
	}
	time.Sleep(pipelinedCalm)
	if o.trouble {
		o.record.say("SIGTERM to the router of %s", p.host.name)
		p.host.signal(syscall.SIGTERM)
	}
	time.Sleep(pipelinedGrace + time.Second)
	p.ended.Store(true)
	consumers.Wait()
	o.record.say("%d requests sent, %d answered whole, %d not answered and not run, %d of them run and answered by a server but cut on the way to the consumer",
		p.sent.Load(), p.whole.Load(), p.notRun.Load(), p.lost.Load())
	if p.lost.Load() > 0 {
		o.record.say("BROKEN: LOST")
	}
	return p.lost.Load() > 0
}

type pipelinedPlay struct {
	w    *world
	host *host
	// answered holds the ids of the requests whose whole answer a server has sent.
	answered                  *sync.Map
	ended, left               atomic.Bool
	sent, whole, notRun, lost atomic.Int64
}

// startServer starts a sound server. It works for 15 ms and answers with a length.
func (p *pipelinedPlay) startServer(h *host) {
	l, err := net.Listen("tcp4", h.app)
	check(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(names.ID)
			time.Sleep(15 * time.Millisecond)
			rw.Header().Set(names.ID, id)
			rw.Header().Set(names.Signature, "signed."+id)
			rw.Header().Set("Content-Length", strconv.Itoa(pipelinedBytes))
			if _, err := rw.Write(repeated(id, pipelinedBytes)); err == nil {
				p.answered.Store(id, true)
				p.w.o.record.add("%s run and answered whole by the server of %s", id, h.name)
			}
		}))
	}()
}

// watchReadiness asks once a second, as the platform does. After two misses consumers send
// nothing more to the host.
func (p *pipelinedPlay) watchReadiness() {
	for misses := 0; misses < 2 && p.w.ctx.Err() == nil; time.Sleep(time.Second) {
		if p.host.isReady() {
			misses = 0
			continue
		}
		misses++
	}
	p.left.Store(true)
}

func (p *pipelinedPlay) over() bool {
	return p.ended.Load() || p.left.Load()
}

// consume opens one connection after another.
func (p *pipelinedPlay) consume(consumer int) {
	for n := 0; !p.over(); n++ {
		conn, err := net.DialTimeout("tcp4", p.host.caller, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.useConnection(conn, fmt.Sprintf("c%d-%d", consumer, n))
		_ = conn.Close()
	}
}

// useConnection sends requests until an answer says that the connection closes, and reads
// the answers in order.
func (p *pipelinedPlay) useConnection(conn net.Conn, prefix string) {
	type request struct {
		id   string
		sent time.Time
	}
	requests := make(chan request, pipelinedDepth-1)
	var closing atomic.Bool
	go func() {
		defer close(requests)
		for i := 0; !p.over() && !closing.Load(); i++ {
			q := request{id: fmt.Sprintf("%s-%d", prefix, i), sent: time.Now()}
			requests <- q
			p.sent.Add(1)
			_, err := fmt.Fprintf(conn, "GET /browse/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
				routeHost, names.ID, q.id, names.Deadline, pipelinedDeadline.Milliseconds())
			p.w.o.record.add("%s sent", q.id)
			if err != nil {
				return
			}
			time.Sleep(pipelinedGap)
		}
	}()
	reader := bufio.NewReaderSize(slowReader{conn}, 16<<10)
	ended := false
	for q := range requests {
		if ended {
			p.unanswered(q.id, "the connection had ended")
			continue
		}
		_ = conn.SetReadDeadline(q.sent.Add(pipelinedDeadline))
		resp, err := http.ReadResponse(reader, nil)
		length := 0
		if err == nil {
			if resp.Close {
				closing.Store(true)
			}
			var body []byte
			body, err = io.ReadAll(resp.Body)
			length = len(body)
		}
		if err == nil {
			p.whole.Add(1)
			p.w.o.record.add("%s answered: status %d, %d bytes, connection closes %v", q.id, resp.StatusCode, length, resp.Close)
			ended = resp.Close
			continue
		}
		closing.Store(true)
		ended = true
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			p.w.o.record.add("%s not answered by its deadline", q.id)
			continue
		}
		p.unanswered(q.id, fmt.Sprintf("%d bytes of the body, then: %v", length, err))
	}
}

// unanswered records a request whose connection ended without a complete answer.
func (p *pipelinedPlay) unanswered(id, why string) {
	if _, ran := p.answered.Load(id); ran {
		p.lost.Add(1)
		p.w.o.record.add("%s LOST: %s", id, why)
		return
	}
	p.notRun.Add(1)
	p.w.o.record.add("%s not answered, not run: %s", id, why)
}

// slowReader is the receiving end of a consumer's link.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (s slowReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	time.Sleep(time.Duration(n) * pipelinedRead)
	return n, err
}
