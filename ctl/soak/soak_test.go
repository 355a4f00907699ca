// Package soak runs sidecars as separate processes under random faults and checks
// the responses that callers get and the requests that upstreams run. To run it
// manually:
//
//	go test ./soak -run TestSoak -seeds 50 -duration 20s
//	go test ./soak -run TestConfigSoak -seeds 20 -duration 60s -hosts 18 -busy 4
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
	firstSeed = flag.Uint64("seed", 0, "first seed; 0 uses the current time")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	duration  = flag.Duration("duration", 10*time.Second, "time for which faults are injected, per seed")
	hostCount = flag.Int("hosts", 6, "number of hosts")
	logDir    = flag.String("logs", "", "directory in which the logs of the processes are kept")
	otherBin  = flag.String("binary", "", "program under test; empty builds it from the workspace")
)

// binary is the path of the program under test.
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
	if *otherBin != "" {
		binary = *otherBin
		return m.Run(), nil
	}
	binary = filepath.Join(dir, "burdockglade")
	build := exec.Command("go", "build", "-o", binary, "burdockglade.dev/router/cmd/burdockglade")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("building: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// regressions lists seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{9202, "a restarted router counted the time to drain anew, while the store came back from an older copy"},
}

// Guards, under random faults of processes, connections and the store, which also comes back
// from older copies, against work
// that runs twice, false refusals, mixed-up or broken responses, also of downloads through
// narrow links and to slow callers and of calls of running requests, two holders of a key, work
// for upstreams that drain or say that they leave, more requests than an upstream's limit, requests in evacuated zones or in regions
// that their routes do not allow, too many requests for cold upstreams,
// configurations that are late or reverted, and routers that
// do not recover.
func TestSoak(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// Guards against regressions of faults that TestSoak has found.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSeed(t, r.seed)
		})
	}
}

// runSeed runs callers and probes under the faults of one seed and checks the
// results.
func runSeed(t *testing.T, seed uint64) {
	d := newDeployment(t, deploymentOptions{
		hosts: *hostCount, keysByCommand: seed%2 == 1, restrictKeys: seed%4 >= 2, twoRegions: true, coldStarts: true, downloads: true, services: []string{plainService, keyedService},
		workTime: 40 * time.Millisecond, publishFirst: (*deployment).publish,
	})
	d.awaitService("before the faults")
	stopCallers := d.startCallers(seed)
	stopProbes := d.startProbes()
	stopNotices, stopPutBacks, stopEvacuations := d.startNotices(seed), d.startPutBacks(seed), d.startEvacuations(seed)
	stopColds, stopDownloads := d.startColds(seed), d.startDownloads(seed)
	d.injectFaults(rand.New(rand.NewPCG(seed, 1)), *duration)
	stopNotices()
	stopPutBacks()
	stopEvacuations()
	stopColds()
	stopDownloads()
	d.heal()
	d.awaitService("after the faults")
	stopCallers()
	stopProbes()
	d.awaitWorkDone()
	violations := append(check(d.ledger.Executions(), d.callers.results(), d.drains()), d.configs.check()...)
	violations = append(violations, d.checkNotices()...)
	violations = append(violations, d.checkPlacement()...)
	violations = append(violations, d.checkDownloads()...)
	for _, err := range append(violations, d.checkColds()...) {
		t.Error(err)
	}
	if t.Failed() {
		t.Logf("to reproduce: go test ./soak -run TestSoak -seed %d -duration %v -hosts %d", seed, *duration, *hostCount)
	}
}

// drain is a drained server with the time at which its drain was acknowledged.
type drain struct {
	instance     string
	acknowledged time.Time
}

// drainLimit is the platform's limit for the time after the acknowledgement of a
// drain in which the server may still get new work.
const drainLimit = 2 * time.Second

