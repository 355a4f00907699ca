package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/ctl/dev"
	"burdockglade.dev/stores/standin"
)

// ticksPerSecond is the number of clock ticks per second (USER_HZ) in /proc,
// which Linux fixes at 100.
const ticksPerSecond = 100

// cpuTime returns the user and system CPU time that the process has used.
func (p *process) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	// The second field is the process name in parentheses, which may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentMB returns the resident memory of the process in MB.
func (p *process) residentMB(b *testing.B) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return float64(kb) / 1000
}

// killAll kills all processes of an iteration, so that they do not run during the
// next one.
func (c *cluster) killAll() {
	for _, h := range c.hosts {
		h.kill()
	}
	c.table.kill()
	c.objects.kill()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

var upstreamAddress = regexp.MustCompile(`listens at (http://[0-9.:]+)`)

// closedLoop sends requests from 8 workers for the given duration and returns the
// sorted latencies.
func (c *cluster) closedLoop(b *testing.B, url string, headers map[string]string, duration time.Duration) []time.Duration {
	b.Helper()
	const workers = 8
	all := make([][]time.Duration, workers)
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			for time.Now().Before(end) {
				took, err := c.timedRequest(url, headers)
				if err != nil {
					b.Errorf("%s: %v", url, err)
					return
				}
				all[i] = append(all[i], took)
			}
		})
	}
	wg.Wait()
	sorted := slices.Concat(all...)
	slices.Sort(sorted)
	return sorted
}

// timedRequest sends one GET request and returns its latency.
func (c *cluster) timedRequest(url string, headers map[string]string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	begin := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var echo standin.EchoResponse
	err = json.NewDecoder(resp.Body).Decode(&echo)
	if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(begin), err
}

