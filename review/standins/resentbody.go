package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// entries is the number of machines whose consumers send payouts.
	entries       = 3
	payoutBytes   = 72 << 10
	payoutWork    = 20 * time.Millisecond
	payoutPace    = 30 * time.Millisecond
	payoutTimeout = 3 * time.Second
	// restartDelay is the time from the kill of a process to its start.
	restartDelay = 100 * time.Millisecond
)

// resentBody sends payouts with bodies in chunks while the routers beside their servers are
// stopped and started in turn. A server must get the body that was sent.
func resentBody(d *deployment) (broken int, err error) {
	d.store.publish(1, []route{
		{name: "pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "tesouraria", timeoutMs: 4000, targetMs: 1000, priority: 1, attempts: 2},
	}, []string{"vitrine", "tesouraria"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return payoutWork }
	for i, service := range []string{"vitrine", "vitrine", "vitrine", "tesouraria", "tesouraria", "tesouraria"} {
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
	time.Sleep(5 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	sent := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			from := d.nodes[i%entries]
			wg.Go(func() {
				id := fmt.Sprintf("%016x", i+1)
				body := make([]byte, payoutBytes)
				_, _ = rand.Read(body)
				sum := sha256.Sum256(body)
				mu.Lock()
				sent[id] = hex.EncodeToString(sum[:8])
				mu.Unlock()
				d.record("sent %s: %d bytes %s; answered %s", id, len(body), sent16(sum), pay(from, id, body))
			})
			time.Sleep(payoutPace / entries)
		}
	})
	time.Sleep(2 * time.Second)
	for _, n := range d.nodes[entries:] {
		if d.trouble {
			n.kill()
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				cancel()
				return 0, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	cancel()
	wg.Wait()
	all := runs.all()
	for _, e := range all {
		d.record("%s ran %s with %d bytes %s", e.instance, e.id, e.bytes, e.body)
		if want := sent[e.id]; want != e.body {
			broken++
			d.record("BROKEN: server %s ran %s with another body: %d bytes %s; sent were %d bytes %s", e.instance, e.id, e.bytes, e.body, payoutBytes, want)
		}
	}
	d.record("%d requests sent, %d run, %d with another body", len(sent), len(all), broken)
	if len(all) == 0 {
		return 0, fmt.Errorf("nothing ran")
	}
	return broken, nil
}

func sent16(sum [32]byte) string { return hex.EncodeToString(sum[:8]) }

// pay sends one payout with its body in chunks and returns what was answered.
func pay(n *node, id string, body []byte) string {
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Transport: transport, Timeout: payoutTimeout}
	// A reader of unknown length makes the client send chunks.
	req, err := http.NewRequest(http.MethodPost, "http://"+n.outbound+"/pay/1", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return err.Error()
	}
	req.Host = "pay.example"
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["deadline"], strconv.Itoa(int(payoutTimeout.Milliseconds())))
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%d, broke off: %v", resp.StatusCode, err)
	}
	return fmt.Sprintf("%d %.160s", resp.StatusCode, text)
}
