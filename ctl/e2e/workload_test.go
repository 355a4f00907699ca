package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/verify"
)

// callerTimeout limits one request of a workload. It is far above the
// Request-Timeout.
const callerTimeout = 20 * time.Second

// attempt is one request of a workload with its response.
type attempt struct {
	method, path, key, body string
	response                response
	err                     error
}

// unit is one operation that a caller requests, with its retries.
type unit struct {
	attempts []attempt
}

// workload sends requests whose outcomes can be checked against the ledgers: each
// keyed unit has a unique idempotency key, and each POST without an idempotency key
// has a unique key of the service.
type workload struct {
	c    *cluster
	name string

	mu    sync.Mutex
	next  int
	units []*unit
}

func (c *cluster) newWorkload(name string) *workload {
	return &workload{c: c, name: name}
}

// Kinds of requests of a workload. keyedPost has an idempotency key.
const (
	get = iota
	keyedPost
	plainPost
)

// newUnit prepares a request for the key of a path. A plainPost gets a unique key
// that starts with that key.
func (wl *workload) newUnit(kind int, path string) *unit {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.next++
	id := fmt.Sprintf("%s-%d", wl.name, wl.next)
	a := attempt{method: http.MethodGet, path: path}
	switch kind {
	case keyedPost:
		a = attempt{method: http.MethodPost, path: path, key: id, body: "body of " + id}
	case plainPost:
		a = attempt{method: http.MethodPost, path: path + "-" + id, body: "body of " + id}
	}
	u := &unit{attempts: []attempt{a}}
	wl.units = append(wl.units, u)
	return u
}

// unitCount returns the number of units.
func (wl *workload) unitCount() int {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	return len(wl.units)
}

// send makes the unit's next attempt through a host and returns its response. The
// timeout is in milliseconds.
func (wl *workload) send(u *unit, h *host, timeout string) response {
	a := u.attempts[0]
	headers := []string{"Request-Timeout", timeout}
	if a.key != "" {
		headers = append(headers, "Idempotency-Key", a.key)
	}
	a.response, a.err = wl.c.requestWithTimeout(a.method, h, a.path, a.body, headers...)
	if u.attempts[0].response.status == 0 && u.attempts[0].err == nil {
		u.attempts[0] = a
	} else {
		u.attempts = append(u.attempts, a)
	}
	return a.response
}

// run sends one new unit through a host.
func (wl *workload) run(kind int, path string, h *host, timeout string) response {
	return wl.send(wl.newUnit(kind, path), h, timeout)
}

// requestWithTimeout sends a request and returns an error after callerTimeout, so
// that a missing response is reported instead of hanging the test.
func (c *cluster) requestWithTimeout(method string, h *host, path, body string, headers ...string) (response, error) {
	type result struct {
		a   response
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := c.request(method, h, path, body, headers...)
		done <- result{a, err}
	}()
	timer := time.NewTimer(callerTimeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.a, r.err
	case <-timer.C:
		return response{}, errors.New("no response")
	}
}

// loader sends requests of all kinds until it is stopped by finish.
type loader struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// load starts callers that request the paths through the hosts. Each keyed unit
// without a 200 response is retried once through the next host.
func (wl *workload) load(paths []string, hosts []*host, callers int) *loader {
	l := &loader{stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
				u := wl.newUnit(n%3, paths[n%len(paths)])
				a := wl.send(u, hosts[n%len(hosts)], "2000")
				if a.status != http.StatusOK && n%3 == keyedPost {
					wl.send(u, hosts[(n+1)%len(hosts)], "2000")
				}
			}
		})
	}
	return l
}

func (l *loader) finish() {
	close(l.stop)
	l.wg.Wait()
}

// committed returns the number of committed POST units by idempotency key and by
// path.
func committed(ledgers []standin.Ledger) map[string]int {
	counts := map[string]int{}
	for _, l := range ledgers {
		for _, u := range l.Units {
			if u.State != standin.UnitCommitted || u.Method != http.MethodPost {
				continue
			}
			counts["/"+u.Service+"/"+u.Key]++
			if u.IdempotencyKey != "" {
				counts[u.IdempotencyKey]++
			}
		}
	}
	return counts
}

// workID returns the name under which committed counts the unit.
func (u *unit) workID() string {
	if u.attempts[0].key != "" {
		return u.attempts[0].key
	}
	return u.attempts[0].path
}

// outcomeCounts counts the attempts by outcome; broken counts failed connections.
type outcomeCounts struct{ ok, notRun, unknown, broken int }

