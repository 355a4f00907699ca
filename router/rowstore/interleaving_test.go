package rowstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// troubled is a store whose calls take random times, fail, or are lost.
type troubled struct {
	*Memory
	mu     sync.Mutex
	rng    *rand.Rand
	faulty bool
	// lost, failed are the shares of lost and failed calls, in percent.
	lost, failed int
	maxDelay     time.Duration
}

func (s *troubled) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

func (s *troubled) draw() (before, after time.Duration, fate int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, after = time.Duration(s.rng.Int64N(int64(s.maxDelay))), time.Duration(s.rng.Int64N(int64(s.maxDelay)))
	if s.faulty {
		fate = s.rng.IntN(100)
		return before, after, fate
	}
	return before, after, 100
}

var errTroubled = errors.New("status 503")

func disturb[T any](ctx context.Context, s *troubled, call func() (T, error)) (result T, err error) {
	before, after, fate := s.draw()
	sleep(ctx, before)
	if fate < s.lost {
		<-ctx.Done()
		return result, ctx.Err()
	}
	if fate < s.lost+s.failed {
		return result, errTroubled
	}
	result, err = call()
	sleep(ctx, after)
	if ctx.Err() != nil {
		var none T
		return none, ctx.Err()
	}
	return result, err
}

func (s *troubled) Parts(ctx context.Context, table string) ([]string, int64, error) {
	r, err := disturb(ctx, s, func() (partsResult, error) {
		parts, version, err := s.Memory.Parts(ctx, table)
		return partsResult{parts, version}, err
	})
	return r.parts, r.version, err
}

func (s *troubled) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	r, err := disturb(ctx, s, func() (rowsResult, error) {
		rows, version, err := s.Memory.List(ctx, table, part)
		return rowsResult{rows, version}, err
	})
	return r.rows, r.version, err
}

func (s *troubled) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	r, err := disturb(ctx, s, func() (rowsResult, error) {
		rows, version, err := s.Memory.Watch(ctx, table, after, wait)
		return rowsResult{rows, version}, err
	})
	return r.rows, r.version, err
}

// followed is a table with its follower, and what must be known of it.
type followed struct {
	store *troubled
	feed  *Feed

	mu sync.Mutex
	// present maps the rows that were reported and not deleted to their values.
	present map[string]string
	// changes are the changes of the store in order.
	changes []change
	wrong   []string
}

type change struct {
	at      time.Time
	name    string
	deleted bool
	value   string
}

func (f *followed) changed(r Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Deleted {
		delete(f.present, r.Name)
		return
	}
	f.present[r.Name] = string(r.Value)
}

// upToDate checks a claim that all changes before asOf have been reported: the content
// must be that of the last such change of each row, or of a later one.
func (f *followed) upToDate(claim string, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	matches := map[string]bool{}
	for _, c := range f.changes {
		value, present := f.present[c.name]
		same := present != c.deleted && value == c.value
		if _, ok := matches[c.name]; !ok {
			matches[c.name] = !present
		}
		matches[c.name] = same || matches[c.name] && !c.at.Before(asOf)
	}
	for name, ok := range matches {
		if !ok {
			f.wrong = append(f.wrong, fmt.Sprintf("%s claims to be up to date as of %v, but row %s is older", claim, asOf, name))
		}
	}
}

func (f *followed) commit(name string, deleted bool) {
	key := Key{Table: "t", Part: "p" + name[:1], Name: name}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := change{at: time.Now(), name: name, deleted: deleted}
	txn := Txn{Deletes: []Key{key}}
	if !deleted {
		c.value = fmt.Sprint(len(f.changes))
		txn = Txn{Writes: []Write{{Key: key, Value: []byte(c.value)}}}
	}
	if _, err := f.store.Memory.Commit(context.Background(), txn); err != nil {
		f.wrong = append(f.wrong, err.Error())
	}
	f.changes = append(f.changes, c)
}

