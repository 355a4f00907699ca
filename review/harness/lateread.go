package main

import (
	"bytes"
	"context"
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
	lateReadBody     = 1_000_000 // bytes of a request's body
	lateReadPause    = 1200 * time.Millisecond
	lateReadOrders   = 10
	lateReadGap      = 100 * time.Millisecond
	lateReadDeadline = 2500 * time.Millisecond
	lateReadCalm     = 3 * time.Second
)

// lateRead stops a router by SIGTERM while consumers on its host place orders with long
// bodies. With the disruption, servers work for some time before they read the body.
func lateRead(o options) bool {
	w := newWorld(o, "desk", "orders", "orders")
	defer w.close()
	w.publish([]vhost.Service{{Name: "desk", HealthPath: "/healthz", MaxConnections: 120}, {Name: "orders", HealthPath: "/healthz", MaxConnections: 120}}, []vhost.Route{{
		Name: "place", Host: routeHost, Prefix: "/orders/", Timeout: 3 * time.Second, TargetLatency: 2 * time.Second, MaxAttempts: 2,
		Clusters: []vhost.Cluster{{Service: "orders", Weight: 1}},
	}})
	p := &lateReadPlay{w: w, working: &sync.Map{}}
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
	for i := range lateReadOrders {
		orders.Go(func() { p.place(w.hosts[0], fmt.Sprintf("order-%d", i)) })
		time.Sleep(lateReadGap)
	}
	orders.Wait()
	time.Sleep(lateReadPause) // lets the servers record what they got
	o.record.say("%d orders sent, %d answered by a server, %d refused as not run, %d broken off while their server was at work",
		lateReadOrders, p.answered.Load(), p.refused.Load(), p.lost.Load())
	if p.lost.Load() > 0 {
		o.record.say("BROKEN: LOST")
	}
	return p.lost.Load() > 0
}

type lateReadPlay struct {
	w *world
	// working holds the ids of the requests on which a server works at the moment.
	working                 *sync.Map
	answered, refused, lost atomic.Int64
}

// startServer starts a sound server: it begins to work once it has the head of a request,
// reads the body and answers.
func (p *lateReadPlay) startServer(h *host) {
	l, err := net.Listen("tcp4", h.app)
	check(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(names.ID)
			p.working.Store(id, true)
			defer p.working.Delete(id)
			p.w.o.record.add("%s: the server of %s begins to work", id, h.name)
			if p.w.o.trouble {
				time.Sleep(lateReadPause)
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				p.w.o.record.add("%s: the server of %s has got %d bytes of the body, then: %v", id, h.name, n, err)
				return
			}
			p.w.o.record.add("%s: the server of %s has read the body, %d bytes, and answers", id, h.name, n)
			rw.Header().Set(names.ID, id)
			rw.Header().Set(names.Signature, "signed."+id)
			_, _ = io.WriteString(rw, "placed")
		}))
	}()
}

// place sends one order, which may run once at most, and reads its answer.
func (p *lateReadPlay) place(h *host, id string) {
	ctx, cancel := context.WithTimeout(p.w.ctx, lateReadDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/orders/new", bytes.NewReader(make([]byte, lateReadBody)))
	check(err)
	req.Host = routeHost
	req.Header.Set(names.ID, id)
	req.Header.Set(names.Deadline, fmt.Sprint(lateReadDeadline.Milliseconds()))
	sent := time.Now()
	p.w.o.record.add("%s sent to %s", id, h.name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	took := time.Since(sent).Round(time.Millisecond)
	_, working := p.working.Load(id)
	if err != nil {
		p.w.o.record.add("%s after %v: %v; a server is at work on it: %v", id, took, err, working)
		if working && took < lateReadDeadline {
			p.lost.Add(1)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // an error shows as a shorter body in the record
	signed := resp.Header.Get(names.Signature) != ""
	p.w.o.record.add("%s after %v: status %d, from a server: %v, a server is at work on it: %v: %s", id, took, resp.StatusCode, signed, working, body)
	switch {
	case signed:
		p.answered.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable:
		p.refused.Add(1)
	case working && took < lateReadDeadline:
		p.lost.Add(1)
	}
}
