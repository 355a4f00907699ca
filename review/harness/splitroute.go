package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

const (
	splitSettle = 3 * time.Second // beyond the time in which a manifest must be in force
	splitLength = 4 * time.Second
)

// splitRoute splits a route while consumers ask for things whose names have an escaped slash.
func splitRoute(o options) bool {
	w := newWorld(o, "items", "archive", "items", "archive")
	defer w.close()
	p := &splitPlay{w: w, ranBy: &sync.Map{}}
	p.publish(1, map[string]string{"/items/": "items"})
	for _, h := range w.hosts {
		p.startServer(h)
		h.heartbeats("i-"+h.name, 14)
		h.start()
	}
	w.awaitReady()
	o.record.say("manifest r1: /items/ goes to items")
	p.send("before")
	if o.trouble {
		p.publish(2, map[string]string{"/items/": "items", "/items/a/": "archive"})
		o.record.say("manifest r2: /items/ goes to items, /items/a/ goes to archive")
	}
	time.Sleep(splitSettle)
	p.send("after")
	o.record.say("%d requests answered with success, %d of them run by a service to which no manifest allows them", p.answered.Load(), p.wrong.Load())
	if p.wrong.Load() > 0 {
		o.record.say("BROKEN: ROUTE")
	}
	return p.wrong.Load() > 0
}

type splitPlay struct {
	w               *world
	ranBy           *sync.Map // id to service
	answered, wrong atomic.Int64
}

// publish writes a manifest with the routes, each a prefix and a service.
func (p *splitPlay) publish(version uint64, routes map[string]string) {
	c := vhost.Config{
		Version:  version,
		Services: []vhost.Service{{Name: "items", HealthPath: "/healthz", MaxConnections: 120}, {Name: "archive", HealthPath: "/healthz", MaxConnections: 120}},
		Limits:   vhost.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second},
	}
	for prefix, service := range routes {
		c.Routes = append(c.Routes, vhost.Route{
			Name: "to-" + service, Host: routeHost, Prefix: prefix, Repeatable: true, Timeout: 3 * time.Second,
			TargetLatency: time.Second, MaxAttempts: 2, Clusters: []vhost.Cluster{{Service: service, Weight: 1}},
		})
	}
	check(standin.Publish(p.w.ctx, p.w.store, c))
}

// startServer starts a sound server.
func (p *splitPlay) startServer(h *host) {
	l, err := net.Listen("tcp4", h.app)
	check(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(names.ID)
			p.ranBy.Store(id, h.service)
			p.w.o.record.add("%s %s run by %s", id, r.RequestURI, h.service)
			rw.Header().Set(names.ID, id)
			rw.Header().Set(names.Signature, "signed."+id)
			_, _ = io.WriteString(rw, "answer of "+h.service)
		}))
	}()
}

// send sends requests to all routers. The name of each thing is one segment of the path: its
// slash is escaped.
func (p *splitPlay) send(phase string) {
	deadline := time.Now().Add(splitLength)
	for i := 0; time.Now().Before(deadline); i++ {
		h := p.w.hosts[i%len(p.w.hosts)]
		id, target := fmt.Sprintf("%s-%d", phase, i), fmt.Sprintf("/items/a%%2F%d", i)
		status, body := p.get(h, id, target)
		p.w.o.record.add("%s GET %s at %s: %d %q", id, target, h.name, status, body)
		if status == http.StatusOK {
			p.answered.Add(1)
		}
		if service, ran := p.ranBy.Load(id); ran && service != "items" {
			p.wrong.Add(1)
			p.w.o.record.add("%s ROUTE: %s run by %v", id, target, service)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *splitPlay) get(h *host, id, target string) (status int, body string) {
	conn, err := net.DialTimeout("tcp4", h.caller, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\nConnection: close\r\n\r\n", target, routeHost, names.ID, id, names.Deadline)
	resp, err := http.ReadResponse(newReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