// content returns the rows of the store.
func (f *followed) content() map[string]string {
	content := map[string]string{}
	parts, _, _ := f.store.Memory.Parts(context.Background(), "t")
	for _, part := range parts {
		rows, _, _ := f.store.Memory.List(context.Background(), "t", part)
		for _, r := range rows {
			content[r.Name] = string(r.Value)
		}
	}
	return content
}

// fedContent returns the rows of the feed, as a reader that starts now gets them.
func (f *followed) fedContent() (map[string]string, error) {
	content := map[string]string{}
	rows, _, err := f.feed.Watch(context.Background(), 0, 0)
	for _, r := range rows {
		if !r.Deleted {
			content[r.Name] = string(r.Value)
		}
	}
	return content, err
}

// interleaving is a drawn course of changes and troubles.
type interleaving struct {
	seed         uint64
	lost, failed int
	maxDelay     time.Duration
	batchDelay   time.Duration
	checkDelay   time.Duration
	steps        []tableStep
}

type tableStep struct {
	pause time.Duration
	name  string
	what  string
}

func drawInterleaving(t *rapid.T) interleaving {
	millis := func(label string, of ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(of).Draw(t, label)) * time.Millisecond
	}
	i := interleaving{
		seed: rapid.Uint64().Draw(t, "seed"),
		lost: rapid.IntRange(0, 30).Draw(t, "lost"), failed: rapid.IntRange(0, 30).Draw(t, "failed"),
		maxDelay: millis("delay ms", 1, 30, 240), batchDelay: millis("batch ms", 0, 700), checkDelay: millis("check ms", 20, 300, 2000),
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		i.steps = append(i.steps, tableStep{
			pause: millis("pause ms", 0, 1, 1, 20, 60, 150, 700, 2500),
			name:  rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "row"),
			what:  rapid.SampledFrom([]string{"put", "put", "delete", "discard"}).Draw(t, "step"),
		})
	}
	return i
}

// play follows a table through the interleaving and returns what was wrong.
func (i interleaving) play() []string {
	f := &followed{present: map[string]string{}, feed: NewFeed(func() Reading { return ReadsStore })}
	f.store = &troubled{Memory: NewMemory(), rng: rand.New(rand.NewPCG(i.seed, 0)), faulty: true, lost: i.lost, failed: i.failed, maxDelay: i.maxDelay}
	var checkedAt time.Time
	follower := &Follower{
		CheckDelay: func() time.Duration { return time.Until(checkedAt.Add(i.checkDelay)) },
		Store:      f.store, Table: "t", Changed: f.changed, Feed: f.feed,
		Disconnected: func(error) {}, Reconnected: func() {},
		BatchDelay: func() time.Duration { return i.batchDelay },
		UpToDate:   func(asOf time.Time) { f.upToDate("follower", asOf) },
		Checked: func(asOf time.Time, _ int, err error) {
			checkedAt = time.Now()
			if err == nil {
				f.upToDate("check", asOf)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	for _, step := range i.steps {
		time.Sleep(step.pause)
		if step.what == "discard" {
			f.store.DiscardHistory()
			continue
		}
		f.commit(step.name, step.what == "delete")
	}
	f.store.setFaulty(false)
	time.Sleep(settleTime)
	f.commit("b2", false)
	time.Sleep(contactLimit)
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff(f.content(), f.present); diff != "" {
		f.wrong = append(f.wrong, "store and follower differ: "+diff)
	}
	if fed, err := f.fedContent(); err == nil && !cmp.Equal(f.content(), fed) {
		f.wrong = append(f.wrong, "store and feed differ: "+cmp.Diff(f.content(), fed))
	}
	cancel()
	<-done
	return f.wrong
}

// Guards against rows that a follower misses, brings back or claims to have, in any
// interleaving of its reads, watches and checks with changes and with calls that are
// slow, fail or are lost.
func TestFollowerAgreesWithStoreInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		i := drawInterleaving(r)
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = i.play() })
		for _, w := range wrong {
			r.Error(w)
		}
	})
}

// settleTime is the time that calls which were lost may still take.
const settleTime = 3 * time.Second
