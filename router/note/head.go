package note

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"burdockglade.dev/stores/table"
)

// Keys of the rows.
const (
	// HeadKey is the key of the head row, which holds the configuration in
	// force.
	HeadKey = "note/head"
	// LogKey is the key of the log row, which lists the latest publications. It
	// is written in the same transaction as the head row, so that the outcome
	// of a publication can still be determined after later ones.
	LogKey = "note/log"
)

// LogLength is the maximum number of publications in the log row. At 4,300
// publications per day it covers 5.7 hours.
const LogLength = 1024

// Publication is one entry of the log row.
type Publication struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	// Digest is the truncated SHA-256 of the note's text, in hexadecimal.
	Digest string `json:"digest"`
}

// maxHeadBytes is the maximum size of the decompressed head row.
const maxHeadBytes = 1 << 20

// EncodeHead returns the value of the head row: JSON, compressed with DEFLATE.
// Every router reads the row at every poll. The definitions of services are
// repetitive, so compression keeps the polls within the limit of a host's control
// traffic.
func EncodeHead(c Config) ([]byte, error) {
	var value bytes.Buffer
	w, err := flate.NewWriter(&value, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("encoding configuration version %d: %w", c.Version, err)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("encoding configuration version %d: %w", c.Version, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encoding configuration version %d: %w", c.Version, err)
	}
	return value.Bytes(), nil
}

// DecodeHead decodes and validates the head row.
func DecodeHead(row table.Row) (Config, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.Value)), maxHeadBytes))
	if err != nil {
		return Config{}, fmt.Errorf("decoding row %q: %w", row.Key, err)
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return Config{}, fmt.Errorf("decoding row %q: %w", row.Key, err)
	}
	if c.Version < 1 {
		return Config{}, fmt.Errorf("row %q holds version %d", row.Key, c.Version)
	}
	if err := CheckConfig(c); err != nil {
		return Config{}, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return c, nil
}

// ReadHead reads the configuration in force from the head row. Before the first
// note it returns the zero value and row version 0. An error is either one of the
// store or one of DecodeHead.
func ReadHead(ctx context.Context, store table.Store) (c Config, rowVersion int64, err error) {
	return readNewerHead(ctx, store, 0)
}

// readNewerHead is like ReadHead, but returns an empty configuration without
// decoding the row if the row still has knownRowVersion.
func readNewerHead(ctx context.Context, store table.Store, knownRowVersion int64) (c Config, rowVersion int64, err error) {
	row, err := store.Get(ctx, HeadKey)
	if errors.Is(err, table.ErrNotFound) {
		return Config{}, 0, nil
	}
	if err != nil {
		return Config{}, 0, fmt.Errorf("reading %s: %w", HeadKey, err)
	}
	if row.Version == knownRowVersion {
		return Config{}, knownRowVersion, nil
	}
	c, err = DecodeHead(row)
	return c, row.Version, err
}

// readLog returns the publications of the log row, oldest first.
func readLog(ctx context.Context, store table.Store) (log []Publication, rowVersion int64, err error) {
	row, err := store.Get(ctx, LogKey)
	if errors.Is(err, table.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("reading %s: %w", LogKey, err)
	}
	if err := json.Unmarshal(row.Value, &log); err != nil {
		return nil, 0, fmt.Errorf("decoding row %q: %w", LogKey, err)
	}
	return log, row.Version, nil
}

// appendLog returns a copy of the log with the entry appended. It drops the
// oldest entries beyond LogLength.
func appendLog(log []Publication, entry Publication) []Publication {
	log = append(slices.Clone(log), entry)
	return log[max(0, len(log)-LogLength):]
}

// findPublication returns the log entry of the version.
func findPublication(log []Publication, version int64) (Publication, bool) {
	i := slices.IndexFunc(log, func(p Publication) bool { return p.Version == version })
	if i < 0 {
		return Publication{}, false
	}
	return log[i], true
}
