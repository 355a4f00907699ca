package note

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

// faultTable is a table store with fault injection.
type faultTable struct {
	table.Store
	mu sync.Mutex
	// down fails every call before it takes effect.
	down bool
	// commits lists the faults of the next commits.
	commits []commitFault
	// onCommit runs once, before the next commit.
	onCommit func()
	// reads counts the reads of the head row.
	reads int
}

type commitFault int

const (
	noFault     commitFault = iota
	lostBefore              // no response, and nothing was written
	lostAfter               // no response, but the write took effect
	unavailable             // rejected, and nothing was written
)

func newFaultTable() *faultTable {
	return &faultTable{Store: table.NewMemory()}
}

func (f *faultTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faultTable) Get(ctx context.Context, key string) (table.Row, error) {
	f.mu.Lock()
	down := f.down
	if key == HeadKey {
		f.reads++
	}
	f.mu.Unlock()
	if down {
		return table.Row{}, table.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *faultTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	fault := f.nextFault()
	switch fault {
	case lostBefore:
		return 0, table.ErrOutcomeUnknown
	case unavailable:
		return 0, table.ErrUnavailable
	}
	revision, err := f.Store.Commit(ctx, txn)
	if fault == lostAfter {
		return 0, table.ErrOutcomeUnknown
	}
	return revision, err
}

func (f *faultTable) nextFault() commitFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hook := f.onCommit; hook != nil {
		f.onCommit = nil
		f.mu.Unlock()
		hook()
		f.mu.Lock()
	}
	if f.down {
		return unavailable
	}
	if len(f.commits) == 0 {
		return noFault
	}
	fault := f.commits[0]
	f.commits = f.commits[1:]
	return fault
}

// memoryObjects is an in-memory object store with fault injection.
type memoryObjects struct {
	mu      sync.Mutex
	content map[string][]byte
	// faults is the number of subsequent writes that fail.
	faults int
}

func (m *memoryObjects) Put(_ context.Context, name string, content []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults > 0 {
		m.faults--
		return object.ErrUnavailable
	}
	if have, ok := m.content[name]; ok && !bytes.Equal(have, content) {
		return object.ErrExists
	}
	m.content[name] = bytes.Clone(content)
	return nil
}

func (m *memoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.content[name]
	if !ok {
		return nil, object.ErrNotFound
	}
	return content, nil
}

func newPublisher() (*Publisher, *faultTable, *memoryObjects) {
	rows := newFaultTable()
	objects := &memoryObjects{content: map[string][]byte{}}
	return NewPublisher(PublisherOptions{Table: rows, Objects: objects}), rows, objects
}

// noteAt returns a note with the base version that adds a service.
func noteAt(base int64, service string) []byte {
	return fmt.Appendf(nil, "[note]\ntitle = T\nbase = %d\n[add service %s]\nkind = fenced\n", base, service)
}

func mustPublish(t testing.TB, p *Publisher, id string, text []byte) Result {
	t.Helper()
	r, err := p.Publish(t.Context(), id, text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func wantHead(t testing.TB, store table.Store, version int64, id string) {
	t.Helper()
	c, _, err := ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	if c.Version != version || c.PublishID != id {
		t.Errorf("head is version %d of %q, want %d of %q", c.Version, c.PublishID, version, id)
	}
}

func wantKind(t testing.TB, err error, kind errkind.Kind) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

// Guards against a publication that does not store the text, the version or the
// configuration.
func TestPublishWritesTextAndHead(t *testing.T) {
	p, rows, _ := newPublisher()
	r := mustPublish(t, p, "publish-a", []byte(firstNote))
	if r.Version != 1 || r.PublishID != "publish-a" || len(r.Config.Services) != 2 {
		t.Errorf("got %+v", r)
	}
	wantHead(t, rows, 1, "publish-a")
	entry, text, err := p.Version(t.Context(), 1)
	if err != nil || string(text) != firstNote || entry.PublishID != "publish-a" {
		t.Errorf("got %+v %q %v", entry, text, err)
	}
	_, _, err = p.Version(t.Context(), 2)
	wantKind(t, err, errkind.NotFound)
}

// Guards against a head row that refers to a text that was never stored.
func TestTextIsStoredBeforeTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows, objects := newPublisher()
		objects.faults = 1000
		_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
		wantKind(t, err, errkind.StoreUnavailable)
		wantHead(t, rows, 0, "")
		objects.faults = 3
		mustPublish(t, p, "publish-a", noteAt(0, "a"))
		wantHead(t, rows, 1, "publish-a")
	})
}

