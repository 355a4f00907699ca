package table_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// Guards against a lost response that is reported as a rejection: the writer
// would release a row that it holds. The row's write id shows the outcome.
func TestLostResponseIsOutcomeUnknown(t *testing.T) {
	server, web := newServer(t)
	client := newClient(t, web.URL, callTimeout)
	for name, c := range map[string]struct {
		faults  standin.ClassFaults
		applied bool
	}{
		"answer":  {standin.ClassFaults{LoseResponses: 1}, true},
		"request": {standin.ClassFaults{LoseRequests: 1}, false},
	} {
		if err := server.SetFaults(standin.Faults{Write: c.faults}); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Commit(t.Context(), put(name, name, "x", 0)); !errors.Is(err, table.ErrOutcomeUnknown) {
			t.Errorf("lost %s: %v, want an unknown outcome", name, err)
		}
		row, err := client.Get(t.Context(), name)
		if applied := err == nil && row.WriteID == name; applied != c.applied {
			t.Errorf("lost %s: row %+v, %v; want applied %v", name, row, err, c.applied)
		}
	}
	if c := server.Counters(); c.Writes != 2 || c.Applied != 1 {
		t.Errorf("counters %+v: want 2 writes, sent once each, and 1 applied", c)
	}
}

// Guards against an outage, or a read whose response is lost, that is reported as
// an unknown outcome.
func TestOutageIsUnavailable(t *testing.T) {
	server, web := newServer(t)
	client := newClient(t, web.URL, callTimeout)
	mustCommit(t, client, put("1", "a", "x", 0))
	f := standin.Faults{Read: standin.ClassFaults{Outage: true}, Write: standin.ClassFaults{Outage: true}}
	if err := server.SetFaults(f); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(t.Context(), put("2", "b", "x", 0)); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit: %v, want unavailable", err)
	}
	if _, err := client.Get(t.Context(), "a"); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("get: %v, want unavailable", err)
	}
	f = standin.Faults{Read: standin.ClassFaults{LoseResponses: 2}}
	if err := server.SetFaults(f); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		// The first read uses a new connection, so it is not retried.
		if _, err := client.Scan(t.Context(), "", "", 1); err != nil && !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("scan: %v, want unavailable", err)
		}
	}
	web.Close()
	if _, err := client.Commit(t.Context(), put("3", "c", "x", 0)); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit without a server: %v, want unavailable", err)
	}
}

// Guards against responses of another or a faulty server that are taken for a
// row, an empty table, an absent row, a conflict or a success.
func TestMalformedResponses(t *testing.T) {
	cases := []struct {
		status int
		body   string
		commit error
	}{
		{200, ``, table.ErrOutcomeUnknown},
		{200, `{}`, table.ErrOutcomeUnknown},
		{200, `{"revision":1} {}`, table.ErrOutcomeUnknown},
		{200, `{"revision":`, table.ErrOutcomeUnknown},
		{200, `<html>`, table.ErrOutcomeUnknown},
		{200, `{"rows":[{"key":"b","version":1}]}`, table.ErrOutcomeUnknown},
		{200, `{"rows":[{"key":"a","version":0}]}`, table.ErrOutcomeUnknown},
		{200, `{"rows":[{"key":"a1","version":1},{"key":"a1","version":1}]}`, table.ErrOutcomeUnknown},
		{200, `{"key":"b","version":1}`, table.ErrOutcomeUnknown},
		{204, ``, table.ErrOutcomeUnknown},
		{302, `{"error":"x"}`, table.ErrOutcomeUnknown},
		{404, `404 page not found`, table.ErrOutcomeUnknown},
		{404, `{}`, table.ErrOutcomeUnknown},
		{409, `conflict`, table.ErrOutcomeUnknown},
		{409, `{"error":"x"}`, table.ErrConflict},
		{500, `{"error":"x"}`, table.ErrOutcomeUnknown},
		{502, `bad gateway`, table.ErrOutcomeUnknown},
		{503, `down`, table.ErrOutcomeUnknown},
		{503, `{"error":"down"}`, table.ErrUnavailable},
		{429, `{"error":"slow down"}`, table.ErrUnavailable},
	}
	for _, c := range cases {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		client := newClient(t, web.URL, callTimeout)
		if _, err := client.Commit(t.Context(), put("1", "a", "x", 0)); !errors.Is(err, c.commit) {
			t.Errorf("%d %s: commit: %v, want %v", c.status, c.body, err, c.commit)
		}
		if row, err := client.Get(t.Context(), "a"); !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("%d %s: get: %+v, %v; want unavailable", c.status, c.body, row, err)
		}
		if rows, err := client.Scan(t.Context(), "a", "", 2); !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("%d %s: scan: %+v, %v; want unavailable", c.status, c.body, rows, err)
		}
		web.Close()
	}
}

// BenchmarkMemoryScan reads 20 rows of a table with 2340 rows, as many as 780
// hosts have.
func BenchmarkMemoryScan(b *testing.B) {
	m := table.NewMemory()
	for i := range 2340 {
		key := string([]byte{'r', byte('a' + i/676%26), byte('a' + i/26%26), byte('a' + i%26)})
		if _, err := m.Commit(b.Context(), put(key, key, "x", 0)); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if _, err := m.Scan(b.Context(), "r", "rbaa", 20); err != nil {
			b.Fatal(err)
		}
	}
}

// benchmarkClient measures call against a server in the same process. i counts
// from 1 and is the version of row "a" if each call writes it once.
func benchmarkClient(b *testing.B, call func(c *table.Client, i int) error) {
	web := httptest.NewServer(standin.NewTableServer(table.NewMemory()))
	defer web.Close()
	client, err := table.NewClient(table.ClientOptions{BaseURL: web.URL, Timeout: callTimeout})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := client.Commit(b.Context(), put("0", "a", "x", 0)); err != nil {
		b.Fatal(err)
	}
	for i := 1; b.Loop(); i++ {
		if err := call(client, i); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClientCommit includes a new connection for each transaction.
func BenchmarkClientCommit(b *testing.B) {
	benchmarkClient(b, func(c *table.Client, i int) error {
		_, err := c.Commit(b.Context(), put("w", "a", "x", int64(i)))
		return err
	})
}

// BenchmarkClientGet reads over one pooled connection.
func BenchmarkClientGet(b *testing.B) {
	benchmarkClient(b, func(c *table.Client, _ int) error {
		_, err := c.Get(b.Context(), "a")
		return err
	})
}
