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

// The times below and configBatchDelay add up to less than the 2 s within which a
// configuration must be in force, even on a host to which its own connection to the store
// delivers nothing.
const (
	// peerPollInterval is the longest time for which a host does not learn the version of
	// any other one.
	peerPollInterval = 400 * time.Millisecond
	// storeDeliveryWait is the time that the store gets to deliver a configuration that
	// another host already has. feedDeliveryWait is that time if the reader of the zone
	// forwards it, which adds one host to the path.
	storeDeliveryWait = 400 * time.Millisecond
	feedDeliveryWait  = 800 * time.Millisecond
	// pollTimeout bounds one poll of another host.
	pollTimeout = 400 * time.Millisecond
	// pollBackoff is the delay after a poll that failed or did not bring the missing
	// version. It doubles with each further one, up to peerPollInterval.
	pollBackoff = 100 * time.Millisecond
)

// peerVersions holds what this host knows of the configurations of other hosts, and
// decides which of them is polled, and when.
type peerVersions struct {
	// newest is the highest version that another host has reported; from is the host that
	// reported it last.
	newest uint64
	from   *hop.Client
	// storeDeadline is the time until which the store may deliver newest.
	storeDeadline time.Time
	// lastObserved is the time of the last report of a version by any other host.
	lastObserved time.Time
	// lastPolled is the time of the last poll. misses counts the consecutive polls that
	// failed or did not bring newest.
	lastPolled time.Time
	misses     int
	// storeDisconnected is true while the store delivers no changes to this host.
	storeDisconnected bool
}

// observe records the version that another host has reported. storeDeadline is the time
// until which the store may deliver it. It reports whether the version is newer than
// inForce and was not known before.
func (p *peerVersions) observe(now, storeDeadline time.Time, version, inForce uint64, from *hop.Client) bool {
	p.lastObserved = now
	return p.note(now, storeDeadline, version, inForce, from)
}

// note is observe for a response that does not postpone the next poll.
func (p *peerVersions) note(now, storeDeadline time.Time, version, inForce uint64, from *hop.Client) bool {
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
		// Later versions must not delay the poll for an earlier one.
		p.storeDeadline = storeDeadline
	}
	p.newest = version
	return true
}

// pollDecision is a decision of peerVersions.
type pollDecision struct {
	// due is true if a host is to be polled now; otherwise wait is the time to the next
	// decision.
	due  bool
	wait time.Duration
	// from is the host that has the missing version, or nil.
	from *hop.Client
	// otherPeer is true if any other host is to be polled rather than from.
	otherPeer bool
	// fetch is true if a newer configuration is to be fetched. Otherwise the store may
	// still deliver it, and only the version is requested.
	fetch bool
}

// nextPoll decides whether another host is polled now.
func (p *peerVersions) nextPoll(now time.Time, inForce uint64) pollDecision {
	q := pollDecision{otherPeer: true, fetch: p.storeDisconnected}
	var at time.Time
	switch {
	case p.newest > inForce:
		q.from, q.otherPeer, q.fetch = p.from, p.misses > 0, true
		if !p.storeDisconnected {
			at = p.storeDeadline
		}
	case p.storeDisconnected:
		// Versions observed in responses may come from hosts that are disconnected from
		// the store as well.
		at = p.lastPolled.Add(peerPollInterval)
	case p.misses > 0:
		at = p.lastObserved.Add(peerPollInterval)
	default:
		// The host that was polled last may have had no configuration yet.
		at = later(p.lastObserved, p.lastPolled).Add(peerPollInterval)
	}
	if p.misses > 0 {
		backoff := min(pollBackoff<<min(p.misses-1, 8), peerPollInterval)
		at = later(at, p.lastPolled.Add(backoff))
	}
	q.wait = at.Sub(now)
	q.due = q.wait <= 0
	return q
}

