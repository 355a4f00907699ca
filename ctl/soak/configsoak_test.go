package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	relay "burdockglade.dev/stores/standin"
)

var (
	configFaults = flag.String("config-faults", strings.Join(configFaultKinds, ","), "kinds of faults of TestConfigSoak; empty for none")
	moreRoutes   = flag.Int("routes", 0, "number of further routes, which no request uses, of TestConfigSoak")
	busy         = flag.Int("busy", 0, "number of processes that keep a processor busy during TestConfigSoak")
)

// Kinds of faults around a confirmation.
const (
	storeSilent  = "store-silent"
	storeDown    = "store-down"
	storeSlow    = "store-slow"
	storeLost    = "store-lost"
	storeHistory = "store-history"
	killOne      = "kill-one"
	termOne      = "term-one"
	killAll      = "kill-all"
	termAll      = "term-all"
	freezeOne    = "freeze-one"
	cutOne       = "cut-one"
	// The connections to the store that are open then carry nothing any more.
	blackholeOne = "blackhole-one"
	blackholeAll = "blackhole-all"
	resetOne     = "reset-one"
	resetAll     = "reset-all"
)

var configFaultKinds = []string{
	storeSilent, storeDown, storeSlow, storeLost, storeHistory,
	killOne, termOne, killAll, termAll, freezeOne, cutOne, blackholeOne, blackholeAll, resetOne, resetAll,
}

const (
	// configProbeInterval is the time between two requests of one prober.
	configProbeInterval = 30 * time.Millisecond
	// maxProbesInFlight bounds the requests of one prober that wait for a response, such
	// as from a frozen host.
	maxProbesInFlight = 16
	// maxReported bounds the violations that are reported in full.
	maxReported = 10
)

// configSoak is one run of changes, faults and probes.
type configSoak struct {
	*deployment
	operator *configOperator
	rng      *rand.Rand

	requestsMu sync.Mutex
	requests   []configRequest
}

func newConfigSoak(t *testing.T, seed uint64) *configSoak {
	s := &configSoak{operator: newConfigOperator(t, seed), rng: rand.New(rand.NewPCG(seed, 3))}
	s.deployment = newDeployment(t, deploymentOptions{
		hosts: *hostCount, services: configServices, workTime: 4 * time.Millisecond,
		publishFirst: func(d *deployment) {
			s.operator.store = d.store
			for range 5 {
				s.operator.publish()
			}
		},
	})
	s.awaitNewest("before the faults")
	return s
}

// awaitNewest waits until every host serves each slot as the newest version says. It
// reports hosts that do not within 20 s.
func (s *configSoak) awaitNewest(when string) {
	published := s.operator.published()
	newest := published[len(published)-1]
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for _, slot := range s.operator.slots {
			want := 200
			if newest.table.Route(slot.hostName, slot.path()) == nil {
				want = 404
			}
			for r := s.request(h, slot); r.status != want; r = s.request(h, slot) {
				if time.Now().After(deadline) {
					s.t.Errorf("%s: %s answers %s%s with %d, want %d", when, h.name, slot.hostName, slot.path(), r.status, want)
					break
				}
				time.Sleep(configProbeInterval)
			}
		}
	}
}

// request sends a request for the slot and records it unless the process was restarted
// meanwhile.
func (s *configSoak) request(h *host, slot routeSlot) configRequest {
	id := s.callers.newID()
	r := configRequest{id: id, process: process{h.name, h.processStarts()}, slot: slot, sent: time.Now()}
	r.status = exchange(h.caller, slot.hostName, slot.path(), 0, result{id: id}).status
	r.answered = time.Now()
	if h.processStarts() == r.process.starts {
		s.requestsMu.Lock()
		s.requests = append(s.requests, r)
		s.requestsMu.Unlock()
	}
	return r
}

// startProbers starts two probers per host: one requests all slots, the other those that
// the newest version has changed. They run until the returned function is called.
func (s *configSoak) startProbers(seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, h := range s.hosts {
		for j, slots := range []func() []routeSlot{routeSlots, s.operator.changedSlots} {
			rng := rand.New(rand.NewPCG(seed, uint64(100+2*i+j)))
			inFlight := make(chan struct{}, maxProbesInFlight)
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(configProbeInterval):
					}
					choice := slots()
					slot := choice[rng.IntN(len(choice))]
					inFlight <- struct{}{}
					wg.Go(func() {
						s.request(h, slot)
						<-inFlight
					})
				}
			})
		}
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// change publishes n versions in uneven steps or in a burst.
func (s *configSoak) change(n int) {
	longest := []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond}[s.rng.IntN(3)]
	for range n {
		time.Sleep(between(s.rng, 100*time.Millisecond, longest))
		s.operator.publish()
	}
}

