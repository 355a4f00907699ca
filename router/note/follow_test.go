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

// recorder records the calls of OnChange.
type recorder struct {
	mu      sync.Mutex
	changes []string
}

func (r *recorder) onChange(before, after Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, fmt.Sprintf("%d>%d", before.Version, after.Version))
}

// seen returns the changes recorded so far.
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

// Guards against a version in force that reverts to a lower one, offered by a peer
// or read from an outdated head row.
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
			t.Error("a higher version was rejected")
		}
		time.Sleep(time.Minute) // several polls of the lower head row
		wantCurrent(t, f, 5, true)
		putHead(t, rows, configAt(6))
		time.Sleep(10 * time.Second)
		wantCurrent(t, f, 6, true)
		if diff := cmp.Diff([]string{"0>3", "3>5", "5>6"}, changes.seen()); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// Guards against the loss of all services when the head row is deleted.
func TestDeletedHeadRowDoesNotRevert(t *testing.T) {
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

// Guards against a router that starts while the store is down and serves an old
// version from one peer while another peer has a higher one in force.
func TestBootstrapTakesTheHighestOfThePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, changes := newFaultTable(), &recorder{}
		rows.setDown(true)
		var mu sync.Mutex
		var peerConfigs []Config
		f := start(t, FollowerOptions{Table: rows, OnChange: changes.onChange, FetchFromPeers: func(context.Context) []Config {
			mu.Lock()
			defer mu.Unlock()
			return peerConfigs
		}})
		time.Sleep(time.Minute)
		wantCurrent(t, f, 0, false)
		if !f.Offer(configAt(1)) {
			t.Error("the offer was rejected")
		}
		wantCurrent(t, f, 0, false)
		mu.Lock()
		peerConfigs = []Config{configAt(2), configAt(4), configAt(3)}
		mu.Unlock()
		time.Sleep(2 * time.Second)
		wantCurrent(t, f, 4, true)
		if diff := cmp.Diff([]string{"0>4"}, changes.seen()); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// Guards against an unresponsive peer that blocks the start although other peers
// have responded.
func TestBootstrapWithASilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := newFaultTable()
		rows.setDown(true)
		f := start(t, FollowerOptions{Table: rows, FetchFromPeers: func(ctx context.Context) []Config {
			<-ctx.Done()
			return []Config{configAt(1)}
		}})
		time.Sleep(peerFetchTimeout + time.Millisecond)
		wantCurrent(t, f, 1, true)
	})
}

// Guards against a damaged configuration of a peer that counts as a response.
func TestBootstrapIgnoresDamagedConfigurations(t *testing.T) {
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

// Guards against a cluster that cannot start without a note: the first note could
// then never be published.
func TestBootstrapBeforeTheFirstNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, FollowerOptions{Table: newFaultTable()})
		synctest.Wait()
		wantCurrent(t, f, 0, true)
	})
}

// Guards against a follower that stops polling after an outage of the store.
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

// Guards against polls without jitter, which would overload the store when all
// hosts poll at once, and against intervals too long for the limit of 15s.
func TestPollsAreJittered(t *testing.T) {
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

// Guards against readers on the request path that see a partial configuration
// while versions change.
func TestCurrentDuringChanges(t *testing.T) {
	f := NewFollower(FollowerOptions{Table: newFaultTable()})
	f.markReady()
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
	f.markReady()
	f.Offer(configAt(1))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := f.Current(); !ok {
				b.Error("not ready")
			}
		}
	})
}
