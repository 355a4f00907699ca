package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
)

// forgetful is the store as one host reaches it: it answers checks and loses all watches
// that wait.
type forgetful struct {
	*rowstore.Memory
	fleet *configFleet
	host  int
}

func (f forgetful) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if wait > 0 && f.fleet.feeds {
		f.fleet.watches.Add(1)
		rows, version, err := f.Memory.Watch(ctx, table, after, wait)
		if f.fleet.fault.Load().storeLost(f.host) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		time.Sleep(simulatedDelay())
		return rows, version, err
	}
	if wait > 0 || f.fleet.trouble(f.host) != "" || f.fleet.fault.Load().storeLost(f.host) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	f.fleet.checks.Add(1)
	time.Sleep(simulatedDelay())
	rows, version, err := f.Memory.Watch(ctx, table, after, 0)
	time.Sleep(simulatedDelay())
	return rows, version, err
}

// simulatedDelay is the time that a message takes.
func simulatedDelay() time.Duration { return rand.N(10 * time.Millisecond) }

// configFleet is a fleet of hosts whose watches are all lost.
type configFleet struct {
	memory  *rowstore.Memory
	hosts   []*Sidecar
	clients []*hop.Client
	index   map[*hop.Client]int
	checks  atomic.Int64
	// firstHost is what is wrong with the first host: "", "frozen" or "cut off" from the
	// store.
	firstHost atomic.Value
	// requestInterval is the mean time between two requests of a host; 0 means 30 ms.
	requestInterval time.Duration
	// asks counts the comparisons between hosts.
	asks atomic.Int64
	// feeds is true if the store delivers changes and the reader of each zone feeds the
	// others. watches counts the watches of the store.
	feeds   bool
	watches atomic.Int64
	// zones is the number of zones, between which the hosts are divided in turn; 0 means 1.
	zones int
	// fault is a further failure.
	fault atomic.Pointer[fleetFault]
}

// fleetFault is a failure of several hosts or links. A nil fleetFault is none.
type fleetFault struct {
	// frozen reports whether the host loses all messages.
	frozen func(host int) bool
	// noStore reports whether the store loses the calls of the host.
	noStore func(host int) bool
	// noLink reports whether messages from one host to the other are lost.
	noLink func(from, to int) bool
	// unbound is true if the limit does not apply to the hosts of noStore while the fault
	// lasts.
	unbound bool
}

func (f *fleetFault) lostHost(host int) bool {
	return f != nil && f.frozen != nil && f.frozen(host)
}

func (f *fleetFault) storeLost(host int) bool {
	return f.lostHost(host) || f != nil && f.noStore != nil && f.noStore(host)
}

// bound reports whether a change must be in force on the host in time.
func (f *fleetFault) bound(host int) bool {
	return !f.lostHost(host) && !(f != nil && f.unbound && f.storeLost(host))
}

func (f *fleetFault) linkLost(from, to int) bool {
	return f.lostHost(from) || f.lostHost(to) || f != nil && f.noLink != nil && (f.noLink(from, to) || f.noLink(to, from))
}

func (f *configFleet) zone(host int) string {
	return fmt.Sprintf("z%d", host%max(f.zones, 1))
}

func (f *configFleet) first() string {
	s, _ := f.firstHost.Load().(string)
	return s
}

func (f *configFleet) trouble(host int) string {
	if host == 0 {
		return f.first()
	}
	return ""
}

func (f *configFleet) publish(t *testing.T, version int) {
	t.Helper()
	if _, err := f.memory.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: configKey, Value: fmt.Append(nil, version)}}}); err != nil {
		t.Fatal(err)
	}
}

