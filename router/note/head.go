package note

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"burdockglade.dev/platform/table"
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

// Published is one entry of the log row.
type Published struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	// Digest is the start of the SHA-256 of the note's text in hexadecimal.
	Digest string `json:"digest"`
}

// EncodeHead returns the value of the head row.
func EncodeHead(c Config) ([]byte, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encoding configuration version %d: %w", c.Version, err)
	}
	return value, nil
}

// DecodeHead reads the head row and checks it.
func DecodeHead(row table.Row) (Config, error) {
	var c Config
	if err := json.Unmarshal(row.Value, &c); err != nil {
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
	row, err := store.Get(ctx, HeadKey)
	if errors.Is(err, table.ErrNotFound) {
		return Config{}, 0, nil
	}
	if err != nil {
		return Config{}, 0, fmt.Errorf("reading %s: %w", HeadKey, err)
	}
	c, err = DecodeHead(row)
	return c, row.Version, err
}

// readLog returns the latest publications, oldest first.
func readLog(ctx context.Context, store table.Store) (log []Published, rowVersion int64, err error) {
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
func appendLog(log []Published, entry Published) []Published {
	log = append(slices.Clone(log), entry)
	return log[max(0, len(log)-LogLength):]
}

// inLog returns the entry of the version.
func inLog(log []Published, version int64) (Published, bool) {
	i := slices.IndexFunc(log, func(p Published) bool { return p.Version == version })
	if i < 0 {
		return Published{}, false
	}
	return log[i], true
}
