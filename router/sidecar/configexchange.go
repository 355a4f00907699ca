package sidecar

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// The times below and configGather add up to less than the 2 s in which a
// configuration must be in force, for a host that its own way to the store tells
// nothing.
const (
	// exchangeInterval is the longest time in which a host does not learn the version
	// of any other one.
	exchangeInterval = 400 * time.Millisecond
	// catchUpWait is the time that the store gets to bring a configuration that another
	// host has. feedCatchUpWait is that time where the reader of the zone hands it on,
	// one host after another.
	catchUpWait     = 400 * time.Millisecond
	feedCatchUpWait = 800 * time.Millisecond
	// catchUpTimeout bounds one question to another host.
	catchUpTimeout = 400 * time.Millisecond
	// catchUpPause is the pause after a question that brought nothing. It doubles with
	// each further one, up to exchangeInterval.
	catchUpPause = 100 * time.Millisecond
)

// peerVersions is what a host knows of the configurations of other hosts. It decides
// which of them is asked, and when.
type peerVersions struct {
	// newest is the highest version that another host has shown, and from is the host
	// that showed it last.
	newest uint64
	from   *hop.Client
	// storeUntil is the end of the time in which the store may bring newest.
	storeUntil time.Time
	// heardAt is the time of the last version that any other host has shown.
	heardAt time.Time
	// askedAt is the time of the last question. misses counts the last questions in a row
	// that had no answer, or did not bring newest.
	askedAt time.Time
	misses  int
	// storeLost tells that the store does not bring changes to this host.
	storeLost bool
}

// shown notes the version that another host has shown. storeUntil is the end of the
// time in which the store may bring it. It reports whether a host with the version in
// force has something new to wait for.
func (p *peerVersions) shown(now, storeUntil time.Time, version, inForce uint64, from *hop.Client) bool {
	p.heardAt = now
	if version <= inForce || version < p.newest {
		return false
	}
	if p.from != from {
		p.from, p.misses = from, 0
	}
	if version == p.newest {
		return false
	}
	if p.newest <= inForce {
		// Later versions must not push back the question for an earlier one.
		p.storeUntil = storeUntil
	}
	p.newest = version
	return true
}

// question is what peerVersions decides.
type question struct {
	// due tells that a host is to be asked now; wait is the time to the next decision
	// otherwise.
	due  bool
	wait time.Duration
	// from is the host that has the version that is missing here, or nil.
	from *hop.Client
	// other tells that some other host is asked rather than from.
	other bool
	// take tells that a newer configuration is taken. Otherwise the store may still
	// bring it, and only its version is asked for.
	take bool
}

// next decides whether another host is asked.
func (p *peerVersions) next(now time.Time, inForce uint64) question {
	q := question{other: true, take: p.storeLost}
	var at time.Time
	switch {
	case p.newest > inForce:
		q.from, q.other, q.take = p.from, p.misses > 0, true
		if !p.storeLost {
			at = p.storeUntil
		}
	case p.storeLost:
		// What is heard by chance may come from hosts that lost the store as well.
		at = p.askedAt.Add(exchangeInterval)
	case p.misses > 0:
		at = p.heardAt.Add(exchangeInterval)
	default:
		// The host that was asked last may have had no version to show.
		at = later(p.heardAt, p.askedAt).Add(exchangeInterval)
	}
	if p.misses > 0 {
		pause := min(catchUpPause<<min(p.misses-1, 8), exchangeInterval)
		at = later(at, p.askedAt.Add(pause))
	}
	q.wait = at.Sub(now)
	q.due = q.wait <= 0
	return q
}