// start starts n hosts with version 1.
func (f *configFleet) start(t *testing.T, n int) {
	f.memory, f.index = rowstore.NewMemory(), map[*hop.Client]int{}
	f.publish(t, 1)
	for i := range n {
		settings := DefaultSettings()
		settings.Host = HostSettings{Name: fmt.Sprintf("h%03d", i), Zone: f.zone(i), Region: "r1", Service: "plain"}
		settings.Upstream.Address = "127.0.0.1:1"
		notFound := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
		s := New(Options{
			Settings: settings, Store: forgetful{f.memory, f, i}, Headers: testHeaders,
			Config:  ConfigSource{Key: configKey, Decode: decodeTestConfig},
			Control: notFound, Ready: notFound, Metrics: &metrics.Scope{Scope: tally.NoopScope},
		})
		for j := range n {
			s.fleet.Put(fleet.Member{Host: fmt.Sprintf("h%03d", j), Zone: f.zone(j), Region: "r1", Service: "plain", Address: fmt.Sprintf("127.0.0.1:%d", j+1), State: fleet.Ready})
			f.index[s.fleet.Host(fmt.Sprintf("h%03d", j)).Client] = j
		}
		s.exchange.randomPeer = func() *hop.Client { return f.clients[f.otherThan(i)] }
		s.exchange.fetch = func(ctx context.Context, from *hop.Client, version uint64) (peerConfig, error) {
			return f.fetch(ctx, i, f.index[from], version)
		}
		if f.feeds {
			s.configFed.Source = func() (rowstore.WatchFunc, func(error)) { return f.feedSource(i) }
			s.configFed.StoreReader = func() (rowstore.WatchFunc, func(error)) { return f.storeReader(i) }
		}
		f.hosts, f.clients = append(f.hosts, s), append(f.clients, newHopClient("127.0.0.1:1"))
		f.index[f.clients[i]] = i
	}
}

func (f *configFleet) otherThan(host int) int {
	return (host + 1 + rand.N(len(f.hosts)-1)) % len(f.hosts)
}

// feedSource replaces Sidecar.feedSource of a host.
func (f *configFleet) feedSource(host int) (rowstore.WatchFunc, func(error)) {
	s := f.hosts[host]
	reader := s.fleet.ZoneReader(time.Now(), s.settings.Host.Name)
	if reader == nil {
		return nil, nil
	}
	return f.watchFeed(host, f.index[reader.Client], relayedCallTimeout, storeCall{Wait: maxRelayedWatch}), func(err error) { s.feedEnded(reader, err) }
}

// storeReader replaces Sidecar.fleetReader of a host.
func (f *configFleet) storeReader(host int) (rowstore.WatchFunc, func(error)) {
	s := f.hosts[host]
	watch, done := s.fleetReader()
	reader, _ := s.fleet.FleetReader(time.Now(), s.settings.Host.Name)
	if watch == nil || reader == nil {
		return nil, nil
	}
	return f.watchFeed(host, f.index[reader.Client], maxFleetReaderWatch+storeCallTimeout, storeCall{Wait: maxFleetReaderWatch, FromStore: true}), done
}

// watchFeed returns the function with which one host watches the feed of another. The call
// names the longest wait and which feed is required.
func (f *configFleet) watchFeed(host, to int, timeout time.Duration, call storeCall) rowstore.WatchFunc {
	return func(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		call := call
		call.Call, call.Table, call.After, call.Wait = storeFeed, table, after, min(wait, call.Wait)
		result := (&hopHandler{feeds: f.hosts[to].feeds}).callStore(ctx, call)
		if f.fault.Load().linkLost(host, to) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		time.Sleep(simulatedDelay())
		if result.NotFed {
			return nil, 0, rowstore.ErrFeedClosed
		}
		return result.Rows, result.Version, ctx.Err()
	}
}

// requestTarget returns the host that gets a request: 9 of 10 stay in their zone.
func (f *configFleet) requestTarget(from int) int {
	to := f.otherThan(from)
	for range 20 {
		if f.zone(to) == f.zone(from) || rand.N(10) == 0 {
			break
		}
		to = f.otherThan(from)
	}
	return to
}

// fetch is a comparison call from one host to another.
func (f *configFleet) fetch(ctx context.Context, from, to int, version uint64) (peerConfig, error) {
	if f.first() == "frozen" && (from == 0 || to == 0) || f.fault.Load().linkLost(from, to) {
		<-ctx.Done()
		return peerConfig{}, ctx.Err()
	}
	f.asks.Add(1)
	time.Sleep(simulatedDelay())
	result := (&hopHandler{config: f.hosts[to].config}).callStore(ctx, storeCall{Call: storeConfig, Config: version})
	time.Sleep(simulatedDelay())
	if result.Error != "" {
		return peerConfig{}, errors.New(result.Error)
	}
	peer := peerConfig{Version: result.Config, Age: result.ConfigAge, AgeKnown: result.ConfigAge > 0}
	for _, r := range result.Rows {
		peer.Row = &r
	}
	return peer, nil
}

