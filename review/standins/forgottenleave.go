package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is the time for which a machine must have run undisturbed to be in touch.
	contactTime = 3 * time.Second
	// leaveDelay is the time from the start of the router to the notice of the server.
	leaveDelay = 150 * time.Millisecond
	// reportDelay is how late one status report of the server arrives.
	reportDelay = 2 * time.Second
	// serveAfter is how long the server serves after its leaving was confirmed.
	serveAfter  = drainTime + 6*time.Second
	certPace    = 10 * time.Millisecond
	certWork    = 80 * time.Millisecond
	certTimeout = 2 * time.Second
)

// forgottenLeave kills the router beside a server and starts it again. Soon after, the
// server says that it leaves, and gets the confirmation. A status report that it had sent
// before arrives late. Without the trouble the router is not killed.
func forgottenLeave(d *deployment) (broken int, err error) {
	d.store.publish(1, []route{
		{name: "cert", host: "cert.example", prefix: "/cert/", kind: "unsafe", service: "tesouraria", timeoutMs: 2000, targetMs: 500, priority: 1, attempts: 2},
	}, []string{"vitrine", "tesouraria"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return certWork }
	for i, service := range []string{"vitrine", "tesouraria", "tesouraria"} {
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
		if _, err := n.startServer(fmt.Sprintf("i-%d", i+1), 14, false, runs, work); err != nil {
			return 0, err
		}
	}
	time.Sleep(6 * time.Second)

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
	time.Sleep(time.Second)

	leaver := d.nodes[1]
	leaver.server.mute() // the next report is the late one
	leaver.server.reportLate(reportDelay)
	inTouch := time.Now()
	if d.trouble {
		leaver.kill()
		time.Sleep(restartDelay)
		if err := leaver.start(); err != nil {
			return 0, err
		}
		if err := leaver.waitReady(5 * time.Second); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(leaveDelay)
	confirmed, err := leaver.server.deregister()
	if err != nil {
		return 0, err
	}
	time.Sleep(serveAfter)
	d.record("server %s ends", leaver.server.instance)
	leaver.server.crash()
	ended := time.Now()
	time.Sleep(time.Second)
	cancel()
	wg.Wait()

	cut := 0
	for _, e := range runs.all() {
		d.record("%s began %s at %.3f", e.instance, e.id, e.began.Sub(d.started).Seconds())
		if e.instance != leaver.server.instance || !e.began.After(confirmed.Add(drainTime)) {
			continue
		}
		if e.began.After(inTouch) {
			broken++
			d.record("BROKEN: %s got %s %v after the confirmation; answered %s", e.instance, e.id, e.began.Sub(confirmed).Round(time.Millisecond), answers[e.id])
		}
		if e.began.After(ended.Add(-certWork)) && !strings.HasPrefix(answers[e.id], "200") {
			cut++
		}
	}
	d.record("%d requests sent, %d reached %s later than %v after the confirmation, from machines in touch; %d were cut at its end", len(answers), broken, leaver.server.instance, drainTime, cut)
	return broken, nil
}

// certify sends one request for a certificate and returns what was answered.
func certify(client *http.Client, n *node, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.outbound+"/cert/1", strings.NewReader("certificate "+id))
	if err != nil {
		return err.Error()
	}
	req.Host = "cert.example"
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(certTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %.120s", resp.StatusCode, text)
}
