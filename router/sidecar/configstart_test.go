package sidecar

import (
	"context"
	"net/http"
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

// slowStore is the store of a host that gets each response after a delay, or none if the
// delay is negative.
type slowStore struct {
	rowstore.Store
	delay time.Duration
}

func (s slowStore) wait(ctx context.Context) error {
	var elapsed <-chan time.Time
	if s.delay >= 0 {
		elapsed = time.After(s.delay)
	}
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s slowStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.Parts(ctx, table)
}

func (s slowStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, table, part)
}

// startAmong starts a host among others that have versions of the configuration, with the
// store at version 2, and returns its configuration.
func startAmong(t *testing.T, storeDelay time.Duration, peers ...string) *currentConfig {
	t.Helper()
	memory := rowstore.NewMemory()
	rows := map[string]rowstore.Row{}
	for _, version := range []string{"1", "2"} {
		written, err := memory.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: configKey, Value: []byte(version)}}})
		if err != nil {
			t.Fatal(err)
		}
		rows[version] = rowstore.Row{Key: configKey, Value: []byte(version), Version: written}
	}
	settings := DefaultSettings()
	settings.Host = HostSettings{Name: "h0", Zone: "z1", Region: "r1", Service: "plain"}
	settings.Upstream.Address = "127.0.0.1:1"
	notFound := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
	s := New(Options{
		Settings: settings, Store: slowStore{memory, storeDelay}, Headers: testHeaders,
		Config:  ConfigSource{Key: configKey, Decode: decodeTestConfig},
		Control: notFound, Ready: notFound, Metrics: &metrics.Scope{Scope: tally.NoopScope},
	})
	versions := map[string]string{}
	for i, version := range peers {
		name := string(rune('a' + i))
		address := "127.0.0.1:" + string(rune('1'+i))
		versions[address] = version
		s.fleet.Put(fleet.Member{Host: name, Zone: "z1", Region: "r1", Service: "plain", Address: address, State: fleet.Ready})
	}
	s.exchange.fetch = func(_ context.Context, from *hop.Client, above uint64) (peerConfig, error) {
		row := rows[versions[from.Address()]]
		config, err := decodeTestConfig(row.Value)
		if err != nil || config.Version <= above {
			return peerConfig{Version: config.Version}, err
		}
		return peerConfig{Version: config.Version, Row: &row}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.followConfig(ctx) })
	tasks.Go(func() { s.exchange.run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return s.config
}

// startInForce is the time after its start from which a host must use the newest confirmed
// configuration.
const startInForce = 3 * time.Second

// Guards against a host that starts, takes an earlier configuration from another host that
// is behind, and keeps it.
func TestStartedHostDoesNotStayBehindPeers(t *testing.T) {
	for _, c := range []struct {
		name       string
		storeDelay time.Duration
		peers      []string
	}{
		{"all others behind", 0, []string{"1", "1", "1"}},
		{"all others behind, slow store", 900 * time.Millisecond, []string{"1", "1", "1"}},
		{"no other behind, store silent", -1, []string{"2", "2", "2", "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := startAmong(t, c.storeDelay, c.peers...)
				began := time.Now()
				var first time.Duration
				for config.version() < 2 && time.Since(began) <= startInForce {
					time.Sleep(time.Millisecond)
					if first == 0 && config.version() > 0 {
						first = time.Since(began)
					}
				}
				if took := time.Since(began); took > startInForce {
					t.Errorf("version %d in force %v after the start", config.version(), took)
				}
				t.Logf("version %d after %v, the first one after %v", config.version(), time.Since(began), first)
			})
		})
	}
}
