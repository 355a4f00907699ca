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

// maxResponseBytes limits the body of a response. It fits the largest scan:
// MaxScanRows values of MaxValueBytes in base64, with their keys and write ids.
const maxResponseBytes = 72 << 20

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the service's address, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout limits one call, including connection establishment.
	Timeout time.Duration
}

// Client is a Store over the table service's HTTP protocol.
//
// A transaction is sent at most once, over a new connection. A read is sent over
// a pooled connection; if that connection fails or does not respond within half
// of the timeout, the read is retried once on a new connection.
type Client struct {
	http *storehttp.Client
}

// NewClient returns a client, or an error if BaseURL is not a plain HTTP URL or
// Timeout is not positive.
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
		return Row{}, fmt.Errorf("%w: requested row %q, the response has row %q at version %d", ErrUnavailable, key, row.Key, row.Version)
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
	var response ScanResponse
	if err := c.read(ctx, "/v1/rows?"+q.Encode(), &response); err != nil {
		return nil, err
	}
	if err := checkScanRows(response.Rows, prefix, after, limit); err != nil {
		return nil, err
	}
	return response.Rows, nil
}

// checkScanRows rejects rows outside the requested scan. It also rejects a
// response without the field rows, which would otherwise pass for an empty
// table.
func checkScanRows(rows []Row, prefix, after string, limit int) error {
	if rows == nil || len(rows) > limit {
		return fmt.Errorf("%w: the response to a scan of %d rows has %d rows", ErrUnavailable, limit, len(rows))
	}
	for i := range rows {
		key := rows[i].Key
		if !strings.HasPrefix(key, prefix) || key <= after || rows[i].Version < 1 {
			return fmt.Errorf("%w: the response to a scan of %q after %q has row %q at version %d", ErrUnavailable, prefix, after, key, rows[i].Version)
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
	resp, sent, err := c.http.SendOnce(ctx, storehttp.Request{
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
	var response CommitResponse
	if err := decodeResponse(resp, &response); err != nil {
		return 0, err
	}
	if response.Revision < 1 {
		return 0, fmt.Errorf("%w: the response has revision %d", ErrOutcomeUnknown, response.Revision)
	}
	return response.Revision, nil
}

// ScanResponse is the body of a successful scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse is the body of the response to a committed transaction.
type CommitResponse struct {
	Revision int64 `json:"revision"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// read sends a GET and decodes the response. A read has no effect, so a missing
// or malformed response is ErrUnavailable instead of ErrOutcomeUnknown.
func (c *Client) read(ctx context.Context, path string, into any) error {
	resp, err := c.http.SendIdempotent(ctx, storehttp.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	err = decodeResponse(resp, into)
	if errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrConflict) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}

// decodeResponse decodes the body of a 200 into the value, and turns every other
// response into an error. A status counts as the service's own only if the body
// is an ErrorResponse: a 404 from another server must not be taken for an absent
// row, nor its 409 for a transaction that was not applied.
func decodeResponse(resp storehttp.Response, into any) error {
	if resp.Status == http.StatusOK {
		if err := decodeSingle(resp.Body, into); err != nil {
			return fmt.Errorf("%w: decoding: %w", ErrOutcomeUnknown, err)
		}
		return nil
	}
	var failure ErrorResponse
	if err := decodeSingle(resp.Body, &failure); err != nil || failure.Error == "" {
		return fmt.Errorf("%w: status %d without an error from the service", ErrOutcomeUnknown, resp.Status)
	}
	switch resp.Status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, failure.Error)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, failure.Error)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrUnavailable, failure.Error)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, failure.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrOutcomeUnknown, resp.Status, failure.Error)
	}
}

// decodeSingle decodes content that must be exactly one JSON value.
func decodeSingle(content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