// request is a request from one host to another.
func (f *configFleet) request(from, to int) {
	if f.first() == "frozen" && (from == 0 || to == 0) || f.fault.Load().linkLost(from, to) {
		return
	}
	requestedAt := time.Now()
	time.Sleep(simulatedDelay())
	head := (&hopHandler{config: f.hosts[to].config}).responseHead(&Result{})
	time.Sleep(simulatedDelay())
	peer := peerConfig{Version: head.Config}
	peer.Age, peer.AgeKnown = head.Flags.ConfigAge()
	f.hosts[from].exchange.observe(peer, requestedAt, f.clients[to])
}

// run runs the hosts until ctx ends.
func (f *configFleet) run(ctx context.Context, requests bool) {
	var tasks sync.WaitGroup
	for i, s := range f.hosts {
		tasks.Go(func() { s.followConfig(ctx) })
		tasks.Go(func() { s.exchange.run(ctx) })
		tasks.Go(func() { s.asker.run(ctx) })
		if requests {
			tasks.Go(func() {
				for ctx.Err() == nil {
					f.request(i, f.requestTarget(i))
					time.Sleep(rand.N(2 * cmp.Or(f.requestInterval, 30*time.Millisecond)))
				}
			})
		}
	}
	tasks.Wait()
}

// checkChange publishes a version and checks when the hosts have it, and that none of
// the others takes its configuration for the newest at a later time.
func (f *configFleet) checkChange(t *testing.T, version int) (slowest time.Duration) {
	t.Helper()
	f.publish(t, version)
	return f.awaitVersion(t, version, time.Now())
}

// awaitVersion waits until the hosts to which the limit applies have the version that was
// published at the given time, with the checks of checkChange, and returns the time that it
// took.
func (f *configFleet) awaitVersion(t *testing.T, version int, published time.Time) time.Duration {
	t.Helper()
	began := time.Now()
	before := make([]uint64, len(f.hosts))
	for waiting := true; waiting; {
		time.Sleep(10 * time.Millisecond)
		waiting = false
		for i, s := range f.hosts {
			inForce := s.config.version()
			if inForce < before[i] {
				t.Errorf("host %d went back from version %d to %d", i, before[i], inForce)
			}
			before[i] = inForce
			if f.first() == "frozen" && i == 0 || f.fault.Load().lostHost(i) || inForce >= uint64(version) {
				continue
			}
			waiting = waiting || f.fault.Load().bound(i) && time.Since(began) < time.Minute
			if late := s.config.lastConfirmed().Sub(published); late > 0 && s.config.version() < uint64(version) {
				t.Errorf("host %d takes version %d for the newest %v after version %d", i, s.config.version(), late, version)
			}
		}
	}
	return time.Since(began)
}

// Guards against hosts that confirm an old configuration to each other, and against a
// change that is delayed because the first host, which checks most often, does not.
func TestChangeReachesFleetWithoutWatches(t *testing.T) {
	for _, n := range []int{2, 18, 100} {
		for _, firstHost := range []string{"", "frozen", "cut off"} {
			for _, requests := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d hosts, first %q, requests %v", n, firstHost, requests), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := &configFleet{}
						f.start(t, n)
						ctx, cancel := context.WithCancel(t.Context())
						done := make(chan struct{})
						go func() { f.run(ctx, requests); close(done) }()
						time.Sleep(3 * time.Second)
						f.firstHost.Store(firstHost)
						time.Sleep(3 * time.Second)
						began, before := time.Now(), f.checks.Load()
						var slowest time.Duration
						for version := 2; version < 3+30/n; version++ {
							time.Sleep(rand.N(2 * time.Second))
							slowest = max(slowest, f.checkChange(t, version))
						}
						if slowest > configInForce {
							t.Errorf("a version was in force after %v, want %v at most", slowest, configInForce)
						}
						t.Logf("slowest %v, %.1f checks a second", slowest, float64(f.checks.Load()-before)/time.Since(began).Seconds())
						cancel()
						<-done
					})
				})
			}
		}
	}
}
