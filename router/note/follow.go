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
	// FetchFromPeers asks every peer that can be reached and returns the
	// configurations that they hold, without those of peers that hold none.
	// It returns the answers so far when its context ends. Nil means that
	// there are no peers.
	FetchFromPeers func(ctx context.Context) []Config
	// PollInterval is the mean pause between two polls of the head row.
	// Default DefaultPollInterval.
	PollInterval time.Duration
	// OnChange is called for each version that comes into force, in order. It
	// must return soon and must not call the follower's Offer. Nil is allowed.
	OnChange func(before, after Config)
	// Log receives events; nil discards them.
	Log *event.Logger
	// Jitter returns numbers from 0 to below 1. Default math/rand/v2.
	Jitter func() float64
}

// DefaultPollInterval is the default mean pause between two polls. It leaves
// two polls, with jitter, within the 15s in which a version must be in force.
const DefaultPollInterval = 5 * time.Second

// maxBootstrapPause bounds the pause between attempts to get a first
// configuration, because the host serves nothing until then.
const maxBootstrapPause = time.Second

// askTimeout bounds one question to all peers, so that a silent peer does not
// hold up the start.
const askTimeout = 2 * time.Second

// Follower keeps the configuration in force at one router. It applies only
// higher versions. It is safe for concurrent use.
type Follower struct {
	opts FollowerOptions
	// ready is set once the bootstrap rule is met.
	ready   atomic.Bool
	current atomic.Pointer[Config]

	mu sync.Mutex // serialises changes and OnChange
	// failing is set between a failed poll and the next successful one, and
	// rowVersion is that of the head row last decoded. Only Run uses them.
	failing    bool
	rowVersion int64
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

// Current returns the configuration in force. ok is false until the follower
// has one; the router is then not ready. Version 0 means that nothing has been
// published yet. The caller must not change the services.
func (f *Follower) Current() (c Config, ok bool) {
	if !f.ready.Load() {
		return Config{}, false
	}
	return *f.current.Load(), true
}

// Offer hands over a configuration that a peer holds. It reports whether the
// configuration was higher than the one known so far. Before the bootstrap
// rule is met the configuration is kept but not in force.
func (f *Follower) Offer(c Config) (accepted bool) {
	return f.valid(c) && f.apply(c)
}

// valid refuses a configuration of a peer that no note can have made.
func (f *Follower) valid(c Config) bool {
	err := CheckConfig(c)
	if err != nil {
		f.opts.Log.Log(evOfferRefused, event.F("version", c.Version), event.F("error", err.Error()))
	}
	return err == nil
}

// apply takes over a configuration with a higher version.
func (f *Follower) apply(c Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := *f.current.Load()
	if c.Version == have.Version && c.PublishID != have.PublishID {
		f.opts.Log.Log(evDivergence, event.F("version", c.Version), event.F("publish_id", c.PublishID), event.F("in_force", have.PublishID))
	}
	if c.Version <= have.Version {
		return false
	}
	f.current.Store(&c)
	if f.ready.Load() {
		f.inForce(have, c)
	}
	return true
}

// inForce reports a change. The caller holds mu.
func (f *Follower) inForce(before, after Config) {
	f.opts.Log.Log(evInForce, event.F("version", after.Version), event.F("publish_id", after.PublishID), event.F("before", before.Version))
	f.opts.OnChange(before, after)
}

// becomeReady puts the highest configuration known so far in force.
func (f *Follower) becomeReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.Store(true)
	f.inForce(Config{}, *f.current.Load())
}

// Run gets a first configuration and then polls the head row until the context
// ends.
func (f *Follower) Run(ctx context.Context) {
	for !f.bootstrap(ctx) {
		if !sleep(ctx, f.jittered(min(f.opts.PollInterval, maxBootstrapPause))) {
			return
		}
	}
	for sleep(ctx, f.jittered(f.opts.PollInterval)) {
		f.poll(ctx)
	}
}

// jittered spreads polls evenly over half to one and a half times the pause.
func (f *Follower) jittered(pause time.Duration) time.Duration {
	return time.Duration((0.5 + f.opts.Jitter()) * float64(pause))
}

// bootstrap applies the rule for a start: the head row when the store answers,
// otherwise the highest version of all peers that can be reached, of which at
// least one must answer. A configuration that a peer sent unasked is not
// enough, because another peer may hold a higher one.
func (f *Follower) bootstrap(ctx context.Context) (done bool) {
	if f.poll(ctx) {
		f.becomeReady()
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answered := false
	for _, c := range f.opts.FetchFromPeers(ctx) {
		if f.valid(c) {
			answered = true
			f.apply(c)
		}
	}
	if !answered {
		f.opts.Log.Log(evBootstrapWaits)
		return false
	}
	f.becomeReady()
	return true
}

// poll reads the head row once and reports whether the store answered.
func (f *Follower) poll(ctx context.Context) bool {
	c, rowVersion, err := readNewerHead(ctx, f.opts.Table, f.rowVersion)
	if err != nil {
		f.pollFailed(ctx, err)
		return false
	}
	if f.failing {
		f.failing = false
		f.opts.Log.Log(evPollRecovered)
	}
	f.rowVersion = rowVersion
	f.apply(c)
	return true
}

// pollFailed logs the first of a row of failures.
func (f *Follower) pollFailed(ctx context.Context, err error) {
	if f.failing || ctx.Err() != nil {
		return
	}
	f.failing = true
	f.opts.Log.Log(evPollFailed, event.F("error", err.Error()))
}
