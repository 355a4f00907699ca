package sidecar

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// configInForce is the time within which a configuration must be in force.
const configInForce = 2 * time.Second

// Guards against a host that goes on with an old configuration while its own way
// to the store is silent and the hosts that it asks instead are, too: the answers
// of other hosts to its requests show the newer version.
func TestNewerVersionOfAnotherHostIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version, asked := uint64(5), 0
		fail := true
		c := &configCatchUp{
			version: func() uint64 { return version },
			fetch: func(ctx context.Context, _ *hop.Client) (rowstore.Row, error) {
				asked++
				if fail {
					<-ctx.Done()
					return rowstore.Row{}, errors.New("silent")
				}
				return rowstore.Row{Version: 6}, nil
			},
			apply: func(r rowstore.Row) { version = uint64(r.Version) },
		}
		other := newHopClient("127.0.0.1:1")
		c.seen(5, other)
		time.Sleep(time.Second)
		if asked != 0 {
			t.Error("a version that is in force here was asked for")
		}
		c.seen(6, other)
		time.Sleep(catchUpWait + catchUpTimeout)
		synctest.Wait()
		if asked != 1 || version != 5 {
			t.Fatalf("asked %d times, version %d", asked, version)
		}
		fail = false
		began := time.Now()
		for version != 6 && time.Since(began) < time.Minute {
			c.seen(6, other)
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > configInForce {
			t.Errorf("in force after %v", took)
		}
		c.seen(5, other)
		time.Sleep(time.Minute)
		if asked != 2 {
			t.Errorf("asked %d times, want once after the failure", asked)
		}
	})
}

// Guards against questions to other hosts for each change that the store brings by
// itself: a configuration of many routes has hundreds of kilobytes.
func TestVersionThatTheStoreBringsIsNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version, asked := uint64(5), 0
		c := &configCatchUp{
			version: func() uint64 { return version },
			fetch: func(context.Context, *hop.Client) (rowstore.Row, error) {
				asked++
				return rowstore.Row{}, nil
			},
		}
		c.seen(6, newHopClient("127.0.0.1:1"))
		time.Sleep(configGather)
		version = 6
		time.Sleep(time.Minute)
		if asked != 0 {
			t.Errorf("asked %d times", asked)
		}
	})
}