// check compares the responses of the callers with the ledgers of the upstreams. It
// first waits until no work is in progress. lost is true if upstreams were killed:
// their work is missing from the ledgers. broken is true if connections of callers
// may fail, for example because their router was killed.
func (wl *workload) check(lost, broken bool) outcomeCounts {
	t := wl.c.t
	t.Helper()
	eventually(t, "no work is in progress", func() bool {
		for _, l := range wl.c.ledgers() {
			for _, u := range l.Units {
				if u.State == standin.UnitRunning {
					return false
				}
			}
		}
		return true
	})
	ledgers := wl.c.ledgers()
	for _, f := range verify.Exclude(verify.All(ledgers), verify.OverlappingGenerations) {
		t.Error(f)
	}
	counts := committed(ledgers)
	var sum outcomeCounts
	for _, u := range wl.units {
		wl.checkUnit(u, counts, lost, broken, &sum)
	}
	t.Logf("%s: %d succeeded, %d refused as not run, %d with unknown outcome, %d connections broken",
		wl.name, sum.ok, sum.notRun, sum.unknown, sum.broken)
	return sum
}

func (wl *workload) checkUnit(u *unit, counts map[string]int, lost, broken bool, sum *outcomeCounts) {
	t := wl.c.t
	t.Helper()
	first := u.attempts[0]
	ran := counts[u.workID()]
	work := first.method == http.MethodPost
	if work && ran > 1 {
		t.Errorf("%s: ran %d times", u.workID(), ran)
	}
	succeeded, allNotRun := false, true
	for _, a := range u.attempts {
		outcome := a.response.header.Get("Burdock-Outcome")
		switch {
		case a.err != nil:
			sum.broken++
			allNotRun = false
			if !broken {
				t.Errorf("%s %s: %v", a.method, a.path, a.err)
			}
		case a.response.status == http.StatusOK:
			sum.ok++
			succeeded = true
			wl.checkResponse(a)
		case outcome == "not-run":
			sum.notRun++
		case outcome == "unknown":
			sum.unknown++
			allNotRun = false
		default:
			t.Errorf("%s %s: status %d without an outcome: %s", a.method, a.path, a.response.status, a.response.raw)
		}
	}
	if work && succeeded && ran == 0 && !lost {
		t.Errorf("%s: got status 200 and did not run", u.workID())
	}
	if work && allNotRun && !succeeded && ran > 0 {
		t.Errorf("%s: refused as not run and ran: %s", u.workID(), u.attempts[len(u.attempts)-1].response.raw)
	}
}

// checkResponse checks that the response is complete and belongs to its request.
func (wl *workload) checkResponse(a attempt) {
	t := wl.c.t
	t.Helper()
	sum := sha256.Sum256([]byte(a.body))
	e := a.response.echo
	if e.Method != a.method || e.URI != a.path || e.IdempotencyKey != a.key || e.BodySHA256 != hex.EncodeToString(sum[:]) {
		t.Errorf("%s %s key %q: response to another request: %+v", a.method, a.path, a.key, e)
	}
	// Keyed work can get the stored response of an earlier owner.
	if a.key == "" && e.Upstream != a.response.header.Get("Burdock-Owner") {
		t.Errorf("%s %s: response from %s, owner %s", a.method, a.path, e.Upstream, a.response.header.Get("Burdock-Owner"))
	}
}

// ownedBy returns the paths whose keys the host owns.
func ownedBy(owners map[string]string, name string) []string {
	var paths []string
	for path, owner := range owners {
		if owner == name {
			paths = append(paths, path)
		}
	}
	return paths
}

func allPaths(owners map[string]string) []string {
	var paths []string
	for path := range owners {
		paths = append(paths, path)
	}
	return paths
}

// awaitOwnerChange waits until a path is served by a host other than the given one.
func (c *cluster) awaitOwnerChange(h *host, path, from string) {
	c.t.Helper()
	eventually(c.t, path+" served by another host than "+from, func() bool {
		a, err := c.requestWithTimeout(http.MethodGet, h, path, "", "Request-Timeout", "1000")
		return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != from
	})
}

// operate runs burdockctl against a host's administration API.
func (c *cluster) operate(t testing.TB, h *host, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	args = append([]string{"--admin", "http://" + h.admin, "--token-file", filepath.Join(c.dir, "token"), "--yes"}, args...)
	cmd := exec.CommandContext(ctx, binaries.ctl, args...)
	var out, errOut logBuffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Errorf("burdockctl %v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}
