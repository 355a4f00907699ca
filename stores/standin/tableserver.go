package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"burdockglade.dev/stores/table"
)

// maxTxnBodyBytes limits the body of a transaction. It fits table.MaxTxnBytes
// in base64, with the keys.
const maxTxnBodyBytes = 4 << 20

// TableServer is a stand-in for the table service.
//
//	POST /v1/txn                           table.Txn -> table.CommitResponse
//	GET  /v1/rows/{key}                    -> table.Row
//	GET  /v1/rows?prefix=&after=&limit=    -> table.ScanResponse
//	GET  /v1/counters                      -> Counters
//	GET  /v1/faults, PUT /v1/faults        Faults
type TableServer struct {
	storeServer
	rows *table.Memory
}

// NewTableServer returns a stand-in that serves the rows.
func NewTableServer(rows *table.Memory) *TableServer {
	return &TableServer{storeServer: newStoreServer(), rows: rows}
}

// ServeHTTP implements http.Handler.
func (s *TableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	key, isRow := strings.CutPrefix(path, "/v1/rows/")
	switch {
	case path == "/v1/faults":
		s.faults.serveFaults(w, r)
	case path == "/v1/counters" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.Counters())
	case path == "/v1/txn" && r.Method == http.MethodPost:
		s.serveTxn(w, r)
	case path == "/v1/rows" && r.Method == http.MethodGet:
		s.serveScan(w, r)
	case isRow && r.Method == http.MethodGet:
		s.serveRow(w, r, key)
	default:
		s.rejectInvalid(w, http.StatusBadRequest, fmt.Errorf("unknown operation: %s %s", r.Method, path))
	}
}

func (s *TableServer) serveTxn(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counters) { c.Writes++ })
	body, status, err := readBody(w, r, maxTxnBodyBytes)
	if err != nil {
		s.rejectInvalid(w, status, err)
		return
	}
	loseResponse, ok := s.applyFaults(w, classWrite)
	if !ok {
		return
	}
	var txn table.Txn
	if err := decodeStrict(bytes.NewReader(body), &txn); err != nil {
		s.rejectInvalid(w, http.StatusBadRequest, err)
		return
	}
	// The write takes effect even if its sender has disconnected.
	revision, err := s.rows.Commit(context.WithoutCancel(r.Context()), txn)
	s.countCommit(err)
	s.abortIfResponseLost(loseResponse)
	if err != nil {
		s.writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, table.CommitResponse{Revision: revision})
}

func (s *TableServer) countCommit(err error) {
	s.count(func(c *Counters) {
		switch {
		case err == nil:
			c.Applied++
		case errors.Is(err, table.ErrConflict):
			c.Conflicts++
		}
	})
}

func (s *TableServer) serveRow(w http.ResponseWriter, r *http.Request, escaped string) {
	s.count(func(c *Counters) { c.Reads++ })
	loseResponse, ok := s.applyFaults(w, classRead)
	if !ok {
		return
	}
	key, err := url.PathUnescape(escaped)
	if err != nil || r.URL.RawQuery != "" {
		s.rejectInvalid(w, http.StatusBadRequest, fmt.Errorf("malformed row path %q", r.URL.RequestURI()))
		return
	}
	row, err := s.rows.Get(context.WithoutCancel(r.Context()), key)
	s.abortIfResponseLost(loseResponse)
	if err != nil {
		s.writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (s *TableServer) serveScan(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Counters) { c.Reads++ })
	loseResponse, ok := s.applyFaults(w, classRead)
	if !ok {
		return
	}
	prefix, after, limit, err := scanArguments(r.URL.RawQuery)
	if err != nil {
		s.rejectInvalid(w, http.StatusBadRequest, err)
		return
	}
	rows, err := s.rows.Scan(context.WithoutCancel(r.Context()), prefix, after, limit)
	s.abortIfResponseLost(loseResponse)
	if err != nil {
		s.writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, table.ScanResponse{Rows: rows})
}

// scanArguments parses the query of a scan. Without a limit it is
// table.MaxScanRows.
func scanArguments(query string) (prefix, after string, limit int, err error) {
	q, err := url.ParseQuery(query)
	if err != nil {
		return "", "", 0, fmt.Errorf("malformed query: %w", err)
	}
	limit = table.MaxScanRows
	for name, values := range q {
		if len(values) != 1 {
			return "", "", 0, fmt.Errorf("argument %q occurs %d times", name, len(values))
		}
		switch name {
		case "prefix":
			prefix = values[0]
		case "after":
			after = values[0]
		case "limit":
			if limit, err = strconv.Atoi(values[0]); err != nil {
				return "", "", 0, fmt.Errorf("limit %q is not a number", values[0])
			}
		default:
			return "", "", 0, fmt.Errorf("unknown argument %q", name)
		}
	}
	return prefix, after, limit, nil
}

// writeStoreError responds with the status that belongs to an error of the
// table.
func (s *TableServer) writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, table.ErrNotFound):
		writeError(w, http.StatusNotFound, err)
	case errors.Is(err, table.ErrConflict):
		writeError(w, http.StatusConflict, err)
	case errors.Is(err, table.ErrInvalid):
		s.rejectInvalid(w, http.StatusBadRequest, err)
	default:
		writeError(w, http.StatusInternalServerError, err)
	}
}