// Guards against two concurrent notes that both succeed, and against a conflict
// that does not name the note published first.
func TestTwoOperatorsRace(t *testing.T) {
	p, rows, _ := newPublisher()
	rows.onCommit = func() { mustPublish(t, p, "publish-b", noteAt(0, "b")) }
	_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
	wantConflict(t, err, ConflictError{Base: 0, Version: 1, PublishID: "publish-b"})
	wantHead(t, rows, 1, "publish-b")
}

// Guards against lost or duplicate versions under concurrent publications.
func TestManyOperatorsRace(t *testing.T) {
	p, rows, _ := newPublisher()
	const operators = 8
	errs := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			_, errs[i] = p.Publish(t.Context(), fmt.Sprintf("publish-%d", i), noteAt(0, fmt.Sprintf("s%d", i)))
		})
	}
	group.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		wantKind(t, err, errkind.NoteConflict)
	}
	c, _, err := ReadHead(t.Context(), rows)
	if won != 1 || err != nil || c.Version != 1 {
		t.Errorf("%d operators won, head %+v, %v", won, c, err)
	}
}

// Guards against a lost response that makes a note fail although it took effect,
// or take effect twice.
func TestLostAnswersAreSettledByReading(t *testing.T) {
	for _, faults := range [][]commitFault{
		{lostAfter}, {lostBefore}, {lostBefore, lostBefore, lostAfter}, {lostBefore, unavailable, noFault},
	} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, rows, _ := newPublisher()
				rows.commits = faults
				if r := mustPublish(t, p, "publish-a", noteAt(0, "a")); r.Version != 1 {
					t.Errorf("got version %d", r.Version)
				}
				wantHead(t, rows, 1, "publish-a")
			})
		})
	}
}

// Guards against success reported for a write that was lost before it took effect,
// while another note was published.
func TestLostAnswerThenAnotherWins(t *testing.T) {
	p, rows, _ := newPublisher()
	rows.commits = []commitFault{lostBefore}
	rows.onCommit = func() {
		faults := rows.commits
		rows.commits = nil
		mustPublish(t, p, "publish-b", noteAt(0, "b"))
		rows.commits = faults
	}
	_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
	wantConflict(t, err, ConflictError{Base: 0, Version: 1, PublishID: "publish-b"})
}

// Guards against an error that says the note did not take effect although it did:
// the store fails after the write, so neither the write nor the reads get a
// response.
func TestStoreDownAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows, _ := newPublisher()
		rows.commits = []commitFault{lostAfter}
		rows.onCommit = func() { go func() { time.Sleep(time.Millisecond); rows.setDown(true) }() }
		slow := &slowCommit{Store: rows}
		p = NewPublisher(PublisherOptions{Table: slow, Objects: p.opts.Objects})
		_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
		wantKind(t, err, errkind.OutcomeUnknown)
		if !strings.Contains(err.Error(), "publish-a") {
			t.Errorf("the message does not name the publish id: %v", err)
		}
		_, err = p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
		wantKind(t, err, errkind.OutcomeUnknown) // a retry cannot resolve the outcome either
		rows.setDown(false)
		if r := mustPublish(t, p, "publish-a", noteAt(0, "a")); r.Version != 1 {
			t.Errorf("got %+v", r)
		}
		wantHead(t, rows, 1, "publish-a")
	})
}

// slowCommit delays the responses to commits.
type slowCommit struct{ table.Store }

func (s *slowCommit) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	revision, err := s.Store.Commit(ctx, txn)
	time.Sleep(10 * time.Millisecond)
	return revision, err
}

