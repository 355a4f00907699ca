package note

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/stores/table"
)

// configAt returns a configuration with one service.
func configAt(version int64) Config {
	return Config{
		Version:   version,
		PublishID: fmt.Sprintf("publish-%d", version),
		Services:  map[string]Service{"a": DefaultService("a")},
	}
}

// putHead writes a head row without a publisher.
func putHead(t testing.TB, rows table.Store, c Config) {
	t.Helper()
	value, err := EncodeHead(c)
	if err != nil {
		t.Fatal(err)
	}
	txn := table.Txn{ID: c.PublishID, Writes: []table.Write{{Key: HeadKey, Value: value}}}
	if _, err := rows.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// recorder keeps the versions that came into force.
type recorder struct {
	mu      sync.Mutex
	changes []string
}

func (r *recorder) onChange(before, after Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, fmt.Sprintf("%d>%d", before.Version, after.Version))
}

// seen returns the changes so far.
func (r *recorder) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.changes)
}

// start runs a follower until the test ends.
func start(t *testing.T, o FollowerOptions) *Follower {
	t.Helper()
	f := NewFollower(o)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func wantCurrent(t *testing.T, f *Follower, version int64, ready bool) {
	t.Helper()
	c, ok := f.Current()
	if c.Version != version || ok != ready {
		t.Errorf("version %d, ready %v; want %d, %v", c.Version, ok, version, ready)
	}
}

// An accepted note that reverts breaks requirement 8.
func TestVersionNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, changes := newFaultTable(), &recorder{}
		putHead(t, rows, configAt(3))
		f := start(t, FollowerOptions{Table: rows, OnChange: changes.onChange})
		synctest.Wait()
		wantCurrent(t, f, 3, true)
		if f.Offer(configAt(2)) || f.Offer(configAt(3)) {
			t.Error("a version that is not higher was accepted")
		}
		if !f.Offer(configAt(5)) {
			t.Error("a higher version was refused")
		}
		time.Sleep(time.Minute) // many polls of the lower head
		wantCurrent(t, f, 5, true)
		putHead(t, rows, configAt(6))
		time.Sleep(10 * time.Second)
		wantCurrent(t, f, 6, true)
		if diff := cmp.Diff([]string{"0>3", "3>5", "5>6"}, changes.seen()); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// A deleted head row must not take the services away.
func TestLostHeadRowDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := newFaultTable()
		putHead(t, rows, configAt(3))
		f := start(t, FollowerOptions{Table: rows})
		synctest.Wait()
		txn := table.Txn{ID: "d", Writes: []table.Write{{Key: HeadKey, Delete: true}}}
		if _, err := rows.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		wantCurrent(t, f, 3, true)
	})
}

// A router that starts while the store is down and serves an old version that
// one peer holds would revert what another peer has in force.
func TestBootstrapTakesTheHighestOfThePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, changes := newFaultTable(), &recorder{}
		rows.setDown(true)
		var mu sync.Mutex
		var answers []Config
		f := start(t, FollowerOptions{Table: rows, OnChange: changes.onChange, FetchFromPeers: func(context.Context) []Config {
			mu.Lock()
			defer mu.Unlock()
			return answers
		}})
		time.Sleep(time.Minute)
		wantCurrent(t, f, 0, false)
		if !f.Offer(configAt(1)) {
			t.Error("the offer was refused")
		}
		wantCurrent(t, f, 0, false)
		mu.Lock()
		answers = []Config{configAt(2), configAt(4), configAt(3)}
		mu.Unlock()
		time.Sleep(2 * time.Second)
		wantCurrent(t, f, 4, true)
		if diff := cmp.Diff([]string{"0>4"}, changes.seen()); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// A silent peer must not keep a router from the answers of the others.
func TestBootstrapWithASilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := newFaultTable()
		rows.setDown(true)
		f := start(t, FollowerOptions{Table: rows, FetchFromPeers: func(ctx context.Context) []Config {
			<-ctx.Done()
			return []Config{configAt(1)}
		}})
		time.Sleep(askTimeout + time.Millisecond)
		wantCurrent(t, f, 1, true)
	})
}

// A damaged answer is no answer.
func TestBootstrapIgnoresDamagedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := newFaultTable()
		rows.setDown(true)
		damaged := configAt(9)
		damaged.PublishID = ""
		f := start(t, FollowerOptions{Table: rows, FetchFromPeers: func(context.Context) []Config { return []Config{damaged} }})
		time.Sleep(time.Minute)
		wantCurrent(t, f, 0, false)
		if f.Offer(damaged) {
			t.Error("a damaged offer was accepted")
		}
	})
}

// A cluster without a note must start, so that the first note can be
// published.
func TestBootstrapBeforeTheFirstNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, FollowerOptions{Table: newFaultTable()})
		synctest.Wait()
		wantCurrent(t, f, 0, true)
	})
}

// A follower that does not resume after an outage misses every later version.
func TestFollowerResumesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := newFaultTable()
		putHead(t, rows, configAt(1))
		f := start(t, FollowerOptions{Table: rows})
		synctest.Wait()
		rows.setDown(true)
		time.Sleep(10 * time.Minute)
		wantCurrent(t, f, 1, true)
		rows.setDown(false)
		putHead(t, rows, configAt(2))
		time.Sleep(DefaultPollInterval * 3 / 2)
		wantCurrent(t, f, 2, true)
	})
}

// Polls of all hosts at the same moment would exceed what the store handles,
// and fewer polls than planned would miss the 15s.
func TestPollsAreSpread(t *testing.T) {
	for _, c := range []struct {
		jitter float64
		polls  int // in 100s after the first
	}{{0, 40}, {0.5, 20}, {0.999999, 13}} {
		synctest.Test(t, func(t *testing.T) {
			rows := newFaultTable()
			start(t, FollowerOptions{Table: rows, Jitter: func() float64 { return c.jitter }})
			time.Sleep(100*time.Second + time.Millisecond)
			rows.mu.Lock()
			defer rows.mu.Unlock()
			if got := rows.reads - 1; got != c.polls {
				t.Errorf("jitter %v: %d polls, want %d", c.jitter, got, c.polls)
			}
		})
	}
}

// Readers on the request path must see whole configurations while versions
// change.
func TestCurrentDuringChanges(t *testing.T) {
	f := NewFollower(FollowerOptions{Table: newFaultTable()})
	f.becomeReady()
	const versions = 200
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			last := int64(0)
			for last < versions {
				c, ok := f.Current()
				if !ok || c.Version < last || (c.Version > 0 && len(c.Services) != 1) {
					t.Errorf("got %+v after version %d", c, last)
					return
				}
				last = c.Version
			}
		})
	}
	for v := range int64(versions) {
		f.Offer(configAt(v + 1))
	}
	group.Wait()
}

func BenchmarkCurrent(b *testing.B) {
	f := NewFollower(FollowerOptions{Table: newFaultTable()})
	f.becomeReady()
	f.Offer(configAt(1))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := f.Current(); !ok {
				b.Error("not ready")
			}
		}
	})
}
