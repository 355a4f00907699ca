package note

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/stores/table"
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Table table.Store
	// FetchFromPeers requests the configuration of every reachable peer and
	// returns those received; peers without a configuration are omitted. When
	// its context ends, it returns the responses received so far. Nil means
	// that there are no peers.
	FetchFromPeers func(ctx context.Context) []Config
	// PollInterval is the mean interval between two polls of the head row.
	// Default DefaultPollInterval.
	PollInterval time.Duration
	// OnChange is called in order for each version that comes into force. It
	// must not block and must not call Offer, since the follower's mutex is
	// held. It may be nil.
	OnChange func(before, after Config)
	// Log receives events. If nil, events are discarded.
	Log *event.Logger
	// Jitter returns a number in [0, 1). Default rand.Float64.
	Jitter func() float64
}

// DefaultPollInterval is the default mean interval between two polls. With
// jitter, two polls fit within the 15s in which a version must come into force.
const DefaultPollInterval = 5 * time.Second

// maxBootstrapInterval limits the mean interval between attempts to get a first
// configuration, because the host serves no requests until it has one.
const maxBootstrapInterval = time.Second

// peerFetchTimeout is the timeout of one FetchFromPeers call, so that an
// unresponsive peer does not delay the start.
const peerFetchTimeout = 2 * time.Second

// Follower maintains the configuration in force at one router. It polls the head
// row of the store and accepts configurations from peers. The version never
// decreases. It is safe for concurrent use.
type Follower struct {
	opts FollowerOptions
	// ready is set when bootstrap has succeeded.
	ready   atomic.Bool
	current atomic.Pointer[Config]

	mu sync.Mutex // serializes changes and calls of OnChange
	// pollFailing is set from a failed poll to the next successful one.
	// rowVersion is the version of the head row that was decoded last. Only Run
	// uses them.
	pollFailing bool
	rowVersion  int64
}

// NewFollower returns a follower without a configuration.
func NewFollower(o FollowerOptions) *Follower {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	if o.FetchFromPeers == nil {
		o.FetchFromPeers = func(context.Context) []Config { return nil }
	}
	if o.OnChange == nil {
		o.OnChange = func(Config, Config) {}
	}
	f := &Follower{opts: o}
	f.current.Store(&Config{})
	return f
}

// Current returns the configuration in force. ok is false until the follower has
// one; until then the router is not ready. Version 0 means that no note has been
// published yet. The caller must not modify the services.
func (f *Follower) Current() (c Config, ok bool) {
	if !f.ready.Load() {
		return Config{}, false
	}
	return *f.current.Load(), true
}

// Offer passes a configuration received from a peer to the follower. It reports
// whether the version was higher than the highest one known so far. Until
// bootstrap has succeeded, the configuration is stored but not in force.
func (f *Follower) Offer(c Config) (accepted bool) {
	return f.valid(c) && f.applyIfNewer(c)
}

// valid reports whether a peer's configuration passes CheckConfig and logs it if
// not.
func (f *Follower) valid(c Config) bool {
	err := CheckConfig(c)
	if err != nil {
		f.opts.Log.Log(evOfferRefused, event.F("version", c.Version), event.F("error", err.Error()))
	}
	return err == nil
}

// applyIfNewer stores a configuration with a higher version and reports whether
// it did. A different publish id for the current version is logged.
func (f *Follower) applyIfNewer(c Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := *f.current.Load()
	if c.Version == current.Version && c.PublishID != current.PublishID {
		f.opts.Log.Log(evDivergence, event.F("version", c.Version), event.F("publish_id", c.PublishID), event.F("in_force", current.PublishID))
	}
	if c.Version <= current.Version {
		return false
	}
	f.current.Store(&c)
	if f.ready.Load() {
		f.notifyChange(current, c)
	}
	return true
}

// notifyChange logs a change of the version in force and calls OnChange. The
// caller holds mu.
func (f *Follower) notifyChange(before, after Config) {
	f.opts.Log.Log(evInForce, event.F("version", after.Version), event.F("publish_id", after.PublishID), event.F("before", before.Version))
	f.opts.OnChange(before, after)
}

// markReady brings the highest configuration known so far into force.
func (f *Follower) markReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.Store(true)
	f.notifyChange(Config{}, *f.current.Load())
}

// Run retries bootstrap until it succeeds and then polls the head row until the
// context ends.
func (f *Follower) Run(ctx context.Context) {
	for !f.bootstrap(ctx) {
		if !sleep(ctx, f.jittered(min(f.opts.PollInterval, maxBootstrapInterval))) {
			return
		}
	}
	for sleep(ctx, f.jittered(f.opts.PollInterval)) {
		f.poll(ctx)
	}
}

// jittered returns a duration distributed uniformly from 0.5 to 1.5 times the
// interval, so that the polls of the hosts do not coincide.
func (f *Follower) jittered(interval time.Duration) time.Duration {
	return time.Duration((0.5 + f.opts.Jitter()) * float64(interval))
}

// bootstrap gets the first configuration: the head row if the store responds,
// otherwise the highest version of all reachable peers, at least one of which
// must return a valid configuration. A configuration that a peer offered is not
// sufficient, because another peer may have a higher one in force.
func (f *Follower) bootstrap(ctx context.Context) (done bool) {
	if f.poll(ctx) {
		f.markReady()
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	gotConfig := false
	for _, c := range f.opts.FetchFromPeers(ctx) {
		if f.valid(c) {
			gotConfig = true
			f.applyIfNewer(c)
		}
	}
	if !gotConfig {
		f.opts.Log.Log(evBootstrapWaits)
		return false
	}
	f.markReady()
	return true
}

// poll reads the head row once and reports whether that succeeded.
func (f *Follower) poll(ctx context.Context) bool {
	c, rowVersion, err := readNewerHead(ctx, f.opts.Table, f.rowVersion)
	if err != nil {
		f.pollFailed(ctx, err)
		return false
	}
	if f.pollFailing {
		f.pollFailing = false
		f.opts.Log.Log(evPollRecovered)
	}
	f.rowVersion = rowVersion
	f.applyIfNewer(c)
	return true
}

// pollFailed logs the first of consecutive failures.
func (f *Follower) pollFailed(ctx context.Context, err error) {
	if f.pollFailing || ctx.Err() != nil {
		return
	}
	f.pollFailing = true
	f.opts.Log.Log(evPollFailed, event.F("error", err.Error()))
}
