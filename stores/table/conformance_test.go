package table_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// callTimeout is far longer than a loopback call takes; no test waits for it.
const callTimeout = 30 * time.Second

// newServer starts a table service stand-in that is closed when the test ends.
func newServer(t *testing.T) (*standin.TableServer, *httptest.Server) {
	t.Helper()
	server := standin.NewTableServer(table.NewMemory())
	web := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return server, web
}

func newClient(t *testing.T, url string, timeout time.Duration) *table.Client {
	t.Helper()
	client, err := table.NewClient(table.ClientOptions{BaseURL: url, Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// forEachStore runs test against the in-memory store and against the client with
// a server.
func forEachStore(t *testing.T, test func(t *testing.T, s table.Store)) {
	t.Run("memory", func(t *testing.T) { test(t, table.NewMemory()) })
	t.Run("client", func(t *testing.T) {
		_, web := newServer(t)
		test(t, newClient(t, web.URL, callTimeout))
	})
}

// put returns a transaction that writes one row if it has the version.
func put(id, key, value string, version int64) table.Txn {
	return table.Txn{
		ID:         id,
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: []byte(value)}},
	}
}

func mustCommit(t *testing.T, s table.Store, txn table.Txn) int64 {
	t.Helper()
	revision, err := s.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// Guards against a reused version: a writer with an old version of a row that was
// deleted and created again would overwrite the new row.
func TestVersionsNeverRepeat(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		first := mustCommit(t, s, put("1", "a", "x", 0))
		second := mustCommit(t, s, table.Txn{ID: "2", Writes: []table.Write{{Key: "a", Delete: true}}})
		third := mustCommit(t, s, put("3", "a", "y", 0))
		if !(first < second && second < third) {
			t.Fatalf("revisions %d, %d, %d do not increase", first, second, third)
		}
		if _, err := s.Commit(t.Context(), put("4", "a", "z", first)); !errors.Is(err, table.ErrConflict) {
			t.Fatalf("a write with the version of the deleted row: %v, want a conflict", err)
		}
		row, err := s.Get(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		want := table.Row{Key: "a", Version: third, WriteID: "3", Value: []byte("y")}
		if diff := cmp.Diff(want, row); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a transaction that is applied partially: a move would leave
// shards in two groups or in none.
func TestTransactionIsAtomic(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		version := mustCommit(t, s, put("1", "a", "x", 0))
		txn := table.Txn{
			ID:         "2",
			Conditions: []table.Condition{{Key: "a", Version: version}, {Key: "b", Version: 7}},
			Writes:     []table.Write{{Key: "a", Value: []byte("y")}, {Key: "b", Value: []byte("y")}},
		}
		if _, err := s.Commit(t.Context(), txn); !errors.Is(err, table.ErrConflict) {
			t.Fatalf("error %v, want a conflict", err)
		}
		rows, err := s.Scan(t.Context(), "", "", 10)
		if err != nil {
			t.Fatal(err)
		}
		want := []table.Row{{Key: "a", Version: version, WriteID: "1", Value: []byte("x")}}
		if diff := cmp.Diff(want, rows); diff != "" {
			t.Fatal(diff)
		}
		txn.Conditions[1].Version = 0
		revision := mustCommit(t, s, txn)
		for _, key := range []string{"a", "b"} {
			if row, err := s.Get(t.Context(), key); err != nil || row.Version != revision || row.WriteID != "2" {
				t.Errorf("row %q: %+v, %v; want version %d", key, row, err, revision)
			}
		}
	})
}

// Guards against scans that skip, repeat or reorder rows: a router would miss
// members or groups.
func TestScanReturnsEachRowOnceInOrder(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		var want []string
		for i := range 2*table.MaxScanRows + 3 {
			key := fmt.Sprintf("m/%04d", i)
			want = append(want, key)
			mustCommit(t, s, put(key, key, "", 0))
		}
		for _, other := range []string{"l/z", "m", "m0", "n/0"} {
			mustCommit(t, s, put(other, other, "", 0))
		}
		rows, err := table.ScanAll(t.Context(), s, "m/")
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, row := range rows {
			got = append(got, row.Key)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
		rows, err = s.Scan(t.Context(), "m/", "m/0001", 2)
		if err != nil || len(rows) != 2 || rows[0].Key != "m/0002" || rows[1].Key != "m/0003" {
			t.Fatalf("scan after m/0001: %v, %v", rows, err)
		}
		rows, err = s.Scan(t.Context(), "m/", "z", 2)
		if err != nil || len(rows) != 0 {
			t.Fatalf("scan after the last row: %v, %v", rows, err)
		}
	})
}

// Guards against keys that are altered in the URL path or the query.
func TestKeysWithSpecialCharacters(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		for _, key := range []string{"a/b", "a//b", "/a", "a/", "a/../b", "a?b=c", "a%2Fb", "a b+c", "ä#ö", "...", "a&limit=1"} {
			mustCommit(t, s, put("w", key, key, 0))
			row, err := s.Get(t.Context(), key)
			if err != nil || row.Key != key || string(row.Value) != key {
				t.Errorf("get %q: %+v, %v", key, row, err)
			}
			rows, err := s.Scan(t.Context(), key, "", 1)
			if err != nil || len(rows) != 1 || rows[0].Key != key {
				t.Errorf("scan %q: %+v, %v", key, rows, err)
			}
		}
	})
}

