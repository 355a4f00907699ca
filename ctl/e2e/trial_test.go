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

// callerPatience bounds one request of a trial, far above its Request-Timeout.
const callerPatience = 20 * time.Second

// attempt is one request of a trial and what its caller got.
type attempt struct {
	method, path, key, body string
	answer                  answer
	err                     error
}

// unit is one piece of work that a caller asks for, with its repetitions.
type unit struct {
	attempts []attempt
}

// trial sends requests whose outcome the ledgers can judge: each unit of keyed
// work has an idempotency key of its own, and each unit of work without one has
// a key of the service of its own.
type trial struct {
	c    *cluster
	name string

	mu    sync.Mutex
	next  int
	units []*unit
}

func (c *cluster) trial(name string) *trial {
	return &trial{c: c, name: name}
}

// kinds of requests of a trial.
const (
	get = iota
	keyedPost
	plainPost
)

// newUnit prepares a request for a key. Work without an idempotency key goes to
// a key of its own that starts with the given one.
func (tr *trial) newUnit(kind int, path string) *unit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.next++
	id := fmt.Sprintf("%s-%d", tr.name, tr.next)
	a := attempt{method: http.MethodGet, path: path}
	switch kind {
	case keyedPost:
		a = attempt{method: http.MethodPost, path: path, key: id, body: "body of " + id}
	case plainPost:
		a = attempt{method: http.MethodPost, path: path + "-" + id, body: "body of " + id}
	}
	u := &unit{attempts: []attempt{a}}
	tr.units = append(tr.units, u)
	return u
}

// begun returns the number of units.
func (tr *trial) begun() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.units)
}

// send makes the unit's next attempt through a host.
func (tr *trial) send(u *unit, h *host, timeout string) answer {
	a := u.attempts[0]
	headers := []string{"Request-Timeout", timeout}
	if a.key != "" {
		headers = append(headers, "Idempotency-Key", a.key)
	}
	a.answer, a.err = tr.c.boundedRequest(a.method, h, a.path, a.body, headers...)
	if u.attempts[0].answer.status == 0 && u.attempts[0].err == nil {
		u.attempts[0] = a
	} else {
		u.attempts = append(u.attempts, a)
	}
	return a.answer
}

// run sends one new request.
func (tr *trial) run(kind int, path string, h *host, timeout string) answer {
	return tr.send(tr.newUnit(kind, path), h, timeout)
}

// boundedRequest is request with an end, so that a caller without an answer is
// a finding and not a hung test.
func (c *cluster) boundedRequest(method string, h *host, path, body string, headers ...string) (answer, error) {
	type result struct {
		a   answer
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := c.request(method, h, path, body, headers...)
		done <- result{a, err}
	}()
	timer := time.NewTimer(callerPatience)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.a, r.err
	case <-timer.C:
		return answer{}, errors.New("no answer")
	}
}

// loader sends requests of all kinds until it is stopped.
type loader struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// load runs callers for the paths through the hosts. Each keyed unit that is
// not answered with 200 is repeated once through the next host.
func (tr *trial) load(paths []string, hosts []*host, callers int) *loader {
	l := &loader{stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			ticker := time.NewTicker(pollEvery)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
				u := tr.newUnit(n%3, paths[n%len(paths)])
				a := tr.send(u, hosts[n%len(hosts)], "2000")
				if a.status != http.StatusOK && n%3 == keyedPost {
					tr.send(u, hosts[(n+1)%len(hosts)], "2000")
				}
			}
		})
	}
	return l
}

func (l *loader) end() {
	close(l.stop)
	l.wg.Wait()
}

// committed counts committed non-idempotent units by idempotency key and by key
// of the service.
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

// workID is what committed counts the unit's work under.
func (u *unit) workID() string {
	if u.attempts[0].key != "" {
		return u.attempts[0].key
	}
	return u.attempts[0].path
}

