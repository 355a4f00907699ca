package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/stores/internal/storehttp"
)

// maxResponseBytes holds the largest answer to a scan: MaxScanRows values of
// MaxValueBytes in base64, with their keys and write ids.
const maxResponseBytes = 72 << 20

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the service's address, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds one call, connection set-up included.
	Timeout time.Duration
}

// Client is a Store over the table service's HTTP protocol.
//
// A transaction goes over a connection of its own and is sent at most once. A
// read goes over a pooled connection; when that connection has gone silent,
// the read is repeated on a fresh one after half of the timeout.
type Client struct {
	http *storehttp.Client
}

// NewClient returns a client, or an error when the address is not an HTTP URL.
func NewClient(o ClientOptions) (*Client, error) {
	c, err := storehttp.New(storehttp.Options{
		Service:          "table service",
		BaseURL:          o.BaseURL,
		Timeout:          o.Timeout,
		MaxResponseBytes: maxResponseBytes,
	})
	if err != nil {
		return nil, err
	}
	return &Client{http: c}, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	if err := CheckKey(key); err != nil {
		return Row{}, err
	}
	var row Row
	err := c.read(ctx, "/v1/rows/"+url.PathEscape(key), &row)
	if errors.Is(err, ErrNotFound) {
		return Row{}, fmt.Errorf("%w: %q", ErrNotFound, key)
	}
	if err != nil {
		return Row{}, err
	}
	if row.Key != key || row.Version < 1 {
		return Row{}, fmt.Errorf("%w: asked for row %q, the answer has row %q at version %d", ErrUnavailable, key, row.Key, row.Version)
	}
	return row.clone(), nil
}

// Scan implements Store.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := CheckScan(prefix, after, limit); err != nil {
		return nil, err
	}
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", after)
	q.Set("limit", strconv.Itoa(limit))
	var answer ScanResponse
	if err := c.read(ctx, "/v1/rows?"+q.Encode(), &answer); err != nil {
		return nil, err
	}
	if err := checkScanned(answer.Rows, prefix, after, limit); err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// checkScanned refuses rows that the scan did not ask for. A missing rows
// field is refused as well: it would otherwise read as an empty table.
func checkScanned(rows []Row, prefix, after string, limit int) error {
	if rows == nil || len(rows) > limit {
		return fmt.Errorf("%w: the answer to a scan of %d rows has %d rows", ErrUnavailable, limit, len(rows))
	}
	for i := range rows {
		key := rows[i].Key
		if !strings.HasPrefix(key, prefix) || key <= after || rows[i].Version < 1 {
			return fmt.Errorf("%w: the answer to a scan of %q after %q has row %q at version %d", ErrUnavailable, prefix, after, key, rows[i].Version)
		}
		rows[i] = rows[i].clone()
		after = key
	}
	return nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	if err := txn.Check(); err != nil {
		return 0, err
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, fmt.Errorf("%w: encoding: %w", ErrInvalid, err)
	}
	a, sent, err := c.http.SendOnce(ctx, storehttp.Request{
		Method:      http.MethodPost,
		Path:        "/v1/txn",
		ContentType: "application/json",
		Body:        body,
	})
	if err != nil && !sent {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	var answer CommitResponse
	if err := decodeAnswer(a, &answer); err != nil {
		return 0, err
	}
	if answer.Revision < 1 {
		return 0, fmt.Errorf("%w: the answer has revision %d", ErrOutcomeUnknown, answer.Revision)
	}
	return answer.Revision, nil
}

// ScanResponse is the service's answer to a scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse is the service's answer to a committed transaction.
type CommitResponse struct {
	Revision int64 `json:"revision"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// read sends a GET. A read has no outcome that could be unknown, so a lost or
// malformed answer is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, answer any) error {
	a, err := c.http.SendIdempotent(ctx, storehttp.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	err = decodeAnswer(a, answer)
	if errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrConflict) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}

// decodeAnswer decodes an answer of the service. A refusal counts as one only
// when its body is an ErrorResponse: a 404 of some other server must not read as
// an absent row, nor its 409 as a transaction that was not applied.
func decodeAnswer(a storehttp.Response, answer any) error {
	if a.Status == http.StatusOK {
		if err := decodeWhole(a.Body, answer); err != nil {
			return fmt.Errorf("%w: decoding: %w", ErrOutcomeUnknown, err)
		}
		return nil
	}
	var refusal ErrorResponse
	if err := decodeWhole(a.Body, &refusal); err != nil || refusal.Error == "" {
		return fmt.Errorf("%w: status %d without an error of the service", ErrOutcomeUnknown, a.Status)
	}
	switch a.Status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, refusal.Error)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, refusal.Error)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrUnavailable, refusal.Error)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, refusal.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrOutcomeUnknown, a.Status, refusal.Error)
	}
}

// decodeWhole decodes exactly one JSON value.
func decodeWhole(content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