// round runs changes, a fault of one of the kinds around the last confirmation, and
// further changes once the hosts have been without faults long enough for the time limits.
func (s *configSoak) round(kinds []string) {
	s.change(1 + s.rng.IntN(4))
	if len(kinds) > 0 {
		s.faultAroundConfirmation(kinds)
		time.Sleep(between(s.rng, faultFreeTime, faultFreeTime+time.Second))
	}
	s.change(1 + s.rng.IntN(3))
	time.Sleep(configLimit + 1500*time.Millisecond)
}

// faultAroundConfirmation publishes a version and runs a fault that begins shortly before
// or after the confirmation, in some rounds with a second one that overlaps it. Further
// versions follow while hosts restart.
func (s *configSoak) faultAroundConfirmation(kinds []string) {
	kind := kinds[s.rng.IntN(len(kinds))]
	offset := between(s.rng, -300*time.Millisecond, 700*time.Millisecond)
	if kind == storeSilent {
		offset = between(s.rng, 0, 700*time.Millisecond)
	}
	var wg sync.WaitGroup
	begin := s.drawConfigFault(kind, &wg)
	if s.rng.IntN(4) == 0 {
		second := s.drawConfigFault(kinds[s.rng.IntN(len(kinds))], &wg)
		first := begin
		begin = func() {
			first()
			second()
		}
	}
	if offset > 0 {
		s.operator.publish()
		time.Sleep(offset)
		begin()
	} else {
		begin()
		time.Sleep(-offset)
		s.operator.publish()
	}
	if kind == killOne || kind == termOne || kind == killAll || kind == termAll {
		s.change(s.rng.IntN(3))
	}
	wg.Wait()
}

// drawConfigFault returns a function that starts a fault of the kind, which wg waits for.
func (s *configSoak) drawConfigFault(kind string, wg *sync.WaitGroup) func() {
	host, fault := s.configFault(kind)
	return func() {
		wg.Go(func() { s.configs.duringFault(host, kind, fault) })
	}
}

// configFault returns a fault of the kind and the host that it affects.
func (s *configSoak) configFault(kind string) (host string, fault func()) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	faultTime := between(s.rng, 500*time.Millisecond, 4*time.Second)
	delay := between(s.rng, 50*time.Millisecond, 1500*time.Millisecond)
	if fault := s.storeFault(kind, faultTime, delay); fault != nil {
		return everyHost, fault
	}
	if fault := s.faultOfAll(kind, delay); fault != nil {
		return everyHost, fault
	}
	if fault := h.fault(kind, faultTime, delay); fault != nil {
		return h.name, fault
	}
	s.t.Fatalf("unknown kind of fault %q", kind)
	return "", nil
}

// storeFault returns a fault of the store, or nil if the kind is another one.
func (s *configSoak) storeFault(kind string, faultTime, delay time.Duration) func() {
	if kind == storeHistory {
		return s.store.DiscardHistory
	}
	if kind == storePutBack {
		p := drawPutBack(s.rng)
		return func() { p.run(s.deployment, &s.operator.mu) }
	}
	faults, ok := map[string]standin.Faults{
		storeSilent: {Silent: true},
		storeDown:   {Down: true},
		storeSlow:   {Delay: delay},
		storeLost:   {LoseResponses: 0.4},
	}[kind]
	if !ok {
		return nil
	}
	return func() {
		s.store.SetFaults(faults)
		time.Sleep(faultTime)
		s.store.SetFaults(standin.Faults{})
	}
}

// faultOfAll returns a fault of all hosts, or nil if the kind is another one.
func (s *configSoak) faultOfAll(kind string, delay time.Duration) func() {
	ofOne := map[string]string{killAll: killOne, termAll: termOne, blackholeAll: blackholeOne, resetAll: resetOne}[kind]
	if ofOne == "" {
		return nil
	}
	return func() {
		var wg sync.WaitGroup
		for _, h := range s.hosts {
			wg.Go(h.fault(ofOne, 0, delay))
		}
		wg.Wait()
	}
}

// fault returns a fault of the host, or nil if the kind is another one.
func (h *host) fault(kind string, faultTime, delay time.Duration) func() {
	switch kind {
	case killOne:
		return func() { h.restart(syscall.SIGKILL, delay) }
	case termOne:
		return func() { h.restart(syscall.SIGTERM, delay) }
	case freezeOne:
		return func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(faultTime)
			h.signal(syscall.SIGCONT)
		}
	case cutOne:
		return func() {
			h.storeRelay.Partition(relay.BothDirections)
			time.Sleep(faultTime)
			h.storeRelay.Partition(0)
		}
	case blackholeOne:
		return h.storeRelay.Blackhole
	case resetOne:
		return h.storeRelay.Reset
	}
	return nil
}

