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
	listingBytes   = 90_000
	listingEntries = 2
	listingServers = 3
	// listingConsumers is the number of consumers of each entry. Each has at most one
	// request at a time, so that the servers have slots for all of them.
	listingConsumers = 20
	// listingTime is how long the consumers go on.
	listingTime = 30 * time.Second
	// listingsPerConn is the number of requests that a consumer sends on one kept connection.
	listingsPerConn = 10
	listingTimeout  = 6 * time.Second
	// allowedCuts is the number of connections that the rule tolerates.
	allowedCuts = 3
)

// cutAnswers reads listings of 90,000 bytes on kept connections, one request at a time.
// Without the trouble each request goes on a new connection.
func cutAnswers(d *deployment) (broken int, err error) {
	d.store.publish(1, []route{
		{name: "list", host: "list.example", prefix: "/list/", kind: "safe", service: "almoxarifado", timeoutMs: 5000, targetMs: 1000, priority: 1, attempts: 2},
	}, []string{"vitrine", "almoxarifado"}, nil)
	runs := &ledger{}
	work := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	for i := range listingEntries + listingServers {
		service := "vitrine"
		if i >= listingEntries {
			service = "almoxarifado"
		}
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

	var mu sync.Mutex
	cut := map[string]ending{}
	statuses := map[int]int{}
	perConn := 1
	if d.trouble {
		perConn = listingsPerConn
	}
	var wg sync.WaitGroup
	start := time.Now()
	for consumer := range listingEntries * listingConsumers {
		wg.Go(func() {
			for round := 0; time.Since(start) < listingTime; round++ {
				var ids []string
				for i := range listingsPerConn {
					ids = append(ids, fmt.Sprintf("%04x%04x%08x", consumer+1, round, i))
				}
				for len(ids) > 0 {
					n := min(perConn, len(ids))
					answered, received, failed := list(d.nodes[consumer%listingEntries], ids[:n])
					d.record("sent %v to %s on one connection; answered %v, end %v", ids[:n], d.nodes[consumer%listingEntries].name, answered, failed)
					mu.Lock()
					for _, status := range answered {
						statuses[status]++
					}
					if failed != nil {
						cut[ids[len(answered)]] = ending{how: failed.Error(), bytes: received, first: len(answered) == 0}
					}
					mu.Unlock()
					ids = ids[n:]
				}
			}
		})
	}
	wg.Wait()
	ran := map[string]string{}
	for _, e := range runs.all() {
		ran[e.id] = e.instance
		d.record("%s ran %s", e.instance, e.id)
	}
	partly := 0
	for id, e := range cut {
		switch {
		case ran[id] == "":
			d.record("no answer, and not run: %s: %s", id, e.how)
		case e.bytes > 0:
			partly++
			d.record("passed on to %s and run, and the answer broke off after %d bytes: %s: %s", ran[id], e.bytes, id, e.how)
		case e.first && d.trouble:
			d.record("passed on to %s and run, and no answer, but not from a kept connection: %s: %s", ran[id], id, e.how)
		default:
			broken++
			d.record("BROKEN: passed on to %s and run, and the connection closed without an answer: %s: %s", ran[id], id, e.how)
		}
	}
	if !d.trouble {
		broken += partly // without the trouble nothing at all may break off
	}
	d.record("answers by status %v, %d run, %d connections closed without any byte of an answer to a request that ran, %d answers broken off", statuses, len(ran), broken, partly)
	if statuses[http.StatusOK] == 0 {
		return 0, fmt.Errorf("nothing was answered")
	}
	if broken <= allowedCuts {
		return 0, nil
	}
	return broken, nil
}

// ending is how a connection ended whose last request got no complete answer.
type ending struct {
	how string
	// bytes is the number of bytes of the answer that arrived.
	bytes int
	// first is true if the request was the first one on its connection.
	first bool
}

// countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	count int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count += n
	return n, err
}

// list sends the requests on one connection, each after the complete answer to the one
// before. It returns the statuses of the answers, the bytes that have arrived of the last
// answer, and why the connection ended early.
func list(n *node, ids []string) (answered []int, received int, err error) {
	c, err := net.DialTimeout("tcp4", n.outbound, time.Second)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = c.Close() }()
	in := &countingReader{Reader: c}
	br := bufio.NewReader(in)
	for _, id := range ids {
		in.count = 0
		_ = c.SetDeadline(time.Now().Add(listingTimeout))
		_, err := fmt.Fprintf(c, "GET /list/%s HTTP/1.1\r\nHost: list.example\r\n%s: %s\r\n%s: 5000\r\n\r\n", id, names["request_id"], id, names["deadline"])
		if err != nil {
			return answered, in.count, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			return answered, in.count, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answered, in.count, fmt.Errorf("the answer with status %d ends after %d of %d bytes: %w", resp.StatusCode, len(body), listingBytes, err)
		}
		if resp.StatusCode == http.StatusOK && !bytes.Equal(body, pattern(id, listingBytes)) {
			return answered, in.count, fmt.Errorf("wrong body")
		}
		answered = append(answered, resp.StatusCode)
		if resp.Close {
			return answered, in.count, nil
		}
	}
	return answered, in.count, nil
}
