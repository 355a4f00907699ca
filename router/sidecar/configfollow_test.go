package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
)

// errReset is the error of a call whose connection was reset.
var errReset = fmt.Errorf("%w: connection reset by peer", rowstore.ErrConnectionLost)

// configStore is the store as one host reaches it, with failures that tests switch on and
// off.
type configStore struct {
	*rowstore.Memory

	mu sync.Mutex
	// resumed is non-nil while calls hang, and is closed when the store responds again.
	resumed chan struct{}
	// refusing makes calls fail at once.
	refusing bool
	// silent makes calls get no response, also after the store responds again to others.
	silent bool
	// reset, when closed, ends the watches in progress.
	reset chan struct{}
}

func newConfigStore() *configStore {
	return &configStore{Memory: rowstore.NewMemory(), reset: make(chan struct{})}
}

// setHanging begins or ends a period in which calls get no response.
func (c *configStore) setHanging(hanging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hanging {
		c.resumed = make(chan struct{})
		return
	}
	close(c.resumed)
	c.resumed = nil
}

func (c *configStore) setRefusing(refusing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = refusing
}

// setSilent begins or ends a period in which the store loses all calls.
func (c *configStore) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// resetWatches ends the watches in progress.
func (c *configStore) resetWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.reset)
	c.reset = make(chan struct{})
}

// beforeCall waits or fails as the store is set.
func (c *configStore) beforeCall(ctx context.Context) error {
	c.mu.Lock()
	resumed, refusing, silent := c.resumed, c.refusing, c.silent
	c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if refusing {
		return errors.New("status 503")
	}
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *configStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, 0, err
	}
	return c.Memory.Parts(ctx, table)
}

func (c *configStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, 0, err
	}
	return c.Memory.List(ctx, table, part)
}

func (c *configStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if err := c.beforeCall(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	reset := c.reset
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		select {
		case <-reset:
			cancel()
		case <-ended:
		}
	}()
	rows, version, err := c.Memory.Watch(ctx, table, after, wait)
	close(ended)
	select {
	case <-reset:
		return nil, 0, errReset
	default:
		return rows, version, err
	}
}

// Commit fails like the other calls of the host. publish bypasses it.
func (c *configStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if err := c.beforeCall(ctx); err != nil {
		return 0, err
	}
	return c.Memory.Commit(ctx, txn)
}

// hangingHost is the store as reached through a host that does not respond.
type hangingHost struct{ rowstore.Store }

func (hangingHost) wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayedCallTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s hangingHost) Parts(ctx context.Context, _ string) ([]string, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s hangingHost) List(ctx context.Context, _, _ string) ([]rowstore.Row, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s hangingHost) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]rowstore.Row, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s hangingHost) Commit(ctx context.Context, _ rowstore.Txn) (int64, error) {
	return 0, s.wait(ctx)
}

// configHost is a host that follows the configuration in a synctest bubble.
type configHost struct {
	*Sidecar
	t     *testing.T
	store *configStore
	// peer is the state of the other hosts: the row of their configuration in force, and
	// whether they hang.
	peer struct {
		sync.Mutex
		row     rowstore.Row
		hanging bool
		// age is the age of their configuration; 0 if they do not report it.
		age time.Duration
		// fetched is the number of configurations that were fetched.
		fetched int
	}
}

// startConfigHost returns a host with version 1 in force. Store calls through other hosts
// get no response.
func startConfigHost(t *testing.T) *configHost {
	t.Helper()
	return startConfigHostWith(t, func(*rowstore.Follower) {})
}