// serviceOf returns the service of an instance.
func (s *configSoak) serviceOf(instance string) string {
	for _, h := range s.hosts {
		if strings.HasPrefix(instance, "i-"+h.name+"-") {
			return h.service
		}
	}
	return instance
}

// judge reports the violations and logs what was judged.
func (s *configSoak) judge() {
	outcomes := outcomesOf(s.requests, s.ledger.Executions(), s.serviceOf)
	j := newConfigJudge(s.operator.published(), &s.configs)
	violations := j.check(outcomes)
	times := j.inForceTimes(s.operator.slots, configServices)
	s.t.Logf("faults: %s", s.configs.describeFaults())
	s.t.Logf("%d versions, %d outcomes judged; in force after a confirmation, on hosts without faults: %s", len(j.publications), len(outcomes), describeTimes(times))
	type group struct {
		rule        configRule
		after, host string
	}
	counts, latest := map[group]int{}, map[group]time.Duration{}
	for i, v := range violations {
		if i < maxReported {
			s.t.Error(v)
		}
		g := group{v.rule, v.after, v.process.host}
		counts[g]++
		latest[g] = max(latest[g], v.late)
	}
	for _, g := range slices.SortedFunc(maps.Keys(counts), func(a, b group) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }) {
		s.t.Errorf("%d requests to %s handled %s, up to %v; last fault: %s", counts[g], g.host, g.rule, latest[g].Round(time.Millisecond), g.after)
	}
}

// describeFaults returns the kinds of the faults in their order.
func (c *configs) describeFaults() string {
	var kinds []string
	for _, p := range c.faultPeriods {
		kinds = append(kinds, strings.TrimSuffix(p.kind+" "+p.host, " "))
	}
	return strings.Join(kinds, ", ")
}

// describeTimes returns the quantiles of sorted times, and where the longest occurred.
func describeTimes(times []inForceTime) string {
	if len(times) == 0 {
		return "none"
	}
	quantile := func(q float64) time.Duration {
		return times[int(q*float64(len(times)-1))].time.Round(time.Millisecond)
	}
	slowest := times[len(times)-1]
	return fmt.Sprintf("n=%d p50=%v p90=%v p99=%v max=%v (version %d on %s, last fault: %s)",
		len(times), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), slowest.version, slowest.host, slowest.after)
}

// occupyProcessors runs n processes that each keep a processor busy until the test ends.
func occupyProcessors(t *testing.T, n int) {
	for range n {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		must(t, cmd.Start())
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // the exit status of a killed process is not an error
		})
	}
}

// Guards against requests that a host runs as only an older version of the configuration
// allows, later than the platform's limit after a newer one was confirmed or after it has
// shown a newer one, with faults of the store and restarts around confirmations.
func TestConfigSoak(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runConfigSeed(t, seed) })
	}
}

// runConfigSeed runs rounds, with calm stretches between some of them, until the duration
// has passed.
func runConfigSeed(t *testing.T, seed uint64) {
	s := newConfigSoak(t, seed)
	occupyProcessors(t, *busy)
	stopProbers := s.startProbers(seed)
	var kinds []string
	if *configFaults != "" {
		kinds = strings.Split(*configFaults, ",")
	}
	end := time.Now().Add(*duration)
	for time.Now().Before(end) {
		s.round(kinds)
		if calm := between(s.rng, 10*time.Second, 30*time.Second); s.rng.IntN(3) == 0 {
			time.Sleep(min(calm, max(0, time.Until(end))))
		}
	}
	s.operator.publish()
	s.awaitNewest("after the faults")
	stopProbers()
	s.awaitWorkDone()
	s.judge()
	if t.Failed() {
		t.Logf("to reproduce: go test ./soak -run TestConfigSoak -seed %d -duration %v -hosts %d -config-faults %s", seed, *duration, *hostCount, *configFaults)
	}
}

// Guards against a configuration that no host has in force in time because the store has
// swallowed the calls with which the hosts watch for changes: it was silent shortly after
// the version before.
func TestConfigAfterSilentStore(t *testing.T) {
	s := newConfigSoak(t, 1)
	stopProbers := s.startProbers(1)
	s.operator.publish()
	time.Sleep(300 * time.Millisecond)
	s.configs.duringFault(everyHost, storeSilent, func() {
		s.store.SetFaults(standin.Faults{Silent: true})
		time.Sleep(2 * time.Second)
		s.store.SetFaults(standin.Faults{})
	})
	time.Sleep(faultFreeTime)
	s.operator.publish()
	time.Sleep(configLimit + time.Second)
	stopProbers()
	s.awaitWorkDone()
	s.judge()
}
