package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sampleStep is the distance of the keys whose holders are recorded.
const sampleStep = 1024

// holdInterval is the time for which a server held a key.
type holdInterval struct {
	server string
	fence  int64
	start  time.Time
	// end is the end of the hold, full the end that the server was promised.
	end, full time.Time
}

// keyLog records the holders of sample keys.
type keyLog struct {
	mu        sync.Mutex
	intervals map[int][]*holdInterval
}

// update records what the server holds now. s.mu must be held, unless it has crashed.
func (l *keyLog) update(s *server) {
	if l == nil {
		return
	}
	name := fmt.Sprintf("%s@%d", s.instance, s.born)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := 0; key < 65536; key += sampleStep {
		var held *grantRow
		for i := range s.holds {
			if h := &s.holds[i]; key >= h.from && key <= h.to && now.Before(h.until) {
				held = h
			}
		}
		var last *holdInterval
		for _, x := range l.intervals[key] {
			if x.server == name {
				last = x
			}
		}
		switch {
		case held == nil && last != nil && last.end.After(now):
			last.end = now
		case held == nil:
		case last != nil && last.fence == held.fence && !last.end.Before(now):
			last.end, last.full = held.until, held.until
		default:
			l.intervals[key] = append(l.intervals[key], &holdInterval{name, held.fence, now, held.until, held.until})
		}
	}
}

// exploreKeys is no case: it checks the holders of keys while processes, servers and the
// store are disturbed.
func exploreKeys(d *deployment) (int, error) {
	how := strings.Split(os.Getenv("HOW"), ",")
	length, err := time.ParseDuration(os.Getenv("LENGTH"))
	if err != nil {
		length = 30 * time.Second
	}
	workMax, err := time.ParseDuration(os.Getenv("WORK"))
	if err != nil {
		workMax = 100 * time.Millisecond
	}
	d.store.publish(1, []route{
		{name: "key", host: "x.example", prefix: "/key/", kind: "unsafe", service: "k", timeoutMs: 4000, targetMs: 1000, priority: 1, attempts: 2},
	}, []string{"a", "k"}, map[string]bool{"k": true})
	runs, keys := &ledger{}, &keyLog{intervals: map[int][]*holdInterval{}}
	var mu sync.Mutex
	serial := 0
	up := func(n *node, instance string) error {
		mu.Lock()
		serial++
		if instance == "" {
			instance = fmt.Sprintf("i-%d", serial)
		}
		mu.Unlock()
		s, err := n.startServer(instance, 10, n.service == "k", runs, func(*http.Request) time.Duration { return rand2(workMax) })
		if err == nil {
			s.mu.Lock()
			s.keys = keys
			s.mu.Unlock()
		}
		return err
	}
	add := func(i int, service string) (*node, error) {
		n, err := d.addNode(fmt.Sprintf("n-%d", i+1), fmt.Sprintf("z%d", i%2), service)
		if err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		if err := n.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
		return n, up(n, "")
	}
	for i, service := range []string{"a", "k", "k", "k", "k"} {
		if _, err := add(i, service); err != nil {
			return 0, err
		}
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	answers := map[string]int{}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			client := http.Client{Timeout: 5 * time.Second}
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("%04x%012x", i, k)
				key := rand.Intn(64) * sampleStep
				req, _ := http.NewRequest(http.MethodPost, "http://"+d.nodes[i%5].outbound+"/key/1", strings.NewReader("x"))
				req.Host = "x.example"
				req.Header.Set(names["request_id"], id)
				req.Header.Set(names["deadline"], "4000")
				req.Header.Set(names["key"], strconv.Itoa(key))
				resp, err := client.Do(req)
				status := "error"
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = fmt.Sprint(resp.StatusCode)
				}
				mu.Lock()
				answers[status]++
				mu.Unlock()
				if status != "200" {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	wg.Go(func() {
		for ctx.Err() == nil && d.trouble {
			time.Sleep(time.Duration(300+rand.Intn(2500)) * time.Millisecond)
			n := d.nodes[1+rand.Intn(len(d.nodes)-1)]
			switch how[rand.Intn(len(how))] {
			case "kill":
				n.kill()
				time.Sleep(time.Duration(rand.Intn(600)) * time.Millisecond)
				_ = n.start()
			case "term":
				_ = n.restart()
			case "stop":
				n.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.Intn(12000)) * time.Millisecond)
				n.signal(syscall.SIGCONT)
			case "crash":
				n.server.crash()
				time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
				if err := up(n, ""); err != nil {
					d.record("start: %v", err)
				}
			case "reborn":
				n.server.crash()
				time.Sleep(time.Duration(rand.Intn(1000)) * time.Millisecond)
				if err := up(n, n.server.instance); err != nil {
					d.record("start: %v", err)
				}
			case "herd":
				for _, other := range d.nodes {
					other.kill()
				}
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
				for _, other := range d.nodes {
					_ = other.start()
				}
			case "power":
				for _, other := range d.nodes {
					other.kill()
					other.server.crash()
				}
				time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
				for _, other := range d.nodes {
					_ = other.start()
					if err := up(other, ""); err != nil {
						d.record("start: %v", err)
					}
				}
			case "compact":
				d.store.compact()
			case "down":
				d.record("store down")
				d.store.setFaults(true, 0, 0, 0)
				time.Sleep(time.Duration(rand.Intn(14000)) * time.Millisecond)
				d.store.setFaults(false, 0, 0, 0)
				d.record("store up")
			case "slow":
				d.store.setFaults(false, time.Duration(rand.Intn(1200))*time.Millisecond, 0, 0)
				time.Sleep(time.Duration(rand.Intn(6000)) * time.Millisecond)
				d.store.setFaults(false, 0, 0, 0)
			case "lost":
				d.store.setFaults(false, 0, 0.3, 0.3)
				time.Sleep(time.Duration(rand.Intn(6000)) * time.Millisecond)
				d.store.setFaults(false, 0, 0, 0)
			case "grow":
				if len(d.nodes) < 8 {
					if _, err := add(len(d.nodes), "k"); err != nil {
						d.record("grow: %v", err)
					}
				}
			}
		}
	})
	wg.Wait()
	d.record("answers %v, %d runs", answers, len(runs.all()))
	return checkKeys(d, runs, keys), nil
}