// startConfigHostWith is startConfigHost with a change to the follower before it starts.
func startConfigHostWith(t *testing.T, change func(*rowstore.Follower)) *configHost {
	t.Helper()
	h := &configHost{t: t, store: newConfigStore()}
	settings := DefaultSettings()
	settings.Host = HostSettings{Name: "h0", Zone: "z1", Region: "r1", Service: "plain"}
	settings.Upstream.Address = "127.0.0.1:1"
	notFound := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
	h.Sidecar = New(Options{
		Settings: settings, Store: h.store, Headers: testHeaders,
		Config:  ConfigSource{Key: configKey, Decode: decodeTestConfig},
		Control: notFound, Ready: notFound, Metrics: &metrics.Scope{Scope: tally.NoopScope},
	})
	h.Sidecar.store.(*rowstore.EraStore).Store.(*rowstore.RelayedStore).Relays = func(int) []rowstore.Store { return []rowstore.Store{hangingHost{}, hangingHost{}} }
	h.exchange.fetch = h.fetch
	change(h.configFollower)
	for _, name := range []string{"h1", "h2"} {
		h.fleet.Put(fleet.Member{Host: name, Zone: "z1", Region: "r1", Service: "plain", Address: "127.0.0.1:1", State: fleet.Ready})
	}
	h.publish("1")
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { h.followConfig(ctx) })
	tasks.Go(func() { h.exchange.run(ctx) })
	tasks.Go(func() { h.asker.run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	h.inForceWithin(1, configInForce)
	time.Sleep(10 * time.Second)
	return h
}

// fetch returns what another host responds with.
func (h *configHost) fetch(ctx context.Context, _ *hop.Client, version uint64) (peerConfig, error) {
	h.peer.Lock()
	row, hanging, age := h.peer.row, h.peer.hanging, h.peer.age
	h.peer.Unlock()
	if hanging {
		<-ctx.Done()
		return peerConfig{}, ctx.Err()
	}
	config, err := decodeTestConfig(row.Value)
	if err != nil || config.Version <= version {
		return peerConfig{Version: config.Version, Age: age, AgeKnown: age > 0}, err
	}
	h.peer.Lock()
	h.peer.fetched++
	h.peer.Unlock()
	return peerConfig{Version: config.Version, Row: &row}, nil
}

// hangPeers makes the other hosts stop responding.
func (h *configHost) hangPeers() {
	h.peer.Lock()
	defer h.peer.Unlock()
	h.peer.hanging = true
}

// publish stores a version as the operator does, and gives it to the other hosts.
func (h *configHost) publish(version string) {
	h.t.Helper()
	row := h.publishUnseen(version)
	h.peer.Lock()
	h.peer.row = row
	h.peer.Unlock()
}

// publishUnseen stores a version as the operator does. The other hosts do not get it.
func (h *configHost) publishUnseen(version string) rowstore.Row {
	h.t.Helper()
	rows, _, err := h.store.Memory.List(h.t.Context(), configKey.Table, configKey.Part)
	if err != nil {
		h.t.Fatal(err)
	}
	var seen int64
	for _, r := range rows {
		seen = r.Version
	}
	written, err := h.store.Memory.Commit(h.t.Context(), rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: configKey, Version: seen}},
		Writes:     []rowstore.Write{{Key: configKey, Value: []byte(version)}},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return rowstore.Row{Key: configKey, Value: []byte(version), Version: written}
}

// inForceWithin fails the test if the version is not in force within limit.
func (h *configHost) inForceWithin(version uint64, limit time.Duration) {
	h.t.Helper()
	began := time.Now()
	for h.config.version() < version && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(began); took > limit {
		h.t.Errorf("version %d is in force after %v, want %v at most", version, took, limit)
	}
}

