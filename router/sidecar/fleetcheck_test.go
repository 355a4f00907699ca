package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/rowstore"
)

// Guards against checks of the fleet while watches bring its changes, and against a watch
// that the store has lost and that is found late because no check is made.
func TestFleetIsCheckedUnlessWatchesBringChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := rowstore.NewMemory()
		settings := DefaultSettings()
		settings.Host = HostSettings{Name: "h0", Zone: "z1", Region: "r1", Service: "plain"}
		settings.Upstream.Address = "127.0.0.1:1"
		notFound := func(*Sidecar) http.Handler { return http.NotFoundHandler() }
		s := New(Options{
			Settings: settings, Store: memory, Headers: testHeaders,
			Config:  ConfigSource{Key: configKey, Decode: decodeTestConfig},
			Control: notFound, Ready: notFound, Metrics: &metrics.Scope{Scope: tally.NoopScope},
		})
		counted := &countingStore{Store: memory}
		s.fleetFollower.CheckStore = counted
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.followFleet(ctx); close(done) }()
		change := func(i int) {
			key := rowstore.Key{Table: tableFleet, Part: "other", Name: fmt.Sprint(i)}
			if _, err := memory.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: key}}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		before := counted.checks.Load()
		for i := range 40 {
			change(i)
			time.Sleep(500 * time.Millisecond)
		}
		if made := counted.checks.Load() - before; made > 1 {
			t.Errorf("%d checks in 20 s in which watches brought changes", made)
		}
		before = counted.checks.Load()
		time.Sleep(20 * time.Second)
		if made := counted.checks.Load() - before; made < 9 {
			t.Errorf("%d checks in 20 s without changes, want one each %v", made, fleetCheckInterval)
		}
		cancel()
		<-done
	})
}
