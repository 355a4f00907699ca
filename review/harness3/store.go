package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdockglade.dev/platform/standin"
)

const (
	// storeDelay is the time that an answer of the store takes.
	storeDelay = 4 * time.Millisecond
	// maxTxnEntries is the number of entries that a transaction holds at most.
	maxTxnEntries = 100
)

// store is the stand-in of the platform's store, whose responses also name its clock.
type store struct {
	*standin.Store
	began   time.Time
	address string
	// refused counts the transactions with too many entries, largest is the largest number.
	refused, largest atomic.Int64
}

func newStore() (*store, error) {
	s := &store{Store: standin.NewStore(), began: time.Now()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// buffered is a response that is kept until it is complete.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if r.URL.Path == names.Txn {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if n := countEntries(data); n > maxTxnEntries {
			s.refused.Add(1)
			s.largest.Store(max(s.largest.Load(), n))
			http.Error(w, "too many entries", http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
	}
	b := &buffered{header: http.Header{}, status: http.StatusOK}
	s.Store.ServeHTTP(b, r)
	body := b.body.Bytes()
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) == nil {
		fields[names.Clock], _ = json.Marshal(time.Since(s.began).Milliseconds())
		body, _ = json.Marshal(fields)
	}
	for name, values := range b.header {
		if name != names.Era {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(body)
}

// countEntries returns the number of entries of a transaction.
func countEntries(data []byte) int64 {
	var lists map[string]json.RawMessage
	if json.Unmarshal(data, &lists) != nil {
		return 0
	}
	n := 0
	for _, name := range names.TxnEntries {
		var entries []json.RawMessage
		if json.Unmarshal(lists[name], &entries) == nil {
			n += len(entries)
		}
	}
	return int64(n)
}
