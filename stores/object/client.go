package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"burdockglade.dev/stores/internal/storehttp"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the store's address, such as http://127.0.0.1:7001.
	BaseURL string
	// Timeout bounds one call, connection set-up included.
	Timeout time.Duration
}

// Client is a Store over the object store's HTTP protocol. Objects never
// change, so both calls may be repeated: a call on a pooled connection that has
// gone silent is repeated on a fresh one after half of the timeout.
type Client struct {
	http *storehttp.Client
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// NewClient returns a client, or an error when the address is not an HTTP URL.
func NewClient(o ClientOptions) (*Client, error) {
	c, err := storehttp.New(storehttp.Options{
		Service:          "object store",
		BaseURL:          o.BaseURL,
		Timeout:          o.Timeout,
		MaxResponseBytes: MaxContentBytes,
	})
	if err != nil {
		return nil, err
	}
	return &Client{http: c}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	if err := check(name, content); err != nil {
		return err
	}
	a, err := c.http.SendIdempotent(ctx, storehttp.Request{
		Method:      http.MethodPut,
		Path:        "/v1/objects/" + name,
		ContentType: "application/octet-stream",
		Body:        append([]byte{}, content...),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if a.Status == http.StatusOK || a.Status == http.StatusCreated {
		return nil
	}
	return refusal(a, name)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	if err := CheckName(name); err != nil {
		return nil, err
	}
	a, err := c.http.SendIdempotent(ctx, storehttp.Request{Method: http.MethodGet, Path: "/v1/objects/" + name})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if a.Status == http.StatusOK {
		return a.Body, nil
	}
	return nil, refusal(a, name)
}

// refusal returns the error of an answer. It counts as the store's own only
// when its body is an ErrorResponse: a 404 of some other server must not read as
// an absent object.
func refusal(a storehttp.Response, name string) error {
	var body ErrorResponse
	if err := json.Unmarshal(a.Body, &body); err != nil || body.Error == "" {
		return fmt.Errorf("%w: status %d without an error of the store", ErrUnavailable, a.Status)
	}
	switch a.Status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %q", ErrNotFound, name)
	case http.StatusConflict:
		return fmt.Errorf("%w: %q", ErrExists, name)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, body.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, a.Status, body.Error)
	}
}
