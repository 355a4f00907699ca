package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// configInForce is the time within which a configuration must be in force.
const configInForce = 2 * time.Second

// otherHosts is what the other hosts and the store do in a test of configCatchUp.
type otherHosts struct {
	version atomic.Uint64 // in force here
	asked   atomic.Int32
	silent  atomic.Bool
}

func (o *otherHosts) catchUp() *configCatchUp {
	return &configCatchUp{
		version: o.version.Load,
		fetch: func(ctx context.Context, _ *hop.Client) (rowstore.Row, error) {
			o.asked.Add(1)
			if o.silent.Load() {
				<-ctx.Done()
				return rowstore.Row{}, errors.New("silent")
			}
			return rowstore.Row{Version: 6}, nil
		},
		apply: func(r rowstore.Row) { o.version.Store(uint64(r.Version)) },
	}
}

// Guards against a host that goes on with an old configuration while its own way
// to the store is silent and the hosts that it asks instead are, too: the answers
// of other hosts to its requests show the newer version.
func TestNewerVersionOfAnotherHostIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o otherHosts
		o.version.Store(5)
		o.silent.Store(true)
		c := o.catchUp()
		other := newHopClient("127.0.0.1:1")
		c.seen(5, other)
		time.Sleep(time.Second)
		if o.asked.Load() != 0 {
			t.Error("a version that is in force here was asked for")
		}
		c.seen(6, other)
		time.Sleep(catchUpWait + catchUpTimeout)
		synctest.Wait()
		if o.asked.Load() != 1 || o.version.Load() != 5 {
			t.Fatalf("asked %d times, version %d", o.asked.Load(), o.version.Load())
		}
		o.silent.Store(false)
		began := time.Now()
		for o.version.Load() != 6 && time.Since(began) < time.Minute {
			c.seen(6, other)
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > configInForce {
			t.Errorf("in force after %v", took)
		}
		c.seen(5, other)
		time.Sleep(time.Minute)
		if o.asked.Load() != 2 {
			t.Errorf("asked %d times, want once after the failure", o.asked.Load())
		}
	})
}

// Guards against questions to other hosts for each change that the store brings by
// itself: a configuration of many routes has hundreds of kilobytes.
func TestVersionThatTheStoreBringsIsNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o otherHosts
		o.version.Store(5)
		o.catchUp().seen(6, newHopClient("127.0.0.1:1"))
		time.Sleep(configGather)
		o.version.Store(6)
		time.Sleep(time.Minute)
		if o.asked.Load() != 0 {
			t.Errorf("asked %d times", o.asked.Load())
		}
	})
}