// tally counts the last answers of units.
type tally struct{ ok, notRun, unknown, broken int }

// judge compares what the callers were told with what the upstreams ran. Work
// of upstreams that were killed is not in the ledgers; lost says that there are
// such upstreams. Callers whose connection broke, for example because their
// router was killed, were told nothing; broken says that this may happen.
func (tr *trial) judge(lost, broken bool) tally {
	t := tr.c.t
	t.Helper()
	eventually(t, "no work is under way", func() bool {
		for _, l := range tr.c.ledgers() {
			for _, u := range l.Units {
				if u.State == standin.UnitRunning {
					return false
				}
			}
		}
		return true
	})
	ledgers := tr.c.ledgers()
	for _, f := range verify.Exclude(verify.All(ledgers), verify.OverlappingGenerations) {
		t.Error(f)
	}
	counts := committed(ledgers)
	var sum tally
	for _, u := range tr.units {
		tr.judgeUnit(u, counts, lost, broken, &sum)
	}
	t.Logf("%s: %d answered, %d refused as not run, %d with unknown outcome, %d connections broken",
		tr.name, sum.ok, sum.notRun, sum.unknown, sum.broken)
	return sum
}

func (tr *trial) judgeUnit(u *unit, counts map[string]int, lost, broken bool, sum *tally) {
	t := tr.c.t
	t.Helper()
	first := u.attempts[0]
	ran := counts[u.workID()]
	work := first.method == http.MethodPost
	if work && ran > 1 {
		t.Errorf("%s: ran %d times", u.workID(), ran)
	}
	answered, allNotRun := false, true
	for _, a := range u.attempts {
		outcome := a.answer.header.Get("Burdock-Outcome")
		switch {
		case a.err != nil:
			sum.broken++
			allNotRun = false
			if !broken {
				t.Errorf("%s %s: %v", a.method, a.path, a.err)
			}
		case a.answer.status == http.StatusOK:
			sum.ok++
			answered = true
			tr.checkWhole(a)
		case outcome == "not-run":
			sum.notRun++
		case outcome == "unknown":
			sum.unknown++
			allNotRun = false
		default:
			t.Errorf("%s %s: status %d without an outcome: %s", a.method, a.path, a.answer.status, a.answer.raw)
		}
	}
	if work && answered && ran == 0 && !lost {
		t.Errorf("%s: answered and did not run", u.workID())
	}
	if work && allNotRun && !answered && ran > 0 {
		t.Errorf("%s: refused as not run and ran: %s", u.workID(), u.attempts[len(u.attempts)-1].answer.raw)
	}
}

// checkWhole checks that an answer is the whole answer to its own request.
func (tr *trial) checkWhole(a attempt) {
	t := tr.c.t
	t.Helper()
	sum := sha256.Sum256([]byte(a.body))
	e := a.answer.echo
	if e.Method != a.method || e.URI != a.path || e.IdempotencyKey != a.key || e.BodySHA256 != hex.EncodeToString(sum[:]) {
		t.Errorf("%s %s key %q: answer to another request: %+v", a.method, a.path, a.key, e)
	}
	// The answer to keyed work can be the kept one of an earlier owner.
	if a.key == "" && e.Upstream != a.answer.header.Get("Burdock-Owner") {
		t.Errorf("%s %s: answered by %s, owner %s", a.method, a.path, e.Upstream, a.answer.header.Get("Burdock-Owner"))
	}
}

// ownedBy returns the paths of a host.
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

// leaves waits until a path is served by another host than the given one.
func (c *cluster) leaves(h *host, path, from string) {
	c.t.Helper()
	eventually(c.t, path+" served by another host than "+from, func() bool {
		a, err := c.boundedRequest(http.MethodGet, h, path, "", "Request-Timeout", "1000")
		return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != from
	})
}

// operate runs burdockctl against a host's administration API.
func (c *cluster) operate(t testing.TB, h *host, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
