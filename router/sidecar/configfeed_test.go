package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/rowstore"
)

// Guards against a change that is delayed on all hosts of a zone because the host that
// reads the configuration for them responds and gets nothing from the store.
func TestDeafReaderDoesNotDelayChange(t *testing.T) {
	for offset := time.Duration(0); offset < peerPollInterval; offset += 37 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			h := startConfigHost(t)
			deaf := func(ctx context.Context, _ string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
				select {
				case <-time.After(min(wait, maxRelayedWatch)):
					return nil, after, nil
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				}
			}
			// From the next change on the reader is asked; the watch in progress has taken this
			// lock since it read Source.
			h.store.mu.Lock()
			h.configFed.Source = func() (rowstore.WatchFunc, func(error)) { return deaf, func(error) {} }
			h.store.mu.Unlock()
			h.publish("2")
			h.inForceWithin(2, configInForce)
			time.Sleep(10*time.Second + offset)
			if h.configFed.Direct() {
				t.Fatal("the host still reads the store")
			}
			h.publish("3")
			h.inForceWithin(3, configInForce)
		})
	}
}