// recordPoll records the end of a poll, whether the host responded, and the version in
// force afterwards.
func (p *peerVersions) recordPoll(now time.Time, responded bool, inForce uint64) {
	p.lastPolled = now
	if responded && p.newest <= inForce {
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
	// Age is the time since Version was known to be the newest in the store. It is valid
	// if AgeKnown is true.
	Age      time.Duration
	AgeKnown bool
	// Row is its row if the version is above the one that the request named, or nil.
	Row *rowstore.Row
}

// configExchange compares the version of the configuration with other hosts and fetches
// newer ones, because the store may be unreachable for one host only.
type configExchange struct {
	log   *event.Logger
	scope tally.Scope
	// version returns the version of the configuration in force on this host. confirm
	// records that the store had no configuration above the version at the given time.
	version func() uint64
	confirm func(version uint64, at time.Time)
	// storeDeadline returns the time until which the store may deliver a version that
	// another host reports at now.
	storeDeadline func(now time.Time) time.Time
	// fetch requests from another host a configuration above the version; apply applies
	// its row.
	fetch func(ctx context.Context, from *hop.Client, version uint64) (peerConfig, error)
	apply func(rowstore.Row)
	// randomPeer returns a random other host that is reachable, or nil.
	randomPeer func() *hop.Client
	wakeCh     chan struct{}

	mu    sync.Mutex
	peers peerVersions
	// watchFailed and checkFailed are true if the last watch of this host, and its last
	// check with the store, failed.
	watchFailed, checkFailed bool
}

// observe records what a response of another host, requested at the given time, says of
// its configuration. Version 0 means that it has none.
func (c *configExchange) observe(peer peerConfig, requestedAt time.Time, from *hop.Client) {
	c.record(peer, requestedAt, from, (*peerVersions).observe)
}

// compare requests the version of another host and its age, and records them. It does not
// postpone the next poll, because it always asks the same host, which may be behind.
func (c *configExchange) compare(ctx context.Context, host *hop.Client) (peerConfig, error) {
	requestedAt := time.Now()
	peer, err := c.fetch(ctx, host, noVersion)
	if err == nil {
		c.record(peer, requestedAt, host, (*peerVersions).note)
	}
	return peer, err
}

// record records what a response of another host says of its configuration; observe is
// called for a version.
func (c *configExchange) record(peer peerConfig, requestedAt time.Time, from *hop.Client,
	observe func(p *peerVersions, now, storeDeadline time.Time, version, inForce uint64, from *hop.Client) bool) {
	if peer.Version == 0 {
		return
	}
	if peer.AgeKnown {
		// The host determined the age after the request was sent.
		c.confirm(peer.Version, requestedAt.Add(-peer.Age))
	}
	now := time.Now()
	c.mu.Lock()
	changed := observe(&c.peers, now, c.storeDeadline(now), peer.Version, c.version(), from)
	c.mu.Unlock()
	if changed {
		c.wake()
	}
}

// setWatchFailed records whether the last watch of this host failed.
func (c *configExchange) setWatchFailed(failed bool) {
	c.setDisconnected(&c.watchFailed, failed)
}

// setCheckFailed records whether the last check of this host with the store failed. If it
// did, a silent watch is not likely to deliver a change either.
func (c *configExchange) setCheckFailed(failed bool) {
	c.setDisconnected(&c.checkFailed, failed)
}

// setDisconnected sets one of the two reasons for which the store is taken to deliver no
// changes to this host.
func (c *configExchange) setDisconnected(reason *bool, failed bool) {
	c.mu.Lock()
	*reason = failed
	disconnected := c.watchFailed || c.checkFailed
	changed := c.peers.storeDisconnected != disconnected
	c.peers.storeDisconnected = disconnected
	c.mu.Unlock()
	if changed {
		c.wake()
	}
}

func (c *configExchange) wake() {
	select {
	case c.wakeCh <- struct{}{}:
	default:
	}
}

// run polls other hosts until ctx ends.
func (c *configExchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		q := c.nextPoll()
		if !q.due {
			c.sleep(ctx, q.wait)
			continue
		}
		host := c.choosePeer(q)
		if host == nil {
			c.sleep(ctx, peerPollInterval)
			continue
		}
		c.poll(ctx, host, q)
	}
}

// choosePeer returns the host to poll, or nil if none is known.
func (c *configExchange) choosePeer(q pollDecision) *hop.Client {
	if q.otherPeer {
		if host := c.randomPeer(); host != nil {
			return host
		}
	}
	return q.from
}

func (c *configExchange) nextPoll() pollDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.nextPoll(time.Now(), c.version())
}

// sleep waits until d has passed, or something has changed that needs a new decision.
func (c *configExchange) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.wakeCh:
	case <-t.C:
	}
}

// noVersion is above all versions, so that no configuration is newer.
const noVersion = math.MaxUint64

// poll requests the version of another host, and also its configuration if q.fetch is set
// and that version is above the one in force.
func (c *configExchange) poll(ctx context.Context, host *hop.Client, q pollDecision) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	above := uint64(noVersion)
	if q.fetch {
		above = c.version()
	}
	requestedAt := time.Now()
	peer, err := c.fetch(ctx, host, above)
	switch {
	case err != nil:
		c.pollFailed(host, q.from != nil, err)
	case peer.Row != nil:
		c.apply(*peer.Row)
		c.count("newer")
		c.log.Log(eventConfigFetched, event.F("host", host.Address()), event.F("version", c.version()))
	default:
		c.count("same")
	}
	c.mu.Lock()
	c.peers.recordPoll(time.Now(), err == nil, c.version())
	c.mu.Unlock()
	c.observe(peer, requestedAt, host)
}

func (c *configExchange) pollFailed(host *hop.Client, behind bool, err error) {
	c.count("failed")
	e := eventPeerPollFailed
	if behind {
		e = eventConfigFetchFailed
	}
	c.log.Log(e, event.F("host", host.Address()), event.F("version", c.version()), event.F("error", err.Error()))
}

func (c *configExchange) count(outcome string) {
	c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("config_exchanges").Inc(1)
}

// fetchConfig requests from another host the configuration above the version of the call. The
// reports in the result are the responses to those of the call.
func fetchConfig(ctx context.Context, from *hop.Client, call storeCall) (peerConfig, storeResult, error) {
	call.Call = storeConfig
	result, err := (&remoteStore{client: from}).call(ctx, call)
	if err != nil {
		// The other connections use the same path and are likely to be broken as well.
		from.CloseIdle()
		return peerConfig{}, storeResult{}, err
	}
	peer := peerConfig{Version: result.Config, Age: result.ConfigAge, AgeKnown: result.ConfigAge > 0}
	switch len(result.Rows) {
	case 0:
	case 1:
		peer.Row = &result.Rows[0]
	default:
		return peerConfig{}, storeResult{}, fmt.Errorf("%s responded with %d rows", from.Address(), len(result.Rows))
	}
	return peer, result, nil
}