func rand2(most time.Duration) time.Duration { return time.Duration(rand.Int63n(int64(most))) }

func checkKeys(d *deployment, runs *ledger, keys *keyLog) (broken int) {
	byKey := map[int][]execution{}
	for _, e := range runs.all() {
		byKey[e.key] = append(byKey[e.key], e)
	}
	fail := func(format string, args ...any) {
		broken++
		d.record("BROKEN OWNER "+format, args...)
	}
	at := func(t time.Time) float64 { return t.Sub(d.started).Seconds() }
	count := 0
	for key, list := range keys.intervals {
		count += len(list)
		for i, a := range list {
			for _, b := range list[:i] { // b began before a
				if a.server == b.server {
					continue
				}
				if a.fence <= b.fence {
					fail("key %d: %s took fence %d at %.3f, %s had %d from %.3f", key, a.server, a.fence, at(a.start), b.server, b.fence, at(b.start))
				}
				end := a.end
				if b.end.Before(end) {
					end = b.end
				}
				if overlap := end.Sub(a.start); overlap > 0 {
					fail("key %d: %s (fence %d) from %.3f and %s (fence %d) until %.3f: %v together", key, a.server, a.fence, at(a.start), b.server, b.fence, at(b.end), overlap)
				}
				for _, e := range byKey[key] {
					if strings.HasPrefix(b.server, e.instance+"@") && e.began.After(b.start) && e.began.Before(a.start) && e.ended.After(a.start) && a.start.Before(b.full) {
						fail("key %d: %s took it at %.3f while %s worked on %s from %.3f to %.3f, hold to %.3f", key, a.server, at(a.start), b.server, e.id, at(e.began), at(e.ended), at(b.full))
					}
				}
			}
		}
	}
	d.record("%d holds of sample keys", count)
	return broken
}
