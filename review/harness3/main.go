// Command harness3 runs the scripted cases of the third review: it starts routers as separate
// processes, with stand-ins of the platform, its servers and consumers in this process.
//
//	harness3 CASE RECORD
//
// It is started in the root of the repository. The exit code is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"

	"burdockglade.dev/router/vhost"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// world is what a case runs in.
type world struct {
	rec     *record
	dir     string
	store   *store
	led     *ledger
	trouble bool
	// machines are ended with the case.
	machines []*machine
}

var cases = map[string]func(*world) (broken bool, err error){
	"stop-forgets-leave": stopForgetsLeave,
	"many-lost":          manyLost,
	"fraction-bound":     fractionBound,
	"scale-in":           scaleIn,
	"owner-fuzz":         ownerFuzz,
	"read-behind":        readBehind,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.end()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.rec.say("the rule was BROKEN")
		return exitBroken
	}
	w.rec.say("the rule held")
	return exitHeld
}

func newWorld(path string) (*world, error) {
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, dir: dir, store: s, led: &ledger{}, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// end ends all processes and removes their files.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// addMachine adds a machine and starts its router.
func (w *world) addMachine(name, zone, service string, values map[string]string) (*machine, error) {
	m, err := newMachine(w.rec, w.dir, name, zone, service, w.store.address, values)
	if err != nil {
		return nil, err
	}
	if err := m.start(); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, nil
}

// routes returns a configuration with one repeatable and one other route to the service.
func routes(version uint64, service string) vhost.Config {
	route := func(name, prefix string, safe bool) vhost.Route {
		return vhost.Route{
			Name: name, Host: "review.example", Prefix: prefix, Repeatable: safe, Timeout: 2500 * time.Millisecond,
			TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Priority: 1, Clusters: []vhost.Cluster{{Service: service, Weight: 1}},
		}
	}
	return vhost.Config{
		Version:  version,
		Routes:   []vhost.Route{route("look", "/look/", true), route("pay", "/pay/", false)},
		Services: []vhost.Service{{Name: service, HealthPath: "/healthz", MaxConnections: 120}},
		Limits:   vhost.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}
