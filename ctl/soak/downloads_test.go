package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
)

const (
	// downloadPrefix begins the paths of requests with large responses; the rest of the path
	// is the size. runPrefix begins those of requests whose runs call the keyed service.
	downloadPrefix, runPrefix = "/files/", "/trip/"
	// largestDownload is the size of the largest response in bytes.
	largestDownload = 540_000
	// linkMbps is the bandwidth of the links that the routers know.
	linkMbps = 20
	// slowReadBytes is what slow callers read at once, and the size of their receive buffer.
	slowReadBytes = 16 << 10
)

// slowClient is the client of callers that read slowly.
var slowClient = &http.Client{Timeout: client.Timeout, Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		err = conn.(*net.TCPConn).SetReadBuffer(slowReadBytes)
	}
	return conn, err
}}}

// slowReader pauses before each read.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Reader.Read(p[:min(len(p), slowReadBytes)])
}

// downloadBytes returns the size of the response to a request with the path, or 0 for a
// short one.
func downloadBytes(requestPath string) int {
	size, _ := strconv.Atoi(strings.TrimPrefix(requestPath, downloadPrefix)) // other paths are no number
	return size
}

// shortened returns the body of a short response if the body is the whole response of the
// given size to the request, and otherwise a description of the body.
func shortened(id, body string, size int) string {
	if body == standin.Body(id, size) {
		return standin.Body(id, 0)
	}
	return fmt.Sprintf("%d bytes that are not the expected %d: %.80s", len(body), size, body)
}

// call makes the call of a run, whose id has the id of the run before the dot.
func (h *host) call(r *http.Request) error {
	if !strings.HasPrefix(r.URL.Path, runPrefix) {
		return nil
	}
	id := r.Header.Get(platform.Headers().RequestID) + ".call"
	if v := h.deployment.callers.sendAs(result{id: id, load: "call"}, h.caller, "/order/x", rand.IntN(65536)); v.status != http.StatusOK {
		return fmt.Errorf("call %s: status %d", id, v.status)
	}
	return nil
}

// startDownloads starts a caller per host that reads large responses, some of them slowly,
// and sends requests whose runs make calls, and narrows random links, until the returned
// function is called. The draws are apart from those of the faults.
func (d *deployment) startDownloads(seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, h := range d.hosts {
		rng := rand.New(rand.NewPCG(seed, uint64(200+i)))
		wg.Go(func() {
			for sleepUnless(stop, between(rng, 0, 60*time.Millisecond)) {
				// The mean size is a sixth of the largest.
				path := downloadPrefix + strconv.Itoa(int(largestDownload*math.Pow(rng.Float64(), 5)))
				r := result{id: d.callers.newID(), load: "download"}
				switch rng.IntN(4) {
				case 0:
					path, r.load = runPrefix+"x", "run"
				case 1:
					r.load, r.pause = "slow download", between(rng, 0, 30*time.Millisecond)
				}
				d.callers.sendAs(r, h.caller, path, 0)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 8))
	wg.Go(func() {
		for sleepUnless(stop, between(rng, 100*time.Millisecond, time.Second)) {
			h := d.hosts[rng.IntN(len(d.hosts))]
			rate, length := linkMbps*125_000/(1+rng.IntN(10)), between(rng, time.Second, 5*time.Second)
			// A narrow link is no fault that excuses late configurations.
			h.hopRelay.SetBandwidth(rate)
			sleepUnless(stop, length)
			h.hopRelay.SetBandwidth(0)
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}

// checkDownloads returns an error for each kind of load of which much was sent and nothing
// was served, so that the other checks had nothing to find.
func (d *deployment) checkDownloads() (violations []error) {
	sent, served := map[string]int{}, map[string]int{}
	for _, r := range d.callers.results() {
		sent[r.load]++
		if r.status == http.StatusOK {
			served[r.load]++
		}
	}
	d.t.Logf("sent %v, served %v", sent, served)
	for load, n := range sent {
		if n >= 50 && served[load] == 0 {
			violations = append(violations, fmt.Errorf("no %s of %d was served", load, n))
		}
	}
	return violations
}

// Guards against a check that takes a broken or mixed large response for a whole one.
func TestShortenedFindsBrokenResponses(t *testing.T) {
	whole := standin.Body("r7", 1000)
	for body, want := range map[string]bool{whole: true, whole[:999]: false, standin.Body("r8", 1000): false, whole + "d": false, "done r7": false} {
		if got := shortened("r7", body, 1000) == "done r7"; got != want {
			t.Errorf("%d bytes of %.10s: taken for whole: %v", len(body), body, got)
		}
	}
}