// Guards against rows written, or an unknown outcome reported, when the store is
// down before the write.
func TestStoreDownBeforeTheWrite(t *testing.T) {
	p, rows, objects := newPublisher()
	rows.setDown(true)
	_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
	wantKind(t, err, errkind.StoreUnavailable)
	rows.setDown(false)
	wantHead(t, rows, 0, "")
	rows.commits = []commitFault{unavailable}
	_, err = p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
	wantKind(t, err, errkind.StoreUnavailable)
	wantHead(t, rows, 0, "")
	if len(objects.content) != 1 {
		t.Errorf("%d texts", len(objects.content))
	}
}

// Guards against a retry whose result differs from the first call because other
// notes were published in between.
func TestRepeatedPublishHasTheSameResult(t *testing.T) {
	p, rows, _ := newPublisher()
	mustPublish(t, p, "publish-a", noteAt(0, "a"))
	if r := mustPublish(t, p, "publish-a", noteAt(0, "a")); r.Version != 1 || len(r.Config.Services) != 1 {
		t.Errorf("got %+v", r)
	}
	mustPublish(t, p, "publish-b", noteAt(1, "b"))
	mustPublish(t, p, "publish-c", noteAt(2, "c"))
	if r := mustPublish(t, p, "publish-a", noteAt(0, "a")); r.Version != 1 || r.Config.Version != 0 {
		t.Errorf("got %+v", r)
	}
	wantHead(t, rows, 3, "publish-c")
	_, err := p.Publish(t.Context(), "publish-d", noteAt(0, "d"))
	wantConflict(t, err, ConflictError{Base: 0, Version: 1, PublishID: "publish-a"})
}

// Guards against success reported for a note whose publish id was used for a
// different note.
func TestPublishIDOfAnotherNote(t *testing.T) {
	p, rows, _ := newPublisher()
	mustPublish(t, p, "publish-a", noteAt(0, "a"))
	_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "b"))
	wantKind(t, err, errkind.Conflict)
	_, err = p.Publish(t.Context(), "publish-a", noteAt(1, "b"))
	wantKind(t, err, errkind.Conflict)
	wantHead(t, rows, 1, "publish-a")
}

// Guards against publish ids that lead to object names outside notes/.
func TestMalformedPublishID(t *testing.T) {
	p, _, _ := newPublisher()
	for _, id := range []string{"", "short", "../../group/x", strings.Repeat("a", 65), "publish a"} {
		_, err := p.Publish(t.Context(), id, noteAt(0, "a"))
		wantKind(t, err, errkind.BadRequest)
	}
}

// Guards against a definite result for a publication that the log row no longer
// contains: it cannot be distinguished from one that was rejected. Guards also
// against unlimited growth of the log row.
func TestPublicationOlderThanTheLog(t *testing.T) {
	p, rows, _ := newPublisher()
	mustPublish(t, p, "publish-first", noteAt(0, "a"))
	fillLog(t, rows, LogLength)
	if r := mustPublish(t, p, "publish-first", noteAt(0, "a")); r.Version != 1 {
		t.Errorf("got %+v", r)
	}
	mustPublish(t, p, "publish-last", noteAt(LogLength, "b"))
	_, err := p.Publish(t.Context(), "publish-first", noteAt(0, "a"))
	wantKind(t, err, errkind.OutcomeUnknown)
	wantHead(t, rows, LogLength+1, "publish-last")
	log, _, err := readLog(t.Context(), rows)
	if err != nil || len(log) != LogLength || log[0].Version != 2 {
		t.Errorf("the log has %d entries, %v", len(log), err)
	}
}

