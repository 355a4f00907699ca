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

// otherHosts is what the other hosts and the store do in a test of configExchange.
type otherHosts struct {
	version atomic.Uint64 // in force here
	asked   atomic.Int32
	silent  atomic.Bool
}

// exchange runs an exchange that asks only hosts which have shown a newer version.
func (o *otherHosts) exchange(t *testing.T) *configExchange {
	c := &configExchange{
		scope:      tally.NoopScope,
		version:    o.version.Load,
		storeUntil: func(now time.Time) time.Time { return now.Add(catchUpWait) },
		fetch: func(ctx context.Context, _ *hop.Client, _ uint64) (peerConfig, error) {
			o.asked.Add(1)
			if o.silent.Load() {
				<-ctx.Done()
				return peerConfig{}, errors.New("silent")
			}
			return peerConfig{Version: 6, Row: &rowstore.Row{Version: 6}}, nil
		},
		apply: func(r rowstore.Row) { o.version.Store(uint64(r.Version)) },
		other: func() *hop.Client { return nil },
		kick:  make(chan struct{}, 1),
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

// Guards against a host that goes on with an old configuration while its own way
// to the store is silent and the hosts that it asks instead are, too: the answers
// of other hosts to its requests show the newer version.
func TestNewerVersionOfAnotherHostIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o otherHosts
		o.version.Store(5)
		o.silent.Store(true)
		c := o.exchange(t)
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

// Guards against questions that come too late, too often, or to hosts that do not
// answer while others may.
func TestPeerVersionsDecideWhoIsAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	from := newHopClient("127.0.0.1:1")
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		peers peerVersions
		want  question
	}{
		"nothing was heard yet": {
			want: question{due: true, other: true},
		},
		"another host was just heard": {
			peers: peerVersions{newest: 5, heardAt: ago(0)},
			want:  question{wait: exchangeInterval, other: true},
		},
		"another host was just asked and has no configuration": {
			peers: peerVersions{askedAt: ago(0)},
			want:  question{wait: exchangeInterval, other: true},
		},
		"no other host was heard for long": {
			peers: peerVersions{newest: 5, heardAt: ago(exchangeInterval)},
			want:  question{due: true, other: true},
		},
		"the store may still bring a newer version": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), storeUntil: now.Add(time.Millisecond)},
			want:  question{wait: time.Millisecond, from: from, take: true},
		},
		"the store did not bring a newer version": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), storeUntil: now},
			want:  question{due: true, from: from, take: true},
		},
		"the store is lost, a newer version was shown": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), storeUntil: now.Add(time.Second), storeLost: true},
			want:  question{due: true, from: from, take: true},
		},
		"the store is lost, none was shown": {
			peers: peerVersions{newest: 5, heardAt: ago(0), askedAt: ago(exchangeInterval), storeLost: true},
			want:  question{due: true, other: true, take: true},
		},
		"the store is lost, another host was just asked": {
			peers: peerVersions{newest: 5, heardAt: ago(0), askedAt: ago(0), storeLost: true},
			want:  question{wait: exchangeInterval, other: true, take: true},
		},
		"the host that showed it did not answer": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), askedAt: ago(catchUpPause), misses: 1},
			want:  question{due: true, from: from, other: true, take: true},
		},
		"many questions did not bring it": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), askedAt: ago(0), misses: 100},
			want:  question{wait: exchangeInterval, from: from, other: true, take: true},
		},
		"a question has just failed": {
			peers: peerVersions{newest: 6, from: from, heardAt: ago(0), askedAt: ago(0), misses: 1},
			want:  question{wait: catchUpPause, from: from, other: true, take: true},
		},
	} {
		got := c.peers.next(now, 5)
		if got.due {
			got.wait = 0
		}
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against a version that is asked for late because a later one was shown.
func TestLaterVersionsDoNotPushAQuestionBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var p peerVersions
	for i := range uint64(10) {
		now = now.Add(catchUpWait / 5)
		p.shown(now, now.Add(catchUpWait), 6+i, 5, nil)
	}
	if q := p.next(now, 5); !q.due {
		t.Errorf("the question is due in %v", q.wait)
	}
}

// Guards against questions without a pause for a version that nobody has any more,
// such as that of a host which was lost, and against a host that is not asked although
// it shows the version.
func TestQuestionsThatBringNothingPause(t *testing.T) {
	now := time.Unix(1000, 0)
	lost, other := newHopClient("127.0.0.1:1"), newHopClient("127.0.0.1:2")
	var p peerVersions
	p.shown(now, now, 6, 5, lost)
	for _, answered := range []bool{true, false, true} {
		if q := p.next(now, 5); !q.due {
			t.Fatalf("the question is due in %v", q.wait)
		}
		p.asked(now, answered, 5)
		q := p.next(now, 5)
		if q.wait < catchUpPause || !q.other {
			t.Errorf("the next question: %+v", q)
		}
		now = now.Add(q.wait)
	}
	p.shown(now, now, 6, 5, other)
	if q := p.next(now, 5); !q.due || q.other || q.from != other {
		t.Errorf("after another host showed the version: %+v", q)
	}
	p.asked(now, true, 6)
	if q := p.next(now, 6); q.due || q.wait != exchangeInterval {
		t.Errorf("with the version in force: %+v", q)
	}
}

// silentConfig is a store that does not answer watches of the operator's table.
type silentConfig struct{ rowstore.Store }

func (s silentConfig) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if table == configKey.Table {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// Guards against hosts that cannot take the configuration of another one over a
// connection, without any requests between them.
func TestHostWithSilentWatchTakesConfigurationOfAnother(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain")
	c.addWith("silent", "plain", silentConfig{c.store})
	c.ready()
	c.publish("2")
	for _, h := range c.hosts {
		c.eventually("version 2 is in force at "+h.settings.Host.Name, func() bool { return h.config.version() == 2 })
	}
}