// Guards against a change that is delayed because one connection to the store was reset,
// while the store accepts new ones and other hosts do not respond.
func TestResetWatchDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.hangPeers()
		h.store.resetWatches()
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a change that is delayed because the store dropped its history and reset
// the watches while the change was made.
func TestDroppedHistoryDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.hangPeers()
		h.publish("2")
		h.store.DiscardHistory()
		h.store.resetWatches()
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a change that is delayed because calls of another kind, such as a lease
// renewal, failed shortly before.
func TestFailedRenewalDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.hangPeers()
		h.publish("2")
		h.inForceWithin(2, configInForce)
		h.store.setRefusing(true)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := h.Sidecar.store.Commit(ctx, rowstore.Txn{Conditions: []rowstore.Condition{{Key: configKey}}}); err == nil {
			t.Fatal("the renewal did not fail")
		}
		h.store.setRefusing(false)
		h.publish("3")
		h.inForceWithin(3, configInForce)
	})
}

// Guards against a host that keeps an old configuration because its watch gets no
// response, and that sends no requests to hosts which have a newer one.
func TestHangingWatchDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.store.setHanging(true)
		h.store.resetWatches()
		time.Sleep(10 * time.Second)
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a host that keeps an old configuration because the store refuses its
// calls and serves the other hosts.
func TestRefusedHostGetsChangesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.store.setRefusing(true)
		h.store.resetWatches()
		time.Sleep(10 * time.Second)
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a change that is delayed after an outage of the store has ended, while
// no other host can be polled.
func TestOutageDoesNotDelayLaterChange(t *testing.T) {
	for _, outage := range []struct {
		name string
		set  func(c *configStore, out bool)
	}{
		{"silent", (*configStore).setHanging},
		{"refused", (*configStore).setRefusing},
	} {
		t.Run(outage.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startConfigHost(t)
				h.hangPeers()
				outage.set(h.store, true)
				h.store.resetWatches()
				time.Sleep(10 * time.Second)
				outage.set(h.store, false)
				time.Sleep(time.Second)
				h.publish("2")
				h.inForceWithin(2, configInForce)
			})
		})
	}
}

// Guards against changes in quick succession, each of which is delayed by the batch delay
// after the one before.
func TestChangesInQuickSuccessionAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.hangPeers()
		for _, version := range []string{"2", "3", "4", "5", "6", "7", "8"} {
			h.publish(version)
			time.Sleep(330 * time.Millisecond)
		}
		h.inForceWithin(8, configInForce)
	})
}

// Guards against fetches from other hosts for changes that the store itself delivers,
// including one that waits for the batch delay after the change before: a configuration
// of many routes has hundreds of kilobytes.
func TestChangeDeliveredByStoreIsNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		other := newHopClient("127.0.0.1:1")
		for version := uint64(2); version < 8; version++ {
			h.publish(strconv.FormatUint(version, 10))
			h.exchange.observe(peerConfig{Version: version}, time.Now(), other)
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		h.peer.Lock()
		defer h.peer.Unlock()
		if h.config.version() != 7 || h.peer.fetched != 0 {
			t.Errorf("version %d in force, %d fetched from other hosts", h.config.version(), h.peer.fetched)
		}
	})
}

// Guards against hosts that all keep an old configuration because the store has lost the
// watches that they sent after a change. The connections stay open, and no other host has
// a newer configuration.
func TestLostWatchesOfAllHostsDoNotDelayChange(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startConfigHost(t)
				h.publish("2")
				h.inForceWithin(2, configInForce)
				time.Sleep(configBatchDelay / 2)
				h.store.setSilent(true)
				time.Sleep(silence)
				h.store.setSilent(false)
				time.Sleep(3 * time.Second)
				h.publishUnseen("3")
				h.inForceWithin(3, configInForce)
			})
		})
	}
}

// Guards against hosts that all keep an old configuration because the store first fails
// their watches and then loses the next ones.
func TestWatchLostAfterFailureDoesNotDelayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.store.setRefusing(true)
		h.store.resetWatches()
		time.Sleep(time.Second)
		h.store.setRefusing(false)
		h.store.setSilent(true)
		time.Sleep(1500 * time.Millisecond)
		h.store.setSilent(false)
		time.Sleep(3 * time.Second)
		h.publishUnseen("2")
		h.inForceWithin(2, configInForce)
	})
}
