package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// configInForce is the time within which a configuration must be in force.
const configInForce = 2 * time.Second

// fakePeers replaces the other hosts and the store in a test of configExchange.
type fakePeers struct {
	version atomic.Uint64 // in force on this host
	polls   atomic.Int32
	hanging atomic.Bool
}

// startExchange runs an exchange that has no random peers: it polls only hosts that have
// reported a newer version.
func (o *fakePeers) startExchange(t *testing.T) *configExchange {
	c := &configExchange{
		scope:         tally.NoopScope,
		version:       o.version.Load,
		storeDeadline: func(now time.Time) time.Time { return now.Add(storeDeliveryWait) },
		fetch: func(ctx context.Context, _ *hop.Client, _ uint64) (peerConfig, error) {
			o.polls.Add(1)
			if o.hanging.Load() {
				<-ctx.Done()
				return peerConfig{}, errors.New("silent")
			}
			return peerConfig{Version: 6, Row: &rowstore.Row{Version: 6}}, nil
		},
		apply:      func(r rowstore.Row) { o.version.Store(uint64(r.Version)) },
		randomPeer: func() *hop.Client { return nil },
		wakeCh:     make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// Guards against a host that keeps an old configuration because its own connection to the
// store hangs, as do the hosts that it polls instead, although the responses of other
// hosts to its requests report the newer version.
func TestNewerConfigurationOfPeerIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o fakePeers
		o.version.Store(5)
		o.hanging.Store(true)
		c := o.startExchange(t)
		other := newHopClient("127.0.0.1:1")
		c.observe(peerConfig{Version: 5}, time.Now(), other)
		time.Sleep(time.Second)
		if o.polls.Load() != 0 {
			t.Error("polled for a version that is already in force")
		}
		c.observe(peerConfig{Version: 6}, time.Now(), other)
		time.Sleep(storeDeliveryWait + pollTimeout)
		synctest.Wait()
		if o.polls.Load() != 1 || o.version.Load() != 5 {
			t.Fatalf("%d polls, version %d", o.polls.Load(), o.version.Load())
		}
		o.hanging.Store(false)
		began := time.Now()
		for o.version.Load() != 6 && time.Since(began) < time.Minute {
			c.observe(peerConfig{Version: 6}, time.Now(), other)
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > configInForce {
			t.Errorf("in force after %v", took)
		}
		c.observe(peerConfig{Version: 5}, time.Now(), other)
		time.Sleep(time.Minute)
		if o.polls.Load() != 2 {
			t.Errorf("%d polls, want one after the failure", o.polls.Load())
		}
	})
}

// Guards against polls that are too late or too frequent, and against polls of hosts that
// do not respond while others may.
func TestPeerPollDecisions(t *testing.T) {
	now := time.Unix(1000, 0)
	from := newHopClient("127.0.0.1:1")
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		peers peerVersions
		want  pollDecision
	}{
		"no version was reported yet": {
			want: pollDecision{due: true, otherPeer: true},
		},
		"another host has just reported its version": {
			peers: peerVersions{newest: 5, lastObserved: ago(0)},
			want:  pollDecision{wait: peerPollInterval, otherPeer: true},
		},
		"another host was just polled and has no configuration": {
			peers: peerVersions{lastPolled: ago(0)},
			want:  pollDecision{wait: peerPollInterval, otherPeer: true},
		},
		"no host has reported a version for long": {
			peers: peerVersions{newest: 5, lastObserved: ago(peerPollInterval)},
			want:  pollDecision{due: true, otherPeer: true},
		},
		"the store may still deliver a newer version": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), storeDeadline: now.Add(time.Millisecond)},
			want:  pollDecision{wait: time.Millisecond, from: from, fetch: true},
		},
		"the store did not deliver a newer version": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), storeDeadline: now},
			want:  pollDecision{due: true, from: from, fetch: true},
		},
		"store disconnected, a newer version was reported": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), storeDeadline: now.Add(time.Second), storeDisconnected: true},
			want:  pollDecision{due: true, from: from, fetch: true},
		},
		"store disconnected, no newer version was reported": {
			peers: peerVersions{newest: 5, lastObserved: ago(0), lastPolled: ago(peerPollInterval), storeDisconnected: true},
			want:  pollDecision{due: true, otherPeer: true, fetch: true},
		},
		"store disconnected, another host was just polled": {
			peers: peerVersions{newest: 5, lastObserved: ago(0), lastPolled: ago(0), storeDisconnected: true},
			want:  pollDecision{wait: peerPollInterval, otherPeer: true, fetch: true},
		},
		"the host that reported it did not respond": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), lastPolled: ago(pollBackoff), misses: 1},
			want:  pollDecision{due: true, from: from, otherPeer: true, fetch: true},
		},
		"many polls did not bring it": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), lastPolled: ago(0), misses: 100},
			want:  pollDecision{wait: peerPollInterval, from: from, otherPeer: true, fetch: true},
		},
		"a poll has just failed": {
			peers: peerVersions{newest: 6, from: from, lastObserved: ago(0), lastPolled: ago(0), misses: 1},
			want:  pollDecision{wait: pollBackoff, from: from, otherPeer: true, fetch: true},
		},
	} {
		got := c.peers.nextPoll(now, 5)
		if got.due {
			got.wait = 0
		}
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against a poll for a version that is delayed whenever a later version is
// reported.
func TestLaterVersionsDoNotDelayPoll(t *testing.T) {
	now := time.Unix(1000, 0)
	var p peerVersions
	for i := range uint64(10) {
		now = now.Add(storeDeliveryWait / 5)
		p.observe(now, now.Add(storeDeliveryWait), 6+i, 5, nil)
	}
	if q := p.nextPoll(now, 5); !q.due {
		t.Errorf("the poll is due in %v", q.wait)
	}
}

// Guards against polls without a delay for a version that no host has any more, such as
// that of a failed host, and against a host that is not polled although it reports the
// version.
func TestFruitlessPollsBackOff(t *testing.T) {
	now := time.Unix(1000, 0)
	failed, other := newHopClient("127.0.0.1:1"), newHopClient("127.0.0.1:2")
	var p peerVersions
	p.observe(now, now, 6, 5, failed)
	for _, responded := range []bool{true, false, true} {
		if q := p.nextPoll(now, 5); !q.due {
			t.Fatalf("the poll is due in %v", q.wait)
		}
		p.recordPoll(now, responded, 5)
		q := p.nextPoll(now, 5)
		if q.wait < pollBackoff || !q.otherPeer {
			t.Errorf("next poll: %+v", q)
		}
		now = now.Add(q.wait)
	}
	p.observe(now, now, 6, 5, other)
	if q := p.nextPoll(now, 5); !q.due || q.otherPeer || q.from != other {
		t.Errorf("after another host reported the version: %+v", q)
	}
	p.recordPoll(now, true, 6)
	if q := p.nextPoll(now, 6); q.due || q.wait != peerPollInterval {
		t.Errorf("with the version in force: %+v", q)
	}
}

// hangingConfigStore is a store that does not respond to watches of the operator's table.
type hangingConfigStore struct{ rowstore.Store }

func (s hangingConfigStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if table == configKey.Table {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// Guards against hosts that cannot fetch the configuration of another one over a
// connection if there are no requests between them.
func TestHostWithHangingWatchFetchesConfigurationOfPeer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain")
	c.addWithStore("silent", "plain", hangingConfigStore{c.store})
	c.waitReady()
	c.publish("2")
	for _, h := range c.hosts {
		c.eventually("version 2 is in force at "+h.settings.Host.Name, func() bool { return h.config.version() == 2 })
	}
}
