package move

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// fakes implements the gate, rows, peer and receiver of both hosts and records
// the order of the calls.
type fakes struct {
	mu    sync.Mutex
	calls []string
	rows  map[string]ownership.Group
	// drain is how long requests in flight take.
	drain time.Duration
	// refusals and lostCommits are the numbers of prepare requests still to be
	// refused and of commit messages still to be lost.
	refusals    int
	lostCommits int
	// unknownOutcomes is the number of attempts to resolve a write that still
	// fail. Writes end with unknown outcome while it is above 0.
	unknownOutcomes int
	writing         int  // row writes in progress
	overlaps        bool // whether two row writes overlapped
	target          *Target
}

func newFakes() *fakes {
	f := &fakes{rows: map[string]ownership.Group{
		"a": {Service: "s", ID: "a", Holder: source, Shards: shards[:3], Version: 1, JournalComplete: true},
		"b": {Service: "s", ID: "b", Holder: target, Shards: shards[3:], Version: 2, JournalComplete: true},
	}}
	f.target = NewTarget(TargetOptions{Receiver: f, Records: f, Adopter: f})
	return f
}

func (f *fakes) source() *Source {
	return NewSource(SourceOptions{Gate: f, Records: f, Peer: f, Adopter: f})
}

func (f *fakes) record(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, name)
}

// takeFault counts down the faults still to be injected and reports whether one
// was left.
func (f *fakes) takeFault(n *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n--
	return *n >= 0
}

func (f *fakes) CloseShards(string, string, []keyspace.Shard) (<-chan struct{}, error) {
	f.record("close")
	drained := make(chan struct{})
	time.AfterFunc(f.drain, func() { close(drained) })
	return drained, nil
}
func (f *fakes) ReopenShards(string, string, []keyspace.Shard) { f.record("reopen") }
func (f *fakes) ReleaseShards(_, _ string, _ []keyspace.Shard, g ownership.Group) {
	f.record("release to " + g.ID)
}
func (f *fakes) ExportJournal(string, string, []keyspace.Shard) ([]JournalEntry, error) {
	f.record("export")
	return []JournalEntry{JournalEntry(`"e"`)}, nil
}

func (f *fakes) MoveShards(_ context.Context, w Write) WriteResult {
	f.mu.Lock()
	f.writing++
	f.overlaps = f.overlaps || f.writing > 1
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writing--
	f.calls = append(f.calls, "write")
	a, b, err := Apply(f.rows["a"], f.rows["b"], w.Shards)
	if err != nil || w.Target.Version != f.rows["b"].Version {
		return WriteResult{Outcome: NotApplied, Err: errors.Join(err, errLost)}
	}
	a.Version = max(a.Version, b.Version) + 1
	b.Version = a.Version
	f.rows["a"], f.rows["b"] = a, b
	if f.unknownOutcomes > 0 {
		return WriteResult{Outcome: Unknown, Err: errLost}
	}
	return WriteResult{Outcome: Applied, Source: a, Target: b}
}

func (f *fakes) ResolveMove(context.Context, Write) WriteResult {
	f.record("settle")
	if f.takeFault(&f.unknownOutcomes) {
		return WriteResult{Outcome: Unknown, Err: errLost}
	}
	return WriteResult{Outcome: Applied, Source: f.rows["a"], Target: f.rows["b"]}
}

func (f *fakes) ReadGroup(_ context.Context, _, id string) (ownership.Group, error) {
	f.record("read " + id)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[id], nil
}

func (f *fakes) Prepare(ctx context.Context, _ ownership.Host, r PrepareRequest) (PrepareResponse, error) {
	f.record("prepare")
	return f.target.Prepare(ctx, r)
}
func (f *fakes) Transfer(ctx context.Context, _ ownership.Host, r TransferRequest) (TransferResponse, error) {
	f.record("transfer")
	return f.target.Transfer(ctx, r)
}
func (f *fakes) Commit(ctx context.Context, _ ownership.Host, r CommitRequest) (CommitResponse, error) {
	f.record("commit")
	if f.takeFault(&f.lostCommits) {
		return CommitResponse{}, errLost
	}
	return f.target.Commit(ctx, r)
}

func (f *fakes) Adopt(records ...ownership.Group) { f.record("adopt") }