// check returns an error for each violated guarantee.
func check(executions []standin.Execution, results []result, drains []drain) []error {
	var violations []error
	byRequest := map[string][]standin.Execution{}
	for _, r := range executions {
		byRequest[r.Request] = append(byRequest[r.Request], r)
	}
	for _, r := range results {
		violations = append(violations, checkResult(r, byRequest[r.id])...)
	}
	violations = append(violations, checkKeys(executions)...)
	for _, d := range drains {
		for _, r := range executions {
			if r.Instance == d.instance && r.At.Sub(d.acknowledged) > drainLimit {
				violations = append(violations, fmt.Errorf("%s got %s %v after its drain was acknowledged", r.Instance, r.Request, r.At.Sub(d.acknowledged)))
			}
		}
	}
	return violations
}

// checkResult checks the result of one request against its executions.
func checkResult(r result, executions []standin.Execution) []error {
	var violations []error
	if r.once && len(executions) > 1 {
		violations = append(violations, fmt.Errorf("%s ran %d times: %+v", r.id, len(executions), executions))
	}
	refusedNotRun := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
	if r.once && refusedNotRun && len(executions) > 0 {
		violations = append(violations, fmt.Errorf("%s was refused with %d and ran: %+v", r.id, r.status, executions))
	}
	if r.status == 200 && (r.body != "done "+r.id || len(executions) == 0) {
		violations = append(violations, fmt.Errorf("%s got %q after %d executions", r.id, r.body, len(executions)))
	}
	if r.status/100 == 4 && !refusedNotRun && !(r.newRoute && r.status == 404) {
		violations = append(violations, fmt.Errorf("%s was rejected with %d: %s", r.id, r.status, r.body))
	}
	return violations
}

// checkKeys checks that the generation of a key never decreases in the order of the
// executions, and that no two instances share a generation.
func checkKeys(executions []standin.Execution) []error {
	var violations []error
	last := map[uint16]standin.Execution{}
	for _, r := range executions {
		if !r.Keyed {
			continue
		}
		before, ok := last[r.Key]
		if ok && (r.Generation < before.Generation || (r.Generation == before.Generation && r.Instance != before.Instance)) {
			violations = append(violations, fmt.Errorf("key %d: %s with generation %d began %v after %s with generation %d", r.Key, r.Instance, r.Generation, r.At.Sub(before.At), before.Instance, before.Generation))
		}
		last[r.Key] = r
	}
	return violations
}

// Guards against a check that misses violations.
func TestCheckFindsViolations(t *testing.T) {
	at := time.Now()
	run := func(id, instance string, key uint16, generation uint64, after time.Duration) standin.Execution {
		return standin.Execution{Request: id, Instance: instance, At: at.Add(after), Keyed: generation > 0, Key: key, Generation: generation}
	}
	for name, c := range map[string]struct {
		executions []standin.Execution
		results    []result
		drains     []drain
	}{
		"twice":        {executions: []standin.Execution{run("a", "x", 0, 0, 0), run("a", "y", 0, 0, 1)}, results: []result{{id: "a", once: true, status: 502}}},
		"untrue":       {executions: []standin.Execution{run("a", "x", 0, 0, 0)}, results: []result{{id: "a", once: true, status: 503}}},
		"mixed":        {executions: []standin.Execution{run("a", "x", 0, 0, 0)}, results: []result{{id: "a", status: 200, body: "done b"}}},
		"invented":     {results: []result{{id: "a", status: 200, body: "done a"}}},
		"denied":       {results: []result{{id: "a", status: 404}}},
		"two holders":  {executions: []standin.Execution{run("a", "x", 7, 3, 0), run("b", "y", 7, 3, 1)}},
		"stale holder": {executions: []standin.Execution{run("a", "x", 7, 4, 0), run("b", "y", 7, 3, 1)}},
		"drained":      {executions: []standin.Execution{run("a", "x", 0, 0, 3*time.Second)}, drains: []drain{{instance: "x", acknowledged: at}}},
	} {
		if err := errors.Join(check(c.executions, c.results, c.drains)...); err == nil {
			t.Errorf("%s: not found", name)
		}
	}
}
