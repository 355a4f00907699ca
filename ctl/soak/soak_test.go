// Package soak runs sidecars as separate processes with random faults and checks
// what callers and upstreams see. A run by hand:
//
//	go test ./soak -run TestSoak -seeds 50 -duration 20s
package soak

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
)

var (
	firstSeed = flag.Uint64("seed", 0, "first seed; 0 takes the time")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	duration  = flag.Duration("duration", 10*time.Second, "time with faults of each seed")
	hostCount = flag.Int("hosts", 6, "number of hosts")
	keepLogs  = flag.String("logs", "", "directory that keeps the processes' logs")
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "burdockglade")
	build := exec.Command("go", "build", "-o", binary, "burdockglade.dev/router/cmd/burdockglade")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("building: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// regressions are seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// Guards against doubled work, untrue refusals, mixed answers, two holders of a
// key, work for upstreams that leave, configurations that are late or come back, and
// routers that do not recover, under random faults of processes, connections and the
// store.
func TestSoak(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// Guards against the return of faults that the soak has found.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			soak(t, r.seed)
		})
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	w := newWorld(t, *hostCount, seed%2 == 1)
	w.awaitService("before the faults")
	stopCallers := w.startCallers(seed)
	stopLooks := w.startLooks()
	w.playFaults(rand.New(rand.NewPCG(seed, 1)), *duration)
	w.heal()
	w.awaitService("after the faults")
	stopCallers()
	stopLooks()
	w.settle()
	for _, err := range append(judge(w.ledger.Executions(), w.callers.results(), w.drains()), w.configs.judge()...) {
		t.Error(err)
	}
	if t.Failed() {
		t.Logf("again: go test ./soak -run TestSoak -seed %d -duration %v -hosts %d", seed, *duration, *hostCount)
	}
}

// drain is a server that gave notice, with the time of the acknowledgement.
type drain struct {
	instance     string
	acknowledged time.Time
}

// drainLimit is the platform's bound on new work after a notice.
const drainLimit = 2 * time.Second

// judge returns all broken promises.
func judge(runs []standin.Execution, results []result, drains []drain) []error {
	var broken []error
	byRequest := map[string][]standin.Execution{}
	for _, r := range runs {
		byRequest[r.Request] = append(byRequest[r.Request], r)
	}
	for _, r := range results {
		broken = append(broken, judgeResult(r, byRequest[r.id])...)
	}
	broken = append(broken, judgeKeys(runs)...)
	for _, d := range drains {
		for _, r := range runs {
			if r.Instance == d.instance && r.At.Sub(d.acknowledged) > drainLimit {
				broken = append(broken, fmt.Errorf("%s got %s %v after its notice was acknowledged", r.Instance, r.Request, r.At.Sub(d.acknowledged)))
			}
		}
	}
	return broken
}

// judgeResult checks one request against its runs.
func judgeResult(r result, runs []standin.Execution) []error {
	var broken []error
	if r.once && len(runs) > 1 {
		broken = append(broken, fmt.Errorf("%s ran %d times: %+v", r.id, len(runs), runs))
	}
	promise := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
	if r.once && promise && len(runs) > 0 {
		broken = append(broken, fmt.Errorf("%s was refused with %d and ran: %+v", r.id, r.status, runs))
	}
	if r.status == 200 && (r.body != "done "+r.id || len(runs) == 0) {
		broken = append(broken, fmt.Errorf("%s got %q after %d runs", r.id, r.body, len(runs)))
	}
	if r.status/100 == 4 && !promise && !(r.newRoute && r.status == 404) {
		broken = append(broken, fmt.Errorf("%s was denied with %d: %s", r.id, r.status, r.body))
	}
	return broken
}

// judgeKeys checks that generations of a key only grow in the order of the runs,
// and that no two instances share one.
func judgeKeys(runs []standin.Execution) []error {
	var broken []error
	last := map[uint16]standin.Execution{}
	for _, r := range runs {
		if !r.Keyed {
			continue
		}
		before, ok := last[r.Key]
		if ok && (r.Generation < before.Generation || (r.Generation == before.Generation && r.Instance != before.Instance)) {
			broken = append(broken, fmt.Errorf("key %d: %s with generation %d began %v after %s with generation %d", r.Key, r.Instance, r.Generation, r.At.Sub(before.At), before.Instance, before.Generation))
		}
		last[r.Key] = r
	}
	return broken
}

// Guards against a judge that finds nothing.
func TestJudgeFindsBrokenPromises(t *testing.T) {
	at := time.Now()
	run := func(id, instance string, key uint16, generation uint64, after time.Duration) standin.Execution {
		return standin.Execution{Request: id, Instance: instance, At: at.Add(after), Keyed: generation > 0, Key: key, Generation: generation}
	}
	for name, c := range map[string]struct {
		runs    []standin.Execution
		results []result
		drains  []drain
	}{
		"twice":        {runs: []standin.Execution{run("a", "x", 0, 0, 0), run("a", "y", 0, 0, 1)}, results: []result{{id: "a", once: true, status: 502}}},
		"untrue":       {runs: []standin.Execution{run("a", "x", 0, 0, 0)}, results: []result{{id: "a", once: true, status: 503}}},
		"mixed":        {runs: []standin.Execution{run("a", "x", 0, 0, 0)}, results: []result{{id: "a", status: 200, body: "done b"}}},
		"invented":     {results: []result{{id: "a", status: 200, body: "done a"}}},
		"denied":       {results: []result{{id: "a", status: 404}}},
		"two holders":  {runs: []standin.Execution{run("a", "x", 7, 3, 0), run("b", "y", 7, 3, 1)}},
		"stale holder": {runs: []standin.Execution{run("a", "x", 7, 4, 0), run("b", "y", 7, 3, 1)}},
		"drained":      {runs: []standin.Execution{run("a", "x", 0, 0, 3*time.Second)}, drains: []drain{{instance: "x", acknowledged: at}}},
	} {
		if err := errors.Join(judge(c.runs, c.results, c.drains)...); err == nil {
			t.Errorf("%s: not found", name)
		}
	}
}
