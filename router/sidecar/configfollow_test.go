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

// errReset is a call that ended with its connection.
var errReset = fmt.Errorf("%w: connection reset by peer", rowstore.ErrConnectionLost)

// configStore is the store as one host reaches it. Calls behave as set.
type configStore struct {
	*rowstore.Memory

	mu sync.Mutex
	// heard is closed when the store answers again after a silence; nil while it
	// answers.
	heard chan struct{}
	// refused calls fail at once.
	refused bool
	// reset, when closed, ends the watches under way.
	reset chan struct{}
}

func newConfigStore() *configStore {
	return &configStore{Memory: rowstore.NewMemory(), reset: make(chan struct{})}
}

// silence begins or ends a time in which calls are not answered.
func (c *configStore) silence(begin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begin {
		c.heard = make(chan struct{})
		return
	}
	close(c.heard)
	c.heard = nil
}

func (c *configStore) refuse(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = refused
}

// resetWatches ends the watches that are under way.
func (c *configStore) resetWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.reset)
	c.reset = make(chan struct{})
}

// begin waits or fails as set.
func (c *configStore) begin(ctx context.Context) error {
	c.mu.Lock()
	heard, refused := c.heard, c.refused
	c.mu.Unlock()
	if refused {
		return errors.New("status 503")
	}
	if heard == nil {
		return nil
	}
	select {
	case <-heard:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *configStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	return c.Memory.Parts(ctx, table)
}

func (c *configStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	return c.Memory.List(ctx, table, part)
}

func (c *configStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if err := c.begin(ctx); err != nil {
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

// Commit of a host fails like its other calls; publish writes past it.
func (c *configStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	return c.Memory.Commit(ctx, txn)
}

// silentHost is the store through a host that does not answer.
type silentHost struct{ rowstore.Store }

func (silentHost) wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayedCallTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s silentHost) Parts(ctx context.Context, _ string) ([]string, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s silentHost) List(ctx context.Context, _, _ string) ([]rowstore.Row, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s silentHost) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]rowstore.Row, int64, error) {
	return nil, 0, s.wait(ctx)
}

func (s silentHost) Commit(ctx context.Context, _ rowstore.Txn) (int64, error) {
	return 0, s.wait(ctx)
}

// configHost is a host that follows the configuration in a synctest bubble.
type configHost struct {
	*Sidecar
	t     *testing.T
	store *configStore
	// peer is the row of the configuration in force at the other hosts, if they
	// answer.
	peer struct {
		sync.Mutex
		row    rowstore.Row
		silent bool
		// gave is the number of configurations that were fetched.
		gave int
	}
}

