package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	listingBytes = 100 << 10
	// listingsAhead is the number of requests that a consumer sends before it reads the
	// first answer.
	listingsAhead  = 3
	listingRounds  = 30
	listingTimeout = 6 * time.Second
	// allowedCuts is the number of connections that the rule tolerates.
	allowedCuts = 3
)

// cutAnswers sends idempotent requests on kept connections, several before the first answer
// is there, and reads the answers in order. Without the trouble each request waits for the
// answer to the one before.
func cutAnswers(d *deployment) (broken int, err error) {
	d.store.publish(1, []route{
		{name: "list", host: "list.example", prefix: "/list/", kind: "safe", service: "almoxarifado", timeoutMs: 5000, targetMs: 1000, priority: 1, attempts: 2},
	}, []string{"vitrine", "almoxarifado"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	for i, service := range []string{"vitrine", "almoxarifado", "almoxarifado"} {
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
		s, err := n.startServer(fmt.Sprintf("i-%d", i+1), 14, false, runs, work)
		if err != nil {
			return 0, err
		}
		s.answer = func(id string) []byte { return pattern(id, listingBytes) }
	}
	time.Sleep(5 * time.Second)

	type ending struct {
		id, how string
	}
	var mu sync.Mutex
	var cut []ending
	answered := 0
	ahead := 1
	if d.trouble {
		ahead = listingsAhead
	}
	var wg sync.WaitGroup
	for consumer := range 4 {
		wg.Go(func() {
			for round := range listingRounds {
				ids := make([]string, listingsAhead)
				for i := range ids {
					ids[i] = fmt.Sprintf("%04x%04x%08x", consumer+1, round, i)
				}
				n, failed := list(d.nodes[0], ids, ahead)
				mu.Lock()
				answered += n
				mu.Unlock()
				if failed != nil {
					d.record("consumer %d: %s got no complete answer: %v", consumer, ids[n], failed)
					mu.Lock()
					cut = append(cut, ending{ids[n], failed.Error()})
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, e := range runs.all() {
		ran[e.id] = true
	}
	for _, c := range cut {
		if ran[c.id] {
			broken++
			d.record("passed on and run, and the connection closed without a complete answer: %s: %s", c.id, c.how)
		}
	}
	d.record("%d answered, %d run, %d connections closed without a complete answer to a request that ran", answered, len(ran), broken)
	if answered == 0 && broken == 0 {
		return 0, fmt.Errorf("nothing was answered")
	}
	if broken <= allowedCuts {
		return 0, nil
	}
	return broken, nil
}

// list sends the requests on one connection, up to ahead of them before their answers, and
// returns the number of complete answers, and why the connection ended early.
func list(n *node, ids []string, ahead int) (answered int, err error) {
	c, err := net.DialTimeout("tcp4", n.outbound, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(listingTimeout))
	br := bufio.NewReader(c)
	sent := 0
	for answered < len(ids) {
		for sent < len(ids) && sent < answered+ahead {
			_, err := fmt.Fprintf(c, "GET /list/%s HTTP/1.1\r\nHost: list.example\r\n%s: %s\r\n%s: 5000\r\n\r\n", ids[sent], names["request_id"], ids[sent], names["deadline"])
			if err != nil {
				return answered, err
			}
			sent++
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			return answered, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answered, fmt.Errorf("the answer with status %d ends after %d of %d bytes: %w", resp.StatusCode, len(body), listingBytes, err)
		}
		if resp.StatusCode == http.StatusOK && !bytes.Equal(body, pattern(ids[answered], listingBytes)) {
			return answered, fmt.Errorf("wrong body")
		}
		n.d.record("%s answered %d with %d bytes", ids[answered], resp.StatusCode, len(body))
		answered++
	}
	return answered, nil
}