// asked notes the end of a question, whether it was answered, and the version in force
// after it.
func (p *peerVersions) asked(now time.Time, answered bool, inForce uint64) {
	p.askedAt = now
	if answered && p.newest <= inForce {
		p.misses = 0
		return
	}
	p.misses++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peerConfig is the configuration of another host.
type peerConfig struct {
	Version uint64
	// Row is its row when it is newer than the asking host's.
	Row *rowstore.Row
}

// configExchange compares configurations with other hosts and takes newer ones. The
// store may be silent for one host and serve the others.
type configExchange struct {
	log   *event.Logger
	scope tally.Scope
	// version is that of the configuration in force here.
	version func() uint64
	// storeUntil returns the end of the time in which the store may bring a version that
	// another host shows now.
	storeUntil func(now time.Time) time.Time
	// fetch asks another host for a configuration above the version, and apply takes
	// its row.
	fetch func(ctx context.Context, from *hop.Client, version uint64) (peerConfig, error)
	apply func(rowstore.Row)
	// other returns some other host that can be reached, or nil.
	other func() *hop.Client
	kick  chan struct{}

	mu    sync.Mutex
	peers peerVersions
}

// seen notes the version that an answer of another host shows; 0 shows none.
func (c *configExchange) seen(version uint64, from *hop.Client) {
	if version == 0 {
		return
	}
	now := time.Now()
	c.mu.Lock()
	news := c.peers.shown(now, c.storeUntil(now), version, c.version(), from)
	c.mu.Unlock()
	if news {
		c.wake()
	}
}

// setStoreLost notes whether the store brings changes to this host.
func (c *configExchange) setStoreLost(lost bool) {
	c.mu.Lock()
	c.peers.storeLost = lost
	c.mu.Unlock()
	c.wake()
}

func (c *configExchange) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// run asks other hosts until ctx ends.
func (c *configExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		q := c.next()
		if !q.due {
			c.sleep(ctx, q.wait)
			continue
		}
		host := c.choose(q)
		if host == nil {
			c.sleep(ctx, exchangeInterval)
			continue
		}
		c.ask(ctx, host, q)
	}
}

// choose returns the host to ask, or nil when none is known.
func (c *configExchange) choose(q question) *hop.Client {
	if q.other {
		if host := c.other(); host != nil {
			return host
		}
	}
	return q.from
}

func (c *configExchange) next() question {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.next(time.Now(), c.version())
}

// sleep pauses until there is something new to decide on.
func (c *configExchange) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.kick:
	case <-t.C:
	}
}

// noVersion is above all versions: no configuration is newer.
const noVersion = math.MaxUint64

// ask asks a host for its version, and for its configuration if that is to be taken
// and newer than the one in force here.
func (c *configExchange) ask(ctx context.Context, host *hop.Client, q question) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	above := uint64(noVersion)
	if q.take {
		above = c.version()
	}
	answer, err := c.fetch(ctx, host, above)
	switch {
	case err != nil:
		c.failed(host, q.from != nil, err)
	case answer.Row != nil:
		c.apply(*answer.Row)
		c.count("newer")
		c.log.Log(eventCaughtUp, event.F("host", host.Address()), event.F("version", c.version()))
	default:
		c.count("same")
	}
	c.mu.Lock()
	c.peers.asked(time.Now(), err == nil, c.version())
	c.mu.Unlock()
	c.seen(answer.Version, host)
}

func (c *configExchange) failed(host *hop.Client, behind bool, err error) {
	c.count("failed")
	e := eventNotCompared
	if behind {
		e = eventCatchUpFailed
	}
	c.log.Log(e, event.F("host", host.Address()), event.F("version", c.version()), event.F("error", err.Error()))
}

func (c *configExchange) count(outcome string) {
	c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("config_exchanges").Inc(1)
}

// fetchConfig asks another host for a configuration above the version.
func fetchConfig(ctx context.Context, from *hop.Client, version uint64) (peerConfig, error) {
	result, err := (&remoteStore{client: from}).do(ctx, storeCall{Call: storeConfig, Config: version})
	if err != nil {
		// The other connections took the same path and are as suspect.
		from.CloseIdle()
		return peerConfig{}, err
	}
	answer := peerConfig{Version: result.Config}
	switch len(result.Rows) {
	case 0:
	case 1:
		answer.Row = &result.Rows[0]
	default:
		return peerConfig{}, fmt.Errorf("%s answered with %d rows", from.Address(), len(result.Rows))
	}
	return answer, nil
}