// Guards against malformed requests that only one of the stores rejects: a fault
// of a caller would show only in production.
func TestInvalidRequests(t *testing.T) {
	long := strings.Repeat("k", table.MaxKeyBytes+1)
	big := make([]byte, table.MaxValueBytes+1)
	write := []table.Write{{Key: "a"}}
	full := make([]table.Write, table.MaxTxnBytes/table.MaxValueBytes+1)
	for i := range full {
		full[i] = table.Write{Key: fmt.Sprint(i), Value: big[:table.MaxValueBytes]}
	}
	txns := map[string]table.Txn{
		"no id":               {Writes: write},
		"long id":             {ID: long, Writes: write},
		"no write":            {ID: "1", Conditions: []table.Condition{{Key: "a"}}},
		"no key":              {ID: "1", Writes: []table.Write{{}}},
		"dot key":             {ID: "1", Writes: []table.Write{{Key: ".."}}},
		"long key":            {ID: "1", Writes: []table.Write{{Key: long}}},
		"not UTF-8":           {ID: "1", Writes: []table.Write{{Key: "a\xff"}}},
		"control character":   {ID: "1", Writes: []table.Write{{Key: "a\n"}}},
		"two writes":          {ID: "1", Writes: []table.Write{{Key: "a"}, {Key: "a", Delete: true}}},
		"delete with value":   {ID: "1", Writes: []table.Write{{Key: "a", Delete: true, Value: []byte("x")}}},
		"big value":           {ID: "1", Writes: []table.Write{{Key: "a", Value: big}}},
		"big transaction":     {ID: "1", Writes: full},
		"two conditions":      {ID: "1", Writes: write, Conditions: []table.Condition{{Key: "a"}, {Key: "a", Version: 1}}},
		"negative version":    {ID: "1", Writes: write, Conditions: []table.Condition{{Key: "a", Version: -1}}},
		"too many conditions": {ID: "1", Writes: write, Conditions: make([]table.Condition, table.MaxTxnRows+1)},
	}
	forEachStore(t, func(t *testing.T, s table.Store) {
		for name, txn := range txns {
			if _, err := s.Commit(t.Context(), txn); !errors.Is(err, table.ErrInvalid) {
				t.Errorf("%s: %v, want an invalid request", name, err)
			}
		}
		for _, limit := range []int{-1, 0, table.MaxScanRows + 1} {
			if _, err := s.Scan(t.Context(), "", "", limit); !errors.Is(err, table.ErrInvalid) {
				t.Errorf("limit %d: %v, want an invalid request", limit, err)
			}
		}
		for _, key := range []string{"", ".", "a\x00", long} {
			if _, err := s.Get(t.Context(), key); !errors.Is(err, table.ErrInvalid) {
				t.Errorf("get %q: %v, want an invalid request", key, err)
			}
		}
	})
}

// Guards against a stored row that shares memory with the caller's buffers.
func TestRowsShareNoMemory(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		value := []byte("abc")
		mustCommit(t, s, table.Txn{ID: "1", Writes: []table.Write{{Key: "a", Value: value}}})
		value[0] = 'X'
		for range 2 {
			row, err := s.Get(t.Context(), "a")
			if err != nil || string(row.Value) != "abc" {
				t.Fatalf("row %q, %v", row.Value, err)
			}
			row.Value[0] = 'Y'
			rows, err := s.Scan(t.Context(), "a", "", 1)
			if err != nil || string(rows[0].Value) != "abc" {
				t.Fatalf("rows %v, %v", rows, err)
			}
			rows[0].Value[0] = 'Z'
		}
	})
}

// Guards against a write that is sent, or reported with an unknown outcome,
// although its context was cancelled before the call.
func TestCancelledBeforeSending(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := s.Commit(ctx, put("1", "a", "x", 0))
		if !errors.Is(err, table.ErrUnavailable) || !errors.Is(err, context.Canceled) {
			t.Errorf("commit: %v, want unavailable and cancelled", err)
		}
		if _, err := s.Get(ctx, "a"); !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("get: %v, want unavailable", err)
		}
		if _, err := s.Get(t.Context(), "a"); !errors.Is(err, table.ErrNotFound) {
			t.Errorf("get: %v, want not found", err)
		}
	})
}

// Guards against lost updates: of concurrent writers with the same version,
// exactly one may succeed.
func TestOneConcurrentWriterWins(t *testing.T) {
	forEachStore(t, func(t *testing.T, s table.Store) {
		const writers = 8
		results := make(chan error, writers)
		for i := range writers {
			go func() {
				_, err := s.Commit(t.Context(), put(fmt.Sprint(i), "a", fmt.Sprint(i), 0))
				results <- err
			}()
		}
		won := 0
		for range writers {
			err := <-results
			if err == nil {
				won++
			} else if !errors.Is(err, table.ErrConflict) {
				t.Errorf("error %v, want a conflict", err)
			}
		}
		if won != 1 {
			t.Fatalf("%d writers succeeded, want 1", won)
		}
	})
}
