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
	// HeadKey is the row of the configuration in force.
	HeadKey = "note/head"
	// LogKey is the row of the latest publications. It is written in one
	// transaction with the head row, so that the outcome of a publication can
	// be determined after later ones.
	LogKey = "note/log"
)

// LogLength is the number of publications that the log row keeps. At 4,300
// publications a day it covers 5.7 hours.
const LogLength = 1024

// Publication is one entry of the log row.
type Publication struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	// Digest is the start of the SHA-256 of the note's text in hexadecimal.
	Digest string `json:"digest"`
}

// maxHeadBytes bounds the decoded head row.
const maxHeadBytes = 1 << 20

// EncodeHead returns the value of the head row: JSON, compressed with DEFLATE.
// Every router reads the row at every poll, and the definitions of services
// repeat each other, so compression keeps polls within the control traffic that
// a host may cause.
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

// DecodeHead reads the head row and checks it.
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

// ReadHead returns the configuration in force. Before the first note it is the
// zero value with row version 0. Errors are those of the store, or tell that
// the row is damaged.
func ReadHead(ctx context.Context, store table.Store) (c Config, rowVersion int64, err error) {
	return readNewerHead(ctx, store, 0)
}

// readNewerHead is ReadHead, but leaves the configuration empty when the row
// still has the known version.
func readNewerHead(ctx context.Context, store table.Store, known int64) (c Config, rowVersion int64, err error) {
	row, err := store.Get(ctx, HeadKey)
	if errors.Is(err, table.ErrNotFound) {
		return Config{}, 0, nil
	}
	if err != nil {
		return Config{}, 0, fmt.Errorf("reading %s: %w", HeadKey, err)
	}
	if row.Version == known {
		return Config{}, known, nil
	}
	c, err = DecodeHead(row)
	return c, row.Version, err
}

// readLog returns the latest publications, oldest first.
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

// appendLog returns the log with another entry, without its oldest ones when
// it is full.
func appendLog(log []Publication, entry Publication) []Publication {
	log = append(slices.Clone(log), entry)
	return log[max(0, len(log)-LogLength):]
}

// inLog returns the entry of the version.
func inLog(log []Publication, version int64) (Publication, bool) {
	i := slices.IndexFunc(log, func(p Publication) bool { return p.Version == version })
	if i < 0 {
		return Publication{}, false
	}
	return log[i], true
}
