package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// clockAhead is how far the time of day is ahead while the server starts first.
	clockAhead = 2400 * time.Millisecond
	// firstLife is how long the server runs before it crashes, downTime how long it is down.
	firstLife = 1200 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// serveOn is how long the server serves after DrainMs.
	serveOn = 4 * time.Second
)

// lowerBirth starts a server while the time of day of its machine is ahead. The clock steps
// back, and the server crashes and starts again under its id, so that its start is before
// that of its earlier life. Later it says that it leaves. Without the trouble the clock is
// right all the time.
func lowerBirth(d *deployment) (broken int, err error) {
	d.store.publish(1, []route{
		{name: "cert", host: "cert.example", prefix: "/cert/", kind: "unsafe", service: "tesouraria", timeoutMs: 2000, targetMs: 500, priority: 1, attempts: 2},
	}, []string{"vitrine", "tesouraria"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return certWork }
	start := func(n *node, instance string) error {
		s, err := n.startServer(instance, 14, false, runs, work)
		if err == nil {
			d.record("server %s was born at %d", instance, s.born)
		}
		return err
	}
	for i, service := range []string{"vitrine", "tesouraria", "tesouraria", "tesouraria", "tesouraria", "tesouraria", "tesouraria", "tesouraria", "tesouraria"} {
		n, err := d.addNode(fmt.Sprintf("sidecar-%d", i+1), "pe-caruaru", service)
		if err != nil {
			return 0, err
		}
		if err := n.start(); err != nil {
			return 0, err
		}
		if err := n.waitReady(10 * time.Second); err != nil {
			return 0, err
		}
		if i == 1 {
			continue // its server starts later
		}
		if err := start(n, fmt.Sprintf("i-%d", i+1)); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	leaver := d.nodes[1]
	if d.trouble {
		leaver.clockAhead = clockAhead
		d.record("the time of day of %s is %v ahead", leaver.name, clockAhead)
	}
	if err := start(leaver, "i-2"); err != nil {
		return 0, err
	}
	time.Sleep(firstLife)
	leaver.server.crash()
	leaver.clockAhead = 0
	d.record("the time of day of %s is right", leaver.name)
	time.Sleep(downTime)
	if err := start(leaver, "i-2"); err != nil {
		return 0, err
	}
	time.Sleep(contactTime + time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	answers := map[string]string{}
	var wg sync.WaitGroup
	wg.Go(func() {
		client := http.Client{Timeout: certTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
		for i := 0; ctx.Err() == nil; i++ {
			wg.Go(func() {
				id := fmt.Sprintf("%016x", i+1)
				status := certify(&client, d.nodes[0], id)
				d.record("sent %s, answered %s", id, status)
				mu.Lock()
				answers[id] = status
				mu.Unlock()
			})
			time.Sleep(certPace)
		}
	})
	time.Sleep(2 * time.Second)
	leaver.server.drain()
	var confirmed time.Time
	for end := time.Now().Add(5 * time.Second); confirmed.IsZero() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		leaver.server.mu.Lock()
		confirmed = leaver.server.ackedLeft
		leaver.server.mu.Unlock()
	}
	if confirmed.IsZero() {
		return 0, fmt.Errorf("no confirmation")
	}
	time.Sleep(time.Until(confirmed.Add(drainTime + serveOn)))
	if _, err := leaver.server.deregister(); err != nil {
		return 0, err
	}
	d.record("server i-2 ends")
	leaver.server.crash()
	ended := time.Now()
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	cut, ran := 0, 0
	for _, e := range runs.all() {
		d.record("%s began %s at %.3f", e.instance, e.id, e.began.Sub(d.started).Seconds())
		if e.instance != "i-2" {
			continue
		}
		ran++
		if e.began.After(confirmed.Add(drainTime)) {
			broken++
			d.record("BROKEN: %s got %s %v after the confirmation; answered %s", e.instance, e.id, e.began.Sub(confirmed).Round(time.Millisecond), answers[e.id])
		}
		if e.began.After(ended.Add(-certWork)) && !strings.HasPrefix(answers[e.id], "200") {
			cut++
		}
	}
	d.record("%d requests sent, %d reached i-2, %d of them later than %v after the confirmation; %d were cut at its end", len(answers), ran, broken, drainTime, cut)
	return broken, nil
}