// startConfigHost returns a host with version 1 in force. Store calls through other
// hosts are not answered.
func startConfigHost(t *testing.T) *configHost {
	t.Helper()
	h := &configHost{t: t, store: newConfigStore()}
	settings := DefaultSettings()
	settings.Host = HostSettings{Name: "h0", Zone: "z1", Region: "r1", Service: "plain"}
	settings.Upstream.Address = "127.0.0.1:1"
	nothing := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
	h.Sidecar = New(Options{
		Settings: settings, Store: h.store, Headers: testHeaders,
		Config:  ConfigSource{Key: configKey, Decode: decodeTestConfig},
		Control: nothing, Ready: nothing, Metrics: &metrics.Scope{Scope: tally.NoopScope},
	})
	h.Sidecar.store.(*rowstore.RelayedStore).Relays = func(int) []rowstore.Store { return []rowstore.Store{silentHost{}, silentHost{}} }
	h.exchange.fetch = h.fetch
	for _, name := range []string{"h1", "h2"} {
		h.fleet.Put(fleet.Member{Host: name, Zone: "z1", Region: "r1", Service: "plain", Address: "127.0.0.1:1", State: fleet.Ready})
	}
	h.publish("1")
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { h.followConfig(ctx) })
	tasks.Go(func() { h.exchange.run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	h.inForceWithin(1, configInForce)
	time.Sleep(10 * time.Second)
	return h
}

// fetch is the answer of another host.
func (h *configHost) fetch(ctx context.Context, _ *hop.Client, version uint64) (peerConfig, error) {
	h.peer.Lock()
	row, silent := h.peer.row, h.peer.silent
	h.peer.Unlock()
	if silent {
		<-ctx.Done()
		return peerConfig{}, ctx.Err()
	}
	config, err := decodeTestConfig(row.Value)
	if err != nil || config.Version <= version {
		return peerConfig{Version: config.Version}, err
	}
	h.peer.Lock()
	h.peer.gave++
	h.peer.Unlock()
	return peerConfig{Version: config.Version, Row: &row}, nil
}

// silencePeers makes the other hosts answer nothing from now on.
func (h *configHost) silencePeers() {
	h.peer.Lock()
	defer h.peer.Unlock()
	h.peer.silent = true
}

// publish stores a version as the operator does, and gives it to the other hosts.
func (h *configHost) publish(version string) {
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
	h.peer.Lock()
	h.peer.row = rowstore.Row{Key: configKey, Value: []byte(version), Version: written}
	h.peer.Unlock()
}

// inForceWithin fails the test when the version is not in force after the time.
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

// Guards against a change that comes late because one connection to the store was
// lost: the store answers new ones, and other hosts cannot be relied on.
func TestResetWatchDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.silencePeers()
		h.store.resetWatches()
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a change that comes late because the store dropped its history and
// reset the watches while the change was made.
func TestDroppedHistoryDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.silencePeers()
		h.publish("2")
		h.store.DiscardHistory()
		h.store.resetWatches()
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a change that comes late because calls of another kind, such as a
// lease renewal, failed shortly before.
func TestFailedRenewalDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.silencePeers()
		h.publish("2")
		h.inForceWithin(2, configInForce)
		h.store.refuse(true)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := h.Sidecar.store.Commit(ctx, rowstore.Txn{Conditions: []rowstore.Condition{{Key: configKey}}}); err == nil {
			t.Fatal("the renewal did not fail")
		}
		h.store.refuse(false)
		h.publish("3")
		h.inForceWithin(3, configInForce)
	})
}

// Guards against a host that keeps an old configuration because its watch is never
// answered, and that sends no requests to hosts which have a newer one.
func TestSilentWatchDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.store.silence(true)
		h.store.resetWatches()
		time.Sleep(10 * time.Second)
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a host that keeps an old configuration because the store turns it
// away and serves the others.
func TestRefusedHostGetsChangesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.store.refuse(true)
		h.store.resetWatches()
		time.Sleep(10 * time.Second)
		h.publish("2")
		h.inForceWithin(2, configInForce)
	})
}

// Guards against a host that takes long to read a change after the store is back,
// when no other host can be asked.
func TestOutageDelaysNoLaterChange(t *testing.T) {
	for _, outage := range []struct {
		name string
		set  func(c *configStore, away bool)
	}{
		{"silent", (*configStore).silence},
		{"refused", (*configStore).refuse},
	} {
		t.Run(outage.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startConfigHost(t)
				h.silencePeers()
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

// Guards against changes in quick succession of which each one is pushed back by
// the pause after the one before.
func TestChangesInSeriesAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		h.silencePeers()
		for _, version := range []string{"2", "3", "4", "5", "6", "7", "8"} {
			h.publish(version)
			time.Sleep(330 * time.Millisecond)
		}
		h.inForceWithin(8, configInForce)
	})
}

// Guards against questions to other hosts for each change that the store brings by
// itself, also one that waits for the pause after the change before: a configuration
// of many routes has hundreds of kilobytes.
func TestChangeThatTheStoreBringsIsNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startConfigHost(t)
		other := newHopClient("127.0.0.1:1")
		for version := uint64(2); version < 8; version++ {
			h.publish(strconv.FormatUint(version, 10))
			h.exchange.seen(version, other)
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		h.peer.Lock()
		defer h.peer.Unlock()
		if h.config.version() != 7 || h.peer.gave != 0 {
			t.Errorf("version %d in force, %d fetched from other hosts", h.config.version(), h.peer.gave)
		}
	})
}