// BenchmarkPath compares requests through two routers, through the owner's router
// only, and directly to the same upstream, in alternating intervals. The reported
// CPU time is that of the router processes.
func BenchmarkPath(b *testing.B) {
	c := newCluster(b)
	c.publish("first-note", twoServices)
	for i := range 2 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i+1), "orders", "--slots", "64")
	}
	c.awaitSpread("orders", 40)
	// Otherwise placement would move the only key that has load.
	c.disablePlacement()
	owned := ""
	for path, owner := range c.awaitSpread("orders", 40) {
		if owner == "h2" {
			owned = path
		}
	}
	entry, owner := c.hosts[0], c.hosts[1]
	direct := upstreamAddress.FindStringSubmatch(owner.upstream.log.String())[1]
	headers := map[string]string{
		"Burdock-Group": "direct", "Burdock-Generation": "1",
		"Burdock-Not-After": strconv.FormatInt(time.Now().Add(time.Hour).UnixMicro(), 10),
	}
	const interval = time.Second
	var twoHops, oneHop, noHop []time.Duration
	var entryCPU, ownerCPU, aloneCPU, took time.Duration
	for b.Loop() {
		noHop = append(noHop, c.closedLoop(b, direct+owned, headers, interval)...)
		before := owner.router.cpuTime(b)
		oneHop = append(oneHop, c.closedLoop(b, "http://"+owner.caller+owned, nil, interval)...)
		aloneCPU += owner.router.cpuTime(b) - before
		beforeEntry, beforeOwner := entry.router.cpuTime(b), owner.router.cpuTime(b)
		twoHops = append(twoHops, c.closedLoop(b, "http://"+entry.caller+owned, nil, interval)...)
		entryCPU += entry.router.cpuTime(b) - beforeEntry
		ownerCPU += owner.router.cpuTime(b) - beforeOwner
		took += interval
	}
	for name, latencies := range map[string][]time.Duration{"direct": noHop, "one-hop": oneHop, "two-hop": twoHops} {
		slices.Sort(latencies)
		b.ReportMetric(float64(quantile(latencies, 0.5).Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(quantile(latencies, 0.99).Microseconds()), name+"-p99-us")
		b.ReportMetric(float64(len(latencies))/took.Seconds(), name+"-req/s")
	}
	b.ReportMetric(float64(aloneCPU.Microseconds())/float64(len(oneHop)), "one-hop-cpu-us/req")
	b.ReportMetric(float64(entryCPU.Microseconds())/float64(len(twoHops)), "entry-cpu-us/req")
	b.ReportMetric(float64(ownerCPU.Microseconds())/float64(len(twoHops)), "owner-cpu-us/req")
	b.ReportMetric(entry.router.residentMB(b), "entry-MB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLossOfAHost kills the router and upstream of one of three hosts and
// measures the time until all its keys are served again. Each iteration starts a
// new cluster.
func BenchmarkLossOfAHost(b *testing.B) {
	var rounds []time.Duration
	for b.Loop() {
		c := threeHosts(b, "orders")
		owners := c.awaitSpread("orders", 60)
		victim, entry := c.hosts[1], c.hosts[0]
		var o outage
		var wg sync.WaitGroup
		victim.kill()
		lostAt := time.Now()
		for path, owner := range owners {
			if owner != victim.name {
				continue
			}
			wg.Go(func() {
				d := c.timeToNewOwner(entry, path, victim.name, lostAt)
				o.mu.Lock()
				o.longest = max(o.longest, d)
				o.mu.Unlock()
			})
		}
		wg.Wait()
		rounds = append(rounds, o.longest)
		c.killAll()
	}
	slices.Sort(rounds)
	b.ReportMetric(float64(quantile(rounds, 0.5).Milliseconds()), "median-ms")
	b.ReportMetric(float64(rounds[len(rounds)-1].Milliseconds()), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkGracefulStop stops one of three hosts, which moves all its shards away,
// while requests for 40 keys are sent continuously through another host. It
// reports the highest latency and the number of failed requests.
func BenchmarkGracefulStop(b *testing.B) {
	var longest time.Duration
	var stopped []time.Duration
	refused, sent := 0, 0
	for b.Loop() {
		c := threeHosts(b, "orders")
		owners := c.awaitSpread("orders", 40)
		stop := make(chan struct{})
		var mu sync.Mutex
		var wg sync.WaitGroup
		for path := range owners {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					begin := time.Now()
					a, err := c.request(http.MethodPost, c.hosts[0], path, "n")
					mu.Lock()
					sent++
					longest = max(longest, time.Since(begin))
					if err != nil || a.status != http.StatusOK {
						refused++
						b.Logf("%s: error %v, status %d, %s", path, err, a.status, a.raw)
					}
					mu.Unlock()
				}
			})
		}
		begin := time.Now()
		c.hosts[2].router.stop(b)
		stopped = append(stopped, time.Since(begin))
		close(stop)
		wg.Wait()
		c.killAll()
	}
	slices.Sort(stopped)
	b.ReportMetric(float64(longest.Milliseconds()), "longest-wait-ms")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(sent), "sent")
	b.ReportMetric(float64(quantile(stopped, 0.5).Milliseconds()), "stop-median-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkNoteInForce measures the time from the publication of a note until all
// of six routers have it in force, with the default poll interval.
func BenchmarkNoteInForce(b *testing.B) {
	c := newCluster(b)
	c.notePoll = "5s"
	c.publish("first-note", twoServices)
	for i := range 6 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%3+1), "orders")
	}
	c.awaitServed(c.hosts[0], "/orders/key-1")
	var rounds []time.Duration
	version := 1
	for b.Loop() {
		text := fmt.Sprintf("[note]\ntitle = change\nbase = %d\n[change service orders]\nqueue_limit = %d\n", version, 100+version)
		c.publish(fmt.Sprintf("change-%04d", version), text)
		begin := time.Now()
		version++
		want := fmt.Sprintf(`"event":1300,"version":%d,`, version)
		for _, h := range c.hosts {
			eventually(b, "the note is in force", func() bool { return strings.Contains(h.router.log.String(), want) })
		}
		rounds = append(rounds, time.Since(begin))
	}
	slices.Sort(rounds)
	b.ReportMetric(float64(quantile(rounds, 0.5).Milliseconds()), "median-ms")
	b.ReportMetric(float64(rounds[len(rounds)-1].Milliseconds()), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSteadyStore measures the reads and writes that a cluster without
// requests sends to the table service, and the CPU time of the routers.
func BenchmarkSteadyStore(b *testing.B) {
	const window = 20 * time.Second
	for _, hosts := range []int{3, 6, 9} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newCluster(b)
			c.notePoll = "5s"
			c.publish("first-note", twoServices)
			for i := range hosts {
				c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%3+1), "orders")
			}
			c.awaitServed(c.hosts[0], "/orders/key-1")
			c.awaitNoWrites(b)
			var reads, writes float64
			used := make([]time.Duration, hosts)
			n := 0
			for b.Loop() {
				before := c.counters(b)
				for i, h := range c.hosts {
					used[i] -= h.router.cpuTime(b)
				}
				time.Sleep(window)
				after := c.counters(b)
				for i, h := range c.hosts {
					used[i] += h.router.cpuTime(b)
				}
				reads += float64(after.Reads - before.Reads)
				writes += float64(after.Writes - before.Writes)
				n++
			}
			slices.Sort(used)
			seconds := float64(n) * window.Seconds()
			b.ReportMetric(reads/seconds/float64(hosts), "reads/s/host")
			b.ReportMetric(writes/seconds/float64(hosts), "writes/s/host")
			b.ReportMetric(quantile(used, 0.5).Seconds()/seconds*100, "median-router-%core")
			b.ReportMetric(used[hosts-1].Seconds()/seconds*100, "max-router-%core")
			b.ReportMetric(c.hosts[0].router.residentMB(b), "router-MB")
			b.ReportMetric(0, "ns/op")
			c.killAll()
		})
	}
}