// fillLog advances the head row and the log row to the version without a
// publication for each.
func fillLog(t *testing.T, rows table.Store, version int64) {
	t.Helper()
	head, _, err := ReadHead(t.Context(), rows)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := readLog(t.Context(), rows)
	if err != nil {
		t.Fatal(err)
	}
	for head.Version < version {
		head.Version++
		head.PublishID = fmt.Sprintf("publish-%d", head.Version)
		log = appendLog(log, Publication{Version: head.Version, PublishID: head.PublishID})
	}
	putHead(t, rows, head)
	value, err := json.Marshal(log)
	if err != nil {
		t.Fatal(err)
	}
	txn := table.Txn{ID: "fill", Writes: []table.Write{{Key: LogKey, Value: value}}}
	if _, err := rows.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// Guards against a retry that says the note will not take effect because the store
// rejects it: a delayed write of the earlier call can still arrive.
func TestRepeatBeforeTheFirstWriteArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows, objects := newPublisher()
		_ = objects.Put(t.Context(), objectName("publish-a"), noteAt(0, "a"))
		rows.commits = slices.Repeat([]commitFault{unavailable}, 1000)
		_, err := p.Publish(t.Context(), "publish-a", noteAt(0, "a"))
		wantKind(t, err, errkind.OutcomeUnknown)
	})
}

// Guards against wrong results under any sequence of faults: success means that the
// note produced its version, and a definite error means that it did not.
func TestAnswersAreTrueUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]commitFault{noFault, lostBefore, lostAfter, unavailable}), 0, 6).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) {
			p, rows, _ := newPublisher()
			rows.commits = faults
			for i := range 4 {
				id := fmt.Sprintf("publish-%d", i)
				base := headVersion(t, rows)
				text := noteAt(base, fmt.Sprintf("s%d", i))
				_, err := p.Publish(t.Context(), id, text)
				if errkind.Is(err, errkind.OutcomeUnknown) {
					_, err = p.Publish(t.Context(), id, text)
				}
				produced := publishIDOf(t, rows, base+1) == id
				if err == nil && !produced {
					rt.Errorf("%s reported success for version %d of another note", id, base+1)
				}
				if err != nil && !errkind.Is(err, errkind.OutcomeUnknown) && produced {
					rt.Errorf("%s reported %v but produced version %d", id, err, base+1)
				}
			}
		})
	})
}

func headVersion(t testing.TB, store table.Store) int64 {
	t.Helper()
	c, _, err := ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	return c.Version
}

func publishIDOf(t testing.TB, store table.Store, version int64) string {
	t.Helper()
	log, _, err := readLog(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	entry, _ := findPublication(log, version)
	return entry.PublishID
}

// Guards against a preview that accepts a note that Publish would reject.
func TestPreview(t *testing.T) {
	d, err := Preview("n.ini", []byte(firstNote), Config{})
	if err != nil || len(d.Added) != 2 {
		t.Errorf("got %+v, %v", d, err)
	}
	_, err = Preview("n.ini", []byte(firstNote), firstConfig(t))
	wantKind(t, err, errkind.NoteConflict)
	_, err = Preview("n.ini", []byte("x"), Config{})
	var problems Problems
	if !errors.As(err, &problems) {
		t.Errorf("got %v", err)
	}
}

// BenchmarkHeadRow measures the size of the row that every poll transfers, with
// services that differ in most keys.
func BenchmarkHeadRow(b *testing.B) {
	for _, services := range []int{3, 16, MaxServices} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			c := Config{Version: 1000, PublishID: "0198c0de-0000-7000-8000-000000000000", Services: map[string]Service{}}
			for i := range services {
				s := DefaultService(fmt.Sprintf("service-%02d", i))
				s.Shards = 1 + random.IntN(1024)
				s.SettleTime = time.Duration(1+random.IntN(100)) * 100 * time.Millisecond
				s.RequestTimeout = time.Duration(1+random.IntN(300)) * 100 * time.Millisecond
				s.MaxBody = 1 + random.Int64N(maxBodyBytes)
				s.QueueLimit = random.IntN(2000)
				s.ChurnWeight = float64(random.IntN(100)) / 10
				s.UnavailableWeight = float64(random.IntN(100)) / 10
				c.Services[s.Name] = s
			}
			size := 0
			for b.Loop() {
				value, err := EncodeHead(c)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeHead(table.Row{Key: HeadKey, Value: value}); err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "row-bytes")
		})
	}
}