func (f *fakes) Accept(PrepareRequest) (ownership.Group, error) {
	if f.takeFault(&f.refusals) {
		return ownership.Group{}, errkind.New(errkind.Overloaded, "no capacity")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows["b"], nil
}
func (f *fakes) ImportJournal(context.Context, string, []JournalEntry) error {
	f.record("import")
	return nil
}

// Guards against steps in the wrong order, blocked requests that are released
// before the commit message was sent, and shards that reopen in the wrong case.
func TestSourceSteps(t *testing.T) {
	upToImport := []string{"prepare", "close", "export", "transfer", "import"}
	cases := []struct {
		name      string
		set       func(*fakes, *Plan)
		outcome   Outcome
		reason    Reason
		closedFor time.Duration
		calls     []string
	}{
		{"applied", func(*fakes, *Plan) {}, Applied, ReasonNone, 10 * time.Millisecond,
			append(upToImport[:5:5], "write", "adopt", "commit", "adopt", "release to b")},
		{"refused", func(f *fakes, _ *Plan) { f.refusals = 1 }, NotApplied, ReasonRefused, 0,
			[]string{"prepare"}},
		{"long drain", func(f *fakes, _ *Plan) { f.drain = time.Second }, NotApplied, ReasonDrainTimeout, DrainLimit,
			[]string{"prepare", "close", "reopen"}},
		{"long drain during a shutdown", func(f *fakes, p *Plan) { f.drain, p.ShutdownDrainLimit = 20*time.Second, time.Minute }, Applied, ReasonNone, 20*time.Second + 10*time.Millisecond,
			[]string{"prepare", "close", "prepare", "export", "transfer", "import", "write", "adopt", "commit", "adopt", "release to b"}},
		{"response to the write lost", func(f *fakes, _ *Plan) { f.unknownOutcomes = 2 }, Applied, ReasonNone, 360 * time.Millisecond,
			append(upToImport[:5:5], "write", "settle", "settle", "settle", "adopt", "commit", "adopt", "release to b")},
		{"commit message lost", func(f *fakes, _ *Plan) { f.lostCommits = 1 }, Applied, ReasonNone, 10 * time.Millisecond,
			append(upToImport[:5:5], "write", "adopt", "commit", "release to b", "commit", "adopt")},
		{"target changed its row", func(f *fakes, p *Plan) {
			f.drain, p.ShutdownDrainLimit = 500*time.Millisecond, time.Minute
			time.AfterFunc(100*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				g := f.rows["b"]
				g.Version = 9
				f.rows["b"] = g
			})
		}, NotApplied, ReasonWriteFailed, 510 * time.Millisecond, append(upToImport[:5:5], "write", "reopen")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakes()
				p := plan()
				c.set(f, &p)
				r := f.source().Run(t.Context(), p)
				if r.Outcome != c.outcome || r.Reason != c.reason || r.ClosedFor != c.closedFor {
					t.Errorf("result %+v", r)
				}
				if !slices.Equal(f.calls, c.calls) {
					t.Errorf("calls %q\nwant  %q", f.calls, c.calls)
				}
			})
		})
	}
}

// Guards against shards that reopen while the target may own them because the
// process stops during a move.
func TestSourceStopped(t *testing.T) {
	for _, c := range []struct {
		after   time.Duration
		outcome Outcome
		last    string
	}{
		{50 * time.Millisecond, NotApplied, "reopen"}, // during the drain
		{time.Second, Unknown, "settle"},              // after the write
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakes()
			f.drain, f.unknownOutcomes = 80*time.Millisecond, 1000
			ctx, cancel := context.WithTimeout(t.Context(), c.after)
			defer cancel()
			r := f.source().Run(ctx, plan())
			if r.Outcome != c.outcome || f.calls[len(f.calls)-1] != c.last {
				t.Errorf("after %v: %+v, calls %q", c.after, r, f.calls)
			}
		})
	}
}

// Guards against a target that never reads its row although the source failed
// after its commit.
func TestTargetReadsItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		ctx, cancel := context.WithCancel(t.Context())
		go f.target.Run(ctx)
		p, err := f.target.Prepare(ctx, PrepareRequest{MoveID: "m"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.target.Transfer(ctx, TransferRequest{MoveID: "m"}); err != nil {
			t.Fatal(err)
		}
		f.MoveShards(ctx, Write{Shards: shards[:1], Target: p.Target})
		time.Sleep(time.Second)
		synctest.Wait()
		if want := []string{"import", "write", "read b", "adopt"}; !slices.Equal(f.calls, want) {
			t.Errorf("calls %q, want %q", f.calls, want)
		}
		cancel()
	})
}

// evacuate runs an evacuation of the shards in the row of the source. If busy, the
// first of them has a request in flight.
func evacuate(ctx context.Context, f *fakes, busy bool, mover Mover) (Progress, error) {
	var last Progress
	err := Evacuate(ctx, EvacuateOptions{
		Mover:  mover,
		Policy: balance.NewPolicy(balance.Options{Rand: rand.New(rand.NewPCG(1, 2))}),
		Input: func() balance.Input {
			f.mu.Lock()
			defer f.mu.Unlock()
			in := balance.Input{Hosts: []balance.HostLoad{{Host: target, Capacity: 10}}}
			for i, s := range f.rows["a"].Shards {
				load := balance.ShardLoad{Group: "a", Shard: s}
				if busy && i == 0 {
					load.InFlight, load.LongestRemaining = 1, 5*time.Second
				}
				in.Shards = append(in.Shards, load)
			}
			return in
		},
		Group: func(id string) (ownership.Group, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.rows[id], true
		},
		Random: func() float64 { return 0.5 },
		Report: func(p Progress) { last = p },
	})
	return last, err
}