// awaitNoWrites waits until no row was written for 10 s, which means that the
// initial placement of the shards has ended.
func (c *cluster) awaitNoWrites(b *testing.B) {
	b.Helper()
	const quiet = 10 * time.Second
	writes, since := int64(-1), time.Now()
	eventually(b, "no writes for 10 s", func() bool {
		if w := c.counters(b).Writes; w != writes {
			writes, since = w, time.Now()
		}
		return time.Since(since) > quiet
	})
}

func (c *cluster) counters(b *testing.B) standin.Counters {
	b.Helper()
	resp, err := c.http.Get(c.tableURL + "/v1/counters")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var counters standin.Counters
	if err := json.NewDecoder(resp.Body).Decode(&counters); err != nil {
		b.Fatal(err)
	}
	return counters
}

// BenchmarkOverload offers twice the capacity of one upstream (16 slots of
// 40 ms, 400 requests/s) to its router. Goodput is the rate of responses
// within the requests' timeout.
func BenchmarkOverload(b *testing.B) {
	const capacity = 400
	for _, queue := range []string{"256", "10000"} {
		b.Run("queue="+queue, func(b *testing.B) {
			c := newCluster(b)
			c.publish("first-note", "[note]\ntitle = one service\nbase = 0\n[add service orders]\nkind = fenced\nqueue_limit = "+queue+"\n")
			h := c.addHost("h1", "z1", "orders", "--slots", "16", "--work-time", "40ms")
			c.awaitServed(h, "/orders/key-1")
			load := dev.LoadCmd{
				Targets: []string{"http://" + h.caller}, Service: "orders", Rate: capacity, Workers: 512,
				Duration: 5 * time.Second, Keys: 1000, Timeout: 500 * time.Millisecond, Seed: 1,
			}
			// Warm-up: the concurrency limit of a cold upstream rises as it serves requests.
			load.Mix = map[string]int{"GET": 1}
			if _, err := load.Measure(context.Background()); err != nil {
				b.Fatal(err)
			}
			var responses, p99 float64
			n := 0
			for b.Loop() {
				load.Mix = map[string]int{"GET": 1}
				load.Rate = 2 * capacity
				r, err := load.Measure(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				responses += r.ResponsesPerSecond
				p99 += float64(r.Latency.P99) / 1000
				n++
			}
			b.ReportMetric(responses/float64(n)/capacity, "goodput/capacity")
			b.ReportMetric(p99/float64(n), "answer-p99-ms")
			b.ReportMetric(0, "ns/op")
			c.killAll()
		})
	}
}