// Guards against an evacuation that ends after a refusal, loses a shard, or
// writes a row twice at the same time.
func TestEvacuate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		f.refusals, f.unknownOutcomes = 3, 2
		p, err := evacuate(t.Context(), f, true, f.source())
		if err != nil || p.Remaining != 0 || p.Moved != 3 || p.FailedAttempts < 3 {
			t.Errorf("%v, %+v", err, p)
		}
		if len(f.rows["b"].Shards) != 4 || f.overlaps {
			t.Errorf("target has %v, overlapping writes: %v", f.rows["b"].Shards, f.overlaps)
		}
	})
}

// Guards against a slow evacuation because a target that is briefly busy is
// avoided for seconds: a host with 200 shards and one target must be empty
// within 2 s.
func TestEvacuateRetriesBusyTargetSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		all := keyspace.Divide(400)
		a, b := f.rows["a"], f.rows["b"]
		a.Shards, b.Shards = all[:200], nil
		f.rows["a"], f.rows["b"] = a, b
		start := time.Now()
		p, err := evacuate(t.Context(), f, false, f.source())
		if err != nil || p.Moved != 200 || time.Since(start) > 2*time.Second {
			t.Errorf("%v after %v: %+v", err, time.Since(start), p)
		}
	})
}

// Guards against an evacuation that never ends because no target accepts, and
// against one that returns with attempts in progress.
func TestEvacuateEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		f.refusals = 1 << 30
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		p, err := evacuate(ctx, f, false, f.source())
		if !errors.Is(err, context.DeadlineExceeded) || p.Remaining != 3 || p.Moving != 0 {
			t.Errorf("%v, %+v", err, p)
		}
		if p.FailedAttempts < 5 || p.FailedAttempts > 1000 {
			t.Errorf("%d attempts in 10 min", p.FailedAttempts)
		}
	})
}

// Guards against an evacuation that returns while an attempt keeps shards closed.
func TestEvacuateWaitsForAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		f.drain = 4 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		g := f.rows["a"]
		g.Shards = g.Shards[:1]
		f.rows["a"] = g
		p, err := evacuate(ctx, f, true, f.source())
		if want := []string{"prepare", "close", "reopen"}; !slices.Equal(f.calls, want) {
			t.Errorf("calls %q, want %q", f.calls, want)
		}
		if !errors.Is(err, context.DeadlineExceeded) || p.Remaining != 1 || p.Moving != 0 {
			t.Errorf("%v, %+v", err, p)
		}
	})
}

// readyPeer accepts concurrent moves, as several targets would.
type readyPeer struct{ *fakes }

func (p readyPeer) Prepare(context.Context, ownership.Host, PrepareRequest) (PrepareResponse, error) {
	response := PrepareResponse{Target: p.rows["b"]}
	return response, nil
}
func (p readyPeer) Transfer(context.Context, ownership.Host, TransferRequest) (TransferResponse, error) {
	return TransferResponse{}, nil
}

// Guards against moves of one group that fail each other's version condition.
func TestRowWritesAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		s := NewSource(SourceOptions{Gate: f, Records: f, Peer: readyPeer{f}, Adopter: f})
		var wg sync.WaitGroup
		for i := range 3 {
			p := plan()
			p.Shards = shards[i : i+1]
			wg.Go(func() { s.Run(t.Context(), p) })
		}
		wg.Wait()
		if f.overlaps {
			t.Error("two row writes at the same time")
		}
	})
}

// orderMover records the order of the moves and applies them immediately.
type orderMover struct {
	f     *fakes
	plans []Plan
}

func (m *orderMover) Run(_ context.Context, p Plan) Result {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.plans = append(m.plans, p)
	g := m.f.rows["a"]
	g.Shards, _ = keyspace.Remove(g.Shards, p.Shards)
	m.f.rows["a"] = g
	return Result{Outcome: Applied}
}

// Guards against long requests that delay the moves of idle shards, and against
// a drain limit that is shorter than the deadlines of the requests.
func TestEvacuateIdleShardsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes()
		m := &orderMover{f: f}
		// The first shard in the list is busy and must move last.
		busyShard := f.rows["a"].Shards[0]
		if _, err := evacuate(t.Context(), f, true, m); err != nil {
			t.Fatal(err)
		}
		last := m.plans[len(m.plans)-1]
		if len(m.plans) != 2 || last.Shards[0] != busyShard || last.ShutdownDrainLimit < 5*time.Second || m.plans[0].ShutdownDrainLimit != 0 {
			t.Errorf("plans %+v", m.plans)
		}
	})
}
